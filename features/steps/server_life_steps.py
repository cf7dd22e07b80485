"""Steps about servers that restart under their id."""

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
from hypothesis import given as given_random
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
#: Seconds after which a removed server has been dropped.
DROPPED_S = 5.0


def entry(
    incarnation: Incarnation, is_draining: bool = False, address: str = "127.0.0.1:1"
) -> Server:
    """Return the list entry of an incarnation."""
    return Server(
        incarnation.server_id, "models", address, "a", 16, is_draining, incarnation.start_ms
    )


# What a gateway knows


@given('a gateway that knows incarnation {born:d} of "{name}"')
def knows_incarnation(context: Context, born: int, name: str) -> None:
    context.now_s = NOW_S
    context.directory = ServerDirectory("a")
    context.directory.put(entry(Incarnation(name, born)), SERVICES, NOW_S)


@given(
    'a gateway that knows incarnation {born:d} of "{name}", which failed, is draining and has a'
    " cached prompt"
)
def knows_used_incarnation(context: Context, born: int, name: str) -> None:
    knows_incarnation(context, born, name)
    incarnation = Incarnation(name, born)
    directory = context.directory
    directory.put(entry(incarnation, is_draining=True), SERVICES, NOW_S)
    directory.note_service_time(incarnation, 3.0, NOW_S)
    directory.note_failure(incarnation, NOW_S)
    directory.note_started(incarnation)
    directory.update_loads({incarnation.text: 5}, NOW_S)
    directory.states[name].prefix_cache.note_sent(PROMPT)


@when('incarnation {born:d} of "{name}" is reported')
def incarnation_is_reported(context: Context, born: int, name: str) -> None:
    context.directory.put(entry(Incarnation(name, born)), SERVICES, context.now_s)


@when('incarnation {born:d} of "{name}" is reported by a watch')
def reported_by_watch(context: Context, born: int, name: str) -> None:
    incarnation_is_reported(context, born, name)


@when('incarnation {born:d} of "{name}" is reported by a list')
def reported_by_list(context: Context, born: int, name: str) -> None:
    context.directory.replace_all([entry(Incarnation(name, born))], SERVICES, context.now_s)


@when('an entry of "{name}" without a start time is reported')
def reported_without_start(context: Context, name: str) -> None:
    context.directory.put(entry(Incarnation(name)), SERVICES, context.now_s)


@when('the entry of incarnation {born:d} of "{name}" is reported as removed')
def reported_removed(context: Context, born: int, name: str) -> None:
    context.directory.remove(Incarnation(name, born), context.now_s)


@when("{seconds:d} s pass for that gateway")
def time_passes(context: Context, seconds: int) -> None:
    context.now_s += seconds
    context.directory.forget_vanished(context.now_s)


@then('"{name}" is incarnation {born:d} with no cached prompt, failure, service time or request')
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


@then('"{name}" is incarnation {born:d} and listed')
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
    states = context.states = getattr(context, "states", {})
    states[incarnation.start_ms] = [
        context.directory.note_started(incarnation) for _ in range(count)
    ]


@when("the {count:d} requests of incarnation {born:d} end")
def requests_end(context: Context, count: int, born: int) -> None:
    assert len(context.states[born]) == count
    for state in context.states[born]:
        state.running -= 1


@when('another gateway reports {count:d} requests at incarnation {born:d} of "{name}"')
def other_reports(context: Context, count: int, born: int, name: str) -> None:
    context.directory.update_loads({Incarnation(name, born).text: count}, context.now_s)


@then('{count:d} requests are in progress at "{name}"')
def in_progress(context: Context, count: int, name: str) -> None:
    directory = context.directory
    assert directory.load(directory.states[name], context.now_s) == count


@then('a turn whose predecessor ran at incarnation {born:d} of "{name}" must prefill {what} there')
def must_prefill(context: Context, born: int, name: str, what: str) -> None:
    request = PlacementRequest(PROMPT, "program", Incarnation(name, born).text)
    incarnations = context.directory
    # Other servers of its service, or it would be preferred for every program as the only one.
    for other in ("e2", "e3", "e4", "e5"):
        incarnations.put(entry(Incarnation(other, born)), SERVICES, NOW_S)
    chooser = ServerChooser(incarnations)
    found = chooser._prefill_tokens(
        list(incarnations.states.values()), _normalised(chooser, request)
    )
    own = PROMPT[1].tokens
    expected = {"little": NEW_TOKENS, "all": own}[what]
    assert found[name] == expected or (
        what == "all" and _is_preferred(chooser, incarnations, request, name)
    ), found


def _normalised(chooser: ServerChooser, request: PlacementRequest) -> PlacementRequest:
    """Return a request as :meth:`ServerChooser.choose` passes it on."""
    seen: list[PlacementRequest] = []
    prefill_tokens = chooser._prefill_tokens

    def note(states: Any, normalised: PlacementRequest) -> dict[str, int]:
        seen.append(normalised)
        return prefill_tokens(states, normalised)

    with patch.object(chooser, "_prefill_tokens", note):
        chooser.choose("models", (), NOW_S, request)
    return seen[0]


def _is_preferred(
    chooser: ServerChooser, directory: ServerDirectory, request: PlacementRequest, name: str
) -> bool:
    states = directory.states.values()
    unknown = request._replace(last_server="")
    preferred = min(states, key=lambda state: chooser._preference(state, unknown))
    return preferred.server.server_id == name


# Random orders

_STARTS = st.sampled_from((None, 1_000, 2_000, 3_000))
_ORDERS = st.lists(st.tuples(st.sampled_from(("list", "watch", "gone", "pass")), _STARTS))


def _age(start_ms: int | None) -> int:
    return start_ms if start_ms is not None else 0


def check_order(order: list[tuple[str, int | None]]) -> None:
    """Apply reports of one server in order; check the incarnation in use after each one."""
    directory = ServerDirectory("a")
    now_s = NOW_S
    newest: Incarnation | None = None
    is_listed = False
    for how, start_ms in order:
        incarnation = Incarnation("e1", start_ms)
        if how == "pass":
            now_s += DROPPED_S
            directory.forget_vanished(now_s)
        elif how == "gone":
            directory.remove(incarnation, now_s)
            is_listed = is_listed and start_ms is not None and incarnation.is_before(newest)
        elif how == "list":
            directory.replace_all([entry(incarnation)], SERVICES, now_s)
        else:
            directory.put(entry(incarnation), SERVICES, now_s)
        if how in ("list", "watch") and (newest is None or not incarnation.is_before(newest)):
            newest, is_listed = incarnation, True
        state = directory.states.get("e1")
        assert (state is not None and state.vanished_at is None) == is_listed, order
        assert state is None or state.server.incarnation == newest, order


@then("in {count:d} random orders the newest reported incarnation is the one in use")
def random_orders(context: Context, count: int) -> None:
    derandomized(count)(given_random(_ORDERS)(check_order))()


def _accept_any(self: NewestIncarnations, incarnation: Incarnation) -> bool:
    return True


def _remove_any(self: ServerDirectory, incarnation: Incarnation, now: float) -> None:
    state = self.states.get(incarnation.server_id)
    if state is not None and state.vanished_at is None:
        state.vanished_at = now


_end_incarnation = ServerDirectory._end_incarnation


def _end_and_drop(self: ServerDirectory, state: Any, successor: Incarnation | None) -> None:
    self._newest._newest.pop(state.server.server_id, None)
    _end_incarnation(self, state, successor)


MUTANTS = {
    "an earlier incarnation replaces a later one": (NewestIncarnations, "note", _accept_any),
    "the removal of an earlier incarnation removes the later one": (
        ServerDirectory,
        "remove",
        _remove_any,
    ),
    "removed incarnations are dropped at once": (
        ServerDirectory,
        "_end_incarnation",
        _end_and_drop,
    ),
}


@given("a directory in which {mutant}")
def mutant_directory(context: Context, mutant: str) -> None:
    context.mutant = MUTANTS[mutant]


@then("some random order ends with another incarnation than the newest")
def some_order_fails(context: Context) -> None:
    target, name, replacement = context.mutant
    with patch.object(target, name, replacement):
        try:
            random_orders(context, 300)
        except (AssertionError, ExceptionGroup):
            return
    raise AssertionError("no random order detects it")


# Connections


class _KeepAliveHandler(QuietHandler):
    """Answers at once, or not at all for one path."""

    def _run(self) -> None:
        if self.path == "/wait":
            time.sleep(2.0)
            return
        self.answer(200, b"x", {"Keep-Alive": "timeout=60"})

    do_GET = _run


REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
WAITING = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"


@contextmanager
def _keep_alive_server(context: Context) -> Iterator[str]:
    server = serve(_KeepAliveHandler)
    context.add_cleanup(lambda: Thread(target=server.shutdown, daemon=True).start())
    yield address_of(server)


def _pool(context: Context) -> ConnectionPool:
    context.unix_s = 1_000.0
    return ConnectionPool(time.monotonic, lambda: context.unix_s)


def _used(connection: ServerConnection) -> ServerConnection:
    """Return a connection after one answered request."""
    connection.send(REQUEST, 1.0)
    connection.read_head(1.0)
    connection.read_all(1.0, lambda size: None)
    connection.finish_response()
    connection.keep_alive = 60.0
    return connection


@given("a server that keeps connections open, and a pool with one to its incarnation {born:d}")
def pool_with_idle(context: Context, born: int) -> None:
    with _keep_alive_server(context) as address:
        context.pool = _pool(context)
        context.old = entry(Incarnation("e1", born), address=address)
        context.new = entry(Incarnation("e1", born + 1_000), address=address)
        context.in_use = _used(context.pool.acquire(context.old))
        context.idle = _used(context.pool.acquire(context.old))
        context.pool.release(context.old, context.idle)
        assert context.pool.acquire(context.old) is context.idle
        context.pool.release(context.old, context.idle)


@when("its incarnation {born:d} is reported")
def new_incarnation_reported(context: Context, born: int) -> None:
    assert context.new.start_ms == born
    context.pool.end_incarnation(context.old.incarnation, context.new.incarnation)


@then("the next request of incarnation {born:d} uses a new connection")
def over_new(context: Context, born: int) -> None:
    acquired = context.pool.acquire(context.new)
    assert acquired not in (context.idle, context.in_use)
    _used(acquired)


@then("a connection of incarnation {born:d} that is released later is not reused either")
def late_is_unused(context: Context, born: int) -> None:
    context.pool.release(context.old, context.in_use)
    assert context.pool.acquire(context.new) is not context.in_use


@given("a server that keeps connections open, and a request that waits at its incarnation {born:d}")
def request_waits(context: Context, born: int) -> None:
    with _keep_alive_server(context) as address:
        context.pool = _pool(context)
        context.old = entry(Incarnation("e1", born), address=address)
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


@when("an incarnation is reported that started {seconds:d} s {side} that connection was opened")
def incarnation_started(context: Context, seconds: int, side: str) -> None:
    offset_s = seconds if side == "after" else -seconds
    successor = Incarnation("e1", int((context.unix_s + offset_s) * 1000))
    context.pool.end_incarnation(context.old.incarnation, successor)


@then("the request is broken off within {limit:d} ms")
def broken_off(context: Context, limit: int) -> None:
    error = context.ended.wait(limit / 1000.0)
    assert isinstance(error, ConnectionBrokenError), error


@then("the request is still in progress after {limit:d} ms")
def still_in_progress(context: Context, limit: int) -> None:
    assert context.ended.wait(limit / 1000.0) is None


# Whole machines


@given('a route "{route}" of type "{kind}" with a server that never answers')
def route_with_silent_server(context: Context, route: str, kind: str) -> None:
    def never_answer(call: QuietHandler, arrival: Arrival) -> bool:
        time.sleep(4.0)
        return silent(call, arrival)

    add(context, route, kind, never_answer)
    context.silent = context.by_route[route][0]


@when('a second server of "{route}" is listed')
def second_listed(context: Context, route: str) -> None:
    context.healthy = world(context).add_server(route)


@when('a client sends "{text}" on "{route}" and its server restarts {ahead:d} s later by its clock')
def sent_and_restarted(context: Context, text: str, route: str, ahead: int) -> None:
    start_ms = int((time.time() + ahead) * 1000)

    def restart() -> None:
        deadline = time.monotonic() + 2.0
        while not context.silent.arrivals and time.monotonic() < deadline:
            time.sleep(0.01)
        world(context).list_restarted(context.silent, route, start_ms)

    restarting = Thread(target=restart, daemon=True)
    restarting.start()
    context.answers = [world(context).ask(route, text.encode())]
    restarting.join(3.0)
