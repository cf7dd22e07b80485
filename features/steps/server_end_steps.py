"""Steps about requests under which servers end."""

import random
import signal
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.support.fatal_requests import (
    FATAL,
    KINDS,
    MAX_ENDED,
    TRIES,
    TURN_STARTS,
    Call,
    CrashingServers,
    RetryingCaller,
    every,
    refused_for,
    run_calls,
)
from features.support.platform_scripts import publish, world

ROUTE = "desk"
#: Seconds in which the requests of a step begin.
SPREAD_S = 4.0
#: Seconds within which a request is refused that no server may run any more.
REFUSAL_S = 0.5
POLL_S = 0.001


@given("{count:d} servers of a route for each {kind}")
def servers(context: Context, count: int, kind: str) -> None:
    context.kind = KINDS[kind]
    world(context).add_route(ROUTE, context.kind.route_type, **context.kind.fields)
    context.servers = CrashingServers(world(context), ROUTE, context.kind)
    context.servers.start(count)
    publish(context)
    context.caller = RetryingCaller(world(context), ROUTE, context.kind, [0, 1, 2])
    context.stop = threading.Event()
    context.add_cleanup(context.stop.set)


@given("a server ends by itself every {seconds:f} s")
def one_ends(context: Context, seconds: float) -> None:
    rng = random.Random(1)
    every(seconds, lambda: context.servers.end(rng.choice(context.servers.live)), context.stop)


@given("all servers end at once every {seconds:f} s")
def all_end(context: Context, seconds: float) -> None:
    def end_all() -> None:
        for server in context.servers.live:
            context.servers.end(server)

    every(seconds, end_all, context.stop)


@given("servers reset {share:f} of the connections while they answer")
def resets(context: Context, share: float) -> None:
    context.servers.reset_share = share


@when("{fatal:d} fatal requests arrive among {others:d} others")
def fatal_among_others(context: Context, fatal: int, others: int) -> None:
    bodies = [b"plain-%d" % number for number in range(others)]
    # Fatal requests arrive in the midst of the others, evenly.
    step = others // (fatal + 1) if fatal else 0
    for number in range(fatal):
        bodies.insert((number + 1) * step + number, FATAL + b"%d" % number)
    calls = run_calls(context.caller, bodies, SPREAD_S)
    context.stop.set()
    context.servers.wait_replaced()
    context.fatal = [call for call in calls if call.body.startswith(FATAL)]
    context.others = [call for call in calls if not call.body.startswith(FATAL)]
    sends = [len(context.servers.requests.sends(call.body)) for call in context.fatal]
    served = sum(call.is_served for call in context.others)
    print(
        f"{context.servers.ended} servers ended, sends of the fatal requests {sends}, "
        f"{sum(context.servers.requests.late_sends.values())} sends after {MAX_ENDED} had ended, "
        f"{served} of {len(context.others)} others served"
    )


@when("{fatal:d} fatal requests arrive among {others:d} others and a gateway is killed")
def fatal_and_kill(context: Context, fatal: int, others: int) -> None:
    def kill() -> None:
        time.sleep(SPREAD_S / 2.0)
        world(context).kill("edge-2")

    killer = threading.Thread(target=kill, daemon=True)
    killer.start()
    fatal_among_others(context, fatal, others)
    killer.join()


@when("a fatal request arrives and its gateway is lost under its {send} send")
def lose_under_send(context: Context, send: str) -> None:
    body, number = FATAL + b"lost", ("first", "second").index(send)
    requests = context.servers.requests

    def lose() -> None:
        while len(requests.sends(body)) <= number:
            time.sleep(POLL_S)
        # The frozen gateway keeps its connections, so that the server ends under the request.
        world(context).kill("edge-0", signal.SIGSTOP)
        while requests.ended(body) <= number:
            time.sleep(POLL_S)
        world(context).kill("edge-0")

    loser = threading.Thread(target=lose, daemon=True)
    loser.start()
    first = RetryingCaller(world(context), ROUTE, context.kind, [0])
    others = RetryingCaller(world(context), ROUTE, context.kind, [1, 2])
    context.fatal = [first.run(body, range(1)), others.run(body, range(1, TURN_STARTS))]
    loser.join()


@when("a fatal request arrives at gateway {first:d} and then at gateway {second:d}")
@when("another fatal request arrives at gateway {first:d} and then at gateway {second:d}")
def fatal_in_turn(context: Context, first: int, second: int) -> None:
    body = FATAL + b"%d-%d" % (first, second)
    for gateway in (first, second):
        call = RetryingCaller(world(context), ROUTE, context.kind, [gateway]).run(body)
    context.fatal = [*getattr(context, "fatal", []), call]


@when("all machines are killed and started again")
def kill_all(context: Context) -> None:
    names = list(world(context).processes)
    for name in names:
        world(context).kill(name)
    for name in names:
        world(context).start_machine(name, is_gateway=name.startswith("edge"))
    world(context).wait_ready()


@when("the fatal requests are tried again at every gateway")
def try_again(context: Context) -> None:
    for gateway in range(3):
        caller = RetryingCaller(world(context), ROUTE, context.kind, [gateway])
        context.fatal = [caller.run(call.body) for call in context.fatal]


@then("no request was sent to a server after three servers had ended under it")
def bounded(context: Context) -> None:
    late = context.servers.requests.late_sends
    assert not late, late


@then("each fatal request ended at most three servers")
def fatal_ends(context: Context) -> None:
    ended = [context.servers.requests.ended(call.body) for call in context.fatal]
    assert all(count <= MAX_ENDED for count in ended), ended
    assert any(ended)


@then("each fatal request is refused at once and its caller is told why")
def told_why(context: Context) -> None:
    for call in context.fatal:
        assert not call.is_served, call
        if context.servers.requests.ended(call.body) < MAX_ENDED:
            # Its caller may not try often enough to end three servers.
            continue
        if call.statuses[-1] == 502 and has_run_last(context, call):
            # The last try ran when the third server ended; the next one is refused.
            call = context.caller.run(call.body, range(TURN_STARTS, TURN_STARTS + 1))
            assert set(call.statuses) == {503}, call
        assert call.statuses[-1] == 503, call
        assert call.retry_after[-1] is None, call
        assert call.seconds[-1] < REFUSAL_S, call
        assert b"servers ended" in call.bodies[-1], call


def has_run_last(context: Context, call: Call) -> bool:
    """Return whether the last try of a request was sent before the third server ended."""
    last_send = context.servers.requests.sends(call.body)[-1]
    return last_send.ended_before == MAX_ENDED - 1


@then("at least {count:d} of the others are served")
def others_served(context: Context, count: int) -> None:
    lost = [call for call in context.others if not call.is_served]
    assert len(context.others) - len(lost) >= count, lost[:5]


@then("each of the others is served or was sent as often as its callers' tries allow")
def served_or_exhausted(context: Context) -> None:
    limit = TRIES * int(context.kind.fields["attempts"])
    if context.kind.is_turn:
        limit *= TURN_STARTS
    requests = context.servers.requests
    lost = [
        call
        for call in context.others
        if not call.is_served and len(requests.sends(call.body)) < limit
    ]
    assert not lost, lost[:3]


@then("each request that is refused for ended servers was sent to three that ended")
def refused_rightly(context: Context) -> None:
    sent = sent_to(context)
    refused = 0
    for call in [*context.fatal, *context.others]:
        named = refused_for(call)
        refused += bool(named)
        for server_id in named:
            assert world(context).servers[server_id].has_ended, (server_id, call)
            assert (call.body.decode(), server_id) in sent, (server_id, call)
        assert not named or len(named) >= MAX_ENDED, call
    print(f"{refused} requests were refused for ended servers")


def sent_to(context: Context) -> set[tuple[str, str]]:
    """Return each pair of a request and a server that some gateway sent it to."""
    return {
        (line["attempt"].rsplit("-", 2)[0], line["server"])
        for gateway in range(3)
        for line in world(context).log(f"edge-{gateway}")
        if line["kind"] == "AttemptSent"
    }


@then("each other request under which fewer than three servers ended was sent as often as before")
def innocent_not_refused(context: Context) -> None:
    refused = [
        call
        for call in context.others
        if context.servers.requests.ended(call.body) < MAX_ENDED
        and any(b"servers ended" in body for body in call.bodies)
    ]
    assert not refused, refused[:3]
