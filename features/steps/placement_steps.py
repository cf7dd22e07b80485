"""Steps about the choice of servers and what gateways tell each other of their loads."""

import re

from behave import given, then, when
from behave.runner import Context

from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.relay.model import EngineTraits, PromptPart, Server, Service
from yarrowwall.relay.servers import ServerDirectory, Wish
from yarrowwall.replication.load_board import LoadBoard
from yarrowwall.replication.table import RecordTable

NOW = 100.0
SERVICE = "models"
SHARED = PromptPart("shared", 12_000)


def directory(names: list[str], places: int) -> ServerDirectory:
    """Return what one gateway knows of engines."""
    found = ServerDirectory("zone-a")
    services = {SERVICE: Service(SERVICE, 100, EngineTraits(places, 500_000, 23))}
    servers = [Server(name, SERVICE, "127.0.0.1:1", "zone-a", places, False) for name in names]
    found.replace_all(servers, services, NOW)
    return found


def chosen(context: Context, engines: ServerDirectory, program: str, last: str = "") -> str:
    """Return the engine chosen for a turn of a program."""
    prompt = (SHARED, PromptPart(f"own-{program}", 4_000))
    choice = engines.choose(SERVICE, (), context.now, Wish(prompt, program, last))
    assert choice is not None
    return choice.server.server_id


@given("engines {names} with {places:d} places each in one zone")
def engines_in_zone(context: Context, names: str, places: int) -> None:
    context.names = re.findall(r'"(\w+)"', names)
    context.places = places
    context.now = NOW
    context.engines = directory(context.names, places)


@given('an engine "{name}" with {places:d} places in another zone')
def engine_elsewhere(context: Context, name: str, places: int) -> None:
    services = {SERVICE: Service(SERVICE, 100, EngineTraits(places, 500_000, 23))}
    server = Server(name, SERVICE, "127.0.0.1:1", "zone-b", places, False)
    context.engines.put(server, services, NOW)


@then('none of {count:d} new programs goes to "{name}"')
def none_goes_to(context: Context, count: int, name: str) -> None:
    found = {chosen(context, context.engines, f"p{number}") for number in range(count)}
    assert name not in found, found


@when('other gateways tell of {count:d} requests at "{one}" and "{two}" and none at "{free}"')
def others_tell_of_two(context: Context, count: int, one: str, two: str, free: str) -> None:
    context.engines.take_loads({one: count, two: count}, context.now)


@when('other gateways tell of {count:d} requests at "{full}" and none at "{free}"')
def others_tell(context: Context, count: int, full: str, free: str) -> None:
    context.engines.take_loads({full: count}, context.now)


@when("{seconds:f} s pass without news of them")
def pass_without_news(context: Context, seconds: float) -> None:
    context.now += seconds


@when('events of "{slow}" take {slow_ms:d} ms and those of "{one}" and "{other}" {usual_ms:d} ms')
def paces(context: Context, slow: str, slow_ms: int, one: str, other: str, usual_ms: int) -> None:
    for name, pace_ms in ((slow, slow_ms), (one, usual_ms), (other, usual_ms)):
        context.engines.note_pace(name, pace_ms / 1000.0, context.now)


@then('{count:d} new programs all go to "{name}"')
def all_go_to(context: Context, count: int, name: str) -> None:
    found = {chosen(context, context.engines, f"p{number}") for number in range(count)}
    assert found == {name}, found


@then('some of {count:d} new programs go to "{name}"')
def some_go_to(context: Context, count: int, name: str) -> None:
    found = {chosen(context, context.engines, f"p{number}") for number in range(count)}
    assert name in found, found


@then("{gateways:d} gateways choose the same engine for each of {programs:d} programs")
def gateways_agree(context: Context, gateways: int, programs: int) -> None:
    known = [directory(context.names, context.places) for _ in range(gateways)]
    used = set()
    for number in range(programs):
        found = {chosen(context, engines, f"p{number}") for engines in known}
        assert len(found) == 1, found
        used |= found
    assert used == set(context.names), used


@then(
    "a gateway that is told where the turn before ran chooses that engine"
    " for each of {programs:d} programs"
)
def follows(context: Context, programs: int) -> None:
    for number in range(programs):
        last = context.names[number % len(context.names)]
        assert chosen(context, context.engines, f"p{number}", last) == last


@then('a program whose turn before ran at "{last}" goes to "{name}"')
def goes_to(context: Context, last: str, name: str) -> None:
    assert chosen(context, context.engines, "p", last) == name


@then('a program whose turn before ran at "{last}" does not go to "{name}"')
def does_not_go_to(context: Context, last: str, name: str) -> None:
    assert chosen(context, context.engines, "p", last) != name


@given(
    'a load board that "{one}" told of {first:d} requests at "{at}"'
    ' and "{two}" of {second:d} at "{same}"'
)
def board_told(
    context: Context, one: str, first: int, at: str, two: str, second: int, same: str
) -> None:
    context.board = LoadBoard()
    context.board.take(one, {at: first}, NOW)
    context.board.take(two, {same: second}, NOW)


@then('"{gateway}" is told of {count:d} requests at "{server}"')
def is_told(context: Context, gateway: str, count: int, server: str) -> None:
    assert context.board.others(gateway)[server] == count


@then(
    '{seconds:f} s later, when "{reporter}" reports again,'
    ' "{gateway}" is told of {count:d} requests at "{server}"'
)
def told_later(
    context: Context, seconds: float, reporter: str, gateway: str, count: int, server: str
) -> None:
    context.board.take(reporter, {server: count}, NOW + seconds)
    assert context.board.others(gateway)[server] == count


@given("a load board with {count:d} reporting gateways")
def board_with(context: Context, count: int) -> None:
    context.board = LoadBoard()
    for number in range(count):
        context.board.take(f"g{number}", {}, NOW)


@then("they are to report every {seconds:f} s")
def report_every(context: Context, seconds: float) -> None:
    assert abs(context.board.interval_s - seconds) < 1e-9, context.board.interval_s


@given('budget records of "{program}" that note "{first}", then "{second}", then nothing yet')
def budget_records(context: Context, program: str, first: str, second: str) -> None:
    context.records = RecordTable()
    for number, note in enumerate((first, second, "")):
        # Each reservation comes without a note; its settlement brings it.
        for version, value in ((0, b""), (1, note.encode())):
            key = f"budget/{program}/{number}"
            record = StoredRecord(key, version, program, "", 60.0, 10, value)
            context.records.put([record], NOW)


@then('the newest note of "{program}" is "{note}"')
def note_is(context: Context, program: str, note: str) -> None:
    assert context.records.newest_note(program) == note


@then('nothing is noted of "{program}"')
def no_note(context: Context, program: str) -> None:
    assert context.records.newest_note(program) == ""
