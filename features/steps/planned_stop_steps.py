"""Steps about requests at gateways that are asked to stop."""

import http.client
import signal
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import arrivals, world
from features.support.platform_world import HOST, Answer, read_answer
from features.support.processes import wait_until
from yarrowwall.machine import gateway_role
from yarrowwall.machine.gateway_role import GatewayRole

GATEWAY = "edge-0"
#: Milliseconds for which callers wait by default, longer than the machines may take to stop.
DEADLINE_MS = 20_000
#: Bytes of the bodies that are sent by halves.
BODY_BYTES = 8
#: Answer of a connection that ended without one.
NO_ANSWER = 0
#: Seconds between two requests of callers that send one after the other.
PAUSE_S = 0.02
#: Seconds between two pairs of signals to a process that ends.
SIGNAL_PAUSE_S = 0.005
#: Changes of the product's code in mutants of a gateway.
MUTANTS = {
    "ends without final responses": (
        "from yarrowwall.gateway.state import GatewayState\n"
        "GatewayState.end_unanswered = lambda self: None\n"
    ),
    "says that what was sent was not sent": (
        "from yarrowwall.dispatch.sender import AttemptSender\n"
        "from yarrowwall.refusals import unavailable\n"
        "AttemptSender.refused = lambda self, reason: unavailable(reason, 0.1)\n"
    ),
    "takes streams by their route's time": (
        "from yarrowwall.policy.request_time import RequestTime\n"
        "RequestTime.latest_end = RequestTime.end\n"
    ),
}
#: Runs a machine after a change.
RUN = "import runpy\nrunpy.run_module('yarrowwall.platform', run_name='__main__')\n"


def send(
    context: Context,
    route: str,
    deadline_ms: int,
    body_bytes: int,
    connection: http.client.HTTPConnection | None = None,
) -> Answer:
    """Send a request to the gateway and return its answer.

    :param body_bytes: bytes of the body that are sent; the others never are.
    :param connection: an open connection to use; None for a new one.
    """
    if connection is None:
        connection = world(context).connect(0)
        connection.timeout = DEADLINE_MS / 1000.0
    headers = {
        "Host": HOST,
        "X-Attempt-Id": world(context).next_attempt(),
        "X-Deadline-Ms": str(deadline_ms),
        "Content-Length": str(BODY_BYTES),
    }
    started = time.monotonic()
    try:
        connection.request("POST", f"/{route}/x", b"x" * body_bytes, headers)
        return read_answer(connection, started)
    except (http.client.HTTPException, OSError):
        return Answer(NO_ANSWER, {}, b"", False, time.monotonic() - started)
    finally:
        connection.close()


def submit(context: Context, route: str, count: int, deadline_ms: int, body_bytes: int) -> None:
    """Send requests in threads; their answers are awaited by the steps that check them."""
    pool = ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    found: list[Future[Answer]] = [
        pool.submit(send, context, route, deadline_ms, body_bytes) for _ in range(count)
    ]
    context.pending = found


@given("gateway 0 is one that {mutant}")
def start_mutant(context: Context, mutant: str) -> None:
    platform = world(context)
    platform.kill(GATEWAY)
    # The platform's modules are imported first, as in a sound machine.
    imports = "from yarrowwall.eventlet_setup import patch_sockets\npatch_sockets()\n"
    command = [sys.executable, "-c", imports + MUTANTS[mutant] + RUN]
    with patch.object(platform, "command", lambda name: command):
        platform.start_machine(GATEWAY, is_gateway=True)
    wait_until(lambda: platform.is_ready(GATEWAY), "the gateway is ready")


@when("the settings of gateway 0 give it {stop_s:f} s to stop, {told} a signal")
def change_stop_time(context: Context, stop_s: float, told: str) -> None:
    path = world(context).folder / f"{GATEWAY}.toml"
    before = f"stop = {world(context).stop_s}\n"
    settings = path.read_text()
    assert before in settings, settings
    path.write_text(settings.replace(before, f"stop = {stop_s}\n"))
    if told == "with":
        world(context).kill(GATEWAY, signal.SIGHUP)


@when("gateway 0 gets SIGTERM")
def sigterm(context: Context) -> None:
    context.signalled_at = time.monotonic()
    context.stopped = world(context).kill(GATEWAY, signal.SIGTERM)


@when('gateway 0 gets SIGTERM while {count:d} callers send "{route}"')
def sigterm_while_sending(context: Context, count: int, route: str) -> None:
    submit(context, route, count, DEADLINE_MS, BODY_BYTES)
    wait_until(lambda: len(arrivals(context, route)) == count, "the requests run")
    sigterm(context)


@when('gateway 0 gets SIGTERM while {count:d} callers send half of the body of "{route}"')
def sigterm_within_bodies(context: Context, count: int, route: str) -> None:
    submit(context, route, count, DEADLINE_MS, BODY_BYTES // 2)
    time.sleep(0.5)
    sigterm(context)


@when('{count:d} callers send "{route}" {after_s:f} s after the signal')
def send_after(context: Context, count: int, route: str, after_s: float) -> None:
    send_after_for(context, count, route, after_s, DEADLINE_MS)
    wait_until(lambda: len(arrivals(context, route)) == count, "the requests run")


@when(
    '{count:d} callers send "{route}" {after_s:f} s after the signal, each for at most'
    " {deadline_ms:d} ms"
)
def send_after_for(
    context: Context, count: int, route: str, after_s: float, deadline_ms: int
) -> None:
    time.sleep(max(context.signalled_at + after_s - time.monotonic(), 0.0))
    submit(context, route, count, deadline_ms, BODY_BYTES)


@when('the time of "{route}" is raised to {time_ms:d} ms')
def raise_time(context: Context, route: str, time_ms: int) -> None:
    (found,) = [one for one in world(context).routes if one["name"] == route]
    found["timeout_ms"] = time_ms
    world(context).publish()


@when("it gets SIGHUP and SIGTERM again and again until the process is gone")
def signal_until_gone(context: Context) -> None:
    while context.stopped.poll() is None:
        for number in (signal.SIGHUP, signal.SIGTERM):
            context.stopped.send_signal(number)
        time.sleep(SIGNAL_PAUSE_S)


@given("{count:d} callers with open connections to gateway 0")
def open_connections(context: Context, count: int) -> None:
    context.kept = [world(context).connect(0) for _ in range(count)]
    for connection in context.kept:
        world(context).ask("no-route", connection=connection)


@when(
    'they send "{route}" one after the other from {after_s:f} s after the signal until the process'
    " is gone"
)
def send_until_gone(context: Context, route: str, after_s: float) -> None:
    time.sleep(max(context.signalled_at + after_s - time.monotonic(), 0.0))
    context.late_answers = []
    while context.stopped.poll() is None:
        assert context.kept, "no open connection is left"
        connection = context.kept.pop()
        context.late_answers.append(send(context, route, DEADLINE_MS, BODY_BYTES, connection))
        time.sleep(PAUSE_S)
    for connection in context.kept:
        connection.close()


@when("its shutdown has found it idle")
def found_idle(context: Context) -> None:
    role = GatewayRole.__new__(GatewayRole)
    role.gateway = context.gateway
    role._ledger = SimpleNamespace(has_unsettled=False)
    with patch.object(gateway_role, "MIN_STOP_SECONDS", 0.0):
        role.stop(time.monotonic() + 6.0)


@then("it takes no request, whenever that would end")
def takes_none(context: Context) -> None:
    now = time.monotonic()
    assert not context.gateway.has_time_for(now, now + 0.01)


@then("each of them was answered 503 or found its connection closed")
def late_ones_refused(context: Context) -> None:
    statuses = {answer.status for answer in context.late_answers}
    assert statuses <= {503, NO_ANSWER}, context.late_answers
    assert 503 in statuses, "no request came before the process was gone"


@then("each is answered {status:d}")
def each_answered(context: Context, status: int) -> None:
    context.answers = [pending.result() for pending in context.pending]
    found = [(answer.status, answer.is_whole) for answer in context.answers]
    assert found == [(status, True)] * len(found), context.answers


@then("none is answered {status:d}")
def none_answered(context: Context, status: int) -> None:
    assert not any(pending.result().status == status for pending in context.pending)


@then("the gateway has logged {count:d} refusals with {status:d}")
def logged_refusals(context: Context, count: int, status: int) -> None:
    lines = [line for line in world(context).log(GATEWAY) if line["kind"] == "AttemptRefused"]
    assert [line["status"] for line in lines] == [status] * count, lines


@then("each is answered {status:d} without Retry-After")
def answered_finally(context: Context, status: int) -> None:
    each_answered(context, status)
    assert not any("Retry-After" in answer.headers for answer in context.answers)


@then("each is answered {status:d} with Retry-After")
def answered_to_return(context: Context, status: int) -> None:
    each_answered(context, status)
    assert all(float(answer.headers["Retry-After"]) > 0.0 for answer in context.answers)


@then('the servers of "{route}" got {count:d} requests')
def servers_got(context: Context, route: str, count: int) -> None:
    assert len(arrivals(context, route)) == count, arrivals(context, route)


@then("the gateway ends with code 0 within {limit_s:f} s of the signal")
def ends_within(context: Context, limit_s: float) -> None:
    assert context.stopped.wait(timeout=2.0 * limit_s) == 0
    taken_s = time.monotonic() - context.signalled_at
    assert taken_s <= limit_s, taken_s
