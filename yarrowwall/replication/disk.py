"""A replica with its log on disk, which may hold what others keep there beside records."""

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from yarrowwall import decisions
from yarrowwall.clocks import Clock, read_clock
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.quotas import LendingBegun, QuotaLent
from yarrowwall.replication.replica import LogRecord, RecordReplica
from yarrowwall.storage import identity
from yarrowwall.storage.exceptions import CorruptSegmentError
from yarrowwall.storage.journal_writer import JournalWriter
from yarrowwall.storage.segments import SegmentStore

#: Segments after which the log is written anew without what is obsolete.
SEGMENTS_KEPT = 2
SEGMENT_BYTES = 16 * 1024 * 1024
_LOG_FOLDER = "records"

DiskRecord = LogRecord | QuotaLent | LendingBegun


class RecordDisk:
    """A replica of the record store with its log on disk.

    :ivar replica: its state machine.
    """

    def __init__(self, node_id: str, folder: Path, log: DecisionLog) -> None:
        self._log = log
        self._folder = folder
        self.replica = self._open(node_id)
        self._writer = JournalWriter(self._store, self._refused)

    def _open(self, node_id: str) -> RecordReplica:
        try:
            return self._restore(node_id)
        except CorruptSegmentError as error:
            # Acknowledged records are lost: this disk must not count as the old one.
            self._log.write(decisions.ProcessChanged("disk given up", str(error)))
            identity.discard(self._folder)
            for path in (self._folder / _LOG_FOLDER).iterdir():
                path.unlink()
            return self._restore(node_id)

    def _restore(self, node_id: str) -> RecordReplica:
        disk_id = identity.initialise(self._folder)
        self._store = SegmentStore(self._folder / _LOG_FOLDER, SEGMENT_BYTES)
        replica = RecordReplica(node_id, disk_id)
        clock = read_clock()
        replica.restore(
            self._restore_other_records(disk_id, self._own_records(), clock), clock.wall_s
        )
        self.replica = replica
        if self._store.segment_count() > SEGMENTS_KEPT:
            self._store.compact(self._snapshot())
        return replica

    def _own_records(self) -> Iterator[DiskRecord]:
        for record in self._store.read():
            if not isinstance(record, DiskRecord):
                raise CorruptSegmentError(f"a {type(record).__name__} among the records")
            yield record

    def _restore_other_records(
        self, disk_id: str, records: Iterator[DiskRecord], clock: Clock
    ) -> Iterator[LogRecord]:
        """Take in what concerns no records; return what does."""
        for record in records:
            if not isinstance(record, LogRecord):
                raise CorruptSegmentError(f"a {type(record).__name__} among the records")
            yield record

    def _snapshot(self) -> list[DiskRecord]:
        """Return a log that restores all state."""
        return list(self.replica.snapshot())

    def _refused(self, error: Exception) -> bool:
        self._log.write(decisions.DependencyChanged("disk", False, str(error)))
        return True

    def persist(
        self,
        records: Sequence[DiskRecord],
        done: Callable[[], None] = lambda: None,
        refused: Callable[[], None] = lambda: None,
    ) -> None:
        """Write log records; ``done`` is called once all are on disk."""
        if not records:
            done()
            return
        for record in records[:-1]:
            self._write(record, lambda: None, lambda: None)
        self._write(records[-1], done, refused)

    def _write(
        self, record: DiskRecord, done: Callable[[], None], refused: Callable[[], None]
    ) -> None:
        def durable() -> None:
            self._mark_durable(record)
            done()

        def failed() -> None:
            if isinstance(record, LogRecord):
                self.replica.mark_failed(record)
            refused()

        self._writer.write(record, durable, failed)

    def _mark_durable(self, record: DiskRecord) -> None:
        if isinstance(record, LogRecord):
            self.replica.mark_durable(record)

    def compact_if_long(self) -> None:
        """Write the log anew if it has grown long."""
        if self._store.segment_count() > SEGMENTS_KEPT:
            self._writer.compact(self._snapshot)
