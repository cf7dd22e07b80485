"""Group commit: one fsync for all records that came during the previous one."""

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

#: Bytes-free bound of one commit; more records wait for the next.
MOST_RECORDS_PER_COMMIT = 512


@dataclass(frozen=True)
class _Waiting:
    record: Record
    durable: Callable[[], None]
    refused: Callable[[], None]


class JournalWriter:
    """Writes records in the background and calls back once they are durable.

    :param failed: called with the error if the disk refuses; returns whether to go
        on with later records. Those of the refused commit are reported by ``refused``.
    """

    def __init__(self, store: SegmentStore, failed: Callable[[Exception], bool]) -> None:
        self._store = store
        self._failed = failed
        self._waiting: list[_Waiting] = []
        self._snapshot: Callable[[], Sequence[Record]] | None = None
        self._wakeup = Event()
        self._worker = eventlet.spawn(self._run)

    def write(
        self,
        record: Record,
        durable: Callable[[], None],
        refused: Callable[[], None] = lambda: None,
    ) -> None:
        """Queue a record; ``durable`` is called after its fsync, or else ``refused``."""
        self._waiting.append(_Waiting(record, durable, refused))
        if not self._wakeup.ready():
            self._wakeup.send()

    def compact(self, snapshot: Callable[[], Sequence[Record]]) -> None:
        """Replace the whole log, between two commits, by what ``snapshot`` returns."""
        self._snapshot = snapshot
        if not self._wakeup.ready():
            self._wakeup.send()

    def _compact(self, snapshot: Callable[[], Sequence[Record]]) -> None:
        try:
            tpool.execute(self._store.compact, snapshot())
        except Exception as error:  # the node decides; the old log is still whole
            self._failed(error)

    def _run(self) -> None:
        while True:
            if self._snapshot is not None:
                snapshot, self._snapshot = self._snapshot, None
                self._compact(snapshot)
            if not self._waiting:
                self._wakeup.wait()
                self._wakeup = Event()
                continue
            batch = self._waiting[:MOST_RECORDS_PER_COMMIT]
            del self._waiting[:MOST_RECORDS_PER_COMMIT]
            try:
                tpool.execute(self._store.append, [waiting.record for waiting in batch])
            except Exception as error:  # the node decides; nothing may be acknowledged
                if not self._failed(error):
                    return
                for waiting in batch:
                    waiting.refused()
                continue
            for waiting in batch:
                waiting.durable()
