"""Idle connections to servers, kept for reuse.

A request that may not be repeated is lost when its kept connection turns out to be
closed, so a connection is given out only while the server surely still keeps it.
"""

from collections import defaultdict
from collections.abc import Callable
from weakref import WeakSet

from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.model import Incarnation, Server

#: Seconds an idle connection is trusted when the server did not say how long it keeps one.
DEFAULT_IDLE_SECONDS = 2.0
#: Seconds before the announced end of an idle connection from which it is not used.
IDLE_MARGIN_SECONDS = 0.7
#: Seconds for a connection to come up; nothing was sent if it does not.
CONNECT_SECONDS = 0.25
#: Seconds by which a connection has to be older than a server's start, by two clocks, to count
#: as one of the incarnation before.
CLOCK_MARGIN_SECONDS = 1.0
#: Idle connections kept to one server.
MAX_IDLE = 8


class ConnectionPool:
    """Kept connections by the incarnation of the server for which they were made.

    A connection that was made before a newer incarnation was known is not used for it, also if
    the server's new process was already there to take it.

    :param now: the monotonic clock.
    :param unix_s: the time of day.
    """

    def __init__(self, now: Callable[[], float], unix_s: Callable[[], float]) -> None:
        self._now = now
        self._unix_s = unix_s
        self._lent: dict[Incarnation, WeakSet[ServerConnection]] = defaultdict(WeakSet)
        self._idle: dict[Incarnation, list[ServerConnection]] = defaultdict(list)

    def acquire(self, server: Server, is_fresh: bool = False) -> ServerConnection:
        """Return a connection, a kept one if there is one that can be trusted.

        :param is_fresh: whether it has to be a new one.
        :raises ConnectError: if a new one does not come up.
        """
        kept = None if is_fresh else self._take_kept(server.incarnation)
        connection = kept if kept is not None else self._open(server)
        self._lent[server.incarnation].add(connection)
        return connection

    def _take_kept(self, incarnation: Incarnation) -> ServerConnection | None:
        idle = self._idle[incarnation]
        while idle:
            connection = idle.pop()
            if self._is_trusted(connection):
                return connection
            connection.close()
        return None

    def _open(self, server: Server) -> ServerConnection:
        opened_unix_s = self._unix_s()
        connection = ServerConnection(server.address, CONNECT_SECONDS)
        connection.opened_unix_s = opened_unix_s
        return connection

    def _is_trusted(self, connection: ServerConnection) -> bool:
        kept = connection.keep_alive
        limit = DEFAULT_IDLE_SECONDS if kept is None else kept - IDLE_MARGIN_SECONDS
        return self._now() - connection.idle_since < limit and connection.has_no_pending_input()

    def release(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse if its last answer allows it."""
        self._lent[server.incarnation].discard(connection)
        idle = self._idle[server.incarnation]
        if len(idle) >= MAX_IDLE or not connection.is_reusable:
            connection.close()
            return
        connection.idle_since = self._now()
        idle.append(connection)

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(incarnation, []):
            connection.close()

    def end_incarnation(self, incarnation: Incarnation, successor: Incarnation | None) -> None:
        """Close the idle connections to an incarnation that is over, and end those under way.

        Whoever waits there learns at once that no answer will come, and has no proof that its
        request did not run. A connection that may have been opened to the new incarnation goes on.
        """
        self.close_idle(incarnation)
        lent = self._lent.pop(incarnation, None)
        if lent is None or successor is None or successor.start_ms is None:
            return
        for connection in list(lent):
            if connection.opened_unix_s + CLOCK_MARGIN_SECONDS < successor.start_ms / 1000.0:
                connection.interrupt()

    def close_expired(self) -> None:
        """Close idle connections that will not be used any more."""
        for incarnation, idle in list(self._idle.items()):
            kept = [connection for connection in idle if self._is_trusted(connection)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]
