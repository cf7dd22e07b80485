"""Steps about messages that their receiver cannot read."""

import contextlib
import json
import os
import socket
import struct
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.green import socket as green_socket

from yarrowwall.decisions import Decision, DecisionLog
from yarrowwall.messages.codec import encode
from yarrowwall.messages.relaying import Forward, Forwarded, ForwardStatus, Neighbour
from yarrowwall.messages.replicated import AskStatus, StatusReply
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.forwarding import ForwardHandler
from yarrowwall.replication.relayed_links import RelayedLinkTable
from yarrowwall.replication.rpc import Link, serve_requests

ANSWER = StatusReply("storage-0", "disk", 1, True, 1)
#: A message of a later release: a type code that is not yet in use, and a body.
UNKNOWN_MESSAGE = struct.pack(">H", 65000) + b"later"
HEADER = struct.Struct(">II")
#: Groups of the requests: two requests that stay in flight, and another one.
GROUPS = FIRST, SECOND, OTHER = (0, 1, 2)
#: The group for which the replica raises an exception.
FAILING = 9
#: Timeout of a request, and the maximum wait for an expected event.
TIMEOUT_S = 0.15
MAX_WAIT_S = 2.0


class _LogLines:
    """A decision log and the lines that it wrote.

    :ivar decisions: all decisions, written or not.
    """

    def __init__(self, context: Context) -> None:
        descriptor, name = tempfile.mkstemp()
        context.add_cleanup(os.close, descriptor)
        self._path = Path(name)
        context.add_cleanup(self._path.unlink)
        self.decisions: list[Decision] = []
        self.log = DecisionLog("storage-0", self.decisions.append, descriptor)

    def of(self, kind: str) -> list[dict[str, Any]]:
        """Return the lines of the given kind."""
        lines = [json.loads(line) for line in self._path.read_text().splitlines()]
        return [line for line in lines if line["kind"] == kind]


class _Peer:
    """A scripted connection to the replica under test."""

    def __init__(self, context: Context, address: tuple[str, int]) -> None:
        self._socket = green_socket.create_connection(address, MAX_WAIT_S)
        context.add_cleanup(self._socket.close)
        self.address = "{}:{}".format(*self._socket.getsockname())

    def send(self, number: int, body: bytes, length: int | None = None) -> None:
        """Send a frame, with the wrong length if one is given."""
        size = len(body) if length is None else length
        self._socket.sendall(HEADER.pack(size, number) + body)

    def answered(self, count: int) -> list[int]:
        """Return the numbers of the next frames, each of which must hold the answer."""
        numbers = []
        for _ in range(count):
            length, number = HEADER.unpack(self._read(HEADER.size))
            assert self._read(length) == encode(ANSWER)
            numbers.append(number)
        return numbers

    def is_closed(self) -> bool:
        """Return whether the connection ends without another byte."""
        try:
            return not self._socket.recv(1)
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False

    def _read(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            piece = self._socket.recv(size - len(data))
            assert piece, "the connection was closed"
            data += piece
        return data


def _wait_until(condition: Callable[[], object], limit_s: float = MAX_WAIT_S) -> None:
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "not within the time"
        eventlet.sleep(0.01)


def _assert_line(lines: _LogLines, count: int, kind: str, reason: str) -> list[str]:
    """Wait for the lines of a kind, check their reason and return their peers."""
    _wait_until(lambda: len(lines.of(kind)) >= count)
    found = lines.of(kind)
    assert len(found) == count, found
    assert all(reason in line["reason"] for line in found), found
    return [line["peer"] for line in found]


# A replica that receives requests


def _answer(request: object, reply: Callable[[object], None]) -> None:
    if request == AskStatus(FAILING):
        raise KeyError(FAILING)
    reply(ANSWER)


@given("a replica that logs what it cannot read")
def logging_replica(context: Context) -> None:
    context.lines = _LogLines(context)
    listener = eventlet.listen(("127.0.0.1", 0))
    context.address = listener.getsockname()
    serving = eventlet.spawn(serve_requests, listener, _answer, context.lines.log)
    context.add_cleanup(listener.close)
    context.add_cleanup(serving.kill)


@given("another peer that is connected")
def other_peer(context: Context) -> None:
    context.other = _Peer(context, context.address)
    context.other.send(1, encode(AskStatus(0)))
    assert context.other.answered(1) == [1]


@when("a peer sends it a known request, one of a later release and a known one")
def later_among_known(context: Context) -> None:
    context.peer = _Peer(context, context.address)
    context.peer.send(1, encode(AskStatus(0)))
    context.peer.send(2, UNKNOWN_MESSAGE)
    context.peer.send(3, encode(AskStatus(0)))


@then("both known requests are answered on that connection")
def both_known_answered(context: Context) -> None:
    assert context.peer.answered(2) == [1, 3]


@then('its log has {count:d} line "{kind}" with "{reason}" of that peer')
def replica_line(context: Context, count: int, kind: str, reason: str) -> None:
    assert _assert_line(context.lines, count, kind, reason) == [context.peer.address] * count


@when("a peer sends it {count:d} requests of a later release within {seconds:f} s")
def many_later(context: Context, count: int, seconds: float) -> None:
    context.peer = _Peer(context, context.address)
    for number in range(1, count + 1):
        context.peer.send(number, UNKNOWN_MESSAGE)
        eventlet.sleep(seconds / count)
    _wait_until(lambda: len(context.lines.decisions) == count)


@then('its log has a line "{kind}" for each second at most')
def line_a_second(context: Context, kind: str) -> None:
    seconds = [int(line["time"]) for line in context.lines.of(kind)]
    assert 2 <= len(seconds) == len(set(seconds)), seconds


@then("with the omitted lines {count:d} messages were counted")
def all_counted(context: Context, count: int) -> None:
    # The number of omitted lines is logged with the first line of a later second.
    eventlet.sleep(1.0)
    context.peer.send(count + 1, UNKNOWN_MESSAGE)
    _wait_until(lambda: len(context.lines.decisions) == count + 1)
    written = len(context.lines.of("MessageDropped")) - 1
    left_out = sum(line["count"] for line in context.lines.of("LinesLeftOut"))
    assert written + left_out == count, (written, left_out)


@then("a known request is answered on that connection")
def known_answered(context: Context) -> None:
    context.peer.send(7, encode(AskStatus(0)))
    assert context.peer.answered(1) == [7]


@when("a peer sends it {what}")
def sends_no_message(context: Context, what: str) -> None:
    context.peer = _Peer(context, context.address)
    if what == "a frame of 64 MB and a byte":
        context.peer.send(1, b"", 64 * 1024 * 1024 + 1)
    elif what == "a known message cut short":
        context.peer.send(1, encode(AskStatus(0))[:2])
    elif what == "a frame without a type code":
        context.peer.send(1, b"")
    else:
        raise AssertionError(what)


@when("it fails on a peer's request")
def sends_failing(context: Context) -> None:
    context.peer = _Peer(context, context.address)
    context.peer.send(1, encode(AskStatus(FAILING)))


@then('its log has 1 line "InternalFault" whose trace has "{text}"')
def fault_line(context: Context, text: str) -> None:
    _wait_until(lambda: context.lines.of("InternalFault"))
    (line,) = context.lines.of("InternalFault")
    assert text in line["trace"], line


@then("its connection is closed")
def peer_closed(context: Context) -> None:
    assert context.peer.is_closed()


@then("the other peer's known request is answered on its connection")
def other_answered(context: Context) -> None:
    context.other.send(2, encode(AskStatus(0)))
    assert context.other.answered(1) == [2]


# Neighbours


def _relayed_links(context: Context) -> RelayedLinkTable:
    context.lines = _LogLines(context)
    return RelayedLinkTable("edge-1", context.lines.log, time.monotonic)


@given("a neighbour that logs what it cannot read")
def logging_neighbour(context: Context) -> None:
    context.forwarder = ForwardHandler(_relayed_links(context), lambda address: True)


@when('gateway "{name}" asks it to forward {what}')
def asks_to_forward(context: Context, name: str, what: str) -> None:
    body = {
        "a request of a later release": UNKNOWN_MESSAGE,
        "a request cut short": encode(AskStatus(0))[:2],
    }
    context.replies = []
    context.forwarder.handle(Forward(name, "127.0.0.1:9", body[what]), context.replies.append)


@then("it refuses to forward it")
def refuses(context: Context) -> None:
    assert context.replies == [Forwarded(ForwardStatus.REFUSED, b"")], context.replies


@given('a gateway that sends through neighbour "{name}" and logs what it cannot read')
def gateway_with_neighbour(context: Context, name: str) -> None:
    context.links = _relayed_links(context)
    context.neighbour = Neighbour(name, "zone-a", "127.0.0.1:9")


@when("the neighbour returns {what}")
def neighbour_answers(context: Context, what: str) -> None:
    body = {
        "an answer of a later release": UNKNOWN_MESSAGE,
        "an answer cut short": encode(ANSWER)[:4],
    }
    forwarded = Forwarded(ForwardStatus.OK, body[what])
    context.read = context.links.unwrap_reply(context.neighbour, forwarded)


@then("the request has no answer from it")
def no_answer_read(context: Context) -> None:
    assert context.read is None


@then('its log has {count:d} line "{kind}" with "{reason}" from "{name}"')
def neighbour_line(context: Context, count: int, kind: str, reason: str, name: str) -> None:
    assert _assert_line(context.lines, count, kind, reason) == [name] * count


# A link to a replica of a later release


class _LaterReleaseReplica:
    """Answers the frames of a link with bytes that the scenario chooses.

    :ivar body_of: returns the answer for a group; None to delay it.
    """

    def __init__(self, context: Context) -> None:
        self.connections = 0
        self.body_of: Callable[[int], bytes | None] = lambda group: encode(ANSWER)
        self._open: list[socket.socket] = []
        self._waiting: list[tuple[socket.socket, int]] = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*listener.getsockname())
        accepting = eventlet.spawn(self._accept, listener)
        context.add_cleanup(listener.close)
        context.add_cleanup(accepting.kill)

    def answer_waiting(self) -> None:
        """Answer the requests whose answers were delayed."""
        waiting, self._waiting = self._waiting, []
        for connection, number in waiting:
            self._answer(connection, number, encode(ANSWER))

    def _accept(self, listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        while len(header := stream.read(HEADER.size)) == HEADER.size:
            length, number = HEADER.unpack(header)
            request = stream.read(length)
            group = next(group for group in GROUPS if request == encode(AskStatus(group)))
            body = self.body_of(group)
            if body is None:
                self._waiting.append((connection, number))
            else:
                self._answer(connection, number, body)
        stream.close()
        connection.close()

    @staticmethod
    def _answer(connection: socket.socket, number: int, body: bytes) -> None:
        with contextlib.suppress(OSError):
            connection.sendall(HEADER.pack(len(body), number) + body)


@given("a link to a replica of a later release")
def link_to_later(context: Context) -> None:
    context.lines = _LogLines(context)
    context.replica = _LaterReleaseReplica(context)
    context.link = Link(context.replica.address, context.lines.log, time.monotonic)
    context.add_cleanup(context.link.close)
    assert context.link.call(AskStatus(FIRST), TIMEOUT_S) == ANSWER


@when("two requests are in flight and another one's answer is {what}")
def requests_in_flight(context: Context, what: str) -> None:
    other = {"of a later release": UNKNOWN_MESSAGE, "cut short": encode(ANSWER)[:4]}[what]
    context.replica.body_of = lambda group: other if group == OTHER else None
    context.replies = {}
    for group in GROUPS:
        context.link.post(
            AskStatus(group), lambda reply, group=group: context.replies.update({group: reply})
        )
    eventlet.sleep(TIMEOUT_S)


@then("both requests are answered")
def both_answered(context: Context) -> None:
    context.replica.answer_waiting()
    _wait_until(lambda: FIRST in context.replies and SECOND in context.replies)
    assert context.replies[FIRST] == context.replies[SECOND] == ANSWER, context.replies


@then("the other one has no answer in time")
def other_unanswered(context: Context) -> None:
    eventlet.sleep(TIMEOUT_S)
    assert OTHER not in context.replies


@then("the link has had {count:d} connection")
def had_connections(context: Context, count: int) -> None:
    assert context.replica.connections == count, context.replica.connections


@then('the link\'s log has {count:d} line "{kind}" with "{reason}"')
def link_line(context: Context, count: int, kind: str, reason: str) -> None:
    peers = _assert_line(context.lines, count, kind, reason)
    assert peers == [context.replica.address] * count, peers


@when("all answers are of a later release for {seconds:f} s")
def all_later(context: Context, seconds: float) -> None:
    context.replica.body_of = lambda group: UNKNOWN_MESSAGE
    context.answered = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(LinkDownError):
            context.link.call(AskStatus(FIRST), TIMEOUT_S)
            context.answered += 1


@then("no request was answered")
def none_answered(context: Context) -> None:
    assert context.answered == 0


@then("all three end without an answer within {seconds:f} s")
def all_end(context: Context, seconds: float) -> None:
    _wait_until(lambda: len(context.replies) == len(GROUPS), seconds)
    assert set(context.replies.values()) == {None}, context.replies


@then("a new request is answered")
def new_answered(context: Context) -> None:
    context.replica.body_of = lambda group: encode(ANSWER)
    assert context.link.call(AskStatus(FIRST), 2 * TIMEOUT_S) == ANSWER
    assert context.replica.connections == 2
