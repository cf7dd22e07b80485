"""The cost of one placement decision, by the number of engines."""

import statistics
import time

import click

from yarrowwall.core.events import AttemptKey, EngineLoadReported
from yarrowwall.core.hashing import PrefixBlock
from yarrowwall.core.scheduling.engines import EngineProfile, EngineView
from yarrowwall.core.scheduling.policies import CostBased, CostWeights
from yarrowwall.core.scheduling.types import EngineMachine, WaitingCall
from yarrowwall.messages.entries import Priority

_MODEL = "assistant"
_PROMPT_BLOCKS = 20
_OWN_CALLS = 4


def _engine(number: int) -> EngineView:
    name = f"engine-{number}"
    view = EngineView(EngineMachine(name, "zone", name, False))
    view.note_report(EngineLoadReported(name, 8, 1, 500, 16, (_MODEL,), 1, 0.0))
    for own in range(_OWN_CALLS):
        view.note_sent(AttemptKey(f"{name}-{own}", 1, 1), _call(f"{name}-{own}"), 0.5)
    return view


def _call(program_id: str) -> WaitingCall:
    prompt = tuple(PrefixBlock(f"{program_id}/{n}", 200) for n in range(_PROMPT_BLOCKS))
    return WaitingCall(
        program_id, 2, _MODEL, Priority.ROUTINE, prompt, 200, 0, 0.0, "", 0.0, single=False
    )


@click.command("placement-cost")
@click.option("--engines", default="7,50,220,2000", show_default=True, help="Sizes, with commas.")
@click.option("--decisions", default=300, show_default=True)
def placement_cost(engines: str, decisions: int) -> None:
    """Measure one decision of the placement policy, in microseconds."""
    policy = CostBased("zone", EngineProfile(), CostWeights())
    for size in engines.split(","):
        views = [_engine(number) for number in range(int(size))]
        times = []
        for number in range(decisions):
            call = _call(f"program-{number}")
            started = time.perf_counter()
            policy.choose(call, views, 1.0)
            times.append(time.perf_counter() - started)
        median = statistics.median(times) * 1e6
        each = median / int(size)
        click.echo(f"{size:>6} engines {median:>10.1f} us a decision {each:>8.2f} us an engine")
