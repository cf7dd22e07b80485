"""HTTP server for callers: eventlet's WSGI server with limits from the current configuration."""

import io
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import eventlet.wsgi

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import CallerDisconnectedError
from yarrowwall.gateway.connection_ends import ConnectionEnd, ConnectionEndReason
from yarrowwall.model import CallerLimits
from yarrowwall.sockets import receive, send_some

#: Key of the WSGI environment that holds the connection's protocol handler.
PROTOCOL_KEY = "yarrowwall.connection"
#: Write timeout for buffered responses: a caller that reads nothing for so long is disconnected.
WRITE_TIMEOUT_SECONDS = 10.0
#: Seconds after which some servers, as they document, cut off a response that is not read.
SERVER_WRITE_TIMEOUT_SECONDS = 4.0
#: Write timeout for streams, half of the servers' limit: what the caller does not read stays
#: unread at the server, and a stream that the server cuts off looks like a failed server.
STREAM_WRITE_TIMEOUT_SECONDS = 0.5 * SERVER_WRITE_TIMEOUT_SECONDS
#: Size of the kernel's send buffer per caller. By default it grows to 4 MB, which counts towards
#: the machine's memory; 64 KB last for 5 ms at 100 Mbit/s.
SEND_BUFFER_BYTES = 64 * 1024
_MAX_CONNECTIONS = 3000
_EMPTY_LINES = (b"\r\n", b"\n")


class _CallerWriter(io.RawIOBase):
    """Writes responses to a caller; the timeout restarts whenever the caller reads something.

    :ivar failure: why a write failed; None if none did.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self.failure: ConnectionEnd | None = None

    def writable(self) -> bool:
        """Return True."""
        return True

    def write(self, data: Any) -> int:
        """Send all bytes of ``data``."""
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[send_some(self._connection, rest) :]
        except TimeoutError:
            self.failure = ConnectionEnd(ConnectionEndReason.NOT_TAKEN)
            raise
        except OSError as error:
            self.failure = ConnectionEnd(ConnectionEndReason.WRITE_FAILED, str(error))
            raise
        except CallerDisconnectedError:
            self.failure = ConnectionEnd(ConnectionEndReason.LEFT_WHILE_WRITING)
            raise
        return len(data)

    def writelines(self, lines: Iterable[Any]) -> None:
        """Send the pieces of a response in one write."""
        self.write(b"".join(lines))


class _CallerReader(io.RawIOBase):
    """Reads requests; the timeout takes effect only if no bytes have arrived."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read the next bytes into a buffer; return 0 at the end of the connection.

        :raises TimeoutError: if no bytes arrive in time.
        """
        try:
            data = receive(self._connection, len(buffer), self._connection.gettimeout())
        except ConnectionError:
            # A reset ends the request like an orderly close.
            data = b""
        buffer[: len(data)] = data
        return len(data)


class _HeadReader:
    """Reads the lines of a request head.

    :ivar last: the most recent line.
    """

    def __init__(self, source: Any) -> None:
        self._source = source
        self.last = b""

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; without a line feed if the connection ended within it."""
        self.last = self._source.readline(size)
        return self.last


class CurrentCallerLimits:
    """Holds the current limits, which connections read again for each request."""

    def __init__(self) -> None:
        self.current = CallerLimits()


def _protocol_class(limits: CurrentCallerLimits, log: DecisionLog) -> type:
    """Return a protocol handler class that applies ``limits``."""

    class GatewayProtocol(eventlet.wsgi.HttpProtocol):
        """A connection whose timeouts come from the current configuration."""

        rfile: Any
        wfile: Any
        close_connection: bool | int
        #: When the request head that is being read began to arrive; None between heads.
        _head_started_at: float | None = None

        def setup(self) -> None:
            super().setup()
            self.rfile.close()
            self.rfile = io.BufferedReader(_CallerReader(self.connection))
            self.wfile.close()
            self.wfile = _CallerWriter(self.connection)

        def handle_one_request(self) -> None:
            try:
                super().handle_one_request()
            except TimeoutError:
                self._log_unfinished_head(ConnectionEndReason.HEAD_LATE)
                raise
            self._log_unfinished_head(ConnectionEndReason.HEAD_REFUSED)

        def parse_request(self) -> bool:
            self.rfile = reader = _HeadReader(self.rfile)
            if not super().parse_request():
                return False
            # The library treats the end of the connection as the end of the head.
            is_whole = reader.last in _EMPTY_LINES
            if not is_whole:
                self.close_connection = True
            return is_whole

        def _log_unfinished_head(self, reason: ConnectionEndReason) -> None:
            if self._head_started_at is not None:
                elapsed_s = time.monotonic() - self._head_started_at
                self._head_started_at = None
                log.write(decisions.ConnectionEnded("", reason, elapsed_s, 0, ""))

        def _read_request_line(self) -> bytes:
            self.connection.settimeout(limits.current.idle_seconds)
            line: bytes = super()._read_request_line()
            self._head_started_at = time.monotonic() if line else None
            self.connection.settimeout(limits.current.header_seconds)
            return line

        def get_environ(self) -> dict[str, Any]:
            environ: dict[str, Any] = super().get_environ()
            self._head_started_at = None
            environ[PROTOCOL_KEY] = self
            self.connection.settimeout(WRITE_TIMEOUT_SECONDS)
            return environ

    return GatewayProtocol


def close_after_answer(environ: dict[str, Any]) -> None:
    """Send ``Connection: close`` with the response, and close the connection after it."""
    environ[PROTOCOL_KEY].close_connection = 1


def end_connection() -> None:
    """Close the connection after what was written, without completing the response.

    Otherwise the WSGI server would send its own response if none was started.
    """
    eventlet.wsgi.WSGI_LOCAL.already_handled = True


def set_stream_write_timeout(environ: dict[str, Any]) -> None:
    """Set the write timeout for streams on a request's connection."""
    environ[PROTOCOL_KEY].connection.settimeout(STREAM_WRITE_TIMEOUT_SECONDS)


def write_failure(environ: dict[str, Any]) -> ConnectionEnd | None:
    """Return why writing the response failed; None if no write failed."""
    failure: ConnectionEnd | None = environ[PROTOCOL_KEY].wfile.failure
    return failure


def serve(
    listener: socket.socket,
    application: Callable[..., Any],
    limits: CurrentCallerLimits,
    log: DecisionLog,
) -> None:
    """Serve an application until the listener is closed."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    eventlet.wsgi.server(
        listener,
        application,
        protocol=_protocol_class(limits, log),
        log_output=False,
        debug=False,
        max_size=_MAX_CONNECTIONS,
        minimum_chunk_size=1,
    )
