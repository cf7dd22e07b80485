"""Opens and ends a program, and shares its budget between parent and children."""

from yarrowwall.messages.entries import (
    AttemptLost,
    ChildBudgetReserved,
    ChildBudgetSettled,
    EndReason,
    Entry,
    ProgramEnded,
    ProgramOpened,
)
from yarrowwall.messages.requests import (
    EndProgram,
    ErrorReply,
    ErrorType,
    OpenProgram,
    Reply,
    Request,
    ReserveChildBudget,
    SettleChildBudget,
    SubmitCall,
)
from yarrowwall.standalone.core.effects import (
    CancelAttempt,
)
from yarrowwall.standalone.core.events import AttemptKey, EngineFault
from yarrowwall.standalone.core.program.cache_release import CacheReleaser
from yarrowwall.standalone.core.program.requests import PendingRequest
from yarrowwall.standalone.core.program.state import (
    CallState,
    CallStatus,
)

#: Timer key of the next check whether parent and children are settled.
SETTLE = "settle"
#: Seconds between checks whether the end of a program is chosen.
SETTLE_POLL = 0.02


class ProgramLifecycle(CacheReleaser):
    """Reserves budget at the parent and for children; ends the children with the program."""

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
        """Handle the reply of the parent's or a child's owner to ``ask_owner``."""
        if not self.is_leading():
            return
        match request:
            case ReserveChildBudget():
                self._budget_granted(now, reply)
            case SettleChildBudget() if not self.state.child_reservations:
                self.timers.cancel(SETTLE)

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
        """End the program; cancel a call in progress, whose outcome stays unknown."""
        call = self.state.unsettled_call()
        number = len(self.state.calls)
        entries: list[Entry] = []
        if call is not None and call.status is CallStatus.DISPATCHED:
            entries.append(AttemptLost(self.program_id, number, call.attempt, final=True))
        entries.append(ProgramEnded(self.program_id, reason, now))
        self.propose(now, entries)
        if entries[:-1] and call is not None:
            self._cancel_attempt(call)
            self._reply_to_waiters(number, self._unknown_error())
        self._refuse_waiting(now, ErrorType.PROGRAM_ENDED, "the program ended", 0.0)
        for number in list(self._out_of_order):
            self._refuse_out_of_order(
                now, number, ErrorType.PROGRAM_ENDED, "the program ended", 0.0
            )
        self._release_all(now)
        self._settle_family(now)

    def _cancel_attempt(self, call: CallState) -> None:
        key = AttemptKey(self.program_id, call.accepted.call_number, call.attempt)
        self._attempt = None
        self._context.attempt_ended(key, EngineFault.BROKEN)
        self.after_chosen(CancelAttempt(key, call.engine_address))

    def _settle_family(self, now: float) -> None:
        """Settle the budget with the parent and end the children.

        Other owners act on these requests at once, so none is sent before the
        end is chosen: if this owner has been deposed, the program has not ended.
        """
        opened = self.state.opened
        parent = opened.parent_program_id if opened is not None else None
        if parent is None and not self.state.child_reservations:
            return
        if not self.log.settled():
            self.timers.set(SETTLE, now + SETTLE_POLL)
            return
        self.timers.set(SETTLE, now + self._limits.forward_retry)
        for child in list(self.state.child_reservations):
            self._context.ask_owner(self.program_id, EndProgram(child, EndReason.PARENT_ENDED))
        if parent is not None and not self.state.child_reservations:
            spent = self.state.spent_tokens
            request = SettleChildBudget(parent, self.program_id, spent)
            self._context.ask_owner(self.program_id, request)
