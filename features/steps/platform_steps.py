"""Steps about routes, clients and the responses they get."""

import socket
import time

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import (
    FAULTS,
    add,
    arrivals,
    full,
    silent,
    twice,
    world,
)
from features.support.platform_world import (
    Arrival,
    QuietHandler,
)
from features.support.processes import wait_until


@given('a route "{route}" of type "{kind}" with a server')
def route_with_server(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, None)


@given('a route "{route}" of type "{kind}" with two servers')
def route_with_two(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, None, None)


@given('a route "{route}" of type "{kind}" with a full server and a sound one')
def route_with_full_and_sound(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, full, None)


@given('a route "{route}" of type "{kind}" with a full server')
def route_with_full(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, full)


@given('a route "{route}" of type "{kind}" with a server that closes without an answer')
def route_with_silent(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, silent)


@given(
    'a route "{route}" of type "{kind}" with a server that closes without an answer and a sound one'
)
def route_with_silent_and_sound(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, silent, None)


@given('a route "{route}" of type "{kind}" with a server whose answer {fault}')
def route_with_fault(context: Context, route: str, kind: str, fault: str) -> None:
    add(context, route, kind, FAULTS[fault])


@given('a route "{route}" of type "{kind}" with a server that answers everything twice')
def route_with_doubles(context: Context, route: str, kind: str) -> None:
    add(context, route, kind, twice)


@given(
    'a route "{route}" of type "{kind}" with a time of {limit:d} ms'
    " and a server that takes {seconds:d} s"
)
def slow_route(context: Context, route: str, kind: str, limit: int, seconds: int) -> None:
    context.closed_at = []

    def slow(call: QuietHandler, arrival: Arrival) -> bool:
        end = time.monotonic() + seconds
        call.connection.settimeout(0.05)
        while time.monotonic() < end:
            try:
                if not call.connection.recv(1, socket.MSG_PEEK):
                    context.closed_at.append(time.monotonic())
                    return silent(call, arrival)
            except TimeoutError:
                continue
            except OSError:
                context.closed_at.append(time.monotonic())
                return silent(call, arrival)
        call.connection.settimeout(None)
        return False

    add(context, route, kind, slow, timeout_ms=limit)


# Clients


@when('a client sends "{text}" on "{route}"')
def send_one(context: Context, text: str, route: str) -> None:
    context.answers = [world(context).ask(route, text.encode())]


@when('{count:d} clients send "{text}" on "{route}"')
def send_many(context: Context, count: int, text: str, route: str) -> None:
    connection = world(context).connect()
    context.answers = []
    for _ in range(count):
        context.answers.append(world(context).ask(route, text.encode(), connection=connection))
    connection.close()


@given(
    'a route "{route}" of type "{kind}" whose only server takes {late:d} ms '
    "after {prompt:d} prompt answers"
)
def late_route(context: Context, route: str, kind: str, late: int, prompt: int) -> None:
    def answer_late(call: QuietHandler, arrival: Arrival) -> bool:
        if len(arrivals(context, route)) > prompt:
            time.sleep(late / 1000.0)
        return False

    add(context, route, kind, answer_late)


@when('{count:d} clients send nothing on "{route}"')
def send_gets(context: Context, count: int, route: str) -> None:
    context.answers = [world(context).ask(route) for _ in range(count)]


@when('a client sends "{text}" on "{route}" and leaves after {pause:d} ms')
def send_and_leave(context: Context, text: str, route: str, pause: int) -> None:
    connection = world(context).connect()
    headers = {"Host": "desk.example", "X-Attempt-Id": "leaver", "X-Deadline-Ms": "3000"}
    connection.request("POST", f"/{route}/x", text.encode(), headers)
    time.sleep(pause / 1000.0)
    context.left_at = time.monotonic()
    connection.close()


@then("the server sees the connection closed within {limit:d} ms")
def closed_soon(context: Context, limit: int) -> None:
    wait_until(lambda: bool(context.closed_at), "the server sees the end")
    assert context.closed_at[0] - context.left_at < limit / 1000.0


@then("the answer is {status:d} with the server's seal")
def answer_sealed(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert "X-Server-Seal" in answer.headers, answer


@then("the answer is {status:d} with no seal")
def answer_unsealed(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert "X-Server-Seal" not in answer.headers, answer


@then("the answer is {status:d} with Retry-After")
def answer_retry(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert float(answer.headers["Retry-After"]) > 0.0


@then("the answer is {status:d} without Retry-After")
def answer_final(context: Context, status: int) -> None:
    (answer,) = context.answers
    assert answer.status == status, answer
    assert "Retry-After" not in answer.headers, answer


@then("it came within {limit:d} ms")
def came_within(context: Context, limit: int) -> None:
    assert context.answers[0].seconds < limit / 1000.0, context.answers[0]


@then("the answer is no success")
def no_success(context: Context) -> None:
    (answer,) = context.answers
    assert answer.status >= 500 or not answer.is_whole, answer


@then("every answer is 200")
def every_success(context: Context) -> None:
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)


@then('the server of "{route}" got {count:d} requests')
def server_got(context: Context, route: str, count: int) -> None:
    assert len(arrivals(context, route)) == count, arrivals(context, route)


@then("every answer belongs to its request")
def every_own(context: Context) -> None:
    for answer in context.answers:
        assert answer.body.decode() == answer.headers["X-Attempt-Id"], answer
    assert len({answer.body for answer in context.answers}) == len(context.answers)


@then("every request ran once")
def ran_once(context: Context) -> None:
    sound = context.by_route["records"][1]
    ids = [arrival.attempt_id for arrival in sound.arrivals]
    assert len(ids) == len(set(ids)) == len(context.answers), ids


@then('the servers of "{route}" got it once')
def got_once(context: Context, route: str) -> None:
    assert len(arrivals(context, route)) == 1


@then('the server got "{target}" with "{text}" once, with the client\'s attempt id')
def got_unchanged(context: Context, target: str, text: str) -> None:
    (arrival,) = arrivals(context, "records")
    assert arrival.path == target
    assert arrival.body == text.encode()
    assert arrival.attempt_id == context.answers[0].headers["X-Attempt-Id"]


@then("the server got a deadline of at most {limit:d} ms")
def got_deadline(context: Context, limit: int) -> None:
    (arrival,) = arrivals(context, "records")
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= limit
