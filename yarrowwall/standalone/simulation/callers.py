"""Simulated callers and operators as simpy processes."""

from collections.abc import Generator
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

import simpy

from yarrowwall.messages.entries import ChatMessage, EndReason, Priority
from yarrowwall.messages.requests import (
    CallReply,
    EndProgram,
    ErrorReply,
    ErrorType,
    OpenProgram,
    ProgramReply,
    Request,
    SubmitCall,
)
from yarrowwall.standalone.core.configuration.commands import (
    ApplyIntents,
    ConfirmPlan,
    OperatorCommand,
    OperatorOutcome,
    OperatorReply,
)
from yarrowwall.standalone.core.configuration.models import BudgetIntent, Intents, ServingIntent
from yarrowwall.standalone.core.effects import ReplyToLookup
from yarrowwall.standalone.core.events import (
    CallerGone,
    CallerRequest,
    LookupRequested,
    OperatorRequest,
)
from yarrowwall.standalone.core.identifiers import make_program_id
from yarrowwall.standalone.simulation.nodes import BrokenConnection, SimulatedNode
from yarrowwall.standalone.simulation.observer import Invariant, Observer
from yarrowwall.standalone.simulation.workloads import (
    MODEL,
    Arrival,
    CallStep,
    ChildStep,
    ProgramPlan,
    ToolStep,
    message_text,
)

#: Time after which a caller closes its connection and retries, possibly at another gateway.
REQUEST_TIMEOUT_SECONDS = 90.0
RETRY_SECONDS = 0.5
#: Maximum number of requests for one call.
MAX_TRIES = 400

Process = Generator[simpy.Event, Any, Any]


class Behaviour(StrEnum):
    """Behaviour of a caller towards its program."""

    NORMAL = "normal"
    #: Stops halfway without ending the program.
    ABANDONS = "abandons"
    #: Makes calls until one is refused.
    LOOPS = "loops"
    #: A tool hangs for longer than the idle limit of a program.
    TOOL_HANGS = "tool_hangs"
    #: Sends all calls concurrently, in reverse order.
    PIPELINES = "pipelines"
    #: Ends the program while a child program still runs.
    ORPHANS_CHILD = "orphans_child"


@dataclass
class Latency:
    """Latency of a finished program without its tool pauses."""

    seconds: float
    urgent: bool


@dataclass(frozen=True)
class CallerWorld:
    """Parts of the simulated world that callers use.

    :ivar hang_seconds: Duration of a hanging tool.
    """

    env: simpy.Environment
    random: Random
    observer: Observer
    nodes: list[SimulatedNode]
    latencies: list[Latency]
    hang_seconds: float


class ProgramOver(Exception):
    """The system ended the program or refuses further calls."""


class ProgramCaller:
    """A program's caller."""

    def __init__(
        self, world: CallerWorld, name: str, zone: str, plan: ProgramPlan, parent: str | None = None
    ) -> None:
        self._world = world
        self._name = name
        self._zone = zone
        self._plan = plan
        self._parent = parent
        self._program_id = ""
        self._requests = 0
        self._children = 0
        self._paused_seconds = 0.0
        self.is_finished = False

    # Requests

    def _gateway(self, tries: int) -> SimulatedNode:
        """Return a gateway of the caller's zone for the first try, any gateway after that."""
        nodes = self._world.nodes
        near = [node for node in nodes if node.zone == self._zone]
        return self._world.random.choice(near if tries == 0 else nodes)

    def _ask(self, request: Request, tries: int, request_id: str) -> Process:
        """Send a request once; the value is its reply or :class:`BrokenConnection`."""
        gateway = self._gateway(tries)
        answer = gateway.ask(request_id, CallerRequest(request_id, request))
        timeout = self._world.env.timeout(REQUEST_TIMEOUT_SECONDS)
        yield answer | timeout
        if answer.triggered and answer.processed:
            return answer.value
        gateway.hang_up(request_id)
        gateway.post(CallerGone(request_id))
        return BrokenConnection()

    def _next_request_id(self) -> str:
        self._requests += 1
        return f"{self._name}#{self._requests}"

    def _ask_until_final(self, request: Request) -> Process:
        """Retry a request until it has a final reply."""
        for tries in range(MAX_TRIES):
            reply = yield from self._ask(request, tries, self._next_request_id())
            wait = _wait_before_retry(reply)
            if wait is None:
                return reply
            yield self._world.env.timeout(wait)
        self._world.observer.check(Invariant.LIVENESS, False, f"{self._name} got no answer")
        raise ProgramOver

    # The program

    def run(self, behaviour: Behaviour = Behaviour.NORMAL) -> Process:
        """Open the program, run its steps and end it."""
        started = self._world.env.now
        try:
            yield from self._open()
            yield from self._run_steps(behaviour)
        except ProgramOver:
            self._world.observer.program_ended(self._program_id)
            return
        if behaviour is not Behaviour.ABANDONS:
            yield from self._end()
        self.is_finished = True
        if behaviour is Behaviour.NORMAL:
            seconds = self._world.env.now - started - self._paused_seconds
            self._world.latencies.append(Latency(seconds, self._plan.is_urgent()))

    def _open(self) -> Process:
        self._program_id = make_program_id(self._zone, self._name.replace("/", "-"))
        budget = self._plan.budget()
        request = OpenProgram(self._program_id, "tenant", self._plan.desk, budget, self._parent)
        reply = yield from self._ask_until_final(request)
        if not isinstance(reply, ProgramReply):
            raise ProgramOver
        self._world.observer.program_opened(self._program_id, budget, self._parent)

    def _end(self) -> Process:
        reply = yield from self._ask_until_final(EndProgram(self._program_id, EndReason.CALLER))
        if isinstance(reply, ProgramReply):
            self._world.observer.program_ended(self._program_id)

    def _pipeline(self) -> Process:
        """Send all calls concurrently; the scheduler must still run them in order."""
        env = self._world.env
        numbered = list(enumerate(self._plan.calls(), start=1))
        yield env.all_of(
            [env.process(self._call_alone(number, step)) for number, step in reversed(numbered)]
        )

    def _call_alone(self, number: int, step: CallStep) -> Process:
        with suppress(ProgramOver):
            yield from self._call(number, step)

    def _run_steps(self, behaviour: Behaviour) -> Process:
        if behaviour is Behaviour.PIPELINES:
            yield from self._pipeline()
            return
        number = 0
        for position, step in enumerate(self._plan.steps):
            if behaviour is Behaviour.ABANDONS and position > len(self._plan.steps) // 2:
                return
            match step:
                case CallStep():
                    number += 1
                    yield from self._call(number, step)
                case ToolStep(seconds):
                    yield from self._pause(seconds)
                case ChildStep(plan):
                    yield from self._run_child(plan, behaviour)
        if behaviour is Behaviour.TOOL_HANGS:
            yield from self._pause(self._world.hang_seconds)
            yield from self._call(number + 1, self._plan.calls()[-1])
        while behaviour is Behaviour.LOOPS:
            number += 1
            yield from self._call(number, self._plan.calls()[-1])

    def _pause(self, seconds: float) -> Process:
        self._paused_seconds += seconds
        yield self._world.env.timeout(seconds)

    def _run_child(self, plan: ProgramPlan, behaviour: Behaviour) -> Process:
        self._children += 1
        name = f"{self._name}-child{self._children}"
        child = ProgramCaller(self._world, name, self._zone, plan, self._program_id)
        process = self._world.env.process(child.run())
        if behaviour is Behaviour.ORPHANS_CHILD:
            yield self._world.env.timeout(1.0)
            return
        yield process
        self._paused_seconds += child._paused_seconds

    def _messages(self, number: int, step: CallStep) -> list[ChatMessage]:
        user = ChatMessage("user", message_text(step.new_tokens, self._name, str(number)))
        if number > 1:
            return [user]
        system = message_text(self._plan.system_tokens, "system", self._plan.desk)
        return [ChatMessage("system", system), user]

    def _call(self, number: int, step: CallStep) -> Process:
        messages = self._messages(number, step)
        request = SubmitCall(
            self._program_id,
            number,
            messages,
            MODEL,
            step.max_tokens,
            step.priority,
            step.repeatable,
            False,
            "",
            "",
            0,
        )
        for tries in range(MAX_TRIES):
            reply = yield from self._try_call(request, tries)
            wait = _wait_before_retry(reply)
            if wait is None:
                self._conclude(number, reply)
                return
            yield self._world.env.timeout(wait)
        message = f"{self._program_id}/{number} got no answer"
        self._world.observer.check(Invariant.LIVENESS, False, message)
        raise ProgramOver

    def _try_call(self, request: SubmitCall, tries: int) -> Process:
        observer = self._world.observer
        request_id = self._next_request_id()
        observer.call_made(
            self._program_id, request.call_number, request_id, request.messages, request.repeatable
        )
        reply = yield from self._ask(request, tries, request_id)
        if not isinstance(reply, BrokenConnection):
            observer.call_answered(self._program_id, request.call_number, request_id, reply)
        return reply

    def _conclude(self, number: int, reply: object) -> None:
        """Continue after an answer or an unknown outcome; stop the program otherwise."""
        if isinstance(reply, CallReply):
            return
        assert isinstance(reply, ErrorReply)
        if reply.error_type is ErrorType.OUTCOME_UNKNOWN:
            return
        expected = (ErrorType.BUDGET_EXHAUSTED, ErrorType.PROGRAM_ENDED, ErrorType.INVALID_REQUEST)
        message = f"{self._program_id}/{number}: {reply.error_type} {reply.message}"
        self._world.observer.check(Invariant.HISTORY, reply.error_type in expected, message)
        raise ProgramOver


def _wait_before_retry(reply: object) -> float | None:
    """Return the seconds to wait before a retry; None if the reply is final."""
    if isinstance(reply, BrokenConnection):
        return RETRY_SECONDS
    if isinstance(reply, ErrorReply) and reply.retry_after:
        return reply.retry_after
    return None


def run_lookups(world: CallerWorld, rate: float, until: float) -> Process:
    """Make random lookups, one in five urgent, and check the answered records."""
    number = 0
    while world.env.now < until:
        yield world.env.timeout(world.random.expovariate(rate))
        number += 1
        world.env.process(_look_up(world, number))


def _look_up(world: CallerWorld, number: int) -> Process:
    priority = Priority.URGENT if number % 5 == 0 else Priority.ROUTINE
    request_id = f"lookup#{number}"
    gateway = world.random.choice(world.nodes)
    deadline = world.env.now + 10.0
    request = LookupRequested(request_id, "record", str(number), priority, deadline)
    reply = yield gateway.ask(request_id, request)
    if isinstance(reply, ReplyToLookup) and reply.body is not None:
        holds = reply.body == f"record/{number}".encode()
        world.observer.check(Invariant.WHOLE_ANSWER, holds, f"lookup {number}: {reply.body!r}")


class OperatorCaller:
    """An operator who changes budgets or adapters at random, often with a stale plan."""

    def __init__(self, world: CallerWorld, name: str) -> None:
        self._world = world
        self._name = name
        self._commands = 0

    def run(self, until: float) -> Process:
        """Apply and confirm changes until a time."""
        while self._world.env.now < until:
            yield self._world.env.timeout(self._world.random.expovariate(1 / 15.0))
            yield from self._change()

    def _command(self, command: object) -> Process:
        self._commands += 1
        request_id = f"{self._name}#{self._commands}"
        gateway = self._world.random.choice(self._world.nodes)
        answer = gateway.ask(request_id, OperatorRequest(request_id, command))  # type: ignore[arg-type]
        yield answer | self._world.env.timeout(REQUEST_TIMEOUT_SECONDS)
        return answer.value if answer.triggered and answer.processed else None

    def retry_until_done(self, command: OperatorCommand) -> Process:
        """Retry a command until it is done."""
        while True:
            reply = yield from self._command(command)
            if isinstance(reply, OperatorReply) and reply.outcome is OperatorOutcome.DONE:
                return
            yield self._world.env.timeout(RETRY_SECONDS)

    def _next_intents(self) -> Intents:
        """Return intents with a new budget or with a new adapter for the model."""
        desk = f"desk-{self._world.random.randint(1, 3)}"
        if self._world.random.random() < 0.5:
            tokens = self._world.random.randint(10_000, 90_000)
            return Intents(budgets=[BudgetIntent(desk=desk, tokens=tokens)])
        adapter = f"version-{self._commands}"
        zones = sorted({node.zone for node in self._world.nodes})
        serving = ServingIntent(desk=desk, model=MODEL, adapter=adapter, zones=zones)
        return Intents(serving=[serving])

    def _change(self) -> Process:
        plan_id = f"{self._name}-{self._commands}"
        intents = self._next_intents()
        reply = yield from self._command(ApplyIntents(plan_id, intents))
        if not isinstance(reply, OperatorReply) or reply.outcome is not OperatorOutcome.DONE:
            return
        yield self._world.env.timeout(self._world.random.expovariate(1 / 2.0))
        reply = yield from self._command(ConfirmPlan(plan_id))
        if isinstance(reply, OperatorReply) and reply.outcome is OperatorOutcome.DONE:
            self._world.observer.configuration_accepted(reply.version)


def run_arrivals(
    world: CallerWorld, zones: tuple[str, ...], arrivals: list[Arrival], odd_share: float
) -> Process:
    """Start each program at its time and wait until all have finished.

    :param odd_share: Fraction of programs whose callers don't behave normally.
    """
    odd = [behaviour for behaviour in Behaviour if behaviour is not Behaviour.NORMAL]
    processes = []
    started = world.env.now
    for number, arrival in enumerate(arrivals):
        yield world.env.timeout(max(0.0, started + arrival.at - world.env.now))
        is_odd = world.random.random() < odd_share
        behaviour = world.random.choice(odd) if is_odd else Behaviour.NORMAL
        caller = ProgramCaller(world, f"{number:05d}", zones[arrival.zone_index], arrival.plan)
        processes.append(world.env.process(caller.run(behaviour)))
    yield world.env.all_of(processes)
