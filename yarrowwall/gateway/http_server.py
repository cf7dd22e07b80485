"""The callers' listener: eventlet's WSGI server with limits that follow the configuration."""

import io
import socket
from collections.abc import Callable, Iterable
from typing import Any

import eventlet.wsgi

from yarrowwall.model import CallerLimits
from yarrowwall.sockets import send_some

#: Key of the environment under which the application finds the connection's handler.
PROTOCOL_KEY = "yarrowwall.connection"
#: Seconds in which a caller takes nothing of an answer that is held whole, after which it is
#: given up.
WRITE_SECONDS = 10.0
#: Seconds after which servers cut off an answer that sits unread: some, by what they promise.
SERVER_CUT_SECONDS = 4.0
#: The same as above for a stream, half of that: what its caller does not take sits unread at the
#: server, and a cut there can't be told from a server that failed.
STREAM_WRITE_SECONDS = 0.5 * SERVER_CUT_SECONDS
#: Bytes that the kernel holds of an answer for one caller. By itself it would hold up to 4 MB,
#: which counts as the machine's memory; 64 KB are 5 ms at 100 Mbit/s.
SEND_BUFFER_BYTES = 64 * 1024
_MOST_CONNECTIONS = 3000


class _CallerWriter(io.RawIOBase):
    """Writes answers to a caller; the time-out counts anew whenever it takes something."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def writable(self) -> bool:
        """Return that this may be written to."""
        return True

    def write(self, data: Any) -> int:
        """Send all of some bytes."""
        rest = memoryview(data)
        while rest:
            rest = rest[send_some(self._connection, rest) :]
        return len(data)

    def writelines(self, lines: Iterable[Any]) -> None:
        """Send the pieces of an answer as one."""
        self.write(b"".join(lines))


class ServerLimits:
    """Limits that every connection looks up anew for each request."""

    def __init__(self) -> None:
        self.current = CallerLimits()


def _protocol_class(limits: ServerLimits) -> type:
    """Return the handler class of a server whose limits are ``limits``."""

    class GatewayProtocol(eventlet.wsgi.HttpProtocol):
        """A connection whose waits are bounded by the configuration in force."""

        wfile: Any

        def setup(self) -> None:
            super().setup()
            self.wfile.close()
            self.wfile = _CallerWriter(self.connection)

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


def expect_stream_read(environ: dict[str, Any]) -> None:
    """Give the caller up soon if it takes nothing of a stream."""
    environ[PROTOCOL_KEY].connection.settimeout(STREAM_WRITE_SECONDS)


def serve(listener: socket.socket, application: Callable[..., Any], limits: ServerLimits) -> None:
    """Serve an application until the listener is closed."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    eventlet.wsgi.server(
        listener,
        application,
        protocol=_protocol_class(limits),
        log_output=False,
        debug=False,
        max_size=_MOST_CONNECTIONS,
        minimum_chunk_size=1,
    )
