"""Steps about machines that follow the store through failures, on a virtual clock."""

import json
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from features.support.following_mutants import MUTANTS
from features.support.following_schedules import (
    FAILURES,
    OUTAGES,
    Outcome,
    play,
    readers_left_after,
    verifications_after,
)
from features.support.following_store import Outage
from yarrowwall.cli.stale import stale
from yarrowwall.watching.availability import StoreAvailability

#: Schedules of each failure in which a mutant must be detected.
MUTANT_SEEDS = range(40)
#: Bounds in seconds for a mutant to exceed, after an outage and after other failures.
OUTAGE_BOUND_S = 1.0
BOUND_S = 2.0


@then(
    "in {count:d} pairs of silent outages no gateway leaves a reader later than {since_s:f} s "
    "after recovery"
)
def no_reader_left(context: Context, count: int, since_s: float) -> None:
    left = [(seed, lines) for seed in range(count) if (lines := readers_left_after(seed, since_s))]
    assert not left, left


@then(
    "in {count:d} outages of each kind every gateway verifies its configuration "
    "within {bound_s:f} s of recovery"
)
def verified_within(context: Context, count: int, bound_s: float) -> None:
    worst = {
        (how, seed): max(verifications_after(seed, how).lags_s)
        for how in Outage
        for seed in range(count)
    }
    late = {key: lag_s for key, lag_s in worst.items() if lag_s > bound_s}
    assert not late, late


@then(
    "in {count:d} schedules of each failure every gateway has each version in force "
    "within {bound_s:f} s"
)
def in_force_within(context: Context, count: int, bound_s: float) -> None:
    _check(FAILURES, count, bound_s)


@then(
    "in {count:d} schedules of each outage every gateway has each version in force "
    "within {bound_s:f} s"
)
def in_force_after_outages(context: Context, count: int, bound_s: float) -> None:
    _check(OUTAGES, count, bound_s)


def _check(failures: Iterable[str], count: int, bound_s: float) -> None:
    outcomes = [play(seed, failure) for failure in failures for seed in range(count)]
    late = [outcome for outcome in outcomes if outcome.worst.lag_s > bound_s]
    back = [outcome for outcome in outcomes if outcome.returned_to_older]
    assert not late, _lines_of(late)
    assert not back, _lines_of(back)


@given("machines of which {mutant}")
def broken_machines(context: Context, mutant: str) -> None:
    context.mutant = MUTANTS[mutant]


@then("some schedule finds a version late, or a return to an older one")
def some_schedule_finds(context: Context) -> None:
    with context.mutant():
        assert any(_is_broken(seed, failure) for seed in MUTANT_SEEDS for failure in FAILURES)


def _is_broken(seed: int, failure: str) -> bool:
    outcome = play(seed, failure)
    bound_s = OUTAGE_BOUND_S if failure in OUTAGES else BOUND_S
    return outcome.worst.lag_s > bound_s or outcome.returned_to_older


@given("a store that answered a request sent at {sent_at_s:f} s")
def answered_once(context: Context, sent_at_s: float) -> None:
    context.availability = StoreAvailability()
    context.availability.note_answered(sent_at_s)


@when("a request sent at {sent_at_s:f} s times out at {now_s:f} s")
def timeout(context: Context, sent_at_s: float, now_s: float) -> None:
    if not context.availability.is_superseded(sent_at_s):
        context.availability.note_failed(now_s)


@when("a request sent at {sent_at_s:f} s is refused at {now_s:f} s")
def refusal(context: Context, sent_at_s: float, now_s: float) -> None:
    context.availability.note_failed(now_s)


@then("the store counts as failing: {failing}, and at {later_s:f} s as unavailable: {unavailable}")
def counts_as(context: Context, failing: str, later_s: float, unavailable: str) -> None:
    assert (context.availability.lost_at_s is not None) == (failing == "yes")
    assert context.availability.is_unavailable(later_s) == (unavailable == "yes")


def _lines_of(outcomes: list[Outcome]) -> str:
    return "\n".join(str(outcome) for outcome in outcomes)


@given(
    "logs of two gateways of which one has version {newer:d} at {at_s:f} s and the other "
    "stays with {older:d}"
)
def two_logs(context: Context, newer: int, at_s: float, older: int) -> None:
    lost_reader = {"dependency": "reader/storage-1", "is_up": False, "reason": "no answer"}
    context.lines = [
        _line("edge-1", 1.0, "ConfigurationInForce", version=older),
        _line("edge-0", 1.0, "ConfigurationInForce", version=older),
        _line("edge-1", 2.0, "DependencyChanged", dependency="reader/storage-0", is_up=True),
        _line("edge-1", 9.0, "DependencyChanged", **lost_reader),
        _line("edge-0", at_s, "ConfigurationInForce", version=newer),
    ]
    context.versions = (older, newer)


@when("that one admits requests at {one_s:f} s and at {other_s:f} s, verified {age_s:f} s before")
def admits(context: Context, one_s: float, other_s: float, age_s: float) -> None:
    verified = {"configuration": context.versions[0], "configuration_age": age_s}
    context.lines += [
        _line("edge-1", one_s, "AttemptAdmitted", attempt="in-time", **verified),
        _line("edge-1", other_s, "AttemptAdmitted", attempt="too-late", **verified),
    ]


@then("only the later one is reported as stale, with version, age, reader and the reader left last")
def reported_as_stale(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "lines.log"
        path.write_text("\n".join(json.dumps(line) for line in context.lines))
        result = CliRunner().invoke(stale, [str(path), "--output", "json"])
    (found,) = [json.loads(line) for line in result.output.splitlines()]
    assert found["attempt_id"] == "too-late"
    assert (found["version"], found["newer"]) == context.versions
    assert found["reader"] == "storage-0"
    assert found["left"].startswith("reader/storage-1 at 9.000")


def _line(node: str, at_s: float, kind: str, **fields: Any) -> dict[str, Any]:
    return {"time": at_s, "node": node, "kind": kind, **fields}
