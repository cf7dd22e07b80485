"""Steps about streams of servers of several software versions."""

import signal
import time
from collections.abc import Callable
from threading import Thread

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import knows, publish, world
from features.support.processes import wait_until
from features.support.versioned_streams import (
    CUT_AFTER,
    ROUTE,
    ClientStream,
    ResumingClient,
    VersionedServers,
    in_parallel,
)
from yarrowwall.machine.gateway_role import HOUSEKEEPING_SECONDS
from yarrowwall.policy.servers import VANISHED_SECONDS

GATEWAYS = ("edge-0", "edge-1")
REPLICAS = ("storage-0", "storage-1", "storage-2")
#: Seconds in which replicas that have started answer all gateways.
REPLICAS_BACK_SECONDS = 4.0
#: Seconds in which requests arrive at a gateway.
ARRIVAL_SECONDS = 0.3


def add_resumable_route(context: Context) -> None:
    context.scripts = VersionedServers()
    context.client = ResumingClient(world(context))
    world(context).add_route(ROUTE, "streaming", resumable=True, attempts=3)


@given('a resumable route with {first:d} servers of "{old}" and {second:d} of "{new}"')
def two_versions(context: Context, first: int, old: str, second: int, new: str) -> None:
    add_resumable_route(context)
    context.by_version = {
        version: [
            world(context).add_server(ROUTE, context.scripts.script(version), version)
            for _ in range(count)
        ]
        for version, count in ((old, first), (new, second))
    }
    publish(context)


@given("a resumable route with {count:d} servers without a version")
def no_versions(context: Context, count: int) -> None:
    add_resumable_route(context)
    for _ in range(count):
        world(context).add_server(ROUTE, context.scripts.script("none"))
    publish(context)


@given("clients whose streams have a budget")
def with_budget(context: Context) -> None:
    context.client = ResumingClient(world(context))


@given("clients whose streams have no budget")
def no_budget(context: Context) -> None:
    context.client = ResumingClient(world(context), has_budget=False)


@given("clients that name no attempt when they resume a stream")
def names_none(context: Context) -> None:
    context.client = ResumingClient(world(context), names_attempt=False)


@given("servers reject {share:f} of the requests")
def full_servers(context: Context, share: float) -> None:
    context.scripts.full_share = share


@given("servers break off {share:f} of the streams midway")
def breaking_servers(context: Context, share: float) -> None:
    context.scripts.break_share = share


def begin_all(
    context: Context, count: int, gateway: Callable[[int], int], cut_after: int | None = None
) -> None:
    """Begin streams, each at the gateway that a function of its number names."""
    context.streams = in_parallel(
        count, lambda number: context.client.begin(f"s-{number}", gateway(number), cut_after)
    )


@when("{count:d} streams are begun at both gateways")
def begin_whole(context: Context, count: int) -> None:
    begin_all(context, count, lambda number: number % 2)


@when("{count:d} streams are begun at both gateways and cut by their clients")
def begin_and_cut(context: Context, count: int) -> None:
    begin_all(context, count, lambda number: number % 2, CUT_AFTER)


@when("{count:d} streams are begun at gateway {gateway:d} and cut by their clients")
def begin_at(context: Context, count: int, gateway: int) -> None:
    begin_all(context, count, lambda number: gateway, CUT_AFTER)


def stop_servers(context: Context, version: str) -> None:
    """Stop the servers of a version and remove their entries."""
    for server in context.by_version[version]:
        server.listener.shutdown()
        server.listener.server_close()
        world(context).store.remove("servers", server.server_id)


@when('the servers of "{version}" have gone')
def version_gone(context: Context, version: str) -> None:
    stop_servers(context, version)
    for gateway in GATEWAYS:
        wait_until(
            lambda gateway=gateway: (
                _changed(context, gateway, "gone") >= len(context.by_version[version])
            ),
            f"{gateway} knows",
        )
    # A server that is no longer listed may serve for a short time if no other can.
    time.sleep(VANISHED_SECONDS + HOUSEKEEPING_SECONDS)


def _changed(context: Context, gateway: str, change: str) -> int:
    """Return how often a gateway has logged a change of a server."""
    lines = world(context).log(gateway)
    return sum(line["kind"] == "ServerChanged" and line["change"] == change for line in lines)


@when('a server of "{version}" drains and the entry of another lapses and comes back')
def drain_and_lapse(context: Context, version: str) -> None:
    draining, lapsed = context.by_version[version][:2]
    world(context).drain(draining, ROUTE)
    world(context).store.remove("servers", lapsed.server_id)
    wait_until(
        lambda: all(_changed(context, gateway, "gone") for gateway in GATEWAYS), "the gateways know"
    )
    world(context).list_again(lapsed, ROUTE)


@when("{count:d} replicas are killed")
def kill_replicas(context: Context, count: int) -> None:
    context.killed = [f"storage-{number}" for number in range(count)]
    for name in context.killed:
        world(context).kill(name)


@when("the replicas are started again")
def restart_replicas(context: Context) -> None:
    for name in context.killed:
        world(context).start_machine(name, is_gateway=False)
    for gateway in (0, 1):
        name = f"after the start at {gateway}"
        wait_until(
            lambda name=name, gateway=gateway: context.client.begin(name, gateway).is_whole,
            f"gateway {gateway} serves new streams",
        )


@when("gateway {gateway:d} is killed")
def kill_gateway(context: Context, gateway: int) -> None:
    world(context).kill(f"edge-{gateway}")


@when("all gateways are killed as {what}, and start again")
def kill_all_gateways(context: Context, what: str) -> None:
    for name in GATEWAYS:
        world(context).kill(name)
    if what == "the servers of v1 go":
        stop_servers(context, "v1")
    for name in GATEWAYS:
        world(context).start_machine(name, is_gateway=True)
    for name in GATEWAYS:
        wait_until(lambda name=name: world(context).is_ready(name), f"{name} is ready")


def resume_all(
    context: Context, gateway: Callable[[int], int], cut_after: int | None = None
) -> None:
    """Resume each stream that has begun, with attempts whose ids are new."""
    context.rounds = getattr(context, "rounds", 0) + 1
    context.resumed = [stream for stream in context.streams if stream.events]

    def resume(number: int) -> ClientStream:
        stream = context.resumed[number]
        name = f"r{context.rounds}-{stream.attempt_id}"
        context.client.resume(stream, name, gateway(number), cut_after)
        return stream

    in_parallel(len(context.resumed), resume)


@when("each is resumed at the other gateway")
@when("each that began is resumed at the other gateway")
def resume_elsewhere(context: Context) -> None:
    resume_all(context, lambda number: (number + 1) % 2)


@when("each is resumed at the other gateway and cut again")
def resume_and_cut(context: Context) -> None:
    resume_all(context, lambda number: (number + 1) % 2, 2 * CUT_AFTER)


@when("each is resumed at gateway {gateway:d}")
def resume_at(context: Context, gateway: int) -> None:
    resume_all(context, lambda number: gateway)


@when("each is resumed under a name that no gateway knows")
def resume_unknown(context: Context) -> None:
    for stream in context.streams:
        stream.attempt_id = f"other-{stream.attempt_id}"
    resume_all(context, lambda number: (number + 1) % 2)


@then("no stream holds events of two versions")
def one_version_each(context: Context) -> None:
    joined = [stream for stream in context.streams if len(stream.versions) > 1]
    assert not joined, f"{len(joined)} of {len(context.streams)} streams: {joined[0]}"
    assert all(stream.is_ordered for stream in context.streams), context.streams


@then("{count:d} streams are whole")
def whole(context: Context, count: int) -> None:
    broken = [stream for stream in context.streams if not stream.is_whole]
    assert len(context.streams) - len(broken) == count, broken


@then("both versions began streams")
def both_began(context: Context) -> None:
    began = {stream.events[0].version for stream in context.streams if stream.events}
    assert began == set(context.by_version), began


def version_whole(context: Context, version: str) -> None:
    streams = [stream for stream in context.streams if stream.versions == {version}]
    assert streams
    assert all(stream.is_whole for stream in streams), streams


@then('the streams of "{version}" are {fate}')
def version_fate(context: Context, version: str, fate: str) -> None:
    if fate == "whole":
        version_whole(context, version)
    else:
        version_refused(context, version)


@then('the streams of "{version}" got 503 with Retry-After within 500 ms and ran nowhere')
def version_refused(context: Context, version: str) -> None:
    streams = [stream for stream in context.streams if stream.versions == {version}]
    assert streams
    check_refused(context, streams, has_retry_after=True, limit_s=0.5)


@then("each got 503 without Retry-After within 500 ms and ran nowhere")
def unknown_refused(context: Context) -> None:
    check_refused(context, context.streams, has_retry_after=False, limit_s=0.5)


@then("each got 503 with Retry-After and ran nowhere")
def uncertain_refused(context: Context) -> None:
    check_refused(context, context.streams, has_retry_after=True, limit_s=4.0)


def check_refused(
    context: Context, streams: list[ClientStream], has_retry_after: bool, limit_s: float
) -> None:
    """Check that the last resumption of each stream was refused and reached no server."""
    for stream in streams:
        assert stream.statuses[-1] == 503, stream
        assert (stream.retry_after is not None) == has_retry_after, stream
        assert stream.last_seconds < limit_s, stream
        assert f"r{context.rounds}-{stream.attempt_id}" not in context.scripts.ran, stream


@then("the share of resumed streams that went on is at least half of that of new ones")
def resumed_share(context: Context) -> None:
    began = len(context.resumed) / len(context.streams)
    went_on = sum(stream.statuses[-1] == 200 for stream in context.resumed) / len(context.resumed)
    assert len(context.resumed) >= 12
    assert went_on >= began / 2.0, (went_on, began)


# Gateways that are out of step


@when("the gateways have listed these servers for {seconds:d} s")
def listed_for(context: Context, seconds: int) -> None:
    time.sleep(seconds)


@when('gateway 1 is {state} while {count:d} servers of "{version}" join and all others drain')
def out_of_step(context: Context, state: str, count: int, version: str) -> None:
    if state == "frozen":
        world(context).kill("edge-1", signal.SIGSTOP)
    else:
        # It reads through the replicas, which can't tell it of the store either.
        for name in ("edge-1", *REPLICAS):
            world(context).store.turn_away(name)
    joined = [
        world(context).add_server(ROUTE, context.scripts.script(version), version)
        for _ in range(count)
    ]
    context.by_version[version] = joined
    version_number = world(context).version
    names = {server.server_id for server in joined}
    wait_until(lambda: knows(context, "edge-0", version_number, names), "gateway 0 knows them")
    others = [server for server in world(context).servers.values() if server not in joined]
    for server in others:
        world(context).drain(server, ROUTE)
    wait_until(
        lambda: _changed(context, "edge-0", "draining") >= len(others), "gateway 0 knows that too"
    )


@when('{count:d} streams begin at gateway 0 on "v2" while no replica runs, and are cut')
def begin_unrecorded(context: Context, count: int) -> None:
    for name in REPLICAS:
        world(context).kill(name)
    begin_all(context, count, lambda number: 0, CUT_AFTER)
    for name in REPLICAS:
        world(context).start_machine(name, is_gateway=False)
    time.sleep(REPLICAS_BACK_SECONDS)


@when("each is resumed at gateway 1, which is no longer frozen")
def resume_out_of_step(context: Context) -> None:
    resuming = Thread(target=resume_all, args=(context, lambda number: 1))
    resuming.start()
    # The requests have arrived when the gateway goes on.
    time.sleep(ARRIVAL_SECONDS)
    world(context).kill("edge-1", signal.SIGCONT)
    resuming.join()


@then('{count:d} streams of "{version}" began')
def version_began(context: Context, count: int, version: str) -> None:
    began = [stream for stream in context.streams if version in stream.versions]
    assert len(began) == count, context.streams
