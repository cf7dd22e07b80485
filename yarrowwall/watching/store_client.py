"""The platform's store, read through a reader where there is one.

Changes of objects go to the store itself, and so does the first list of each kind, since
a machine that has just started is of no use before it and readers may be starting too.
"""

import contextlib
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Any

import eventlet
from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.hashing import fraction
from yarrowwall.messages.objects import (
    ListObjects,
    ObjectsReply,
    ObjectsStatus,
    WatchObjects,
)
from yarrowwall.messages.replicated import Member
from yarrowwall.ports.object_store import (
    Change,
    Changes,
    HistoryExpiredError,
    Listing,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    WatchInterruptedError,
)
from yarrowwall.replication.documents import REPLICAS_KIND, read_registration
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.watching.direct_watches import DirectWatches
from yarrowwall.watching.follower import KindFollower
from yarrowwall.watching.monitored_store import MonitoredStore
from yarrowwall.watching.reader import FIRST_LIST_SECONDS, StoreReader
from yarrowwall.watching.reader_selection import ReaderSelection
from yarrowwall.watching.relayed_reads import PAUSE_SECONDS, SHORT_PAUSE_SECONDS, RelayedReads
from yarrowwall.watching.replies import changes_from_reply, is_out_of_contact, listing_from_reply

#: Seconds that a question waits for a change of a kind by which silent readers are found, and
#: of any other: so long may a machine stay with another reader once the first is back.
SHORT_WAIT_SECONDS = 1.0
MAX_WAIT_SECONDS = 5.0
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
#: The same after a question for a single object: whoever asks for one goes on asking, every 1.6 s
#: at most, and tells all others by the first answer.
DIRECT_GET_PAUSE_SECONDS = 2.0
#: Seconds from the start in which readers may register, and between two looks for them.
FIRST_READERS_SECONDS = 3.0
HEALTH_CHECK_SECONDS = 0.25
#: The same while a reader is relied on: a better one that was passed over may be back.
HEALTHY_CHECK_SECONDS = 1.0
#: Seconds of a pause after a failed read if a reader was found meanwhile.
FOUND_SECONDS = 0.25
#: Seconds for which a reader out of contact keeps the question of a machine that looks for one: it
#: tells of the store's return at once. One that dies meanwhile is found as soon after.
HELD_CHECK_SECONDS = 0.5
#: Readers that are asked at each look: the first of the own zone and the next one.
READERS_CHECKED = 2

#: Stands for the answer to a question that this process ended itself.
_INTERRUPTED = object()


class StoreClient:
    """Reads through a reader, changes directly.

    Readers are asked directly; through neighbours while none answers; then the store itself.

    :param direct: the store itself.
    :param own_reader: the reader of this process, if it has one.
    :param short_wait_kinds: kinds whose questions wait only shortly, so that a reader that has
        fallen silent is found by them; readers are looked for with the first.
    :param now: the monotonic clock.
    :ivar relayed_reads: the way through neighbours.
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        direct: ObjectStore,
        own_reader: StoreReader | None,
        short_wait_kinds: Collection[str],
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._store = direct
        self._direct = MonitoredStore(direct, now, on_back=self._note_back)
        self._own_reader = own_reader
        self._prompt_kinds = short_wait_kinds
        self._look_kind = next(iter(short_wait_kinds), REPLICAS_KIND)
        self._log = log
        self._now = now
        self._started_at = now()
        self._links = LinkTable(log, now)
        self._order = ReaderSelection(node_id, zone)
        self.relayed_reads = RelayedReads(self._order, log, now)
        self._relayed_at: dict[str, float] = {}
        self._proven: set[str] = set()
        self._looking: set[str] = set()
        self._doubt = Event()
        self._found = Event()
        self._direct_watches = DirectWatches(self._direct)
        self._pending: dict[Event, str] = {}
        self._revisions: dict[str, int] = {}
        self._told: set[str] = set()
        self._answered_at = now()
        self._direct_again_at = 0.0
        self._direct_after_s = DIRECT_AFTER_SECONDS + DIRECT_SPREAD_SECONDS * fraction(
            "direct", node_id
        )
        self._readers = KindFollower(
            self,
            REPLICAS_KIND,
            self._readers_listed,
            self._reader_changed,
            log,
            allow_stale=True,
        )

    def start(self) -> None:
        """Begin to learn which machines are readers, and which of them hear of the store."""
        self._readers.start()
        eventlet.spawn_n(self._look_for_readers)

    # Reading

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        Never an older state than before, but while no reader is known yet: then the list may
        be one that is some seconds old.
        """
        known = self._revisions.get(kind, 0)
        listing = self._list_at_readers(kind, known) if known else None
        if listing is None:
            is_start = not known or not self._order.is_known
            listing = self._list_directly(kind, timeout_s, allow_stale and is_start)
        self._revisions[kind] = max(known, listing.revision)
        return listing

    def _list_directly(self, kind: str, timeout_s: float, allow_stale: bool) -> Listing:
        sent_at_s = self._now()
        # A machine that has just started is of no use before its first lists.
        is_first = kind not in self._revisions
        with contextlib.nullcontext() if is_first else self._asking_directly():
            listing = self._direct.list(kind, timeout_s, allow_stale)
        if allow_stale:
            return listing
        return Listing(listing.items, listing.revision, sent_at_s)

    def _list_at_readers(self, kind: str, known: int) -> Listing | None:
        for reader in self._proven_readers():
            sent_at_s = self._now()
            reply = self._ask(reader, ListObjects(kind, known), FIRST_ANSWER_SECONDS)
            if reply is not None and reply.status is ObjectsStatus.OK:
                return listing_from_reply(reply, sent_at_s)
        return self._list_through_neighbours(kind, known)

    def _list_through_neighbours(self, kind: str, known: int) -> Listing | None:
        """Return what a reader out of reach listed; None if none is of use now."""
        if not self.relayed_reads.is_active:
            return None
        # Counted from before the first neighbour is asked: however long the answer takes, the
        # question arrived later.
        sent_at_s = self._now()
        reply = self.relayed_reads.ask(ListObjects(kind, known))
        if reply is None or reply.status is not ObjectsStatus.OK:
            return None
        return listing_from_reply(reply, sent_at_s)

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; none if nothing happened for a while."""
        while True:
            found = self._watch_at_readers(kind, revision, wait_s)
            if found is not None:
                return found
            if not self._order.is_known and self._now() - self._started_at < FIRST_READERS_SECONDS:
                return self._wait_for_readers(kind, revision)
            if not self._finds_reader():
                break
        with self._asking_directly():
            found = self._direct_watches.watch(kind, revision, min(wait_s, DIRECT_WAIT_SECONDS))
        return self._noted(kind, found)

    def _watch_at_readers(self, kind: str, revision: int, wait_s: float) -> Changes | None:
        """Return the changes that a reader told; None if none is of use now."""
        for reader in self._proven_readers():
            found = self._watch_at(reader, kind, revision, wait_s)
            if found is not None:
                self._answered_at = self._now()
                return self._noted(kind, found)
        return self._watch_through_neighbours(kind, revision)

    def _watch_through_neighbours(self, kind: str, revision: int) -> Changes | None:
        """Return the changes that a reader out of reach told; None if none is of use now."""
        if self.relayed_reads.is_active:
            self._pause_detour(kind)
        if not self.relayed_reads.is_active:
            return None
        sent_at_s = self._relayed_at[kind] = self._now()
        reply = self.relayed_reads.ask(WatchObjects(kind, revision, 0.0))
        if reply is None:
            return None
        self._answered_at = self._now()
        return self._noted(kind, changes_from_reply(reply, sent_at_s, "through a neighbour"))

    def _pause_detour(self, kind: str) -> None:
        """Wait until a kind may be asked for again; until a reader is found at the longest."""
        pause_s = SHORT_PAUSE_SECONDS if kind in self._prompt_kinds else PAUSE_SECONDS
        left_s = self._relayed_at.get(kind, float("-inf")) + pause_s - self._now()
        if left_s > 0.0:
            self._found.wait(left_s)

    def _finds_reader(self) -> bool:
        """Wait for a reader until the store itself is due; return whether one was found."""
        left_s = self._answered_at + self._direct_after_s - self._now()
        if left_s <= 0.0:
            return False
        self._found.wait(left_s)
        return self._has_way

    @property
    def _has_way(self) -> bool:
        """Return whether a reader can be asked, on whichever way."""
        return bool(self._proven_readers()) or self.relayed_reads.is_active

    @contextlib.contextmanager
    def _asking_directly(self) -> Iterator[None]:
        """Note whether the store itself answers what is asked within.

        :raises ObjectStoreError: before it is asked, if it did not answer a moment ago.
        """
        if self._now() < self._direct_again_at:
            raise ObjectStoreError("the store itself did not answer a moment ago")
        try:
            yield
        except (HistoryExpiredError, WatchInterruptedError):
            raise
        except ObjectStoreError:
            self._direct_again_at = self._now() + DIRECT_PAUSE_SECONDS
            raise
        self._direct_again_at = 0.0

    def _noted(self, kind: str, found: Changes) -> Changes:
        self._revisions[kind] = max(self._revisions.get(kind, 0), found.revision)
        return found

    def _wait_for_readers(self, kind: str, revision: int) -> Changes:
        """Wait a moment while machines may not have registered yet."""
        eventlet.sleep(HEALTH_CHECK_SECONDS)
        if kind == REPLICAS_KIND:
            raise HistoryExpiredError("no reader is known yet")
        return Changes([], revision)

    def _watch_at(self, reader: Member, kind: str, revision: int, wait_s: float) -> Changes | None:
        """Return the changes that a reader told; None if it is of no use now."""
        is_prompt = kind in self._prompt_kinds
        wait_s = min(wait_s, SHORT_WAIT_SECONDS if is_prompt else MAX_WAIT_SECONDS)
        if is_prompt and kind not in self._told:
            # What the reader knows is proved by now; its next proof is up to 0.9 s away.
            wait_s = 0.0
        sent_at_s = self._now()
        reply = self._ask(reader, WatchObjects(kind, revision, wait_s), wait_s + ANSWER_SECONDS)
        if reply is None or reply.status is ObjectsStatus.OUT_OF_CONTACT:
            return None
        self._note_proven(reader)
        self._told.add(kind)
        return changes_from_reply(reply, sent_at_s, f"reader {reader.node_id}")

    # Finding readers

    def _look_for_readers(self) -> None:
        """Ask those that are not relied on, beside all else, as long as the first is one.

        So whoever follows a kind waits for no reader that is dark or out of contact, and all
        come back to the first one soon after it hears of the store again.
        """
        while True:
            self._doubt.wait(HEALTHY_CHECK_SECONDS if self._proven else HEALTH_CHECK_SECONDS)
            self._doubt = Event()
            for reader in self._unproven_readers():
                self._looking.add(reader.node_id)
                eventlet.spawn_n(self._prove, reader)
            if self.relayed_reads.is_probe_due():
                eventlet.spawn_n(self._look_through_neighbours)

    def _look_through_neighbours(self) -> None:
        """Find out whether a neighbour reaches a reader; whoever waits is told."""
        kind = self._look_kind
        self.relayed_reads.probe(
            WatchObjects(kind, self._revisions.get(kind, 0), 0.0, is_look=True)
        )
        if self.relayed_reads.is_active:
            self._note_back()

    def _note_doubt(self) -> None:
        """Look for readers at once: one was left, or others are known now."""
        if not self._doubt.ready():
            self._doubt.send()

    def _unproven_readers(self) -> Sequence[Member]:
        """Return the readers that would be better than those which are relied on."""
        found = []
        for reader in self._order.candidates(self._now()):
            if reader.node_id in self._proven:
                break
            if reader.node_id not in self._looking:
                found.append(reader)
        return found[:READERS_CHECKED]

    def _prove(self, reader: Member) -> None:
        """Find out whether a reader hears from the store, or once it does."""
        try:
            reply = self._look_at(reader, 0.0)
            # One that is found to be out of contact is asked to tell of its end by itself.
            while is_out_of_contact(reply) and not self._proven:
                reply = self._look_at(reader, HELD_CHECK_SECONDS)
        except WatchInterruptedError:
            return
        finally:
            self._looking.discard(reader.node_id)
        if reply is not None and not is_out_of_contact(reply):
            self._note_proven(reader)

    def _look_at(self, reader: Member, wait_s: float) -> ObjectsReply | None:
        kind = self._look_kind
        request = WatchObjects(kind, self._revisions.get(kind, 0), wait_s, is_look=True)
        return self._ask(reader, request, wait_s + FIRST_ANSWER_SECONDS)

    def _proven_readers(self) -> Sequence[Member]:
        """Return the readers that are relied on, the best first."""
        candidates = self._order.candidates(self._now())
        return [reader for reader in candidates if reader.node_id in self._proven]

    def wait_for_recovery(self, seconds: float) -> None:
        """Pause; until a reader or the store answers again at the longest."""
        self._found.wait(min(seconds, FOUND_SECONDS) if self._has_way else seconds)

    def _note_back(self) -> None:
        found, self._found = self._found, Event()
        found.send()
        self._direct_watches.interrupt("a reader was found")

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
        self.relayed_reads.note_direct_answer()
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
            self.relayed_reads.note_healthy_reader()
            self._log.write(decisions.DependencyChanged(f"reader/{reader.node_id}", True, ""))
            self._return_to_first()
            self._note_back()

    def _note_silent(self, reader: Member) -> None:
        if reader.node_id in self._proven or reader in self._order.candidates(self._now()):
            self._order.note_no_answer(reader.node_id, self._now())
            self._leave(reader, "no answer")

    def _note_out_of_contact(self, reader: Member) -> None:
        self._order.note_out_of_contact(reader.node_id, self._now())
        self._leave(reader, "it hears nothing from the store")

    def _leave(self, reader: Member, reason: str) -> None:
        """Rely on a reader no more; all questions that wait there go elsewhere."""
        if reader.node_id in self._proven:
            self._proven.remove(reader.node_id)
            self._log.write(decisions.DependencyChanged(f"reader/{reader.node_id}", False, reason))
            # The next one is asked first for what it knows by now: its answer proves more than a
            # change that it waits for, and if it is lost as well that shows after 0.5 s, not 1.5.
            self._told.clear()
            if not self._proven:
                self.relayed_reads.note_no_healthy_reader()
        for arrived, asked in list(self._pending.items()):
            if asked == reader.node_id and not arrived.ready():
                arrived.send(None)
        self._note_doubt()

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """End waiting watches at the store itself."""
        self._direct.interrupt_watches(opened_before_s, kind)

    # Which machines are readers

    def has_reader_at(self, address: str) -> bool:
        """Return whether a machine that may be a reader is at an address."""
        return self._order.has_reader_at(address)

    def _readers_listed(self, items: Sequence[StoredObject]) -> None:
        registered = [read_registration(item) for item in items]
        self._order.replace_all(member for member in registered if member is not None)
        self._return_to_first()
        self._note_doubt()

    def _reader_changed(self, change: Change) -> None:
        member = read_registration(change.item)
        if change.is_gone:
            self._order.remove(change.item.name)
        elif member is not None:
            self._order.put(member)
        self._return_to_first()
        self._note_doubt()

    def _return_to_first(self) -> None:
        """End the questions that wait at others than the first reader.

        When a system starts, machines learn of the readers one by one; without this each
        of them would be asked, and watch the store, until the longest wait is over.
        """
        proven = self._proven_readers()
        if not proven:
            return
        self._direct.interrupt_watches()
        for arrived, asked in list(self._pending.items()):
            is_relied_on = asked in self._proven
            if is_relied_on and asked != proven[0].node_id and not arrived.ready():
                arrived.send(_INTERRUPTED)

    # Single objects

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return an object as it stands now at the store itself; None if there is none."""
        try:
            item = self._direct.get(kind, name, timeout_s)
        except WatchInterruptedError:
            raise
        except ObjectStoreError:
            self._direct_again_at = self._now() + DIRECT_GET_PAUSE_SECONDS
            raise
        self._direct_again_at = 0.0
        return item

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> StoredObject:
        """Make an object."""
        return self._store.create(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object's content if it still has a revision."""
        return self._store.replace(kind, name, spec, revision)

    def set_status(self, kind: str, name: str, status: dict[str, Any]) -> None:
        """Replace an object's status."""
        self._store.set_status(kind, name, status)
