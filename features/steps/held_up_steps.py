"""Steps about a process that does not run while its replies arrive and its time-outs pass."""

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
#: Seconds in which a question is answered that only opens the connection.
_FIRST_S = 2.0
#: Seconds from the start of a question to the moment at which the process is held up.
_BEGUN_S = 0.02


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


@given("a replica in a thread of its own that answers after {delay:d} ms")
def replica_in_thread(context: Context, delay: int) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    threading.Thread(target=_answer, args=(listener, delay / 1000.0), daemon=True).start()
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"


@when("the process is held up for {held:d} ms behind a question with {limit:d} ms")
def held_up(context: Context, held: int, limit: int) -> None:
    context.held_s, context.limit_s = held / 1000.0, limit / 1000.0


def _hold_up(context: Context) -> None:
    """Let the process stand still soon, as behind a read: time-outs come first then."""
    near, far = green_socket.socketpair()

    def stand_still() -> None:
        near.recv(1)
        patcher.original("time").sleep(context.held_s)

    eventlet.spawn(stand_still)
    eventlet.spawn_after(_BEGUN_S, far.send, b"x")


@then("a reply is there")
def reply_there(context: Context) -> None:
    link = LinkTable(DecisionLog("edge-0"), time.monotonic).get(context.address)
    link.call(AskStatus(0), _FIRST_S)
    _hold_up(context)
    assert link.call(AskStatus(0), context.limit_s) == _STATUS


@then("the reply of a quorum is there")
def quorum_there(context: Context) -> None:
    views = GroupViews()
    views.update(GroupView(0, 1, [Member("storage-0", "disk-0", context.address, "zone-a")], []))
    links = LinkTable(DecisionLog("edge-0"), time.monotonic)
    client = QuorumClient("zone-a", views, links, time.monotonic)
    client.check(0, _FIRST_S)
    _hold_up(context)
    client.check(0, context.limit_s)


@then("a piece of an answer is there")
def piece_there(context: Context) -> None:
    connection: Any = open_socket(context.address, _FIRST_S)
    body = encode(AskStatus(0))
    connection.sendall(_HEADER.pack(len(body), 1) + body)
    _hold_up(context)
    assert receive(connection, 1, context.limit_s)
    connection.close()
