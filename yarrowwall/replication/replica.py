"""A replica of the record store as a state machine without I/O.

The replica answers requests of its own epoch only, and only to senders that mean its
disk. A view counts once it is on disk: a replica that forgot an epoch by a loss of
power would again acknowledge writes that the change of the group left behind.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from yarrowwall.messages.replicated import (
    AskStatus,
    FetchRecords,
    GroupView,
    InstallView,
    KeysReply,
    ListKeys,
    ReadChain,
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
from yarrowwall.replication.table import RecordTable
from yarrowwall.replication.views import disk_ids, member_of

LogRecord = RecordsKept | ViewKept | SynchronisationKept
Request = (
    WriteRecords
    | ReserveRecord
    | ReadOwner
    | ReadChain
    | ListKeys
    | FetchRecords
    | AskStatus
    | InstallView
)
Reply = RecordsReply | KeysReply | StatusReply

#: Epoch of the first view; before it nothing was ever written.
FIRST_EPOCH = 1
#: Records written as one log record by a snapshot.
_RECORDS_PER_FRAME = 128


@dataclass(frozen=True)
class Outcome:
    """What a request leads to.

    :param reply: to be sent once ``persist`` is on disk.
    :param persist: log records in order.
    """

    reply: Reply
    persist: list[LogRecord] = field(default_factory=list)


class RecordReplica:
    """State and rules of one replica.

    :param disk_id: identity of its data folder.
    """

    def __init__(self, node_id: str, disk_id: str) -> None:
        self.node_id = node_id
        self.disk_id = disk_id
        self.table = RecordTable()
        self.view: GroupView | None = None
        self._coming: GroupView | None = None
        self.counts_for_reads = False
        self.synchronised_epoch = 0
        self._pending_writes: set[tuple[str, int]] = set()

    @property
    def epoch(self) -> int:
        """Return the epoch that the replica answers in."""
        return self.view.epoch if self.view is not None else 0

    @property
    def _newest_epoch(self) -> int:
        """Return the newest epoch heard of; requests of older ones are refused."""
        return max(self.epoch, self._coming.epoch if self._coming is not None else 0)

    # The disk

    def restore(self, records: Iterable[LogRecord], now: float) -> None:
        """Take in the log that was found on disk."""
        for record in records:
            if isinstance(record, RecordsKept):
                self.table.put(record.records, now)
            elif isinstance(record, ViewKept):
                self._take_view(record.view)
            else:
                self._take_synchronisation(record)

    def snapshot(self) -> list[LogRecord]:
        """Return a log that restores this state."""
        found: list[LogRecord] = []
        if self.view is not None:
            found.append(ViewKept(self.view))
        found.append(SynchronisationKept(self.synchronised_epoch, self.counts_for_reads))
        records = self.table.all()
        for start in range(0, len(records), _RECORDS_PER_FRAME):
            found.append(RecordsKept(records[start : start + _RECORDS_PER_FRAME]))
        return found

    def mark_durable(self, record: LogRecord) -> None:
        """Note that a log record is on disk."""
        if isinstance(record, ViewKept):
            self._take_view(record.view)
        elif isinstance(record, SynchronisationKept):
            self._take_synchronisation(record)
        else:
            self._pending_writes -= {(kept.key, kept.version) for kept in record.records}

    def mark_failed(self, record: LogRecord) -> None:
        """Note that the disk refused a log record."""
        if isinstance(record, ViewKept):
            self._coming = None

    def _follows_on(self, known: GroupView | None, view: GroupView) -> bool:
        """Return whether a view is to be taken by a replica that knows another one."""
        if known is None or view.epoch > known.epoch:
            return True
        # Epochs of different groups tell nothing of each other. A replica that its group has
        # released belongs to whichever group names it next.
        is_released = view.group != known.group and member_of(known, self.disk_id) is None
        return is_released and member_of(view, self.disk_id) is not None

    def _take_view(self, view: GroupView) -> None:
        if not self._follows_on(self.view, view):
            return
        if self.view is not None and view.group != self.view.group:
            # What was copied in one group counts for nothing in another.
            self.counts_for_reads, self.synchronised_epoch = False, 0
        is_first, follows = self.view is None, view.epoch == self.epoch + 1
        self.view = view
        is_member = self.disk_id in disk_ids(view.members)
        if view.epoch == FIRST_EPOCH and is_first:
            self.counts_for_reads = is_member
        elif view.joining:
            # A change begins: whoever counted before it still does, unless it missed
            # another change in between.
            self.counts_for_reads = self.counts_for_reads and follows and is_member
        else:
            # A change is over: only who copied during it holds all that was complete.
            self.counts_for_reads = is_member and self.synchronised_epoch == view.epoch - 1

    def _take_synchronisation(self, record: SynchronisationKept) -> None:
        self.synchronised_epoch = max(self.synchronised_epoch, record.epoch)
        # The mark of a settled group still holds once the next change has begun, not later.
        begun = self.view is not None and bool(self.view.joining)
        if record.epoch == self.epoch or (begun and record.epoch + 1 == self.epoch):
            self.counts_for_reads = record.is_reader

    # Synchronisation

    @property
    def needs_synchronisation(self) -> bool:
        """Return whether the replica has to copy from others before it counts."""
        if self.view is None or member_of(self.view, self.disk_id) is None:
            return False
        if self.view.joining:
            joins = self.disk_id in disk_ids(self.view.joining)
            return joins and self.synchronised_epoch < self.view.epoch
        return not self.counts_for_reads

    def missing(self, keys: list[str], versions: list[int]) -> list[str]:
        """Return the keys of which a newer version is listed than the one held."""
        found = []
        for key, version in zip(keys, versions, strict=True):
            held = self.table.get(key)
            if held is None or held.version < version:
                found.append(key)
        return found

    def store_copied(self, records: list[StoredRecord], now: float) -> list[LogRecord]:
        """Take in copied records; return what must go to disk."""
        to_keep = self._take_records(records, now)
        return [RecordsKept(to_keep)] if to_keep else []

    def _take_records(self, records: list[StoredRecord], now: float) -> list[StoredRecord]:
        """Take records in; return those that are not on disk yet.

        A record that is held may still be on its way to the disk, or the disk may have
        refused it; it is written again with its copy.
        """
        news = self.table.put(records, now)
        self._pending_writes |= {(record.key, record.version) for record in news}
        return [
            record for record in records if (record.key, record.version) in self._pending_writes
        ]

    def synchronisation_mark(self, view: GroupView) -> LogRecord | None:
        """Return the mark of a finished copy; None if the view has changed meanwhile."""
        if self.view is None or (self.view.group, self.view.epoch) != (view.group, view.epoch):
            return None
        if self._coming is not None and self._coming.group != view.group:
            # The mark would be on disk behind the view of another group, and count there.
            return None
        counts_for_reads = self.counts_for_reads if self.view.joining else True
        return SynchronisationKept(view.epoch, counts_for_reads)

    # Requests

    def handle(self, request: Request, now: float) -> Outcome:
        """Return what a request leads to."""
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
            return self._reserve(request.record, now)
        if isinstance(request, ListKeys):
            return Outcome(self._listed(self.table.all()))
        if isinstance(request, ReadOwner):
            return Outcome(self._owner_listed(request.owner))
        if isinstance(request, ReadChain):
            return Outcome(self._found(self.table.chain(request.key, request.known)))
        records = [self.table.get(key) for key in request.keys]
        return Outcome(self._found([record for record in records if record is not None]))

    def status(self) -> StatusReply:
        """Return the replica's state."""
        return StatusReply(
            self.node_id, self.disk_id, self.epoch, self.counts_for_reads, self.synchronised_epoch
        )

    def _install(self, view: GroupView) -> Outcome:
        known = self.view if self._coming is None else self._coming
        if not (self._follows_on(known, view) and self._follows_on(self.view, view)):
            return Outcome(self.status())
        self._coming = view
        return Outcome(self.status(), [ViewKept(view)])

    def install_view(self, view: GroupView) -> list[LogRecord]:
        """Take a view heard of elsewhere; return what must go to disk."""
        return self._install(view).persist

    def _refusal(self, group: int, epoch: int, disk_id: str) -> ReplyStatus | None:
        if disk_id != self.disk_id:
            return ReplyStatus.OTHER_DISK
        if self.view is not None and group != self.view.group:
            # Whoever asks tells its view, and this replica judges it.
            return ReplyStatus.BEHIND
        if epoch < self._newest_epoch:
            return ReplyStatus.STALE
        if epoch > self.epoch:
            return ReplyStatus.BEHIND
        return None

    def _refuse(self, request: Request, status: ReplyStatus) -> Reply:
        view = self.view if status is ReplyStatus.STALE else None
        if isinstance(request, ListKeys | ReadOwner | ReserveRecord):
            return KeysReply(status, False, [], [], [], "", view)
        return RecordsReply(status, False, [], view)

    def _write(self, request: WriteRecords, now: float) -> Outcome:
        to_keep = self._take_records(request.records, now)
        return Outcome(self._found([]), [RecordsKept(to_keep)] if to_keep else [])

    def _reserve(self, record: StoredRecord, now: float) -> Outcome:
        # The reply tells what is held now, before the disk has the record: of two
        # reservations that meet here, the later one sees the earlier one.
        to_keep = self._take_records([record], now)
        return Outcome(self._owner_listed(record.owner), [RecordsKept(to_keep)] if to_keep else [])

    def _owner_listed(self, owner: str) -> KeysReply:
        return self._listed(self.table.of_owner(owner), self.table.newest_note(owner))

    def _found(self, records: list[StoredRecord]) -> RecordsReply:
        return RecordsReply(ReplyStatus.OK, self.counts_for_reads, records, None)

    def _listed(self, records: list[StoredRecord], note: str = "") -> KeysReply:
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
        if self._coming is not None and self.view is not None:
            assert self._newest_epoch >= self.epoch
        if self.counts_for_reads:
            assert self.view is not None, "a reader without a group"
