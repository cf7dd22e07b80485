"""Reads the bodies of callers' requests, each held in the memory's budget as it comes."""

from http import HTTPStatus
from typing import Any

import eventlet

from yarrowwall.exceptions import CallerDisconnectedError, InvalidAttemptError
from yarrowwall.policy.memory_budget import MemoryBudget, MemoryExhaustedError, RequestMemory

#: Bytes of a body that are read at once.
_PIECE_BYTES = 8 * 1024


class BodyTooLargeError(InvalidAttemptError):
    """A body has more bytes than callers may send."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the body exceeds {limit} bytes", HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class BodyTimeoutError(CallerDisconnectedError):
    """A body did not arrive in time."""


class RequestBody:
    """The body of one request, not read yet.

    :param environ: the request's WSGI environment.
    :param hold: what is held for the request.
    :param limit: the most bytes that a body may have.
    """

    def __init__(
        self, environ: dict[str, Any], memory: MemoryBudget, hold: RequestMemory, limit: int
    ) -> None:
        self._source = environ["wsgi.input"]
        length = environ.get("CONTENT_LENGTH")
        self._announced = int(length) if length is not None else None
        self._is_chunked = "HTTP_TRANSFER_ENCODING" in environ
        self._memory = memory
        self._hold = hold
        self._limit = limit

    def read(self, timeout: float) -> bytes:
        """Return the whole body.

        :param timeout: seconds for all of it, however slowly the caller sends.
        :raises BodyTooLargeError: if it is.
        :raises MemoryExhaustedError: if there is no room for it; its rest is not read.
        :raises BodyTimeoutError: if it is not whole in time.
        :raises CallerDisconnectedError: if it ends early.
        """
        announced = self._announced or 0
        if announced > self._limit:
            raise BodyTooLargeError(self._limit)
        if not self._memory.accepts_request(announced):
            raise MemoryExhaustedError("too much is held for other requests")
        if not announced and not self._is_chunked:
            # Nothing is to come, so nothing is waited for: a time-out takes 0.004 ms.
            return b""
        body = self._read_in_time(timeout)
        if len(body) < announced:
            raise CallerDisconnectedError("the body ended early")
        if len(body) > self._limit:
            raise BodyTooLargeError(self._limit)
        return body

    def _read_in_time(self, timeout: float) -> bytes:
        size = self._announced if self._announced is not None else self._limit + 1
        try:
            with eventlet.Timeout(timeout, BodyTimeoutError("the body did not arrive in time")):
                return self._read_pieces(size)
        except TimeoutError as error:
            raise BodyTimeoutError("the body did not arrive in time") from error
        except (OSError, ValueError) as error:
            raise CallerDisconnectedError("the body did not arrive") from error

    def _read_pieces(self, size: int) -> bytes:
        """Return so many bytes of the body, or all if there are less; each is held as it comes."""
        pieces = []
        while size > 0 and (piece := self._source.read(min(size, _PIECE_BYTES))):
            self._hold.grow(len(piece))
            pieces.append(piece)
            size -= len(piece)
        return b"".join(pieces)
