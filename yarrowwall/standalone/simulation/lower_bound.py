"""Lower bound of latency: each call runs alone on an idle engine with a cached prefix."""

from dataclasses import dataclass
from random import Random

from yarrowwall.standalone.core.program.state import TOKENS_PER_MESSAGE
from yarrowwall.standalone.models.engine import EngineParameters
from yarrowwall.standalone.simulation.report import Percentiles, percentiles
from yarrowwall.standalone.simulation.workloads import (
    CallStep,
    ChildStep,
    ProgramPlan,
    make_arrivals,
)
from yarrowwall.standalone.simulation.world import RunSettings

#: Mean answer length as a fraction of the maximum; see ``models.engine.answer_tokens``.
MEAN_ANSWER_SHARE = 0.75


@dataclass(frozen=True)
class LowerBound:
    """Lower bounds of the latencies under any placement policy."""

    program: Percentiles
    urgent: Percentiles
    routine: Percentiles


def _call_seconds(call: CallStep, engine: EngineParameters) -> float:
    step = engine.decode_base_seconds + engine.decode_sequence_seconds
    prefill = (call.new_tokens + TOKENS_PER_MESSAGE) / engine.prefill_tokens_per_second
    return prefill + MEAN_ANSWER_SHARE * call.max_tokens * step


def _program_seconds(plan: ProgramPlan, engine: EngineParameters) -> float:
    """Return a program's duration without tool pauses and with a cached system prompt."""
    total = 0.0
    for step in plan.steps:
        if isinstance(step, CallStep):
            total += _call_seconds(step, engine)
        elif isinstance(step, ChildStep):
            total += _program_seconds(step.plan, engine)
    return total


def lower_bound(settings: RunSettings) -> LowerBound:
    """Return the bound for the same programs as in a run with these settings."""
    random = Random(f"workload/{settings.seed}")
    arrivals = make_arrivals(settings.deployment, random, settings.programs, settings.load)
    engine = settings.deployment.engine
    seconds = [(_program_seconds(item.plan, engine), item.plan.is_urgent()) for item in arrivals]
    return LowerBound(
        percentiles([time for time, _ in seconds]),
        percentiles([time for time, urgent in seconds if urgent]),
        percentiles([time for time, urgent in seconds if not urgent]),
    )
