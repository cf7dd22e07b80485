"""Steps about machines that follow the store through its troubles, on a virtual clock."""

from collections.abc import Iterable

from behave import given, then, when
from behave.runner import Context

from features.support.following_mutants import MUTANTS
from features.support.following_schedules import (
    OUTAGES,
    TROUBLES,
    Outcome,
    play,
    readers_left_after,
)
from yarrowwall.readers.contact import StoreContact

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
    context.contact = StoreContact()
    context.contact.note_answered(sent_at_s)


@when("a question sent at {sent_at_s:f} s has no answer at {now_s:f} s")
def silence(context: Context, sent_at_s: float, now_s: float) -> None:
    context.contact.note_silence(sent_at_s, now_s)


@when("a question sent at {sent_at_s:f} s is refused at {now_s:f} s")
def refusal(context: Context, sent_at_s: float, now_s: float) -> None:
    context.contact.note_failed(now_s)


@then("the store counts as lost: {lost}, and at {later_s:f} s as out: {out}")
def counts_as(context: Context, lost: str, later_s: float, out: str) -> None:
    assert (context.contact.lost_at_s is not None) == (lost == "yes")
    assert context.contact.is_out(later_s) == (out == "yes")


def _told(outcomes: list[Outcome]) -> str:
    return "\n".join(str(outcome) for outcome in outcomes)
