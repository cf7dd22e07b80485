"""Steps about crowds of clients that do not behave."""

import contextlib
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.support.crowd_clients import (
    KINDS,
    ROUTE,
    SLOW_TARGET,
    Crowd,
    Kind,
    answer_status,
    head_of,
)
from features.support.crowd_world import MAX_DESCRIPTORS, MEMORY_MB, CrowdServer, CrowdWorld
from features.support.platform_scripts import publish
from features.support.platform_world import Arrival, QuietHandler, stream
from features.support.processes import wait_until

GATEWAY = "edge-0"
TURN_ROUTE = "chat"
MAX_HEAD_BYTES = 16_384
#: Seconds for which turns are kept, which bounds how long a full store may refuse new programs.
RETENTION_S = 5.0
TURN_EVENTS = 1
NAME_BYTES = 6_000


def world(context: Context) -> CrowdWorld:
    return context.platform


def address(context: Context, port: str = "http") -> str:
    return world(context).addresses[GATEWAY][port]


def note_usage(context: Context) -> None:
    """Keep the highest number of descriptors of each machine, and the machines that ended."""
    for name, process in world(context).processes.items():
        if process.poll() is not None:
            context.ended[name] = process.returncode
            continue
        found = world(context).open_descriptors(name)
        context.descriptors[name] = max(found, context.descriptors.get(name, 0))


def begin(context: Context) -> None:
    context.ended, context.descriptors = {}, {}
    world(context).limits["max_header_bytes"] = MAX_HEAD_BYTES
    world(context).limits["max_body_bytes"] = 1024 * 1024
    publish(context)


@given("a small gateway before a server")
def small_gateway(context: Context) -> None:
    world(context).add_route(ROUTE, "idempotent", attempts=1)
    CrowdServer(world(context))
    begin(context)
    wait_until(lambda: world(context).ask(ROUTE, b"x").status == 200, "the route serves")


@given("a small gateway before a server of turns")
def small_gateway_of_turns(context: Context) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        return stream(call, arrival, range(1, 1 + TURN_EVENTS))

    world(context).add_route(
        TURN_ROUTE, "streaming", stateful=True, resumable=True, retain_s=RETENTION_S
    )
    world(context).add_server(TURN_ROUTE, script)
    begin(context)
    wait_until(lambda: send_turn(context, "first") == 200, "the route serves")


# Crowds


def send_kinds(context: Context, count: int, kinds: list[Kind], port: str, **more: bool) -> None:
    crowd = Crowd(address(context, port), count, kinds, **more)
    crowd.send_for(5.0, lambda: note_usage(context))


@when("{count:d} clients send all kinds for 5 s, {speed}")
def send_all_kinds(context: Context, count: int, speed: str) -> None:
    send_kinds(context, count, list(KINDS.values()), "http", is_slow=speed == "in pieces")


@when("{count:d} clients send {kind} to the {port} port for 5 s")
def send_to_port(context: Context, count: int, kind: str, port: str) -> None:
    send_kinds(context, count, [KINDS[kind]], port)


@when("{count:d} clients send {kind} for 5 s")
def send_kind(context: Context, count: int, kind: str) -> None:
    send_kinds(context, count, [KINDS[kind]], "http")


@when("{count:d} clients connect to the {port} port and say nothing")
def connect_silently(context: Context, count: int, port: str) -> None:
    host, _, number = address(context, port).partition(":")
    for _ in range(count):
        connection = socket.create_connection((host, int(number)), timeout=10.0)
        context.add_cleanup(connection.close)
        note_usage(context)
    # The listener's queue may hold the last ones for a moment.
    time.sleep(0.5)
    note_usage(context)


def send_turn(context: Context, program: str, body: bytes = b"x", **headers: str) -> int:
    """Send the first turn of a program; return the status of its answer."""
    sent = {
        "X-Program-Id": program,
        "X-Session-Id": "session",
        "X-Finish-Ms": "20000",
        "X-Token-Budget": "1000",
        "X-Token-Count": "10,100",
    }
    return world(context).ask(TURN_ROUTE, body, **{**sent, **headers}).status


@when("{clients:d} clients send {count:d} first turns with {what}")
def send_turns(context: Context, clients: int, count: int, what: str) -> None:
    def send(number: int) -> None:
        name = f"p{number}-".ljust(NAME_BYTES, "n")
        if what.startswith("program names"):
            send_turn(context, name)
        elif what.startswith("attempt ids"):
            send_turn(context, f"p{number}", **{"X-Attempt-Id": name})
        else:
            send_turn(context, f"p{number}", b"b" * 60_000)

    def send_safely(number: int) -> None:
        with contextlib.suppress(OSError):
            # A refused client may lose its connection.
            send(number)

    with ThreadPoolExecutor(clients) as pool:
        for number, _ in enumerate(pool.map(send_safely, range(count))):
            if number % 50 == 0:
                note_usage(context)


# What must hold


@then("every process lives within its memory and descriptors")
def within_machine(context: Context) -> None:
    note_usage(context)
    assert not context.ended, context.ended
    memory = {name: world(context).peak_memory_mb(name) for name in world(context).processes}
    found = {name: (round(memory[name], 1), context.descriptors[name]) for name in memory}
    assert max(memory.values()) <= MEMORY_MB, found
    assert max(context.descriptors.values()) <= MAX_DESCRIPTORS, found


@then("an ordinary request is served")
def ordinary_served(context: Context) -> None:
    def status() -> int:
        try:
            return world(context).ask(ROUTE, b"x").status
        except OSError:
            return 0

    wait_until(lambda: status() == 200, "an ordinary request is served")


@then("an ordinary turn is served in the end")
def ordinary_turn_served(context: Context) -> None:
    wait_until(lambda: send_turn(context, "ordinary") == 200, "an ordinary turn is served")


# Single requests


def exact_head(kind: str, size: int) -> bytes:
    """Return a head of a kind with exactly so many bytes."""
    target = SLOW_TARGET.replace("slow", "x").encode()
    line = {"short lines": b"ab: ", "lines without a space": b"ab:"}.get(kind)
    head = head_of(lambda number: line or b"", size - 64 if line else 0)
    head = head.replace(SLOW_TARGET.encode(), target)
    missing = size - len(head)
    if kind == "a long target":
        return head.replace(target, target + b"?" + b"q" * (missing - 1))
    return head[:-2] + b"c: " + b"v" * (missing - 5) + b"\r\n\r\n"


@then("a head of {kind} with exactly the bytes of the limit is served")
def exact_served(context: Context, kind: str) -> None:
    head = exact_head(kind, MAX_HEAD_BYTES)
    assert len(head) == MAX_HEAD_BYTES
    status = answer_status(address(context), head)
    assert status == 200, status


@then("one with a byte more is refused with 431")
def longer_refused(context: Context) -> None:
    head = exact_head("one long line", MAX_HEAD_BYTES + 1)
    status = answer_status(address(context), head)
    assert status == 431, status
