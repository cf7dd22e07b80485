"""Requests of callers and their replies, which nodes forward to each other."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.entries import ChatMessage, EndReason, Priority
from yarrowwall.messages.registry import message


class ErrorType(StrEnum):
    """The ``type`` of an error response."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BUDGET_EXHAUSTED = "budget_exhausted"
    PROGRAM_ENDED = "program_ended"
    PROGRAM_UNKNOWN = "program_unknown"
    CALL_CONFLICT = "call_conflict"
    INVALID_REQUEST = "invalid_request"


@message(40)
class OpenProgram:
    """Open a program; the gateway chooses the id, so a repeat is harmless."""

    program_id: str
    tenant: str
    desk: str
    budget_tokens: int
    parent_program_id: str | None


@message(41)
class SubmitCall:
    """Run one call of a program.

    :param call_number: 1, 2, ... in the order of the program's calls.
    :param single: whether the program consists of this call, which opens and ends it.
    """

    program_id: str
    call_number: int
    messages: list[ChatMessage]
    model: str
    max_tokens: int
    priority: Priority
    repeatable: bool
    single: bool
    tenant: str
    desk: str
    budget_tokens: int


@message(42)
class GetProgram:
    """Read a program's status, budget and calls."""

    program_id: str


@message(43)
class EndProgram:
    """End a program."""

    program_id: str
    reason: EndReason


@message(44)
class ReserveChildBudget:
    """Sent by a child's owner: reserve budget for the child in the parent's log."""

    program_id: str
    child_program_id: str
    tokens: int


@message(45)
class SettleChildBudget:
    """Sent by an ended child's owner: settle the reservation to the tokens that it spent."""

    program_id: str
    child_program_id: str
    spent_tokens: int


Request = (
    OpenProgram | SubmitCall | GetProgram | EndProgram | ReserveChildBudget | SettleChildBudget
)


@dataclass(frozen=True)
class CallSummary:
    """One call in a :class:`ProgramReply`."""

    call_number: int
    status: str
    attempts: int
    engine_id: str


@message(50)
class ProgramReply:
    """A program's state, as known to its owner."""

    program_id: str
    tenant: str
    desk: str
    status: str
    budget_tokens: int
    spent_tokens: int
    reserved_tokens: int
    calls: list[CallSummary]


@message(51)
class CallReply:
    """The complete answer of one call."""

    program_id: str
    call_number: int
    attempt: int
    model: str
    text: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@message(52)
class ErrorReply:
    """The error with which a request ended.

    :param retry_after: seconds after which the caller may retry; 0 if it should not.
    """

    error_type: ErrorType
    message: str
    retry_after: float


Reply = ProgramReply | CallReply | ErrorReply
