"""Runs a call: placement, dispatch, resumption and the outcome of its attempts."""

from yarrowwall.messages.entries import (
    AttemptLost,
    AttemptNotRun,
    CallAccepted,
    CallDispatched,
    CallFinished,
    EndReason,
    Entry,
    ProgramEnded,
)
from yarrowwall.messages.requests import (
    ErrorType,
    SubmitCall,
)
from yarrowwall.standalone.core.effects import (
    StartAttempt,
)
from yarrowwall.standalone.core.events import AttemptKey, EngineCompleted, EngineFailed, EngineFault
from yarrowwall.standalone.core.identifiers import is_single_call
from yarrowwall.standalone.core.program.lifecycle import ProgramLifecycle
from yarrowwall.standalone.core.program.prompts import prompt_blocks, request_digest
from yarrowwall.standalone.core.program.requests import (
    ORDER_PREFIX,
    QUEUE,
    RETRY_AFTER,
    PendingRequest,
    RunningAttempt,
)
from yarrowwall.standalone.core.program.state import (
    CallState,
    CallStatus,
    count_message_tokens,
)
from yarrowwall.standalone.core.scheduling.types import Placement, WaitingCall

#: Timer key of the next attempt to resume a broken stream.
RESUME = "resume"


class AttemptRunner(ProgramLifecycle):
    """Runs a program's current call; a program has at most one in progress."""

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

    def _reservation(self, request: SubmitCall) -> int:
        prompt = count_message_tokens(self.state.history) + count_message_tokens(request.messages)
        return prompt + request.max_tokens

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
        self.timers.set(QUEUE, now + self._limits.queue_wait)
        self._context.enqueue(call)

    def place(self, now: float, placement: Placement) -> AttemptKey:
        """Run the waiting call on an engine: journal the dispatch, then send it.

        :returns: key of the new attempt.
        """
        number = placement.call.call_number
        self._is_queued = False
        self.timers.cancel(QUEUE)
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
        self._attempt = RunningAttempt(key, self._limits.resume_attempts)
        self.start_after_dispatch(now, self._start_effect(self.state.calls[number], resume=False))
        self._release_moved(now, number, placement.engine_id)
        return key

    def start_after_dispatch(self, now: float, effect: StartAttempt) -> None:
        """Send an attempt to its engine when its dispatch is chosen, unless that takes too long."""
        self.after_chosen(effect, now + self._limits.dispatch_validity)

    def _entries_before_dispatch(self, now: float, number: int) -> list[Entry]:
        """Return the entries that record a waiting request before its first dispatch."""
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
            tuple(self._waiters_of(number).routes),
        )

    def _resume_attempt(self, now: float, call: CallState) -> None:
        """Ask the engine for the stream of an attempt that may have been sent to it."""
        key = AttemptKey(self.program_id, call.accepted.call_number, call.attempt)
        if self._attempt is None or self._attempt.key != key:
            self._attempt = RunningAttempt(key, self._limits.resume_attempts)
        self.after_chosen(self._start_effect(call, resume=True))

    def _resume_if_running(self, now: float) -> None:
        call = self.state.unsettled_call()
        if call is not None and call.status is CallStatus.DISPATCHED:
            self._resume_attempt(now, call)

    def handle_completed(self, now: float, event: EngineCompleted) -> None:
        """Journal the complete answer, then send it to every waiting caller."""
        call = self._current_call(event.key)
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
        self._reply_to_waiters(number, self._call_reply(call))
        self._advance(now)

    def handle_failed(self, now: float, event: EngineFailed) -> None:
        """Resume the stream, place the call again, or record that its outcome is unknown."""
        call = self._current_call(event.key)
        if call is None or self._attempt is None:
            return
        resumable = event.fault is EngineFault.BROKEN and self._attempt.resumes_left > 0
        if resumable:
            self._attempt.resumes_left -= 1
            self.timers.set(RESUME, now + self._limits.resume_interval)
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
            self._reply_to_waiters(key.call_number, self._unknown_error())
            self._advance(now)

    def _current_call(self, key: AttemptKey) -> CallState | None:
        """Return the call of an attempt; None unless that is its latest one and still running."""
        if not self.is_leading():
            return None
        call = self.state.calls.get(key.call_number)
        current = call is not None and call.attempt == key.attempt
        return call if current and call.status is CallStatus.DISPATCHED else None  # type: ignore[union-attr]

    def _advance(self, now: float) -> None:
        """Admit requests for the next call after the current one has been settled."""
        last = self.state.calls[len(self.state.calls)]
        if is_single_call(self.program_id):
            self._end(now, None, EndReason.SINGLE_CALL)
            return
        self._excluded = frozenset()
        self._starts_left = self._limits.start_attempts
        next_number = last.accepted.call_number + 1
        self.timers.cancel(f"{ORDER_PREFIX}{next_number}")
        for waiting in self._out_of_order.pop(next_number, []):
            self._admit_request(now, waiting)

    def _admit_request(self, now: float, pending: PendingRequest) -> None:
        """Process a request whose predecessors are settled; implemented by the owner."""
        raise NotImplementedError
