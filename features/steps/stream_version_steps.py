"""Steps about streams of servers of several software versions."""

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import publish, world
from features.support.versioned_streams import (
    CUT_AFTER,
    ROUTE,
    ClientStream,
    ResumingClient,
    VersionedServers,
    in_parallel,
)


@given('a resumable route with {first:d} servers of "{old}" and {second:d} of "{new}"')
def two_versions(context: Context, first: int, old: str, second: int, new: str) -> None:
    context.scripts = VersionedServers()
    context.client = ResumingClient(world(context))
    world(context).add_route(ROUTE, "streaming", resumable=True, attempts=3)
    context.by_version = {
        version: [
            world(context).add_server(ROUTE, context.scripts.script(version), version)
            for _ in range(count)
        ]
        for version, count in ((old, first), (new, second))
    }
    publish(context)


@given("servers break off {share:f} of the streams midway")
def breaking_servers(context: Context, share: float) -> None:
    context.scripts.break_share = share


@when("{count:d} streams are begun at both gateways")
def begin_whole(context: Context, count: int) -> None:
    context.streams = in_parallel(
        count, lambda number: context.client.begin(f"s-{number}", number % 2)
    )


@when("{count:d} streams are begun at both gateways and cut by their clients")
def begin_and_cut(context: Context, count: int) -> None:
    context.streams = in_parallel(
        count, lambda number: context.client.begin(f"s-{number}", number % 2, CUT_AFTER)
    )


@when("{count:d} streams are begun at gateway {gateway:d} and cut by their clients")
def begin_at(context: Context, count: int, gateway: int) -> None:
    context.streams = in_parallel(
        count, lambda number: context.client.begin(f"s-{number}", gateway, CUT_AFTER)
    )


@when("gateway {gateway:d} is killed")
def kill_gateway(context: Context, gateway: int) -> None:
    world(context).kill(f"edge-{gateway}")


@when("each is resumed at the other gateway")
def resume_elsewhere(context: Context) -> None:
    def resume(number: int) -> ClientStream:
        stream = context.streams[number]
        context.client.resume(stream, f"r-{number}", (number + 1) % 2)
        return stream

    in_parallel(len(context.streams), resume)


@when("each is resumed at gateway {gateway:d}")
def resume_at(context: Context, gateway: int) -> None:
    def resume(number: int) -> ClientStream:
        stream = context.streams[number]
        context.client.resume(stream, f"r-{number}", gateway)
        return stream

    in_parallel(len(context.streams), resume)


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
