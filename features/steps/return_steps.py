"""Steps about callers that are refused during an outage and retry."""

from behave import then, when
from behave.runner import Context

from features.support.return_model import RULES, simulate


@when("turns arrive at random times during an outage of {outage_s:f} s")
def turns_arrive(context: Context, outage_s: float) -> None:
    context.results = {name: simulate(rule, outage_s) for name, rule in RULES.items()}
    context.current = context.results["half as long again"]


@then("{share:f} of them are served, {late_s:f} s after the end of the outage on average")
def are_served(context: Context, share: float, late_s: float) -> None:
    assert context.current.share >= share, context.results
    assert context.current.late_s <= late_s, context.results


@then("no more than {part:f} of them retry within the same 0.1 s")
def not_at_once(context: Context, part: float) -> None:
    assert context.current.most_at_once <= part, context.results


@then("more of them are served than with the earlier rules")
def more_than_before(context: Context) -> None:
    assert context.current.share == max(one.share for one in context.results.values())
