"""Helpers of steps about machines: routes with servers, and scripts of faulty servers."""

import socket
import struct
import time

from behave.runner import Context

from features.support.platform_world import (
    Arrival,
    PlatformWorld,
    QuietHandler,
    Server,
    own_headers,
)
from features.support.processes import wait_until

RETIREMENTS = "retirements"
RESET = struct.pack("ii", 1, 0)


def world(context: Context) -> PlatformWorld:
    return context.platform


def publish(context: Context) -> None:
    """Publish the configuration; wait until every gateway has it and all servers."""
    version = world(context).publish()
    servers = set(world(context).servers)
    for name in world(context).processes:
        if name.startswith("edge"):
            wait_until(lambda name=name: knows(context, name, version, servers), f"{name} knows")


def knows(context: Context, name: str, version: int, servers: set[str]) -> bool:
    lines = world(context).log(name)
    versions = [line["version"] for line in lines if line["kind"] == "ConfigurationInForce"]
    listed = {line["server"] for line in lines if line["kind"] == "ServerChanged"}
    return bool(versions) and versions[-1] >= version and servers <= listed


# Storage machines


def retire(context: Context, machine: str) -> None:
    """Request the retirement of a storage machine."""
    context.retired = machine
    world(context).store.put(RETIREMENTS, machine, {"period_s": 10})


def check_retired_within(context: Context, limit: float) -> None:
    """Wait until the machine is retired; fail if that takes longer than ``limit`` seconds."""
    started = time.monotonic()

    def is_complete() -> bool:
        item = world(context).store.get(RETIREMENTS, context.retired)
        return (item["status"] or {}).get("state") == "complete"

    wait_until(is_complete, "the retirement is complete")
    assert time.monotonic() - started < limit


# Scripts of faulty servers


def full(call: QuietHandler, arrival: Arrival) -> bool:
    call.answer(503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": arrival.attempt_id})
    return True


def silent(call: QuietHandler, arrival: Arrival) -> bool:
    call.close_connection = True
    return True


def cut_short(call: QuietHandler, arrival: Arrival) -> bool:
    call.send_response(200)
    for name, value in {**own_headers(arrival), "Content-Length": "100"}.items():
        call.send_header(name, value)
    call.end_headers()
    call.wfile.write(b"only this")
    return silent(call, arrival)


def no_http(call: QuietHandler, arrival: Arrival) -> bool:
    call.wfile.write(b"\x16\x03\x01 this is no answer\r\n\r\n")
    return silent(call, arrival)


def no_seal(call: QuietHandler, arrival: Arrival) -> bool:
    call.answer(200, b"record", {"X-Attempt-Id": arrival.attempt_id})
    return True


def unframed_and_reset(call: QuietHandler, arrival: Arrival) -> bool:
    call.send_response(200)
    for name, value in own_headers(arrival).items():
        call.send_header(name, value)
    call.end_headers()
    call.wfile.write(b"a part")
    call.wfile.flush()
    time.sleep(0.1)
    call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    call.connection.close()
    return silent(call, arrival)


def twice(call: QuietHandler, arrival: Arrival) -> bool:
    body = arrival.attempt_id.encode()
    call.answer(200, body, own_headers(arrival))
    call.answer(200, body, own_headers(arrival))
    return True


FAULTS = {
    "is cut short": cut_short,
    "is no HTTP": no_http,
    "has no seal": no_seal,
    "is unframed and reset": unframed_and_reset,
}


def arrivals(context: Context, route: str) -> list[Arrival]:
    return [arrival for server in context.by_route[route] for arrival in server.arrivals]


def add(context: Context, route: str, kind: str, *scripts, **fields) -> list[Server]:
    world(context).add_route(route, kind, **fields)
    servers = [world(context).add_server(route, script) for script in scripts]
    context.by_route[route] = servers
    publish(context)
    return servers
