"""Steps about callers' connections that end before their responses."""

import os
import resource
import signal
import socket
import struct
import time
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import patch
from urllib.request import urlopen

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import patcher
from eventlet.green import socket as green_socket

from features.support.platform_scripts import add, arrivals, silent, world
from features.support.platform_world import HOST, Arrival, QuietHandler, own_headers
from features.support.processes import wait_until
from yarrowwall import sockets
from yarrowwall.addresses import split_address
from yarrowwall.decisions import DecisionLog
from yarrowwall.gateway.caller_connection import (
    CallerConnection,
    CallerRequest,
    CurrentCallerLimits,
)
from yarrowwall.gateway.gateway import Gateway
from yarrowwall.gateway.http_server import serve
from yarrowwall.model import HeaderBlock, RequestHead
from yarrowwall.platform.callers import PlatformCallers
from yarrowwall.policy.connection_budget import ConnectionBounds, ConnectionBudget
from yarrowwall.policy.freshness import Freshness
from yarrowwall.policy.memory_budget import MemoryBounds, MemoryBudget

#: SO_LINGER option that makes a close reset the connection.
RESET = struct.pack("ii", 1, 0)
#: Receive buffer of a caller's kernel: small, so that unread bytes stay at the gateway.
BUFFER_BYTES = 16 * 1024
#: Log lines that say why a caller got no complete response.
ENDS = ("AnswerBrokenOff", "CallerLeft", "CallerGivenUp", "ConnectionEnded", "InternalFault")
#: Seconds within which a second log line for the same end would have been written.
SETTLE_SECONDS = 0.3


def connect(context: Context) -> socket.socket:
    host, _, port = world(context).addresses["edge-0"]["http"].partition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.settimeout(10.0)
    connection.connect((host, int(port)))
    context.add_cleanup(connection.close)
    return connection


def send_request(context: Context, route: str, deadline_ms: int = 20_000) -> socket.socket:
    """Return a connection over which a complete request was sent."""
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


def logged_reasons(context: Context) -> list[str]:
    """Return the reasons, or kinds, of the gateway's log lines about ended connections."""
    lines = world(context).log("edge-0")
    return [line.get("reason", line["kind"]) for line in lines if line["kind"] in ENDS]


@when('a caller of "{route}" resets its connection without reading')
def resets_without_reading(context: Context, route: str) -> None:
    connection = send_request(context, route)
    assert connection.recv(1)
    time.sleep(0.5)
    reset(connection)


@when('a caller of "{route}" resets its connection while it waits')
def resets_waiting(context: Context, route: str) -> None:
    connection = send_request(context, route)
    wait_until(lambda: bool(arrivals(context, route)), "the request runs")
    reset(connection)


@when('a caller of "{route}" half-closes its connection without reading')
def half_closes_without_reading(context: Context, route: str) -> None:
    connection = send_request(context, route)
    assert connection.recv(1)
    time.sleep(0.5)
    connection.shutdown(socket.SHUT_WR)


@when('a caller of "{route}" never reads')
def never_reads(context: Context, route: str) -> None:
    send_request(context, route)


@when('gateway {number:d} gets SIGTERM while {count:d} callers wait on "{route}"')
def stop_while_many_wait(context: Context, number: int, count: int, route: str) -> None:
    for _ in range(count):
        send_request(context, route)
    wait_until(lambda: len(arrivals(context, route)) == count, "the requests run")
    process = world(context).kill(f"edge-{number}", signal.SIGTERM)
    assert process.wait(timeout=15.0) == 0


@when("a caller sends the head of a request that stops midway")
def head_stops(context: Context) -> None:
    connect(context).sendall(b"GET /records/x HTTP/1.1\r\nHost: desk")


@when("a caller sends the head of a request that is no HTTP")
def head_no_http(context: Context) -> None:
    connect(context).sendall(b"\x16\x03\x01 this is no request\r\n\r\n")


@when("a caller sends the head of a request that ends in a field")
def head_cut(context: Context) -> None:
    connection = connect(context)
    head = f"POST /records/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: cut\r\nX-Deadline-Ms: 30"
    connection.sendall(head.encode())
    connection.shutdown(socket.SHUT_WR)
    assert not connection.recv(1024)


@when('a caller of "{route}" is answered and leaves')
def answered_and_leaves(context: Context, route: str) -> None:
    assert world(context).ask(route, b"x").status == 200
    connection = world(context).connect()
    assert world(context).ask(route, b"x", connection=connection).status == 200
    connection.close()


@then("the gateway logs once that its connection ended, as {reason}")
def logged_once(context: Context, reason: str) -> None:
    wait_logged(context, [reason])


@then("the gateway logs {count:d} times that a connection ended, as {reason}")
def logged_times(context: Context, count: int, reason: str) -> None:
    wait_logged(context, [reason] * count)


def wait_logged(context: Context, expected: list[str]) -> None:
    wait_until(lambda: len(logged_reasons(context)) >= len(expected), f"{expected} is logged")
    time.sleep(SETTLE_SECONDS)
    assert logged_reasons(context) == expected, logged_reasons(context)


@then("the gateway logs no connection that ended")
def logged_nothing(context: Context) -> None:
    time.sleep(SETTLE_SECONDS)
    assert not logged_reasons(context), logged_reasons(context)


# Connections that cannot be accepted


@given('a caller of "{route}" that was answered and keeps its connection')
def keeps_connection(context: Context, route: str) -> None:
    context.kept, context.kept_route = world(context).connect(), route
    assert world(context).ask(route, b"x", connection=context.kept).status == 200


def run_out_of_descriptors(context: Context, name: str, key: str, count: int) -> None:
    """Connect to a machine while its process is out of descriptors."""
    pid = world(context).processes[name].pid
    soft, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (0, hard))
    try:
        address = split_address(world(context).addresses[name][key])
        callers = [socket.create_connection(address, timeout=5.0) for _ in range(count)]
        time.sleep(SETTLE_SECONDS)
    finally:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (soft, hard))
    for caller in callers:
        caller.close()


@when("gateway {number:d} is out of descriptors while {count:d} callers connect")
def gateway_without_descriptors(context: Context, number: int, count: int) -> None:
    run_out_of_descriptors(context, f"edge-{number}", "http", count)


@when("gateway {number:d} is out of descriptors while {count:d} callers connect for its metrics")
def metrics_without_descriptors(context: Context, number: int, count: int) -> None:
    run_out_of_descriptors(context, f"edge-{number}", "metrics", count)


@then("the metrics of gateway {number:d} can be read")
def metrics_read(context: Context, number: int) -> None:
    address = world(context).addresses[f"edge-{number}"]["metrics"]
    with urlopen(f"http://{address}/metrics", timeout=5.0) as answer:
        assert b"yarrowwall_configuration_version" in answer.read()


@then("the caller that kept its connection is answered 200 on it")
def kept_answered(context: Context) -> None:
    answer = world(context).ask(context.kept_route, b"x", connection=context.kept)
    assert answer.status == 200, answer
    context.kept.close()


@then("the gateway logged connections that it could not accept")
def logged_accept_failures(context: Context) -> None:
    assert any(line["kind"] == "AcceptFailed" for line in world(context).log("edge-0"))


@when("replica {number:d} is out of descriptors while {count:d} machines connect")
def replica_without_descriptors(context: Context, number: int, count: int) -> None:
    run_out_of_descriptors(context, f"storage-{number}", "peer", count)


@then("replica {number:d} takes connections and closes one that sends no message")
def replica_accepts(context: Context, number: int) -> None:
    address = split_address(world(context).addresses[f"storage-{number}"]["peer"])
    with socket.create_connection(address, timeout=5.0) as connection:
        connection.sendall(b"\xff" * 64)
        assert not connection.recv(1)


# Active requests


@given("a gateway without a configuration and a caller's request")
def bare_gateway(context: Context) -> None:
    log = DecisionLog("edge-0", descriptor=os.open(os.devnull, os.O_WRONLY))
    memory = MemoryBudget(MemoryBounds(1_000, 1_000, 1_000))
    dispatch = SimpleNamespace(memory=memory, decisions=log, now=time.monotonic)
    components = SimpleNamespace(
        dispatch=dispatch,
        callers=PlatformCallers(),
        programs=SimpleNamespace(is_reachable=True, unreachable_s=0.0),
        freshness=Freshness(5.0, 3.0),
        limits=CurrentCallerLimits(),
    )
    context.gateway = Gateway(components)
    context.gateway.note_initial_load()
    near, context.caller = green_socket.socketpair()
    headers = HeaderBlock.encode([("Host", HOST), ("X-Attempt-Id", "attempt-1")])
    head = RequestHead(
        "GET",
        "/records/x",
        "1.1",
        headers,
        None,
        is_chunked=False,
        expects_continue=False,
        keeps_alive=True,
    )
    budget = ConnectionBudget(ConnectionBounds.of_probes())
    connection = CallerConnection(near, CurrentCallerLimits(), budget, log)
    connection.parser.feed(f"GET /records/x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    context.request = CallerRequest(connection, head)


@when("the HTTP server has read the whole response")
def response_read(context: Context) -> None:
    context.body = context.gateway(context.request)
    assert b"".join(context.body)


@then("the request is active")
def request_active(context: Context) -> None:
    assert context.gateway.active_count == 1


@when("the HTTP server has written the last bytes")
def response_written(context: Context) -> None:
    context.body.close()


@then("the request is not active")
def request_not_active(context: Context) -> None:
    assert context.gateway.active_count == 0


# Responses


@when('a caller of "{route}" half-closes its connection while it waits')
def half_closes_waiting(context: Context, route: str) -> None:
    context.caller = send_request(context, route)
    wait_until(lambda: bool(arrivals(context, route)), "the request runs")
    context.caller.shutdown(socket.SHUT_WR)


@then("its connection ends within {limit:d} ms without a byte")
def ends_silently(context: Context, limit: int) -> None:
    context.caller.settimeout(limit / 1000.0)
    found = context.caller.recv(1024)
    assert not found, found


@given('a stream route "{route}" whose server answers 500 and breaks off')
def failure_breaks_off(context: Context, route: str) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        call.send_response(500)
        for name, value in {**own_headers(arrival), "Content-Length": "100"}.items():
            call.send_header(name, value)
        call.end_headers()
        call.wfile.write(b"only this")
        return silent(call, arrival)

    add(context, route, "streaming", script)


@when('a caller of "{route}" waits for its answer')
def waits_for_answer(context: Context, route: str) -> None:
    context.answers = [world(context).ask(route, b"x")]


@then("its body is complete and empty")
def empty_body(context: Context) -> None:
    (answer,) = context.answers
    assert answer.is_whole and not answer.body, answer


@then("the gateway logs no internal fault")
def no_fault(context: Context) -> None:
    assert "InternalFault" not in [line["kind"] for line in world(context).log("edge-0")]


# A blocked process


@given("a server for callers that times out idle connections and heads after {limit:d} ms")
def server_with_timeouts(context: Context, limit: int) -> None:
    def answer(request: CallerRequest) -> list[bytes]:
        request.start_response(200, [("Content-Length", "0")])
        return [b""]

    limits = CurrentCallerLimits()
    limits.current = replace(
        limits.current, idle_seconds=limit / 1000.0, header_seconds=limit / 1000.0
    )
    log = DecisionLog("edge-0", descriptor=os.open(os.devnull, os.O_WRONLY))
    listener = eventlet.listen(("127.0.0.1", 0))
    budget = ConnectionBudget(ConnectionBounds.of_probes())
    context.server = eventlet.spawn(serve, listener, answer, limits, budget, log)
    context.server_address = listener.getsockname()


@when("{what} arrives after {pause:d} ms and the process is blocked for {late:d} ms")
def arrives_while_blocked(context: Context, what: str, pause: int, late: int) -> None:
    request = f"GET /x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    half = len(request) // 2 if what == "the second half of a head" else 0
    context.caller = green_socket.create_connection(context.server_address)
    context.caller.sendall(request[:half])
    near, far = green_socket.socketpair()

    def block() -> None:
        near.recv(1)
        context.caller.sendall(request[half:])
        patcher.original("time").sleep(late / 1000.0)

    eventlet.spawn(block)
    eventlet.sleep(pause / 1000.0)
    far.send(b"x")


@then("the caller is answered")
def caller_answered(context: Context) -> None:
    context.caller.settimeout(2.0)
    found = context.caller.recv(100)
    context.server.kill()
    assert found.startswith(b"HTTP/1.1 200 "), found


# Requests that arrive together


@given("a server for callers that gives others a turn whenever it may")
def server_of_turns(context: Context) -> None:
    shortest = patch.object(sockets, "TURN_SECONDS", 0.0)
    shortest.start()
    context.add_cleanup(shortest.stop)
    server_with_timeouts(context, 5000)


@when("{count:d} requests arrive together")
def requests_together(context: Context, count: int) -> None:
    context.turns, context.answers = 0, 0

    def take_turns() -> None:
        while True:
            eventlet.sleep(0)
            context.turns += 1

    caller = green_socket.create_connection(context.server_address)
    others = eventlet.spawn(take_turns)
    caller.sendall(f"GET /x HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * count)
    received = b""
    while received.count(b"HTTP/1.1 200") < count:
        received += caller.recv(65536)
    others.kill()


@then("others had at least {count:d} turns before the last one was answered")
def turns_were_given(context: Context, count: int) -> None:
    assert context.turns >= count, context.turns
