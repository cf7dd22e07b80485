"""The owner of a program: orders its calls, keeps its budget, runs attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.core.effects import (
    AttachStream,
    CancelAttempt,
    ReleaseCache,
    StartAttempt,
    StreamRoute,
)
from yarrowwall.core.events import AttemptKey, EngineCompleted, EngineFailed, EngineFault
from yarrowwall.core.hashing import PrefixBlock, chain, digest
from yarrowwall.core.identifiers import is_single_call
from yarrowwall.core.journal.proposer import ReplicaGroups
from yarrowwall.core.limits import Limits
from yarrowwall.core.outbox import Outbox
from yarrowwall.core.program.journaled import RETRANSMIT, JournaledProgram
from yarrowwall.core.program.state import (
    CallState,
    CallStatus,
    count_message_tokens,
)
from yarrowwall.core.scheduling.types import Placement, WaitingCall
from yarrowwall.messages.entries import (
    AttemptLost,
    AttemptNotRun,
    CacheReleased,
    CallAccepted,
    CallDispatched,
    CallFinished,
    CallRefused,
    ChatMessage,
    ChildBudgetReserved,
    ChildBudgetSettled,
    EndReason,
    Entry,
    ProgramEnded,
    ProgramOpened,
)
from yarrowwall.messages.journal import Ballot
from yarrowwall.messages.requests import (
    CallReply,
    EndProgram,
    ErrorReply,
    ErrorType,
    GetProgram,
    OpenProgram,
    Reply,
    Request,
    ReserveChildBudget,
    SettleChildBudget,
    SubmitCall,
)

#: Seconds after which a caller may repeat a request that was refused.
RETRY_AFTER = 1.0
#: ``through_call`` of a release that ends a program.
ALL_CALLS = 2**31 - 1

_UNLOAD = "unload"
_IDLE = "idle"
_RESUME = "resume"
_RELEASE = "release"
_SETTLE = "settle"
_ORDER_PREFIX = "order/"
_QUEUE = "queue"
#: Seconds between looks whether the end of a program is chosen.
_SETTLE_POLL = 0.02


@dataclass(frozen=True)
class PendingRequest:
    """A request that has no final reply yet."""

    route: StreamRoute
    request: Request


@dataclass(frozen=True)
class OwnerContext:
    """What an owner uses of its node.

    :param enqueue: hands a call to the scheduler.
    :param withdraw: takes a waiting call back from the scheduler.
    :param attempt_ended: tells the scheduler that an attempt left its engine.
    :param ask_owner: sends a request to another program's owner; the reply
        comes back to :meth:`ProgramOwner.handle_owner_reply`.
    """

    limits: Limits
    outbox: Outbox
    enqueue: Callable[[WaitingCall], None]
    withdraw: Callable[[str], None]
    attempt_ended: Callable[[AttemptKey, EngineCompleted | EngineFault], None]
    ask_owner: Callable[[str, Request], None]


@dataclass
class _Attempt:
    """Volatile state of the attempt in progress."""

    key: AttemptKey
    resumes_left: int
    confirmed: bool = False


@dataclass
class _Conversation:
    """Requests of one call that wait for its outcome."""

    routes: list[StreamRoute] = field(default_factory=list)


class ProgramOwner(JournaledProgram):
    """Runs one program.

    Requests that come while the log is being recovered wait in ``pending``,
    as does every request until its final reply has been emitted; if this owner
    is deposed the node forwards them to the new owner.
    """

    def __init__(
        self, program_id: str, groups: ReplicaGroups, ballot: Ballot, context: OwnerContext
    ) -> None:
        super().__init__(program_id, groups, ballot, context.limits, context.outbox)
        self._context = context
        self.took_higher_ballot = False
        self.pending: dict[str, PendingRequest] = {}
        self._conversations: dict[int, _Conversation] = {}
        self._out_of_order: dict[int, list[PendingRequest]] = {}
        self._waiting: PendingRequest | None = None
        self._is_queued = False
        self._excluded: frozenset[str] = frozenset()
        self._starts_left = context.limits.start_attempts
        self._attempt: _Attempt | None = None
        self._opening: PendingRequest | None = None

    # Requests

    def handle_request(self, now: float, route: StreamRoute, request: Request) -> None:
        """Take a request; its reply may come much later."""
        if route.request_id in self.pending:
            return
        pending = PendingRequest(route, request)
        self.pending[route.request_id] = pending
        if self.is_leading():
            self._process(now, pending)

    def recovered(self, now: float) -> None:
        """Take up what the log says is in progress, then the waiting requests."""
        self._touch(now)
        call = self.state.unsettled_call()
        if call is not None and call.status is CallStatus.DISPATCHED:
            self._resume_attempt(now, call)
        if self.state.ended is not None:
            self._release_all(now)
            self._finish_family(now)
        for pending in list(self.pending.values()):
            self._process(now, pending)
        if call is not None and call.status is CallStatus.ACCEPTED:
            self._enqueue(now, call.accepted)

    def _process(self, now: float, pending: PendingRequest) -> None:
        self._touch(now)
        match pending.request:
            case OpenProgram():
                self._open(now, pending, pending.request)
            case SubmitCall():
                self._submit(now, pending, pending.request)
            case EndProgram():
                self._end(now, pending, pending.request.reason)
            case GetProgram():
                self._reply(pending, self._summary())
            case ReserveChildBudget():
                self._reserve_child(now, pending, pending.request)
            case SettleChildBudget():
                self._settle_child(now, pending, pending.request)

    def _reply(self, pending: PendingRequest, reply: Reply) -> None:
        """Reply once everything proposed so far is chosen."""
        self.pending.pop(pending.route.request_id, None)
        self.after_chosen(self._outbox.reply_effect(pending.route, reply))

    def _summary(self) -> Reply:
        if self.state.opened is None:
            return ErrorReply(ErrorType.PROGRAM_UNKNOWN, "no such program", 0.0)
        return self.state.summary()

    # Opening and ending

    def _open(self, now: float, pending: PendingRequest, request: OpenProgram) -> None:
        if self.state.opened is not None:
            self._reply(pending, self.state.summary())
        elif request.parent_program_id is None:
            self.propose(now, [self._opened_entry(now, request)])
            self._reply(pending, self.state.summary())
        else:
            self._opening = pending
            reservation = ReserveChildBudget(
                request.parent_program_id, self.program_id, request.budget_tokens
            )
            self._context.ask_owner(self.program_id, reservation)

    def _opened_entry(self, now: float, request: OpenProgram | SubmitCall) -> ProgramOpened:
        parent = request.parent_program_id if isinstance(request, OpenProgram) else None
        return ProgramOpened(
            self.program_id, request.tenant, request.desk, request.budget_tokens, parent, now
        )

    def handle_owner_reply(self, now: float, request: Request, reply: Reply) -> None:
        """Take the reply of the parent's or a child's owner to ``ask_owner``."""
        if not self.is_leading():
            return
        match request:
            case ReserveChildBudget():
                self._budget_granted(now, reply)
            case SettleChildBudget() if not self.state.child_reservations:
                self.timers.cancel(_SETTLE)

    def _budget_granted(self, now: float, reply: Reply) -> None:
        pending, self._opening = self._opening, None
        if pending is None or self.state.opened is not None:
            return
        if isinstance(reply, ErrorReply):
            self._reply(pending, reply)
            return
        assert isinstance(pending.request, OpenProgram)
        self.propose(now, [self._opened_entry(now, pending.request)])
        self._reply(pending, self.state.summary())

    def _reserve_child(
        self, now: float, pending: PendingRequest, request: ReserveChildBudget
    ) -> None:
        child = request.child_program_id
        known = child in self.state.child_reservations or child in self.state.settled_children
        if self.state.opened is None:
            self._reply(pending, self._summary())
        elif known:
            self._reply(pending, self.state.summary())
        elif self.state.ended is not None:
            self._reply(pending, self._ended_error())
        elif request.tokens > self.state.available_tokens():
            message = "the parent's budget is too small"
            self._reply(pending, ErrorReply(ErrorType.BUDGET_EXHAUSTED, message, 0.0))
        else:
            self.propose(now, [ChildBudgetReserved(self.program_id, child, request.tokens)])
            self._reply(pending, self.state.summary())

    def _settle_child(
        self, now: float, pending: PendingRequest, request: SettleChildBudget
    ) -> None:
        child = request.child_program_id
        if child in self.state.child_reservations:
            self.propose(now, [ChildBudgetSettled(self.program_id, child, request.spent_tokens)])
        self._reply(pending, self._summary())

    def _end(self, now: float, pending: PendingRequest | None, reason: EndReason) -> None:
        if self.state.opened is not None and self.state.ended is None:
            self._end_now(now, reason)
        if pending is not None:
            self._reply(pending, self._summary())

    def _end_now(self, now: float, reason: EndReason) -> None:
        """End the program; a call in progress is cancelled, its outcome unknown."""
        call = self.state.unsettled_call()
        number = len(self.state.calls)
        entries: list[Entry] = []
        if call is not None and call.status is CallStatus.DISPATCHED:
            entries.append(AttemptLost(self.program_id, number, call.attempt, final=True))
        entries.append(ProgramEnded(self.program_id, reason, now))
        self.propose(now, entries)
        if entries[:-1] and call is not None:
            self._cancel_attempt(call)
            self._settle_conversation(number, self._unknown_error())
        self._refuse_waiting(now, ErrorType.PROGRAM_ENDED, "the program ended", 0.0)
        for number in list(self._out_of_order):
            self._refuse_out_of_order(
                now, number, ErrorType.PROGRAM_ENDED, "the program ended", 0.0
            )
        self._release_all(now)
        self._finish_family(now)

    def _finish_family(self, now: float) -> None:
        """Settle the budget with the parent and end the children.

        Others act on what they are asked, so nothing is asked before the end
        is chosen: an owner that was deposed meanwhile has not ended anything.
        """
        opened = self.state.opened
        parent = opened.parent_program_id if opened is not None else None
        if parent is None and not self.state.child_reservations:
            return
        if not self.log.settled():
            self.timers.set(_SETTLE, now + _SETTLE_POLL)
            return
        self.timers.set(_SETTLE, now + self._limits.forward_retry)
        for child in list(self.state.child_reservations):
            self._context.ask_owner(self.program_id, EndProgram(child, EndReason.PARENT_ENDED))
        if parent is not None and not self.state.child_reservations:
            spent = self.state.spent_tokens
            request = SettleChildBudget(parent, self.program_id, spent)
            self._context.ask_owner(self.program_id, request)

    # Calls

    def _submit(self, now: float, pending: PendingRequest, request: SubmitCall) -> None:
        refusal = self.state.refusals.get(pending.route.request_id)
        if refusal is not None:
            error = ErrorReply(ErrorType(refusal.error_type), refusal.message, refusal.retry_after)
            self._reply(pending, error)
        elif request.call_number in self.state.calls:
            self._join(pending, request, self.state.calls[request.call_number])
        elif self.state.ended is not None:
            self._reply(pending, self._ended_error())
        elif self.state.opened is None and not request.single:
            self._reply(pending, self._summary())
        elif request.call_number > self._limits.calls_per_program:
            self._refuse(now, pending, ErrorType.INVALID_REQUEST, "too many calls", 0.0)
            self._end(now, None, EndReason.CALL_LIMIT)
        else:
            self._admit(now, pending, request)

    def _join(self, pending: PendingRequest, request: SubmitCall, call: CallState) -> None:
        """Answer a repeated call number from the record, or wait for its outcome."""
        if call.accepted.digest != request_digest(request):
            message = f"call {request.call_number} was made with another body"
            self._reply(pending, ErrorReply(ErrorType.CALL_CONFLICT, message, 0.0))
        elif call.status is CallStatus.FINISHED:
            self._reply(pending, self._call_reply(call))
        elif call.status is CallStatus.UNKNOWN:
            self._reply(pending, self._unknown_error())
        else:
            self._conversation(request.call_number).routes.append(pending.route)
            if self._attempt is not None:
                self.after_chosen(AttachStream(self._attempt.key, pending.route))

    def _admit(self, now: float, pending: PendingRequest, request: SubmitCall) -> None:
        """Queue the next call; a later one waits for the earlier ones."""
        is_next = request.call_number == self.state.next_call_number()
        if not is_next or self.state.unsettled_call() is not None:
            self._wait_for_order(now, pending, request)
        elif self._waiting is not None:
            self._join_waiting(pending, request)
        else:
            self._queue_request(now, pending, request)

    def _wait_for_order(self, now: float, pending: PendingRequest, request: SubmitCall) -> None:
        waiting = self._out_of_order.setdefault(request.call_number, [])
        if not waiting:
            key = f"{_ORDER_PREFIX}{request.call_number}"
            self.timers.set(key, now + self._limits.order_wait)
        waiting.append(pending)

    def _join_waiting(self, pending: PendingRequest, request: SubmitCall) -> None:
        assert self._waiting is not None and isinstance(self._waiting.request, SubmitCall)
        if request_digest(self._waiting.request) != request_digest(request):
            message = f"call {request.call_number} was made with another body"
            self._reply(pending, ErrorReply(ErrorType.CALL_CONFLICT, message, 0.0))
            return
        self._conversation(request.call_number).routes.append(pending.route)

    def _queue_request(self, now: float, pending: PendingRequest, request: SubmitCall) -> None:
        available = self.state.available_tokens()
        if self.state.opened is None:
            available = request.budget_tokens
        if self._reservation(request) > available:
            message = "the program's budget does not cover the call"
            self._refuse(now, pending, ErrorType.BUDGET_EXHAUSTED, message, 0.0)
            return
        self._waiting = pending
        self._conversation(request.call_number).routes.append(pending.route)
        self._starts_left = self._limits.start_attempts
        self._excluded = frozenset()
        self._enqueue(now, self._accepted_entry(now, request))

    def _reservation(self, request: SubmitCall) -> int:
        prompt = count_message_tokens(self.state.history) + count_message_tokens(request.messages)
        return prompt + request.max_tokens

    def _accepted_entry(self, now: float, request: SubmitCall) -> CallAccepted:
        return CallAccepted(
            self.program_id,
            request.call_number,
            request_digest(request),
            request.messages,
            request.model,
            request.max_tokens,
            request.priority,
            request.repeatable,
            self._reservation(request),
            now,
        )

    def _enqueue(self, now: float, accepted: CallAccepted) -> None:
        known = accepted.call_number in self.state.calls
        messages = self.state.history if known else self.state.history + accepted.messages
        last = self.state.calls.get(accepted.call_number - 1)
        waiting = self._waiting.request if self._waiting else None
        call = WaitingCall(
            self.program_id,
            accepted.call_number,
            accepted.model,
            accepted.priority,
            prompt_blocks(messages),
            accepted.max_tokens,
            self.state.spent_tokens,
            self.state.opened.opened_at if self.state.opened else now,
            last.engine_id if last else "",
            now,
            isinstance(waiting, SubmitCall) and waiting.single,
            self._excluded,
        )
        self._is_queued = True
        self.timers.set(_QUEUE, now + self._limits.queue_wait)
        self._context.enqueue(call)

    def place(self, now: float, placement: Placement) -> AttemptKey:
        """Run the waiting call on an engine: journal the dispatch, then send it.

        :returns: the attempt it became.
        """
        number = placement.call.call_number
        self._is_queued = False
        self.timers.cancel(_QUEUE)
        entries = self._entries_before_dispatch(now, number)
        call = self.state.calls.get(number)
        attempt = call.attempt + 1 if call else 1
        key = AttemptKey(self.program_id, number, attempt)
        entries.append(
            CallDispatched(
                self.program_id,
                number,
                attempt,
                placement.engine_id,
                placement.engine_address,
                placement.hold,
                now,
            )
        )
        self.propose(now, entries)
        self._attempt = _Attempt(key, self._limits.resume_attempts)
        self.start_after_dispatch(now, self._start_effect(self.state.calls[number], resume=False))
        self._release_moved(now, number, placement.engine_id)
        return key

    def start_after_dispatch(self, now: float, effect: StartAttempt) -> None:
        """Send an attempt to its engine, once its dispatch is chosen and not too late."""
        self.after_chosen(effect, now + self._limits.dispatch_validity)

    def _entries_before_dispatch(self, now: float, number: int) -> list[Entry]:
        """Return the entries that bring a waiting request into the log."""
        if self._waiting is None:
            return []
        request = self._waiting.request
        assert isinstance(request, SubmitCall) and request.call_number == number
        entries: list[Entry] = []
        if self.state.opened is None:
            entries.append(self._opened_entry(now, request))
        entries.append(self._accepted_entry(now, request))
        self._waiting = None
        return entries

    def _start_effect(self, call: CallState, resume: bool) -> StartAttempt:
        number = call.accepted.call_number
        return StartAttempt(
            AttemptKey(self.program_id, number, call.attempt),
            call.engine_id,
            call.engine_address,
            resume,
            call.accepted.model,
            tuple(self.state.history),
            call.accepted.max_tokens,
            call.accepted.priority,
            call.engine_id in self.state.held_engines,
            tuple(self._conversation(number).routes),
        )

    def _resume_attempt(self, now: float, call: CallState) -> None:
        """Ask the engine for the stream of an attempt that was sent, or may have been."""
        key = AttemptKey(self.program_id, call.accepted.call_number, call.attempt)
        if self._attempt is None or self._attempt.key != key:
            self._attempt = _Attempt(key, self._limits.resume_attempts)
        self.after_chosen(self._start_effect(call, resume=True))

    def handle_completed(self, now: float, event: EngineCompleted) -> None:
        """Journal the whole answer, then give it to every waiting caller."""
        call = self._call_of(event.key)
        if call is None:
            return
        number = event.key.call_number
        self._context.attempt_ended(event.key, event)
        self._attempt = None
        entries: list[Entry] = [
            CallFinished(
                self.program_id,
                number,
                event.key.attempt,
                event.text,
                event.finish_reason,
                event.prompt_tokens,
                event.cached_tokens,
                event.completion_tokens,
                now,
            )
        ]
        if is_single_call(self.program_id):
            entries.append(ProgramEnded(self.program_id, EndReason.SINGLE_CALL, now))
        self.propose(now, entries)
        self._settle_conversation(number, self._call_reply(call))
        self._advance(now)

    def handle_failed(self, now: float, event: EngineFailed) -> None:
        """Resume, place anew, or record that the outcome is unknown."""
        call = self._call_of(event.key)
        if call is None or self._attempt is None:
            return
        resumable = event.fault is EngineFault.BROKEN and self._attempt.resumes_left > 0
        if resumable:
            self._attempt.resumes_left -= 1
            self.timers.set(_RESUME, now + self._limits.resume_interval)
            return
        self._context.attempt_ended(event.key, event.fault)
        self._attempt = None
        if event.fault is EngineFault.NOT_STARTED:
            self._handle_not_started(now, event, call)
        else:
            self._handle_lost(now, event.key, call)

    def _handle_not_started(self, now: float, event: EngineFailed, call: CallState) -> None:
        key = event.key
        self.propose(now, [AttemptNotRun(self.program_id, key.call_number, key.attempt)])
        self._excluded |= {call.engine_id}
        self._starts_left -= 1
        if self._starts_left > 0:
            self._enqueue(now, call.accepted)
        else:
            delay = max(event.retry_after, RETRY_AFTER)
            self._refuse_waiting(now, ErrorType.NOT_RUN, "no engine accepts the call", delay)

    def _handle_lost(self, now: float, key: AttemptKey, call: CallState) -> None:
        accepted = call.accepted
        remaining = self.state.available_tokens()
        may_repeat = accepted.repeatable and remaining >= accepted.reserved_tokens
        lost = AttemptLost(self.program_id, key.call_number, key.attempt, final=not may_repeat)
        self.propose(now, [lost])
        if may_repeat:
            self._excluded |= {call.engine_id}
            self._enqueue(now, accepted)
        else:
            self._settle_conversation(key.call_number, self._unknown_error())
            self._advance(now)

    def _call_of(self, key: AttemptKey) -> CallState | None:
        """Return the call whose latest attempt an engine event is about."""
        if not self.is_leading():
            return None
        call = self.state.calls.get(key.call_number)
        current = call is not None and call.attempt == key.attempt
        return call if current and call.status is CallStatus.DISPATCHED else None  # type: ignore[union-attr]

    def _advance(self, now: float) -> None:
        """Admit the call that waited for the one that has just been settled."""
        last = self.state.calls[len(self.state.calls)]
        if is_single_call(self.program_id):
            self._end(now, None, EndReason.SINGLE_CALL)
            return
        self._excluded = frozenset()
        self._starts_left = self._limits.start_attempts
        next_number = last.accepted.call_number + 1
        self.timers.cancel(f"{_ORDER_PREFIX}{next_number}")
        for waiting in self._out_of_order.pop(next_number, []):
            self._process(now, waiting)

    def _conversation(self, call_number: int) -> _Conversation:
        return self._conversations.setdefault(call_number, _Conversation())

    def _settle_conversation(self, call_number: int, reply: Reply) -> None:
        conversation = self._conversations.pop(call_number, None)
        for route in conversation.routes if conversation else []:
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

    # Refusals

    def _refuse(
        self,
        now: float,
        pending: PendingRequest,
        error_type: ErrorType,
        message: str,
        retry_after: float,
    ) -> None:
        """Refuse a request at once.

        The refusal is journalled first: a copy of the request that reaches
        another owner later is refused there too, so "not run" stays true.
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
        """Refuse the call that waits for an engine, and everybody who joined it."""
        if self._is_queued:
            self._context.withdraw(self.program_id)
            self._is_queued = False
        self.timers.cancel(_QUEUE)
        self._waiting = None
        number = self.state.next_call_number()
        unsettled = self.state.unsettled_call()
        if unsettled is not None:
            number = unsettled.accepted.call_number
        conversation = self._conversations.pop(number, None)
        for route in conversation.routes if conversation else []:
            pending = self.pending.get(route.request_id)
            if pending is not None:
                self._refuse(now, pending, error_type, message, retry_after)

    def refuse_overloaded(self, now: float, retry_after: float) -> None:
        """Refuse the waiting call because the engines are full."""
        self._refuse_waiting(now, ErrorType.NOT_RUN, "the engines are full", retry_after)

    def _ended_error(self) -> ErrorReply:
        return ErrorReply(ErrorType.PROGRAM_ENDED, "the program has ended", 0.0)

    def _unknown_error(self) -> ErrorReply:
        message = "the call was sent to an engine and its outcome cannot be known"
        return ErrorReply(ErrorType.OUTCOME_UNKNOWN, message, 0.0)

    # Cache

    def _release_moved(self, now: float, number: int, engine_id: str) -> None:
        """Release what engines hold of which the program has moved away."""
        for held_id, address in list(self.state.held_engines.items()):
            if held_id != engine_id:
                effect = ReleaseCache(self.program_id, held_id, address, number - 1)
                self.after_chosen(effect)
                self.timers.set(_RELEASE, now + self._limits.resume_interval)

    def _release_all(self, now: float) -> None:
        """Release everything; repeated until every engine confirmed."""
        for engine_id, address in list(self.state.held_engines.items()):
            effect = ReleaseCache(self.program_id, engine_id, address, ALL_CALLS)
            self.after_chosen(effect)
            self.timers.set(_RELEASE, now + 2 * self._limits.resume_interval)

    def handle_released(self, now: float, engine_id: str) -> None:
        """Journal an engine's confirmation, unless the program is back on that engine."""
        if not self.is_leading() or engine_id not in self.state.held_engines:
            return
        call = self.state.calls.get(len(self.state.calls))
        is_current = call is not None and call.engine_id == engine_id
        if self.state.ended is not None or not is_current:
            self.propose(now, [CacheReleased(self.program_id, engine_id)])

    def _retry_releases(self, now: float) -> None:
        if self.state.ended is not None:
            self._release_all(now)
        elif self.state.calls:
            last = self.state.calls[len(self.state.calls)]
            self._release_moved(now, last.accepted.call_number, last.engine_id)

    def _cancel_attempt(self, call: CallState) -> None:
        key = AttemptKey(self.program_id, call.accepted.call_number, call.attempt)
        self._attempt = None
        self._context.attempt_ended(key, EngineFault.BROKEN)
        self.after_chosen(CancelAttempt(key, call.engine_address))

    # Time

    def _touch(self, now: float) -> None:
        self.timers.set(_UNLOAD, now + self._limits.unload_after)
        if self.state.ended is None and self.state.opened is not None:
            self.timers.set(_IDLE, self.state.last_activity + self._limits.idle_limit)

    def handle_time(self, now: float) -> None:
        """Carry out what is due."""
        for key in self.timers.due(now):
            self._handle_deadline(now, key)

    def _handle_deadline(self, now: float, key: str) -> None:
        if key == RETRANSMIT:
            self.retransmit(now)
        elif key == _UNLOAD:
            self.timers.set(_UNLOAD, now + self._limits.unload_after)
        elif not self.is_leading():
            return
        elif key == _IDLE:
            self._end_if_idle(now)
        elif key == _RESUME:
            self._resume_if_running(now)
        elif key == _RELEASE:
            self._retry_releases(now)
        elif key == _SETTLE:
            self._finish_family(now)
        elif key == _QUEUE:
            message = "no engine became free in time"
            self._refuse_waiting(now, ErrorType.NOT_RUN, message, RETRY_AFTER)
        elif key.startswith(_ORDER_PREFIX):
            number = int(key.removeprefix(_ORDER_PREFIX))
            message = f"the calls before call {number} did not come in time"
            self._refuse_out_of_order(now, number, ErrorType.NOT_RUN, message, RETRY_AFTER)

    def _end_if_idle(self, now: float) -> None:
        idle = now - self.state.last_activity
        if self.state.unsettled_call() is None and idle >= self._limits.idle_limit:
            self._end(now, None, EndReason.IDLE)
        else:
            self.timers.set(_IDLE, now + self._limits.idle_limit)

    def _resume_if_running(self, now: float) -> None:
        call = self.state.unsettled_call()
        if call is not None and call.status is CallStatus.DISPATCHED:
            self._resume_attempt(now, call)

    def _refuse_out_of_order(
        self, now: float, number: int, error_type: ErrorType, message: str, retry_after: float
    ) -> None:
        self.timers.cancel(f"{_ORDER_PREFIX}{number}")
        for pending in self._out_of_order.pop(number, []):
            self._refuse(now, pending, error_type, message, retry_after)

    def is_quiet(self) -> bool:
        """Return whether nothing runs here and everything proposed is chosen."""
        runs = self._attempt is not None or self._is_queued
        return self.log.settled() and not runs and not self.pending

    def may_unload(self, now: float) -> bool:
        """Return whether dropping this owner from memory loses nothing."""
        if not self.is_quiet() or self.state.unsettled_call() is not None:
            return False
        if self.state.ended is not None:
            return self.state.is_complete() and _SETTLE not in self.timers
        return now - self.state.last_activity >= self._limits.unload_after


def request_digest(request: SubmitCall) -> str:
    """Return a digest of what makes two requests of one call the same."""
    parts = [request.model, str(request.max_tokens), str(request.repeatable)]
    for message in request.messages:
        parts += [message.role, message.content]
    return digest(*parts)


def prompt_blocks(messages: list[ChatMessage]) -> tuple[PrefixBlock, ...]:
    """Return the prefix blocks of a prompt, one a message."""
    contents = [
        (digest(message.role, message.content), count_message_tokens([message]))
        for message in messages
    ]
    return chain(contents)
