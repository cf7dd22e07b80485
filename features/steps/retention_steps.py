"""Steps about how long records are kept.

A scenario's plot is collected from its steps, and played on a virtual clock by its last one.
"""

from collections import Counter
from collections.abc import Callable
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.retention_lines import Line, LineWorld, forget_times, stop_machine
from features.support.retention_model import run_retention_schedules
from features.support.retention_mutants import MUTANTS
from features.support.virtual_time import run_virtually
from features.support.zone_model import ZONES, Gateway
from yarrowwall.budgets.turns import Turn, turn_key
from yarrowwall.exceptions import BudgetExhaustedError, StoreUncertainError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.table import RecordTable

#: A step of a plot, which acts on the world and the line of the scenario.
Act = Callable[[LineWorld, Line], None]


@given("{machines:d} storage machines in each of three zones")
def storage_machines(context: Context, machines: int) -> None:
    context.machines = machines
    context.acts = []


def _play(context: Context, last: Act) -> None:
    """Play the scenario's plot."""

    def play() -> None:
        world = LineWorld(context.machines)
        line = world.line("program")
        for act in [*context.acts, last]:
            act(world, line)

    run_virtually(play)


# Lines


@when("a line of {count:d} turns comes through the zones in turn")
def through_zones(context: Context, count: int) -> None:
    context.acts.append(lambda world, line: world.run_turns(line, count))


@when(
    "a line of {count:d} turns comes through the zones in turn, and another turn {later:d} s later"
)
def through_zones_and_later(context: Context, count: int, later: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        world.run_turns(line, count, 0.3)
        eventlet.sleep(later)
        world.turn(line, ZONES[count % 3])

    context.acts.append(act)


@when(
    'a line of {count:d} turns comes through zone "{zone}" alone, '
    "and another turn {later:d} s later"
)
def through_one_zone(context: Context, count: int, zone: str, later: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        for _ in range(count):
            world.turn(line, zone)
        eventlet.sleep(later)
        world.turn(line, zone)

    context.acts.append(act)


@when(
    'a line of {count:d} turns comes through zone "{zone}" alone, '
    "and {more:d} turns with pauses of {pause:d} s"
)
def from_memory(context: Context, count: int, zone: str, more: int, pause: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        for _ in range(count):
            world.turn(line, zone)
        for _ in range(more):
            eventlet.sleep(pause)
            world.turn(line, zone)

    context.acts.append(act)


@when(
    "a line of {count:d} turns comes through the zones in turn, "
    'and {more:d} more while "{name}" is down for {seconds:f} s'
)
def while_down(context: Context, count: int, more: int, name: str, seconds: float) -> None:
    def act(world: LineWorld, line: Line) -> None:
        world.run_turns(line, count)
        stop_machine(world.machines[name], seconds)
        for number in range(more):
            world.turn(line, ZONES[number % 3])
            eventlet.sleep(0.5 if number < more - 1 else 46.0)
        world.turn(line, ZONES[more % 3])

    context.acts.append(act)


@when("two branches go on from a line of {count:d} turns, and one of them for {seconds:d} s")
def branches(context: Context, count: int, seconds: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        world.run_turns(line, count)
        other = line.branch()
        for number in range(3):
            world.turn(other, ZONES[number])
        for number in range(seconds // 50):
            world.turn(line, ZONES[number % 3])
            eventlet.sleep(50.0)

    context.acts.append(act)


@when("a line of {count:d} turns was stored without owners")
def without_owners(context: Context, count: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        with _records_of_earlier_release():
            world.run_turns(line, count)
        for zone in ZONES:
            world.gateways[zone] = []
            world.new_gateway(zone)

    context.acts.append(act)


def _records_of_earlier_release():
    def record(turn: Turn, retention_s: float) -> StoredRecord:
        link = f"turn/{turn.previous}" if turn.previous else ""
        return StoredRecord(f"turn/{turn.attempt_id}", 1, "", link, retention_s, 0, turn.value())

    return patch("yarrowwall.budgets.turn_store.turn_record", record)


@given('a replica with the turns "{names}", stored without owners {interval:d} s apart')
def stored_without_owners(context: Context, names: str, interval: int) -> None:
    context.records = RecordTable()
    link = ""
    for number, name in enumerate(names.split(",")):
        context.last_s = 1.0 * number * interval
        context.records.put([StoredRecord(name, 1, "", link, 60.0, 0, b"")], context.last_s)
        link = name


@then('it keeps "{names}" until {seconds:d} s after the last of them')
def keeps_until(context: Context, names: str, seconds: int) -> None:
    left_s = [context.records.key_left_s(name, context.last_s) for name in names.split(",")]
    assert left_s == [seconds] * len(left_s), left_s


@when("it goes on for {count:d} turns with pauses of {pause:d} s")
def goes_on_with_pauses(context: Context, count: int, pause: int) -> None:
    context.acts.append(lambda world, line: world.run_turns(line, count, pause))


@then("{seconds:d} s later it goes on at new gateways of every zone")
def goes_on(context: Context, seconds: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        eventlet.sleep(seconds)
        world.check_goes_on(line)

    _play(context, act)


@then("that branch goes on at new gateways of every zone")
def branch_goes_on(context: Context) -> None:
    _play(context, lambda world, line: world.check_goes_on(line))


# Budgets


@when(
    '{count:d} programs spend 900 of 1000 tokens through zone "{zone}" '
    'while "{name}" is down for {seconds:f} s'
)
def spend(context: Context, count: int, zone: str, name: str, seconds: float) -> None:
    context.programs = [f"program-{number}" for number in range(count)]

    def act(world: LineWorld, line: Line) -> None:
        stop_machine(world.machines[name], seconds)
        for _ in range(9):
            for program in context.programs:
                eventlet.spawn_n(_spend, world, program, zone)
            eventlet.sleep(0.29)

    context.acts.append(act)


@when('{seconds:d} s later 100 tokens through zone "{zone}"')
def spend_later(context: Context, seconds: int, zone: str) -> None:
    def act(world: LineWorld, line: Line) -> None:
        eventlet.sleep(seconds)
        for program in context.programs:
            _spend(world, program, zone)

    context.acts.append(act)


def _spend(world: LineWorld, program: str, zone: str) -> None:
    world.turn(world.line(program), zone, budget=1000, tokens=100)


@then("{seconds:d} s later every gateway refuses them a turn of 100 tokens")
def refuses(context: Context, seconds: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        eventlet.sleep(seconds)
        granted = [
            (program, zone)
            for program in context.programs
            for zone in ZONES
            if _is_granted(world, program, zone)
        ]
        assert not granted, f"granted beyond the budget: {granted}"

    _play(context, act)


def _is_granted(world: LineWorld, program: str, zone: str) -> bool:
    try:
        _spend(world, program, zone)
    except BudgetExhaustedError:
        return False
    return True


# Faults


@when(
    "a line of {count:d} turns comes through the zones in turn, "
    "and every replica restarts every 20 s"
)
def with_restarts(context: Context, count: int) -> None:
    def restart(world: LineWorld) -> None:
        while True:
            eventlet.sleep(20.0)
            for machine in world.machines.values():
                machine.lose_power()

    def act(world: LineWorld, line: Line) -> None:
        world.run_turns(line, count)
        eventlet.spawn_n(restart, world)

    context.acts.append(act)


@when("{seconds:d} s later all replicas restart with logs that tell no times")
def restart_without_times(context: Context, seconds: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        eventlet.sleep(seconds)
        for machine in world.machines.values():
            forget_times(machine)
            machine.lose_power()

    context.acts.append(act)


@when("a line of {count:d} turns comes through the zones in turn, and disks are lost every 20 s")
def with_lost_disks(context: Context, count: int) -> None:
    def lose(world: LineWorld) -> None:
        while True:
            eventlet.sleep(20.0)
            world.lose_disk()

    def act(world: LineWorld, line: Line) -> None:
        eventlet.spawn_n(world._change)
        world.run_turns(line, count)
        eventlet.spawn_n(lose, world)

    context.acts.append(act)


@when(
    "a line of {count:d} turns comes through the zones in turn, and all replicas of one group stop"
)
def group_stops(context: Context, count: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        world.run_turns(line, count)
        for member in world.views[1].members:
            world.machines[member.node_id].is_down = True

    context.acts.append(act)


@then("the other group's replicas have its records after {early:d} s, and none after {late:d} s")
def dropped_late(context: Context, early: int, late: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        names = [member.node_id for member in world.views[0].members]
        eventlet.sleep(early)
        assert any(world.records()[name] for name in names)
        eventlet.sleep(late - early)
        assert not any(world.records()[name] for name in names), world.records()

    _play(context, act)


@then("all replicas have dropped its records within {seconds:d} s")
def dropped(context: Context, seconds: int) -> None:
    def act(world: LineWorld, line: Line) -> None:
        eventlet.sleep(seconds)
        assert not any(world.records().values()), world.records()

    _play(context, act)


# Costs


@then(
    "the {late:d}th turn of a line takes as many messages and bytes as the {early:d}th, "
    "at one gateway"
)
def costs_alike(context: Context, late: int, early: int) -> None:
    _check_costs(context, late, early, ["a"])


@then(
    "the {late:d}th turn of a line takes as many messages and bytes as the {early:d}th, "
    "through three zones"
)
def costs_alike_in_zones(context: Context, late: int, early: int) -> None:
    _check_costs(context, late, early, list(ZONES))


def _check_costs(context: Context, late: int, early: int, zones: list[str]) -> None:
    costs: dict[int, Counter[str]] = {}

    def act(world: LineWorld, line: Line) -> None:
        for number in range(1, late + 1):
            eventlet.sleep(1.0)
            world.messages.clear()
            world.turn(line, zones[number % len(zones)])
            costs[number] = Counter(world.messages)

    _play(context, act)
    assert costs[late]["bytes"] <= 1.1 * costs[early]["bytes"], (costs[early], costs[late])
    assert {**costs[late], "bytes": 0} == {**costs[early], "bytes": 0}, (costs[early], costs[late])


# Schedules


@given('the retention\'s mutant "{name}"')
def retention_mutant(context: Context, name: str) -> None:
    patcher = MUTANTS[name]()
    patcher.__enter__()
    context.add_cleanup(patcher.__exit__, None, None, None)


@then("{count:d} random retention schedules from seed {first:d} keep every promise")
def schedules_hold(context: Context, count: int, first: int) -> None:
    counts = run_retention_schedules(count, first)
    assert counts["checks"] > 1000 * count, counts
    assert counts["late turns"] > 20 * count, counts
    assert counts["stops"], counts
    assert counts["ChainStoredAgain"], counts


@then("some of {count:d} random retention schedules from seed {first:d} break a promise")
def schedules_break(context: Context, count: int, first: int) -> None:
    for seed in range(first, first + count):
        try:
            run_retention_schedules(1, seed)
        except AssertionError:
            return
    raise AssertionError("the mutant was not caught")


# Turns whose write did not complete


@when(
    "a line of {count:d} turns comes through the zones in turn, "
    'and its last turn is on "{name}" alone'
)
def last_turn_on_one(context: Context, count: int, name: str) -> None:
    def act(world: LineWorld, line: Line) -> None:
        world.run_turns(line, count)
        key = turn_key(line.turns[-1])
        for other, machine in world.machines.items():
            if other != name:
                machine.forget(key)
        assert world.machines[name].disks[False].replica.table.get(key) is not None
        world.gateways = {zone: [Gateway(world, zone)] for zone in ZONES}

    context.acts.append(act)


@when('"{name}" loses its disk')
def loses_disk(context: Context, name: str) -> None:
    def act(world: LineWorld, line: Line) -> None:
        world.machines[name].lose_disk()
        world.change_groups()
        eventlet.spawn_n(world._change)
        eventlet.sleep(4.0)

    context.acts.append(act)


@then("the line has lost its third turn")
def lost(context: Context) -> None:
    def act(world: LineWorld, line: Line) -> None:
        try:
            world.check_goes_on(line)
        except StoreUncertainError as error:
            assert "is missing" in str(error)
            return
        raise AssertionError("the line goes on")

    _play(context, act)
