"""Connections to servers: one request at a time, with strict framing of responses.

``urllib3`` and ``http.client`` hide bytes that follow a complete response, which show that a
connection must not be reused. So responses are read here on green sockets;
:mod:`yarrowwall.dispatch.response_parser` says what is one.
"""

import contextlib
import socket
import time
from collections.abc import Callable

from yarrowwall.dispatch.answer_bounds import (
    AnswerSize,
    AnswerUnfinishedError,
    BodyLimit,
)
from yarrowwall.dispatch.response_parser import ResponseParser
from yarrowwall.exceptions import (
    AnswerTimeoutError,
    ConnectionBrokenError,
    MalformedAnswerError,
)
from yarrowwall.model import ResponseHead
from yarrowwall.sockets import has_no_pending_input, open_socket, receive, send_all

#: Bytes that are read at a time. A stream whose caller does not read keeps up to five copies of
#: them in memory; most answers and events are smaller.
_READ_BYTES = 8 * 1024
#: Size of the kernel's receive buffer. By default it grows to 6 MB, which counts towards the
#: machine's memory; 256 KB in 40 ms, a round trip between regions, allow 50 Mbit/s.
_RECEIVE_BUFFER_BYTES = 256 * 1024


class ServerConnection:
    """A connection to one server.

    :param address: ``IP:port``.
    :param timeout: connect timeout in seconds.
    :raises ConnectError: if the connection cannot be opened.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.idle_since = 0.0
        self.opened_unix_s = 0.0
        self.keep_alive: float | None = None
        self._parser = ResponseParser()
        self._size = AnswerSize()
        self._head_at = 0.0
        self._ends_with_connection = False
        #: Whether an end of the connection may be other than the server's orderly close. The kernel
        #: reports a reset once: after a failed write, a reset reads like an orderly close, and so
        #: does a shutdown by this process.
        self._is_end_uncertain = False
        self._must_close = False
        self._socket = open_socket(address, timeout)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)

    def has_no_pending_input(self) -> bool:
        """Return whether neither bytes nor an end of the connection wait to be read."""
        return has_no_pending_input(self._socket)

    def send(self, data: bytes, timeout: float) -> None:
        """Send a request.

        :param timeout: seconds for the whole request, however slowly the server reads.
        :raises ConnectionBrokenError: if the connection fails; the request may have run.
        """
        self._ends_with_connection = False
        try:
            send_all(self._socket, data, timeout)
        except OSError as error:
            # A server may answer before it has read the whole request.
            if self.has_no_pending_input():
                raise ConnectionBrokenError(f"while sending: {error}") from error
            self._is_end_uncertain = True
            self._must_close = True

    @property
    def received_bytes(self) -> int:
        """Return the bytes of the current response that have arrived, framing included."""
        return self._size.received

    def read_head(self, timeout: float) -> ResponseHead:
        """Return the head of the next response.

        :param timeout: seconds for the whole head, however its bytes arrive.
        :raises AnswerTimeoutError: if it does not arrive in time.
        :raises ConnectionBrokenError: if the connection ends first.
        :raises MalformedAnswerError: if the bytes are not an HTTP response.
        :raises AnswerBoundError: if the head is too long.
        """
        responses, end_s = self._parser.responses, time.monotonic() + timeout
        self._parser.skip_informational()
        while not responses or responses[0].head is None:
            if not self._receive(end_s):
                raise ConnectionBrokenError("closed before the answer")
        self._head_at = time.monotonic()
        head = responses[0].head
        if responses[0].fault:
            raise MalformedAnswerError(responses[0].fault)
        names = {name.lower(): value for name, value in head.headers.decode()}
        framed = "content-length" in names or "transfer-encoding" in names
        self._ends_with_connection = not framed and not responses[0].is_complete
        if "close" in names.get("connection", "").lower() or not framed:
            self._must_close = True
        return head

    def read_some(self, timeout: float) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :param timeout: seconds to wait for them, whatever else arrives.
        :raises AnswerTimeoutError: if none arrive in time.
        :raises ConnectionBrokenError: if the connection ends before the body does.
        :raises MalformedAnswerError: if the framing is broken.
        :raises AnswerBoundError: if there is too much framing.
        """
        response, end_s = self._parser.responses[0], time.monotonic() + timeout
        while not response.chunks:
            if response.is_complete:
                return b""
            if not self._receive(end_s):
                self._check_end()
                response.is_complete = True
        data = b"".join(response.chunks)
        response.chunks.clear()
        return data

    def _check_end(self) -> None:
        """Check that the end of the connection is the end of the current response.

        :raises ConnectionBrokenError: if it is not, or if that is uncertain.
        """
        if not self._ends_with_connection:
            raise ConnectionBrokenError("closed within the answer")
        if self._is_end_uncertain:
            raise ConnectionBrokenError("the answer has no length, and the connection failed")

    def read_all(self, timeout: float, count_bytes: Callable[[int], None]) -> bytes:
        """Return the rest of the body.

        :param timeout: seconds for all of it.
        :param count_bytes: called with the size of each piece that is buffered; raises if there
            are too many.
        :raises AnswerUnfinishedError: if it does not end in time.
        :raises ConnectionBrokenError: if the connection ends before the body does.
        :raises MalformedAnswerError: if the framing is broken.
        :raises AnswerBoundError: if there is too much framing.
        """
        end_s = self._size.end_s = time.monotonic() + timeout
        pieces = []
        while data := self._read_before(end_s):
            count_bytes(len(data))
            pieces.append(data)
        return b"".join(pieces)

    def skip_body(self, timeout: float, max_bytes: int) -> None:
        """Read and drop the rest of the body.

        :param timeout: seconds for all of it.
        :param max_bytes: bytes of it that are read at most.
        :raises AnswerUnfinishedError: if it does not end in time.
        :raises ConnectionBrokenError: if the connection ends before the body does.
        :raises MalformedAnswerError: if the framing is broken.
        :raises AnswerBoundError: if it is longer, or there is too much framing.
        """
        end_s = self._size.end_s = time.monotonic() + timeout
        limit = BodyLimit(max_bytes)
        while data := self._read_before(end_s):
            limit.add(len(data))

    def _read_before(self, end_s: float) -> bytes:
        """Return the next bytes of a body that must end by a time; empty at its end."""
        try:
            return self.read_some(end_s - time.monotonic())
        except AnswerTimeoutError as error:
            seconds = time.monotonic() - self._head_at
            raise AnswerUnfinishedError(self._size.received, seconds) from error

    def finish_response(self) -> None:
        """Drop the current response, which was read to its end."""
        self._parser.responses.popleft()
        self._size = AnswerSize()

    def _receive(self, end_s: float) -> int:
        """Read and parse the next bytes; return their number, 0 at the end of the connection.

        :param end_s: when to give up, on the monotonic clock.
        :raises AnswerTimeoutError: if none have arrived by then.
        :raises AnswerBoundError: if too many have arrived outside of the body.
        """
        if self._parser.is_malformed:
            raise MalformedAnswerError("bytes that are no answer")
        now_s = time.monotonic()
        if self._size.is_over(now_s):
            raise AnswerTimeoutError("no end of the answer in time")
        try:
            data = receive(self._socket, _READ_BYTES, max(end_s - now_s, 0.001))
        except TimeoutError as error:
            raise AnswerTimeoutError("no answer in time") from error
        except OSError as error:
            raise ConnectionBrokenError(str(error)) from error
        if data:
            self._feed(data, now_s)
        return len(data)

    def _feed(self, data: bytes, read_at_s: float) -> None:
        parser = self._parser
        body_before = parser.body_bytes
        parser.feed(data)
        parser.skip_informational()
        self._size.add(len(data), parser.body_bytes - body_before, read_at_s)
        self._size.check(has_head=bool(parser.responses) and parser.responses[0].head is not None)

    @property
    def is_reusable(self) -> bool:
        """Return whether all responses were read, nothing follows and the server keeps it open."""
        parser = self._parser
        is_clean = not parser.responses and not parser.is_malformed and not self._must_close
        return is_clean and self.has_no_pending_input()

    def interrupt(self) -> None:
        """Shut the connection down; a greenthread that reads from it then sees its end.

        Closing would not wake that greenthread: eventlet's hub drops the listeners of a closed
        descriptor only when its number is reused.
        """
        self._is_end_uncertain = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the server treats that as a cancellation."""
        self._socket.close()
