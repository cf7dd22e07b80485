"""Steps about names that callers choose, and the records that are kept under them."""

from collections.abc import Callable, Iterator
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.tenant_steps import tenant
from features.support.chosen_names import spellings
from features.support.name_mutants import MUTANTS
from features.support.platform_scripts import add, arrivals, publish, world
from features.support.platform_world import Answer, Arrival, stream
from features.support.processes import wait_until
from yarrowwall.budgets import record_names, stream_keys
from yarrowwall.budgets.chain_lookup import ChainLookup, ChainQuery
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.record_names import NO_NAME, RecordName
from yarrowwall.budgets.turn_cache import TurnCache, TurnLine
from yarrowwall.budgets.turns import Turn, turn_key, turn_record
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.exceptions import StoreUncertainError, TurnUnknownError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.group_views import GroupViews

KEYED, PUBLIC = "chat", "ask"
EVENTS, TOKENS_PER_TURN, BUDGET = 4, 40, 130
SECRET = b"the price is 4711;"
ODD_NAMES = (
    "5:plain:x",
    "5:alloy:t1",
    "0::x",
    "0::0::x",
    "5:alloy:",
    "12:30:run",
    "a/b",
    "/",
    "a@12345678",
    "a@",
    "turn/t1",
    "stream",
    "stream/t1",
    "suspects/1",
    "budget/p",
    "name with spaces",
    "\xe4\xb2",
    "n" * 8000,
)
#: Pieces of names that could be taken for parts of keys.
_PIECES = (
    "",
    "a",
    "b",
    "0",
    "1",
    "2",
    "3",
    ":",
    "/",
    "@",
    "0::",
    "1:a:",
    "3:a/b:",
    "turn",
    "stream",
)
_texts = st.lists(st.sampled_from(_PIECES), max_size=6).map("".join)
_tenants = st.lists(st.sampled_from(_PIECES), max_size=3).map("".join)
_software = st.sampled_from(("", "12345678", stream_keys.RESUMPTION))


# Real processes


def turn(
    context: Context, key: str, attempt: str, program: str, previous: str = "", route: str = KEYED
) -> Answer:
    """Send a turn; without a key for an empty one, on the public route."""
    headers = {
        "X_Attempt_Id": attempt,
        "X_Program_Id": program,
        "X_Session_Id": "s",
        "X_Token_Budget": str(BUDGET),
        "X_Token_Count": f"100,{TOKENS_PER_TURN}",
    }
    headers |= {"X_Key": key} if key else {}
    headers |= {"X_Previous_Turn": previous} if previous else {}
    found: list[Answer] = []

    def run() -> bool:
        found.append(world(context).ask(route, SECRET, **headers))
        return found[-1].status != 503

    wait_until(run, "the store can decide")
    return found[-1]


def next_attempt(context: Context) -> str:
    return world(context).next_attempt()


@given('tenants "alloy" and "ore" on a keyed and a public route of turns')
def turn_routes(context: Context) -> None:
    def script(call: Any, arrival: Arrival) -> bool:
        return stream(call, arrival, range(EVENTS))

    world(context).tenants = [tenant("alloy", "key-a"), tenant("ore", "key-o")]
    add(context, KEYED, "streaming", script, stateful=True, resumable=True)
    add(context, PUBLIC, "streaming", script, stateful=True, resumable=True, public=True)
    publish(context)


@when('a caller with key "{key}" has the turn "{attempt}" of the program "{program}"')
def own_turn(context: Context, key: str, attempt: str, program: str) -> None:
    answer = turn(context, key, attempt, program)
    assert answer.status == 200 and answer.is_whole, answer


def others(context: Context) -> Iterator[tuple[str, str]]:
    """Yield the key and the route of callers that are not of the tenant "alloy"."""
    yield "", PUBLIC
    yield "key-o", KEYED


def spelled_by_others(
    context: Context, owner: str, chosen_id: str
) -> Iterator[tuple[str, str, str]]:
    """Yield the key and route of each such caller with each spelling of an owner's name."""
    for key, route in others(context):
        for name in spellings(owner, chosen_id):
            yield key, route, name


@then(
    'callers without a key and with key "key-o" get 404 for each spelling of "{owner}"\'s'
    ' turn "{attempt}"'
)
def spelled_turns(context: Context, owner: str, attempt: str) -> None:
    for key, route, name in spelled_by_others(context, owner, attempt):
        answer = turn(context, key, next_attempt(context), "own", name, route)
        assert answer.status == 404, (key, name, answer)


@then("no server got the turn's body again")
def no_repeated_body(context: Context) -> None:
    bodies = [one.body for route in (KEYED, PUBLIC) for one in arrivals(context, route)]
    assert bodies == [SECRET], bodies


@when(
    'callers without a key and with key "key-o" spend the budget of each spelling of'
    ' "{owner}"\'s program "{program}"'
)
def spend_spelled(context: Context, owner: str, program: str) -> None:
    for key, route, name in spelled_by_others(context, owner, program):
        for expected in (200, 200, 200, 402):
            answer = turn(context, key, next_attempt(context), name, route=route)
            assert answer.status == expected, (key, name, answer)


@then('a caller with key "{key}" has {statuses} for the rest of the budget of "{program}"')
def rest_of_budget(context: Context, key: str, statuses: str, program: str) -> None:
    check_budget(context, key, statuses, program, KEYED)


@then('a caller with key "{key}" has {statuses} for the rest of the budget of ""')
def rest_of_unnamed(context: Context, key: str, statuses: str) -> None:
    check_budget(context, key, statuses, "", KEYED)


@then('a caller without a key has {statuses} for the rest of the budget of ""')
def rest_of_public(context: Context, statuses: str) -> None:
    check_budget(context, "", statuses, "", PUBLIC)


def check_budget(context: Context, key: str, statuses: str, program: str, route: str) -> None:
    for expected in statuses.split(", "):
        answer = turn(context, key, next_attempt(context), program, route=route)
        assert answer.status == int(expected), (program, answer)


@then("a caller without a key continues from its own turns under each odd name")
def odd_names_without_key(context: Context) -> None:
    check_odd_names(context, "", PUBLIC)


@then('a caller with key "{key}" continues from its own turns under each odd name')
def odd_names_with_key(context: Context, key: str) -> None:
    check_odd_names(context, key, KEYED)


def check_odd_names(context: Context, key: str, route: str) -> None:
    for name in ODD_NAMES:
        assert turn(context, key, name, name, route=route).status == 200, name
        continued = turn(context, key, next_attempt(context), name, name, route)
        assert continued.status == 200, (name, continued)
        body = arrivals(context, route)[-1].body
        assert body.count(SECRET) == 2, (name, body)
        assert turn(context, key, next_attempt(context), name, route=route).status == 200, name
        assert turn(context, key, next_attempt(context), name, route=route).status == 402, name


@when("the operators make the keyed route {how}")
def change_route(context: Context, how: str) -> None:
    for route in world(context).routes:
        if route["name"] == KEYED:
            route["public"] = how == "public"
    publish(context)


@then('a caller with key "{key}" continues on the keyed route from "{attempt}" with {status:d}')
def continues_with_key(context: Context, key: str, attempt: str, status: int) -> None:
    check_continued(context, key, attempt, status)


@then('a caller without a key continues on the keyed route from "{attempt}" with {status:d}')
def continues_without_key(context: Context, attempt: str, status: int) -> None:
    check_continued(context, "", attempt, status)


def check_continued(context: Context, key: str, attempt: str, status: int) -> None:
    answer = turn(context, key, next_attempt(context), next_attempt(context), attempt)
    assert answer.status == status, answer


# Random names


def _names_differ(one: tuple[str, str], other: tuple[str, str]) -> bool:
    """Return whether no name of one id is a name of the other, unless they are equal."""
    if one == other:
        return True
    turns = [turn_key(record_names.record_name(*pair)) for pair in (one, other)]
    programs = [record_names.program_name(*pair) for pair in (one, other)]
    owners = {
        *turns,
        *[stream_keys.stream_owner(record_names.record_name(*p)) for p in (one, other)],
    }
    return (
        turns[0] != turns[1]
        and programs[0] != programs[1]
        and not owners & set(programs)
        and NO_NAME not in programs
    )


def _claims_differ(one: tuple[str, str, str, str], other: tuple[str, str, str, str]) -> bool:
    if one == other:
        return True
    keys = [
        stream_keys.claim_key(record_names.program_name(tenant, program), attempt, software)
        for tenant, program, attempt, software in (one, other)
    ]
    return keys[0] != keys[1]


def _near_pairs() -> Iterator[tuple[tuple[str, str], tuple[str, str]]]:
    """Yield pairs of owner and id in which one spells what the other is kept under."""
    for tenant_name in ("acme", "a:b", "a/b", "1:a"):
        for name in ("x", "", "5:plain:x", "0::x"):
            for spelled in spellings(tenant_name, name):
                yield (tenant_name, name), ("", spelled)
                yield ("", spelled), ("", f"0::{spelled}")
                yield ("1:a", name), ("1", f"a:{name}")
                yield (tenant_name, name), ("acme:" + tenant_name, name)


def check_names(count: int) -> None:
    """Check that names differ in listed and in random pairs.

    :raises AssertionError: if two ids share one.
    """
    for one, other in _near_pairs():
        assert _names_differ(one, other), (one, other)
    assert _names_differ(("acme", "x"), ("", "y")) and _names_differ(("", "turn/x"), ("", "x"))

    @settings(max_examples=count, deadline=None, database=None, derandomize=True)
    @for_all(st.tuples(_tenants, _texts), st.tuples(_tenants, _texts))
    def hold(one: tuple[str, str], other: tuple[str, str]) -> None:
        assert _names_differ(one, other), (one, other)

    hold()


def check_claims(count: int) -> None:
    """Check that keys of claims differ in listed and in random pairs.

    :raises AssertionError: if two attempts share one.
    """
    assert _claims_differ(("", "p", "a/b", ""), ("", "p/a", "b", ""))
    assert _claims_differ(("", "p", "a@12345678", ""), ("", "p", "a", "12345678"))
    assert _claims_differ(("", "5", "x/b", ""), ("x/b", "", "", ""))

    @settings(max_examples=count, deadline=None, database=None, derandomize=True)
    @for_all(
        st.tuples(_tenants, _texts, _texts, _software),
        st.tuples(_tenants, _texts, _texts, _software),
    )
    def hold(one: tuple[str, str, str, str], other: tuple[str, str, str, str]) -> None:
        assert _claims_differ(one, other), (one, other)

    hold()


@then("in {count:d} random pairs names of turns and programs are equal only if tenants and ids are")
def names_hold(context: Context, count: int) -> None:
    check_names(count)


@then("in {count:d} random pairs keys of claims are equal only if owners and attempts are")
def claims_hold(context: Context, count: int) -> None:
    check_claims(count)


@then("in {count:d} random names the attempt of each claim's key is read back")
def claims_are_read(context: Context, count: int) -> None:
    @settings(max_examples=count, deadline=None, database=None, derandomize=True)
    @for_all(_tenants, _texts, _texts.filter(bool), _software)
    def hold(tenant_name: str, program: str, attempt: str, software: str) -> None:
        owner = record_names.program_name(tenant_name, program)
        key = stream_keys.claim_key(owner, attempt, software)
        assert stream_keys.claimed_attempt(key, owner) == attempt, key
        if software and software != stream_keys.RESUMPTION:
            assert stream_keys.recorded_software([key], owner, attempt) == software, key

    hold()


@given("record names that {mutant}")
def mutated_names(context: Context, mutant: str) -> None:
    patch = MUTANTS[mutant]()
    patch.start()
    context.add_cleanup(patch.stop)
    joined = record_names.joined
    context.joined = stream_keys.joined
    stream_keys.joined = joined

    def restore() -> None:
        stream_keys.joined = context.joined

    context.add_cleanup(restore)


@then("the random pairs find two owners with one name")
def mutant_is_found(context: Context) -> None:
    for check in (check_names, check_claims):
        try:
            check(500)
        except AssertionError:
            return
    raise AssertionError("the mutant was not detected")


# Records of the earlier release


class _OneRecordGroup:
    """A group that stores one record."""

    def __init__(self, record: StoredRecord) -> None:
        self._record = record

    def read_chain(
        self, group: int, key: str, known: list[str], timeout: float
    ) -> dict[str, StoredRecord]:
        return {key: self._record} if key == self._record.key else {}

    def kept_s(self, group: int, key: str, timeout: float) -> float:
        return 60.0


class _Log:
    def write(self, decision: Any) -> None:
        """Discard a decision."""


@given('a turn that {release} stored under the key of "alloy"\'s turn "{attempt}"')
def stored_turn(context: Context, release: str, attempt: str) -> None:
    name = record_names.record_name("alloy", attempt)
    record = turn_record(Turn(name, NO_NAME, name, SECRET, b""), 60.0)
    if release == "the earlier release":
        record = StoredRecord(record.key, 2, record.owner, "", 60.0, 0, record.value)
    client: Any = _OneRecordGroup(record)
    log: Any = _Log()
    copier: Any = None
    zones = ZoneGroups("zone-a", GroupViews())
    reach = GroupReachability(lambda group: None, log, lambda: 0.0)
    groups = RecordGroups(client, lambda key: 0, zones, reach, log)
    context.lookup = ChainLookup(groups, TurnCache(), copier, lambda: 0.0)
    context.attempt = attempt


@then("{reader} gets {outcome} for it")
def reads(context: Context, reader: str, outcome: str) -> None:
    is_owner = "alloy" in reader
    owner = "alloy" if is_owner else ""
    named = context.attempt if is_owner else f"5:alloy:{context.attempt}"
    query = ChainQuery(
        "next",
        record_names.record_name(owner, named),
        record_names.ambiguous_name(owner, named),
        TurnLine(record_names.program_name(owner, "p"), "s"),
        60.0,
        10.0,
    )
    expected: dict[str, Callable[[], bool]] = {
        "the turn": lambda: context.lookup.chain(query)[0].body == SECRET,
        "uncertain": lambda: _raises(context.lookup, query, StoreUncertainError),
        "unknown": lambda: _raises(context.lookup, query, TurnUnknownError),
    }
    assert expected[outcome]()


def _raises(lookup: ChainLookup, query: ChainQuery, error: type[Exception]) -> bool:
    try:
        lookup.chain(query)
    except error:
        return True
    return False


@then("each sound name of a caller is stored under the key of the earlier release")
def sound_names(context: Context) -> None:
    assert record_names.record_name("acme", "x") == "4:acme:x"
    for name in ("x", "9c41d07be2a35f68", "a:b", "a/b", "12:30:run", "x@1", "8000:", "7:x"):
        assert record_names.record_name("", name) == name, name
        assert record_names.program_name("", name) == name, name
    claim = stream_keys.claim_key(RecordName("4:acme:p"), "x", "12345678")
    assert claim == "budget/4:acme:p/x@12345678", claim
    assert stream_keys.claim_key(RecordName("p"), "x", "") == "budget/p/x"
    change = stream_keys.change_key(RecordName("p"), "x", 1, "12345678")
    assert change == "stream/p/x/1@12345678", change
    owner = stream_keys.stream_owner(RecordName("x"))
    change = stream_keys.change_key(owner, "x", 1, "12345678")
    assert (owner, change) == ("stream/x", "stream/stream/x/x/1@12345678"), change


@then("claims that the earlier release stored for owners with a slash are read")
def earlier_claims(context: Context) -> None:
    owner = record_names.program_name("", "a/b")
    keys = ["budget/a/b/x@12345678", "stream/a/b/x/1@abcdefgh"]
    assert stream_keys.claimed_attempt(keys[0], owner) == "x"
    assert stream_keys.recorded_software(keys, owner, "x") == "abcdefgh"
