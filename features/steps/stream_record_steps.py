"""Steps about the records of streams and what a gateway knows of servers' software."""

import time
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.stream_model import ROUTE, SOFTWARE, run_stream_schedules
from features.support.stream_mutants import MUTANTS
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.budgets.stream_keys import common_software, recorded_software
from yarrowwall.budgets.stream_records import stream_retention_s
from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.sole_software import SoleSoftware
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.model import Attempt, Server
from yarrowwall.platform.documents import PlatformDocuments
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Listing, ObjectStoreError, StoredObject
from yarrowwall.ports.programs import ExpectedSoftware
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.rpc import LinkTable

SERVICE = "models"
COUNT = 3


@then("{count:d} random stream schedules from seed {first:d} violate no invariant")
def stream_schedules_hold(context: Context, count: int, first: int) -> None:
    counts = run_stream_schedules(count, first)
    # The schedules must exercise each of these events.
    for kind in ("begun", "resumption granted", "resumption refused", "not recorded"):
        assert counts[kind] >= count, f"{kind}: {counts[kind]} in {count} schedules"


@given('the stream records\' mutant "{name}"')
def use_stream_mutant(context: Context, name: str) -> None:
    mutant = MUTANTS[name]()
    mutant.__enter__()
    context.add_cleanup(mutant.__exit__, None, None, None)


@then("some of {count:d} random stream schedules violate an invariant")
def stream_schedules_break(context: Context, count: int) -> None:
    try:
        run_stream_schedules(count)
    except AssertionError:
        return
    raise AssertionError("the mutant was not detected")


@given('a program\'s records "{keys}"')
def records(context: Context, keys: str) -> None:
    context.keys = keys.split(",")


@then('the software of the attempt "{attempt}" is "{software}"')
def recorded(context: Context, attempt: str, software: str) -> None:
    found = recorded_software(context.keys, "p", attempt)
    assert found == (None if software == "none" else software), found


@then('the software that began all of its streams is "{software}"')
def began_alike(context: Context, software: str) -> None:
    found = common_software(context.keys, "p")
    assert found == (None if software == "none" else software), found


@then("a stream with {left:d} s to its deadline is recorded for {kept:d} s")
def retention(context: Context, left: int, kept: int) -> None:
    attempt = Attempt("a", "POST", "/", "host", [], b"", 7.0, 7.0 + left)
    assert stream_retention_s(attempt) == kept


@given("a gateway that knows no group of replicas")
def no_groups(context: Context) -> None:
    views, log = GroupViews(), DecisionLog("edge-0")
    client = QuorumClient("a", views, LinkTable(log, time.monotonic), time.monotonic)
    context.ledger = ReplicatedLedger("a", views, client, log, time.monotonic)


@then("a stream without a budget may run there")
def may_run(context: Context) -> None:
    attempt = Attempt("a", "POST", "/", "host", [], b"", 0.0, 5.0)
    expected = ExpectedSoftware(SOFTWARE[0])
    grant = context.ledger.open_turn(attempt, ROUTE, 1, lambda: 5.0, expected)
    grant.record_software(SOFTWARE[0])
    grant.close([], "")


# What a gateway knows of servers' software


def server(number: int, version: str, service: str = SERVICE, start_ms: int = 1) -> Server:
    return Server(f"i-{number}", service, "127.0.0.1:1", "a", 4, False, start_ms, version)


@given('a gateway that has listed servers of "{version}" for {seconds:d} s')
def listed(context: Context, version: str, seconds: int) -> None:
    context.directory = ServerDirectory("a")
    context.version = "" if version == "none" else version
    for number in range(COUNT):
        context.directory.put(server(number, context.version), {}, 0.0)
    context.now_s = float(seconds)


@given("nothing changes")
def unchanged(context: Context) -> None:
    """Leave the servers as they are."""


@given('a server of "{version}" is listed')
def also_listed(context: Context, version: str) -> None:
    context.directory.put(server(COUNT, version), {}, context.now_s)


@given('a server of "{version}" came and went')
def came_and_went(context: Context, version: str) -> None:
    also_listed(context, version)
    context.directory.remove(server(COUNT, version).incarnation, context.now_s)
    context.now_s += 10.0
    context.directory.forget_vanished(context.now_s)
    assert len(context.directory.states) == COUNT


@given("a server of another service came")
def other_service(context: Context) -> None:
    context.directory.put(server(COUNT, "v2", "tools"), {}, context.now_s)


@given('the servers turn to "{version}"')
def turn_to(context: Context, version: str) -> None:
    for number in range(COUNT):
        context.directory.put(server(number, version, start_ms=2), {}, context.now_s)


@then("the only software of the service is {sole}")
def only_software(context: Context, sole: str) -> None:
    found = context.directory.sole_software(SERVICE, context.now_s)
    assert found == (server(0, context.version).software_id if sole == "known" else None), found


class _ListingStore:
    """A store that lists objects, or does not answer."""

    def __init__(self, items: list[StoredObject] | None) -> None:
        self._items = items
        self.reads = 0

    def list_now(self, kind: str, timeout_s: float) -> Listing:
        """Return the list."""
        self.reads += 1
        eventlet.sleep(0.01)
        if self._items is None:
            raise ObjectStoreError("no answer")
        return Listing(self._items, 1)


def entry_of(number: int, version: str, service: str = SERVICE) -> StoredObject:
    """Return the object of a server's entry."""
    found = server(number, version, service)
    spec = {"service": service, "address": found.address, "zone": "a", "slots": 4, "born": 1}
    stated = {"version": version} if version else {}
    return StoredObject(found.server_id, 1, {**spec, **stated, "state": "ready"}, {})


_SAME = [entry_of(number, "v1") for number in range(COUNT)]
LISTED: dict[str, list[StoredObject] | None] = {
    "the same servers": _SAME,
    "no server": [],
    'a server of "v2" as well': [*_SAME, entry_of(COUNT, "v2")],
    'servers of "v2" alone': [entry_of(COUNT, "v2")],
    "a server without its version": [entry_of(0, "")],
    'a server of "v2" of another service': [*_SAME, entry_of(COUNT, "v2", "tools")],
    "an entry that can't be read": [*_SAME, StoredObject("odd", 1, {}, {}, is_readable=False)],
    "nothing, since it does not answer": None,
}


@given("the store lists {listed}")
def store_lists(context: Context, listed: str) -> None:
    context.store = _ListingStore(LISTED[listed])
    context.sole = SoleSoftware(
        context.store.list_now, PlatformDocuments(), context.directory, lambda: context.now_s
    )


@given("a gateway that trusts the list that it follows")
def trusts_followed_list(context: Context) -> None:
    mutant = patch.object(SoleSoftware, "_read", lambda self: [])
    mutant.start()
    context.add_cleanup(mutant.stop)


@then("the only software that the store confirms is {sole}")
def confirmed_software(context: Context, sole: str) -> None:
    try:
        found = context.sole.find(SERVICE)
    except StoreUncertainError:
        assert sole == "uncertain"
        return
    assert found == (server(0, "v1").software_id if sole == "known" else None), found


@when("{count:d} callers ask for the only software at once")
def ask_at_once(context: Context, count: int) -> None:
    callers = [eventlet.spawn(context.sole.find, SERVICE) for _ in range(count)]
    assert len({caller.wait() for caller in callers}) == 1


@then("the store was read at most {count:d} times")
def read_at_most(context: Context, count: int) -> None:
    assert 1 <= context.store.reads <= count, context.store.reads


@when("an entry is written again without its version")
def without_version(context: Context) -> None:
    context.directory.put(server(0, ""), {}, context.now_s)


@when("that server starts again without a version")
def starts_without_version(context: Context) -> None:
    context.directory.put(server(0, "", start_ms=2), {}, context.now_s)


@then('that server still runs "{version}"')
def still_runs(context: Context, version: str) -> None:
    assert context.directory.software(SERVICE) == {server(0, version).software_id}


@then("that server runs another software")
def runs_another(context: Context) -> None:
    assert len(context.directory.software(SERVICE)) == 2
