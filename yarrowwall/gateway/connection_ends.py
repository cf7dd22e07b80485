"""Reasons why a caller's connection ended before its response was complete."""

from enum import StrEnum
from typing import NamedTuple


class ConnectionEndReason(StrEnum):
    """Why a connection ended after its request was read in whole or in part."""

    #: The request head did not arrive in time.
    HEAD_LATE = "head_late"
    #: The request head is malformed, too long or incomplete.
    HEAD_REFUSED = "head_refused"
    #: The caller read nothing of the response within the write timeout.
    NOT_TAKEN = "not_taken"
    #: The connection failed while the response was written.
    WRITE_FAILED = "write_failed"
    #: The caller disconnected while the response was written.
    LEFT_WHILE_WRITING = "left_while_writing"
    #: The response ended before its head was sent.
    NOT_BEGUN = "not_begun"
    #: The response ended early for an unknown reason.
    UNKNOWN = "unknown"
    #: The process ended.
    PROCESS_ENDED = "process_ended"


class ConnectionEnd(NamedTuple):
    """How a connection ended.

    :param detail: the error that caused it, or the time that was left; empty if there is none.
    """

    reason: ConnectionEndReason
    detail: str = ""
