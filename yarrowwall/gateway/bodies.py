"""Reads the bodies of callers' requests and counts their bytes in the memory budget."""

from http import HTTPStatus

from yarrowwall.exceptions import InvalidAttemptError
from yarrowwall.gateway.caller_connection import CallerRequest
from yarrowwall.policy.memory_budget import (
    MemoryBudget,
    MemoryExhaustedError,
    RequestMemory,
    RequestTooLargeError,
)


class BodyTooLargeError(InvalidAttemptError):
    """A body exceeds the size limit."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the body exceeds {limit} bytes", HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class RequestBody:
    """The body of one request, read on demand.

    :param request_memory: counts the bytes that are buffered for the request.
    :param limit: maximum size of the body in bytes.
    """

    def __init__(
        self,
        request: CallerRequest,
        memory: MemoryBudget,
        request_memory: RequestMemory,
        limit: int,
    ) -> None:
        self._request = request
        self._memory = memory
        self._request_memory = request_memory
        self._limit = limit

    def read(self, end_s: float) -> bytes:
        """Return the whole body.

        :param end_s: when it must have arrived, on the monotonic clock; arriving bytes do not
            extend that.
        :raises BodyTooLargeError: if the body exceeds the limit.
        :raises MalformedRequestError: if its framing is invalid.
        :raises MemoryExhaustedError: if the memory budget is used up; the rest of the body is
            not read.
        :raises BodyTimeoutError: if the body is not complete in time.
        :raises CallerDisconnectedError: if the connection fails or ends before the body does.
        """
        content_length = self._request.head.content_length or 0
        if content_length > self._limit:
            raise BodyTooLargeError(self._limit)
        while not self._memory.accepts_request(content_length):
            if not self._request.make_room(content_length):
                raise MemoryExhaustedError("too much is held for other requests")
        body = bytearray()
        while piece := self._request.read_body_piece(end_s):
            if len(body) + len(piece) > self._limit:
                raise BodyTooLargeError(self._limit)
            self._grow(len(piece))
            body += piece
        return bytes(body)

    def _grow(self, size: int) -> None:
        """Count bytes of the body; callers with larger unfinished ones end first."""
        memory = self._request_memory
        while True:
            try:
                memory.grow(size)
            except RequestTooLargeError:
                raise
            except MemoryExhaustedError:
                if not self._request.make_room(memory.size + size):
                    raise
            else:
                self._request.note_body(memory.size)
                return
