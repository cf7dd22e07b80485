"""What an answer is: the one parser of the responses of servers and of the platform's store.

``httptools`` (llhttp) parses heads and framing strictly, and accepts more than is an answer of
HTTP/1.x: any status of three digits, other protocols, and bodies in any encoding.
"""

from collections import deque
from collections.abc import Collection, Iterable
from http import HTTPStatus

import httptools

from yarrowwall.http_framing import (
    HTTP_VERSIONS,
    header_values,
    is_plain_chunked,
    transfer_codings,
)
from yarrowwall.model import Header, HeaderBlock, ResponseHead

#: Responses that are parsed before they are read. Some servers send one more than they were asked
#: for; of the smallest ones, a single read holds hundreds. Informational ones are dropped.
MAX_PARSED_RESPONSES = 8
#: What every response begins with.
_PROTOCOL = b"HTTP/"
_HEAD_END = b"\r\n\r\n"
#: Statuses of responses, with those of informational ones.
STATUSES = range(100, 600)


class Response:
    """The part of a response that has arrived.

    :ivar fault: why its head is not that of an answer; empty if it is.
    :ivar left_bytes: bytes of its body that have not arrived; None if it has no stated length.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.left_bytes: int | None = None
        self.header_lines = bytearray()
        self.head: ResponseHead | None = None
        self.chunks: deque[bytes] = deque()
        self.is_complete = False

    @property
    def is_informational(self) -> bool:
        """Return whether it precedes the answer itself."""
        return self.head is not None and self.head.status < HTTPStatus.OK and not self.fault


class ResponseParser:
    """Parses the bytes of a connection; a server may send more responses than it was asked for.

    :ivar responses: the responses that have begun, oldest first.
    :ivar is_malformed: whether the bytes are no responses; nothing more is parsed then.
    :ivar body_bytes: bytes of all bodies.
    """

    def __init__(self) -> None:
        self.responses: deque[Response] = deque()
        self.is_malformed = False
        self.body_bytes = 0
        #: The first bytes of the response that arrives, until they tell its protocol.
        self._start = b""
        #: The last bytes that were parsed, which may be a part of :data:`_HEAD_END`.
        self._tail = b""
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes; invalid HTTP, or another protocol, marks the connection as malformed."""
        at = len(self._tail)
        data = self._tail + data
        while at < len(data) and not self.is_malformed:
            end = self._piece_end(data, at)
            self._feed_piece(data[at:end])
            at = end
        self._tail = data[1 - len(_HEAD_END) :]

    def _piece_end(self, data: bytes, at: int) -> int:
        """Return up to where bytes can be parsed without passing the end of a response.

        A response ends with its length, its connection, or else an empty line: after its head, its
        last chunk or its trailers.
        """
        response = self.responses[-1] if self.responses else None
        if response is not None and response.left_bytes and not response.is_complete:
            return min(len(data), at + response.left_bytes)
        found = data.find(_HEAD_END, max(0, at + 1 - len(_HEAD_END)))
        return found + len(_HEAD_END) if found >= 0 else len(data)

    def _feed_piece(self, piece: bytes) -> None:
        """Parse a piece that belongs to one response."""
        if len(self._start) < len(_PROTOCOL):
            # Empty lines may precede a response.
            self._start = (self._start + piece).lstrip(b"\r\n")[: len(_PROTOCOL)]
            if not _PROTOCOL.startswith(self._start):
                # The parser would take RTSP and ICE.
                self.is_malformed = True
                return
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True

    def skip_informational(self) -> None:
        """Drop informational responses, which precede the answer itself."""
        while self.responses and self.responses[0].is_informational:
            self.responses.popleft()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.skip_informational()
        if len(self.responses) >= MAX_PARSED_RESPONSES:
            # Ends the parsing with an error, so that the connection counts as malformed.
            raise ValueError("too many responses")
        self.responses.append(Response())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are not passed on."""
        if self.responses[-1].head is None:
            self.responses[-1].header_lines += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Check the head."""
        response = self.responses[-1]
        status = self._parser.get_status_code()
        response.head = ResponseHead(status, HeaderBlock(bytes(response.header_lines)))
        response.header_lines.clear()
        headers = response.head.headers.decode()
        response.fault = head_fault(self._parser.get_http_version(), status, headers)
        response.left_bytes = _length(headers)

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        self.body_bytes += len(body)
        response = self.responses[-1]
        response.chunks.append(body)
        if response.left_bytes is not None:
            response.left_bytes -= len(body)

    def on_message_complete(self) -> None:
        """End the response."""
        self.responses[-1].is_complete = True
        self._start = b""


def _length(headers: Iterable[Header]) -> int | None:
    """Return the stated length of a body in bytes; None without one."""
    lengths = header_values(headers, "content-length")
    return int(lengths[0]) if lengths else None


def head_fault(version: str, status: int, headers: Collection[Header]) -> str:
    """Return why a head is not that of an answer; empty if it is.

    The parser has checked lengths, and refuses one beside a transfer coding.

    :param version: the version of HTTP.
    """
    if version not in HTTP_VERSIONS:
        return f"the answer is of version {version}"
    if status not in STATUSES or status == HTTPStatus.SWITCHING_PROTOCOLS:
        return f"the status {status} is none of an answer"
    codings = transfer_codings(headers)
    if codings and not is_plain_chunked(codings):
        return "the end of the answer is uncertain"
    if header_values(headers, "content-encoding"):
        # Bodies are asked for without encoding.
        return "the body of the answer is encoded"
    return ""
