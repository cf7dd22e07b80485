"""The callers' listener: eventlet's WSGI server with limits that follow the configuration."""

import io
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import eventlet.wsgi

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import CallerDisconnectedError
from yarrowwall.gateway.endings import Ending, EndReason
from yarrowwall.model import CallerLimits
from yarrowwall.sockets import receive, send_some

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
_MAX_CONNECTIONS = 3000
_EMPTY_LINES = (b"\r\n", b"\n")


class _CallerWriter(io.RawIOBase):
    """Writes answers to a caller; the time-out counts anew whenever it takes something.

    :ivar failure: what ended a write; None as long as all were whole.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self.failure: Ending | None = None

    def writable(self) -> bool:
        """Return that this may be written to."""
        return True

    def write(self, data: Any) -> int:
        """Send all of some bytes."""
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[send_some(self._connection, rest) :]
        except TimeoutError:
            self.failure = Ending(EndReason.NOT_TAKEN)
            raise
        except OSError as error:
            self.failure = Ending(EndReason.WRITE_FAILED, str(error))
            raise
        except CallerDisconnectedError:
            self.failure = Ending(EndReason.LEFT_WHILE_WRITING)
            raise
        return len(data)

    def writelines(self, lines: Iterable[Any]) -> None:
        """Send the pieces of an answer as one."""
        self.write(b"".join(lines))


class _CallerReader(io.RawIOBase):
    """Reads requests; a time-out counts only if nothing is there to read."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def readable(self) -> bool:
        """Return that this may be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Take in the bytes that arrive next; none at the end of the connection.

        :raises TimeoutError: if none arrive in time.
        """
        try:
            data = receive(self._connection, len(buffer), self._connection.gettimeout())
        except ConnectionError:
            # A reset ends a request as an orderly end does.
            data = b""
        buffer[: len(data)] = data
        return len(data)


class _HeadReader:
    """Reads the lines of a head.

    :ivar last: the line that was read last.
    """

    def __init__(self, source: Any) -> None:
        self._source = source
        self.last = b""

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; without its end if the connection ended within it."""
        self.last = self._source.readline(size)
        return self.last


class CurrentCallerLimits:
    """Limits that every connection looks up anew for each request."""

    def __init__(self) -> None:
        self.current = CallerLimits()


def _protocol_class(limits: CurrentCallerLimits, log: DecisionLog) -> type:
    """Return the handler class of a server whose limits are ``limits``."""

    class GatewayProtocol(eventlet.wsgi.HttpProtocol):
        """A connection whose waits are bounded by the configuration in force."""

        rfile: Any
        wfile: Any
        close_connection: bool | int
        #: When the head that is being read began; None while none is.
        _head_since: float | None = None

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
                self._note_head_ended(EndReason.HEAD_LATE)
                raise
            self._note_head_ended(EndReason.HEAD_REFUSED)

        def parse_request(self) -> bool:
            self.rfile = reader = _HeadReader(self.rfile)
            if not super().parse_request():
                return False
            # The library takes the end of a connection for the end of a head.
            is_whole = reader.last in _EMPTY_LINES
            if not is_whole:
                self.close_connection = True
            return is_whole

        def _note_head_ended(self, reason: EndReason) -> None:
            if self._head_since is not None:
                lasted_s = time.monotonic() - self._head_since
                self._head_since = None
                log.write(decisions.ConnectionEnded("", reason, lasted_s, 0, ""))

        def _read_request_line(self) -> bytes:
            self.connection.settimeout(limits.current.idle_seconds)
            line: bytes = super()._read_request_line()
            self._head_since = time.monotonic() if line else None
            self.connection.settimeout(limits.current.header_seconds)
            return line

        def get_environ(self) -> dict[str, Any]:
            environ: dict[str, Any] = super().get_environ()
            self._head_since = None
            environ[PROTOCOL_KEY] = self
            self.connection.settimeout(WRITE_SECONDS)
            return environ

    return GatewayProtocol


def close_after_answer(environ: dict[str, Any]) -> None:
    """Let the answer carry ``Connection: close`` and end the connection behind it."""
    environ[PROTOCOL_KEY].close_connection = 1


def end_connection() -> None:
    """Let the connection end behind what was written, without an end of the answer.

    The WSGI server would begin an answer of its own, if none was begun.
    """
    eventlet.wsgi.WSGI_LOCAL.already_handled = True


def expect_stream_read(environ: dict[str, Any]) -> None:
    """Give the caller up soon if it takes nothing of a stream."""
    environ[PROTOCOL_KEY].connection.settimeout(STREAM_WRITE_SECONDS)


def write_failure(environ: dict[str, Any]) -> Ending | None:
    """Return what ended the writing of an answer; None if all of it was taken."""
    failure: Ending | None = environ[PROTOCOL_KEY].wfile.failure
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
