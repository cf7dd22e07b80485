"""Steps about changed configurations, draining servers and stopping gateways."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from behave.runner import Context

from features.support.platform_scripts import (
    arrivals,
    world,
)
from features.support.processes import wait_until

# Configuration and servers


@when('the route "{route}" is added with a server')
def add_route(context: Context, route: str) -> None:
    context.older = world(context).store.get("config", "main")["spec"]
    world(context).add_route(route, "mutating")
    context.by_route[route] = [world(context).add_server(route)]
    world(context).publish()


@then('"{route}" answers 200 within {limit:d} s at every gateway')
def route_answers(context: Context, route: str, limit: int) -> None:
    end = time.monotonic() + limit
    for gateway in (0, 1):
        while world(context).ask(route, b"x", gateway).status != 200:
            assert time.monotonic() < end, f"gateway {gateway}"
            time.sleep(0.05)


@when("the store forgets its history and shows the older configuration")
def show_older(context: Context) -> None:
    world(context).store.forget_history()
    world(context).store.put("config", "main", context.older)
    time.sleep(1.0)


@then('"{route}" still answers 200 at every gateway')
def route_stays(context: Context, route: str) -> None:
    for gateway in (0, 1):
        assert world(context).ask(route, b"x", gateway).status == 200


@when("the store goes down")
def store_down(context: Context) -> None:
    world(context).store.is_down = True
    world(context).store.forget_history()


@when('the first server of "{route}" drains')
def drain_first(context: Context, route: str) -> None:
    server = context.by_route[route][0]
    world(context).drain(server, route)

    def has_logged_drain(name: str) -> bool:
        return any(
            line["kind"] == "ServerChanged" and line["change"] == "draining"
            for line in world(context).log(name)
        )

    wait_until(
        lambda: has_logged_drain("edge-0") and has_logged_drain("edge-1"),
        "the gateways have logged the draining server",
    )


@then('the first server of "{route}" got none of them')
def first_got_none(context: Context, route: str) -> None:
    assert not context.by_route[route][0].arrivals


# Stop


@when('gateway {number:d} gets SIGTERM while a client waits on "{route}"')
def stop_while_waiting(context: Context, number: int, route: str) -> None:
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(world(context).ask, route, b"x", number)
        wait_until(lambda: bool(arrivals(context, route)), "the request has arrived at a server")
        context.stopped = world(context).kill(f"edge-{number}", signal.SIGTERM)
        wait_until(
            lambda: not world(context).is_ready(f"edge-{number}"), "the gateway is not ready"
        )
        context.answers = [waiting.result()]


@then("the answer is 200 and closes its connection")
def answer_closes(context: Context) -> None:
    (answer,) = context.answers
    assert answer.status == 200, answer
    assert answer.headers.get("Connection") == "close", answer


@then("gateway {number:d} is not ready, and ends by itself with code 0")
def ends_by_itself(context: Context, number: int) -> None:
    assert not world(context).is_ready(f"edge-{number}")
    assert context.stopped.wait(timeout=10.0) == 0


@when("the store holds a configuration and a group that cannot be read")
def unreadable_objects(context: Context) -> None:
    world(context).store.put("config", "main", {"version": "none", "routes": 7})
    world(context).store.put("yarrowwall-groups", "broken", {"groups": [{"epoch": 1}]})
    time.sleep(0.5)


@when(
    "gateway {number:d} gets SIGTERM and a request comes {first:f} s later"
    " and another {second:f} s after that"
)
def late_requests(context: Context, number: int, first: float, second: float) -> None:
    world(context).kill(f"edge-{number}", signal.SIGTERM)
    time.sleep(first)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(world(context).ask, "slow", b"x", number)
        time.sleep(second)
        late = world(context).ask("slow", b"y", number)
        context.answers = [running.result(), late]


@then("the first is answered 200 and the second 503 with Retry-After at once")
def late_refused(context: Context) -> None:
    first, late = context.answers
    assert first.status == 200 and first.is_whole, first
    assert late.status == 503 and float(late.headers["Retry-After"]) > 0.0, late
    assert late.seconds < 0.5, late
