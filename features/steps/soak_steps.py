"""Steps about the randomized soak and its own checks."""

import tempfile
from pathlib import Path

from behave import given, then
from behave.runner import Context

from features.soak.promises import Ended, Record
from features.soak.run import play
from features.support.platform_world import event

CLIENTS = 4
#: Where the logs of a seed that broke a promise go.
KEPT_LOGS = Path(tempfile.gettempdir()) / "yarrowwall-soak"
BUDGET = 20


@then("{seconds:d} s of the soak with seed {seed:d} break no promise")
def soak_holds(context: Context, seconds: int, seed: int) -> None:
    result = play(seed, float(seconds), CLIENTS, keep=KEPT_LOGS)
    assert not result.violations, result


def answered(record: Record, events: int = 1) -> None:
    record.arrived("a", b"body")
    body = b"".join(event(number) for number in range(1, events + 1))
    record.ended("a", Ended(200, True, body))


def refused(record: Record, status: int) -> None:
    record.arrived("a", b"body")
    record.ended("a", Ended(status, True, b""))


BROKEN = {
    "was answered": answered,
    "ran twice": lambda record: [answered(record), answered(record)],
    "was refused and ran": lambda record: refused(record, 503),
    "was told that its budget is spent, ran": lambda record: refused(record, 402),
    "ran with another body": lambda record: record.arrived("a", b"other"),
    "nobody sent": lambda record: record.arrived("b", b"body"),
    "emitted more than the budget": lambda record: answered(record, events=8),
}


@given('a soak\'s record with an attempt that "{broken}"')
def broken_record(context: Context, broken: str) -> None:
    context.record = Record()
    context.record.begin_program("p", BUDGET)
    context.record.begin("a", b"body", "p")
    BROKEN[broken](context.record)


@then('the record shows only "{promise}"')
def shows_only(context: Context, promise: str) -> None:
    found = context.record.violations()
    assert len(found) == 1 and found[0].startswith(promise + ":"), found


@then("the record shows nothing")
def shows_nothing(context: Context) -> None:
    assert context.record.violations() == []
