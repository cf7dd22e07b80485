"""Steps about machines that follow the store through its troubles, on a virtual clock."""

from behave import then
from behave.runner import Context

from features.support.following_schedules import TROUBLES, Outcome, play, readers_left_after


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
    outcomes = [play(seed, trouble) for trouble in TROUBLES for seed in range(count)]
    late = [outcome for outcome in outcomes if outcome.worst.lag_s > bound_s]
    back = [outcome for outcome in outcomes if outcome.went_back]
    assert not late, _told(late)
    assert not back, _told(back)


def _told(outcomes: list[Outcome]) -> str:
    return "\n".join(str(outcome) for outcome in outcomes)
