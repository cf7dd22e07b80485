"""Open requests of a program, with their replies and refusals."""

from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.messages.entries import (
    CallRefused,
)
from yarrowwall.messages.journal import Ballot
from yarrowwall.messages.requests import (
    CallReply,
    ErrorReply,
    ErrorType,
    Reply,
    Request,
    SubmitCall,
)
from yarrowwall.standalone.core.effects import (
    StreamRoute,
)
from yarrowwall.standalone.core.events import AttemptKey, EngineCompleted, EngineFault
from yarrowwall.standalone.core.journal.proposer import ReplicaGroups
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.journaled import JournaledProgram
from yarrowwall.standalone.core.program.state import (
    CallState,
)
from yarrowwall.standalone.core.scheduling.types import WaitingCall

#: Seconds after which a caller may retry a refused request.
RETRY_AFTER = 1.0
#: Timer key of the deadline of a call that waits for an engine.
QUEUE = "queue"
#: Prefix of the timer keys of calls that wait for earlier calls.
ORDER_PREFIX = "order/"


@dataclass(frozen=True)
class PendingRequest:
    """A request that has no final reply yet."""

    route: StreamRoute
    request: Request


@dataclass(frozen=True)
class OwnerContext:
    """Services of the node that a program's owner uses.

    :param enqueue: adds a call to the scheduler's queue.
    :param withdraw: removes a program's waiting call from the scheduler's queue.
    :param attempt_ended: notifies the scheduler that an attempt has ended.
    :param ask_owner: sends a request to another program's owner; the reply
        arrives at :meth:`ProgramOwner.handle_owner_reply`.
    """

    limits: Limits
    outbox: Outbox
    enqueue: Callable[[WaitingCall], None]
    withdraw: Callable[[str], None]
    attempt_ended: Callable[[AttemptKey, EngineCompleted | EngineFault], None]
    ask_owner: Callable[[str, Request], None]


@dataclass
class RunningAttempt:
    """State of the attempt in progress that is not in the log."""

    key: AttemptKey
    resumes_left: int
    confirmed: bool = False


@dataclass
class CallWaiters:
    """Routes of the requests that wait for the outcome of one call."""

    routes: list[StreamRoute] = field(default_factory=list)


class ProgramRequests(JournaledProgram):
    """Keeps the open requests of one program.

    A request stays in ``pending`` until it gets its final reply. If this owner is
    deposed, the node forwards the pending requests to the new owner.
    """

    def __init__(
        self, program_id: str, groups: ReplicaGroups, ballot: Ballot, context: OwnerContext
    ) -> None:
        super().__init__(program_id, groups, ballot, context.limits, context.outbox)
        self._context = context
        self.took_higher_ballot = False
        self.pending: dict[str, PendingRequest] = {}
        self._waiters_by_call: dict[int, CallWaiters] = {}
        self._out_of_order: dict[int, list[PendingRequest]] = {}
        self._waiting: PendingRequest | None = None
        self._is_queued = False
        self._excluded: frozenset[str] = frozenset()
        self._starts_left = context.limits.start_attempts
        self._attempt: RunningAttempt | None = None
        self._opening: PendingRequest | None = None

    def _reply(self, pending: PendingRequest, reply: Reply) -> None:
        """Reply after all entries proposed so far are chosen."""
        self.pending.pop(pending.route.request_id, None)
        self.after_chosen(self._outbox.reply_effect(pending.route, reply))

    def _summary(self) -> Reply:
        if self.state.opened is None:
            return ErrorReply(ErrorType.PROGRAM_UNKNOWN, "no such program", 0.0)
        return self.state.summary()

    def _ended_error(self) -> ErrorReply:
        return ErrorReply(ErrorType.PROGRAM_ENDED, "the program has ended", 0.0)

    def _unknown_error(self) -> ErrorReply:
        message = "the call was sent to an engine and its outcome cannot be known"
        return ErrorReply(ErrorType.OUTCOME_UNKNOWN, message, 0.0)

    def _waiters_of(self, call_number: int) -> CallWaiters:
        return self._waiters_by_call.setdefault(call_number, CallWaiters())

    def _reply_to_waiters(self, call_number: int, reply: Reply) -> None:
        waiters = self._waiters_by_call.pop(call_number, None)
        for route in waiters.routes if waiters else []:
            self.pending.pop(route.request_id, None)
            self.after_chosen(self._outbox.reply_effect(route, reply))

    def _call_reply(self, call: CallState) -> CallReply:
        finished = call.finished
        assert finished is not None
        return CallReply(
            self.program_id,
            finished.call_number,
            finished.attempt,
            call.accepted.model,
            finished.text,
            finished.finish_reason,
            finished.prompt_tokens,
            finished.cached_tokens,
            finished.completion_tokens,
        )

    def _refuse(
        self,
        now: float,
        pending: PendingRequest,
        error_type: ErrorType,
        message: str,
        retry_after: float,
    ) -> None:
        """Refuse a request.

        The refusal is journalled before the reply, so a copy of the request that
        reaches another owner later is refused too and "not run" stays true.
        """
        request = pending.request
        assert isinstance(request, SubmitCall)
        refused = CallRefused(
            self.program_id,
            request.call_number,
            pending.route.request_id,
            error_type,
            message,
            retry_after,
        )
        self.propose(now, [refused])
        self._reply(pending, ErrorReply(error_type, message, retry_after))

    def _refuse_waiting(
        self, now: float, error_type: ErrorType, message: str, retry_after: float
    ) -> None:
        """Refuse the call that waits for an engine, for all requests that wait for it."""
        if self._is_queued:
            self._context.withdraw(self.program_id)
            self._is_queued = False
        self.timers.cancel(QUEUE)
        self._waiting = None
        number = self.state.next_call_number()
        unsettled = self.state.unsettled_call()
        if unsettled is not None:
            number = unsettled.accepted.call_number
        waiters = self._waiters_by_call.pop(number, None)
        for route in waiters.routes if waiters else []:
            pending = self.pending.get(route.request_id)
            if pending is not None:
                self._refuse(now, pending, error_type, message, retry_after)

    def _refuse_out_of_order(
        self, now: float, number: int, error_type: ErrorType, message: str, retry_after: float
    ) -> None:
        self.timers.cancel(f"{ORDER_PREFIX}{number}")
        for pending in self._out_of_order.pop(number, []):
            self._refuse(now, pending, error_type, message, retry_after)
