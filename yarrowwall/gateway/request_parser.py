"""Strict parsing of callers' HTTP requests. No I/O.

``httptools`` (llhttp) parses the bytes as RFC 9112 says. What it accepts beyond that, and what this
gateway does not support, is refused here before the request is processed.
"""

from http import HTTPStatus

import httptools

from yarrowwall.exceptions import InvalidAttemptError
from yarrowwall.http_framing import (
    FRAMING_BYTES_PER_BODY_BYTE,
    HTTP_VERSIONS,
    header_values,
    is_plain_chunked,
    transfer_codings,
)
from yarrowwall.model import Header, HeaderBlock, RequestHead

#: Headers that are kept decoded until they are read.
MAX_DECODED_HEADERS = 40
#: What ends a head, and a chunked body with its trailers.
_BLANK_LINES = (b"\n\r\n", b"\n\n")
#: Bytes of a blank line that may have been parsed with an earlier piece.
_BLANK_LINE_TAIL_BYTES = 2


class MalformedRequestError(InvalidAttemptError):
    """The bytes are no request that the gateway serves; the connection cannot be used further."""


class _Request:
    """The part of a request that has arrived.

    :ivar error: why it is refused; None if it is not.
    :ivar body: what has arrived of its body and was not taken yet.
    """

    def __init__(self) -> None:
        self.target = bytearray()
        self.header_lines = bytearray()
        self.header_count = 0
        self.head: RequestHead | None = None
        self.error: MalformedRequestError | None = None
        self.body = bytearray()
        self.body_bytes = 0
        #: Bytes of the connection since its head was complete.
        self.received_bytes = 0
        self.is_complete = False


class RequestParser:
    """Parses the requests of one connection, which a caller may send without awaiting answers.

    What follows the current request stays unparsed until that is finished, so a connection never
    has more than one parsed request.

    :param max_head_bytes: Largest head that is accepted; read again for each one.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._request: _Request | None = None
        #: Bytes that are not parsed yet, and the end of those that are.
        self._rest = b""
        self._tail = b""
        #: Why no further request can be read; None if one can.
        self._error: MalformedRequestError | None = None
        #: Bytes of the head that arrives, with empty lines before it.
        self._head_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a next request has arrived."""
        return self._request is None and not self._rest and self._error is None

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are kept of the current request's head and of what follows it."""
        request = self._request
        head = len(request.header_lines) + len(request.target) if request is not None else 0
        return head + len(self._rest)

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection; parse those of the current request."""
        self._rest = self._rest + data if self._rest else data
        self._parse_rest()

    def _parse_rest(self) -> None:
        """Parse up to the end of the current request."""
        while self._rest and not self._is_at_end:
            piece, self._rest = self._next_piece()
            self._parse(piece)

    @property
    def _is_at_end(self) -> bool:
        """Return whether the current request is complete or refused."""
        request = self._request
        if self._error is not None:
            return True
        return request is not None and (request.is_complete or request.error is not None)

    def _next_piece(self) -> tuple[bytes, bytes]:
        """Return the next bytes to parse, none of them beyond the current request, and the rest."""
        rest, request = self._rest, self._request
        if request is not None and request.head is not None and request.head.content_length:
            size = request.head.content_length - request.body_bytes
        else:
            size = _first_blank_line_end(self._tail, rest)
        return rest[:size], rest[size:]

    def _parse(self, piece: bytes) -> None:
        self._tail = piece[-_BLANK_LINE_TAIL_BYTES:]
        is_head = self._request is None or self._request.head is None
        if is_head:
            self._head_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            # What follows a request to upgrade is read as the next request.
            self._parser = httptools.HttpRequestParser(self)
            self._rest = piece[upgrade.args[0] :] + self._rest
        except httptools.HttpParserInvalidMethodError:
            self._fail("the method is unknown", HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError as error:
            self._fail(f"not a valid request: {error}", HTTPStatus.BAD_REQUEST)
        else:
            self._check_unfinished_head()
            if not is_head:
                self._check_framing(len(piece))

    def _check_unfinished_head(self) -> None:
        """Refuse a head that is too long already, without waiting for the rest of it."""
        request = self._request
        if request is not None and (request.head is not None or request.error is not None):
            return
        # The library drops empty lines before a request, however many.
        if self._head_bytes > self.max_head_bytes:
            self._error = _too_long(self.max_head_bytes)

    def _check_framing(self, size: int) -> None:
        """Refuse a body with too many bytes that are not its own, as extensions or trailers."""
        request = self._request
        if request is None or request.is_complete:
            return
        request.received_bytes += size
        framing = request.received_bytes - request.body_bytes
        limit = self.max_head_bytes + FRAMING_BYTES_PER_BODY_BYTE * request.body_bytes
        if framing > limit:
            self._fail(f"the framing of the body exceeds {limit} bytes", HTTPStatus.BAD_REQUEST)

    def _fail(self, reason: str, status: HTTPStatus) -> None:
        self._error = MalformedRequestError(reason, status)

    def head(self) -> RequestHead | None:
        """Return the head of the current request; None if it has not arrived completely.

        :raises MalformedRequestError: if it is refused.
        """
        self._parse_rest()
        if self._request is not None:
            if self._request.error is not None:
                raise self._request.error
            if self._request.head is not None:
                return self._request.head
        if self._error is not None:
            raise self._error
        return None

    def body_piece(self) -> bytes | None:
        """Return the next bytes of the current request's body; None if none have arrived.

        Empty at the end of the body.

        :raises MalformedRequestError: if its framing is invalid.
        """
        request = self._current
        if request.body:
            piece = bytes(request.body)
            request.body.clear()
            return piece
        if request.is_complete:
            return b""
        if self._error is not None:
            raise self._error
        return None

    def finish_request(self) -> bool:
        """Go on to the next request; return False if the current one has not arrived completely."""
        if not self._current.is_complete:
            return False
        self._request = None
        self._head_bytes = 0
        return True

    @property
    def _current(self) -> _Request:
        """Return the current request, whose head has arrived."""
        assert self._request is not None, "no request has begun"
        return self._request

    # Called by httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._request is not None:
            # Ends the parsing with an error: no piece goes beyond the current request.
            raise ValueError("a request began before the one before it was finished")
        self._request = _Request()

    def on_url(self, target: bytes) -> None:
        """Take the target, or the next part of it."""
        self._current.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer, which is dropped."""
        request = self._current
        if request.head is None and request.error is None:
            request.header_count += 1
            request.header_lines += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Check the head."""
        request = self._current
        if request.error is not None:
            return
        try:
            request.head = self._checked_head(request)
        except MalformedRequestError as error:
            # The parser would replace an exception of a callback by its own.
            request.error = error
        request.header_lines.clear()
        request.target.clear()

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body."""
        request = self._current
        request.body += data
        request.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Finish the request."""
        self._current.is_complete = True

    def _checked_head(self, request: _Request) -> RequestHead:
        """Return the head of a request.

        :raises MalformedRequestError: if it is refused.
        """
        self._check_head_size()
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise MalformedRequestError(
                f"HTTP/{version} is not supported", HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
            )
        lines = bytes(request.header_lines)
        headers = HeaderBlock(lines).decode()
        if len(headers) != request.header_count:
            raise MalformedRequestError("a header has a line end", HTTPStatus.BAD_REQUEST)
        block = HeaderBlock(lines, headers if len(headers) <= MAX_DECODED_HEADERS else None)
        names = [name.lower() for name, _ in headers]
        head = RequestHead(
            self._parser.get_method().decode("latin-1"),
            request.target.decode("latin-1"),
            version,
            block,
            _content_length(headers, names),
            "transfer-encoding" in names,
            version != "1.0" and _expects_continue(headers, names),
            self._parser.should_keep_alive(),
        )
        _check_target(head)
        _check_host(head, names)
        _check_coding(head, headers)
        if self._parser.should_upgrade() and head.has_body:
            # The parser takes the body for another protocol.
            raise MalformedRequestError("an upgrade with a body", HTTPStatus.NOT_IMPLEMENTED)
        return head

    def _check_head_size(self) -> None:
        if self._head_bytes > self.max_head_bytes:
            raise _too_long(self.max_head_bytes)


def _first_blank_line_end(tail: bytes, data: bytes) -> int:
    """Return the position in some bytes behind their first blank line; their length without one.

    :param tail: the bytes before them, in which a blank line may begin.
    """
    joined, size = tail + data, len(tail) + len(data)
    for blank in _BLANK_LINES:
        # One that ends in the tail has been parsed.
        found = joined.find(blank, max(0, len(tail) + 1 - len(blank)), size)
        if found >= 0:
            size = min(size, found + len(blank))
    return size - len(tail)


def _too_long(limit: int) -> MalformedRequestError:
    return MalformedRequestError(
        f"the head exceeds {limit} bytes", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    )


def _content_length(headers: list[Header], names: list[str]) -> int | None:
    """Return the length that a head states, which the parser has checked.

    :param names: the names of the headers in lower case, as below.
    """
    return int(headers[names.index("content-length")][1]) if "content-length" in names else None


def _expects_continue(headers: list[Header], names: list[str]) -> bool:
    if "expect" not in names:
        return False
    return any(value.lower() == "100-continue" for value in header_values(headers, "expect"))


def _check_target(head: RequestHead) -> None:
    """Refuse targets for which there can be no route."""
    if head.method == "CONNECT":
        raise MalformedRequestError("CONNECT is not supported", HTTPStatus.NOT_IMPLEMENTED)
    if head.target.startswith("/") or head.target.lower().startswith(("http://", "https://")):
        return
    if head.target == "*" and head.method == "OPTIONS":
        return
    raise MalformedRequestError("the target is not a path", HTTPStatus.BAD_REQUEST)


def _check_host(head: RequestHead, names: list[str]) -> None:
    hosts = names.count("host")
    if hosts > 1:
        raise MalformedRequestError("more than one Host", HTTPStatus.BAD_REQUEST)
    if not hosts and head.version == "1.1":
        raise MalformedRequestError("Host is missing", HTTPStatus.BAD_REQUEST)


def _check_coding(head: RequestHead, headers: list[Header]) -> None:
    """Refuse bodies whose end depends on more than one header or on an unknown coding."""
    if not head.is_chunked:
        return
    codings = transfer_codings(headers)
    if not is_plain_chunked(codings):
        raise MalformedRequestError(
            f"Transfer-Encoding {', '.join(codings)} is not supported", HTTPStatus.NOT_IMPLEMENTED
        )
    if head.content_length is not None:
        raise MalformedRequestError(
            "both Content-Length and Transfer-Encoding", HTTPStatus.BAD_REQUEST
        )
    if head.version == "1.0":
        raise MalformedRequestError("Transfer-Encoding in HTTP/1.0", HTTPStatus.BAD_REQUEST)
