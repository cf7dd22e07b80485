"""Strict parsing of callers' HTTP requests. No I/O.

``httptools`` (llhttp) parses the bytes as RFC 9112 says. What it accepts beyond that, and what this
gateway does not support, is refused here before the request is processed.
"""

from collections import deque
from http import HTTPStatus

import httptools

from yarrowwall.exceptions import InvalidAttemptError
from yarrowwall.http_framing import (
    FRAMING_BYTES_PER_BODY_BYTE,
    HTTP_VERSIONS,
    is_plain_chunked,
    transfer_codings,
)
from yarrowwall.model import Header, RequestHead

#: Bytes of a request line beside its method and target, and of a header beside its name and value.
_LINE_OVERHEAD_BYTES = 12
_HEADER_OVERHEAD_BYTES = 4


class MalformedRequestError(InvalidAttemptError):
    """The bytes are no request that the gateway serves; the connection cannot be used further."""


class _Request:
    """The part of a request that has arrived.

    :ivar error: why it is refused; None if it is not.
    """

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[Header] = []
        self.head_bytes = 0
        self.head: RequestHead | None = None
        self.error: MalformedRequestError | None = None
        self.pieces: deque[bytes] = deque()
        self.body_bytes = 0
        #: Bytes of the connection since its head began, until it was complete.
        self.received_bytes = 0
        self.is_complete = False


class RequestParser:
    """Parses the requests of one connection, which a caller may send without awaiting answers.

    :param max_head_bytes: Largest head that is accepted; read again for each one.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[_Request] = deque()
        #: Why no further request can be read; None if one can.
        self._error: MalformedRequestError | None = None
        #: Bytes of earlier calls of :meth:`feed` that belong to an unfinished head.
        self._unfinished_head_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a next request has arrived."""
        return not self._requests and self._error is None

    def feed(self, data: bytes) -> None:
        """Parse bytes of the connection."""
        while data and self._error is None:
            data = self._feed(data)

    def _feed(self, data: bytes) -> bytes:
        """Parse bytes; return those that follow a request to upgrade, which is not answered."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._parser = httptools.HttpRequestParser(self)
            return data[upgrade.args[0] :]
        except httptools.HttpParserInvalidMethodError:
            self._fail("the method is unknown", HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError as error:
            self._fail(f"not a valid request: {error}", HTTPStatus.BAD_REQUEST)
        else:
            self._check_unfinished_head(len(data))
            self._check_framing(len(data))
        return b""

    def _check_unfinished_head(self, size: int) -> None:
        """Refuse a head that is too long already, without waiting for the rest of it."""
        newest = self._requests[-1] if self._requests else None
        if newest is None or newest.head is not None or newest.error is not None:
            self._unfinished_head_bytes = 0
            return
        self._unfinished_head_bytes += size
        if self._unfinished_head_bytes > self.max_head_bytes:
            newest.error = _too_long(self.max_head_bytes)

    def _check_framing(self, size: int) -> None:
        """Refuse a body with too many bytes that are not its own, as extensions or trailers."""
        newest = self._requests[-1] if self._requests else None
        if newest is None or newest.is_complete:
            return
        newest.received_bytes += size
        framing = newest.received_bytes - newest.body_bytes
        limit = 2 * self.max_head_bytes + FRAMING_BYTES_PER_BODY_BYTE * newest.body_bytes
        if newest.head is not None and framing > limit:
            self._fail(f"the framing of the body exceeds {limit} bytes", HTTPStatus.BAD_REQUEST)

    def _fail(self, reason: str, status: HTTPStatus) -> None:
        self._error = MalformedRequestError(reason, status)

    def head(self) -> RequestHead | None:
        """Return the head of the current request; None if it has not arrived completely.

        :raises MalformedRequestError: if it is refused.
        """
        if self._requests:
            current = self._requests[0]
            if current.error is not None:
                raise current.error
            if current.head is not None:
                return current.head
        if self._error is not None:
            raise self._error
        return None

    def body_piece(self) -> bytes | None:
        """Return the next bytes of the current request's body; None if none have arrived.

        Empty at the end of the body.

        :raises MalformedRequestError: if its framing is invalid.
        """
        current = self._requests[0]
        if current.pieces:
            return current.pieces.popleft()
        if current.is_complete:
            return b""
        if self._error is not None:
            raise self._error
        return None

    def finish_request(self) -> bool:
        """Go on to the next request; return False if the current one has not arrived completely."""
        if not self._requests[0].is_complete:
            return False
        self._requests.popleft()
        return True

    # Called by httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self._requests.append(_Request())

    def on_url(self, target: bytes) -> None:
        """Take the target, or the next part of it."""
        self._requests[-1].target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer, which is dropped."""
        request = self._requests[-1]
        if request.head is None and request.error is None:
            request.head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
            request.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the head."""
        request = self._requests[-1]
        if request.error is not None:
            return
        try:
            request.head = self._checked_head(request)
        except MalformedRequestError as error:
            # The parser would replace an exception of a callback by its own.
            request.error = error

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body."""
        request = self._requests[-1]
        request.pieces.append(data)
        request.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Finish the request."""
        self._requests[-1].is_complete = True

    def _checked_head(self, request: _Request) -> RequestHead:
        """Return the head of a request.

        :raises MalformedRequestError: if it is refused.
        """
        method = self._parser.get_method().decode("latin-1")
        size = request.head_bytes + len(method) + len(request.target) + _LINE_OVERHEAD_BYTES
        if size > self.max_head_bytes:
            raise _too_long(self.max_head_bytes)
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise MalformedRequestError(
                f"HTTP/{version} is not supported", HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
            )
        head = RequestHead(
            method,
            request.target.decode("latin-1"),
            version,
            tuple(request.headers),
            _content_length(request.headers),
            bool(transfer_codings(request.headers)),
            self._parser.should_keep_alive(),
        )
        _check_target(head)
        _check_host(head)
        _check_coding(head)
        if self._parser.should_upgrade() and head.has_body:
            # The parser takes the body for another protocol.
            raise MalformedRequestError("an upgrade with a body", HTTPStatus.NOT_IMPLEMENTED)
        return head


def _too_long(limit: int) -> MalformedRequestError:
    return MalformedRequestError(
        f"the head exceeds {limit} bytes", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    )


def _content_length(headers: list[Header]) -> int | None:
    """Return the length that a head states, which the parser has checked."""
    for name, value in headers:
        if name.lower() == "content-length":
            return int(value)
    return None


def _check_target(head: RequestHead) -> None:
    """Refuse targets for which there can be no route."""
    if head.method == "CONNECT":
        raise MalformedRequestError("CONNECT is not supported", HTTPStatus.NOT_IMPLEMENTED)
    if head.target.startswith("/") or head.target.lower().startswith(("http://", "https://")):
        return
    if head.target == "*" and head.method == "OPTIONS":
        return
    raise MalformedRequestError("the target is not a path", HTTPStatus.BAD_REQUEST)


def _check_host(head: RequestHead) -> None:
    hosts = head.values("host")
    if len(hosts) > 1:
        raise MalformedRequestError("more than one Host", HTTPStatus.BAD_REQUEST)
    if not hosts and head.version == "1.1":
        raise MalformedRequestError("Host is missing", HTTPStatus.BAD_REQUEST)


def _check_coding(head: RequestHead) -> None:
    """Refuse bodies whose end depends on more than one header or on an unknown coding."""
    if not head.is_chunked:
        return
    codings = transfer_codings(head.headers)
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
