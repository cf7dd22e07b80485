"""Steps about listening on connections."""

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

    context.began_s = time.process_time()
    context.greenthread = eventlet.spawn(receive)
    eventlet.sleep(0)


@when("{count:d} pieces come at once and one after another")
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


@then("waiting took less than {most_ms:d} ms of processor time")
def not_busy(context: Context, most_ms: int) -> None:
    assert time.process_time() - context.began_s < most_ms / 1000.0
    context.greenthread.kill()


@when("a piece and the end come at once")
def piece_and_end(context: Context) -> None:
    context.far.send(b"piece")
    eventlet.sleep(0.02)
    context.far.close()
    context.greenthread.wait()


@then("the end is received after the piece")
def end_behind(context: Context) -> None:
    assert context.received == [b"piece", b""], context.received


@then("nothing is listened for any more")
def not_listening(context: Context) -> None:
    hub = get_hub()
    assert context.near.fileno() not in hub.listeners[hub.READ]


def _watched(leave: bool, send: bytes, work_s: float) -> tuple[bool, float]:
    """Return whether a watch noticed that a caller left, and after how many seconds."""
    near, far = socket.socketpair()
    began_s = time.monotonic()
    try:
        with CallerWatch(near):
            eventlet.sleep(0)
            far.send(send)
            if leave:
                far.close()
            eventlet.sleep(work_s)
    except CallerDisconnectedError:
        return True, time.monotonic() - began_s
    return False, time.monotonic() - began_s


@then("a caller that leaves while its request is worked on is noticed within {most_ms:d} ms")
def leaves(context: Context, most_ms: int) -> None:
    is_noticed, after_s = _watched(leave=True, send=b"", work_s=1.0)
    assert is_noticed
    assert after_s < most_ms / 1000.0, after_s


@then("one that sends its next request meanwhile is not")
def pipelines(context: Context) -> None:
    began_s = time.process_time()
    is_noticed, _ = _watched(leave=False, send=b"GET", work_s=0.1)
    assert not is_noticed
    assert time.process_time() - began_s < 0.02


@then("nobody is told of a caller that leaves behind its answer")
def leaves_behind(context: Context) -> None:
    near, far = socket.socketpair()
    watch = CallerWatch(near)
    watch.start()
    watch.stop()
    far.close()
    eventlet.sleep(0.02)
    hub = get_hub()
    assert near.fileno() not in hub.listeners[hub.READ]
