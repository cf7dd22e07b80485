"""Steps about the choice of servers and the exchange of loads among gateways."""

import re
import time
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.support.placement_model import PlacementModel
from yarrowwall.budgets.open_tries import open_claim_value
from yarrowwall.capacity.load_board import LoadBoard
from yarrowwall.capacity.load_reports import LoadReporter
from yarrowwall.messages.replicated import (
    GroupView,
    LoadReply,
    Member,
    ReportLoad,
    StoredRecord,
    TellLoad,
)
from yarrowwall.model import EngineTraits, Incarnation, PromptPart, Server, Service
from yarrowwall.policy.active_programs import ActivePrograms
from yarrowwall.policy.server_choice import PlacementRequest, ServerChooser
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.table import RecordTable

NOW = 100.0
SERVICE = "models"
SHARED = PromptPart("shared", 12_000)


def directory(names: list[str], slots: int) -> ServerDirectory:
    """Return a gateway's directory of engines."""
    found = ServerDirectory("zone-a")
    services = {SERVICE: Service(SERVICE, EngineTraits(slots, 500_000, 23))}
    servers = [Server(name, SERVICE, "127.0.0.1:1", "zone-a", slots, False) for name in names]
    found.replace_all(servers, services, NOW)
    return found


def chosen(context: Context, engines: ServerDirectory, program: str, last: str = "") -> str:
    """Return the engine chosen for a turn of a program."""
    prompt = (SHARED, PromptPart(f"own-{program}", 4_000))
    request = PlacementRequest(prompt, program, last)
    choice = ServerChooser(engines).choose(SERVICE, (), context.now, request)
    assert choice is not None
    return choice.server.server_id


@given("engines {names} with {slots:d} slots each in one zone")
def engines_in_zone(context: Context, names: str, slots: int) -> None:
    context.names = re.findall(r'"(\w+)"', names)
    context.slots = slots
    context.now = NOW
    context.engines = directory(context.names, slots)


@given('an engine "{name}" with {slots:d} slots in another zone')
def engine_in_other_zone(context: Context, name: str, slots: int) -> None:
    services = {SERVICE: Service(SERVICE, EngineTraits(slots, 500_000, 23))}
    server = Server(name, SERVICE, "127.0.0.1:1", "zone-b", slots, False)
    context.engines.put(server, services, NOW)


@then('none of {count:d} new programs goes to "{name}"')
def none_goes_to(context: Context, count: int, name: str) -> None:
    found = {chosen(context, context.engines, f"p{number}") for number in range(count)}
    assert name not in found, found


@when('other gateways report {count:d} requests at "{one}" and "{two}" and none at "{free}"')
def others_report_two(context: Context, count: int, one: str, two: str, free: str) -> None:
    context.engines.update_loads({one: count, two: count}, context.now)


@when('other gateways report {count:d} requests at "{full}" and none at "{free}"')
def others_report(context: Context, count: int, full: str, free: str) -> None:
    context.engines.update_loads({full: count}, context.now)


@when("{seconds:f} s pass without further reports")
def pass_without_reports(context: Context, seconds: float) -> None:
    context.now += seconds


@when('events of "{slow}" take {slow_ms:d} ms and those of "{one}" and "{other}" {typical_ms:d} ms')
def service_times(
    context: Context, slow: str, slow_ms: int, one: str, other: str, typical_ms: int
) -> None:
    for name, event_ms in ((slow, slow_ms), (one, typical_ms), (other, typical_ms)):
        context.engines.note_service_time(Incarnation(name), event_ms / 1000.0, context.now)


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
    known = [directory(context.names, context.slots) for _ in range(gateways)]
    used = set()
    for number in range(programs):
        found = {chosen(context, engines, f"p{number}") for engines in known}
        assert len(found) == 1, found
        used |= found
    assert used == set(context.names), used


@then(
    "a gateway that knows where the previous turn ran chooses that engine for each of {programs:d}"
    " programs"
)
def follows(context: Context, programs: int) -> None:
    for number in range(programs):
        last = context.names[number % len(context.names)]
        assert chosen(context, context.engines, f"p{number}", last) == last


@then('a program whose previous turn ran at "{last}" goes to "{name}"')
def goes_to(context: Context, last: str, name: str) -> None:
    assert chosen(context, context.engines, "p", last) == name


@then('a program whose previous turn ran at "{last}" does not go to "{name}"')
def does_not_go_to(context: Context, last: str, name: str) -> None:
    assert chosen(context, context.engines, "p", last) != name


@given(
    'a load board to which "{one}" reported {first:d} requests at "{at}" and "{two}" {second:d} at'
    ' "{same}"'
)
def board_with_reports(
    context: Context, one: str, first: int, at: str, two: str, second: int, same: str
) -> None:
    context.board = LoadBoard()
    context.board.record_report(one, {at: first}, NOW)
    context.board.record_report(two, {same: second}, NOW)


@then('"{gateway}" receives a load of {count:d} requests at "{server}"')
def receives_load(context: Context, gateway: str, count: int, server: str) -> None:
    assert context.board.loads_of_others(gateway)[server] == count


@then(
    '{seconds:f} s later, when "{reporter}" reports again, "{gateway}" receives a load of {count:d}'
    ' requests at "{server}"'
)
def receives_load_later(
    context: Context, seconds: float, reporter: str, gateway: str, count: int, server: str
) -> None:
    context.board.record_report(reporter, {server: count}, NOW + seconds)
    assert context.board.loads_of_others(gateway)[server] == count


@given("a load board with {count:d} reporting gateways")
def board_with(context: Context, count: int) -> None:
    context.board = LoadBoard()
    for number in range(count):
        context.board.record_report(f"g{number}", {}, NOW)


@then("their report interval is {seconds:f} s")
def report_every(context: Context, seconds: float) -> None:
    assert abs(context.board.interval_s - seconds) < 1e-9, context.board.interval_s


@given('budget records of "{program}" with the notes "{first}", "{second}" and then none')
def budget_records(context: Context, program: str, first: str, second: str) -> None:
    context.records = RecordTable()
    for number, note in enumerate((first, second, "")):
        # A reservation has no note; its settlement adds one.
        for version, value in ((0, open_claim_value("request")), (1, note.encode())):
            key = f"budget/{program}/{number}"
            record = StoredRecord(key, version, program, "", 60.0, 10, value)
            context.records.put([record], NOW)


@then('the newest note of "{program}" is "{note}"')
def note_is(context: Context, program: str, note: str) -> None:
    assert context.records.newest_note(program) == note


@then('"{program}" has no note')
def no_note(context: Context, program: str) -> None:
    assert context.records.newest_note(program) == ""


@given('an engine "{name}" that was listed before a configuration with {tokens:d} cache tokens')
def listed_early(context: Context, name: str, tokens: int) -> None:
    context.engines = ServerDirectory("zone-a")
    server = Server(name, SERVICE, "127.0.0.1:1", "zone-a", 6, False)
    context.engines.replace_all([server], {}, NOW)
    context.services = {SERVICE: Service(SERVICE, EngineTraits(6, tokens, 23))}


@when("the configuration arrives")
def configuration_arrives(context: Context) -> None:
    context.engines.update_services(context.services)


@then('a prompt of {count:d} parts that was sent to "{name}" is assumed to be fully cached')
def fully_cached(context: Context, count: int, name: str) -> None:
    prompt = [PromptPart(f"part-{number}", 1000) for number in range(count)]
    prefix_cache = context.engines.states[name].prefix_cache
    prefix_cache.note_sent(prompt)
    assert prefix_cache.cached_tokens(prompt) == 1000 * count


class _BoardLink:
    """A link to a machine whose load board answers at once, or not at all."""

    def __init__(self) -> None:
        self.board = LoadBoard()
        self.is_silent = False

    def post(self, message: ReportLoad, completion: Callable[[object], None]) -> int:
        """Record a report and answer it."""
        if not self.is_silent:
            self._record(message)
            others = self.board.loads_of_others(message.node_id)
            completion(LoadReply(list(others), list(others.values()), 0.1, 2))
        return 1

    def send_one_way(self, message: TellLoad) -> None:
        """Record a report."""
        if not self.is_silent:
            self._record(message)

    def _record(self, message: ReportLoad | TellLoad) -> None:
        running = dict(zip(message.servers, message.running, strict=True))
        self.board.record_report(message.node_id, running, NOW)

    def forget(self, number: int, is_late: bool = False) -> None:
        """Do nothing; a late reply needs no cleanup here."""


class _BoardLinks:
    """Links that all lead to one machine."""

    def __init__(self) -> None:
        self.link = _BoardLink()

    def get(self, address: str) -> _BoardLink:
        """Return the link to an address."""
        return self.link


@given('gateways "{one}" and "{two}" that report loads of engine "{engine}" to one board')
def reporting_gateways(context: Context, one: str, two: str, engine: str) -> None:
    context.links = _BoardLinks()
    views = GroupViews()
    views.update(GroupView(0, 1, [Member("r1", "disk-1", "127.0.0.1:2", "zone-a")], []))
    context.directories = {name: directory([engine], 6) for name in (one, two)}
    context.reporters = {
        name: LoadReporter(name, known, views, context.links, lambda: NOW, ActivePrograms())
        for name, known in context.directories.items()
    }


@when('"{gateway}" {change} a turn at "{engine}" and reports it')
def turn_changes(context: Context, gateway: str, change: str, engine: str) -> None:
    known = context.directories[gateway]
    if change == "starts":
        context.place = known.note_started(Incarnation(engine))
    else:
        context.place.running -= 1
    context.reporters[gateway].report_loads()


@when('"{gateway}" requests the loads')
def requests_loads(context: Context, gateway: str) -> None:
    started_s = time.monotonic()
    context.reporters[gateway].request_loads().wait()
    context.waited_s = time.monotonic() - started_s


@then('"{gateway}" knows {count:d} requests at "{engine}"')
def knows_load(context: Context, gateway: str, count: int, engine: str) -> None:
    known = context.directories[gateway]
    assert known.load(known.states[engine], NOW) == count


@when("the load board stops answering")
def board_silent(context: Context) -> None:
    context.links.link.is_silent = True


@then('"{gateway}" waited at most {limit:d} ms')
def waited_at_most(context: Context, gateway: str, limit: int) -> None:
    assert context.waited_s * 1000.0 <= limit, context.waited_s


@given("171 gateways, 30 engines with 6 slots and a burst")
def many_gateways(context: Context) -> None:
    """Do nothing: :mod:`features.support.placement_model` is set up like this."""


@when("gateways report every {seconds:f} s")
def reports_only(context: Context, seconds: float) -> None:
    context.outcome = PlacementModel(1, seconds, is_fresh=False).run()


@when("gateways report every {seconds:f} s and turns request the loads")
def reports_and_requests(context: Context, seconds: float) -> None:
    context.outcome = PlacementModel(1, seconds, is_fresh=True).run()


@then("over {count:d} programs in 1000 are late")
def many_late(context: Context, count: int) -> None:
    assert context.outcome.late * 1000 > count * context.outcome.programs, context.outcome


@then("under {count:d} programs in 1000 are late")
def few_late(context: Context, count: int) -> None:
    assert context.outcome.late * 1000 < count * context.outcome.programs, context.outcome


@then("under {count:d} turns were preempted")
def few_preempted(context: Context, count: int) -> None:
    assert context.outcome.preempted < count, context.outcome
