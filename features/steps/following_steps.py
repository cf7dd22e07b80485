"""Steps about machines that follow the store through its troubles, on a virtual clock."""

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
    OUTAGES,
    TROUBLES,
    Outcome,
    play,
    proofs_after,
    readers_left_after,
)
from features.support.following_store import Outage
from yarrowwall.cli.stale import stale
from yarrowwall.watching.availability import StoreAvailability

#: Schedules of each trouble in which a broken product has to be found.
MUTANT_SEEDS = range(40)
#: Seconds that are allowed to it, after an outage and after other troubles.
OUTAGE_BOUND_S = 1.0
BOUND_S = 2.0


@then(
    "in {count:d} pairs of silent outages no reader is left from {since_s:f} s "
    "after the store's return"
)
def no_reader_left(context: Context, count: int, since_s: float) -> None:
    left = [(seed, lines) for seed in range(count) if (lines := readers_left_after(seed, since_s))]
    assert not left, left


@then(
    "in {count:d} outages of each kind every gateway has a new proof within {bound_s:f} s "
    "of the store's return"
)
def proved_within(context: Context, count: int, bound_s: float) -> None:
    worst = {
        (how, seed): max(proofs_after(seed, how).lags_s) for how in Outage for seed in range(count)
    }
    late = {key: lag_s for key, lag_s in worst.items() if lag_s > bound_s}
    assert not late, late


@then(
    "in {count:d} schedules of each trouble every gateway has each version in force "
    "within {bound_s:f} s"
)
def in_force_within(context: Context, count: int, bound_s: float) -> None:
    _check(TROUBLES, count, bound_s)


@then(
    "in {count:d} schedules of each outage every gateway has each version in force "
    "within {bound_s:f} s"
)
def in_force_after_outages(context: Context, count: int, bound_s: float) -> None:
    _check(OUTAGES, count, bound_s)


def _check(troubles: Iterable[str], count: int, bound_s: float) -> None:
    outcomes = [play(seed, trouble) for trouble in troubles for seed in range(count)]
    late = [outcome for outcome in outcomes if outcome.worst.lag_s > bound_s]
    back = [outcome for outcome in outcomes if outcome.went_back]
    assert not late, _told(late)
    assert not back, _told(back)


@given("machines of which {mutant}")
def broken_machines(context: Context, mutant: str) -> None:
    context.mutant = MUTANTS[mutant]


@then("some schedule finds a version late, or one that came back")
def some_schedule_finds(context: Context) -> None:
    with context.mutant():
        assert any(_is_broken(seed, trouble) for seed in MUTANT_SEEDS for trouble in TROUBLES)


def _is_broken(seed: int, trouble: str) -> bool:
    outcome = play(seed, trouble)
    bound_s = OUTAGE_BOUND_S if trouble in OUTAGES else BOUND_S
    return outcome.worst.lag_s > bound_s or outcome.went_back


@given("a store that answered a question sent at {sent_at_s:f} s")
def answered_once(context: Context, sent_at_s: float) -> None:
    context.contact = StoreAvailability()
    context.contact.note_answered(sent_at_s)


@when("a question sent at {sent_at_s:f} s has no answer at {now_s:f} s")
def silence(context: Context, sent_at_s: float, now_s: float) -> None:
    if not context.contact.is_superseded(sent_at_s):
        context.contact.note_failed(now_s)


@when("a question sent at {sent_at_s:f} s is refused at {now_s:f} s")
def refusal(context: Context, sent_at_s: float, now_s: float) -> None:
    context.contact.note_failed(now_s)


@then("the store counts as lost: {lost}, and at {later_s:f} s as out: {out}")
def counts_as(context: Context, lost: str, later_s: float, out: str) -> None:
    assert (context.contact.lost_at_s is not None) == (lost == "yes")
    assert context.contact.is_unavailable(later_s) == (out == "yes")


def _told(outcomes: list[Outcome]) -> str:
    return "\n".join(str(outcome) for outcome in outcomes)


@given(
    "logs of two gateways of which one has version {newer:d} at {at_s:f} s and the other "
    "stays with {older:d}"
)
def two_logs(context: Context, newer: int, at_s: float, older: int) -> None:
    silence = {"dependency": "reader/storage-1", "is_up": False, "reason": "no answer"}
    context.lines = [
        _line("edge-1", 1.0, "ConfigurationInForce", version=older),
        _line("edge-0", 1.0, "ConfigurationInForce", version=older),
        _line("edge-1", 2.0, "DependencyChanged", dependency="reader/storage-0", is_up=True),
        _line("edge-1", 9.0, "DependencyChanged", **silence),
        _line("edge-0", at_s, "ConfigurationInForce", version=newer),
    ]
    context.versions = (older, newer)


@when("that one admits requests at {one_s:f} s and at {other_s:f} s, its proof {age_s:f} s old")
def admits(context: Context, one_s: float, other_s: float, age_s: float) -> None:
    proof = {"configuration": context.versions[0], "configuration_age": age_s}
    context.lines += [
        _line("edge-1", one_s, "AttemptAdmitted", attempt="in-time", **proof),
        _line("edge-1", other_s, "AttemptAdmitted", attempt="too-late", **proof),
    ]


@then("only the later one is told as stale, with version, age, reader and what was given up")
def told_as_stale(context: Context) -> None:
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
