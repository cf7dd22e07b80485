"""Steps about callers that are refused in an outage and come back."""

from behave import then, when
from behave.runner import Context

from features.support.return_model import WAYS, play


@when("turns come at any moment of {outage_s:f} s without service")
def turns_come(context: Context, outage_s: float) -> None:
    context.returned = {name: play(advice, outage_s) for name, advice in WAYS.items()}
    context.kept = context.returned["half as long again"]


@then("{share:f} of them find it again, {late_s:f} s after its return on average")
def find_it(context: Context, share: float, late_s: float) -> None:
    assert context.kept.share >= share, context.returned
    assert context.kept.late_s <= late_s, context.returned


@then("no more than {part:f} of them come back within 0.1 s")
def not_at_once(context: Context, part: float) -> None:
    assert context.kept.most_at_once <= part, context.returned


@then("more of them find it than by the ways before")
def more_than_before(context: Context) -> None:
    assert context.kept.share == max(one.share for one in context.returned.values())
