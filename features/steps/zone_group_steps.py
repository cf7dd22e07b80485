"""Steps about the zones' own groups of replicas."""

import time

from behave import given, then, when
from behave.runner import Context

from features.support.platform_scripts import check_retired_within, retire, world
from features.support.platform_world import PlatformWorld
from features.support.processes import wait_until
from features.support.zone_groups_model import run_zone_group_schedules
from features.support.zone_groups_mutants import MUTANTS
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import GroupView, Member, StoredRecord
from yarrowwall.ports.object_store import StoredObject
from yarrowwall.replication.documents import read_groups
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.planner import (
    ended_view,
    first_zone_views,
    next_view,
    revised_view,
    target_size,
)
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.replication.views import (
    ZONE_GROUPS_FROM,
    has_read_quorum,
    has_write_quorum,
    is_zone_group,
    tolerates_losses,
    zone_of,
)

GROUP = 2 * ZONE_GROUPS_FROM
KEY = "turn/zone-record"


def disk(name: str, zone: str = "zone-a", number: int = 1) -> Member:
    return Member(name, f"{name}-{number}", f"10.0.0.1:{ord(name[0])}", zone)


def _record(key: str = KEY) -> StoredRecord:
    return StoredRecord(key, 1, "", "", 600.0, 0, b"text")


# Quorums


@given("a zone group of {members:d} replicas in a system that tolerates the loss of {losses:d}")
def zone_group(context: Context, members: int, losses: int) -> None:
    group = ZONE_GROUPS_FROM * (losses + 1)
    context.view = GroupView(group, 1, [disk(name) for name in "abcde"[:members]], [])
    context.disks = [member.disk_id for member in context.view.members]


@then("a write is complete on {writers:d} and a read with {responders:d}")
def quorums(context: Context, writers: int, responders: int) -> None:
    assert has_write_quorum(context.view, context.disks[:writers])
    assert not has_write_quorum(context.view, context.disks[: writers - 1])
    assert has_read_quorum(context.view, context.disks[:responders])
    assert not has_read_quorum(context.view, context.disks[: responders - 1])


@then("it {tolerates} the loss of as many disks at once")
def losses_tolerated(context: Context, tolerates: str) -> None:
    assert tolerates_losses(context.view) is (tolerates == "tolerates")


# Views


def _registered(zones: str) -> list[Member]:
    return [disk(f"{zone}{place}", zone) for place, zone in enumerate(zones.split(","))]


@given('storage machines registered in zones "{zones}"')
def registered(context: Context, zones: str) -> None:
    context.registered = _registered(zones)


@then('the first zone groups are "{first}" and "{second}" where {losses:d} may be lost')
def first_groups(context: Context, first: str, second: str, losses: int) -> None:
    views = first_zone_views(context.registered, target_size(losses))
    found = [f"{v.group}: {','.join(one.node_id for one in v.members)}" for v in views]
    assert found == [first, second], found


@then('storage machines registered in zones "{zones}" get no zone groups')
def no_groups(context: Context, zones: str) -> None:
    assert first_zone_views(_registered(zones), target_size(1)) == []


@given('a process that knows {count:d} common groups and zone groups {a:d} of "a" and {b:d} of "b"')
def process_views(context: Context, count: int, a: int, b: int) -> None:
    context.views = GroupViews()
    for group in range(count):
        context.views.update(GroupView(group, 1, [disk("c")], []))
    for group, zone in ((a, "a"), (b, "b")):
        context.views.update(GroupView(group, 1, [disk("d", zone), disk("e", zone)], []))
    context.groups = {"a": a, "b": b}


@then(
    "it counts {count:d} groups, assigns keys to those alone "
    'and knows the zone groups of "a" and "b"'
)
def knows_groups(context: Context, count: int) -> None:
    views = context.views
    assert views.common_group_count == count
    assert {views.group_of(f"key-{n}") for n in range(50)} == set(range(count))
    assert views.zone_groups() == context.groups
    assert views.zone_group("b") == context.groups["b"]
    assert views.zone_group("c") is None
    assert not views.tolerates_losses(context.groups["a"])


@then(
    'once the group of "b" has ended it knows that of "a" alone, '
    "and still counts {count:d} zone groups"
)
def knows_end(context: Context, count: int) -> None:
    context.views.update(GroupView(context.groups["b"], 2, [], []))
    assert context.views.zone_groups() == {"a": context.groups["a"]}
    assert context.views.zone_group_count == count


@given('a zone group of "a" and "b" that are both being retired')
def both_retiring(context: Context) -> None:
    context.view = GroupView(GROUP, 1, [disk("a"), disk("b")], [])
    context.replica = RecordReplica("a", "a-1")


@then('it becomes a group of "a" alone')
def shrinks(context: Context) -> None:
    registered = {member.node_id: member for member in context.view.members}
    arguments = (registered, {"a", "b"}, {"a", "b"}, {"a-1", "b-1"}, 3)
    assert next_view(context.view, *arguments) is None
    assert ended_view(context.view, context.replica, {"a"}) is None
    shrinking = ended_view(context.view, context.replica, {"a", "b"})
    assert shrinking == GroupView(GROUP, 2, context.view.members, [disk("a")])
    assert ended_view(shrinking, context.replica, {"a", "b"}) is None


@then("that ends only once its records have expired")
def ends(context: Context) -> None:
    alone = GroupView(GROUP, 3, [disk("a")], [])
    assert ended_view(alone, context.replica, {"a"}) is None, "it lacks complete records"
    context.replica.counts_for_reads = True
    context.replica.table.put([_record()], 0.0)
    assert ended_view(alone, context.replica, {"a"}) is None
    context.replica.table.drop(context.replica.table.overdue(1e6), 1e6)
    assert ended_view(alone, context.replica, {"a"}) == GroupView(GROUP, 4, [], [])


@given('a zone group of "a" and "b" where "c" joins for "b"')
def joining(context: Context) -> None:
    context.view = GroupView(GROUP, 2, [disk("a"), disk("b")], [disk("a"), disk("c")])
    context.newest = {name: disk(name) for name in "abc"}


@then('with "c" on a new disk the change continues with that')
def revised(context: Context) -> None:
    newest = {**context.newest, "c": disk("c", number=2)}
    found = revised_view(context.view, newest)
    joining = [disk("a"), disk("c", number=2)]
    assert found == GroupView(GROUP, 3, context.view.members, joining)


@then("with all disks in place the change is not revised")
def not_revised(context: Context) -> None:
    assert revised_view(context.view, context.newest) is None


# Schedules


@given('the zone group\'s mutant "{name}"')
def use_mutant(context: Context, name: str) -> None:
    patcher = MUTANTS[name]()
    patcher.start()
    context.add_cleanup(patcher.stop)


@then(
    "{count:d} random schedules of a zone group of {members:d} that tolerates {losses:d} losses "
    "keep budgets and records"
)
def schedules_hold(context: Context, count: int, members: int, losses: int) -> None:
    granted, changed = run_zone_group_schedules(count, members, losses)
    assert granted > count / 20, f"only {granted} reservations were granted"
    assert changed > count / 2, f"only {changed} groups changed"


@then(
    "some of {count:d} random schedules of a zone group of {members:d} that tolerates {losses:d} "
    "losses break a promise"
)
def schedules_break(context: Context, count: int, members: int, losses: int) -> None:
    try:
        run_zone_group_schedules(count, members, losses)
    except AssertionError:
        return
    raise AssertionError("the mutant was not caught")


# Processes


@given('{replicas:d} storage machines in the zones "{first}" and "{second}" and a gateway')
def zones_of_machines(context: Context, replicas: int, first: str, second: str) -> None:
    context.platform = PlatformWorld(gateways=1, replicas=replicas, zones=(first, second))
    context.replica_count = replicas
    context.by_route = {}
    world(context).wait_ready()


def _views(context: Context) -> dict[str, GroupView]:
    """Return the newest views of zone groups by zone, and that of the common group under ""."""
    item = world(context).store.get("yarrowwall-groups", "all")
    views = read_groups(StoredObject("all", 1, item["spec"], None)) or []
    return {zone_of(view) if is_zone_group(view.group) else "": view for view in views}


def _client(context: Context) -> QuorumClient:
    views = GroupViews()
    for view in _views(context).values():
        views.update(view)
    return QuorumClient(
        "zone-b", views, LinkTable(DecisionLog("edge-0"), time.monotonic), time.monotonic
    )


def _until_done(operation, what: str) -> object:
    """Retry an operation until it gets its quorum; return its result."""
    found: list[object] = []

    def is_done() -> bool:
        try:
            found.append(operation())
        except NoQuorumError:
            return False
        return True

    wait_until(is_done, what)
    return found[0]


@then(
    "the groups of both zones have {size:d} members each, the machine in no common group among them"
)
def zone_groups_up(context: Context, size: int) -> None:
    views = _views(context)
    common = {member.node_id for member in views.pop("").members}
    assert {zone: len(view.members) for zone, view in views.items()} == {
        "zone-a": size,
        "zone-b": size,
    }
    in_zones = {member.node_id for view in views.values() for member in view.members}
    assert len(in_zones - common) == context.replica_count - len(common) == 1


@then("the gateway knows them")
def gateway_knows(context: Context) -> None:
    wanted = {view.group for view in _views(context).values()}

    def is_known() -> bool:
        lines = [line for line in world(context).log("edge-0") if line["kind"] == "GroupChanged"]
        return {line["group"] for line in lines} == wanted

    wait_until(is_known, "the gateway knows all groups")


@when('a record is written in the group of "{zone}"')
def write_record(context: Context, zone: str) -> None:
    group = _views(context)[zone].group
    _until_done(lambda: _client(context).write(group, [_record()]), "the record is written")


@when("every storage machine is killed and starts again")
def restart_all(context: Context) -> None:
    names = [name for name in world(context).processes if name.startswith("storage")]
    for name in names:
        world(context).kill(name)
    for name in names:
        world(context).start_machine(name, is_gateway=False)


@then('the record is found in the group of "{zone}"')
def record_found(context: Context, zone: str) -> None:
    def read() -> dict[str, StoredRecord]:
        return _client(context).read_chain(_views(context)[zone].group, KEY, [])

    assert _until_done(read, "the group answers") == {KEY: _record()}


@then("no common group has it")
def not_in_common(context: Context) -> None:
    def read() -> dict[str, StoredRecord]:
        return _client(context).read_chain(_views(context)[""].group, KEY, [])

    assert _until_done(read, "the common group answers") == {}


def _members(context: Context, zone: str) -> set[str]:
    view = _views(context)[zone]
    return set() if view.joining else {member.disk_id for member in view.members}


@then('its new disk is a member of the group of "{zone}" within {limit:d} s')
def new_disk_in(context: Context, zone: str, limit: int) -> None:
    started = time.monotonic()
    path = context.own_folder / "zone" / "replica-id"

    def is_in() -> bool:
        return path.exists() and path.read_text().strip() in _members(context, zone)

    wait_until(is_in, "the new disk is a member")
    assert time.monotonic() - started < limit
    context.new_disk = path.read_text().strip()
    assert len(_members(context, zone)) == 2


@then('a write in the group of "{zone}" is complete on the new disk')
def write_on_new_disk(context: Context, zone: str) -> None:
    view = _views(context)[zone]
    others = [member.disk_id for member in view.members if member.disk_id != context.new_disk]
    assert not has_write_quorum(view, others), "a write would be complete without it"
    record = _record("turn/after")
    _until_done(lambda: _client(context).write(view.group, [record]), "the record is written")


@when('the other storage machine of "{zone}" is being retired')
def retire_other(context: Context, zone: str) -> None:
    view = _views(context)[zone]
    others = [member for member in view.members if member.disk_id != context.new_disk]
    context.retired_zone = zone
    retire(context, others[0].node_id)


@then("its retirement is complete within {limit:d} s, and that group has the new disk alone")
def retired_from_both(context: Context, limit: int) -> None:
    check_retired_within(context, limit)
    assert _members(context, context.retired_zone) == {context.new_disk}


@when('a further storage machine of "{zone}" starts')
def further_machine(context: Context, zone: str) -> None:
    number = context.replica_count
    while world(context).zone_of(f"storage-{number}") != zone:
        number += 1
    world(context).start_machine(f"storage-{number}", is_gateway=False)


@then('the group of "{zone}" has {size:d} members within {limit:d} s')
def group_grown(context: Context, zone: str, size: int, limit: int) -> None:
    started = time.monotonic()
    wait_until(lambda: len(_members(context, zone)) == size, "the machine has joined")
    assert time.monotonic() - started < limit


@when('every storage machine is killed and starts again, half of them in "{zone}"')
def restart_in_zones(context: Context, zone: str) -> None:
    world(context).zones = (world(context).zones[0], zone)
    restart_all(context)


@then("{seconds:d} s later there is still no zone group, and records are written")
def no_zone_group(context: Context, seconds: int) -> None:
    time.sleep(seconds)
    registered = [
        item["spec"]["zone"]
        for (kind, _), item in world(context).store.objects.items()
        if kind == "yarrowwall-replicas"
    ]
    assert set(registered) == {"zone-a", "zone-b"}, registered
    assert set(_views(context)) == {""}
    group = _views(context)[""].group
    _until_done(lambda: _client(context).write(group, [_record()]), "the record is written")


def _storage_of(context: Context, zone: str) -> list[str]:
    names = [name for name in world(context).processes if name.startswith("storage")]
    return [name for name in names if world(context).zone_of(name) == zone]


@when('the storage machines of "{gone}" are killed and the store refuses those of "{cut}"')
def cut_zone(context: Context, gone: str, cut: str) -> None:
    context.gone = _storage_of(context, gone)
    for name in context.gone:
        world(context).kill(name)
    for name in _storage_of(context, cut):
        world(context).store.turn_away(name)


@then(
    'for {seconds:d} s each write in the group of "{zone}" is complete, '
    "and none in the common group"
)
def writes_in_cut(context: Context, seconds: int, zone: str) -> None:
    groups = {name: view.group for name, view in _views(context).items()}
    client = _client(context)
    context.written = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        key = f"turn/cut-{len(context.written)}"
        client.write(groups[zone], [_record(key)])
        context.written.append(key)
        try:
            client.write(groups[""], [_record(key)], timeout=0.2)
        except NoQuorumError:
            continue
        raise AssertionError("the common group completed a write")


@when('the store accepts all again and the storage machines of "{zone}" start again')
def heal(context: Context, zone: str) -> None:
    world(context).store.answer_all()
    for name in _storage_of(context, zone):
        world(context).start_machine(name, is_gateway=False)


@then("a write in the common group is complete")
def common_writes(context: Context) -> None:
    def write() -> None:
        _client(context).write(_views(context)[""].group, [_record("turn/healed")])

    _until_done(write, "the common group completes a write")


@then('all that was written in the group of "{zone}" is found there')
def all_found(context: Context, zone: str) -> None:
    client = _client(context)
    group = _views(context)[zone].group
    assert len(context.written) > 1
    for key in context.written:
        assert client.read_chain(group, key, []) == {key: _record(key)}
