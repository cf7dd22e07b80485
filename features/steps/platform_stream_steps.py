"""Steps about event streams."""

import time

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import (
    add,
    world,
)
from features.support.platform_world import (
    Arrival,
    QuietHandler,
    event,
    read_answer,
    stream,
)
from features.support.processes import wait_until

# Streams


@given('a stream route "{route}" whose server pauses {pause:d} ms between events')
def pausing_stream(context: Context, route: str, pause: int) -> None:
    add_pausing_stream(context, route, pause)


@given('a stateful stream route "{route}" whose server pauses {pause:d} ms between events')
def pausing_conversations(context: Context, route: str, pause: int) -> None:
    add_pausing_stream(context, route, pause, stateful=True)


def add_pausing_stream(context: Context, route: str, pause: int, **fields: object) -> None:
    """Add a route whose server sends four events, with a pause after each."""
    context.made_at = []

    def script(call: QuietHandler, arrival: Arrival) -> bool:
        stream(call, arrival, range(1, 5), pause / 1000.0)
        context.made_at.append(time.monotonic())
        return True

    add(context, route, "streaming", script, **fields)


@given('a resumable stream route "{route}" whose first server breaks off within an event')
def resumable_stream(context: Context, route: str) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        first = int(arrival.headers.get("Last-Event-Id", "0")) + 1
        if first == 1:
            return stream(call, arrival, range(1, 4), is_whole=False)
        return stream(call, arrival, range(first, 7))

    add(context, route, "streaming", script, script, resumable=True)


@given('a stream route "{route}" whose server breaks off within an event')
def breaking_stream(context: Context, route: str) -> None:
    add(
        context,
        route,
        "streaming",
        lambda call, arrival: stream(call, arrival, range(1, 4), is_whole=False),
    )


@given('a stream route "{route}" whose server sends {count:d} events')
def plain_stream(context: Context, route: str, count: int) -> None:
    add(
        context,
        route,
        "streaming",
        lambda call, arrival: stream(call, arrival, range(1, count + 1)),
    )


@given('a stateful stream route "{route}" whose server sends {count:d} events')
def stateful_stream(context: Context, route: str, count: int) -> None:
    context.chat_output = b"".join(b"piece-%d\n" % number for number in range(1, count + 1))
    add(
        context,
        route,
        "streaming",
        lambda call, arrival: stream(call, arrival, range(1, count + 1)),
        stateful=True,
    )


@when('a client follows "{route}"')
def follow(context: Context, route: str) -> None:
    connection = world(context).connect()
    headers = {"Host": "desk.example", "X-Attempt-Id": "follower", "X-Deadline-Ms": "3000"}
    started = time.monotonic()
    connection.request("POST", f"/{route}/x", b"question", headers)
    response = connection.getresponse()
    context.first_at = time.monotonic()
    response.read1(1)
    context.answers = [read_rest(response, started)]
    connection.close()


def read_rest(response, started: float):
    class _Connection:
        @staticmethod
        def getresponse():
            return response

    answer = read_answer(_Connection(), started)
    answer.body = b"i" + answer.body
    return answer


@then("{count:d} events came whole and in order, the first before the last was made")
def events_as_made(context: Context, count: int) -> None:
    events_complete(context, count)
    # The server's thread notes the time after it has sent the end, which may arrive earlier.
    wait_until(lambda: bool(context.made_at), "the server has noted the end")
    assert context.first_at < context.made_at[0] - 0.3


@then("{count:d} events came whole and in order")
def events_complete(context: Context, count: int) -> None:
    (answer,) = context.answers
    assert answer.is_whole, answer
    assert answer.body == b"".join(event(number) for number in range(1, count + 1))


@then("the stream is not whole and holds only whole events")
def stream_broken(context: Context) -> None:
    (answer,) = context.answers
    assert not answer.is_whole, answer
    assert answer.body == b"".join(event(number) for number in range(1, 4))
