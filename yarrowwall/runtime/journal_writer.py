"""Group commit: one fsync for all records that came during the previous one."""

from collections.abc import Callable

import eventlet
from eventlet import tpool
from eventlet.event import Event

from yarrowwall.messages.records import Record
from yarrowwall.storage.segments import SegmentStore

#: Bytes-free bound of one commit; more records wait for the next.
MOST_RECORDS_PER_COMMIT = 512


class JournalWriter:
    """Writes records in the background and calls back once they are durable.

    :param failed: called with the error if the disk refuses; the node must
        stop, since it can acknowledge nothing any more.
    """

    def __init__(self, store: SegmentStore, failed: Callable[[Exception], None]) -> None:
        self._store = store
        self._failed = failed
        self._waiting: list[tuple[Record, Callable[[], None]]] = []
        self._wakeup = Event()
        self._worker = eventlet.spawn(self._run)

    def write(self, record: Record, durable: Callable[[], None]) -> None:
        """Queue a record; ``durable`` is called after its fsync."""
        self._waiting.append((record, durable))
        if not self._wakeup.ready():
            self._wakeup.send()

    def _run(self) -> None:
        while True:
            if not self._waiting:
                self._wakeup.wait()
                self._wakeup = Event()
                continue
            batch = self._waiting[:MOST_RECORDS_PER_COMMIT]
            del self._waiting[:MOST_RECORDS_PER_COMMIT]
            try:
                tpool.execute(self._store.append, [record for record, _ in batch])
            except Exception as error:  # the node decides; nothing may be acknowledged
                self._failed(error)
                return
            for _, durable in batch:
                durable()
