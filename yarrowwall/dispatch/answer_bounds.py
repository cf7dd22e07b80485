"""Bounds on the bytes of one answer, whatever its sender does. No I/O."""

import math
from enum import StrEnum

from yarrowwall.exceptions import AnswerTimeoutError, MalformedAnswerError
from yarrowwall.http_framing import FRAMING_BYTES_PER_BODY_BYTE

#: Largest head of an answer, with the informational answers before it.
MAX_HEAD_BYTES = 64 * 1024
#: Largest event of a stream.
MAX_EVENT_BYTES = 1024 * 1024
#: Most bytes and seconds that are spent on the rest of an answer whose head says all, so that its
#: connection can be reused.
MAX_DRAINED_BYTES = 16 * 1024
DRAIN_SECONDS = 0.02
#: Most bytes that are read of a body once its time is over. What had arrived by then is read
#: although the process was delayed, and the kernel's buffer holds no more.
MAX_LATE_BYTES = 512 * 1024
#: Largest answer to another request that is skipped on a connection.
MAX_SKIPPED_BYTES = 4 * 1024 * 1024
#: Seconds after its head in which an answer must be complete for its server not to count as failed,
#: if the time of its request ends before it is. Callers choose that time.
UNFINISHED_SECONDS = 1.0


class AnswerBound(StrEnum):
    """What is bounded."""

    HEAD = "head"
    FRAMING = "framing"
    BODY = "body"
    EVENT = "event"
    #: What a gateway keeps for one request, for one server or for all; see the memory budget.
    MEMORY = "memory"
    TIME = "time"


class AnswerBoundError(MalformedAnswerError):
    """An answer exceeds a bound, so the rest of it is not read; the request may have run.

    :param bound: what is exceeded.
    :param received: bytes of the answer that arrived.
    :param limit: bytes that are allowed.
    """

    def __init__(self, bound: AnswerBound, received: int, limit: int) -> None:
        super().__init__(f"the {bound} of the answer exceeds {limit} bytes")
        self.bound = bound
        self.received = received
        self.limit = limit


class AnswerUnfinishedError(AnswerTimeoutError):
    """An answer began in time and had not ended by then.

    :param received: bytes of it that arrived.
    :param seconds: seconds since its head.
    """

    def __init__(self, received: int, seconds: float) -> None:
        super().__init__(f"no end of the answer in time, {received} bytes arrived")
        self.received = received
        self.seconds = seconds


class AnswerSize:
    """The bytes of one answer so far.

    :ivar end_s: when its body must have ended, on the monotonic clock.
    """

    def __init__(self) -> None:
        self.received = 0
        self.body = 0
        self.end_s = math.inf
        self._late = 0

    def add(self, received: int, body: int, read_at_s: float) -> None:
        """Count bytes.

        :param received: all of them, framing included.
        :param body: those that belong to the body.
        :param read_at_s: when they were read.
        """
        self.received += received
        self.body += body
        if read_at_s > self.end_s:
            self._late += received

    def is_over(self, now_s: float) -> bool:
        """Return whether its time is over and what had arrived by then has been read."""
        return now_s > self.end_s and self._late > MAX_LATE_BYTES

    def check(self, has_head: bool) -> None:
        """Check the bytes outside of the body, which has bounds of its own where it is kept.

        :raises AnswerBoundError: if there are too many.
        """
        framing = self.received - self.body
        if not has_head:
            if framing > MAX_HEAD_BYTES:
                raise AnswerBoundError(AnswerBound.HEAD, self.received, MAX_HEAD_BYTES)
            return
        limit = MAX_HEAD_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self.body
        if framing > limit:
            raise AnswerBoundError(AnswerBound.FRAMING, self.received, limit)


class BodyLimit:
    """Bounds the body of one answer.

    :param max_bytes: bytes that it may have.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0

    def add(self, size: int) -> None:
        """Count bytes of the body.

        :raises AnswerBoundError: if there are too many.
        """
        self._size += size
        if self._size > self._max_bytes:
            raise AnswerBoundError(AnswerBound.BODY, self._size, self._max_bytes)
