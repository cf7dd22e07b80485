"""Watches at the store itself that end early once a reader is found."""

import eventlet
from eventlet.event import Event

from yarrowwall.ports.object_store import Changes, WatchInterruptedError
from yarrowwall.watching.monitored_store import MonitoredStore


class DirectWatches:
    """Watches at the store itself, of several kinds at once.

    :param store: the store itself.
    """

    def __init__(self, store: MonitoredStore) -> None:
        self._store = store
        self._open: dict[Event, None] = {}

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes, until the watch is interrupted at the longest.

        A watch whose connection is still coming up (0.4 s in a silent outage) cannot be
        interrupted; it is left.

        :raises WatchInterruptedError: if it is.
        """
        ended = Event()

        def ask() -> None:
            try:
                found = self._store.watch(kind, revision, wait_s)
            except Exception as error:
                # Also an answer that cannot be read: whoever waits has to hear of it.
                if not ended.ready():
                    ended.send_exception(error)
                return
            if not ended.ready():
                ended.send(found)

        self._open[ended] = None
        asking = eventlet.spawn(ask)
        try:
            found: Changes = ended.wait()
            return found
        finally:
            del self._open[ended]
            asking.kill()

    def interrupt(self, reason: str) -> None:
        """End all watches."""
        for watching in list(self._open):
            if not watching.ready():
                watching.send_exception(WatchInterruptedError(reason))
