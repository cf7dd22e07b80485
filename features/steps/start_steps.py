"""Steps about process starts, late answers and reports of failed programs."""

import json
import socket
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from click import Command
from click.testing import CliRunner

from features.support.platform_scripts import add, arrivals, full, silent, world
from features.support.platform_world import Arrival, QuietHandler
from features.support.processes import free_addresses, wait_until
from yarrowwall.addresses import split_address
from yarrowwall.capacity.admission_client import NO_CAPACITY
from yarrowwall.cli.conversations import conversations
from yarrowwall.cli.failures import failures
from yarrowwall.machine.listeners import EarlyListeners
from yarrowwall.platform.store import PlatformStore
from yarrowwall.policy.latency import RetryBudget
from yarrowwall.ports.object_store import ObjectStoreError

#: Seconds for which a silent server keeps a request's connection open.
SILENT_SECONDS = 4.0


@given("a listening socket that is opened early")
def early_socket(context: Context) -> None:
    context.address, context.unused = free_addresses(2)
    context.listeners = EarlyListeners([context.address, context.unused])


@when("a caller sends data before the socket is taken")
def early_caller(context: Context) -> None:
    context.caller = socket.create_connection(split_address(context.address), timeout=2.0)
    context.caller.sendall(b"hello")


@then("the data can be received once the socket is taken")
def early_socket_taken(context: Context) -> None:
    listener = context.listeners.take(context.address)
    connection, _ = listener.accept()
    assert connection.recv(16) == b"hello"
    for used in (connection, context.caller, listener):
        used.close()


@then("a socket that was not taken is closed at the end")
def early_closed(context: Context) -> None:
    context.listeners.close()
    try:
        socket.create_connection(split_address(context.unused), timeout=2.0).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("the port is still open")


@given("a store that takes {delay:d} ms for each list")
def slow_store(context: Context, delay: int) -> None:
    world(context).store.list_delay_s = delay / 1000.0


@given("a store that loses the next {count:d} lists")
def losing_store(context: Context, count: int) -> None:
    world(context).store.lists_to_lose = count


@given("a store that accepts no connections")
def full_backlog(context: Context) -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = listener.getsockname()
    # The kernel's backlog holds one connection more than requested; all others hang.
    waiting = [socket.socket() for _ in range(3)]
    for one in waiting:
        one.setblocking(False)
        one.connect_ex(address)
    context.held = [listener, *waiting]
    context.store = PlatformStore(f"127.0.0.1:{address[1]}")


@when("its objects are listed within {limit:d} ms")
def listed_within(context: Context, limit: int) -> None:
    context.failed_after_s = fails_after_s(lambda: context.store.list("config", limit / 1000.0))


@then("the store counts as unreachable after at most {limit:d} ms")
def unreachable_after(context: Context, limit: int) -> None:
    assert context.failed_after_s * 1000.0 <= limit, context.failed_after_s


@then("a watch of its objects for {wait_s:d} s fails after at most {limit:d} ms")
def watch_fails(context: Context, wait_s: int, limit: int) -> None:
    seconds = fails_after_s(lambda: context.store.watch("config", 1, float(wait_s)))
    assert seconds * 1000.0 <= limit, seconds
    for one in context.held:
        one.close()


def fails_after_s(call: Callable[[], object]) -> float:
    started = time.monotonic()
    try:
        call()
    except ObjectStoreError:
        return time.monotonic() - started
    raise AssertionError("the store answered")


@when("the store loses all watches that wait or begin within {seconds:d} s")
def watches_lost(context: Context, seconds: int) -> None:
    # Longer than the pause between two watches of a changed kind: now every watch is waiting.
    time.sleep(0.6)
    world(context).store.lose_watches(float(seconds))


@when('a server of "{route}" is added')
def server_added(context: Context, route: str) -> None:
    context.added = world(context).add_server(route)


@then("gateway {number:d} knows it within {limit:d} s")
def knows_added(context: Context, number: int, limit: int) -> None:
    started = time.monotonic()

    def is_known() -> bool:
        lines = world(context).log(f"edge-{number}")
        return any(line.get("server") == context.added.server_id for line in lines)

    wait_until(is_known, "the server is known")
    assert time.monotonic() - started < limit


@when("a configuration is written and the store cuts its watches while it drops its history")
def dropping_history(context: Context) -> None:
    store = world(context).store
    # By now the watch after the last change is waiting.
    time.sleep(0.2)
    # Watches are ended, and restart while the history is dropped.
    store.drop_history_slowly(0.5)
    context.version = world(context).publish()


@then("the configuration is in force at gateway {number:d} within {limit:d} s")
def in_force_within(context: Context, number: int, limit: int) -> None:
    started = time.monotonic()

    def is_in_force() -> bool:
        lines = world(context).log(f"edge-{number}")
        versions = [one["version"] for one in lines if one["kind"] == "ConfigurationInForce"]
        return versions[-1] >= context.version

    wait_until(is_in_force, "the configuration is in force")
    assert time.monotonic() - started < limit


@when("gateway {number:d} is killed and starts again")
def gateway_restarts(context: Context, number: int) -> None:
    world(context).kill(f"edge-{number}")
    world(context).start_machine(f"edge-{number}", is_gateway=True)


@when('a client sends "{text}" on "{route}" as soon as its port is open')
def ask_when_open(context: Context, text: str, route: str) -> None:
    address = split_address(world(context).addresses["edge-0"]["http"])

    def is_open() -> bool:
        try:
            socket.create_connection(address, timeout=1.0).close()
        except OSError:
            return False
        return True

    wait_until(is_open, "the port is open")
    # The first log line is written once the process has loaded; time is counted from then on.
    known = len(world(context).log("edge-0"))
    context.answers = [world(context).ask(route, text.encode())]
    context.answer = context.answers[0]
    started = [line["time"] for line in world(context).log("edge-0")[known:]][:1]
    if started:
        context.answer.seconds = min(context.answer.seconds, time.time() - started[0])


@then("gateway {number:d} has its configuration less than {limit:f} s after its first line")
def configured_soon(context: Context, number: int, limit: float) -> None:
    """Compare times of log lines, so that a slow start on a busy machine does not count."""

    def since_start_s() -> float | None:
        lines = world(context).log(f"edge-{number}")
        starts = [one["time"] for one in lines if one["kind"] == "ProcessChanged"]
        known = [one["time"] for one in lines if one["kind"] == "ConfigurationInForce"]
        return known[-1] - starts[-1] if len(starts) > 1 and known[-1] > starts[-1] else None

    wait_until(lambda: since_start_s() is not None, "it has its configuration")
    found_s = since_start_s()
    assert found_s is not None and found_s < limit, found_s


@given('a route "{route}" of type "{kind}" with two servers of which one may fall silent')
def one_may_fall_silent(context: Context, route: str, kind: str) -> None:
    context.silent_id = None

    def script(call: QuietHandler, arrival: Arrival) -> bool:
        if arrival.headers["X-Expect-Instance"] != context.silent_id:
            return False
        time.sleep(SILENT_SECONDS)
        return silent(call, arrival)

    add(context, route, kind, script, script)


@when('{count:d} lookups on "{route}" were answered')
def lookups_answered(context: Context, count: int, route: str) -> None:
    for _ in range(count):
        assert world(context).ask(route).status == 200


@when('the server of "{route}" that got most of them falls silent')
def falls_silent(context: Context, route: str) -> None:
    busiest = max(context.by_route[route], key=lambda server: len(server.arrivals))
    context.silent_id = busiest.server_id


@then("each came within {limit:d} ms")
def each_within(context: Context, limit: int) -> None:
    slowest = max(answer.seconds for answer in context.answers)
    assert slowest * 1000.0 <= limit, slowest


@given(
    'a route "{route}" of type "{kind}" with two servers'
    " of which the first closes without an answer and the other refuses it as not run"
)
def closes_then_refuses(context: Context, route: str, kind: str) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        is_second = len(arrivals(context, route)) > 1
        return full(call, arrival) if is_second else silent(call, arrival)

    add(context, route, kind, script, script)


@given('a route "{route}" of type "{kind}" with two servers that never answer')
def never_answer(context: Context, route: str, kind: str) -> None:
    def script(call: QuietHandler, arrival: Arrival) -> bool:
        time.sleep(SILENT_SECONDS)
        return silent(call, arrival)

    add(context, route, kind, script, script)


@then('the servers of "{route}" got it once after a while')
def got_once_later(context: Context, route: str) -> None:
    time.sleep(2.5)
    assert len(arrivals(context, route)) == 1


@then("its answers to lookups close their connections")
def lookups_close(context: Context) -> None:
    add(context, "records", "mutating", None)
    with ThreadPoolExecutor(4) as pool:
        answers = list(pool.map(lambda _: world(context).ask("records", b"x"), range(4)))
    assert all(answer.status == 200 for answer in answers)
    assert all(answer.headers.get("Connection") == "close" for answer in answers)


@given("a retry budget of a service")
def retry_budget(context: Context) -> None:
    context.budget = RetryBudget()


@when("{count:d} requests time out")
def all_late(context: Context, count: int) -> None:
    context.retried = 0
    for _ in range(count):
        context.budget.deposit("records")
        context.retried += context.budget.try_withdraw("records")


@then("at most {most:d} of them are retried")
def at_most_retried(context: Context, most: int) -> None:
    assert 0 < context.retried <= most, context.retried


def line(time_s: float, kind: str, **fields: object) -> dict[str, object]:
    return {"time": time_s, "node": "edge-0", "kind": kind, **fields}


@given("the log of a program whose {kind} request {end}")
def program_log(context: Context, kind: str, end: str) -> None:
    context.log = [
        line(0.0, "ProcessChanged", change="started", detail=""),
        line(1.0, "AttemptAdmitted", attempt="a1", program="p1", route="r", route_kind=kind),
        line(1.5, "BudgetSettled", attempt="a0", program="p0", tokens=1),
    ]
    if end == "was under way at its death":
        context.log.append(line(3.0, "ProcessChanged", change="started", detail=""))
    elif end.startswith("was refused with"):
        status = int(end.split()[3])
        reason = "the configuration was last proved 5.01 s ago" if "for age" in end else "r"
        refused = {"attempt": "a1", "status": status, "reason": reason}
        context.log.append(line(2.0, "AttemptRefused", **refused))
    elif end.startswith("lost its connection by"):
        reason = end.rpartition(" ")[2]
        context.log.append(line(2.0, "ConnectionEnded", attempt="a1", reason=reason))
    elif end == "was answered at last":
        context.log.append(line(2.0, "AttemptRefused", attempt="a1", status=503, reason="r"))
        again = {"attempt": "a2", "program": "p1", "route": "r", "route_kind": kind}
        context.log.append(line(2.2, "AttemptAdmitted", **again))
        context.log.append(line(2.3, "AttemptAnswered", attempt="a2", status=200))
    elif end == "was answered":
        context.log.append(line(2.0, "AttemptAnswered", attempt="a1", status=200))


def printed_rows(context: Context, command: Command, *options: str) -> list[dict[str, object]]:
    """Return the rows that a command prints for the scenario's log."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "edge-0.log"
        path.write_text("".join(json.dumps(one) + "\n" for one in context.log))
        result = CliRunner().invoke(command, [str(path), "--output", "json", *options])
    assert result.exit_code == 0, result.output
    return [json.loads(row) for row in result.output.splitlines()]


def found_failures(context: Context, *options: str) -> list[dict[str, object]]:
    return printed_rows(context, failures, *options)


@then('the failures name it with cause "{cause}"')
def named(context: Context, cause: str) -> None:
    (found,) = found_failures(context)
    assert (found["program_id"], found["cause"]) == ("p1", cause), found


_CONVERSATION_ENDS = {
    "whose previous turn is unknown": ("unknown", 404, "no turn t0"),
    "whose previous turns could not be read": ("uncertain", 503, "group 0: 1 of 2 answered"),
    "whose group is unreachable": (None, 503, "group 0 is out of reach"),
    "for which there is no capacity": (
        "fetched",
        503,
        f"{NO_CAPACITY} a new program: places, 3 of 9 waiting go before",
    ),
    "which no server took": ("cached", 503, "server answered 503, not run"),
}


@given("the log of a turn that continues an earlier one and {end}")
def conversation_log(context: Context, end: str) -> None:
    outcome, status, reason = _CONVERSATION_ENDS[end]
    admitted = {"attempt": "a1", "program": "p1", "route": "r", "previous": "t0"}
    context.log = [line(1.0, "AttemptAdmitted", **admitted)]
    if outcome is not None:
        context.log.append(line(1.1, "ChainLookedUp", attempt="a1", previous="t0", outcome=outcome))
    context.log.append(line(1.2, "AttemptRefused", attempt="a1", status=status, reason=reason))


@given("it was sent in its second try")
def sent_later(context: Context) -> None:
    admitted = {"attempt": "a2", "program": "p1", "route": "r", "previous": "t0"}
    context.log.append(line(2.0, "AttemptAdmitted", **admitted))
    context.log.append(line(2.1, "AttemptSent", attempt="a2", server="i-1"))


@then('the conversations name its program with "{cause}"')
def conversation_named(context: Context, cause: str) -> None:
    (found,) = printed_rows(context, conversations)
    assert (found["program_id"], found["refused"]) == ("p1", {cause: 1}), found


@then("the conversations name no program")
def no_conversation_named(context: Context) -> None:
    assert printed_rows(context, conversations) == []


@given("the log of a program of 2 s whose turns waited 1.5 s for their first events")
def late_log(context: Context) -> None:
    context.log = []
    for number, started_s in enumerate((1.0, 2.2)):
        attempt = {"attempt": f"a{number}", "program": "p1", "route": "r", "route_kind": "stream"}
        fields = {"tenant": "alloy", "finish_in": 2.0 - (started_s - 1.0)}
        context.log.append(line(started_s, "AttemptAdmitted", **attempt, **fields))
        answered = {"attempt": f"a{number}", "status": 200, "first_seconds": 0.75}
        context.log.append(line(started_s + 1.2, "AttemptAnswered", **answered))


@then('the late programs name it with {late_s:f} s, most of it spent on "{what}"')
def late_named(context: Context, late_s: float, what: str) -> None:
    (found,) = found_failures(context, "--late")
    assert abs(found["late_s"] - late_s) < 0.001, found
    assert next(iter(found["spent_s"])) == what, found
    assert found["tenant"] == "alloy"


@then("the failures do not name it")
def not_named(context: Context) -> None:
    assert found_failures(context) == []
