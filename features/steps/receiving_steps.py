"""Steps about receiving from connections and watching for disconnected callers."""

import time

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.green import socket
from eventlet.hubs import get_hub

from yarrowwall.exceptions import CallerDisconnectedError
from yarrowwall.gateway.caller_watch import CallerWatch
from yarrowwall.sockets import Receiver


@given("a connection whose greenthread waits {wait_ms:d} ms for something else after each piece")
def connection(context: Context, wait_ms: int) -> None:
    context.near, context.far = socket.socketpair()
    context.received = []

    def receive() -> None:
        receiver = Receiver(context.near)
        while data := receiver.receive(64):
            context.received.append(data)
            eventlet.sleep(wait_ms / 1000.0)
        context.received.append(b"")
        receiver.close()

    context.started_s = time.process_time()
    context.greenthread = eventlet.spawn(receive)
    eventlet.sleep(0)


@when("{count:d} pieces arrive at once and as many one after another")
def pieces(context: Context, count: int) -> None:
    context.sent = [b"%d" % number for number in range(2 * count)]
    for piece in context.sent[:count]:
        context.far.send(piece)
    for piece in context.sent[count:]:
        eventlet.sleep(0.02)
        context.far.send(piece)
    eventlet.sleep(0.4)


@then("each byte is received once and in order")
def in_order(context: Context) -> None:
    assert b"".join(context.received) == b"".join(context.sent), context.received


@then("waiting took less than {max_ms:d} ms of processor time")
def not_busy(context: Context, max_ms: int) -> None:
    assert time.process_time() - context.started_s < max_ms / 1000.0
    context.greenthread.kill()


@when("a piece and the end of the connection arrive at once")
def piece_and_end(context: Context) -> None:
    context.far.send(b"piece")
    eventlet.sleep(0.02)
    context.far.close()
    context.greenthread.wait()


@then("the end of the connection is received after the piece")
def end_after_piece(context: Context) -> None:
    assert context.received == [b"piece", b""], context.received


@then("no listener is left")
def not_listening(context: Context) -> None:
    hub = get_hub()
    assert context.near.fileno() not in hub.listeners[hub.READ]


def _watch_caller(leave: bool, send: bytes, processing_s: float) -> tuple[bool, float]:
    """Return whether a watch noticed that a caller left, and after how many seconds."""
    near, far = socket.socketpair()
    started_s = time.monotonic()
    try:
        with CallerWatch(near):
            eventlet.sleep(0)
            far.send(send)
            if leave:
                far.close()
            eventlet.sleep(processing_s)
    except CallerDisconnectedError:
        return True, time.monotonic() - started_s
    return False, time.monotonic() - started_s


@then("a caller that disconnects while its request is processed is noticed within {max_ms:d} ms")
def disconnects(context: Context, max_ms: int) -> None:
    is_noticed, after_s = _watch_caller(leave=True, send=b"", processing_s=1.0)
    assert is_noticed
    assert after_s < max_ms / 1000.0, after_s


@then("a caller that sends its next request early is not")
def pipelines(context: Context) -> None:
    started_s = time.process_time()
    is_noticed, _ = _watch_caller(leave=False, send=b"GET", processing_s=0.1)
    assert not is_noticed
    assert time.process_time() - started_s < 0.02


@then("no listener is left for a caller that leaves after its response")
def leaves_after_response(context: Context) -> None:
    near, far = socket.socketpair()
    watch = CallerWatch(near)
    watch.start()
    watch.stop()
    far.close()
    eventlet.sleep(0.02)
    hub = get_hub()
    assert near.fileno() not in hub.listeners[hub.READ]
