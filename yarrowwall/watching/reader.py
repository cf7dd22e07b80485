"""Follows kinds of the platform's store for other machines, as long as they ask.

Nobody is chosen for this: all machines of a zone ask the same ones in the same order
(:mod:`yarrowwall.watching.reader_selection`), and a machine that is asked begins to follow.
"""

from collections.abc import Callable
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

#: Seconds for which a question waits for the reader's own first list. A list takes 0.01 s if
#: the store answers at once; beyond this the asker had better try another reader.
FIRST_LIST_SECONDS = 0.4
#: Seconds that a watch of the prompt kind waits. Watches can be lost while all else is answered;
#: then they say nothing until their waits are over. The short one tells for the others, whose
#: waits are 25 s, after 3.5 s.
SHORT_WATCH_SECONDS = 2.0
#: Seconds without a question after which a kind is no longer followed.
IDLE_SECONDS = 8.0
#: Seconds before a failed read of the store is tried again at most, if nothing shows before
#: that it answers: one question in an outage finds that out for all kinds.
MAX_RETRY_SECONDS = 2.0

_OUT_OF_CONTACT = ObjectsReply(ObjectsStatus.OUT_OF_CONTACT, [], 0, None)
_FORGOTTEN = ObjectsReply(ObjectsStatus.FORGOTTEN, [], 0, None)
#: Called with the reply to a question.
Reply = Callable[[ObjectsReply], None]


class _Question:
    """A question that waits for its answer.

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
    """One kind of objects that is followed, and the questions about it.

    :param watch_s: the longest that one watch at the store waits.
    :param pause_s: seconds after changes before the next ones are asked for.
    :param is_out: returns whether the store has not answered for more than a moment.
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
        is_out: Callable[[], bool],
        verified_name: str | None = None,
    ) -> None:
        self._now = now
        self._is_out = is_out
        self._cache = ObjectCache()
        self._encoder = ObjectEncoder()
        self._listed: list[StoredObject] | None = None
        self._changed: list[Change] = []
        self._waiting: dict[int, _Question] = {}
        self.asked_at = now()
        self._follower = KindFollower(
            store,
            kind,
            self._note_list,
            self._changed.append,
            log,
            self._take_read,
            pause_s=pause_s,
            watch_s=watch_s,
            max_retry_s=MAX_RETRY_SECONDS,
        )
        self._follower.start()
        self._verifier: ObjectVerifier | None = None
        if verified_name is not None:
            target = ObjectName(kind, verified_name)
            self._verifier = ObjectVerifier(
                store, target, log, now, self._note_verified, self._follower.relist
            )
            self._verifier.start()

    @property
    def is_in_use(self) -> bool:
        """Return whether somebody waits for it or asked lately."""
        return bool(self._waiting) or self._now() - self.asked_at < IDLE_SECONDS

    def stop(self) -> None:
        """Follow no more."""
        self._follower.stop()
        if self._verifier is not None:
            self._verifier.stop()

    def note_lost(self) -> None:
        """Find out soon whether the store answers: it did not answer a question."""
        self._follower.shorten_next_watch()
        if self._verifier is not None:
            self._verifier.ask_soon()

    def note_out(self) -> None:
        """Let whoever waits find a reader that still hears of changes."""
        if self._cache.revision:
            self._answer_waiting()

    def ask(self, request: ListObjects | WatchObjects, reply: Reply) -> None:
        """Answer a question at once or later."""
        self.asked_at = self._now()
        question = _Question(request, reply, self.asked_at)
        answer = self._answer(question, is_over=False)
        if answer is not None:
            reply(answer)
            return
        self._waiting[id(question)] = question
        question.timer = eventlet.spawn_after(self._wait_s(request), self._end_wait, question)

    def _wait_s(self, request: ListObjects | WatchObjects) -> float:
        if not self._cache.revision or isinstance(request, ListObjects):
            return FIRST_LIST_SECONDS
        return request.wait_s

    def _answer(self, question: _Question, is_over: bool) -> ObjectsReply | None:
        """Return the answer to a question; None if it has to wait.

        :param is_over: whether it waits no longer.
        """
        request = question.request
        if not self._cache.revision:
            return _OUT_OF_CONTACT if is_over else None
        if self._is_out():
            return None if _is_kept(request) and not is_over else _OUT_OF_CONTACT
        if isinstance(request, ListObjects):
            return self._list(request, question, is_over)
        found = self._cache.changes_since(request.revision)
        if found is None:
            return _FORGOTTEN
        is_waiting = request.wait_s > 0.0 and not request.is_look
        if not found.changes and is_waiting and not is_over:
            return None
        objects = [self._encoder.encode_change(change) for change in found.changes]
        return self._reply(question, objects, found.revision)

    def _reply(
        self, question: _Question, objects: list[RelayedObject], revision: int
    ) -> ObjectsReply:
        """Return objects, with the moment for which their state is proved."""
        verified_at_s = self._verifier.state.verified_at_s if self._verifier is not None else None
        proved_after_s = (
            verified_at_s - question.arrived_at_s if verified_at_s is not None else None
        )
        return ObjectsReply(ObjectsStatus.OK, objects, revision, proved_after_s)

    def _list(
        self, request: ListObjects, question: _Question, is_over: bool
    ) -> ObjectsReply | None:
        listing = self._cache.listing()
        if listing.revision < request.least_revision:
            return _OUT_OF_CONTACT if is_over else None
        objects = [self._encoder.encode(item) for item in listing.items]
        return self._reply(question, objects, listing.revision)

    def _end_wait(self, question: _Question) -> None:
        if self._waiting.pop(id(question), None) is None:
            return
        self.asked_at = self._now()
        # A change may have come that others are just being told of.
        answer = self._answer(question, is_over=True)
        question.reply(answer or _OUT_OF_CONTACT)

    # What the store tells

    def _note_list(self, items: list[StoredObject]) -> None:
        self._listed = items

    def _take_read(self, revision: int) -> None:
        """Take in all that one answer of the store brought."""
        if self._listed is not None:
            self._cache.replace_all(self._listed, revision)
            self._listed = None
        self._cache.take(list(self._changed), revision)
        self._changed.clear()
        if self._verifier is not None:
            name = self._verifier.target.name
            self._verifier.state.note_known(self._cache.revision_of(name))
        self._answer_waiting()

    def _note_verified(self) -> None:
        """Let all who wait know that what they have was the newest a moment ago."""
        if self._cache.revision:
            self._answer_waiting(is_over=True)

    def _answer_waiting(self, is_over: bool = False) -> None:
        for key, question in list(self._waiting.items()):
            answer = self._answer(question, is_over)
            # Cancelling and answering let others run, whose waits may end meanwhile.
            if answer is not None and self._waiting.pop(key, None) is not None:
                question.timer.cancel()
                question.reply(answer)


def _is_kept(request: ListObjects | WatchObjects) -> bool:
    """Return whether a question waits for the store's return."""
    return isinstance(request, WatchObjects) and request.is_look and request.wait_s > 0.0


class StoreReader:
    """Answers other machines' questions about the store's objects.

    :param store: the store, for this reader alone.
    :param verified_object: an object that is read again and again, and whose kind is watched with
        short waits. Its kind is followed as long as any other is: a lost watch returns nothing
        until its wait is over, so a failed short watch or read makes all watches start again.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        store: ReadableStore,
        verified_object: ObjectName,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._store = MonitoredStore(store, now, self._note_lost)
        self._verified_object = verified_object
        self._log = log
        self._now = now
        self._kinds: dict[str, FollowedKind] = {}

    def ask(self, request: ListObjects | WatchObjects, reply: Reply) -> None:
        """Answer a question at once or later."""
        self._follow(self._verified_object.kind)
        self._follow(request.kind).ask(request, reply)

    def _follow(self, kind: str) -> FollowedKind:
        """Return a kind that is followed from now on."""
        followed = self._kinds.get(kind)
        if followed is None:
            # Each change of the prompt kind is asked for at once; it changes seldom.
            is_verified = kind == self._verified_object.kind
            followed = FollowedKind(
                self._store,
                kind,
                SHORT_WATCH_SECONDS if is_verified else LONG_WATCH_SECONDS,
                0.0 if is_verified else COALESCE_SECONDS,
                self._log,
                self._now,
                lambda: self._store.is_out,
                self._verified_object.name if is_verified else None,
            )
            self._kinds[kind] = followed
        return followed

    def _note_lost(self) -> None:
        for followed in self._kinds.values():
            followed.note_lost()
        eventlet.spawn_after(GRACE_SECONDS, self._note_out)

    def _note_out(self) -> None:
        if self._store.is_out:
            for followed in list(self._kinds.values()):
                followed.note_out()

    def stop_idle_kinds(self) -> None:
        """Follow no more what nobody asked for lately."""
        for kind, followed in list(self._kinds.items()):
            is_needed = kind == self._verified_object.kind and len(self._kinds) > 1
            if not followed.is_in_use and not is_needed:
                followed.stop()
                del self._kinds[kind]
