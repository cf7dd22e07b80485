"""Workloads of the two deployments, generated from a seed."""

from dataclasses import dataclass
from random import Random

from yarrowwall.hashing import digest
from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.program.state import BYTES_PER_TOKEN
from yarrowwall.standalone.models.engine import DECODE_SHARE_DURING_PREFILL, EngineParameters
from yarrowwall.standalone.simulation.deployments import Deployment

MODEL = "assistant"


@dataclass(frozen=True)
class CallStep:
    """A call with its new prompt tokens and its maximum answer length."""

    new_tokens: int
    max_tokens: int
    priority: Priority
    repeatable: bool


@dataclass(frozen=True)
class ToolStep:
    """A pause in seconds while a tool runs."""

    seconds: float


@dataclass(frozen=True)
class ChildStep:
    """A child program that finishes before its parent continues."""

    plan: "ProgramPlan"


Step = CallStep | ToolStep | ChildStep


@dataclass(frozen=True)
class ProgramPlan:
    """Steps of a program, which the scheduler doesn't know in advance.

    :param system_tokens: Length of the desk's system prompt, shared by its programs.
    :param ends: Whether the caller ends the program.
    """

    desk: str
    system_tokens: int
    steps: tuple[Step, ...]
    ends: bool = True

    def calls(self) -> list[CallStep]:
        """Return the program's calls without those of its children."""
        return [step for step in self.steps if isinstance(step, CallStep)]

    def is_urgent(self) -> bool:
        """Return whether any call of the program is urgent."""
        return any(call.priority is Priority.URGENT for call in self.calls())

    def budget(self) -> int:
        """Return a token budget that covers the program and its children."""
        history = self.system_tokens
        total = 0
        for step in self.steps:
            if isinstance(step, CallStep):
                history += step.new_tokens + step.max_tokens + 16
                total += 2 * history
            elif isinstance(step, ChildStep):
                total += step.plan.budget()
        return total + 1000


def message_text(tokens: int, *name: str) -> str:
    """Return a text with a number of tokens that is unique to a name."""
    pattern = digest(*name) + " "
    length = tokens * BYTES_PER_TOKEN
    return (pattern * (length // len(pattern) + 1))[:length]


def _investigation(random: Random, depth: int = 0) -> ProgramPlan:
    steps: list[Step] = []
    for turn in range(random.randint(6, 24) if depth == 0 else random.randint(2, 5)):
        steps.append(
            CallStep(
                random.randint(150, 900), random.randint(60, 240), Priority.ROUTINE, turn % 3 == 0
            )
        )
        if random.random() < 0.7:
            steps.append(ToolStep(random.expovariate(1 / 3.0)))
        if depth == 0 and random.random() < 0.08:
            steps.append(ChildStep(_investigation(random, 1)))
    return ProgramPlan("sourcing", 5000, tuple(steps))


def _property_check(random: Random) -> ProgramPlan:
    calls = [
        CallStep(random.randint(30, 120), random.randint(30, 80), Priority.URGENT, True)
        for _ in range(random.randint(1, 2))
    ]
    return ProgramPlan("property-check", 800, tuple(calls))


def _troubleshooting(random: Random) -> ProgramPlan:
    steps: list[Step] = [
        CallStep(random.randint(800, 4000), random.randint(60, 200), Priority.ROUTINE, False)
    ]
    for _ in range(random.randint(3, 12)):
        steps.append(ToolStep(random.expovariate(1 / 6.0)))
        steps.append(
            CallStep(random.randint(40, 300), random.randint(60, 200), Priority.ROUTINE, True)
        )
    return ProgramPlan("troubleshooting", 2500, tuple(steps))


def _sizing(random: Random) -> ProgramPlan:
    calls = [
        CallStep(random.randint(100, 300), random.randint(80, 160), Priority.ROUTINE, False)
        for _ in range(random.randint(1, 3))
    ]
    return ProgramPlan("sizing", 1500, tuple(calls))


def _tripped(random: Random) -> ProgramPlan:
    calls = [
        CallStep(random.randint(60, 200), random.randint(40, 100), Priority.URGENT, True)
        for _ in range(random.randint(1, 3))
    ]
    return ProgramPlan("tripped-machine", 2500, tuple(calls))


def make_plan(deployment: Deployment, random: Random) -> ProgramPlan:
    """Generate a program of a deployment."""
    draw = random.random()
    if deployment.name == "nairobi":
        return _property_check(random) if draw < 0.6 else _investigation(random)
    if draw < 0.25:
        return _tripped(random)
    return _sizing(random) if draw < 0.55 else _troubleshooting(random)


def engine_seconds(plan: ProgramPlan, engine: EngineParameters) -> float:
    """Estimate a program's share of engine time in seconds with a perfect prefix cache."""
    step = engine.decode_base_seconds + engine.decode_sequence_seconds * engine.max_batch
    decode_rate = engine.max_batch / step
    calls = plan.calls()
    decode = sum(0.75 * call.max_tokens for call in calls) / decode_rate
    # Decoding continues more slowly during a prefill, so only the lost share counts.
    lost_share = 1.0 - DECODE_SHARE_DURING_PREFILL
    new_tokens = sum(call.new_tokens for call in calls)
    prefill = lost_share * new_tokens / engine.prefill_tokens_per_second
    children = sum(
        engine_seconds(step.plan, engine) for step in plan.steps if isinstance(step, ChildStep)
    )
    return decode + prefill + children


@dataclass(frozen=True)
class Arrival:
    """Start of a program.

    :param at: Seconds after the start of the run.
    :param zone_index: Zone whose gateways the caller uses first.
    """

    at: float
    zone_index: int
    plan: ProgramPlan


def make_arrivals(
    deployment: Deployment, random: Random, programs: int, load: float
) -> list[Arrival]:
    """Generate the programs of a run.

    The busiest zone changes over the run, each zone once, as demand follows the time of day.
    A part of the programs arrives in bursts.

    :param load: Fraction of the engines' capacity.
    """
    plans = [make_plan(deployment, random) for _ in range(programs)]
    work = sum(engine_seconds(plan, deployment.engine) for plan in plans)
    duration = work / (deployment.engines * load)
    times = sorted(_arrival_time(random, duration) for _ in plans)
    zones = len(deployment.zones)
    arrivals = []
    for at, plan in zip(times, plans, strict=True):
        busiest = int(at / duration * zones) % zones
        zone = busiest if random.random() < 0.5 else random.randrange(zones)
        arrivals.append(Arrival(at, zone, plan))
    return arrivals


def _arrival_time(random: Random, duration: float) -> float:
    """Return a random arrival time; one in five is in one of two bursts, the rest is uniform."""
    if random.random() < 0.2:
        centre = random.choice((0.3, 0.7))
        return duration * (centre + 0.02 * random.random())
    return duration * random.random()
