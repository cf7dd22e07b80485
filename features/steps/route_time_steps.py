"""Steps about routes whose timeouts change while requests are in progress."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import add, arrivals, publish, world
from features.support.platform_world import Arrival, QuietHandler, stream
from features.support.processes import wait_until
from yarrowwall.policy.request_time import RequestTime

EVENTS = 5


@given(
    'a stream route "{route}" with a timeout of {limit:d} ms whose server streams for {lasts:d} ms'
)
def timed_stream(context: Context, route: str, limit: int, lasts: int) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        return stream(call, arrival, range(1, EVENTS + 1), lasts / 1000.0 / EVENTS)

    add(context, route, "streaming", script, timeout_ms=limit)


@when('the timeout of "{route}" becomes {limit:d} ms {pause:d} ms after a client began to read it')
def timeout_becomes(context: Context, route: str, limit: int, pause: int) -> None:
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(world(context).ask, route, b"x", X_Deadline_Ms="10000")
        wait_until(lambda: bool(arrivals(context, route)), "the stream runs")
        time.sleep(pause / 1000.0)
        (found,) = [one for one in world(context).routes if one["name"] == route]
        found["timeout_ms"] = limit
        publish(context)
        context.answers = [answer.result()]


@given("a request with a timeout of {route_s:f} s whose caller waits for {caller_s:f} s")
def request_time(context: Context, route_s: float, caller_s: float) -> None:
    context.time = RequestTime(100.0, 100.0 + caller_s, route_s)


@when("its route's timeout becomes {first_s:f} s and then {then_s:f} s")
def route_timeout_becomes(context: Context, first_s: float, then_s: float) -> None:
    context.time.note_route_s(first_s)
    context.time.note_route_s(then_s)


@then("its timeout is {expected_s:f} s")
def timeout_is(context: Context, expected_s: float) -> None:
    assert context.time.end == 100.0 + expected_s, context.time.end
