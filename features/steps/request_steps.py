"""Steps about callers' requests as bytes."""

import time

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings

from features.support.answer_cases import ANSWER_CASES
from features.support.platform_scripts import publish, world
from features.support.raw_exchange import RawClient, RawServer
from features.support.request_cases import Case, Ran, cases, head
from features.support.request_fuzz import NUMBERED, Stream, read, streams
from features.support.request_mutants import MUTANTS, is_parsed, parse

ROUTE = "records"
#: Pause between the pieces of a request in seconds.
PAUSE_S = 0.02
SHORT_PAUSE_S = 0.001
#: Seconds for answers to a random stream: a gateway may wait for the rest of a mutated request.
FUZZ_ANSWER_S = 5.0
PROBE = head(start="GET /records/probe HTTP/1.1", attempt="probe")
DROPPED_LINES = [
    "Connection: keep-alive, A, X-Other",
    "Connection: B",
    "A: 1",
    "B: 2",
    "x_other: 3",
    "Keep-Alive: timeout=5",
    "TE: trailers",
    "Trailer: C",
    "Upgrade: h2c",
    "Proxy-Connection: keep-alive",
    "Proxy-Authorization: secret",
    "Proxy-Other: 4",
    "Expect: 100-continue",
]
KEPT_LINES = ["C: 5", "D: a, b", "C: 6", "E: \xe4"]


@given("a gateway and a server that notes all bytes it gets")
def raw_server(context: Context) -> None:
    world(context).add_route(ROUTE, "mutating", attempts=1)
    context.server = RawServer(world(context), ROUTE)
    context.add_cleanup(context.server.close)
    publish(context)


@then("each of the listed requests is answered and runs as listed")
def cases_hold(context: Context) -> None:
    faults = [fault for case in cases() if (fault := play(context, case))]
    assert not faults, "\n".join([f"{len(faults)} cases:", *faults[:40]])


def play(context: Context, case: Case) -> str:
    """Play a case; return what is wrong, or an empty text."""
    client = RawClient(world(context))
    try:
        client.send(case.pieces, PAUSE_S)
        statuses = tuple(client.statuses(len(case.statuses)))
        found = context.server.take()
        if statuses != case.statuses or found != case.ran:
            return f"{case.name}: {statuses}, ran {found}"
        if case.closes:
            return "" if client.ends() else f"{case.name}: the connection stays open"
        client.send([PROBE], PAUSE_S)
        if client.statuses(len(statuses) + 1)[-1] != 200 or client.bodies[-1] != b"/records/probe":
            return f"{case.name}: the next request was not answered"
        context.server.take()
        return ""
    finally:
        client.close()


# Random requests


@then("in {count:d} random streams of requests what runs is what was sent")
def fuzz_holds(context: Context, count: int) -> None:
    context.streams = 0

    @settings(max_examples=count, deadline=None, database=None, derandomize=True)
    @for_all(streams())
    def check(stream: Stream) -> None:
        fault = play_stream(context, stream)
        assert not fault, f"{fault}: {stream}"

    check()


def play_stream(context: Context, stream: Stream) -> str:
    """Play a stream; return what is wrong, or an empty text."""
    context.streams += 1
    pieces = stream.numbered(context.streams)
    expected = read(b"".join(pieces))
    client = RawClient(world(context))
    try:
        client.send(pieces, SHORT_PAUSE_S)
        client.wait_served(len(expected), FUZZ_ANSWER_S)
        found = tuple(ran for ran in context.server.take() if is_of(context.streams, ran))
        targets = [ran.target.encode("latin-1") for ran in found]
        answered = [body for status, body in client.answers if status == 200]
        if found != expected[: len(found)]:
            return f"ran {found}, sent {expected}"
        if answered != targets[: len(answered)]:
            return f"answered {answered}"
        if stream.is_whole and found != expected:
            return f"ran only {found}"
        return ""
    finally:
        client.close()


def is_of(number: int, ran: Ran) -> bool:
    """Return whether a request is of a stream; one of an earlier stream may come late."""
    other = NUMBERED.match(ran.target)
    return other is None or int(other[1]) == number


# Mutants


@given("the parser of requests")
def parser(context: Context) -> None:
    pass


@given("the parser of requests that {mutant}")
def mutant_parser(context: Context, mutant: str) -> None:
    patch = MUTANTS[mutant]()
    patch.__enter__()
    context.add_cleanup(patch.__exit__, None, None, None)


def misread() -> list[str]:
    """Return the cases that the parser does not read as listed."""
    return [
        case.name
        for case in cases()
        if is_parsed(case)
        and parse(case) != (case.ran, max((s for s in case.statuses if s > 200), default=0))
    ]


@then("the listed requests are read as listed")
def read_as_listed(context: Context) -> None:
    assert not misread(), misread()[:10]


@then("the listed requests are not all read as listed")
def mutant_found(context: Context) -> None:
    found = misread()
    assert found
    print(f"{len(found)} cases, {found[:5]}")


# Headers


@when("a request has headers of its connection and two Connection headers that name others")
def hop_headers(context: Context) -> None:
    sent = head(*DROPPED_LINES, *KEPT_LINES, "Content-Length: 3") + b"abc"
    client = RawClient(world(context))
    client.send([sent], PAUSE_S)
    assert client.statuses(1) == [200]
    client.close()


@then("the server gets none of them, and each of the other headers as it was sent")
def headers_pass(context: Context) -> None:
    (found,) = context.server.heads
    lines = found.decode("latin-1").split("\r\n")
    assert not set(DROPPED_LINES) & set(lines), lines
    assert [line for line in lines if line in KEPT_LINES] == KEPT_LINES, lines


# Limits


@when('a caller keeps a connection and "{limit}" becomes {value:d}')
@when('another caller keeps a connection and "{limit}" becomes {value:d}')
def limit_changes(context: Context, limit: str, value: int) -> None:
    context.client = RawClient(world(context))
    context.add_cleanup(context.client.close)
    context.client.send([PROBE], PAUSE_S)
    assert context.client.statuses(1) == [200]
    world(context).limits[limit] = value
    publish(context)


@then("its next request with a {part} of {size:d} bytes is answered {status:d}")
def limited(context: Context, part: str, size: int, status: int) -> None:
    lines = ["A: " + "b" * size] if part == "head" else [f"Content-Length: {size}"]
    context.client.send([head(*lines) + (b"a" * size if part == "body" else b"")], PAUSE_S)
    assert context.client.statuses(2)[1:] == [status], context.client.answers


@then(
    "a head that comes byte by byte, one each {pause:d} ms, ends its connection within {limit:d} ms"
)
def slow_head(context: Context, pause: int, limit: int) -> None:
    started_s = time.monotonic()
    pieces = [PROBE[at : at + 1] for at in range(len(PROBE))]
    context.client.send(pieces, pause / 1000.0)
    assert context.client.is_closed
    assert time.monotonic() - started_s < limit / 1000.0


# Answers


@then("each of the listed answers reaches its caller as listed")
def answers_hold(context: Context) -> None:
    targets = [f"/records/answer-{number}" for number in range(len(ANSWER_CASES))]
    context.server.answers = {
        target: (case.sent, case.ends) for target, case in zip(targets, ANSWER_CASES, strict=True)
    }
    faults = []
    for target, case in zip(targets, ANSWER_CASES, strict=True):
        client = RawClient(world(context))
        client.send([head(start=f"POST {target} HTTP/1.1"), PROBE], PAUSE_S)
        client.statuses(2)
        found = client.answers
        client.close()
        is_right = [status for status, _ in found] == [case.status, 200]
        if not is_right or case.body not in (None, found[0][1]) or found[1][1] != b"/records/probe":
            faults.append(f"{case.name}: {found}")
    assert not faults, "\n".join([f"{len(faults)} answers:", *faults])
