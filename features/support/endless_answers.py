"""Servers whose answers never end, and what is seen of them."""

import contextlib
import http.client
import threading
import time
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from features.support.platform_world import HOST, Arrival, QuietHandler

#: Bytes and pause of a slow sender; a fast one sends as much as is read.
SLOW_BYTES = 4096
SLOW_PAUSE_S = 0.02
_OWN = b"@"
_START = b"HTTP/1.1 200 OK\r\n" + _OWN
_CHUNKED = _START + b"Transfer-Encoding: chunked\r\n\r\n"
_EVENTS = _START + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Endless(NamedTuple):
    """An answer that never ends.

    :param begin: what is sent first; ``@`` stands for the headers that each answer has.
    :param repeated: what is sent again and again, some four kilobytes.
    """

    begin: bytes
    repeated: bytes


_FILL = b"a" * SLOW_BYTES

ENDLESS: dict[str, Endless] = {
    "status line": Endless(b"HTTP/1.1 200 ", _FILL),
    "header line": Endless(_START + b"A: ", _FILL),
    "headers": Endless(_START, (b"A: " + b"b" * 59 + b"\r\n") * 64),
    "informational answers": Endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 160),
    "bytes that are no HTTP": Endless(b"", b"\x00\x01" * 2048),
    "body by length": Endless(_START + b"Content-Length: 99999999999\r\n\r\n", _FILL),
    "body by chunks": Endless(_CHUNKED, _chunk(_FILL)),
    "body to the end of the connection": Endless(_START + b"\r\n", _FILL),
    "chunk's extension": Endless(_CHUNKED + b"5;", _FILL),
    "extensions between chunks": Endless(_CHUNKED, b"1;" + _FILL + b"\r\nx\r\n"),
    "trailers": Endless(_CHUNKED + b"0\r\n", (b"A: " + b"b" * 59 + b"\r\n") * 64),
    "trailer line": Endless(_CHUNKED + b"0\r\nA: ", _FILL),
    "body of a 503": Endless(
        b"HTTP/1.1 503 Full\r\n"
        + _OWN
        + b"X-Not-Executed: true\r\nContent-Length: 99999999999\r\n\r\n",
        _FILL,
    ),
    "body of a 421": Endless(
        b"HTTP/1.1 421 Moved\r\n"
        + _OWN
        + b"X-Not-Executed: true\r\nTransfer-Encoding: chunked\r\n\r\n",
        _chunk(_FILL),
    ),
    "body of a 500": Endless(
        b"HTTP/1.1 500 Error\r\n" + _OWN + b"Content-Length: 99999999999\r\n\r\n", _FILL
    ),
    "answer to another request": Endless(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 99999999999\r\n\r\n", _FILL
    ),
    "event": Endless(_EVENTS + _chunk(b"id: 1\ndata: "), _chunk(_FILL)),
    "comment": Endless(_EVENTS + _chunk(b": "), _chunk(_FILL)),
    "comments": Endless(_EVENTS, _chunk((b": " + b"a" * 60 + b"\n\n") * 64)),
    "blank lines": Endless(_EVENTS, _chunk(b"\n" * SLOW_BYTES)),
    "events": Endless(_EVENTS, _chunk((b"id: 1\ndata: " + b"a" * 50 + b"\n\n") * 64)),
}


@dataclass
class EndlessServer:
    """The script of servers that send one answer without end.

    :ivar runs: attempt ids of the requests that arrived, in order.
    :ivar open_since: when each open connection got its request.
    """

    answer: Endless
    is_slow: bool
    runs: list[str] = field(default_factory=list)
    open_since: dict[int, float] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __call__(self, call: QuietHandler, arrival: Arrival) -> bool:
        """Send the answer until the connection ends."""
        own = b"X-Attempt-Id: %b\r\nX-Server-Seal: seal\r\nX-Instance-Id: %b\r\n" % (
            arrival.attempt_id.encode(),
            arrival.headers.get("X-Expect-Instance", "").encode(),
        )
        call.close_connection = True
        number = id(call)
        with self._lock:
            self.runs.append(arrival.attempt_id)
            self.open_since[number] = time.monotonic()
        try:
            with contextlib.suppress(OSError):
                call.wfile.write(self.answer.begin.replace(_OWN, own))
                self._repeat(call.wfile)
        finally:
            with self._lock:
                del self.open_since[number]
        return True

    def _repeat(self, target: Any) -> None:
        repeated = self.answer.repeated if self.is_slow else self.answer.repeated * 16
        while True:
            target.write(repeated)
            if self.is_slow:
                time.sleep(SLOW_PAUSE_S)


def request_to_end(
    connection: http.client.HTTPConnection, route: str, attempt: str, left_s: float
) -> tuple[int, bool]:
    """Send a request, drop its answer and close the connection.

    :param left_s: seconds until its deadline.
    :returns: the answer's status, 0 for none, and whether it came to its end.
    """
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(round(left_s * 1000.0)),
        "X-Token-Count": "10,10",
    }
    status = 0
    with contextlib.closing(connection):
        try:
            connection.request("POST", f"/{route}/x", b"x", headers)
            response = connection.getresponse()
            status = response.status
            while response.read1(65536):
                pass
        except (OSError, http.client.HTTPException, ValueError):
            return status, False
    return status, True
