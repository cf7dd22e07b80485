"""Steps about callers and servers that read slowly, and the memory used for them."""

import os
import random
import socket
import statistics
import time
from pathlib import Path
from threading import Thread
from typing import Any
from urllib.request import urlopen

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event
from hypothesis import given as given_drawn
from hypothesis import strategies as st

from features.support.platform_scripts import add, world
from features.support.platform_world import (
    HOST,
    Arrival,
    QuietHandler,
    begin_stream,
    send_chunk,
)
from features.support.processes import wait_until
from features.support.schedules import derandomized
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.exceptions import RelayError
from yarrowwall.policy.memory_budget import (
    MemoryBounds,
    MemoryBudget,
    MemoryExhaustedError,
    RequestMemory,
)

KILOBYTE = 1024

# The memory budget


@given("the memory bounds of a machine with {memory:d} MB")
def bounds_of(context: Context, memory: int) -> None:
    context.bounds = MemoryBounds.of_machine(memory)


@then(
    "all requests together may hold {total:d} KB, "
    "one caller {caller:d} KB and one server {server:d} KB"
)
def bounds_are(context: Context, total: int, caller: int, server: int) -> None:
    found = tuple(bound // KILOBYTE for bound in context.bounds)
    assert found == (total, caller, server), found


@given("a memory budget of {total:d} bytes")
def budget_of(context: Context, total: int) -> None:
    context.budget = MemoryBudget(MemoryBounds(total, total // 4, total // 4))
    context.holds = []


@when("callers hold {size:d} bytes in pieces of {piece:d}")
def callers_hold(context: Context, size: int, piece: int) -> None:
    while context.budget.held < size:
        context.holds.append(context.budget.open_request())
        context.holds[-1].grow(piece)
        assert not context.budget.is_nearly_full or context.budget.held >= 0
    while context.budget.held > size:
        context.holds.pop().close()
        context.budget.accepts_request(0)


@then("a request of {size:d} bytes is {what}")
def request_is(context: Context, size: int, what: str) -> None:
    assert context.budget.accepts_request(size) == (what == "taken")


def _fits(hold: RequestMemory, size: int, server: str = "") -> bool:
    try:
        hold.grow(size, server)
    except MemoryExhaustedError:
        return False
    return True


@then("a caller may hold {limit:d} bytes and not {more:d}")
def caller_bound(context: Context, limit: int, more: int) -> None:
    hold = context.budget.open_request()
    assert _fits(hold, limit)
    assert not _fits(hold, more - limit)
    hold.close()
    assert context.budget.held == 0


@then("{count:d} callers may hold {limit:d} bytes of one server and not {more:d}")
def server_bound(context: Context, count: int, limit: int, more: int) -> None:
    holds = [context.budget.open_request() for _ in range(count)]
    assert all(_fits(hold, limit // count, "e1") for hold in holds)
    assert not _fits(holds[0], more - limit, "e1")
    assert _fits(holds[0], more - limit, "e2")


_STEPS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(0, 300), st.sampled_from(("", "e1", "e2", "close")))
)


def check_budget(steps: list[tuple[int, int, str]]) -> None:
    """Let requests grow and end; compare the budget's sums with an independent count."""
    budget = MemoryBudget(MemoryBounds(1_000, 400, 500))
    holds: dict[int, RequestMemory] = {}
    taken: dict[int, list[tuple[int, str]]] = {}
    for number, size, server in steps:
        if server == "close":
            if number in holds:
                holds.pop(number).close()
                taken.pop(number)
            continue
        hold = holds.setdefault(number, budget.open_request())
        if _fits(hold, size, server):
            taken.setdefault(number, []).append((size, server))
        else:
            taken.setdefault(number, [])
        pieces = [piece for one in taken.values() for piece in one]
        assert budget.held == sum(piece for piece, _ in pieces) <= 1_000
        for name in ("e1", "e2"):
            assert (
                budget.held_for_server(name)
                == sum(size for size, of in pieces if of == name)
                <= 500
            )
        assert hold.size == sum(piece for piece, _ in taken[number]) <= 400


@then("in {count:d} drawn orders the bytes held are those of the open requests, within all bounds")
def drawn_budget(context: Context, count: int) -> None:
    derandomized(count)(given_drawn(_STEPS)(check_budget))()


# A server that reads slowly


@given("a server that reads {size:d} KB every {pause:d} ms")
def slow_server(context: Context, size: int, pause: int) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024 * KILOBYTE)
    context.add_cleanup(listener.close)
    context.slow_address = f"127.0.0.1:{listener.getsockname()[1]}"

    def read_slowly() -> None:
        connection, _ = listener.accept()
        end = time.monotonic() + 5.0
        with connection:
            while time.monotonic() < end:
                try:
                    if not connection.recv(size * KILOBYTE):
                        return
                except OSError:
                    return
                time.sleep(pause / 1000.0)

    Thread(target=read_slowly, daemon=True).start()


@when("a request of {size:d} KB is sent there with {limit:d} ms of time")
def sent_slowly(context: Context, size: int, limit: int) -> None:
    context.sending = Event()

    def send() -> None:
        began = time.monotonic()
        connection = ServerConnection(context.slow_address, 1.0)
        try:
            connection.send(b"x" * size * KILOBYTE, limit / 1000.0)
            outcome: Any = "sent"
        except RelayError as error:
            outcome = error
        connection.close()
        context.sending.send((outcome, time.monotonic() - began))

    eventlet.spawn(send)


@then("the sending ends within {limit:d} ms")
def sending_ends(context: Context, limit: int) -> None:
    found = context.sending.wait(limit / 1000.0)
    assert found is not None, "still sending"
    assert isinstance(found[0], RelayError), found


# Whole machines


def _chunk(call: QuietHandler, number: int, size: int) -> None:
    send_chunk(call, b"id: %d\ndata: %s\n\n" % (number, b"x" * size))


@given('a stream route "{route}" whose server sends events of {size:d} KB for {seconds:d} s')
def endless_stream(context: Context, route: str, size: int, seconds: int) -> None:
    context.run_ended_at = []

    def run(call: QuietHandler, arrival: Arrival) -> bool:
        begin_stream(call, arrival)
        end = time.monotonic() + seconds
        number = 0
        try:
            while time.monotonic() < end:
                number += 1
                _chunk(call, number, size * KILOBYTE)
        except OSError:
            context.run_ended_at.append(time.monotonic())
        call.close_connection = True
        return True

    add(context, route, "streaming", run, timeout_ms=20_000)


@given('a stream route "{route}" whose server sends {count:d} events of {size:d} KB')
def long_stream(context: Context, route: str, count: int, size: int) -> None:
    def run(call: QuietHandler, arrival: Arrival) -> bool:
        begin_stream(call, arrival)
        for number in range(1, count + 1):
            _chunk(call, number, size * KILOBYTE)
        call.wfile.write(b"0\r\n\r\n")
        return True

    add(context, route, "streaming", run, timeout_ms=20_000)


def _send_head(
    context: Context,
    route: str,
    body: int,
    deadline_ms: int,
    gateway: int = 0,
    buffer: int = 16 * KILOBYTE,
) -> socket.socket:
    """Return a connection over which the head of a request was sent.

    :param buffer: receive buffer of the caller's kernel; small, so that unread bytes stay at
        the gateway.
    """
    host, _, port = world(context).addresses[f"edge-{gateway}"]["http"].partition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    connection.settimeout(10.0)
    connection.connect((host, int(port)))
    head = (
        f"POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {body}\r\n"
        f"X-Attempt-Id: {world(context).next_attempt()}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
    connection.sendall(head.encode())
    context.add_cleanup(connection.close)
    return connection


@when('a caller of "{route}" reads nothing')
def reads_nothing(context: Context, route: str) -> None:
    context.began_at = time.monotonic()
    _send_head(context, route, 0, 20_000)


@then('the server of "{route}" sees the end of that run within {limit:d} s')
def run_ends(context: Context, route: str, limit: int) -> None:
    wait_until(lambda: bool(context.run_ended_at), "the end of the run")
    assert context.run_ended_at[0] - context.began_at < limit


@then("the gateway logged one caller as given up")
def logged_given_up(context: Context) -> None:
    def given_up() -> int:
        lines = world(context).log("edge-0")
        return sum(line["kind"] == "CallerGivenUp" for line in lines)

    wait_until(lambda: given_up() == 1, "one caller is logged as given up")


@when(
    'a caller of "{route}" sends 1 byte of its body every {pause:d} ms '
    "with a deadline of {limit:d} ms"
)
def sends_slowly(context: Context, route: str, pause: int, limit: int) -> None:
    connection = _send_head(context, route, 1_000, limit)
    connection.settimeout(pause / 1000.0)
    began = time.monotonic()
    while time.monotonic() - began < 8.0:
        try:
            connection.sendall(b"x")
            if not connection.recv(1):
                break
        except TimeoutError:
            continue
        except OSError:
            break
    context.closed_s = time.monotonic() - began


@then("its connection is closed within {limit:d} ms")
def closed_within(context: Context, limit: int) -> None:
    assert context.closed_s * 1000.0 < limit, context.closed_s


@when('a caller of "{route}" reads {size:d} KB every {pause:d} ms')
def reads_steadily(context: Context, route: str, size: int, pause: int) -> None:
    connection = _send_head(context, route, 0, 20_000)
    found = bytearray()
    while not found.endswith(b"0\r\n\r\n"):
        piece = connection.recv(size * KILOBYTE)
        if not piece:
            break
        found += piece
        time.sleep(pause / 1000.0)
    context.read = bytes(found)


@then("it got all {count:d} events")
def got_all(context: Context, count: int) -> None:
    assert context.read.endswith(b"0\r\n\r\n"), context.read[-40:]
    assert context.read.count(b"data: ") == count


@given("a gateway whose machine has {memory:d} MB")
def small_gateway(context: Context, memory: int) -> None:
    world(context).kill("edge-0")
    world(context).memory_mb = memory
    world(context).start_machine("edge-0", is_gateway=True)
    world(context).wait_ready()


@when('{count:d} callers of "{route}" send {sent:d} KB of {size:d} KB and stop')
def stop_sending(context: Context, count: int, route: str, sent: int, size: int) -> None:
    context.stopped = []
    for _ in range(count):
        connection = _send_head(context, route, size * KILOBYTE, 20_000)
        try:
            connection.sendall(b"x" * sent * KILOBYTE)
        except OSError:
            # Refused before its body was read.
            connection.close()
        context.stopped.append(connection)
    time.sleep(0.5)


@then(
    'another caller of "{route}" that sends {size:d} KB is refused with 503 and Retry-After at once'
)
def other_refused(context: Context, route: str, size: int) -> None:
    answer = world(context).ask(route, b"x" * size * KILOBYTE)
    assert answer.status == 503, answer
    assert "Retry-After" in answer.headers, answer
    assert answer.seconds < 0.3, answer.seconds


@when("these callers leave")
def callers_leave(context: Context) -> None:
    for connection in context.stopped:
        connection.close()


@then('another caller of "{route}" is answered 200 within {limit:d} s')
def other_answered(context: Context, route: str, limit: int) -> None:
    end = time.monotonic() + limit
    while world(context).ask(route, b"payload").status != 200:
        assert time.monotonic() < end
        time.sleep(0.05)


# Many callers


#: The gateway whose callers stop reading, and the one whose callers read.
_STOPPED, _READING = 0, 1
#: Callers that connect one after another before ordinary ones are timed.
_CALLERS_AT_ONCE = 5
#: Rounds of callers that stop reading per round of callers that read. Most rounds skip the
#: latter, to start callers quickly: the gateway disconnects each of them after 2 s.
_STOPPED_ROUNDS_PER_READ = 5
#: Receive buffer of callers that read: larger than any answer.
_READER_BUFFER_BYTES = 1024 * KILOBYTE


def _ordinary_s(context: Context, route: str, gateway: int) -> float:
    """Return the response time of an ordinary caller, in seconds."""
    answer = world(context).ask(route, b"payload", gateway=gateway)
    assert answer.status == 200, answer
    return answer.seconds


def _memory_mb(context: Context) -> float:
    """Return the peak memory of the gateway's process, in MB."""
    status = Path(f"/proc/{world(context).processes['edge-0'].pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / KILOBYTE


def _kernel_mb() -> float:
    """Return the kernel memory of all TCP connections of this machine, in MB."""
    line = next(
        line
        for line in Path("/proc/net/sockstat").read_text().splitlines()
        if line.startswith("TCP:")
    )
    return int(line.split()[-1]) * os.sysconf("SC_PAGE_SIZE") / KILOBYTE / KILOBYTE


@given('{count:d} ordinary callers of "{route}" have been answered')
def ordinary_answered(context: Context, count: int, route: str) -> None:
    for _ in range(count):
        _ordinary_s(context, route, _STOPPED)
        _ordinary_s(context, route, _READING)
    context.initial_mb = _memory_mb(context)
    context.initial_kernel_mb = _kernel_mb()


def _stop_reading(context: Context, route: str, rng: random.Random) -> None:
    """Start callers of which the last reads up to a random point, the others nothing."""
    wanted = 0
    for _ in range(_CALLERS_AT_ONCE):
        connection = _send_head(context, route, 0, 20_000, _STOPPED)
        wanted = rng.randrange(200 * KILOBYTE)
    # The first bytes arrive at once or never.
    assert connection.recv(wanted + 1)


def _read(context: Context, route: str) -> None:
    """Start as many callers whose kernel buffers hold the whole answer."""
    for _ in range(_CALLERS_AT_ONCE):
        connection = _send_head(context, route, 0, 20_000, _READING, _READER_BUFFER_BYTES)
    assert connection.recv(1)


@when(
    '{count:d} callers of "{route}" stop reading at random points, '
    'others of "{other}" read at another gateway, '
    'and ordinary ones of "{ordinary}" come to both'
)
def stop_reading(context: Context, count: int, route: str, other: str, ordinary: str) -> None:
    rng = random.Random(37)
    context.right_after_s = {_STOPPED: [], _READING: []}
    context.one_later_s = {_STOPPED: [], _READING: []}
    for number in range(count // _CALLERS_AT_ONCE):
        _stop_reading(context, route, rng)
        context.right_after_s[_STOPPED].append(_ordinary_s(context, ordinary, _STOPPED))
        if number % _STOPPED_ROUNDS_PER_READ == 0:
            context.one_later_s[_STOPPED].append(_ordinary_s(context, ordinary, _STOPPED))
            _read(context, other)
            context.right_after_s[_READING].append(_ordinary_s(context, ordinary, _READING))
            context.one_later_s[_READING].append(_ordinary_s(context, ordinary, _READING))
    grown_mb = _kernel_mb() - context.initial_kernel_mb
    print(f"the kernel holds {grown_mb:.0f} MB more for connections of this machine")


def _check_median(where: str, found_s: dict[int, list[float]], more_ms: int) -> None:
    """Compare both gateways' response times, since a busy machine slows both."""
    stopped_s, read_s = (statistics.median(found_s[gateway]) for gateway in (_STOPPED, _READING))
    print(f"median {where}: {stopped_s * 1000:.1f} ms; {read_s * 1000:.1f} ms at the other gateway")
    assert stopped_s < read_s + more_ms / 1000.0, (where, stopped_s, read_s)


@then("right after them ordinary callers take at most {more:d} ms more than at the other gateway")
def right_after(context: Context, more: int) -> None:
    _check_median("right after", context.right_after_s, more)


@then("one request later ordinary callers take at most {more:d} ms more than at the other gateway")
def one_later(context: Context, more: int) -> None:
    _check_median("one request later", context.one_later_s, more)


@then("the gateway's memory has grown by less than {limit:d} MB")
def memory_grown(context: Context, limit: int) -> None:
    found_mb = _memory_mb(context)
    print(f"peak memory {context.initial_mb:.1f} MB before, {found_mb:.1f} MB with them")
    assert found_mb - context.initial_mb < limit, (found_mb, context.initial_mb)


def _given_up(context: Context) -> int:
    """Return the gateway's metric of disconnected callers."""
    url = f"http://{world(context).addresses['edge-0']['metrics']}/metrics"
    with urlopen(url, timeout=5.0) as answer:
        lines = answer.read().decode().splitlines()
    found = [line for line in lines if line.startswith("yarrowwall_callers_given_up_total")]
    return int(float(found[0].split()[-1])) if found else 0


@then("the gateway gives {count:d} callers up within {limit:d} s")
def gives_up(context: Context, count: int, limit: int) -> None:
    end = time.monotonic() + limit
    while time.monotonic() < end:
        # Log lines above a rate are omitted, but the metric counts all.
        given_up = _given_up(context)
        if given_up == count:
            return
        time.sleep(0.5)
    raise AssertionError(f"{given_up} of {count} were given up")
