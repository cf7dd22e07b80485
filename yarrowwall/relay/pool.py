"""Idle connections to servers, kept for reuse.

A request that may not be repeated is lost when its kept connection turns out to be
closed, so a connection is given out only while the server surely still keeps it.
"""

from collections import defaultdict
from collections.abc import Callable

from yarrowwall.relay.connection import ServerConnection
from yarrowwall.relay.model import Server

#: Seconds an idle connection is trusted when the server did not say how long it keeps one.
DEFAULT_IDLE_SECONDS = 2.0
#: Seconds before the announced end of an idle connection from which it is not used.
IDLE_MARGIN_SECONDS = 0.7
#: Seconds for a connection to come up; nothing was sent if it does not.
CONNECT_SECONDS = 0.25
#: Idle connections kept to one server.
MOST_IDLE = 8


class ConnectionPool:
    """Kept connections by server id.

    :param now: the monotonic clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._idle: dict[str, list[ServerConnection]] = defaultdict(list)

    def take(self, server: Server, is_fresh: bool = False) -> ServerConnection:
        """Return a connection, a kept one if there is one that can be trusted.

        :param is_fresh: whether it has to be a new one.
        :raises ConnectError: if a new one does not come up.
        """
        if is_fresh:
            return ServerConnection(server.address, CONNECT_SECONDS)
        idle = self._idle[server.server_id]
        while idle:
            connection = idle.pop()
            if self._is_trusted(connection):
                return connection
            connection.close()
        return ServerConnection(server.address, CONNECT_SECONDS)

    def _is_trusted(self, connection: ServerConnection) -> bool:
        kept = connection.keep_alive
        limit = DEFAULT_IDLE_SECONDS if kept is None else kept - IDLE_MARGIN_SECONDS
        return self._now() - connection.idle_since < limit and connection.is_quiet()

    def give_back(self, server: Server, connection: ServerConnection) -> None:
        """Keep a connection for reuse if its last answer allows it."""
        idle = self._idle[server.server_id]
        if len(idle) >= MOST_IDLE or not connection.is_reusable:
            connection.close()
            return
        connection.idle_since = self._now()
        idle.append(connection)

    def forget(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(server_id, []):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that will not be used any more."""
        for server_id, idle in list(self._idle.items()):
            kept = [connection for connection in idle if self._is_trusted(connection)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[server_id] = kept
            else:
                del self._idle[server_id]
