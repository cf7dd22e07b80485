"""Steps about parts of answers, and bytes that are no answer."""

import contextlib
import http.client
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.answer_mutants import ANSWER_MUTANTS, misread
from features.support.platform_scripts import knows, publish, world
from features.support.platform_world import HOST, ROOT, Answer, read_answer
from features.support.processes import wait_until
from features.support.raw_servers import RawAnswer, RawStandIn, list_stand_in
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.platform.store import PlatformStore
from yarrowwall.ports.object_store import ObjectStoreError

KINDS = ("idempotent", "mutating", "streaming")
#: Seconds in which a part of an answer arrives at the gateway.
PART_SECONDS = 0.2
#: A whole event, so that a stream that ends after it looks complete.
_PART = b"id: 1\ndata: part\n\n"
_UNFRAMED = b"HTTP/1.1 200 OK\r\n@Content-Type: text/event-stream\r\n\r\n" + _PART
_LENGTH = b"Content-Length: %d\r\n" % len(_PART)
_EVENTS = b"Content-Type: text/event-stream\r\n"


def _answer(start: bytes = b"HTTP/1.1 200 OK", line: bytes = b"") -> RawAnswer:
    """Return an answer that is whole but for its first line or a header."""
    return RawAnswer(start + b"\r\n@" + line + _EVENTS + _LENGTH + b"\r\n" + _PART)


BROKEN_ANSWERS = {
    "the status 000": _answer(b"HTTP/1.1 000 X"),
    "the status 600": _answer(b"HTTP/1.1 600 X"),
    "the status 999": _answer(b"HTTP/1.1 999 X"),
    "a blank in a header's name": _answer(line=b"X A: b\r\n"),
    "a control byte in a header name": _answer(line=b"X\x01A: b\r\n"),
    "a Content-Encoding": _answer(line=b"Content-Encoding: gzip\r\n"),
    "half a head and a close": RawAnswer(b"HTTP/1.1 200 OK\r\n@Content-Le"),
    "half a head and a reset": RawAnswer(b"HTTP/1.1 200 OK\r\n@Content-Le", True, PART_SECONDS),
}
MAX_UPLOAD_BYTES = 16 * 1024 * 1024
DEADLINE_MS = 3000
#: Seconds by which a server's start is after the connections that the gateway has to it.
CLOCK_AHEAD_SECONDS = 60.0
#: Seconds between a store's answer and its reset, so that the answer has arrived.
STORE_PAUSE_S = 0.1


def add_stand_ins(context: Context, answer: RawAnswer) -> None:
    """Add a route of each kind with a stand-in that gives an answer."""
    context.stand_ins = {kind: RawStandIn(answer) for kind in KINDS}
    world(context).limits["max_body_bytes"] = MAX_UPLOAD_BYTES
    for kind, stand_in in context.stand_ins.items():
        context.add_cleanup(stand_in.close)
        world(context).add_route(kind, kind, attempts=1)
    listed = {
        list_stand_in(world(context), kind, stand_in)
        for kind, stand_in in context.stand_ins.items()
    }
    publish(context)
    wait_until(lambda: knows(context, "edge-0", world(context).version, listed), "all are listed")


def ask(context: Context, kind: str, body: bytes) -> Answer | None:
    """Return the answer to a request on a route; None if its connection ends without one."""
    connection = world(context).connect()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": world(context).next_attempt(),
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Token-Count": "10,10",
    }
    with contextlib.closing(connection):
        try:
            connection.request("POST", f"/{kind}/x", body, headers)
            return read_answer(connection, 0.0)
        except (OSError, http.client.HTTPException):
            return None


@given(
    "a server of each kind of route that answers an upload with a part without a length and "
    "resets it {pause_s:f} s later"
)
def resetting_servers(context: Context, pause_s: float) -> None:
    add_stand_ins(context, RawAnswer(_UNFRAMED, is_reset=True, pause_s=pause_s))


@given(
    "a server of each kind of route that answers an upload without a length and reads the rest "
    "of it"
)
def orderly_servers(context: Context) -> None:
    add_stand_ins(context, RawAnswer(_UNFRAMED))


@given("a server of each kind of route that answers with a part without a length and waits")
def waiting_servers(context: Context) -> None:
    add_stand_ins(context, RawAnswer(_UNFRAMED, pause_s=DEADLINE_MS / 1000.0))


@when("its entry says that it started again while a request on each kind of route is answered")
def servers_start_again(context: Context) -> None:
    with ThreadPoolExecutor(len(KINDS)) as pool:
        asked = {kind: pool.submit(ask, context, kind, b"x") for kind in KINDS}
        for kind, stand_in in context.stand_ins.items():
            wait_until(lambda stand_in=stand_in: bool(stand_in.heads), "the request is answered")
            time.sleep(PART_SECONDS)
            start_ms = int((time.time() + CLOCK_AHEAD_SECONDS) * 1000)
            list_stand_in(world(context), kind, stand_in, start_ms)
        context.answers = {kind: answer.result() for kind, answer in asked.items()}


@given("a server of each kind of route whose answers have {what}")
def broken_heads(context: Context, what: str) -> None:
    add_stand_ins(context, BROKEN_ANSWERS[what])


@when("a request is sent on each kind of route")
def send_requests(context: Context) -> None:
    context.answers = {kind: ask(context, kind, b"x") for kind in KINDS}


@then("each caller got {status:d}")
def each_got(context: Context, status: int) -> None:
    found = {kind: answer and answer.status for kind, answer in context.answers.items()}
    assert found == dict.fromkeys(KINDS, status), found


@when("an upload of {size:d} bytes is sent on each kind of route")
def send_uploads(context: Context, size: int) -> None:
    context.answers = {kind: ask(context, kind, b"u" * size) for kind in KINDS}


@then("no caller got a success")
def no_success(context: Context) -> None:
    asked = {kind: len(stand_in.heads) for kind, stand_in in context.stand_ins.items()}
    assert all(asked.values()), asked
    whole = {
        kind: answer
        for kind, answer in context.answers.items()
        if answer is not None and answer.status < 300 and answer.is_whole
    }
    assert not whole, whole


@then("each caller got the whole answer")
def each_whole(context: Context) -> None:
    for kind, answer in context.answers.items():
        assert answer is not None and answer.status == 200 and answer.is_whole, (kind, answer)
        assert answer.body == _PART, (kind, answer)


# The store


@given("a store that answers a write without a length and resets it")
def resetting_store(context: Context) -> None:
    context.stand_in = RawStandIn(
        RawAnswer(b"HTTP/1.1 200 OK\r\n\r\n{}", is_reset=True, pause_s=STORE_PAUSE_S)
    )
    context.add_cleanup(context.stand_in.close)


@when("an object of {size:d} bytes is written there")
def write_object(context: Context, size: int) -> None:
    context.error = None
    try:
        PlatformStore(context.stand_in.address).create("config", "main", {"text": "u" * size})
    except ObjectStoreError as error:
        context.error = error


@given("a connection that takes any end for an orderly one")
def any_end(context: Context) -> None:
    mutant = patch.object(ServerConnection, "_check_end", lambda self: None)
    mutant.start()
    context.add_cleanup(mutant.stop)


@then("the write counts as acknowledged")
def acknowledged(context: Context) -> None:
    assert context.error is None, context.error


@then("the write counts as not acknowledged")
def not_acknowledged(context: Context) -> None:
    assert context.stand_in.heads, "the store got no request"
    assert context.error is not None


# The listed answers


@then("the listed answers are read as listed in pieces of each size")
def read_as_listed(context: Context) -> None:
    assert not misread(), misread()[:10]


@given("a reader of answers that {mutant}")
def mutant_reader(context: Context, mutant: str) -> None:
    replaced = ANSWER_MUTANTS[mutant]()
    replaced.__enter__()
    context.add_cleanup(replaced.__exit__, None, None, None)


@then("some of the listed answers are not read as listed")
def mutant_found(context: Context) -> None:
    found = misread()
    assert found
    print(f"{len(found)} answers, {found[:5]}")


# Lookups of `yarrowwall node`

_RECORD = b"{}\n"
RECORD_ANSWERS = {
    "a part without a length and a reset": RawAnswer(
        b"HTTP/1.1 200 OK\r\n\r\n" + _RECORD, True, PART_SECONDS
    ),
    "a broken header before chunks": RawAnswer(
        b"HTTP/1.1 200 OK\r\nX A: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n"
    ),
    "a signed size of a chunk": RawAnswer(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\n{}\n\r\n0\r\n\r\n"
    ),
    "the status 600": RawAnswer(b"HTTP/1.1 600 X\r\nContent-Length: 3\r\n\r\n" + _RECORD),
    "half a head and a reset": RawAnswer(b"HTTP/1.1 200 OK\r\nContent-Le", True, PART_SECONDS),
    "a length": RawAnswer(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + _RECORD),
    "no length and an orderly end": RawAnswer(b"HTTP/1.1 200 OK\r\n\r\n" + _RECORD),
}


ODD_ITEMS = {
    "an empty object": b"{}",
    "a figure": b"5",
    "an infinite version": b'{"name":"odd","version":1e999,"body":""}',
}


@given("a record server that answers with {what}")
def record_server(context: Context, what: str) -> None:
    context.stand_in = RawStandIn(RECORD_ANSWERS[what])
    context.add_cleanup(context.stand_in.close)


@then("a lookup there has {outcome}")
def lookup_outcome(context: Context, outcome: str) -> None:
    expected = None if outcome == "no answer" else _RECORD
    assert run_standalone("lookup", context.stand_in.address) == repr(expected)


def run_standalone(what: str, address: str) -> str:
    """Return what a client of `yarrowwall node` takes of an answer; empty if it takes nothing."""
    command = [sys.executable, "-m", "features.support.standalone_process", what, address]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return found.stdout.strip()


@given("a platform whose answer to a watch has {what} before a document")
def odd_platform(context: Context, what: str) -> None:
    body = b'{"revision":1,"objects":[%b,{"name":"good","version":1,"body":""}]}' % ODD_ITEMS[what]
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    context.stand_in = RawStandIn(RawAnswer(head + body))
    context.add_cleanup(context.stand_in.close)


@then("the document is followed")
def document_followed(context: Context) -> None:
    assert run_standalone("watch", context.stand_in.address) == repr("good")
