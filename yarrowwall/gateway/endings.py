"""Why a caller's connection ended before its answer did."""

from enum import StrEnum
from typing import NamedTuple


class EndReason(StrEnum):
    """What ended a connection whose request was read, in whole or in part."""

    #: The head did not arrive in time.
    HEAD_LATE = "head_late"
    #: The head is malformed or too long, or ended early.
    HEAD_REFUSED = "head_refused"
    #: The caller took nothing of its answer for too long.
    NOT_TAKEN = "not_taken"
    #: The connection failed while the answer was written.
    WRITE_FAILED = "write_failed"
    #: The caller left while the answer was written.
    LEFT_WHILE_WRITING = "left_while_writing"
    #: The answer ended before its head.
    NOT_BEGUN = "not_begun"
    #: The answer ended before its end, for no reason that is known.
    UNKNOWN = "unknown"
    #: The process ended.
    PROCESS_ENDED = "process_ended"


class Ending(NamedTuple):
    """How a connection ended.

    :param detail: the error behind it; empty for none.
    """

    reason: EndReason
    detail: str = ""
