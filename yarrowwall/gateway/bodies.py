"""Reads the bodies of callers' requests and counts their bytes in the memory budget."""

from http import HTTPStatus
from typing import Any

import eventlet

from yarrowwall.exceptions import CallerDisconnectedError, InvalidAttemptError
from yarrowwall.policy.memory_budget import MemoryBudget, MemoryExhaustedError, RequestMemory

#: Bytes of a body that are read at a time.
_READ_BYTES = 8 * 1024


class BodyTooLargeError(InvalidAttemptError):
    """A body exceeds the size limit."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the body exceeds {limit} bytes", HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class BodyTimeoutError(CallerDisconnectedError):
    """A body did not arrive in time."""


class RequestBody:
    """The body of one request, read on demand.

    :param environ: the request's WSGI environment.
    :param request_memory: counts the bytes that are buffered for the request.
    :param limit: maximum size of the body in bytes.
    """

    def __init__(
        self,
        environ: dict[str, Any],
        memory: MemoryBudget,
        request_memory: RequestMemory,
        limit: int,
    ) -> None:
        self._source = environ["wsgi.input"]
        length = environ.get("CONTENT_LENGTH")
        self._content_length = int(length) if length is not None else None
        self._is_chunked = "HTTP_TRANSFER_ENCODING" in environ
        self._memory = memory
        self._request_memory = request_memory
        self._limit = limit

    def read(self, timeout: float) -> bytes:
        """Return the whole body.

        :param timeout: seconds for the whole body; arriving bytes do not extend it.
        :raises BodyTooLargeError: if the body exceeds the limit.
        :raises MemoryExhaustedError: if the memory budget is used up; the rest of the body is
            not read.
        :raises BodyTimeoutError: if the body is not complete in time.
        :raises CallerDisconnectedError: if the connection fails or ends before the body does.
        """
        content_length = self._content_length or 0
        if content_length > self._limit:
            raise BodyTooLargeError(self._limit)
        if not self._memory.accepts_request(content_length):
            raise MemoryExhaustedError("too much is held for other requests")
        if not content_length and not self._is_chunked:
            # No body follows, so no timeout is set: each takes 0.004 ms.
            return b""
        body = self._read_in_time(timeout)
        if len(body) < content_length:
            raise CallerDisconnectedError("the body ended early")
        if len(body) > self._limit:
            raise BodyTooLargeError(self._limit)
        return body

    def _read_in_time(self, timeout: float) -> bytes:
        size = self._content_length if self._content_length is not None else self._limit + 1
        try:
            with eventlet.Timeout(timeout, BodyTimeoutError("the body did not arrive in time")):
                return self._read_up_to(size)
        except TimeoutError as error:
            raise BodyTimeoutError("the body did not arrive in time") from error
        except (OSError, ValueError) as error:
            raise CallerDisconnectedError("the body did not arrive") from error

    def _read_up_to(self, size: int) -> bytes:
        """Return up to ``size`` bytes of the body, counted in the memory budget as they arrive."""
        pieces = []
        while size > 0 and (piece := self._source.read(min(size, _READ_BYTES))):
            self._request_memory.grow(len(piece))
            pieces.append(piece)
            size -= len(piece)
        return b"".join(pieces)
