"""A replica of the record store as a state machine without I/O.

The replica answers only requests of its own epoch that name its disk. A view takes effect once it
is on disk: a replica that forgot an epoch in a power failure would again acknowledge writes of an
epoch that the group has left.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from yarrowwall.clocks import Clock
from yarrowwall.messages.replicated import (
    AskStatus,
    FetchRecords,
    GroupView,
    InstallView,
    KeysReply,
    LifetimesReply,
    ListKeys,
    ReadChain,
    ReadLifetimes,
    ReadOwner,
    RecordsKept,
    RecordsReply,
    ReplyStatus,
    ReserveRecord,
    StatusReply,
    StoredRecord,
    SynchronisationKept,
    ViewKept,
    WriteRecords,
)
from yarrowwall.policy.record_room import RecordRoom
from yarrowwall.replication.table import NO_LIFETIMES, RecordTable, owner_of
from yarrowwall.replication.views import disk_ids, member_of

LogRecord = RecordsKept | ViewKept | SynchronisationKept
Request = (
    WriteRecords
    | ReserveRecord
    | ReadOwner
    | ReadChain
    | ReadLifetimes
    | ListKeys
    | FetchRecords
    | AskStatus
    | InstallView
)
Reply = RecordsReply | KeysReply | LifetimesReply | StatusReply


#: Epoch of a group's first view. No record was written before it.
FIRST_EPOCH = 1
#: Records that a snapshot writes as one log record.
_RECORDS_PER_FRAME = 128


def with_time(record: LogRecord, clock: Clock) -> LogRecord:
    """Return a log record with the time at which it is written, if it holds records."""
    if not isinstance(record, RecordsKept):
        return record
    return replace(record, wall_s=clock.wall_s, steady_s=clock.steady_s)


@dataclass(frozen=True)
class Outcome:
    """The result of a request.

    :param reply: the reply, to be sent once ``persist`` is on disk.
    :param persist: log records to write, in order.
    """

    reply: Reply
    persist: list[LogRecord] = field(default_factory=list)


class RecordReplica:
    """State machine of one replica.

    :param disk_id: the id of its data folder.
    :param room: counts the records of the machine, and refuses new owners' where there is none.
    :ivar view: the newest view on disk; None if the replica never had one.
    :ivar counts_for_reads: whether the replica holds every complete record, so that its answers
        count for a read quorum.
    :ivar synchronised_epoch: the newest epoch in which it finished a copy.
    :ivar is_leaving: whether its process is about to end; see :class:`StatusReply`.
    """

    def __init__(self, node_id: str, disk_id: str, room: RecordRoom | None = None) -> None:
        self.node_id = node_id
        self.disk_id = disk_id
        self.table = RecordTable(room)
        self.view: GroupView | None = None
        self._pending_view: GroupView | None = None
        self.counts_for_reads = False
        self.synchronised_epoch = 0
        self.is_leaving = False
        self._pending_writes: set[tuple[str, int]] = set()

    @property
    def epoch(self) -> int:
        """Return the epoch whose requests the replica answers; 0 without a view."""
        return self.view.epoch if self.view is not None else 0

    @property
    def _newest_epoch(self) -> int:
        """Return the newest known epoch, also if it is not on disk yet.

        Requests of older epochs are refused.
        """
        return max(self.epoch, self._pending_view.epoch if self._pending_view is not None else 0)

    # Log records

    def restore(self, records: Iterable[LogRecord], clock: Clock) -> None:
        """Apply the log records that were read from disk.

        Records are kept for as long as if the process had not ended. In logs of earlier releases,
        which do not tell when a record was written, a whole retention begins anew.

        :param clock: the machine's clocks now.
        """
        for record in records:
            if isinstance(record, RecordsKept):
                self._restore_records(record, clock)
            elif isinstance(record, ViewKept):
                self._apply_view(record.view)
            else:
                self._apply_synchronisation(record)

    def _restore_records(self, kept: RecordsKept, clock: Clock) -> None:
        age_s = clock.age_s(kept.wall_s, kept.steady_s) if kept.wall_s else 0.0
        keys = [record.key for record in kept.records]
        left_s = dict(zip(keys, kept.left_s, strict=bool(kept.left_s)))
        self.table.put(kept.records, clock.steady_s - age_s, left_s)

    def snapshot(self, now: float) -> list[LogRecord]:
        """Return log records that restore this state."""
        found: list[LogRecord] = []
        if self.view is not None:
            # Earlier releases need the mark before the view that ended its change.
            found.append(SynchronisationKept(self.synchronised_epoch, False))
            found.append(ViewKept(self.view))
        found.append(
            SynchronisationKept(self.synchronised_epoch, self.counts_for_reads, self.epoch)
        )
        records = self.table.all()
        for start in range(0, len(records), _RECORDS_PER_FRAME):
            frame = records[start : start + _RECORDS_PER_FRAME]
            left_s = [self.table.left_s(owner_of(record), now) for record in frame]
            found.append(RecordsKept(frame, left_s=left_s))
        return found

    def mark_durable(self, record: LogRecord) -> None:
        """Note that a log record is on disk."""
        if isinstance(record, ViewKept):
            self._apply_view(record.view)
        elif isinstance(record, SynchronisationKept):
            self._apply_synchronisation(record)
        else:
            self._pending_writes -= {(kept.key, kept.version) for kept in record.records}

    def mark_failed(self, record: LogRecord) -> None:
        """Note that a log record could not be written."""
        if isinstance(record, ViewKept):
            self._pending_view = None

    def _supersedes(self, known: GroupView | None, view: GroupView) -> bool:
        """Return whether a view replaces the known one in this replica."""
        if known is None or view.epoch > known.epoch:
            return True
        # Epochs of different groups cannot be compared. A replica that is no member of its group
        # any more joins the next group that names it.
        is_released = view.group != known.group and member_of(known, self.disk_id) is None
        return is_released and member_of(view, self.disk_id) is not None

    def _apply_view(self, view: GroupView) -> None:
        if not self._supersedes(self.view, view):
            return
        if self.view is not None and view.group != self.view.group:
            # A copy from one group does not count in another.
            self.counts_for_reads, self.synchronised_epoch = False, 0
        is_first_view, follows_directly = self.view is None, view.epoch == self.epoch + 1
        self.view = view
        is_member = self.disk_id in disk_ids(view.members)
        if view.epoch == FIRST_EPOCH and is_first_view:
            self.counts_for_reads = is_member
        elif view.joining:
            # A change begins: a replica that counted before it still counts, unless it missed
            # another change in between.
            self.counts_for_reads = self.counts_for_reads and follows_directly and is_member
        else:
            # A change ends: only replicas that copied during it hold every complete record.
            self.counts_for_reads = is_member and self.synchronised_epoch == view.epoch - 1

    def _apply_synchronisation(self, record: SynchronisationKept) -> None:
        self.synchronised_epoch = max(self.synchronised_epoch, record.epoch)
        if record.view_epoch:
            if record.view_epoch == self.epoch:
                self.counts_for_reads = record.is_reader
        elif record.epoch == self.epoch:
            self.counts_for_reads = record.is_reader
        elif record.is_reader and self._is_valid_mark(record.epoch):
            self.counts_for_reads = True

    def _is_valid_mark(self, epoch: int) -> bool:
        """Return whether a replica that counted in an earlier epoch counts in the current view.

        Its mark follows the view in the log if it was written late, and in snapshots of earlier
        releases, also for a group in its first change. The mark from a change is valid in the view
        that ends it, and like that view's own in the one that begins the next change.
        """
        if self.view is None or member_of(self.view, self.disk_id) is None:
            return False
        epochs_since = self.epoch - epoch
        return epochs_since <= (2 if self.view.joining else 1)

    # Synchronisation

    @property
    def needs_synchronisation(self) -> bool:
        """Return whether the replica has to copy from others before it counts for reads."""
        if self.view is None or member_of(self.view, self.disk_id) is None:
            return False
        if self.view.joining:
            joins = self.disk_id in disk_ids(self.view.joining)
            return joins and self.synchronised_epoch < self.view.epoch
        return not self.counts_for_reads

    def missing(self, keys: list[str], versions: list[int]) -> list[str]:
        """Return the keys that are unknown here or listed with a newer version."""
        found = []
        for key, version in zip(keys, versions, strict=True):
            held = self.table.get(key)
            if held is None or held.version < version:
                found.append(key)
        return found

    def store_copied(
        self, records: list[StoredRecord], left_s: Mapping[str, float], now: float
    ) -> list[LogRecord]:
        """Store copied records; return the log records to write.

        :param left_s: for how many seconds the other replica keeps them, by key. Without it, a
            whole retention begins anew.
        """
        to_keep = self._store_records(records, now, left_s)
        return [RecordsKept(to_keep)] if to_keep else []

    def extend_lifetimes(self, left_s: Mapping[str, float], now: float) -> None:
        """Keep records for as long at least as another replica does, by key."""
        for key, seconds in left_s.items():
            record = self.table.get(key)
            if record is not None:
                self.table.extend(owner_of(record), now + seconds)

    def _store_records(
        self, records: list[StoredRecord], now: float, left_s: Mapping[str, float] = NO_LIFETIMES
    ) -> list[StoredRecord]:
        """Store records; return those of them that are not on disk yet.

        A known record may still be waiting for its write, or the write may have failed; it is
        then written again.
        """
        newer = self.table.put(records, now, left_s)
        self._pending_writes |= {(record.key, record.version) for record in newer}
        return [
            record for record in records if (record.key, record.version) in self._pending_writes
        ]

    def synchronisation_mark(self, view: GroupView) -> LogRecord | None:
        """Return the log record that marks a copy as finished; None if the view has changed."""
        if self.view is None or (self.view.group, self.view.epoch) != (view.group, view.epoch):
            return None
        if self._pending_view is not None and self._pending_view.group != view.group:
            # The mark would follow the other group's view in the log, and count there.
            return None
        counts_for_reads = self.counts_for_reads if self.view.joining else True
        return SynchronisationKept(view.epoch, counts_for_reads)

    # Requests

    def handle(self, request: Request, now: float) -> Outcome:
        """Handle a request; return the reply and the log records to write before it is sent."""
        if isinstance(request, AskStatus):
            return Outcome(self.status())
        if isinstance(request, InstallView):
            return self._install(request.view)
        refused = self._refusal(request.group, request.epoch, request.disk_id)
        if refused is not None:
            return Outcome(self._refuse(request, refused))
        if isinstance(request, WriteRecords):
            return self._write(request, now)
        if isinstance(request, ReserveRecord):
            return self._reserve(request, now)
        if isinstance(request, ListKeys):
            return Outcome(self._list_reply(now))
        if isinstance(request, ReadLifetimes):
            return Outcome(self._lifetimes_reply(request, now))
        if isinstance(request, ReadOwner):
            return Outcome(self._owner_reply(request.owner))
        if isinstance(request, ReadChain):
            return Outcome(self._records_reply(self.table.chain(request.key, request.known)))
        records = [self.table.get(key) for key in request.keys]
        return Outcome(self._records_reply([record for record in records if record is not None]))

    def status(self) -> StatusReply:
        """Return the replica's status."""
        return StatusReply(
            self.node_id,
            self.disk_id,
            self.epoch,
            self.counts_for_reads,
            self.synchronised_epoch,
            self.is_leaving,
        )

    def _install(self, view: GroupView) -> Outcome:
        known = self.view if self._pending_view is None else self._pending_view
        if not (self._supersedes(known, view) and self._supersedes(self.view, view)):
            return Outcome(self.status())
        self._pending_view = view
        return Outcome(self.status(), [ViewKept(view)])

    def install_view(self, view: GroupView) -> list[LogRecord]:
        """Accept a view from outside of a request; return the log records to write."""
        return self._install(view).persist

    def _refusal(self, group: int, epoch: int, disk_id: str) -> ReplyStatus | None:
        if disk_id != self.disk_id:
            return ReplyStatus.OTHER_DISK
        if self.view is not None and group != self.view.group:
            # The sender then installs its view, which this replica accepts or not.
            return ReplyStatus.BEHIND
        if epoch < self._newest_epoch:
            return ReplyStatus.STALE
        if epoch > self.epoch:
            return ReplyStatus.BEHIND
        return None

    def _refuse(
        self, request: Request, status: ReplyStatus, counts_for_reads: bool = False
    ) -> Reply:
        view = self.view if status is ReplyStatus.STALE else None
        if isinstance(request, ReadLifetimes):
            return LifetimesReply(status, False, [], [], view)
        if isinstance(request, ListKeys | ReadOwner | ReserveRecord):
            return KeysReply(status, counts_for_reads, [], [], [], "", view)
        return RecordsReply(status, counts_for_reads, [], view)

    def _refuse_for_room(self, request: Request) -> Outcome:
        return Outcome(self._refuse(request, ReplyStatus.DISK_REFUSED, counts_for_reads=True))

    def _write(self, request: WriteRecords, now: float) -> Outcome:
        if not self.table.accepts(request.records):
            return self._refuse_for_room(request)
        to_keep = self._store_records(request.records, now)
        return Outcome(self._records_reply([]), [RecordsKept(to_keep)] if to_keep else [])

    def _reserve(self, request: ReserveRecord, now: float) -> Outcome:
        record = request.record
        if not self.table.accepts_reservation(record):
            return self._refuse_for_room(request)
        # The reply lists the state of now, before the record is on disk: of two reservations that
        # meet at this replica, the later one sees the earlier one.
        to_keep = self._store_records([record], now)
        return Outcome(self._owner_reply(record.owner), [RecordsKept(to_keep)] if to_keep else [])

    def _owner_reply(self, owner: str) -> KeysReply:
        return self._keys_reply(self.table.of_owner(owner), self.table.newest_note(owner))

    def _list_reply(self, now: float) -> KeysReply:
        records = self.table.all()
        left_s = [self.table.left_s(owner_of(record), now) for record in records]
        return replace(self._keys_reply(records), left_s=left_s)

    def _lifetimes_reply(self, request: ReadLifetimes, now: float) -> LifetimesReply:
        return LifetimesReply(
            ReplyStatus.OK,
            self.counts_for_reads,
            [self.table.left_s(owner, now) for owner in request.owners],
            [self.table.key_left_s(key, now) for key in request.keys],
            None,
        )

    def _records_reply(self, records: list[StoredRecord]) -> RecordsReply:
        return RecordsReply(ReplyStatus.OK, self.counts_for_reads, records, None)

    def _keys_reply(self, records: list[StoredRecord], note: str = "") -> KeysReply:
        return KeysReply(
            ReplyStatus.OK,
            self.counts_for_reads,
            [record.key for record in records],
            [record.version for record in records],
            [record.amount for record in records],
            note,
            None,
        )

    def validate_state(self) -> None:
        """Raise AssertionError if the state contradicts itself."""
        if self._pending_view is not None and self.view is not None:
            assert self._newest_epoch >= self.epoch
        if self.counts_for_reads:
            assert self.view is not None, "a replica without a view counts for reads"
