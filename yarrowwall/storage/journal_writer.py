"""Group commit: one fsync for all records that were queued during the previous one."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eventlet
from eventlet import tpool
from eventlet.event import Event

from yarrowwall.storage.segments import SegmentStore

if TYPE_CHECKING:
    from yarrowwall.messages.records import Record

#: Most records of one commit, whatever their size; more records wait for the next.
MAX_RECORDS_PER_COMMIT = 512


@dataclass(frozen=True)
class _QueuedRecord:
    record: Record
    on_durable: Callable[[], None]
    on_failed: Callable[[], None]


class JournalWriter:
    """Writes records in the background and calls back once they are durable.

    :param on_error: called with the error if a commit fails; returns whether to continue with
        later records. If so, ``on_failed`` is called for each record of the failed commit.
    """

    def __init__(self, store: SegmentStore, on_error: Callable[[Exception], bool]) -> None:
        self._store = store
        self._on_error = on_error
        self._queue: list[_QueuedRecord] = []
        self._snapshot: Callable[[], Sequence[Record]] | None = None
        self._wakeup = Event()
        self._worker = eventlet.spawn(self._run)

    def write(
        self,
        record: Record,
        on_durable: Callable[[], None],
        on_failed: Callable[[], None] = lambda: None,
    ) -> None:
        """Queue a record; ``on_durable`` is called after its fsync, or else ``on_failed``."""
        self._queue.append(_QueuedRecord(record, on_durable, on_failed))
        if not self._wakeup.ready():
            self._wakeup.send()

    def compact(self, snapshot: Callable[[], Sequence[Record]]) -> None:
        """Replace the whole log, between two commits, by the records of ``snapshot``."""
        self._snapshot = snapshot
        if not self._wakeup.ready():
            self._wakeup.send()

    def _compact(self, snapshot: Callable[[], Sequence[Record]]) -> None:
        try:
            tpool.execute(self._store.compact, snapshot())
        except Exception as error:  # the owner decides; the old log is intact
            self._on_error(error)

    def _run(self) -> None:
        while True:
            if self._snapshot is not None:
                snapshot, self._snapshot = self._snapshot, None
                self._compact(snapshot)
            if not self._queue:
                self._wakeup.wait()
                self._wakeup = Event()
                continue
            batch = self._queue[:MAX_RECORDS_PER_COMMIT]
            del self._queue[:MAX_RECORDS_PER_COMMIT]
            try:
                tpool.execute(self._store.append, [queued.record for queued in batch])
            except Exception as error:  # the owner decides; nothing may be acknowledged
                if not self._on_error(error):
                    return
                for queued in batch:
                    queued.on_failed()
                continue
            for queued in batch:
                queued.on_durable()
