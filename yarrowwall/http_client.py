"""HTTP client for single requests: each has a connection of its own, and its answer is whole.

``urllib3`` takes a reset for the end of an answer without a length, since eventlet's sockets report
neither, drops the rest of a head after a line that is no header, and takes any size of a chunk that
is a number to Python. So answers are read by the connection that gateways use.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from types import TracebackType
from typing import Any, NamedTuple, Self

from yarrowwall.dispatch.answer_bounds import BodyLimit
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.exceptions import MalformedAnswerError

#: Default timeout for a connection, in seconds.
CONNECT_SECONDS = 2.0
#: Largest answer that is read whole.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
#: Exceptions that reading a JSON document of an unexpected shape raises.
UNREADABLE = (LookupError, OverflowError, TypeError, ValueError)


class HttpRequest(NamedTuple):
    """A request.

    :param address: ``IP:port``.
    :param target: path and query.
    """

    method: str
    address: str
    target: str
    body: bytes | None = None
    headers: Iterable[tuple[str, str]] = ()

    def encode(self) -> bytes:
        """Return the bytes that are sent."""
        lines = [f"{self.method} {self.target} HTTP/1.1", f"Host: {self.address}"]
        lines += ["Connection: close", *(f"{name}: {value}" for name, value in self.headers)]
        if self.body is not None:
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (self.body or b"")


def json_request(
    method: str,
    address: str,
    target: str,
    document: Any = None,
    headers: Mapping[str, str] | None = None,
) -> HttpRequest:
    """Return a request with a JSON body; without a body if there is no document."""
    named = list((headers or {}).items())
    if document is None:
        body = b"" if method in ("POST", "PUT") else None
        return HttpRequest(method, address, target, body, named)
    named.append(("Content-Type", "application/json"))
    return HttpRequest(method, address, target, json.dumps(document).encode(), named)


class HttpAnswer(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the value of the body.

        :raises MalformedAnswerError: if it is not JSON.
        """
        try:
            return json.loads(self.body)
        except (RecursionError, ValueError) as error:
            raise MalformedAnswerError("the answer is not JSON") from error


class HttpExchange:
    """A request that was sent, and its answer as it arrives.

    :param timeout_s: seconds for the connection, for the request and for the head.
    :raises ConnectError: if the connection cannot be opened; nothing was sent.
    :raises RelayError: if no answer begins; the request may have run.
    """

    def __init__(self, request: HttpRequest, timeout_s: float) -> None:
        self._connection = ServerConnection(request.address, min(CONNECT_SECONDS, timeout_s))
        try:
            self._connection.send(request.encode(), timeout_s)
            head = self._connection.read_head(timeout_s)
        except BaseException:
            self._connection.close()
            raise
        self.status = head.status
        self._headers = {name.lower(): value for name, value in head.headers.decode()}

    def header(self, name: str) -> str | None:
        """Return a header; None if the answer has none of that name."""
        return self._headers.get(name.lower())

    def read_whole(self, timeout_s: float) -> bytes:
        """Return the whole body.

        :raises RelayError: if it does not come whole in time.
        """
        return self._connection.read_all(timeout_s, BodyLimit(MAX_ANSWER_BYTES).add)

    def pieces(self, silence_s: float) -> Iterator[bytes]:
        """Return the body as it arrives.

        :param silence_s: longest pause in seconds.
        :raises RelayError: if it does not come whole, or pauses for longer.
        """
        while data := self._connection.read_some(silence_s):
            yield data

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._connection.close()


def ask(request: HttpRequest, timeout_s: float) -> HttpAnswer:
    """Send a request and return its whole answer.

    :param timeout_s: seconds for the connection, for the head and for the body.
    :raises ConnectError: if the connection cannot be opened; nothing was sent.
    :raises RelayError: if no whole answer comes; the request may have run.
    """
    with HttpExchange(request, timeout_s) as exchange:
        return HttpAnswer(exchange.status, exchange.read_whole(timeout_s))
