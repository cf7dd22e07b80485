"""The owner of a program: handles its requests and runs its calls in order."""

from yarrowwall.messages.entries import (
    EndReason,
)
from yarrowwall.messages.requests import (
    EndProgram,
    ErrorReply,
    ErrorType,
    GetProgram,
    OpenProgram,
    Request,
    ReserveChildBudget,
    SettleChildBudget,
    SubmitCall,
)
from yarrowwall.standalone.core.effects import (
    AttachStream,
    StreamRoute,
)
from yarrowwall.standalone.core.program.attempts import RESUME, AttemptRunner
from yarrowwall.standalone.core.program.cache_release import RELEASE
from yarrowwall.standalone.core.program.journaled import RETRANSMIT
from yarrowwall.standalone.core.program.lifecycle import SETTLE
from yarrowwall.standalone.core.program.prompts import request_digest
from yarrowwall.standalone.core.program.requests import (
    ORDER_PREFIX,
    QUEUE,
    RETRY_AFTER,
    PendingRequest,
)
from yarrowwall.standalone.core.program.state import (
    CallState,
    CallStatus,
)

_UNLOAD = "unload"
_IDLE = "idle"


class ProgramOwner(AttemptRunner):
    """Runs one program.

    Requests that arrive while the log is being recovered wait until this owner leads.
    """

    def handle_request(self, now: float, route: StreamRoute, request: Request) -> None:
        """Handle a request; the reply follows as an effect, possibly much later."""
        if route.request_id in self.pending:
            return
        pending = PendingRequest(route, request)
        self.pending[route.request_id] = pending
        if self.is_leading():
            self._admit_request(now, pending)

    def recovered(self, now: float) -> None:
        """Continue the work in progress according to the log, then admit the waiting requests."""
        self._reset_timers(now)
        call = self.state.unsettled_call()
        if call is not None and call.status is CallStatus.DISPATCHED:
            self._resume_attempt(now, call)
        if self.state.ended is not None:
            self._release_all(now)
            self._settle_family(now)
        for pending in list(self.pending.values()):
            self._admit_request(now, pending)
        if call is not None and call.status is CallStatus.ACCEPTED:
            self._enqueue(now, call.accepted)

    def _admit_request(self, now: float, pending: PendingRequest) -> None:
        self._reset_timers(now)
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
        """Answer a repeated call number from the log, or wait for the call's outcome."""
        if call.accepted.digest != request_digest(request):
            message = f"call {request.call_number} was made with another body"
            self._reply(pending, ErrorReply(ErrorType.CALL_CONFLICT, message, 0.0))
        elif call.status is CallStatus.FINISHED:
            self._reply(pending, self._call_reply(call))
        elif call.status is CallStatus.UNKNOWN:
            self._reply(pending, self._unknown_error())
        else:
            self._waiters_of(request.call_number).routes.append(pending.route)
            if self._attempt is not None:
                self.after_chosen(AttachStream(self._attempt.key, pending.route))

    def _admit(self, now: float, pending: PendingRequest, request: SubmitCall) -> None:
        """Queue the next call; a later call waits for the earlier ones."""
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
            key = f"{ORDER_PREFIX}{request.call_number}"
            self.timers.set(key, now + self._limits.order_wait)
        waiting.append(pending)

    def _join_waiting(self, pending: PendingRequest, request: SubmitCall) -> None:
        assert self._waiting is not None and isinstance(self._waiting.request, SubmitCall)
        if request_digest(self._waiting.request) != request_digest(request):
            message = f"call {request.call_number} was made with another body"
            self._reply(pending, ErrorReply(ErrorType.CALL_CONFLICT, message, 0.0))
            return
        self._waiters_of(request.call_number).routes.append(pending.route)

    def _queue_request(self, now: float, pending: PendingRequest, request: SubmitCall) -> None:
        available = self.state.available_tokens()
        if self.state.opened is None:
            available = request.budget_tokens
        if self._reservation(request) > available:
            message = "the program's budget does not cover the call"
            self._refuse(now, pending, ErrorType.BUDGET_EXHAUSTED, message, 0.0)
            return
        self._waiting = pending
        self._waiters_of(request.call_number).routes.append(pending.route)
        self._starts_left = self._limits.start_attempts
        self._excluded = frozenset()
        self._enqueue(now, self._accepted_entry(now, request))

    def _reset_timers(self, now: float) -> None:
        self.timers.set(_UNLOAD, now + self._limits.unload_after)
        if self.state.ended is None and self.state.opened is not None:
            self.timers.set(_IDLE, self.state.last_activity + self._limits.idle_limit)

    def handle_time(self, now: float) -> None:
        """Handle the deadlines that have passed."""
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
        elif key == RESUME:
            self._resume_if_running(now)
        elif key == RELEASE:
            self._retry_releases(now)
        elif key == SETTLE:
            self._settle_family(now)
        elif key == QUEUE:
            message = "no engine became free in time"
            self._refuse_waiting(now, ErrorType.NOT_RUN, message, RETRY_AFTER)
        elif key.startswith(ORDER_PREFIX):
            number = int(key.removeprefix(ORDER_PREFIX))
            message = f"the calls before call {number} did not come in time"
            self._refuse_out_of_order(now, number, ErrorType.NOT_RUN, message, RETRY_AFTER)

    def _end_if_idle(self, now: float) -> None:
        idle = now - self.state.last_activity
        if self.state.unsettled_call() is None and idle >= self._limits.idle_limit:
            self._end(now, None, EndReason.IDLE)
        else:
            self.timers.set(_IDLE, now + self._limits.idle_limit)

    def is_idle(self) -> bool:
        """Return whether no call runs, no request waits and all proposed entries are chosen."""
        runs = self._attempt is not None or self._is_queued
        return self.log.settled() and not runs and not self.pending

    def may_unload(self, now: float) -> bool:
        """Return whether this owner can be dropped from memory without losing work."""
        if not self.is_idle() or self.state.unsettled_call() is not None:
            return False
        if self.state.ended is not None:
            return self.state.is_complete() and SETTLE not in self.timers
        return now - self.state.last_activity >= self._limits.unload_after
