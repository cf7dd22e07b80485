"""Client of the platform store that reads through store readers where it can.

Writes go to the store itself, and so does the first list of each kind: a machine that has just
started cannot work before it, and the readers may be starting too.
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
from yarrowwall.watching.object_refusals import ObjectRefusals
from yarrowwall.watching.reader import FIRST_LIST_SECONDS, StoreReader
from yarrowwall.watching.reader_selection import ReaderSelection
from yarrowwall.watching.relayed_reads import PAUSE_SECONDS, SHORT_PAUSE_SECONDS, RelayedReads
from yarrowwall.watching.replies import changes_from_reply, is_out_of_contact, listing_from_reply

#: Maximum wait in seconds for a change of a short-wait kind, by which unresponsive readers are
#: detected, and of any other kind. The latter is also how long a machine may stay with another
#: reader after the first one has recovered.
SHORT_WAIT_SECONDS = 1.0
MAX_WAIT_SECONDS = 5.0
#: Seconds that the reply to a request may take in addition to its wait.
ANSWER_SECONDS = 0.5
#: Timeout of a reader's first answer in seconds; the reader may have to list the objects first.
FIRST_ANSWER_SECONDS = FIRST_LIST_SECONDS + 0.2
#: Maximum wait of a watch at the store itself in seconds; readers are tried again after it.
DIRECT_WAIT_SECONDS = 5.0
#: Seconds without an answer of any reader after which the store itself is asked, and the seconds
#: over which machines spread that, so that they don't all ask at once.
DIRECT_AFTER_SECONDS = 0.8
DIRECT_SPREAD_SECONDS = 1.0
#: Seconds after a failed read of the store itself in which this process sends it no reads of any
#: kind. Otherwise each of four kinds and the freshness probe would send their own in an outage, and
#: calls are billed.
DIRECT_PAUSE_SECONDS = 0.8
#: The same after a failed read of a single object. The freshness probe repeats such reads at most
#: 1.6 s apart, and its first answer ends the pause of all kinds.
DIRECT_GET_PAUSE_SECONDS = 2.0
#: Seconds after the start in which readers may still register, and between two health checks.
FIRST_READERS_SECONDS = 3.0
HEALTH_CHECK_SECONDS = 0.25
#: Seconds between two health checks while a reader is healthy: a preferred one may have recovered.
HEALTHY_CHECK_SECONDS = 1.0
#: Maximum pause in seconds after a failed read while a reader can be asked.
REACHABLE_PAUSE_SECONDS = 0.25
#: Seconds for which a reader that cannot reach the store holds a health check. It answers as soon
#: as the store has recovered. A reader that dies meanwhile is detected within this time.
HELD_CHECK_SECONDS = 0.5
#: Number of readers that are asked at each health check: the two preferred ones.
READERS_CHECKED = 2

#: Stands for the reply to a request that this process ended itself.
_INTERRUPTED = object()


class StoreClient:
    """Reads from the store through readers, and writes to it directly.

    A read is sent to a healthy reader; through neighbours if there is none; to the store itself if
    that fails too. A reader is healthy if its last answer showed that it reaches the store.

    :param direct: the client of the store itself.
    :param own_reader: the reader of this process, if it has one.
    :param short_wait_kinds: kinds that are requested with short waits, so that an unresponsive
        reader is detected soon. Health checks use the first of them.
    :param now: the monotonic clock.
    :ivar relayed_reads: reads that go through neighbours.
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
        self._direct = MonitoredStore(direct, now, on_recovered=self._note_reachable)
        self._own_reader = own_reader
        self._short_wait_kinds = short_wait_kinds
        self._check_kind = next(iter(short_wait_kinds), REPLICAS_KIND)
        self._log = log
        self._now = now
        self._started_at = now()
        self._links = LinkTable(log, now)
        self._selection = ReaderSelection(node_id, zone)
        self.relayed_reads = RelayedReads(self._selection, log, now)
        self._relayed_at: dict[str, float] = {}
        self._healthy: set[str] = set()
        self._checking: set[str] = set()
        self._check_requested = Event()
        self._reachable = Event()
        self._direct_watches = DirectWatches(self._direct)
        self._pending: dict[Event, str] = {}
        self._revisions: dict[str, int] = {}
        self._answered_kinds: set[str] = set()
        self._last_answer_at = now()
        self._direct_paused_until = 0.0
        self._direct_after_s = DIRECT_AFTER_SECONDS + DIRECT_SPREAD_SECONDS * fraction(
            "direct", node_id
        )
        self._refusals = ObjectRefusals(REPLICAS_KIND, log)
        self._readers = KindFollower(
            self,
            REPLICAS_KIND,
            self._on_readers_listed,
            self._on_reader_changed,
            log,
            allow_stale=True,
        )

    def start(self) -> None:
        """Start following the registered readers and checking their health."""
        self._readers.start()
        eventlet.spawn_n(self._check_readers)

    # Reading

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        The list is never older than the state returned before, except with ``allow_stale`` while
        no reader is known yet: then it may be some seconds old.
        """
        known = self._revisions.get(kind, 0)
        listing = self._list_at_readers(kind, known) if known else None
        if listing is None:
            is_start = not known or not self._selection.is_known
            listing = self._list_directly(kind, timeout_s, allow_stale and is_start)
        self._revisions[kind] = max(known, listing.revision)
        return listing

    def _list_directly(self, kind: str, timeout_s: float, allow_stale: bool) -> Listing:
        sent_at_s = self._now()
        # A machine that has just started cannot work before its first lists.
        is_first = kind not in self._revisions
        with contextlib.nullcontext() if is_first else self._tracking_direct_read():
            listing = self._direct.list(kind, timeout_s, allow_stale)
        if allow_stale:
            return listing
        return Listing(listing.items, listing.revision, sent_at_s)

    def _list_at_readers(self, kind: str, known: int) -> Listing | None:
        for reader in self._healthy_readers():
            sent_at_s = self._now()
            reply = self._ask(reader, ListObjects(kind, known), FIRST_ANSWER_SECONDS)
            if reply is not None and reply.status is ObjectsStatus.OK:
                return listing_from_reply(reply, sent_at_s)
        return self._list_through_neighbours(kind, known)

    def _list_through_neighbours(self, kind: str, known: int) -> Listing | None:
        """Return a list that neighbours relay from a reader; None if there is no usable answer."""
        if not self.relayed_reads.is_active:
            return None
        # Taken before the first neighbour is asked, so that the request reaches the reader later
        # than this, however long the answer takes.
        sent_at_s = self._now()
        reply = self.relayed_reads.ask(ListObjects(kind, known))
        if reply is None or reply.status is not ObjectsStatus.OK:
            return None
        return listing_from_reply(reply, sent_at_s)

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; none if there was no change within the wait."""
        while True:
            found = self._watch_at_readers(kind, revision, wait_s)
            if found is not None:
                return found
            if (
                not self._selection.is_known
                and self._now() - self._started_at < FIRST_READERS_SECONDS
            ):
                return self._wait_for_readers(kind, revision)
            if not self._wait_for_reader():
                break
        with self._tracking_direct_read():
            found = self._direct_watches.watch(kind, revision, min(wait_s, DIRECT_WAIT_SECONDS))
        return self._record_revision(kind, found)

    def _watch_at_readers(self, kind: str, revision: int, wait_s: float) -> Changes | None:
        """Return the changes from a healthy reader or through neighbours; None if none answers."""
        for reader in self._healthy_readers():
            found = self._watch_at_reader(reader, kind, revision, wait_s)
            if found is not None:
                self._last_answer_at = self._now()
                return self._record_revision(kind, found)
        return self._watch_through_neighbours(kind, revision)

    def _watch_through_neighbours(self, kind: str, revision: int) -> Changes | None:
        """Return changes that neighbours relay from a reader; None if there is no usable answer."""
        if self.relayed_reads.is_active:
            self._pause_relayed_reads(kind)
        if not self.relayed_reads.is_active:
            return None
        sent_at_s = self._relayed_at[kind] = self._now()
        reply = self.relayed_reads.ask(WatchObjects(kind, revision, 0.0))
        if reply is None:
            return None
        self._last_answer_at = self._now()
        return self._record_revision(
            kind, changes_from_reply(reply, sent_at_s, "through a neighbour")
        )

    def _pause_relayed_reads(self, kind: str) -> None:
        """Wait until a kind may be read through neighbours again, or until a reader is found."""
        pause_s = SHORT_PAUSE_SECONDS if kind in self._short_wait_kinds else PAUSE_SECONDS
        left_s = self._relayed_at.get(kind, float("-inf")) + pause_s - self._now()
        if left_s > 0.0:
            self._reachable.wait(left_s)

    def _wait_for_reader(self) -> bool:
        """Wait for a reader until the store itself may be asked; return whether there is one."""
        left_s = self._last_answer_at + self._direct_after_s - self._now()
        if left_s <= 0.0:
            return False
        self._reachable.wait(left_s)
        return self._can_ask_reader

    @property
    def _can_ask_reader(self) -> bool:
        """Return whether a reader can be asked, directly or through neighbours."""
        return bool(self._healthy_readers()) or self.relayed_reads.is_active

    @contextlib.contextmanager
    def _tracking_direct_read(self) -> Iterator[None]:
        """Record whether the store itself answers the request sent within the context.

        :raises ObjectStoreError: without a request, during the pause after a failed read.
        """
        if self._now() < self._direct_paused_until:
            raise ObjectStoreError("a recent read of the store failed")
        try:
            yield
        except (HistoryExpiredError, WatchInterruptedError):
            raise
        except ObjectStoreError:
            self._direct_paused_until = self._now() + DIRECT_PAUSE_SECONDS
            raise
        self._direct_paused_until = 0.0

    def _record_revision(self, kind: str, found: Changes) -> Changes:
        self._revisions[kind] = max(self._revisions.get(kind, 0), found.revision)
        return found

    def _wait_for_readers(self, kind: str, revision: int) -> Changes:
        """Wait for a short time in which readers may register."""
        eventlet.sleep(HEALTH_CHECK_SECONDS)
        if kind == REPLICAS_KIND:
            raise HistoryExpiredError("no reader is registered yet")
        return Changes([], revision)

    def _watch_at_reader(
        self, reader: Member, kind: str, revision: int, wait_s: float
    ) -> Changes | None:
        """Return the changes from a reader; None if it has no usable answer."""
        is_short_wait = kind in self._short_wait_kinds
        wait_s = min(wait_s, SHORT_WAIT_SECONDS if is_short_wait else MAX_WAIT_SECONDS)
        if is_short_wait and kind not in self._answered_kinds:
            # The reader's state is verified already; its next verification is up to 0.9 s away.
            wait_s = 0.0
        sent_at_s = self._now()
        reply = self._ask(reader, WatchObjects(kind, revision, wait_s), wait_s + ANSWER_SECONDS)
        if reply is None or reply.status is ObjectsStatus.OUT_OF_CONTACT:
            return None
        self._note_healthy(reader)
        self._answered_kinds.add(kind)
        return changes_from_reply(reply, sent_at_s, f"reader {reader.node_id}")

    # Health checks

    def _check_readers(self) -> None:
        """Check the readers that are preferred to the healthy ones, concurrently with reads.

        So reads never wait for a reader that is unresponsive or cannot reach the store, and they
        return to the preferred reader soon after it has recovered.
        """
        while True:
            self._check_requested.wait(
                HEALTHY_CHECK_SECONDS if self._healthy else HEALTH_CHECK_SECONDS
            )
            self._check_requested = Event()
            for reader in self._readers_to_check():
                self._checking.add(reader.node_id)
                eventlet.spawn_n(self._check_reader, reader)
            if self.relayed_reads.is_probe_due():
                eventlet.spawn_n(self._probe_neighbours)

    def _probe_neighbours(self) -> None:
        """Probe whether a neighbour reaches a reader, and wake waiting reads if one does."""
        kind = self._check_kind
        self.relayed_reads.probe(
            WatchObjects(kind, self._revisions.get(kind, 0), 0.0, is_look=True)
        )
        if self.relayed_reads.is_active:
            self._note_reachable()

    def _request_check(self) -> None:
        """Check the readers at once: one became unhealthy, or their list changed."""
        if not self._check_requested.ready():
            self._check_requested.send()

    def _readers_to_check(self) -> Sequence[Member]:
        """Return the readers that are preferred to the healthy ones and not being checked."""
        found = []
        for reader in self._selection.candidates(self._now()):
            if reader.node_id in self._healthy:
                break
            if reader.node_id not in self._checking:
                found.append(reader)
        return found[:READERS_CHECKED]

    def _check_reader(self, reader: Member) -> None:
        """Check a reader; while it cannot reach the store, wait for it to recover."""
        try:
            reply = self._send_check(reader, 0.0)
            # A reader that cannot reach the store holds the request until it can.
            while is_out_of_contact(reply) and not self._healthy:
                reply = self._send_check(reader, HELD_CHECK_SECONDS)
        except WatchInterruptedError:
            return
        finally:
            self._checking.discard(reader.node_id)
        if reply is not None and not is_out_of_contact(reply):
            self._note_healthy(reader)

    def _send_check(self, reader: Member, wait_s: float) -> ObjectsReply | None:
        kind = self._check_kind
        request = WatchObjects(kind, self._revisions.get(kind, 0), wait_s, is_look=True)
        return self._ask(reader, request, wait_s + FIRST_ANSWER_SECONDS)

    def _healthy_readers(self) -> Sequence[Member]:
        """Return the healthy readers, the preferred one first."""
        candidates = self._selection.candidates(self._now())
        return [reader for reader in candidates if reader.node_id in self._healthy]

    def wait_for_recovery(self, seconds: float) -> None:
        """Pause for some seconds, or until a reader or the store answers again."""
        self._reachable.wait(
            min(seconds, REACHABLE_PAUSE_SECONDS) if self._can_ask_reader else seconds
        )

    def _note_reachable(self) -> None:
        found, self._reachable = self._reachable, Event()
        found.send()
        self._direct_watches.interrupt("a reader can be asked again")

    # Requests to readers

    def _ask(
        self, reader: Member, request: ListObjects | WatchObjects, timeout_s: float
    ) -> ObjectsReply | None:
        """Return a reader's reply; return None and skip the reader for a while if there is none."""
        arrived = Event()
        self._pending[arrived] = reader.node_id
        forget = self._send(reader, request, arrived)
        try:
            reply = arrived.wait(timeout_s)
        finally:
            self._pending.pop(arrived, None)
            # A request that this process ended itself has not timed out.
            forget(not arrived.ready())
        if reply is _INTERRUPTED:
            raise WatchInterruptedError(request.kind)
        if not isinstance(reply, ObjectsReply):
            self._note_no_answer(reader)
            return None
        self.relayed_reads.note_direct_answer()
        if reply.status is ObjectsStatus.OUT_OF_CONTACT:
            self._note_out_of_contact(reader)
        return reply

    def _send(
        self, reader: Member, request: ListObjects | WatchObjects, arrived: Event
    ) -> Callable[[bool], None]:
        """Send a request; return a function that drops it, given whether it timed out."""

        def complete(reply: object) -> None:
            if not arrived.ready():
                arrived.send(reply)

        if reader.node_id == self._node_id and self._own_reader is not None:
            self._own_reader.ask(request, complete)
            return lambda is_late: None
        link = self._links.get(reader.address)
        number = link.post(request, complete)
        return lambda is_late: link.forget(number, is_late)

    def _note_healthy(self, reader: Member) -> None:
        self._selection.note_answered(reader.node_id)
        if reader.node_id not in self._healthy:
            self._healthy.add(reader.node_id)
            self.relayed_reads.note_healthy_reader()
            self._log.write(decisions.DependencyChanged(f"reader/{reader.node_id}", True, ""))
            self._return_to_preferred()
            self._note_reachable()

    def _note_no_answer(self, reader: Member) -> None:
        if reader.node_id in self._healthy or reader in self._selection.candidates(self._now()):
            self._selection.note_no_answer(reader.node_id, self._now())
            self._note_unhealthy(reader, "no answer")

    def _note_out_of_contact(self, reader: Member) -> None:
        self._selection.note_out_of_contact(reader.node_id, self._now())
        self._note_unhealthy(reader, "it cannot reach the store")

    def _note_unhealthy(self, reader: Member, reason: str) -> None:
        """Mark a reader as unhealthy and redirect the requests that wait there."""
        if reader.node_id in self._healthy:
            self._healthy.remove(reader.node_id)
            self._log.write(decisions.DependencyChanged(f"reader/{reader.node_id}", False, reason))
            # The first request to the next reader does not wait: its answer verifies the state at
            # once, and if that reader is lost too this shows after 0.5 s instead of 1.5 s.
            self._answered_kinds.clear()
            if not self._healthy:
                self.relayed_reads.note_no_healthy_reader()
        for arrived, asked in list(self._pending.items()):
            if asked == reader.node_id and not arrived.ready():
                arrived.send(None)
        self._request_check()

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """Interrupt watches that are waiting at the store itself."""
        self._direct.interrupt_watches(opened_before_s, kind)

    # Registered readers

    def has_reader_at(self, address: str) -> bool:
        """Return whether a reader is registered at an address."""
        return self._selection.has_reader_at(address)

    def _on_readers_listed(self, items: Sequence[StoredObject]) -> None:
        registered = [self._read_registration(item) for item in items]
        self._selection.replace_all(member for member in registered if member is not None)
        self._return_to_preferred()
        self._request_check()

    def _on_reader_changed(self, change: Change) -> None:
        member = None if change.is_gone else self._read_registration(change.item)
        if change.is_gone:
            self._selection.remove(change.item.name)
        elif member is not None:
            self._selection.put(member)
        self._return_to_preferred()
        self._request_check()

    def _read_registration(self, item: StoredObject) -> Member | None:
        """Return a registered machine; None, which is logged, if the object names none."""
        member = read_registration(item)
        if member is None:
            self._refusals.note(item.name, "no registration of the machine of that name")
        return member

    def _return_to_preferred(self) -> None:
        """End the requests that wait at other readers than the preferred healthy one.

        When a system starts, machines learn of the readers one by one. Without this, each of those
        readers would be asked, and watch the store, until the longest wait is over.
        """
        healthy = self._healthy_readers()
        if not healthy:
            return
        self._direct.interrupt_watches()
        for arrived, asked in list(self._pending.items()):
            is_healthy = asked in self._healthy
            if is_healthy and asked != healthy[0].node_id and not arrived.ready():
                arrived.send(_INTERRUPTED)

    # Reading at the store itself

    def list_now(self, kind: str, timeout_s: float) -> Listing:
        """Return all objects of a kind as the store itself has them now."""
        with self._tracking_direct_read():
            return self._direct.list(kind, timeout_s)

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return the current state of an object at the store itself; None if there is none."""
        try:
            item = self._direct.get(kind, name, timeout_s)
        except WatchInterruptedError:
            raise
        except ObjectStoreError:
            self._direct_paused_until = self._now() + DIRECT_GET_PAUSE_SECONDS
            raise
        self._direct_paused_until = 0.0
        return item

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> StoredObject:
        """Create an object."""
        return self._store.create(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object's content if it still has the given revision."""
        return self._store.replace(kind, name, spec, revision)

    def set_status(self, kind: str, name: str, status: dict[str, Any]) -> None:
        """Replace an object's status."""
        self._store.set_status(kind, name, status)
