"""Steps about gateways that are cut off from the replicas and send requests through a neighbour."""

import http.client
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.steps.platform_program_steps import turn
from features.support.cut_world import CutWorld
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.codec import encode
from yarrowwall.messages.relaying import Forward, Forwarded, ForwardStatus, Neighbour
from yarrowwall.messages.replicated import AskStatus, ReadChain, StatusReply
from yarrowwall.replication.forwarding import ForwardHandler
from yarrowwall.replication.neighbours import NeighbourRegistry
from yarrowwall.replication.paths import LATE_SECONDS, Paths
from yarrowwall.replication.relayed_links import RelayedLinkTable
from yarrowwall.replication.rpc import serve_requests

ANSWER = StatusReply("storage-0", "disk", 1, True, 1)


def cut_world(context: Context) -> CutWorld:
    """Return the scenario's platform."""
    assert isinstance(context.platform, CutWorld)
    return context.platform


def _metrics(context: Context, name: str) -> str:
    host, _, port = cut_world(context).addresses[name]["metrics"].partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/metrics")
    return connection.getresponse().read().decode()


# Real processes


@given("the gateways know their neighbours")
def know_neighbours(context: Context) -> None:
    # Each gateway asks every 0.4 to 0.6 s until it gets an answer, and the first answers list too
    # few neighbours.
    time.sleep(7.0)


@when("gateway {number:d} is cut off from all replicas")
def cut_off(context: Context, number: int) -> None:
    cut_world(context).cut_off(number)


@when("gateway {number:d} is no longer cut off")
def heal(context: Context, number: int) -> None:
    cut_world(context).heal(number)


@when('{count:d} turns of "{route}" come at gateway {number:d} within {seconds:f} s')
def turns_come(context: Context, count: int, route: str, number: int, seconds: float) -> None:
    started = time.monotonic()

    def run(place: int):
        time.sleep(max(started + place * seconds / count - time.monotonic(), 0.0))
        return turn(context, route, f"program-{started}-{place}", 1000, number)

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(run, range(count)))


@then("gateway 0 is not ready, and gateways 1 and 2 are")
def readiness(context: Context) -> None:
    ready = [cut_world(context).is_ready(f"edge-{number}") for number in range(3)]
    assert ready == [False, True, True], ready


def _forwarded_counts(context: Context) -> dict[str, float]:
    """Return how many requests of the first gateway each other one has forwarded."""
    found = 'yarrowwall_forwarded_requests_total{gateway="edge-0"} '
    counts = {}
    for name in ("edge-1", "edge-2"):
        lines = _metrics(context, name).splitlines()
        values = [line.removeprefix(found) for line in lines if line.startswith(found)]
        counts[name] = float(values[0]) if values else 0.0
    return counts


@then("a neighbour forwarded requests of gateway 0")
def requests_forwarded(context: Context) -> None:
    assert any(_forwarded_counts(context).values())


@when("the neighbour that forwarded requests of gateway 0 is killed")
def kill_neighbour(context: Context) -> None:
    passed = _forwarded_counts(context)
    cut_world(context).kill(max(passed, key=lambda name: passed[name]))


@then("within {seconds:f} s gateway 0 is ready and asks the replicas directly")
def ready_again(context: Context, seconds: float) -> None:
    world = cut_world(context)
    end = time.monotonic() + seconds
    while not world.is_ready("edge-0"):
        assert time.monotonic() < end
        time.sleep(0.05)
    lines = [
        line["is_up"] for line in world.log("edge-0") if line.get("dependency") == "replicas/direct"
    ]
    assert lines == [False, True], lines


# One neighbour


class _Replica:
    """A replica that answers after a delay and counts requests."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.under_way = 0
        self.max_under_way = 0
        self.requests = 0
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        eventlet.spawn_n(serve_requests, listener, self._handle, DecisionLog("storage-0"))

    def _handle(self, request: object, reply) -> None:
        self.requests += 1
        self.under_way += 1
        self.max_under_way = max(self.max_under_way, self.under_way)

        def answer() -> None:
            self.under_way -= 1
            reply(ANSWER)

        eventlet.spawn_after(self.delay_s, answer)


@given("a neighbour whose replica answers after {delay_ms:d} ms")
def one_neighbour(context: Context, delay_ms: int) -> None:
    context.replica = _Replica(delay_ms / 1000.0)
    context.links = RelayedLinkTable("edge-1", DecisionLog("edge-1"), time.monotonic)
    context.forwarder = ForwardHandler(
        context.links, lambda address: address == context.replica.address
    )


@when("{gateways:d} gateways ask it for {count:d} requests of 1 KB each at once")
def many_ask(context: Context, gateways: int, count: int) -> None:
    context.replies = []
    request = encode(ReadChain(0, 1, "disk", "k" * 1024, []))
    began_s = time.monotonic()

    def take(reply: Forwarded) -> None:
        context.replies.append((reply.status, time.monotonic() - began_s))

    for _ in range(count):
        for number in range(gateways):
            asked = Forward(f"edge-{number}", context.replica.address, request)
            context.forwarder.handle(asked, take)
    context.wanted = gateways * count
    eventlet.sleep(1.0)


@then("no more than {max_under_way:d} of them are in progress at the replica at any moment")
def bounded(context: Context, max_under_way: int) -> None:
    assert 0 < context.replica.max_under_way <= max_under_way, context.replica.max_under_way


@then("each of the others is refused at once as busy")
def refused_at_once(context: Context) -> None:
    counts = Counter(status for status, _ in context.replies)
    assert counts[ForwardStatus.OK] == context.replica.requests == 64, counts
    assert counts[ForwardStatus.BUSY] == context.wanted - 64, counts
    late = [after_s for status, after_s in context.replies if status is ForwardStatus.BUSY]
    assert max(late) < 0.3, max(late)


@then("no request counts as in flight at the end")
def nothing_left(context: Context) -> None:
    assert context.forwarder.in_flight == (0, 0), context.forwarder.in_flight


@when("a gateway asks it to forward {what}")
def ask_to_forward(context: Context, what: str) -> None:
    status = encode(AskStatus(0))
    address = context.replica.address
    if what == "a request while it is cut off":
        _note_unanswered(context.links.paths, "10.0.0.1:1", 1.0)
    asked = {
        "a request to forward a request": Forward(
            "edge-0", address, encode(Forward("edge-0", address, status))
        ),
        "a request to an unknown address": Forward("edge-0", "127.0.0.1:9", status),
        "a request that cannot be read": Forward("edge-0", address, b"no message"),
        "a request while it is cut off": Forward("edge-0", address, status),
    }[what]
    context.replies = []
    context.forwarder.handle(asked, context.replies.append)
    eventlet.sleep(0.1)


@then("it is refused as {status}, and reaches no replica")
def refused_as(context: Context, status: str) -> None:
    assert [reply.status.value for reply in context.replies] == [status], context.replies
    assert context.replica.requests == 0


# Paths


def _note_unanswered(paths: Paths, address: str, sent_s: float) -> None:
    """Note that a request was not answered, as found when the answer is late."""
    paths.note_late(address, sent_s, sent_s + LATE_SECONDS)


@given("a gateway that asked {answering:d} replicas that answer and {lost:d} that do not")
def asked_replicas(context: Context, answering: int, lost: int) -> None:
    context.paths = Paths()
    for number in range(answering + lost):
        context.paths.note_asked(f"replica-{number}", 10.0)
    for number in range(answering):
        context.paths.note_answered(f"replica-{number}", 10.01)
    for number in range(answering, answering + lost):
        _note_unanswered(context.paths, f"replica-{number}", 10.0)
    context.lost = f"replica-{answering}"


@then("its requests go through a neighbour: {forwarded}")
def goes_through_neighbour(context: Context, forwarded: str) -> None:
    assert context.paths.uses_neighbour(context.lost) == (forwarded == "yes")


@when("{dead:d} of {count:d} replicas refuse connections for {seconds:f} s, and the others answer")
def some_refuse(context: Context, dead: int, count: int, seconds: float) -> None:
    context.paths = Paths()
    context.cut_states = []
    for turn_number in range(int(seconds / 0.01)):
        now_s = 10.0 + 0.01 * turn_number
        name = f"replica-{turn_number % count}"
        if turn_number % count >= count - dead:
            context.paths.note_late(name, now_s, now_s)
        else:
            context.paths.note_answered(name, now_s)
        context.cut_states.append(context.paths.is_cut_off)


@then("it never counts as cut off")
def never_cut_off(context: Context) -> None:
    assert not any(context.cut_states), context.cut_states.count(True)


@given("a gateway that is cut off")
def cut_gateway(context: Context) -> None:
    context.paths = Paths()
    context.now_s = 10.0
    for number in range(5):
        _note_unanswered(context.paths, f"replica-{number}", context.now_s)
    context.used_neighbour = []


@when("a replica answers and fails to answer in turns, {gap_s:f} s apart, for {seconds:f} s")
def answers_in_turns(context: Context, gap_s: float, seconds: float) -> None:
    for turn_number in range(int(seconds / gap_s)):
        context.now_s += gap_s
        if turn_number % 2:
            _note_unanswered(context.paths, "replica-0", context.now_s)
        else:
            context.paths.note_answered("replica-0", context.now_s)
        context.used_neighbour.append(context.paths.uses_neighbour("replica-0"))


@then("its requests go through a neighbour all the time")
def always_through_neighbour(context: Context) -> None:
    assert all(context.used_neighbour), context.used_neighbour


@when("it answers every {gap_s:f} s for {seconds:f} s")
def answers_again(context: Context, gap_s: float, seconds: float) -> None:
    for _ in range(int(seconds / gap_s)):
        context.now_s += gap_s
        context.paths.note_answered("replica-0", context.now_s)


@then("its requests go directly")
def goes_directly(context: Context) -> None:
    assert not context.paths.uses_neighbour("replica-0")


# Choice of neighbours


@given("{count:d} gateways in {zones:d} zones that ask for neighbours")
def ask_for_neighbours(context: Context, count: int, zones: int) -> None:
    context.registry = NeighbourRegistry()
    context.gateways = [
        Neighbour(f"edge-{number:03d}", f"zone-{number % zones}", f"10.0.0.{number}:1")
        for number in range(count)
    ]
    for _ in range(2):
        context.neighbours = {one: context.registry.register(one, 0.0) for one in context.gateways}


@then("each gets 4 of its zone and 1 of another")
def neighbours_by_zone(context: Context) -> None:
    for own, neighbours in context.neighbours.items():
        assert [one.zone == own.zone for one in neighbours] == [True] * 4 + [False], (
            own,
            neighbours,
        )
        assert own not in neighbours and len(set(neighbours)) == 5


@then("none is the first neighbour of more than 2 of them")
def first_neighbours(context: Context) -> None:
    first = Counter(neighbours[0] for neighbours in context.neighbours.values())
    assert max(first.values()) <= 2, first


@when("those of one zone stop asking for {seconds:f} s")
def stop_asking(context: Context, seconds: float) -> None:
    staying = [one for one in context.gateways if one.zone != "zone-0"]
    for one in staying:
        context.registry.register(one, seconds)
    context.neighbours = {one: context.registry.register(one, seconds) for one in staying}


@then("no gateway gets them")
def not_listed(context: Context) -> None:
    assert all(
        one.zone != "zone-0" for neighbours in context.neighbours.values() for one in neighbours
    )


# Readiness


@then("it has no working neighbour")
def not_served(context: Context) -> None:
    assert context.paths.is_cut_off and not context.paths.has_working_neighbour(context.now_s)


@when("a neighbour returns a reply")
def returns_reply(context: Context) -> None:
    context.paths.note_forwarded("edge-1", context.now_s)


@then("it has a working neighbour for {seconds:f} s")
def served(context: Context, seconds: float) -> None:
    assert context.paths.has_working_neighbour(context.now_s + seconds - 0.01)
    assert not context.paths.has_working_neighbour(context.now_s + seconds + 0.01)


@given("a gateway that has asked {count:d} replicas, of which one does not answer")
def asked_with_one_silent(context: Context, count: int) -> None:
    context.paths = Paths()
    context.replicas = [f"replica-{number}" for number in range(count)]
    for address in context.replicas:
        context.paths.note_asked(address, 10.0)
    for address in context.replicas[1:]:
        context.paths.note_answered(address, 10.01)
    _note_unanswered(context.paths, context.replicas[0], 10.0)
    # The other replicas get no requests for a while, as at a gateway with little traffic.
    context.paths.note_asked(context.replicas[0], 12.0)
    _note_unanswered(context.paths, context.replicas[0], 12.0)
    assert context.paths.is_cut_off


@when("that one is removed from its group and the others are not asked")
def one_removed(context: Context) -> None:
    context.paths.note_asked(context.replicas[0], 13.0)
    context.paths.forget_removed(lambda address: address in context.replicas[1:])


@then("the gateway is not cut off, also once its last request is late")
def not_cut_off(context: Context) -> None:
    assert not context.paths.is_cut_off
    _note_unanswered(context.paths, context.replicas[0], 13.0)
    assert not context.paths.is_cut_off
    assert not list(context.paths.unreachable())
