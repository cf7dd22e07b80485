"""A replica with its log on disk; a subclass may keep further kinds of records in the log."""

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from yarrowwall import decisions
from yarrowwall.clocks import Clock, read_clock
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.quotas import LendingBegun, QuotaLent
from yarrowwall.policy.record_room import RecordRoom
from yarrowwall.replication.replica import LogRecord, RecordReplica, with_time
from yarrowwall.storage import identity
from yarrowwall.storage.exceptions import CorruptSegmentError
from yarrowwall.storage.journal_writer import JournalWriter
from yarrowwall.storage.segments import SegmentStore

#: Number of segments above which the log is compacted.
MAX_SEGMENTS = 2
SEGMENT_BYTES = 16 * 1024 * 1024
_LOG_FOLDER = "records"

DiskRecord = LogRecord | QuotaLent | LendingBegun


class RecordDisk:
    """A replica of the record store with its log on disk.

    :param room: counts the records of the machine.
    :ivar replica: the replica's state machine.
    """

    def __init__(
        self, node_id: str, folder: Path, log: DecisionLog, room: RecordRoom | None = None
    ) -> None:
        self._log = log
        self._folder = folder
        self._room = room if room is not None else RecordRoom()
        self.replica = self._open(node_id)
        self._writer = JournalWriter(self._store, self._note_write_error)

    def _open(self, node_id: str) -> RecordReplica:
        used_before = self._room.used
        try:
            return self._restore(node_id)
        except CorruptSegmentError as error:
            self._room.used = used_before
            # Acknowledged records are lost, so the disk gets a new id: under the old one it
            # would count as a copy of them.
            self._log.write(decisions.ProcessChanged("disk given up", str(error)))
            identity.discard(self._folder)
            for path in (self._folder / _LOG_FOLDER).iterdir():
                path.unlink()
            return self._restore(node_id)

    def _restore(self, node_id: str) -> RecordReplica:
        disk_id = identity.initialise(self._folder)
        self._store = SegmentStore(self._folder / _LOG_FOLDER, SEGMENT_BYTES)
        replica = RecordReplica(node_id, disk_id, self._room)
        clock = read_clock()
        replica.restore(self._restore_other_records(disk_id, self._log_records(), clock), clock)
        self.replica = replica
        if self._store.segment_count() > MAX_SEGMENTS:
            self._store.compact(self._snapshot())
        return replica

    def _log_records(self) -> Iterator[DiskRecord]:
        for record in self._store.read():
            if not isinstance(record, DiskRecord):
                raise CorruptSegmentError(f"unexpected record {type(record).__name__} in the log")
            yield record

    def _restore_other_records(
        self, disk_id: str, records: Iterator[DiskRecord], clock: Clock
    ) -> Iterator[LogRecord]:
        """Restore the state of other kinds of log records; yield those of the record store.

        Subclasses that keep such state override this.
        """
        for record in records:
            if not isinstance(record, LogRecord):
                raise CorruptSegmentError(f"unexpected record {type(record).__name__} in the log")
            yield record

    def _snapshot(self) -> list[DiskRecord]:
        """Return log records that restore the whole state."""
        clock = read_clock()
        return [with_time(record, clock) for record in self.replica.snapshot(clock.steady_s)]

    def _note_write_error(self, error: Exception) -> bool:
        self._log.write(decisions.DependencyChanged("disk", False, str(error)))
        return True

    def persist(
        self,
        records: Sequence[DiskRecord],
        on_durable: Callable[[], None] = lambda: None,
        on_failed: Callable[[], None] = lambda: None,
    ) -> None:
        """Write log records.

        They are written in order. ``on_durable`` is called once the last one is on disk,
        ``on_failed`` if it could not be written.
        """
        if not records:
            on_durable()
            return
        for record in records[:-1]:
            self._write(record, lambda: None, lambda: None)
        self._write(records[-1], on_durable, on_failed)

    def _write(
        self, record: DiskRecord, on_durable: Callable[[], None], on_failed: Callable[[], None]
    ) -> None:
        def note_durable() -> None:
            self._mark_durable(record)
            on_durable()

        def note_failed() -> None:
            if isinstance(record, LogRecord):
                self.replica.mark_failed(record)
            on_failed()

        if isinstance(record, LogRecord):
            record = with_time(record, read_clock())
        self._writer.write(record, note_durable, note_failed)

    def _mark_durable(self, record: DiskRecord) -> None:
        if isinstance(record, LogRecord):
            self.replica.mark_durable(record)

    def compact_if_long(self) -> None:
        """Compact the log if it has grown beyond :data:`MAX_SEGMENTS`."""
        if self._store.segment_count() > MAX_SEGMENTS:
            self._writer.compact(self._snapshot)
