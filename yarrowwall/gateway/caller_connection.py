"""Connections of callers: requests are read and answered one after the other."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterable, Sequence
from email.utils import formatdate
from http import HTTPStatus

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import CallerDisconnectedError
from yarrowwall.gateway.connection_ends import ConnectionEnd, ConnectionEndReason
from yarrowwall.gateway.request_parser import MalformedRequestError, RequestParser
from yarrowwall.model import CallerLimits, Header, HeaderBlock, RequestHead
from yarrowwall.policy.connection_budget import ConnectionBudget, ConnectionsExhaustedError
from yarrowwall.sockets import receive, send_some, yield_if_due

#: Write timeout for buffered responses: a caller that reads nothing for so long is disconnected.
WRITE_TIMEOUT_SECONDS = 10.0
#: Seconds after which some servers, as they document, cut off a response that is not read.
SERVER_WRITE_TIMEOUT_SECONDS = 4.0
#: Write timeout for streams, half of the servers' limit: what the caller does not read stays
#: unread at the server, and a stream that the server cuts off looks like a failed server.
STREAM_WRITE_TIMEOUT_SECONDS = 0.5 * SERVER_WRITE_TIMEOUT_SECONDS
#: Seconds for which a connection that is closed before its request was read takes further bytes.
#: Closing it at once would reset it, and the caller might lose the response.
LINGER_SECONDS = 1.0
#: Bytes that are read at a time.
_READ_BYTES = 8 * 1024
#: Size and lines of a head from which on its processing is paced.
COSTLY_HEAD_BYTES = 1024
COSTLY_HEAD_LINES = 100
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyTimeoutError(CallerDisconnectedError):
    """A body did not arrive in time."""


class ResponseAbortedError(Exception):
    """Ends the connection after what was written, without completing the response."""


class HeadPacer:
    """Spreads the processing of heads with very many lines over turns of the event loop.

    Such a head takes some milliseconds. While a crowd sends them, all that arrived would be
    processed between two turns of any other greenthread, and heartbeats would be late.
    """

    def __init__(self) -> None:
        self._turn = eventlet.semaphore.Semaphore(1)

    def wait_turn(self, head: RequestHead) -> None:
        """Wait until no other such head is processed in this turn; return at once for others."""
        if len(head.headers.lines) < COSTLY_HEAD_BYTES:
            return
        if head.headers.lines.count(b"\n") < COSTLY_HEAD_LINES:
            return
        with self._turn:
            eventlet.sleep(0)


#: Of all connections of the process: they share its event loop.
_PACER = HeadPacer()


class CurrentCallerLimits:
    """Holds the current limits, which connections read again for each request."""

    def __init__(self) -> None:
        self.current = CallerLimits()


class CallerRequest:
    """One request, whose body is read on demand, and its response.

    :param head: the head of the request.
    :ivar failure: why writing the response failed; None if no write failed.
    """

    def __init__(self, connection: "CallerConnection", head: RequestHead) -> None:
        self._connection = connection
        self.head = head
        self.failure: ConnectionEnd | None = None
        self._response_head: bytes | None = None
        self._is_head_sent = False
        self._writes_chunks = False
        self._is_bodyless = False
        self._is_continue_due = head.expects_continue

    @property
    def socket(self) -> socket.socket:
        """Return the caller's socket."""
        return self._connection.socket

    @property
    def has_started_response(self) -> bool:
        """Return whether the head of the response was written."""
        return self._is_head_sent

    # The request

    def read_body_piece(self, end_s: float) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :param end_s: when the body must have arrived, on the monotonic clock.
        :raises MalformedRequestError: if its framing is invalid.
        :raises BodyTimeoutError: if nothing arrives in time.
        :raises CallerDisconnectedError: if the connection fails or ends before the body does.
        """
        while (piece := self._connection.parser.body_piece()) is None:
            try:
                if self._is_continue_due:
                    self._is_continue_due = False
                    self._write(_CONTINUE)
                data = self._connection.receive(end_s)
            except TimeoutError as error:
                raise BodyTimeoutError("the body did not arrive in time") from error
            except OSError as error:
                raise CallerDisconnectedError("the body did not arrive") from error
            if not data:
                raise CallerDisconnectedError("the body ended early")
            self._connection.parser.feed(data)
        # A caller that has sent part of the body does not wait.
        self._is_continue_due = False
        return piece

    def skip_rest(self, limits: CallerLimits) -> bool:
        """Read and drop the rest of the body; return False if the connection cannot be kept."""
        if self._is_continue_due:
            # The caller may send the body or not.
            return False
        skipped, end_s = 0, time.monotonic() + limits.header_seconds
        try:
            while piece := self.read_body_piece(end_s):
                skipped += len(piece)
                if skipped > limits.body_bytes:
                    return False
        except (CallerDisconnectedError, MalformedRequestError):
            # The response is complete; only the connection cannot be used further.
            return False
        return True

    def begin_processing(self) -> None:
        """Count the request in the budget of connections.

        :raises ConnectionsExhaustedError: if there is no room for it.
        """
        size = len(self.head.headers.lines) + len(self.head.target)
        self._connection.hold.process(size)

    def note_body(self, size: int) -> None:
        """Note the bytes of the body that have arrived."""
        self._connection.hold.body_bytes = size

    def note_complete(self) -> None:
        """Note that the body has arrived, so that the connection is not ended for others.

        :raises ConnectionsExhaustedError: if it was ended before.
        """
        self._connection.hold.answer()

    def note_unread(self) -> None:
        """Note that further bytes arrive before the response."""
        self._connection.hold.note_unread()

    def make_room(self, than: int) -> bool:
        """End a caller's unfinished body that is larger; return whether there was one.

        :param than: bytes that it must exceed.
        """
        is_ended = self._connection.end_largest_body(than)
        if is_ended:
            # Its greenthread gives its memory back.
            eventlet.sleep(0)
        return is_ended

    # The response

    def close_after_answer(self) -> None:
        """Send ``Connection: close`` with the response, and close the connection after it."""
        self._connection.must_close = True

    def set_stream_write_timeout(self) -> None:
        """Set the write timeout for streams."""
        self.socket.settimeout(STREAM_WRITE_TIMEOUT_SECONDS)

    def start_response(self, status: int, headers: Sequence[Header]) -> None:
        """Set the head of the response, which is written with its first bytes."""
        self._is_bodyless = status in (204, 304) or self.head.method == "HEAD"
        names = {name.lower() for name, _ in headers}
        lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if "date" not in names:
            lines.append(f"Date: {formatdate(usegmt=True)}")
        if "content-length" not in names and not self._is_bodyless:
            self._writes_chunks = self.head.version == "1.1"
            if self._writes_chunks:
                lines.append("Transfer-Encoding: chunked")
            else:
                self._connection.must_close = True
        if not self.head.keeps_alive:
            self._connection.must_close = True
        if self._connection.must_close:
            lines.append("Connection: close")
        elif self.head.version == "1.0":
            lines.append("Connection: keep-alive")
        self._response_head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def write(self, data: bytes) -> None:
        """Write bytes of the response's body.

        :raises CallerDisconnectedError: if the caller disconnects.
        :raises OSError: if the connection fails.
        """
        if self._is_bodyless:
            data = b""
        if data and self._writes_chunks:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if not self._is_head_sent:
            self._is_head_sent = True
            data = (self._response_head or b"") + data
        if data:
            self._write(data)

    def finish_response(self) -> None:
        """Write the end of the response."""
        self.write(b"")
        if self._writes_chunks and not self._is_bodyless:
            self._write(b"0\r\n\r\n")

    def _write(self, data: bytes) -> None:
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[send_some(self.socket, rest) :]
        except TimeoutError:
            self.failure = ConnectionEnd(ConnectionEndReason.NOT_TAKEN)
            raise
        except OSError as error:
            self.failure = ConnectionEnd(ConnectionEndReason.WRITE_FAILED, str(error))
            raise
        except CallerDisconnectedError:
            self.failure = ConnectionEnd(ConnectionEndReason.LEFT_WHILE_WRITING)
            raise


#: Returns the pieces of the response's body. It starts the response before the first one, and may
#: have a ``close`` method, which is called after the last one is written.
Application = Callable[[CallerRequest], Iterable[bytes]]


class CallerConnection:
    """One connection of a caller.

    :ivar must_close: whether the connection is closed after the current response.
    :ivar hold: what the connection counts for in the budget.
    :raises ConnectionsExhaustedError: if there is no room for it.
    """

    def __init__(
        self,
        connection: socket.socket,
        limits: CurrentCallerLimits,
        budget: ConnectionBudget,
        log: DecisionLog,
    ) -> None:
        self.socket = connection
        self._budget = budget
        self.hold = budget.open(self._end_for_room)
        self.parser = RequestParser(limits.current.header_bytes)
        self.must_close = False
        self._limits = limits
        self._log = log
        #: Whether the caller may still send what belongs to a request that was answered.
        self._must_linger = False

    def serve(self, application: Application) -> None:
        """Answer requests until the connection ends, and close it."""
        try:
            while not self.must_close:
                head = self._read_head()
                if head is None:
                    break
                self._answer(application, CallerRequest(self, head))
                if not self.parser.is_idle:
                    # Requests that arrived together may all be answered without a wait.
                    yield_if_due()
        except (OSError, CallerDisconnectedError, ConnectionsExhaustedError):
            # Logged by the request that was being answered, or the caller left between requests.
            pass
        finally:
            self._close()
            self.hold.close()

    def end_largest_body(self, than: int) -> bool:
        """End the connection with the largest unfinished body; return whether there was one.

        :param than: bytes that its body must exceed.
        """
        return self._budget.end_largest_body(than)

    def _end_for_room(self) -> None:
        """End the connection, so that its greenthread sees the end and closes it."""
        state, kept = self.hold.state.name, self.hold.size + self.hold.body_bytes
        self._log.write(decisions.ClientTurnedAway(state, kept, self._budget.count))
        with contextlib.suppress(OSError):
            # The caller may have closed it already.
            self.socket.shutdown(socket.SHUT_RDWR)

    def receive(self, end_s: float) -> bytes:
        """Return the next bytes; empty at an orderly close or a reset.

        :param end_s: when to give up, on the monotonic clock.
        :raises TimeoutError: if nothing arrives in time.
        """
        try:
            return receive(self.socket, _READ_BYTES, max(end_s - time.monotonic(), 0.0))
        except ConnectionError:
            # A reset ends the request like an orderly close.
            return b""

    def _read_head(self) -> RequestHead | None:
        """Return the head of the next request; None if there is none."""
        data = b""
        if self.parser.is_idle:
            try:
                data = self.receive(time.monotonic() + self._limits.current.idle_seconds)
            except TimeoutError:
                return None
            if not data:
                return None
        # The limits may have changed while the connection was idle.
        limits, started_s = self._limits.current, time.monotonic()
        self.parser.max_head_bytes = limits.header_bytes
        self.parser.feed(data)
        try:
            while (head := self.parser.head()) is None:
                self.hold.read(self.parser.held_bytes)
                data = self.receive(started_s + limits.header_seconds)
                if not data:
                    if not self.parser.is_idle:
                        self._log_refused(ConnectionEndReason.HEAD_REFUSED, started_s)
                    return None
                self.parser.feed(data)
        except TimeoutError:
            self._log_refused(ConnectionEndReason.HEAD_LATE, started_s)
            return None
        except MalformedRequestError as error:
            self._log_refused(ConnectionEndReason.HEAD_REFUSED, started_s, str(error))
            self._refuse(error)
            return None
        _PACER.wait_turn(head)
        return head

    def _log_refused(self, reason: ConnectionEndReason, started_s: float, detail: str = "") -> None:
        elapsed_s = time.monotonic() - started_s
        self._log.write(decisions.ConnectionEnded("", reason, elapsed_s, 0, detail))

    def _refuse(self, error: MalformedRequestError) -> None:
        """Answer a request whose head is refused, whatever its method."""
        self.must_close = self._must_linger = True
        self.socket.settimeout(WRITE_TIMEOUT_SECONDS)
        head = RequestHead(
            "",
            "",
            "1.1",
            HeaderBlock(),
            None,
            is_chunked=False,
            expects_continue=False,
            keeps_alive=False,
        )
        body = f"{error}\n".encode()
        refusal = CallerRequest(self, head)
        refusal.start_response(
            error.status,
            [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
        )
        refusal.write(body)

    def _answer(self, application: Application, request: CallerRequest) -> None:
        """Answer one request."""
        self.socket.settimeout(WRITE_TIMEOUT_SECONDS)
        body = application(request)
        try:
            for data in body:
                if data:
                    request.write(data)
            request.finish_response()
        except ResponseAbortedError:
            self.must_close = True
        except (Exception, eventlet.Timeout):
            # The application has logged the cause.
            self.must_close = True
            if request.failure is None and not request.has_started_response:
                request.start_response(HTTPStatus.INTERNAL_SERVER_ERROR, [("Content-Length", "0")])
                request.write(b"")
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()
        if request.failure is None:
            self._skip_to_next(request)
            self.hold.rest()

    def _skip_to_next(self, request: CallerRequest) -> None:
        """Skip the rest of a request, so that the next one can be read."""
        if self.parser.finish_request():
            return
        if self.must_close or not request.skip_rest(self._limits.current):
            self.must_close = self._must_linger = True
            return
        self.parser.finish_request()

    def _close(self) -> None:
        """Close the connection, so that the caller gets what was written."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
            end_s = time.monotonic() + LINGER_SECONDS
            while self._must_linger and self.receive(end_s) and time.monotonic() < end_s:
                pass
        except OSError:
            # The connection has failed already, or the caller still sends.
            pass
        finally:
            self.socket.close()


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        # A server may use a non-standard status code.
        return "Unknown"
