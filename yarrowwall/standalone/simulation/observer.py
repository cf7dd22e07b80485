"""Checks the scheduler's invariants independently of the core.

The observer records the requests and replies of callers, the requests and runs of engines, the
replies to operators and the configuration that each node has in force. It uses none of the
core's own counters.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import simpy
import xxhash

from yarrowwall.messages.entries import ChatMessage
from yarrowwall.messages.requests import CallReply, ErrorReply, ErrorType
from yarrowwall.standalone.core.effects import StartAttempt
from yarrowwall.standalone.models.engine import Progress

if TYPE_CHECKING:
    from yarrowwall.standalone.simulation.backends import SimulatedEngine
    from yarrowwall.standalone.simulation.nodes import SimulatedNode

#: Time after which a leaving engine must not get new requests.
LEAVING_SECONDS = 3.0
#: Time within which an accepted configuration must be in force on all nodes.
CONFIGURATION_SECONDS = 5.0


class Invariant(StrEnum):
    """Invariants that are checked in every run."""

    ORDER = "order"
    HISTORY = "history"
    BUDGET = "budget"
    RELEASED = "released"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING = "leaving"
    PLANNED_STOP = "planned_stop"
    CONFIGURATION = "configuration"
    LIVENESS = "liveness"


@dataclass
class ObservedCall:
    """Observed state of a call.

    :ivar sent: Messages that the caller sent with it.
    :ivar open_requests: Request ids without a final answer.
    :ivar starts: Number of runs that engines started.
    :ivar texts: Answers of finished engine runs by attempt.
    """

    sent: list[ChatMessage]
    repeatable: bool
    open_requests: set[str] = field(default_factory=set)
    starts: int = 0
    answer: str | None = None
    is_refused: bool = False
    texts: dict[int, str] = field(default_factory=dict)


@dataclass
class ObservedProgram:
    """Observed state of a program."""

    budget: int
    parent: str | None
    calls: dict[int, ObservedCall] = field(default_factory=dict)
    last_started: int = 0
    spent: int = 0
    ended_at: float | None = None


class Observer:
    """Collects violations and counts the checks of each invariant."""

    def __init__(self, clock: simpy.Environment) -> None:
        self._clock = clock
        self.violations: list[str] = []
        self.checks: Counter[str] = Counter()
        self.programs: dict[str, ObservedProgram] = {}
        self.calls_completed = 0
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self._computed_blocks: set[str] = set()
        self._versions: dict[str, int] = {}
        self._accepted_version = 0
        self._accepted: list[tuple[float, int]] = []
        self._floor_at_start: dict[str, int] = {}
        self._highest_terms: dict[str, int] = {}
        self._trace = xxhash.xxh3_128()

    # Bookkeeping

    def trace(self, *parts: object) -> None:
        """Add an event to the digest of the run."""
        line = "|".join(str(part) for part in parts)
        self._trace.update(f"{self._clock.now:.6f}|{line}\n".encode())

    def trace_digest(self) -> str:
        """Return the digest of all traced events."""
        return self._trace.hexdigest()

    def check(self, promise: Invariant, holds: bool, message: str) -> None:
        """Count a check of an invariant and record a violation if it doesn't hold."""
        self.checks[promise] += 1
        if not holds:
            self.violations.append(f"{promise} at {self._clock.now:.3f}: {message}")

    # Callers

    def program_opened(self, program_id: str, budget: int, parent: str | None) -> None:
        """Record that a caller's program was opened."""
        self.programs.setdefault(program_id, ObservedProgram(budget, parent))
        self.trace("opened", program_id)

    def call_made(
        self,
        program_id: str,
        number: int,
        request_id: str,
        sent: list[ChatMessage],
        repeatable: bool,
    ) -> None:
        """Record that a caller sends a request for a call."""
        program = self.programs[program_id]
        call = program.calls.setdefault(number, ObservedCall(sent, repeatable))
        call.open_requests.add(request_id)
        call.is_refused = False
        self.trace("call", program_id, number, request_id)

    def call_answered(self, program_id: str, number: int, request_id: str, reply: object) -> None:
        """Record and check the reply to a caller's request."""
        call = self.programs[program_id].calls[number]
        may_still_run = isinstance(reply, ErrorReply) and _may_still_run(reply)
        if not may_still_run:
            call.open_requests.discard(request_id)
        self.trace("reply", program_id, number, request_id, type(reply).__name__)
        if isinstance(reply, CallReply):
            self._check_answer(program_id, number, call, reply)
        elif isinstance(reply, ErrorReply):
            self._check_error(program_id, number, call, reply)

    def _check_answer(
        self, program_id: str, number: int, call: ObservedCall, reply: CallReply
    ) -> None:
        own = (reply.program_id, reply.call_number) == (program_id, number)
        whole = call.texts.get(reply.attempt) == reply.text
        same = call.answer is None or call.answer == reply.text
        name = f"{program_id}/{number}"
        self.check(Invariant.WHOLE_ANSWER, own and whole, f"{name} got an answer that no run gave")
        self.check(Invariant.WHOLE_ANSWER, same, f"{name} got two different answers")
        if call.answer is None:
            self.calls_completed += 1
        call.answer = reply.text

    def _check_error(
        self, program_id: str, number: int, call: ObservedCall, reply: ErrorReply
    ) -> None:
        if reply.error_type in (ErrorType.NOT_RUN, ErrorType.BUDGET_EXHAUSTED):
            # Another open request for the same call may have run it.
            holds = call.starts == 0 or bool(call.open_requests) or call.answer is not None
            self.check(Invariant.NOT_RUN, holds, f"{program_id}/{number} was refused but ran")
            call.is_refused = not call.open_requests
            if call.is_refused:
                self._check_not_passed(program_id, number)

    def _check_not_passed(self, program_id: str, number: int) -> None:
        """Check that no later call has started before a refused call, which may be retried."""
        last_started = self.programs[program_id].last_started
        message = f"call {last_started} of {program_id} ran, call {number} was refused"
        self.check(Invariant.ORDER, last_started <= number, message)

    def program_ended(self, program_id: str) -> None:
        """Record that a caller's program has ended."""
        program = self.programs.get(program_id)
        if program is not None and program.ended_at is None:
            program.ended_at = self._clock.now
            self.trace("ended", program_id)

    # Engines

    def engine_asked(self, engine: "SimulatedEngine", effect: StartAttempt, started: bool) -> None:
        """Record and check a new request to an engine."""
        key = effect.key
        name = f"{key.program_id}/{key.call_number}"
        self.trace("asked", engine.engine_id, key, started)
        late = 0.0 if engine.leaving_at is None else self._clock.now - engine.leaving_at
        self.check(
            Invariant.LEAVING, late <= LEAVING_SECONDS, f"{engine.engine_id} left {late:.1f} s ago"
        )
        program = self.programs.get(key.program_id)
        if not started or program is None:
            return
        call = program.calls[key.call_number]
        self.check(Invariant.NOT_RUN, not call.is_refused, f"{name} ran after its refusal")
        call.starts += 1
        once = call.repeatable or call.starts == 1
        self.check(Invariant.AT_MOST_ONCE, once, f"{name} ran {call.starts} times")
        self._check_order(program, key.call_number, name)
        self._check_history(program, key.call_number, list(effect.prompt), name)

    def _check_order(self, program: ObservedProgram, number: int, name: str) -> None:
        """Check that no later call has started; earlier ones may be lost without a start."""
        in_order = number >= program.last_started
        self.check(Invariant.ORDER, in_order, f"{name} ran after call {program.last_started}")
        program.last_started = max(program.last_started, number)

    def _check_history(
        self, program: ObservedProgram, number: int, prompt: list[ChatMessage], name: str
    ) -> None:
        """Check that the prompt is exactly the program's messages and answers in order."""
        position = 0
        for earlier in range(1, number + 1):
            call = program.calls.get(earlier)
            if call is None:
                continue
            sent = prompt[position : position + len(call.sent)]
            self.check(Invariant.HISTORY, sent == call.sent, f"{name} misses call {earlier}")
            position += len(call.sent)
            if earlier < number:
                position += self._check_recorded_answer(call, prompt, position, name, earlier)
        rest = prompt[position:]
        self.check(Invariant.HISTORY, not rest, f"{name} has {len(rest)} foreign messages")

    def _check_recorded_answer(
        self, call: ObservedCall, prompt: list[ChatMessage], position: int, name: str, earlier: int
    ) -> int:
        """Check a call's answer in the prompt; return 1 if the prompt has one, else 0."""
        found = prompt[position] if position < len(prompt) else None
        recorded = found is not None and found.role == "assistant"
        if call.answer is not None:
            holds = recorded and found is not None and found.content == call.answer
            self.check(Invariant.HISTORY, holds, f"{name} misses the answer of call {earlier}")
        elif recorded and found is not None:
            holds = found.content in call.texts.values()
            self.check(Invariant.HISTORY, holds, f"{name} has a foreign answer to call {earlier}")
        return 1 if recorded else 0

    def engine_computed(self, engine_id: str, progress: Progress) -> None:
        """Count the tokens of a prefill that some engine had computed before."""
        self.prompt_tokens += progress.prompt_tokens()
        for block in progress.computed:
            if block.key in self._computed_blocks:
                self.wasted_tokens += block.tokens
        self._computed_blocks.update(block.key for block in progress.request.prompt)

    def engine_finished(self, engine_id: str, progress: Progress) -> None:
        """Record a finished run and charge it to the program's budget."""
        request = progress.request
        self.trace("finished", engine_id, request.request_id)
        program = self.programs.get(request.program_id)
        if program is None:
            return
        attempt = int(request.request_id.rpartition("/")[2])
        program.calls[request.call_number].texts[attempt] = progress.text
        self._charge(request.program_id, progress.prompt_tokens() + progress.output_tokens)

    def _charge(self, program_id: str | None, tokens: int) -> None:
        while program_id is not None:
            program = self.programs[program_id]
            program.spent += tokens
            holds = program.spent <= program.budget
            message = f"{program_id} spent {program.spent} of {program.budget}"
            self.check(Invariant.BUDGET, holds, message)
            program_id = program.parent

    def engine_crashed(self, engine_id: str) -> None:
        """Record that an engine lost its memory."""
        self.trace("crashed", engine_id)

    def engine_ordered(self, engine_id: str, term: int, accepted: bool) -> None:
        """Check that an engine accepts no order with a lower term than an earlier one."""
        highest = self._highest_terms.get(engine_id, 0)
        self.check(
            Invariant.CONFIGURATION,
            not accepted or term >= highest,
            f"{engine_id} obeyed term {term} after {highest}",
        )
        self._highest_terms[engine_id] = max(highest, term)

    # Configuration and nodes

    def configuration_accepted(self, version: int) -> None:
        """Record that a configuration was accepted for an operator."""
        self.trace("accepted", version)
        self._accepted_version = max(self._accepted_version, version)
        self._accepted.append((self._clock.now, version))

    def node_started(self, node_id: str) -> None:
        """Record a process start; it must not serve versions older than the accepted one."""
        self.trace("started", node_id)
        self._floor_at_start[node_id] = self._accepted_version
        self._versions[node_id] = 0

    def configuration_in_force(self, node: "SimulatedNode", version: int) -> None:
        """Check the configuration version in force after a node has handled an event."""
        known = self._versions.get(node.node_id, 0)
        if version != known:
            self.check(
                Invariant.CONFIGURATION, version > known, f"{node.node_id} went back to {version}"
            )
            self._versions[node.node_id] = version
        assert node.core is not None
        if node.core.documents.is_ready and node.node_id in self._floor_at_start:
            floor = self._floor_at_start.pop(node.node_id)
            message = f"{node.node_id} serves {version}, {floor} was accepted before it started"
            self.check(Invariant.CONFIGURATION, version >= floor, message)

    def check_versions(self, nodes: list["SimulatedNode"], healthy_since: float) -> None:
        """Check that all live nodes have the versions accepted ``CONFIGURATION_SECONDS`` ago."""
        now = self._clock.now
        due = [
            version
            for accepted_at, version in self._accepted
            if now - max(accepted_at, healthy_since) >= CONFIGURATION_SECONDS
        ]
        if not due:
            return
        for node in nodes:
            if node.core is not None and node.core.documents.is_ready:
                version = self._versions[node.node_id]
                message = f"{node.node_id} has {version}, {max(due)} was accepted"
                self.check(Invariant.CONFIGURATION, version >= max(due), message)

    def node_drained(self, node_id: str, open_requests: int) -> None:
        """Check that a planned stop leaves no open requests."""
        self.trace("drained", node_id)
        self.check(
            Invariant.PLANNED_STOP,
            open_requests == 0,
            f"{node_id} cut {open_requests} requests short",
        )

    def check_released(self, held_by_engine: dict[str, list[str]]) -> None:
        """Check that no engine holds cache for an ended program."""
        for engine_id, held in held_by_engine.items():
            ended = [name for name in held if self._has_ended(name)]
            message = f"{engine_id} holds cache of ended programs {ended[:3]}"
            self.check(Invariant.RELEASED, not ended, message)

    def _has_ended(self, program_id: str) -> bool:
        program = self.programs.get(program_id)
        return program is not None and program.ended_at is not None

    def check_nothing_held(self, held_by_engine: dict[str, list[str]]) -> None:
        """Check that engines hold no cache long after the last call."""
        for engine_id, held in held_by_engine.items():
            self.check(Invariant.RELEASED, not held, f"{engine_id} still holds {held[:3]}")


def _may_still_run(reply: ErrorReply) -> bool:
    """Return whether the gateway gave up on a request that its owner may still run."""
    return reply.error_type is ErrorType.OUTCOME_UNKNOWN and bool(reply.retry_after)
