"""Entries of a program's log, in the order a program's life writes them."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class Priority(StrEnum):
    """Scheduling class of a call or lookup; urgent goes first."""

    URGENT = "urgent"
    ROUTINE = "routine"


class EndReason(StrEnum):
    """Why a program ended."""

    CALLER = "caller"
    SINGLE_CALL = "single_call"
    IDLE = "idle"
    CALL_LIMIT = "call_limit"
    PARENT_ENDED = "parent_ended"


@dataclass(frozen=True)
class ChatMessage:
    """One message of a conversation.

    :param role: ``system``, ``user``, ``assistant`` or ``tool``.
    """

    role: str
    content: str


@message(60)
class ProgramOpened:
    """The first entry of every log.

    :param budget_tokens: most tokens the program and its children may spend.
    :param opened_at: seconds since the epoch.
    """

    program_id: str
    tenant: str
    desk: str
    budget_tokens: int
    parent_program_id: str | None
    opened_at: float


@message(61)
class CallAccepted:
    """A call joins the program's history with a budget reservation.

    :param digest: hash of the request body; tells a repeat from a conflict.
    :param messages: only what the call adds to the history.
    :param reserved_tokens: upper bound of what one attempt may spend.
    """

    program_id: str
    call_number: int
    digest: str
    messages: list[ChatMessage]
    model: str
    max_tokens: int
    priority: Priority
    repeatable: bool
    reserved_tokens: int
    accepted_at: float


@message(62)
class CallDispatched:
    """Chosen by a majority before the attempt's request leaves the owner.

    :param hold: whether the engine is to keep the prefix until released.
    """

    program_id: str
    call_number: int
    attempt: int
    engine_id: str
    engine_address: str
    hold: bool
    dispatched_at: float


@message(63)
class AttemptNotRun:
    """The engine proved that the attempt never started; it spent nothing."""

    program_id: str
    call_number: int
    attempt: int


@message(64)
class CallFinished:
    """The whole answer of a call and what it spent."""

    program_id: str
    call_number: int
    attempt: int
    text: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    finished_at: float


@message(65)
class CallRefused:
    """The request was refused and did not run; the caller may send it anew.

    :param request_id: a late copy of this very request is refused as well.
    """

    program_id: str
    call_number: int
    request_id: str
    error_type: str
    message: str
    retry_after: float


@message(66)
class AttemptLost:
    """The outcome of an attempt cannot be known; its reservation is spent.

    :param final: no further attempt follows, callers get ``outcome_unknown``.
    """

    program_id: str
    call_number: int
    attempt: int
    final: bool


@message(67)
class ChildBudgetReserved:
    """Part of the budget is set aside for a child program."""

    program_id: str
    child_program_id: str
    tokens: int


@message(68)
class ChildBudgetSettled:
    """A child ended; only what it spent stays charged to the parent."""

    program_id: str
    child_program_id: str
    spent_tokens: int


@message(69)
class CacheReleased:
    """An engine confirmed that it holds nothing more for the program."""

    program_id: str
    engine_id: str


@message(70)
class ProgramEnded:
    """No further call is accepted; everything held is released after this."""

    program_id: str
    reason: EndReason
    ended_at: float


Entry = (
    ProgramOpened
    | CallAccepted
    | CallDispatched
    | AttemptNotRun
    | CallFinished
    | CallRefused
    | AttemptLost
    | ChildBudgetReserved
    | ChildBudgetSettled
    | CacheReleased
    | ProgramEnded
)
