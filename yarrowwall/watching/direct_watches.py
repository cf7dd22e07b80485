"""Watches at the store itself, which are interrupted once a reader can be asked."""

import eventlet
from eventlet.event import Event

from yarrowwall.ports.object_store import Changes, WatchInterruptedError
from yarrowwall.watching.monitored_store import MonitoredStore


class DirectWatches:
    """Concurrent watches of several kinds at the store itself.

    :param store: the monitored store.
    """

    def __init__(self, store: MonitoredStore) -> None:
        self._store = store
        self._waiting: dict[Event, None] = {}

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; none if there was no change within the wait.

        :raises WatchInterruptedError: if :meth:`interrupt` is called meanwhile. A request whose
            connection is still being established, which takes up to 0.4 s while packets are lost,
            cannot be interrupted itself, so its greenthread is killed.
        """
        ended = Event()

        def ask() -> None:
            try:
                found = self._store.watch(kind, revision, wait_s)
            except Exception as error:
                # Any error is passed to the waiting caller, such as that of an unreadable answer.
                if not ended.ready():
                    ended.send_exception(error)
                return
            if not ended.ready():
                ended.send(found)

        self._waiting[ended] = None
        asking = eventlet.spawn(ask)
        try:
            found: Changes = ended.wait()
            return found
        finally:
            del self._waiting[ended]
            asking.kill()

    def interrupt(self, reason: str) -> None:
        """Interrupt all watches."""
        for ended in list(self._waiting):
            if not ended.ready():
                ended.send_exception(WatchInterruptedError(reason))
