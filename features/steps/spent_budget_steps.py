"""Steps about programs that continue although their budgets are exhausted."""

import time
from collections import Counter
from typing import Any
from unittest.mock import Mock, patch

import eventlet
from behave import given, then, when
from behave.runner import Context

from yarrowwall.budgets import ledger
from yarrowwall.budgets.budget_requests import BudgetRequest, claim_for
from yarrowwall.budgets.group_reachability import PROBE_INTERVAL_SECONDS, GroupReachability
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.budgets.reservations import Reservations
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import Decision
from yarrowwall.event_stream import Event
from yarrowwall.exceptions import BudgetExhaustedError, CallerDisconnectedError, StoreUncertainError
from yarrowwall.gateway.caller_connection import CallerRequest
from yarrowwall.gateway.exchange import Exchange
from yarrowwall.messages.replicated import GroupView, Member, StoredRecord
from yarrowwall.model import Attempt, ProgramContext, RequestKind, Route
from yarrowwall.policy.budget_parts import ClaimState, divide_budget
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.ports.programs import TurnGrant
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import OwnerReading
from yarrowwall.replication.rounds import Amount

COMMON = 0
ZONE_GROUPS = [3000, 3001, 3002, 3003]
OWN_ZONE = "zone-1"
MAX_TOKENS = 136
RETENTION_SECONDS = 60.0
#: Seconds after which a settlement is certainly written.
SETTLED_SECONDS = 0.2
ROUTE = Route(
    "talk", "host", "/talk/", RequestKind.STREAM, (), 5.0, 2, 1, False, 60.0, False, False
)


class _Groups:
    """Groups of replicas that answer at once and count requests.

    :ivar silent: Groups that do not answer.
    :ivar fails_once: Groups that do not answer the next claim.
    :ivar disconnects_at: The group whose claim is stored when the turn's caller disconnects.
    """

    def __init__(self) -> None:
        self.asked: Counter[int] = Counter()
        self.silent: set[int] = set()
        self.fails_once: set[int] = set()
        self.disconnects_at: int | None = None
        self._records: dict[int, dict[str, Amount]] = {}

    def loss(self, group: int) -> str:
        """Return an empty text, since no group has lost its records."""
        return ""

    def reserve(self, group: int, record: StoredRecord, timeout: float) -> OwnerReading:
        self.asked[group] += 1
        self.must_answer(group)
        if group in self.fails_once:
            self.fails_once.discard(group)
            raise NoQuorumError(f"group {group}: silent")
        self.keep(group, record)
        if group == self.disconnects_at:
            raise CallerDisconnectedError("half or full close")
        return self._reading(group)

    def read_amounts(self, group: int, owner: str, timeout: float) -> OwnerReading:
        self.must_answer(group)
        return self._reading(group)

    def keep(self, group: int, record: StoredRecord) -> None:
        self.must_answer(group)
        self._records.setdefault(group, {})[record.key] = Amount(record.version, record.amount)

    def write(self, group: int, records: list[StoredRecord], timeout: float = 0.0) -> None:
        for record in records:
            self.keep(group, record)

    def check(self, group: int, timeout: float) -> None:
        self.must_answer(group)

    def must_answer(self, group: int) -> None:
        if group in self.silent:
            raise NoQuorumError(f"group {group}: silent")

    def _reading(self, group: int) -> OwnerReading:
        return OwnerReading(dict(self._records[group]), "", True)


def _views() -> GroupViews:
    """Return the views of a common group and of four zone groups."""
    views = GroupViews()
    for place, group in enumerate([COMMON, *ZONE_GROUPS]):
        zone = f"zone-{place}"
        views.update(GroupView(group, 1, [Member(f"storage-{place}", zone, "", zone)], []))
    return views


class _Queues:
    """Writes settlements immediately."""

    def __init__(self, groups: _Groups) -> None:
        self._groups = groups

    def add(self, group: int, record: StoredRecord) -> None:
        if group not in self._groups.silent:
            self._groups.keep(group, record)


class _Log:
    def write(self, decision: Decision) -> None:
        """Discard a decision."""


@given("a program with {budget:d} tokens whose turns emit as much as they may")
def program_with(context: Context, budget: int) -> None:
    context.budget = budget
    context.groups = groups = _Groups()
    log: Any = _Log()
    client: Any = groups
    queues: Any = _Queues(groups)
    reach = GroupReachability(groups.must_answer, log, lambda: 0.0)
    context.reservations = Reservations(client, ZoneGroups(OWN_ZONE, _views()), reach, queues, log)
    context.turns = 0


def _turn(context: Context) -> str:
    """Run a turn and return its outcome."""
    context.turns += 1
    program = ProgramContext("looper", context.budget, MAX_TOKENS, None, None)
    attempt = f"attempt-{context.turns:03}"
    claim = claim_for("looper", program, attempt, RETENTION_SECONDS, COMMON)
    try:
        reserved = context.reservations.reserve(claim, context.budget)
    except BudgetExhaustedError:
        return "exhausted"
    except StoreUncertainError:
        return "uncertain"
    context.reservations.settle(reserved, reserved.granted, "i-1")
    return "granted"


@given("it has run until its budget was exhausted")
def run_until_spent(context: Context) -> None:
    while (outcome := _turn(context)) == "granted":
        pass
    assert outcome == "exhausted", outcome
    context.groups.asked.clear()


@when("it requests {count:d} more turns")
def ask_more(context: Context, count: int) -> None:
    context.outcomes = [_turn(context) for _ in range(count)]


@then("each is refused as exhausted, by one request to its common group")
def one_question(context: Context) -> None:
    assert set(context.outcomes) == {"exhausted"}, context.outcomes
    assert context.groups.asked == {COMMON: len(context.outcomes)}, context.groups.asked


@when("the group of zone {zone:d} stops answering")
def stops_answering(context: Context, zone: int) -> None:
    context.groups.silent.add(ZONE_GROUPS[zone])


@when("{count:d} turns have run")
def turns_have_run(context: Context, count: int) -> None:
    assert {_turn(context) for _ in range(count)} == {"granted"}


@then("the outcome of the next turn is {outcome}")
def next_outcome_is(context: Context, outcome: str) -> None:
    found = _turn(context)
    assert found == outcome, found


@when("the caller of a turn disconnects while it waits for its common group")
def disconnects_during_claim(context: Context) -> None:
    context.groups.disconnects_at = COMMON
    try:
        _turn(context)
    except CallerDisconnectedError:
        context.groups.disconnects_at = None
        return
    raise AssertionError("the turn was decided")


def _open_turn(context: Context, attempt_id: str) -> Any:
    program = ProgramContext("looper", context.budget, MAX_TOKENS, None, None)
    now_s = time.monotonic()
    attempt = Attempt(attempt_id, "POST", "/x", "host", [], b"", now_s, now_s + 9.0, program)
    return context.ledger.open_turn(attempt, ROUTE, 1, lambda: context.end_s)


@given("one of its turns was granted only the part of its zone")
def granted_zone_part(context: Context) -> None:
    groups: Any = context.groups
    log: Any = _Log()
    context.ledger = ReplicatedLedger(OWN_ZONE, _views(), groups, log, time.monotonic)
    context.end_s = time.monotonic() + 1.0
    # A zone's part alone is granted only for some time after an answer of the common group.
    _open_turn(context, "before").close([], "i-1")
    # Wait until its settlement is written.
    eventlet.sleep(SETTLED_SECONDS)
    groups.silent = {COMMON, *ZONE_GROUPS[1:]}
    context.grant = _open_turn(context, "short")


@given("one of its turns has spent {tokens:d} tokens at a gateway")
def spent_at_gateway(context: Context, tokens: int) -> None:
    groups: Any = context.groups
    log: Any = _Log()
    context.ledger = ReplicatedLedger(OWN_ZONE, _views(), groups, log, time.monotonic)
    context.end_s = time.monotonic() + 9.0
    _open_turn(context, "before").close([Event(b"", str(n)) for n in range(tokens)], "i-1")
    # Wait until its settlement is written.
    eventlet.sleep(SETTLED_SECONDS)


@given("a ledger that waits as long for all turns")
def impatient_ledger(context: Context) -> None:
    change = patch.object(ledger, "RECOVERY_WAIT_SHARE", 0.0)
    change.start()
    context.add_cleanup(change.stop)


@then("a turn with {time_s:f} s is granted {tokens:d} tokens, after {least_s:f} to {most_s:f} s")
def granted_after(
    context: Context, time_s: float, tokens: int, least_s: float, most_s: float
) -> None:
    began_s = time.monotonic()
    context.end_s = began_s + time_s
    granted = _open_turn(context, "next")._turn_reservations.granted
    waited_s = time.monotonic() - began_s
    assert granted == tokens, granted
    assert least_s <= waited_s <= most_s, waited_s


@when("its common group recovers but does not answer its next claim")
def recovers_but_fails_once(context: Context) -> None:
    context.groups.fails_once.add(COMMON)
    context.groups.silent.discard(COMMON)
    # Longer than between two probes.
    eventlet.sleep(2.0 * PROBE_INTERVAL_SECONDS)


@then("the turn is granted all its tokens within {limit_s:f} s")
def granted_the_rest(context: Context, limit_s: float) -> None:
    context.end_s = time.monotonic() + limit_s
    context.grant.ensure_granted([Event(b"", str(number)) for number in range(MAX_TOKENS)])
    assert COMMON not in context.groups.fails_once


@when("the caller of a granted turn disconnects before it is sent")
def disconnects_before_sending(context: Context) -> None:
    now_s = time.monotonic()
    program = ProgramContext("looper", context.budget, MAX_TOKENS, None, None)
    attempt = Attempt("granted", "POST", "/x", "host", [], b"", now_s, now_s + 9.0, program)
    context.grant = Mock(
        spec=TurnGrant,
        open_tries=tuple,
        body=b"",
        last_server="",
        is_first=False,
        software=None,
        expected_software="",
    )
    gateway = Mock()
    gateway.active_requests = set()
    gateway.components.programs.open_turn.return_value = context.grant
    gateway.components.dispatch.loads.request_loads.return_value.wait.side_effect = (
        CallerDisconnectedError("left")
    )
    exchange = Exchange(gateway, Mock(spec=CallerRequest))
    try:
        list(exchange._relay_stream(attempt, ROUTE, RequestTime(now_s, now_s + 9.0, 5.0)))
    except CallerDisconnectedError:
        return
    raise AssertionError("the turn continued")


@then("its tokens are released")
def tokens_released(context: Context) -> None:
    context.grant.close.assert_called_once_with([], "")


@given(
    "another turn holds {tokens:d} tokens of the common part and the parts of zones that are"
    " {others}"
)
def another_holds(context: Context, tokens: int, others: str) -> None:
    context.groups.silent.clear()
    context.held_by_other = _note_other(context, ClaimState.GRANTED, tokens)
    silent = ZONE_GROUPS[1:] if others == "unresponsive" else []
    context.groups.silent = {COMMON, *silent}


@given("another turn has spent {tokens:d} tokens of the common part and the parts of zones")
def another_has_spent(context: Context, tokens: int) -> None:
    context.groups.silent.clear()
    _note_other(context, ClaimState.SETTLED, tokens)
    context.groups.silent = {COMMON}


def _note_other(context: Context, state: ClaimState, common_tokens: int) -> int:
    """Record another turn's tokens of all parts but the own zone's; return their number."""
    part = divide_budget(context.budget, len(ZONE_GROUPS)).per_zone
    held = {COMMON: common_tokens, **dict.fromkeys(ZONE_GROUPS[1:], part)}
    for group, tokens in held.items():
        _write_other(context, group, state, tokens)
    return sum(held.values())


def _write_other(context: Context, group: int, state: ClaimState, tokens: int) -> None:
    key = "budget/looper/other"
    record = StoredRecord(key, state, "looper", "", RETENTION_SECONDS, tokens, b"")
    context.groups.keep(group, record)


@when("the other turn ends after {pause_ms:d} ms and has emitted {tokens:d} tokens")
def other_ends(context: Context, pause_ms: int, tokens: int) -> None:
    def settle() -> None:
        for group in [COMMON, *ZONE_GROUPS[1:]]:
            spent = tokens if group == COMMON else 0
            _write_other(context, group, ClaimState.SETTLED, spent)

    eventlet.spawn_after(pause_ms / 1000.0, settle)


@then(
    "the next turn is refused, and told that {unsettled:d} of {used:d} tokens are held by such"
    " turns"
)
def told_unsettled(context: Context, unsettled: int, used: int) -> None:
    program = ProgramContext("looper", context.budget, MAX_TOKENS, None, None)
    claim = claim_for("looper", program, "refused", RETENTION_SECONDS, COMMON)
    try:
        context.reservations.reserve(claim, context.budget)
    except BudgetExhaustedError as error:
        told = f"{used} of {context.budget} tokens are used, {unsettled} of them by turns"
        assert str(error) == f"{told} that have not ended", error
        return
    raise AssertionError("the turn was granted")


def _refused_after_s(context: Context, limit_s: float) -> float:
    """Return the seconds after which the turn is refused more tokens."""
    started_s = time.monotonic()
    context.end_s = started_s + limit_s
    try:
        context.grant.ensure_granted([Event(b"", str(number)) for number in range(MAX_TOKENS)])
    except StoreUncertainError:
        return time.monotonic() - started_s
    raise AssertionError("more tokens were granted than the budget has")


@then("the turn is refused more tokens without a wait for others")
def refused_at_once(context: Context) -> None:
    assert not _waits_for_others(context)


@then("the turn is refused more tokens after a wait for others")
def refused_after_waits(context: Context) -> None:
    assert _waits_for_others(context)


def _waits_for_others(context: Context) -> bool:
    """Return whether the turn waits for tokens that others hold before it is refused more."""
    with patch.object(ReplicatedLedger, "_wait", autospec=True, return_value=False) as wait:
        _refused_after_s(context, 9.0)
    return wait.called


@then("the turn is refused more tokens after {least_s:f} to {most_s:f} s, which it has left")
def refused_at_deadline(context: Context, least_s: float, most_s: float) -> None:
    after_s = _refused_after_s(context, least_s)
    assert least_s <= after_s <= most_s, after_s


@given('a ledger that "{mutant}"')
def mutant_ledger(context: Context, mutant: str) -> None:
    is_final = mutant == "takes held tokens for spent ones"
    change = patch.object(BudgetRequest, "is_finally_exhausted", is_final)
    change.start()
    context.add_cleanup(change.stop)


@when("its common group recovers")
def common_recovers(context: Context) -> None:
    context.groups.silent.discard(COMMON)


@then("the turn is granted {tokens:d} tokens within {limit_s:f} s, some at a time")
def granted_some_at_a_time(context: Context, tokens: int, limit_s: float) -> None:
    context.end_s = time.monotonic() + limit_s
    for count in range(1, tokens + 1):
        context.grant.ensure_granted([Event(b"", str(number)) for number in range(count)])


@then("no more than {budget:d} tokens are granted to both")
def granted_at_most(context: Context, budget: int) -> None:
    held = context.grant._turn_reservations.granted + context.held_by_other
    assert held <= budget, held


@given("1 turn has run")
def one_has_run(context: Context) -> None:
    turns_have_run(context, 1)


@when("the group of zone {zone:d} stops answering for {length:d} ms")
def stops_answering_for(context: Context, zone: int, length: int) -> None:
    group = ZONE_GROUPS[zone]
    context.groups.silent.add(group)
    eventlet.spawn_after(length / 1000.0, context.groups.silent.discard, group)


@then("the next turn is granted all its tokens")
def granted_in_full(context: Context) -> None:
    program = ProgramContext("looper", context.budget, MAX_TOKENS, None, None)
    claim = claim_for("looper", program, "in-full", RETENTION_SECONDS, COMMON)
    reserved = context.reservations.reserve(claim, context.budget)
    assert reserved.granted == MAX_TOKENS, reserved
