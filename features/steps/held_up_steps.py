"""Steps about a process that is blocked while replies arrive and timeouts expire."""

import socket
import struct
import threading
import time
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import patcher
from eventlet.green import socket as green_socket

from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.replicated import (
    AskStatus,
    GroupView,
    KeysReply,
    Member,
    ReadOwner,
    ReplyStatus,
    StatusReply,
)
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.sockets import open_socket, receive

_HEADER = struct.Struct(">II")
_STATUS = StatusReply("storage-0", "disk-0", 1, True, 1)
_KEYS = KeysReply(ReplyStatus.OK, True, [], [], [], "", None)
#: Timeout of the first request, which only opens the connection.
_FIRST_TIMEOUT_S = 2.0
#: Seconds from the start of a request until the process is blocked.
_BLOCKED_AFTER_S = 0.02


def _answer(listener: socket.socket, delay_s: float) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=_serve, args=(connection, delay_s), daemon=True).start()


def _serve(connection: socket.socket, delay_s: float) -> None:
    with connection, connection.makefile("rb") as source:
        while header := source.read(_HEADER.size):
            length, number = _HEADER.unpack(header)
            message = decode(source.read(length))
            time.sleep(delay_s)
            body = encode(_KEYS if isinstance(message, ReadOwner) else _STATUS)
            connection.sendall(_HEADER.pack(len(body), number) + body)


@given("a replica in another thread that answers after {delay:d} ms")
def replica_in_thread(context: Context, delay: int) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    threading.Thread(target=_answer, args=(listener, delay / 1000.0), daemon=True).start()
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"


@when("the process is blocked for {blocked:d} ms during a request with a timeout of {limit:d} ms")
def process_blocked(context: Context, blocked: int, limit: int) -> None:
    context.blocked_s, context.limit_s = blocked / 1000.0, limit / 1000.0


def _block_process(context: Context) -> None:
    """Block the process soon, within a read; afterwards expired timeouts are handled first."""
    near, far = green_socket.socketpair()

    def block() -> None:
        near.recv(1)
        patcher.original("time").sleep(context.blocked_s)

    eventlet.spawn(block)
    eventlet.spawn_after(_BLOCKED_AFTER_S, far.send, b"x")


@then("a reply is received")
def reply_received(context: Context) -> None:
    link = LinkTable(DecisionLog("edge-0"), time.monotonic).get(context.address)
    link.call(AskStatus(0), _FIRST_TIMEOUT_S)
    _block_process(context)
    assert link.call(AskStatus(0), context.limit_s) == _STATUS


@then("the reply of a quorum is received")
def quorum_received(context: Context) -> None:
    views = GroupViews()
    views.update(GroupView(0, 1, [Member("storage-0", "disk-0", context.address, "zone-a")], []))
    links = LinkTable(DecisionLog("edge-0"), time.monotonic)
    client = QuorumClient("zone-a", views, links, time.monotonic)
    client.check(0, _FIRST_TIMEOUT_S)
    _block_process(context)
    client.check(0, context.limit_s)


@then("a piece of an answer is received")
def piece_received(context: Context) -> None:
    connection: Any = open_socket(context.address, _FIRST_TIMEOUT_S)
    body = encode(AskStatus(0))
    connection.sendall(_HEADER.pack(len(body), 1) + body)
    _block_process(context)
    assert receive(connection, 1, context.limit_s)
    connection.close()
