"""Steps about turns whose events several attempts brought."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features.support.conversations import (
    ROUTE,
    Conversation,
    ConversationServers,
    Stream,
    history,
)
from features.support.platform_scripts import publish, world
from features.support.processes import wait_until
from features.support.resumed_turns_model import run_resumed_turns
from features.support.resumed_turns_mutants import MUTANTS
from yarrowwall.dispatch.caller_position import CallerPosition
from yarrowwall.event_stream import Event
from yarrowwall.exceptions import StreamPositionError

EVENTS_BEFORE = 3


@given("a stateful and resumable route with {count:d} servers")
def stateful_route(context: Context, count: int) -> None:
    _add_route(context, count, is_stateful=True)


@given("a resumable route with {count:d} servers")
def stateless_route(context: Context, count: int) -> None:
    _add_route(context, count, is_stateful=False)


def _add_route(context: Context, count: int, is_stateful: bool) -> None:
    context.scripts = ConversationServers()
    world(context).add_route(ROUTE, "streaming", stateful=is_stateful, resumable=True, attempts=3)
    for _ in range(count):
        world(context).add_server(ROUTE, context.scripts.run)
    publish(context)
    context.conversation = Conversation(world(context), "c")
    context.streams = []


@given("each run breaks off after {count:d} events the first time")
def breaks_off(context: Context, count: int) -> None:
    context.scripts.break_after = count


@given("servers number the events of later runs anew")
def numbers_anew(context: Context) -> None:
    context.scripts.shifts_ids = True


@given("nothing else")
def nothing_else(context: Context) -> None:
    pass


@when("a turn runs in one attempt")
def one_attempt(context: Context) -> None:
    stream = context.conversation.begin()
    context.streams = [stream]
    context.conversation.attempt(stream, 0)
    assert stream.is_whole, stream


@when("the stream of a turn is cut after {cuts} events, at gateways {gateways} in turn")
def cut_in_turn(context: Context, cuts: str, gateways: str) -> None:
    stream = context.conversation.begin()
    context.streams = [stream]
    limits: list[int | None] = [int(cut) for cut in cuts.split(",")]
    for gateway, cut_after in zip(gateways.split(","), [*limits, None], strict=True):
        context.conversation.attempt(stream, int(gateway), cut_after)
    assert stream.is_whole, stream


@when(
    "{count:d} turns have {events:d} events at gateway 0 as it is killed, "
    "and are resumed at gateway 1"
)
def killed_midway(context: Context, count: int, events: int) -> None:
    conversations = [Conversation(world(context), f"c{number}") for number in range(count)]
    context.streams = [one.begin() for one in conversations]
    have_begun = threading.Barrier(count + 1)
    met: set[str] = set()

    def at_events(stream: Stream) -> None:
        if len(stream.data) == events and stream.name not in met:
            met.add(stream.name)
            have_begun.wait()

    def run(number: int) -> None:
        conversations[number].attempt(context.streams[number], 0, None, at_events)
        conversations[number].run_until_whole(context.streams[number], [1, 1, 1])

    with ThreadPoolExecutor(count) as pool:
        running = [pool.submit(run, number) for number in range(count)]
        have_begun.wait()
        world(context).kill("edge-0")
        for one in running:
            one.result()
    world(context).start_machine("edge-0", is_gateway=True)
    wait_until(lambda: world(context).is_ready("edge-0"), "gateway 0 is ready")


@when("the stream of a turn is cut after {count:d} events and resumed at both gateways at once")
def resumed_at_once(context: Context, count: int) -> None:
    first = context.conversation.begin()
    context.conversation.attempt(first, 0, count)
    second = Stream(first.name + "b", first.input, "", list(first.data), first.last_id)
    second.attempt_ids = list(first.attempt_ids)
    context.streams = [first, second]
    with ThreadPoolExecutor(2) as pool:
        list(
            pool.map(
                lambda number: context.conversation.attempt(context.streams[number], number), (0, 1)
            )
        )
    assert all(stream.is_whole for stream in context.streams), context.streams


@when(
    "a turn has {count:d} events as gateway 0 freezes, is resumed at gateway 1, and gateway 0 wakes"
)
def frozen(context: Context, count: int) -> None:
    stream = context.conversation.begin()
    context.streams = [stream]

    def freeze(stream: Stream) -> None:
        if len(stream.data) == count:
            world(context).kill("edge-0", signal.SIGSTOP)

    # The connection stays open, as it does while a machine is frozen.
    thread = threading.Thread(
        target=context.conversation.attempt, args=(stream, 0, count, freeze), daemon=True
    )
    thread.start()
    thread.join()
    context.conversation.run_until_whole(stream, [1, 1])
    world(context).kill("edge-0", signal.SIGCONT)
    time.sleep(1.0)
    wait_until(lambda: world(context).is_ready("edge-0"), "gateway 0 is ready")


@when("a conversation of {count:d} turns has its second and third turn resumed")
def resumed_in_midst(context: Context, count: int) -> None:
    previous = ""
    for number in range(count):
        stream = context.conversation.begin(previous)
        context.streams.append(stream)
        if number in (1, 2):
            context.conversation.attempt(stream, number % 2, EVENTS_BEFORE)
        context.conversation.run_until_whole(stream, [1, 0, 1])
        previous = stream.attempt_ids[-1]


@when(
    "the stream of a turn is cut after {count:d} events, "
    "and resumed after event {after} at gateway 1"
)
def resumed_after(context: Context, count: int, after: str) -> None:
    stream = context.conversation.begin()
    context.streams = [stream]
    context.conversation.attempt(stream, 0, count)
    stream.last_id = after
    context.conversation.attempt(stream, 1)


def _run_next(context: Context, stream: Stream, earlier: bytes, gateway: int, name: str) -> None:
    """Run the turn after a stream; check what its server got."""
    conversation = Conversation(world(context), name)
    following = conversation.begin(stream.attempt_ids[-1])
    conversation.run_until_whole(following, [gateway, gateway])
    got = context.scripts.bodies[following.attempt_ids[-1]]
    wanted = history(earlier, stream) + following.input
    assert got == wanted, f"{got!r} instead of {wanted!r}"


@then("the next turns run with every event, at both gateways")
def next_turns(context: Context) -> None:
    for number, stream in enumerate(context.streams):
        for gateway in (0, 1):
            _run_next(context, stream, b"", gateway, f"n{number}g{gateway}")


@then("the next turns of both resumptions run with every event")
def both_next(context: Context) -> None:
    next_turns(context)


@then("a branch from each of its turns runs with every event")
def branches_run(context: Context) -> None:
    earlier = b""
    for number, stream in enumerate(context.streams):
        _run_next(context, stream, earlier, number % 2, f"branch{number}")
        earlier = history(earlier, stream)


@then("the resumption gets {status:d}")
def resumption_gets(context: Context, status: int) -> None:
    assert context.streams[0].statuses[-1] == status, context.streams[0].statuses


@then("a turn that goes on from it gets {status:d}")
def next_gets(context: Context, status: int) -> None:
    _check_refused(context, context.streams[0].attempt_ids[-1], status)


@then("a turn that goes on from the first attempt gets {status:d}")
def first_gets(context: Context, status: int) -> None:
    _check_refused(context, context.streams[0].attempt_ids[0], status)


def _check_refused(context: Context, previous: str, status: int) -> None:
    conversation = Conversation(world(context), f"after {previous}".replace(" ", "-"))
    assert conversation.attempt(conversation.begin(previous), 1) == status


@then("the log of gateway 1 tells that {repeated:d} events were repeated, and {relayed:d} relayed")
def log_tells(context: Context, repeated: int, relayed: int) -> None:
    attempt_id = context.streams[0].attempt_ids[-1]

    def lines(kind: str) -> list[dict]:
        return [
            line
            for line in world(context).log("edge-1")
            if line["kind"] == kind and line["attempt"] == attempt_id
        ]

    wait_until(lambda: lines("AttemptAnswered"), "the answer is logged")
    assert [line["events"] for line in lines("EventsRepeated")] == [repeated]
    assert [line["events"] for line in lines("AttemptAnswered")] == [relayed]


@then("the program has spent no more than its callers got")
def spent(context: Context) -> None:
    settled = [
        line["tokens"]
        for gateway in ("edge-0", "edge-1")
        for line in world(context).log(gateway)
        if line["kind"] == "BudgetSettled"
    ]
    # A turn that is stored is settled with its record, so only the first attempt logs it.
    assert sum(settled) <= EVENTS_BEFORE * 10, settled


@then("its second attempt was sent with the caller's last event")
def sent_with_last(context: Context) -> None:
    attempt_id = context.streams[0].attempt_ids[-1]
    assert context.scripts.runs[attempt_id] == [str(EVENTS_BEFORE)]


# The position of a caller


@then("of the events {ids} in any batches a caller with {last} lacks {lacking}")
def lacks(context: Context, ids: str, last: str, lacking: str) -> None:
    events = [Event(b"", event_id) for event_id in ids.split(",")]
    for size in range(1, len(events) + 1):
        batches = [events[start : start + size] for start in range(0, len(events), size)]
        assert _lacking(batches, last) == lacking, size


def _lacking(batches: list[list[Event]], last: str) -> str:
    position = CallerPosition(last)
    found: list[str | None] = []
    repeated: list[Event] = []
    try:
        for batch in batches:
            earlier, later = position.split(batch)
            repeated += earlier
            found += [event.event_id for event in later]
        position.check_reached()
    except StreamPositionError:
        assert not found, "events were relayed before the position was known"
        return "refused"
    assert len(repeated) + len(found) == sum(map(len, batches))
    return ",".join(map(str, found)) or "none"


# Schedules


@given('the resumed turns\' mutant "{name}"')
def resumed_turns_mutant(context: Context, name: str) -> None:
    patcher = MUTANTS[name]()
    patcher.__enter__()
    context.add_cleanup(patcher.__exit__, None, None, None)


@then("{count:d} random schedules of resumed turns keep every history")
def histories_hold(context: Context, count: int) -> None:
    counts = run_resumed_turns(count)
    assert counts["answered"] > 10 * count, counts
    assert counts["resumed"] > 10 * count, counts


@then("some of {count:d} random schedules of resumed turns have another history")
def histories_break(context: Context, count: int) -> None:
    try:
        run_resumed_turns(count)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")
