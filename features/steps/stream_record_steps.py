"""Steps about the records of streams and what a gateway knows of servers' software."""

import time

from behave import given, then, when
from behave.runner import Context

from features.support.stream_model import ROUTE, SOFTWARE, run_stream_schedules
from features.support.stream_mutants import MUTANTS
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.budgets.stream_keys import common_software, recorded_software
from yarrowwall.budgets.stream_records import stream_retention_s
from yarrowwall.decisions import DecisionLog
from yarrowwall.model import Attempt, Server
from yarrowwall.policy.servers import ServerDirectory
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
