"""Idle connections to servers, kept for reuse.

A request that may not be repeated fails if its kept connection turns out to be closed, so a
connection is reused only while the server certainly keeps it open.
"""

from collections import defaultdict
from collections.abc import Callable
from weakref import WeakSet

from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.model import Incarnation, Server

#: Seconds for which an idle connection is reused if the server announced no keep-alive timeout.
DEFAULT_IDLE_SECONDS = 2.0
#: Seconds before the announced keep-alive timeout from which a connection is not reused.
IDLE_MARGIN_SECONDS = 0.7
#: Connect timeout in seconds; nothing has been sent when it expires.
CONNECT_SECONDS = 0.25
#: Seconds by which a connection must be older than a server's start, which is measured by another
#: machine's clock, to belong to the previous incarnation.
CLOCK_MARGIN_SECONDS = 1.0
#: Maximum number of idle connections that are kept for a server.
MAX_IDLE = 8
DEFAULT_MAX_CONNECTIONS = 2000


class ConnectionPool:
    """Connections by the incarnation of the server for which they were opened.

    A connection that was opened before a newer incarnation was known is not reused for that one,
    even if the server's new process had already accepted it.

    :param now: the monotonic clock.
    :param unix_s: returns the Unix time in seconds.
    :param max_connections: connections from which on idle ones are closed for new ones.
    """

    def __init__(
        self,
        now: Callable[[], float],
        unix_s: Callable[[], float],
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._now = now
        self._unix_s = unix_s
        self._max_connections = max_connections
        self._in_use: dict[Incarnation, WeakSet[ServerConnection]] = defaultdict(WeakSet)
        self._idle: dict[Incarnation, list[ServerConnection]] = defaultdict(list)

    def acquire(self, server: Server, must_be_new: bool = False) -> ServerConnection:
        """Return a connection: an idle one that can be reused, or else a new one.

        :param must_be_new: whether not to reuse an idle connection.
        :raises ConnectError: if a new connection cannot be opened.
        """
        kept = None if must_be_new else self._take_idle(server.incarnation)
        connection = kept if kept is not None else self._open(server)
        self._in_use[server.incarnation].add(connection)
        return connection

    def _take_idle(self, incarnation: Incarnation) -> ServerConnection | None:
        idle = self._idle[incarnation]
        while idle:
            connection = idle.pop()
            if self._can_reuse(connection):
                return connection
            connection.close()
        return None

    def _open(self, server: Server) -> ServerConnection:
        self._close_surplus()
        opened_unix_s = self._unix_s()
        connection = ServerConnection(server.address, CONNECT_SECONDS)
        connection.opened_unix_s = opened_unix_s
        return connection

    def _close_surplus(self) -> None:
        """Close the idle connection that rests longest if there are too many connections."""
        idle = [connections for connections in self._idle.values() if connections]
        count = sum(map(len, idle)) + sum(map(len, self._in_use.values()))
        if idle and count >= self._max_connections:
            min(idle, key=lambda connections: connections[0].idle_since).pop(0).close()

    def _can_reuse(self, connection: ServerConnection) -> bool:
        kept = connection.keep_alive
        limit = DEFAULT_IDLE_SECONDS if kept is None else kept - IDLE_MARGIN_SECONDS
        return self._now() - connection.idle_since < limit and connection.has_no_pending_input()

    def release(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse if it is reusable, and close it otherwise."""
        self._in_use[server.incarnation].discard(connection)
        idle = self._idle[server.incarnation]
        if len(idle) >= MAX_IDLE or not connection.is_reusable:
            connection.close()
            return
        connection.idle_since = self._now()
        idle.append(connection)

    def close_idle(self, incarnation: Incarnation) -> None:
        """Close the idle connections to a server's incarnation."""
        for connection in self._idle.pop(incarnation, []):
            connection.close()

    def end_incarnation(self, incarnation: Incarnation, successor: Incarnation | None) -> None:
        """Close idle connections to an incarnation that has ended, and interrupt those in use.

        Requests on them fail at once, without proof that they did not run. A connection that may
        have been opened to the new incarnation is left open.

        :param successor: the server's new incarnation; None if there is none.
        """
        self.close_idle(incarnation)
        in_use = self._in_use.pop(incarnation, None)
        if in_use is None or successor is None or successor.start_ms is None:
            return
        for connection in list(in_use):
            if connection.opened_unix_s + CLOCK_MARGIN_SECONDS < successor.start_ms / 1000.0:
                connection.interrupt()

    def close_expired(self) -> None:
        """Close idle connections that can no longer be reused."""
        for incarnation, idle in list(self._idle.items()):
            kept = [connection for connection in idle if self._can_reuse(connection)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]
