"""Steps about connections of callers that end before their answers."""

import signal
import socket
import struct
import time

from behave import then, when
from behave.runner import Context

from features.support.platform_scripts import arrivals, world
from features.support.platform_world import HOST
from features.support.processes import wait_until

#: Lets a close reset the connection.
RESET = struct.pack("ii", 1, 0)
#: Bytes that a caller's own kernel takes: next to none, so that the rest stays at the gateway.
BUFFER_BYTES = 16 * 1024
#: Lines that tell why a caller got no whole answer.
ENDS = ("AnswerBrokenOff", "CallerLeft", "CallerGivenUp", "ConnectionEnded", "InternalFault")
#: Seconds in which a second line for the same end would have come.
SETTLE_SECONDS = 0.3


def connect(context: Context) -> socket.socket:
    host, _, port = world(context).addresses["edge-0"]["http"].partition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.settimeout(10.0)
    connection.connect((host, int(port)))
    context.add_cleanup(connection.close)
    return connection


def begin(context: Context, route: str, deadline_ms: int = 20_000) -> socket.socket:
    """Return a connection over which a whole request was sent."""
    connection = connect(context)
    head = (
        f"POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        f"X-Attempt-Id: {world(context).next_attempt()}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
    connection.sendall(head.encode())
    return connection


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()


def told(context: Context) -> list[str]:
    """Return what the gateway tells of connections that ended, by kind or reason."""
    lines = world(context).log("edge-0")
    return [line.get("reason", line["kind"]) for line in lines if line["kind"] in ENDS]


@when('a caller of "{route}" resets its connection unread')
def resets_unread(context: Context, route: str) -> None:
    connection = begin(context, route)
    assert connection.recv(1)
    time.sleep(0.5)
    reset(connection)


@when('a caller of "{route}" resets its connection while it waits')
def resets_waiting(context: Context, route: str) -> None:
    connection = begin(context, route)
    wait_until(lambda: bool(arrivals(context, route)), "the request runs")
    reset(connection)


@when('a caller of "{route}" ends its sending side unread')
def half_closes_unread(context: Context, route: str) -> None:
    connection = begin(context, route)
    assert connection.recv(1)
    time.sleep(0.5)
    connection.shutdown(socket.SHUT_WR)


@when('a caller of "{route}" never reads')
def never_reads(context: Context, route: str) -> None:
    begin(context, route)


@when('gateway {number:d} gets SIGTERM while {count:d} callers wait on "{route}"')
def stop_while_many_wait(context: Context, number: int, count: int, route: str) -> None:
    for _ in range(count):
        begin(context, route)
    wait_until(lambda: len(arrivals(context, route)) == count, "the requests run")
    process = world(context).kill(f"edge-{number}", signal.SIGTERM)
    assert process.wait(timeout=15.0) == 0


@when("a caller sends the head of a request that stops midway")
def head_stops(context: Context) -> None:
    connect(context).sendall(b"GET /records/x HTTP/1.1\r\nHost: desk")


@when("a caller sends the head of a request that is no HTTP")
def head_no_http(context: Context) -> None:
    connect(context).sendall(b"\x16\x03\x01 this is no request\r\n\r\n")


@when('a caller of "{route}" is answered and leaves')
def answered_and_leaves(context: Context, route: str) -> None:
    assert world(context).ask(route, b"x").status == 200
    connection = world(context).connect()
    assert world(context).ask(route, b"x", connection=connection).status == 200
    connection.close()


@then("the gateway tells once that its connection ended, as {reason}")
def told_once(context: Context, reason: str) -> None:
    wait_told(context, [reason])


@then("the gateway tells {count:d} times that a connection ended, as {reason}")
def told_times(context: Context, count: int, reason: str) -> None:
    wait_told(context, [reason] * count)


def wait_told(context: Context, expected: list[str]) -> None:
    wait_until(lambda: len(told(context)) >= len(expected), f"{expected} is told")
    time.sleep(SETTLE_SECONDS)
    assert told(context) == expected, told(context)


@then("the gateway tells of no connection that ended")
def told_nothing(context: Context) -> None:
    time.sleep(SETTLE_SECONDS)
    assert not told(context), told(context)
