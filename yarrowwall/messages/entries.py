"""Entries of a program's log, in the usual order of a program's lifecycle."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class Priority(StrEnum):
    """Scheduling class of a call or lookup; urgent ones come first."""

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
    """A program was opened; the first entry of every log.

    :param budget_tokens: maximum number of tokens that the program and its children may spend.
    :param opened_at: seconds since the Unix epoch.
    """

    program_id: str
    tenant: str
    desk: str
    budget_tokens: int
    parent_program_id: str | None
    opened_at: float


@message(61)
class CallAccepted:
    """A call was added to the program's history and its budget was reserved.

    :param digest: hash of the request body, which distinguishes a repeat from a conflict.
    :param messages: the messages that the call adds to the history.
    :param reserved_tokens: upper bound of the tokens that one attempt may spend.
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
    """An attempt is sent to an engine; a majority accepts this entry before the request is sent.

    :param hold: whether the engine keeps the prefix cached until it is released.
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
    """The engine confirmed that the attempt never started, so it spent no tokens."""

    program_id: str
    call_number: int
    attempt: int


@message(64)
class CallFinished:
    """The complete answer of a call and the tokens that it spent."""

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
    """The request was refused and did not run; the caller may retry it.

    :param request_id: id of the request; a late copy of it is refused too.
    """

    program_id: str
    call_number: int
    request_id: str
    error_type: str
    message: str
    retry_after: float


@message(66)
class AttemptLost:
    """The outcome of an attempt is unknown; its whole reservation counts as spent.

    :param final: whether no further attempt follows and callers get ``outcome_unknown``.
    """

    program_id: str
    call_number: int
    attempt: int
    final: bool


@message(67)
class ChildBudgetReserved:
    """A part of the budget was reserved for a child program."""

    program_id: str
    child_program_id: str
    tokens: int


@message(68)
class ChildBudgetSettled:
    """A child ended; its reservation was settled to the tokens that it spent."""

    program_id: str
    child_program_id: str
    spent_tokens: int


@message(69)
class CacheReleased:
    """An engine confirmed that it caches nothing more for the program."""

    program_id: str
    engine_id: str


@message(70)
class ProgramEnded:
    """The program ended: no further call is accepted, and its cached prefixes are released next."""

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
