"""Follows kinds of the platform store on behalf of other machines, as long as they ask.

Readers are not elected: all machines of a zone ask the same ones in the same order
(:mod:`yarrowwall.watching.reader_selection`), and a machine that is asked starts to follow.
"""

from collections.abc import Callable, Collection
from typing import Any

import eventlet

from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.objects import (
    ListObjects,
    ObjectsReply,
    ObjectsStatus,
    RelayedObject,
    WatchObjects,
)
from yarrowwall.ports.object_store import Change, ObjectName, ReadableStore, StoredObject
from yarrowwall.watching.availability import GRACE_SECONDS
from yarrowwall.watching.follower import COALESCE_SECONDS, LONG_WATCH_SECONDS, KindFollower
from yarrowwall.watching.monitored_store import MonitoredStore
from yarrowwall.watching.object_cache import ObjectCache
from yarrowwall.watching.object_verifier import ObjectVerifier
from yarrowwall.watching.wire import ObjectEncoder

#: Seconds for which a request waits for the reader's own first list. A list takes 0.01 s if the
#: store answers at once; after this time the client should try another reader.
FIRST_LIST_SECONDS = 0.4
#: Wait of a watch of the verified object's kind. Watches can be lost while other requests are
#: answered; they return nothing until their waits are over. This short watch reveals within 3.5 s
#: that the others, which wait for 25 s, may be lost too.
SHORT_WATCH_SECONDS = 2.0
#: The same for kinds whose changes are due within seconds. A connection that was quiet may deliver
#: nothing more while the verified object's, which are not quiet, work: with the time that an answer
#: may take after the wait, such a watch is noticed and begun anew within 3 s.
URGENT_WATCH_SECONDS = 1.5
#: Seconds without a request after which a kind is no longer followed.
IDLE_SECONDS = 8.0
#: Maximum seconds before a failed read of the store is retried. An answer to any other request ends
#: the pause: in an outage one request finds out for all kinds that the store has recovered.
MAX_RETRY_SECONDS = 2.0

_OUT_OF_CONTACT = ObjectsReply(ObjectsStatus.OUT_OF_CONTACT, [], 0, None)
_FORGOTTEN = ObjectsReply(ObjectsStatus.FORGOTTEN, [], 0, None)
#: Called with the reply to a request.
Reply = Callable[[ObjectsReply], None]


class _WaitingRequest:
    """A request that waits for its reply.

    :param arrived_at_s: when it arrived.
    :ivar timer: ends the wait.
    """

    def __init__(
        self, request: ListObjects | WatchObjects, reply: Reply, arrived_at_s: float
    ) -> None:
        self.request = request
        self.reply = reply
        self.arrived_at_s = arrived_at_s
        self.timer: Any = None


class FollowedKind:
    """Follows one kind of objects and answers the requests for it.

    :param watch_s: the longest wait of a watch at the store in seconds.
    :param pause_s: seconds between received changes and the next watch.
    :param is_unavailable: returns whether the store has been failing for longer than the grace
        period.
    :param verified_name: name of the object whose state is verified to be the newest.
    """

    def __init__(
        self,
        store: ReadableStore,
        kind: str,
        watch_s: float,
        pause_s: float,
        log: DecisionLog,
        now: Callable[[], float],
        is_unavailable: Callable[[], bool],
        verified_name: str | None = None,
    ) -> None:
        self._now = now
        self._is_unavailable = is_unavailable
        self._cache = ObjectCache()
        self._encoder = ObjectEncoder()
        self._new_list: list[StoredObject] | None = None
        self._new_changes: list[Change] = []
        self._waiting: dict[int, _WaitingRequest] = {}
        self.requested_at = now()
        self._follower = KindFollower(
            store,
            kind,
            self._on_list,
            self._new_changes.append,
            log,
            self._on_read,
            pause_s=pause_s,
            watch_s=watch_s,
            max_retry_s=MAX_RETRY_SECONDS,
        )
        self._follower.start()
        self._verifier: ObjectVerifier | None = None
        if verified_name is not None:
            target = ObjectName(kind, verified_name)
            self._verifier = ObjectVerifier(
                store, target, log, now, self._on_verified, self._follower.relist
            )
            self._verifier.start()

    @property
    def is_in_use(self) -> bool:
        """Return whether a request waits for this kind or arrived lately."""
        return bool(self._waiting) or self._now() - self.requested_at < IDLE_SECONDS

    def stop(self) -> None:
        """Stop following."""
        self._follower.stop()
        if self._verifier is not None:
            self._verifier.stop()

    def note_lost(self) -> None:
        """Shorten the next watch and read at once, since a request to the store has failed."""
        self._follower.shorten_next_watch()
        if self._verifier is not None:
            self._verifier.read_now()

    def note_unavailable(self) -> None:
        """Tell waiting clients that the store is unavailable, so that they ask another reader."""
        if self._cache.revision:
            self._answer_waiting()

    def ask(self, request: ListObjects | WatchObjects, reply: Reply) -> None:
        """Answer a request, at once or later."""
        self.requested_at = self._now()
        waiting = _WaitingRequest(request, reply, self.requested_at)
        answer = self._answer(waiting, must_answer=False)
        if answer is not None:
            reply(answer)
            return
        self._waiting[id(waiting)] = waiting
        waiting.timer = eventlet.spawn_after(self._wait_s(request), self._end_wait, waiting)

    def _wait_s(self, request: ListObjects | WatchObjects) -> float:
        if not self._cache.revision or isinstance(request, ListObjects):
            return FIRST_LIST_SECONDS
        return request.wait_s

    def _answer(self, waiting: _WaitingRequest, must_answer: bool) -> ObjectsReply | None:
        """Return the reply to a request; None if it has to wait.

        :param must_answer: whether the request may not wait any longer.
        """
        request = waiting.request
        if not self._cache.revision:
            return _OUT_OF_CONTACT if must_answer else None
        if self._is_unavailable():
            return None if _waits_for_recovery(request) and not must_answer else _OUT_OF_CONTACT
        if isinstance(request, ListObjects):
            return self._list(request, waiting, must_answer)
        found = self._cache.changes_since(request.revision)
        if found is None:
            return _FORGOTTEN
        is_waiting = request.wait_s > 0.0 and not request.is_look
        if not found.changes and is_waiting and not must_answer:
            return None
        objects = [self._encoder.encode_change(change) for change in found.changes]
        return self._reply(waiting, objects, found.revision)

    def _reply(
        self, waiting: _WaitingRequest, objects: list[RelayedObject], revision: int
    ) -> ObjectsReply:
        """Return a reply with objects and the time as of which their state is verified."""
        verified_at_s = self._verifier.state.verified_at_s if self._verifier is not None else None
        proved_after_s = verified_at_s - waiting.arrived_at_s if verified_at_s is not None else None
        return ObjectsReply(ObjectsStatus.OK, objects, revision, proved_after_s)

    def _list(
        self, request: ListObjects, waiting: _WaitingRequest, must_answer: bool
    ) -> ObjectsReply | None:
        listing = self._cache.listing()
        if listing.revision < request.least_revision:
            return _OUT_OF_CONTACT if must_answer else None
        objects = [self._encoder.encode(item) for item in listing.items]
        return self._reply(waiting, objects, listing.revision)

    def _end_wait(self, waiting: _WaitingRequest) -> None:
        if self._waiting.pop(id(waiting), None) is None:
            return
        self.requested_at = self._now()
        # A change may have arrived that is still being sent to the requests before this one.
        answer = self._answer(waiting, must_answer=True)
        waiting.reply(answer or _OUT_OF_CONTACT)

    # Updates from the store

    def _on_list(self, items: list[StoredObject]) -> None:
        self._new_list = items

    def _on_read(self, revision: int) -> None:
        """Apply all objects and changes of one answer of the store."""
        if self._new_list is not None:
            self._cache.replace_all(self._new_list, revision)
            self._new_list = None
        self._cache.apply(list(self._new_changes), revision)
        self._new_changes.clear()
        if self._verifier is not None:
            name = self._verifier.target.name
            self._verifier.state.note_known(self._cache.revision_of(name))
        self._answer_waiting()

    def _on_verified(self) -> None:
        """Answer all waiting clients, since their state has just been verified to be the newest."""
        if self._cache.revision:
            self._answer_waiting(must_answer=True)

    def _answer_waiting(self, must_answer: bool = False) -> None:
        for key, waiting in list(self._waiting.items()):
            answer = self._answer(waiting, must_answer)
            # Cancelling and replying may switch greenthreads, and other waits may end meanwhile.
            if answer is not None and self._waiting.pop(key, None) is not None:
                waiting.timer.cancel()
                waiting.reply(answer)


def _waits_for_recovery(request: ListObjects | WatchObjects) -> bool:
    """Return whether a request is a health check that waits until the store recovers."""
    return isinstance(request, WatchObjects) and request.is_look and request.wait_s > 0.0


class StoreReader:
    """Answers requests of other machines for objects of the store.

    :param store: a client of the store that only this reader uses.
    :param verified_object: an object that is read periodically, and whose kind is watched with
        short waits. Its kind is followed as long as any other is: a lost watch returns nothing
        until its wait is over, so all watches restart if a short watch or a read fails.
    :param now: the monotonic clock.
    :param urgent_kinds: kinds whose changes are due within seconds, whichever connections to the
        store fall silent.
    """

    def __init__(
        self,
        store: ReadableStore,
        verified_object: ObjectName,
        log: DecisionLog,
        now: Callable[[], float],
        urgent_kinds: Collection[str] = (),
    ) -> None:
        self._store = MonitoredStore(store, now, self._note_lost)
        self._verified_object = verified_object
        self._log = log
        self._now = now
        self._urgent_kinds = urgent_kinds
        self._kinds: dict[str, FollowedKind] = {}

    def ask(self, request: ListObjects | WatchObjects, reply: Reply) -> None:
        """Answer a request, at once or later."""
        self._followed_kind(self._verified_object.kind)
        self._followed_kind(request.kind).ask(request, reply)

    def _followed_kind(self, kind: str) -> FollowedKind:
        """Return the follower of a kind, which is started if necessary."""
        followed = self._kinds.get(kind)
        if followed is None:
            # The verified object's kind changes seldom, so its changes are not coalesced.
            is_verified = kind == self._verified_object.kind
            followed = FollowedKind(
                self._store,
                kind,
                self._watch_s(kind),
                0.0 if is_verified else COALESCE_SECONDS,
                self._log,
                self._now,
                lambda: self._store.is_unavailable,
                self._verified_object.name if is_verified else None,
            )
            self._kinds[kind] = followed
        return followed

    def _watch_s(self, kind: str) -> float:
        """Return the longest wait of a kind's watches in seconds."""
        if kind == self._verified_object.kind:
            return SHORT_WATCH_SECONDS
        return URGENT_WATCH_SECONDS if kind in self._urgent_kinds else LONG_WATCH_SECONDS

    def _note_lost(self) -> None:
        for followed in self._kinds.values():
            followed.note_lost()
        eventlet.spawn_after(GRACE_SECONDS, self._note_unavailable)

    def _note_unavailable(self) -> None:
        if self._store.is_unavailable:
            for followed in list(self._kinds.values()):
                followed.note_unavailable()

    def stop_idle_kinds(self) -> None:
        """Stop following kinds that have not been requested lately."""
        for kind, followed in list(self._kinds.items()):
            is_needed = kind == self._verified_object.kind and len(self._kinds) > 1
            if not followed.is_in_use and not is_needed:
                followed.stop()
                del self._kinds[kind]
