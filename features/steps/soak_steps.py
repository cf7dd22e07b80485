"""Steps about the randomized soak test and its checks."""

import signal
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from features.soak.client import Client
from features.soak.disks import Disks
from features.soak.disruptions import SETTLE_S
from features.soak.promises import LOSS_SLACK_S, AttemptEnd, Record, SentRequest
from features.soak.run import play
from features.soak.turns import Program, Turn, send_turn
from features.soak.world import LOOKUP, SoakWorld
from features.support.platform_world import QuietHandler, address_of, event, serve
from features.support.processes import wait_until

CLIENTS = 4
#: Folder for the logs of a seed that violated a guarantee.
KEPT_LOGS = Path(tempfile.gettempdir()) / "yarrowwall-soak"
BUDGET = 20
GATEWAY = "edge-0"
REPLICA = "storage-0"
#: Seconds within which a group must be complete again; it takes about 2 s.
GROUP_S = 10.0


@then("{seconds:d} s of the soak with seed {seed:d} violate no guarantee")
def soak_holds(context: Context, seconds: int, seed: int) -> None:
    result = play(seed, float(seconds), CLIENTS, keep=KEPT_LOGS)
    assert not result.violations, result
    assert all(final["returned"]["programs"] for final in result.finals), result


def answered(record: Record, events: int = 1) -> None:
    record.note_started("a", b"body")
    body = b"".join(event(number) for number in range(1, events + 1))
    record.note_ended("a", AttemptEnd(200, True, body))


def refused(record: Record, status: int) -> None:
    record.note_started("a", b"body")
    record.note_ended("a", AttemptEnd(status, True, b""))


def cut(record: Record, status: int = 0, lasted_s: float = 0.1, after_s: float = 0.0) -> None:
    """Record an attempt that was cut by a planned operation on its gateway.

    :param after_s: seconds from now until it is sent.
    """
    with record.disruptions.planned(GATEWAY, after_s):
        sent_at = time.monotonic() + after_s
        record.note_sent("a", SentRequest(GATEWAY, sent_at))
        record.note_ended("a", AttemptEnd(status, False, b"", sent_at + lasted_s))


def cut_while_queued(record: Record) -> None:
    record.note_admitted(["a"])
    cut(record, lasted_s=2 * LOSS_SLACK_S)


def cut_at_server(record: Record) -> None:
    record.note_started("a", b"body")
    cut(record)


def cut_during_fault(record: Record) -> None:
    with record.disruptions.unplanned("server cut"):
        cut_at_server(record)


def cut_after_fault(record: Record, after_s: float) -> None:
    with record.disruptions.unplanned("server cut"):
        record.note_started("a", b"body")
    cut(record, after_s=after_s)


def cut_by_server(record: Record) -> None:
    record.note_broken_off("a")
    cut_at_server(record)


def continued(record: Record) -> None:
    record.note_continued("t", GATEWAY, ["a"])


def continued_and_reached(record: Record) -> None:
    record.note_started("a", b"body")
    continued(record)


class AnsweringClient(Client):
    """A client whose attempts all get the same status."""

    def __init__(self, status: int) -> None:
        self._status = status

    def send(self, *asked: object) -> AttemptEnd:
        return AttemptEnd(self._status, True, b"")


def continue_turn(record: Record, status: int) -> None:
    program = Program("p", BUDGET, time.monotonic())
    send_turn(AnsweringClient(status), record, GATEWAY, program, "a", Turn("t", b"body"))


def send_to(record: Record, answer: Callable[[QuietHandler], None], attempts: int) -> None:
    """Send attempts to a scripted gateway over persistent connections."""

    class Handler(QuietHandler):
        def do_POST(self) -> None:
            self.body()
            answer(self)

    gateway = serve(Handler)
    try:
        world = SimpleNamespace(addresses={GATEWAY: {"http": address_of(gateway)}})
        with Client(world, record) as client:
            for _ in range(attempts):
                client.send(GATEWAY, LOOKUP, "a", b"body", {})
                # Bytes after a response must have arrived before the next attempt is sent.
                time.sleep(0.1)
    finally:
        gateway.shutdown()
        gateway.server_close()


def answer_with_extra_response(call: QuietHandler) -> None:
    call.answer(200, b"record")
    if not hasattr(call.server, "has_answered"):
        call.server.has_answered = True
        call.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def answer_and_end(call: QuietHandler) -> None:
    call.answer(200, b"record")
    call.close_connection = True


ATTEMPTS = {
    "was answered": answered,
    "ran twice": lambda record: [answered(record), answered(record)],
    "was refused and ran": lambda record: refused(record, 503),
    "was refused for its spent budget and ran": lambda record: refused(record, 402),
    "ran with another body": lambda record: record.note_started("a", b"other"),
    "no client sent": lambda record: record.note_started("b", b"body"),
    "emitted more than the budget": lambda record: answered(record, events=8),
    "was at a server when a planned stop cut it": cut_at_server,
    "was queued when a planned stop cut it": cut_while_queued,
    "was half answered when a planned stop cut it": lambda record: cut(record, 200),
    "continues a turn and reached no server": continued,
    "continues a turn and got 404": lambda record: continue_turn(record, 404),
    "continues a turn and got 410": lambda record: continue_turn(record, 410),
    "got the answer of another": lambda record: send_to(
        record, lambda call: call.answer(200, b"record", {"X-Attempt-Id": "b"}), 1
    ),
    "was sent after unexpected bytes": lambda record: send_to(
        record, answer_with_extra_response, 2
    ),
    "was cut by a planned stop during a fault": cut_during_fault,
    "was cut by a planned stop soon after a fault": lambda record: cut_after_fault(
        record, SETTLE_S / 2.0
    ),
    "was cut by a planned stop long after a fault": lambda record: cut_after_fault(
        record, SETTLE_S * 2.0
    ),
    "was broken off by its server in a planned stop": cut_by_server,
    "was unread at a planned stop": cut,
    "continued a turn and reached a server": continued_and_reached,
    "was sent over a connection that was closed": lambda record: send_to(record, answer_and_end, 2),
}


@given('a soak\'s record with an attempt that "{broken}"')
def broken_record(context: Context, broken: str) -> None:
    context.record = Record()
    context.record.note_program("p", BUDGET)
    context.record.note_attempt("a", b"body", "p")
    ATTEMPTS[broken](context.record)


@then('the record shows only "{promise}"')
def shows_only(context: Context, promise: str) -> None:
    found = context.record.violations()
    assert len(found) == 1 and found[0].startswith(promise + ":"), found


@then("the record shows nothing")
def shows_nothing(context: Context) -> None:
    assert context.record.violations() == []


@when("a soak's client sends {count:d} attempts to a gateway that {way} connections")
def client_sends(context: Context, count: int, way: str) -> None:
    context.callers = set()

    def answer(call: QuietHandler) -> None:
        context.callers.add(call.client_address)
        call.answer(200, b"record", {"Connection": "close"} if way == "closes" else {})

    send_to(Record(), answer, count)


@then("they came over {count:d} connection")
@then("they came over {count:d} connections")
def arrived_over(context: Context, count: int) -> None:
    assert len(context.callers) == count, context.callers


@given("a soak's machines")
def machines(context: Context) -> None:
    context.record = Record()
    context.world = SoakWorld(context.record, 1)
    context.add_cleanup(context.world.__exit__)
    context.world.__enter__()


@when("a gateway ends by itself")
def exits_unexpectedly(context: Context) -> None:
    process = context.world.processes[GATEWAY]
    process.kill()
    process.wait()
    context.world.check_all_running()


@when("a gateway starts again and gets SIGHUP as soon as it listens")
def signalled_at_start(context: Context) -> None:
    world = context.world
    world.kill(GATEWAY)
    world.restart(GATEWAY)
    wait_until(lambda: listens(world.addresses[GATEWAY]["http"]), f"{GATEWAY} listens")
    world.kill(GATEWAY, signal.SIGHUP)
    wait_until(lambda: has_ended_or_started(world), f"{GATEWAY} has started")
    world.check_all_running()


def listens(address: str) -> bool:
    host, _, port = address.partition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True


def has_ended_or_started(world: SoakWorld) -> bool:
    return world.processes[GATEWAY].poll() is not None or world.has_started(GATEWAY)


@when("a replica loses its disk and {then_does}")
def loses_disk(context: Context, then_does: str) -> None:
    world = context.world
    disruptions = context.record.disruptions
    context.disks = Disks(world, disruptions, GROUP_S)
    world.kill(REPLICA)
    context.loss = context.disks.lose(REPLICA)
    if then_does == "starts again":
        world.restart(REPLICA)


@then("its group is complete again")
def group_complete(context: Context) -> None:
    context.disks.wait_copied(context.loss, fault=0)


@then("its group is not complete again")
def group_not_complete(context: Context) -> None:
    try:
        group_complete(context)
    except AssertionError:
        return
    raise AssertionError("the lost disk was not detected")
