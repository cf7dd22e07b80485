"""The platform's store, read through a reader where there is one.

Changes of objects go to the store itself, and so does the first list of each kind, since
a machine that has just started is of no use before it and readers may be starting too.
"""

import contextlib
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Any

import eventlet
from eventlet.event import Event

from yarrowwall.core.hashing import fraction
from yarrowwall.messages.objects import (
    ListObjects,
    ObjectsReply,
    ObjectsStatus,
    WatchObjects,
)
from yarrowwall.messages.replicated import Member
from yarrowwall.readers.order import ReaderOrder
from yarrowwall.readers.reader import FIRST_LIST_SECONDS, ObjectReader
from yarrowwall.readers.wire import changes, stored
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.object_store import (
    Change,
    Changes,
    HistoryForgottenError,
    Listing,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    WatchInterruptedError,
)
from yarrowwall.relay.watching import KindFollower
from yarrowwall.replication.documents import REPLICAS_KIND, read_registration
from yarrowwall.replication.rpc import LinkTable

#: Seconds that a question waits for a change of a kind by which silent readers are found, and
#: of any other: so long may a machine stay with another reader once the first is back.
PROMPT_WAIT_SECONDS = 1.0
MOST_WAIT_SECONDS = 5.0
#: Seconds that the answer to a question may take beyond its wait.
ANSWER_SECONDS = 0.5
#: Seconds for the first answer of a reader, which may have to list the objects itself.
FIRST_ANSWER_SECONDS = FIRST_LIST_SECONDS + 0.2
#: Seconds that a watch at the store itself waits at most; then readers are tried again.
DIRECT_WAIT_SECONDS = 5.0
#: Seconds without an answer of any reader after which the store itself is asked, and the
#: seconds over which all machines spread that, so that no outage ends in a stampede.
DIRECT_AFTER_SECONDS = 0.8
DIRECT_SPREAD_SECONDS = 1.0
#: Seconds after a read that the store itself did not answer in which this process asks it no
#: more, whatever the kind: in an outage each of four kinds and the age of the configuration would
#: ask for itself, and calls are paid for.
DIRECT_PAUSE_SECONDS = 0.8
#: Seconds from the start in which readers may register, and between two looks for them.
FIRST_READERS_SECONDS = 3.0
LOOK_SECONDS = 0.25

#: Stands for the answer to a question that this process ended itself.
_INTERRUPTED = object()


class ReaderStore:
    """Reads through a reader, changes directly.

    :param direct: the store itself.
    :param own_reader: the reader of this process, if it has one.
    :param prompt_kinds: kinds whose questions wait only shortly, so that a reader that has
        fallen silent is found by them.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        direct: ObjectStore,
        own_reader: ObjectReader | None,
        prompt_kinds: Collection[str],
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._direct = direct
        self._own_reader = own_reader
        self._prompt_kinds = prompt_kinds
        self._log = log
        self._now = now
        self._started_at = now()
        self._links = LinkTable(now)
        self._order = ReaderOrder(node_id, zone)
        self._proven: set[str] = set()
        self._pending: dict[Event, str] = {}
        self._revisions: dict[str, int] = {}
        self._answered_at = now()
        self._direct_failed_at: float | None = None
        self._direct_after_s = DIRECT_AFTER_SECONDS + DIRECT_SPREAD_SECONDS * fraction(
            "direct", node_id
        )
        self._readers = KindFollower(
            self,
            REPLICAS_KIND,
            self._readers_listed,
            self._reader_changed,
            log,
            may_be_old=True,
        )

    def start(self) -> None:
        """Begin to learn which machines are readers."""
        self._readers.start()

    # Reading

    def list(self, kind: str, timeout_s: float, may_be_old: bool = False) -> Listing:
        """Return all objects of a kind.

        Never an older state than before, but while no reader is known yet: then the list may
        be one that is some seconds old.
        """
        known = self._revisions.get(kind, 0)
        listing = self._list_at_readers(kind, known) if known else None
        if listing is None:
            is_start = not known or not self._order.is_known
            listing = self._list_directly(kind, timeout_s, may_be_old and is_start)
        self._revisions[kind] = max(known, listing.revision)
        return listing

    def _list_directly(self, kind: str, timeout_s: float, may_be_old: bool) -> Listing:
        sent_at_s = self._now()
        # A machine that has just started is of no use before its first lists.
        is_first = kind not in self._revisions
        with contextlib.nullcontext() if is_first else self._asking_directly():
            listing = self._direct.list(kind, timeout_s, may_be_old)
        if may_be_old:
            return listing
        return Listing(listing.items, listing.revision, sent_at_s)

    def _list_at_readers(self, kind: str, known: int) -> Listing | None:
        for reader in self._order.candidates(self._now()):
            sent_at_s = self._now()
            reply = self._ask(reader, ListObjects(kind, known), FIRST_ANSWER_SECONDS)
            if reply is not None and reply.status is ObjectsStatus.OK:
                items = [stored(item) for item in reply.objects]
                return Listing(items, reply.revision, proved_at_s(reply, sent_at_s))
        return None

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; none if nothing happened for a while."""
        for reader in self._order.candidates(self._now()):
            found = self._watch_at(reader, kind, revision, wait_s)
            if found is not None:
                self._answered_at = self._now()
                return self._noted(kind, found)
        if not self._order.is_known and self._now() - self._started_at < FIRST_READERS_SECONDS:
            return self._wait_for_readers(kind, revision)
        if self._now() - self._answered_at < self._direct_after_s:
            raise ObjectStoreError("no reader hears from the store")
        with self._asking_directly():
            found = self._direct.watch(kind, revision, min(wait_s, DIRECT_WAIT_SECONDS))
        return self._noted(kind, found)

    @contextlib.contextmanager
    def _asking_directly(self) -> Iterator[None]:
        """Note whether the store itself answers what is asked within.

        :raises ObjectStoreError: before it is asked, if it did not answer a moment ago.
        """
        failed_at = self._direct_failed_at
        if failed_at is not None and self._now() - failed_at < DIRECT_PAUSE_SECONDS:
            raise ObjectStoreError("the store itself did not answer a moment ago")
        try:
            yield
        except (HistoryForgottenError, WatchInterruptedError):
            raise
        except ObjectStoreError:
            self._direct_failed_at = self._now()
            raise
        self._direct_failed_at = None

    def _noted(self, kind: str, found: Changes) -> Changes:
        self._revisions[kind] = max(self._revisions.get(kind, 0), found.revision)
        return found

    def _wait_for_readers(self, kind: str, revision: int) -> Changes:
        """Wait a moment while machines may not have registered yet."""
        eventlet.sleep(LOOK_SECONDS)
        if kind == REPLICAS_KIND:
            raise HistoryForgottenError("no reader is known yet")
        return Changes([], revision)

    def _watch_at(self, reader: Member, kind: str, revision: int, wait_s: float) -> Changes | None:
        """Return the changes that a reader told; None if it is of no use now."""
        is_prompt = kind in self._prompt_kinds
        wait_s = min(wait_s, PROMPT_WAIT_SECONDS if is_prompt else MOST_WAIT_SECONDS)
        if reader.node_id not in self._proven:
            # A reader that does not answer must be found before it is relied on.
            found = self._watch_once(reader, WatchObjects(kind, revision, 0.0))
            # With a proof the answer is worth as much as a change.
            if found is None or found.changes or found.proved_at_s is not None:
                return found
        return self._watch_once(reader, WatchObjects(kind, revision, wait_s))

    def _watch_once(self, reader: Member, request: WatchObjects) -> Changes | None:
        timeout_s = request.wait_s + ANSWER_SECONDS if request.wait_s else FIRST_ANSWER_SECONDS
        sent_at_s = self._now()
        reply = self._ask(reader, request, timeout_s)
        if reply is None or reply.status is ObjectsStatus.OUT_OF_CONTACT:
            return None
        self._note_proven(reader)
        if reply.status is ObjectsStatus.FORGOTTEN:
            raise HistoryForgottenError(f"reader {reader.node_id}")
        return Changes(changes(reply.objects), reply.revision, proved_at_s(reply, sent_at_s))

    # Questions to readers

    def _ask(
        self, reader: Member, request: ListObjects | WatchObjects, timeout_s: float
    ) -> ObjectsReply | None:
        """Return a reader's reply; None if there is none, and it is passed over then."""
        arrived = Event()
        self._pending[arrived] = reader.node_id
        forget = self._send(reader, request, arrived)
        try:
            reply = arrived.wait(timeout_s)
        finally:
            self._pending.pop(arrived, None)
            # A question that was ended from within this process is not late.
            forget(not arrived.ready())
        if reply is _INTERRUPTED:
            raise WatchInterruptedError(request.kind)
        if not isinstance(reply, ObjectsReply):
            self._note_silent(reader)
            return None
        if reply.status is ObjectsStatus.OUT_OF_CONTACT:
            self._note_out_of_contact(reader)
        return reply

    def _send(
        self, reader: Member, request: ListObjects | WatchObjects, arrived: Event
    ) -> Callable[[bool], None]:
        """Send a question; return what forgets it, told whether its answer is late."""

        def complete(reply: object) -> None:
            if not arrived.ready():
                arrived.send(reply)

        if reader.node_id == self._node_id and self._own_reader is not None:
            self._own_reader.ask(request, complete)
            return lambda is_late: None
        link = self._links.get(reader.address)
        number = link.post(request, complete)
        return lambda is_late: link.forget(number, is_late)

    def _note_proven(self, reader: Member) -> None:
        self._order.note_answered(reader.node_id)
        if reader.node_id not in self._proven:
            self._proven.add(reader.node_id)
            self._log.write(decisions.DependencyChanged(f"reader/{reader.node_id}", True, ""))

    def _note_silent(self, reader: Member) -> None:
        if reader.node_id in self._proven or reader in self._order.candidates(self._now()):
            self._order.note_silent(reader.node_id, self._now())
            self._leave(reader, "no answer")

    def _note_out_of_contact(self, reader: Member) -> None:
        self._order.note_out_of_contact(reader.node_id, self._now())
        self._leave(reader, "it hears nothing from the store")

    def _leave(self, reader: Member, reason: str) -> None:
        """Rely on a reader no more; all questions that wait there go elsewhere."""
        if reader.node_id in self._proven:
            self._proven.remove(reader.node_id)
            self._log.write(decisions.DependencyChanged(f"reader/{reader.node_id}", False, reason))
        for arrived, asked in list(self._pending.items()):
            if asked == reader.node_id and not arrived.ready():
                arrived.send(None)

    def interrupt_watches(self) -> None:
        """End all waiting watches of this process."""
        self._direct.interrupt_watches()
        for arrived in list(self._pending):
            if not arrived.ready():
                arrived.send(_INTERRUPTED)

    # Which machines are readers

    def _readers_listed(self, items: Sequence[StoredObject]) -> None:
        registered = [read_registration(item) for item in items]
        self._order.replace_all(member for member in registered if member is not None)
        self._return_to_first()

    def _reader_changed(self, change: Change) -> None:
        member = read_registration(change.item)
        if change.is_gone:
            self._order.remove(change.item.name)
        elif member is not None:
            self._order.put(member)
        self._return_to_first()

    def _return_to_first(self) -> None:
        """End the questions that wait at others than the first reader.

        When a system starts, machines learn of the readers one by one; without this each
        of them would be asked, and watch the store, until the longest wait is over.
        """
        candidates = self._order.candidates(self._now())
        if not candidates:
            return
        for arrived, asked in list(self._pending.items()):
            if asked != candidates[0].node_id and not arrived.ready():
                arrived.send(_INTERRUPTED)

    # Single objects

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return an object as it stands now at the store itself; None if there is none."""
        with self._asking_directly():
            return self._direct.get(kind, name, timeout_s)

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> StoredObject:
        """Make an object."""
        return self._direct.create(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object's content if it still has a revision."""
        return self._direct.replace(kind, name, spec, revision)

    def set_status(self, kind: str, name: str, status: dict[str, Any]) -> None:
        """Replace an object's status."""
        self._direct.set_status(kind, name, status)


def proved_at_s(reply: ObjectsReply, sent_at_s: float) -> float | None:
    """Return the moment of this machine's clock for which a reader vouches.

    The reader counts it from the question's arrival, which was never before its sending.
    """
    return sent_at_s + reply.proved_after_s if reply.proved_after_s is not None else None
