"""What an answer is: the one parser of the responses of servers and of the platform's store.

``httptools`` (llhttp) parses heads and framing strictly, and accepts more than is an answer of
HTTP/1.x: any status of three digits, other protocols, and bodies in any encoding.
"""

from collections import deque
from http import HTTPStatus

import httptools

from yarrowwall.http_framing import (
    HTTP_VERSIONS,
    is_plain_chunked,
    transfer_codings,
)
from yarrowwall.model import HeaderBlock, ResponseHead

#: Responses that are parsed before they are read. Some servers send one more than they were asked
#: for; of the smallest ones, a single read holds hundreds. Informational ones are dropped.
MAX_PARSED_RESPONSES = 8
#: Statuses of responses, with those of informational ones.
STATUSES = range(100, 600)


class Response:
    """The part of a response that has arrived.

    :ivar fault: why its head is not that of an answer; empty if it is.
    """

    def __init__(self) -> None:
        self.fault = ""
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
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes; invalid HTTP, or another protocol, marks the connection as malformed."""
        try:
            self._parser.feed_data(data)
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
        response.fault = head_fault(self._parser.get_http_version(), response.head)

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        self.body_bytes += len(body)
        self.responses[-1].chunks.append(body)

    def on_message_complete(self) -> None:
        """End the response."""
        self.responses[-1].is_complete = True


def head_fault(version: str, head: ResponseHead) -> str:
    """Return why a head is not that of an answer, or empty text.

    The parser has checked lengths, and refuses one beside a transfer coding.

    :param version: the version of HTTP.
    """
    if version not in HTTP_VERSIONS:
        return f"the answer is of version {version}"
    if head.status not in STATUSES or head.status == HTTPStatus.SWITCHING_PROTOCOLS:
        return f"the status {head.status} is none of an answer"
    codings = transfer_codings(head.headers.decode())
    if codings and not is_plain_chunked(codings):
        return "the end of the answer is uncertain"
    return ""
