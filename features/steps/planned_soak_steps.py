"""Steps about the soak test of planned operations and its checks."""

import random
import tempfile
from collections.abc import Callable
from pathlib import Path

from behave import given, then
from behave.runner import Context

from features.soak.planned.content import CHAT, DEFAULT_TIMEOUT_MS, Content
from features.soak.planned.cuts import (
    CONFIGURATION_S,
    DEADLINE_S,
    AttemptStart,
    Timeouts,
    WrittenTimeouts,
    find_cuts,
    timeouts_in_force,
)
from features.soak.planned.run import play_planned
from features.soak.planned.work import ADDED, RESTARTED, SIGNALLED, STOPPED
from features.soak.promises import LOSS_SLACK_S, AttemptEnd, Record, SentRequest

GATEWAY = "edge-0"
KEPT_LOGS = Path(tempfile.gettempdir()) / "yarrowwall-soak"
KINDS_OF_CHANGES = Content(random.Random()).changes.keys()
#: Time at which the attempt is sent, and the timeouts of its route.
SENT_AT = 100.0
DEFAULT_S = DEFAULT_TIMEOUT_MS / 1000.0
SHORTER_S = DEFAULT_S / 2.0
ALWAYS_DEFAULT: Timeouts = [(0.0, {CHAT: DEFAULT_S})]
RAISED: Timeouts = [(0.0, {CHAT: SHORTER_S}), (SENT_AT + 1.0, {CHAT: DEFAULT_S})]
LOWERED: Timeouts = [(0.0, {CHAT: DEFAULT_S}), (SENT_AT + 1.0, {CHAT: SHORTER_S})]
#: A longer timeout that was written before the shorter one had expired.
WRITTEN = [
    WrittenTimeouts(1, 0.0, {CHAT: SHORTER_S}),
    WrittenTimeouts(2, SENT_AT + 1.0, {CHAT: DEFAULT_S}),
]
NOT_IN_FORCE = timeouts_in_force(WRITTEN, {1: 1.0, 2: SENT_AT + SHORTER_S + 0.2})
SKIPPED = timeouts_in_force([*WRITTEN, WRITTEN[0]._replace(version=3)], {1: 1.0, 3: SENT_AT})
EARLY = WRITTEN[1]._replace(at=SENT_AT - CONFIGURATION_S)
NEVER_IN_FORCE = timeouts_in_force([WRITTEN[0], EARLY], {1: 1.0})
#: A gateway that started after a longer timeout had been replaced, and two that knew it.
REPLACED = [
    WrittenTimeouts(1, 0.0, {CHAT: DEFAULT_S}),
    WrittenTimeouts(2, SENT_AT - 0.1, {CHAT: SHORTER_S}),
]
STARTED_AGAIN = timeouts_in_force(REPLACED, {2: SENT_AT + 0.4})
#: Seconds after which the attempt is read by its gateway.
READ_AFTER_S = 0.3
READ_BEFORE = timeouts_in_force(REPLACED, {1: 1.0, 2: SENT_AT + READ_AFTER_S + 0.1})
READ_AFTER = timeouts_in_force(REPLACED, {1: 1.0, 2: SENT_AT + READ_AFTER_S - 0.1})
ALWAYS_SHORTER: Timeouts = [(0.0, {CHAT: DEFAULT_S}), (SENT_AT - 1.0, {CHAT: SHORTER_S})]


@then("{seconds:d} s of planned work at {gateways:d} gateways with seed {seed:d} cut nothing")
def planned_work_cuts_nothing(context: Context, seconds: int, gateways: int, seed: int) -> None:
    result = play_planned(seed, float(seconds), 4 * gateways, gateways, keep=KEPT_LOGS)
    assert not result.violations, result
    assert result.served, result
    assert {STOPPED, SIGNALLED} <= result.done.keys(), result.done
    assert not result.done.keys().isdisjoint({ADDED, RESTARTED}), result.done
    assert not result.done.keys().isdisjoint(KINDS_OF_CHANGES), result.done


def ended(
    lasted_s: float, status: int = 200, is_whole: bool = False, is_at_server: bool = True
) -> Callable[[Record], None]:
    """Return a function that records the end of an attempt after some seconds."""

    def note(record: Record) -> None:
        if is_at_server:
            record.note_reached("a")
        record.note_sent("a", SentRequest(GATEWAY, SENT_AT))
        record.note_ended("a", AttemptEnd(status, is_whole, b"", SENT_AT + lasted_s))

    return note


def queued_and_dropped(record: Record) -> None:
    record.note_admitted(["a"])
    ended(2 * LOSS_SLACK_S, status=0, is_at_server=False)(record)


def broken_off(record: Record) -> None:
    record.note_broken_off("a")
    ended(1.0)(record)


ENDS: dict[str, tuple[Timeouts, Callable[[Record], None]]] = {
    "was cut within its stream": (ALWAYS_DEFAULT, ended(1.0)),
    "was cut at its server without an answer": (ALWAYS_DEFAULT, ended(1.0, status=0)),
    "was queued and dropped": (ALWAYS_DEFAULT, queued_and_dropped),
    "was cut by a timeout that was raised meanwhile": (RAISED, ended(SHORTER_S + 0.1)),
    "was cut by a timeout that was lowered meanwhile": (LOWERED, ended(SHORTER_S + 0.1)),
    "was cut by a timeout that had to be raised before": (NEVER_IN_FORCE, ended(SHORTER_S + 0.1)),
    "was cut before its gateway knew the raised timeout": (
        NOT_IN_FORCE,
        ended(SHORTER_S + 0.1),
    ),
    "was cut at a gateway that skipped the version with a longer timeout": (
        SKIPPED,
        ended(SHORTER_S + 0.1),
    ),
    "was cut by a timeout that its gateway put in force after it was read": (
        READ_BEFORE,
        ended(SHORTER_S + 0.5),
    ),
    "was cut by a timeout that its gateway put in force before it was read": (
        READ_AFTER,
        ended(SHORTER_S + 0.5),
    ),
    "was cut by the only timeout that its gateway's process has known": (
        STARTED_AGAIN,
        ended(SHORTER_S + 0.5),
    ),
    "was answered": (ALWAYS_DEFAULT, ended(1.0, is_whole=True)),
    "was refused": (ALWAYS_DEFAULT, ended(1.0, status=503, is_whole=True, is_at_server=False)),
    "was cut at its deadline": (ALWAYS_DEFAULT, ended(DEADLINE_S)),
    "was cut at its route's timeout": (ALWAYS_SHORTER, ended(SHORTER_S)),
    "was broken off by its server": (ALWAYS_DEFAULT, broken_off),
    "was sent over a connection that was just closed": (
        ALWAYS_DEFAULT,
        ended(0.1, status=0, is_at_server=False),
    ),
}


@given('a record of planned work with an attempt that "{ends}"')
def record_of_planned_work(context: Context, ends: str) -> None:
    record = Record()
    record.note_attempt("a", b"body")
    timeouts, note = ENDS[ends]
    note(record)
    context.cuts = find_cuts(
        record.finished_attempts(),
        lambda gateway, at: timeouts,
        {"a": AttemptStart(CHAT, SENT_AT)},
        {"a": SENT_AT + READ_AFTER_S},
    )


@then("it is a cut")
def is_cut(context: Context) -> None:
    assert [cut.attempt for cut in context.cuts] == ["a"], context.cuts


@then("it is no cut")
def is_no_cut(context: Context) -> None:
    assert context.cuts == []
