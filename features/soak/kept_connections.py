"""Connections of one client to the gateways, kept for its next requests."""

import http.client
from collections.abc import Callable


class KeptConnections:
    """Keeps one idle connection per gateway until the gateway ends it.

    :param connect: opens a connection to a gateway.
    """

    def __init__(self, connect: Callable[[int], http.client.HTTPConnection]) -> None:
        self._connect = connect
        self._idle: dict[int, http.client.HTTPConnection] = {}

    def take(self, gateway: int, must_be_new: bool = False) -> http.client.HTTPConnection:
        """Return the idle connection to a gateway, or a new one."""
        idle = self._idle.pop(gateway, None)
        if idle is None or idle.sock is None:
            return self._connect(gateway)
        if must_be_new:
            idle.close()
            return self._connect(gateway)
        return idle

    def release(
        self, gateway: int, connection: http.client.HTTPConnection, is_reusable: bool
    ) -> None:
        """Keep a connection that can be reused, or else close it."""
        if is_reusable:
            self._idle[gateway] = connection
        else:
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle.values():
            connection.close()
