"""The callers' listener: eventlet's WSGI server with limits that follow the configuration."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet.wsgi

from yarrowwall.relay.model import CallerLimits

#: Key of the environment under which the application finds the connection's handler.
PROTOCOL_KEY = "yarrowwall.connection"
#: Seconds that a caller may block a write.
WRITE_SECONDS = 10.0
_MOST_CONNECTIONS = 3000


class ServerLimits:
    """Limits that every connection looks up anew for each request."""

    def __init__(self) -> None:
        self.current = CallerLimits()


def _protocol_class(limits: ServerLimits) -> type:
    """Return the handler class of a server whose limits are ``limits``."""

    class GatewayProtocol(eventlet.wsgi.HttpProtocol):
        """A connection whose waits are bounded by the configuration in force."""

        def _read_request_line(self) -> bytes:
            self.connection.settimeout(limits.current.idle_seconds)
            line = super()._read_request_line()
            self.connection.settimeout(limits.current.header_seconds)
            return line

        def get_environ(self) -> dict[str, Any]:
            environ = super().get_environ()
            environ[PROTOCOL_KEY] = self
            self.connection.settimeout(WRITE_SECONDS)
            return environ

    return GatewayProtocol


def close_after_answer(environ: dict[str, Any]) -> None:
    """Let the answer carry ``Connection: close`` and end the connection behind it."""
    environ[PROTOCOL_KEY].close_connection = 1


def serve(listener: socket.socket, application: Callable[..., Any], limits: ServerLimits) -> None:
    """Serve an application until the listener is closed."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    eventlet.wsgi.server(
        listener,
        application,
        protocol=_protocol_class(limits),
        log_output=False,
        debug=False,
        max_size=_MOST_CONNECTIONS,
        minimum_chunk_size=1,
    )
