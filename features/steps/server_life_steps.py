"""Steps about servers that start again under their id."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Thread
from typing import Any
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event
from hypothesis import given as given_drawn
from hypothesis import strategies as st

from features.support.platform_scripts import add, silent, world
from features.support.platform_world import Arrival, QuietHandler, address_of, serve
from features.support.schedules import derandomized
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.dispatch.pool import ConnectionPool
from yarrowwall.exceptions import ConnectionBrokenError, RelayError
from yarrowwall.model import EngineTraits, Incarnation, PromptPart, Server, Service
from yarrowwall.policy.incarnations import NewestIncarnations
from yarrowwall.policy.server_choice import NEW_TOKENS, PlacementRequest, ServerChooser
from yarrowwall.policy.servers import ServerDirectory

NOW_S = 100.0
SERVICES = {"models": Service("models", EngineTraits(16, 500_000, 10))}
PROMPT = (PromptPart("shared", 2_000), PromptPart("own", 3_000))
#: Seconds after which a server that vanished is forgotten.
FORGOTTEN_S = 5.0


def told(
    incarnation: Incarnation, is_draining: bool = False, address: str = "127.0.0.1:1"
) -> Server:
    """Return what an entry tells of an incarnation."""
    return Server(
        incarnation.server_id, "models", address, "a", 16, is_draining, incarnation.start_ms
    )


# What a gateway knows


@given('a gateway that knows life {born:d} of "{name}"')
def knows_incarnation(context: Context, born: int, name: str) -> None:
    context.now_s = NOW_S
    context.directory = ServerDirectory("a")
    context.directory.put(told(Incarnation(name, born)), SERVICES, NOW_S)


@given(
    'a gateway that knows life {born:d} of "{name}", which failed, is draining and holds a prompt'
)
def knows_worn_incarnation(context: Context, born: int, name: str) -> None:
    knows_incarnation(context, born, name)
    incarnation = Incarnation(name, born)
    directory = context.directory
    directory.put(told(incarnation, is_draining=True), SERVICES, NOW_S)
    directory.note_service_time(incarnation, 3.0, NOW_S)
    directory.note_failure(incarnation, NOW_S)
    directory.note_started(incarnation)
    directory.update_loads({incarnation.text: 5}, NOW_S)
    directory.states[name].prefix_cache.note_sent(PROMPT)


@when('life {born:d} of "{name}" is told')
def incarnation_is_told(context: Context, born: int, name: str) -> None:
    context.directory.put(told(Incarnation(name, born)), SERVICES, context.now_s)


@when('life {born:d} of "{name}" is told by a watch')
def told_by_watch(context: Context, born: int, name: str) -> None:
    incarnation_is_told(context, born, name)


@when('life {born:d} of "{name}" is told by a list')
def told_by_list(context: Context, born: int, name: str) -> None:
    context.directory.replace_all([told(Incarnation(name, born))], SERVICES, context.now_s)


@when('an entry of "{name}" tells no start')
def told_without_start(context: Context, name: str) -> None:
    context.directory.put(told(Incarnation(name)), SERVICES, context.now_s)


@when('the entry of life {born:d} of "{name}" is told to be gone')
def told_gone(context: Context, born: int, name: str) -> None:
    context.directory.remove(Incarnation(name, born), context.now_s)


@when("{seconds:d} s pass for that gateway")
def time_passes(context: Context, seconds: int) -> None:
    context.now_s += seconds
    context.directory.forget_vanished(context.now_s)


@then('"{name}" is in life {born:d} with nothing held, no failure, no pace and no request')
def is_new(context: Context, name: str, born: int) -> None:
    state = context.directory.states[name]
    assert state.server.start_ms == born
    assert state.prefix_cache.cached_tokens(PROMPT) == 0
    seen = (
        state.failures,
        state.suspended_until,
        state.service_time_s,
        state.running,
        state.running_elsewhere,
    )
    assert seen == (0, 0.0, None, 0, 0), seen
    assert state.draining_at is None
    assert state.heard_at == 0.0


@then('"{name}" is in life {born:d} and listed')
def is_listed(context: Context, name: str, born: int) -> None:
    state = context.directory.states[name]
    assert state.server.start_ms == born, state.server
    assert state.vanished_at is None


@then('"{name}" is not known')
def is_unknown(context: Context, name: str) -> None:
    assert name not in context.directory.states


@when('{count:d} requests begin at "{name}"')
def requests_begin(context: Context, count: int, name: str) -> None:
    incarnation = context.directory.states[name].server.incarnation
    places = context.places = getattr(context, "places", {})
    places[incarnation.start_ms] = [
        context.directory.note_started(incarnation) for _ in range(count)
    ]


@when("the {count:d} requests of life {born:d} end")
def requests_end(context: Context, count: int, born: int) -> None:
    assert len(context.places[born]) == count
    for place in context.places[born]:
        place.running -= 1


@when('another gateway tells of {count:d} requests at life {born:d} of "{name}"')
def other_tells(context: Context, count: int, born: int, name: str) -> None:
    context.directory.update_loads({Incarnation(name, born).text: count}, context.now_s)


@then('{count:d} requests are under way at "{name}"')
def under_way(context: Context, count: int, name: str) -> None:
    directory = context.directory
    assert directory.load(directory.states[name], context.now_s) == count


@then('a turn whose predecessor ran in life {born:d} of "{name}" has {what} to read there')
def to_read(context: Context, born: int, name: str, what: str) -> None:
    request = PlacementRequest(PROMPT, "program", Incarnation(name, born).text)
    incarnations = context.directory
    # With others of its service, it is no program's home by being the only one.
    for other in ("e2", "e3", "e4", "e5"):
        incarnations.put(told(Incarnation(other, born)), SERVICES, NOW_S)
    chooser = ServerChooser(incarnations)
    found = chooser._reading(list(incarnations.states.values()), _matched(chooser, request))
    own = PROMPT[1].tokens
    expected = {"little": NEW_TOKENS, "all": own}[what]
    assert found[name] == expected or (
        what == "all" and _is_home(chooser, incarnations, request, name)
    ), found


def _matched(chooser: ServerChooser, request: PlacementRequest) -> PlacementRequest:
    """Return a request as the choice understands it."""
    seen: list[PlacementRequest] = []
    reading = chooser._reading

    def note(states: Any, understood: PlacementRequest) -> dict[str, int]:
        seen.append(understood)
        return reading(states, understood)

    with patch.object(chooser, "_reading", note):
        chooser.choose("models", (), NOW_S, request)
    return seen[0]


def _is_home(
    chooser: ServerChooser, directory: ServerDirectory, request: PlacementRequest, name: str
) -> bool:
    states = directory.states.values()
    unknown = request._replace(last_server="")
    home = min(states, key=lambda state: chooser._preference(state, unknown))
    return home.server.server_id == name


# Drawn orders

_LIVES = st.sampled_from((None, 1_000, 2_000, 3_000))
_ORDERS = st.lists(st.tuples(st.sampled_from(("list", "watch", "gone", "pass")), _LIVES))


def _age(start_ms: int | None) -> int:
    return start_ms if start_ms is not None else 0


def check_order(order: list[tuple[str, int | None]]) -> None:
    """Play what is told of one server; check the incarnation in use after each step."""
    directory = ServerDirectory("a")
    now_s = NOW_S
    newest: Incarnation | None = None
    is_listed = False
    for how, start_ms in order:
        incarnation = Incarnation("e1", start_ms)
        if how == "pass":
            now_s += FORGOTTEN_S
            directory.forget_vanished(now_s)
        elif how == "gone":
            directory.remove(incarnation, now_s)
            is_listed = is_listed and start_ms is not None and incarnation.is_before(newest)
        elif how == "list":
            directory.replace_all([told(incarnation)], SERVICES, now_s)
        else:
            directory.put(told(incarnation), SERVICES, now_s)
        if how in ("list", "watch") and (newest is None or not incarnation.is_before(newest)):
            newest, is_listed = incarnation, True
        state = directory.states.get("e1")
        assert (state is not None and state.vanished_at is None) == is_listed, order
        assert state is None or state.server.incarnation == newest, order


@then("in {count:d} drawn orders the newest life that was told of is the one in use")
def drawn_orders(context: Context, count: int) -> None:
    derandomized(count)(given_drawn(_ORDERS)(check_order))()


def _take_any(self: NewestIncarnations, incarnation: Incarnation) -> bool:
    return True


def _remove_any(self: ServerDirectory, incarnation: Incarnation, now: float) -> None:
    state = self.states.get(incarnation.server_id)
    if state is not None and state.vanished_at is None:
        state.vanished_at = now


_end_incarnation = ServerDirectory._end_incarnation


def _end_and_forget(self: ServerDirectory, state: Any, successor: Incarnation | None) -> None:
    self._newest._newest.pop(state.server.server_id, None)
    _end_incarnation(self, state, successor)


MUTANTS = {
    "an earlier life undoes a later one": (NewestIncarnations, "note", _take_any),
    "the end of an earlier life ends the later one": (
        ServerDirectory,
        "remove",
        _remove_any,
    ),
    "what has gone is forgotten at once": (ServerDirectory, "_end_incarnation", _end_and_forget),
}


@given("a directory of which {mutant}")
def mutant_directory(context: Context, mutant: str) -> None:
    context.mutant = MUTANTS[mutant]


@then("some drawn order ends in another life than the newest")
def some_order_fails(context: Context) -> None:
    target, name, replacement = context.mutant
    with patch.object(target, name, replacement):
        try:
            drawn_orders(context, 300)
        except (AssertionError, ExceptionGroup):
            return
    raise AssertionError("no drawn order finds it")


# Connections


class _Keeping(QuietHandler):
    """Answers at once, or never where that is asked for."""

    def _run(self) -> None:
        if self.path == "/wait":
            time.sleep(2.0)
            return
        self.answer(200, b"x", {"Keep-Alive": "timeout=60"})

    do_GET = _run


REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
WAITING = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"


@contextmanager
def _keeping_server(context: Context) -> Iterator[str]:
    server = serve(_Keeping)
    context.add_cleanup(lambda: Thread(target=server.shutdown, daemon=True).start())
    yield address_of(server)


def _pool(context: Context) -> ConnectionPool:
    context.unix_s = 1_000.0
    return ConnectionPool(time.monotonic, lambda: context.unix_s)


def _used(connection: ServerConnection) -> ServerConnection:
    """Return a connection over which one request was answered."""
    connection.send(REQUEST, 1.0)
    connection.read_head(1.0)
    connection.read_all(1.0)
    connection.finish_response()
    connection.keep_alive = 60.0
    return connection


@given("a server that keeps connections, and a pool with one to its life {born:d}")
def pool_with_kept(context: Context, born: int) -> None:
    with _keeping_server(context) as address:
        context.pool = _pool(context)
        context.old = told(Incarnation("e1", born), address=address)
        context.new = told(Incarnation("e1", born + 1_000), address=address)
        context.lent = _used(context.pool.acquire(context.old))
        context.kept = _used(context.pool.acquire(context.old))
        context.pool.release(context.old, context.kept)
        assert context.pool.acquire(context.old) is context.kept
        context.pool.release(context.old, context.kept)


@when("its life {born:d} is told")
def new_life_told(context: Context, born: int) -> None:
    assert context.new.start_ms == born
    context.pool.end_incarnation(context.old.incarnation, context.new.incarnation)


@then("the next request of life {born:d} goes over a new connection")
def over_new(context: Context, born: int) -> None:
    taken = context.pool.acquire(context.new)
    assert taken not in (context.kept, context.lent)
    _used(taken)


@then("a connection of life {born:d} that is given back then is not used either")
def late_is_unused(context: Context, born: int) -> None:
    context.pool.release(context.old, context.lent)
    assert context.pool.acquire(context.new) is not context.lent


@given("a server that keeps connections, and a request that waits at its life {born:d}")
def request_waits(context: Context, born: int) -> None:
    with _keeping_server(context) as address:
        context.pool = _pool(context)
        context.old = told(Incarnation("e1", born), address=address)
        connection = context.pool.acquire(context.old)
        connection.send(WAITING, 1.0)
        context.ended = Event()

        def wait() -> None:
            try:
                connection.read_head(1.5)
            except RelayError as error:
                context.ended.send(error)

        eventlet.spawn(wait)
        eventlet.sleep(0.05)


@when("its life is told that began {seconds:d} s {side} that connection was opened")
def incarnation_began(context: Context, seconds: int, side: str) -> None:
    offset_s = seconds if side == "after" else -seconds
    successor = Incarnation("e1", int((context.unix_s + offset_s) * 1000))
    context.pool.end_incarnation(context.old.incarnation, successor)


@then("the request is broken off within {limit:d} ms")
def broken_off(context: Context, limit: int) -> None:
    error = context.ended.wait(limit / 1000.0)
    assert isinstance(error, ConnectionBrokenError), error


@then("the request is still under way after {limit:d} ms")
def still_under_way(context: Context, limit: int) -> None:
    assert context.ended.wait(limit / 1000.0) is None


# Whole machines


@given('a route "{route}" of type "{kind}" with a server that never answers')
def route_with_mute(context: Context, route: str, kind: str) -> None:
    def mute(call: QuietHandler, arrival: Arrival) -> bool:
        time.sleep(4.0)
        return silent(call, arrival)

    add(context, route, kind, mute)
    context.mute = context.by_route[route][0]


@when('a second server of "{route}" is listed')
def second_listed(context: Context, route: str) -> None:
    context.sound = world(context).add_server(route)


@when(
    'a client sends "{text}" on "{route}" '
    "and its server starts again {ahead:d} s later by its clock"
)
def sent_and_reborn(context: Context, text: str, route: str, ahead: int) -> None:
    start_ms = int((time.time() + ahead) * 1000)

    def be_reborn() -> None:
        deadline = time.monotonic() + 2.0
        while not context.mute.arrivals and time.monotonic() < deadline:
            time.sleep(0.01)
        world(context).list_reborn(context.mute, route, start_ms)

    reborn = Thread(target=be_reborn, daemon=True)
    reborn.start()
    context.answers = [world(context).ask(route, text.encode())]
    reborn.join(3.0)
