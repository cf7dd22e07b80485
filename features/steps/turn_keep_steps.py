"""Steps about how long storing a turn is retried."""

from typing import Any
from unittest.mock import Mock

from behave import given, then, when
from behave.runner import Context

from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.turn_cache import TurnCache
from yarrowwall.budgets.turn_store import TurnStore
from yarrowwall.budgets.turns import Turn
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import Decision
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.messages.replicated import GroupView, Member, StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews

COMMON, OWN = 0, 3000
ZONE = "zone-a"


class _UnansweringGroups:
    """Groups that never answer but some, on a clock that each timeout advances."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.answering: list[int] = []
        self.stored_in: list[int] = []

    def write(self, group: int, records: list[StoredRecord], timeout: float) -> None:
        if group in self.answering:
            self.stored_in.append(group)
            return
        self.now_s += timeout
        raise NoQuorumError(f"group {group}: silent")


class _Log:
    def write(self, decision: Decision) -> None:
        """Discard a decision."""


def _probe(group: int) -> None:
    raise NoQuorumError("silent")


@given("a common group and a zone's group that do not answer")
def unanswering_groups(context: Context) -> None:
    views = GroupViews()
    for group in (COMMON, OWN):
        found = [Member(f"s{n}", f"d{n}", f"a{n}", ZONE) for n in range(3)]
        views.update(GroupView(group, 1, found, []))
    context.client = _UnansweringGroups()
    client: Any = context.client
    log: Any = _Log()
    queues: Any = None
    zones = ZoneGroups(ZONE, views)
    assert zones.stores_turns

    def now() -> float:
        return context.client.now_s

    context.reach = GroupReachability(_probe, log, now)
    copier: Any = Mock()
    groups = RecordGroups(client, lambda key: COMMON, zones, context.reach, log)
    context.turns = TurnStore(groups, TurnCache(), copier, queues, now)


@given("a common group that does not answer and a zone's group that does")
def answering_zone(context: Context) -> None:
    unanswering_groups(context)
    context.client.answering = [OWN]


@when("a turn is to be stored that has {left_s:f} s left")
def store_turn(context: Context, left_s: float) -> None:
    context.end_s = context.client.now_s + left_s
    try:
        context.turns.store(Turn("t", "", "t", b"", b""), [], 60.0, [], lambda: context.end_s)
    except StoreUncertainError:
        assert not context.client.answering, "an answering group was not asked"
        return
    assert context.client.stored_in, "the turn is stored in no group"


@then("the zone's group has it")
def zone_has_it(context: Context) -> None:
    assert context.client.stored_in == [OWN]


@then("its common group counts as {reach}")
def counts_as(context: Context, reach: str) -> None:
    assert context.reach.is_unreachable(COMMON) is (reach == "unreachable")


@then("it fails no earlier than that time")
def fails_not_early(context: Context) -> None:
    assert context.client.now_s >= context.end_s


@then("it fails no later than {most_s:f} s after that time")
def fails_in_time(context: Context, most_s: float) -> None:
    late_s = context.client.now_s - context.end_s
    assert late_s <= most_s, late_s
