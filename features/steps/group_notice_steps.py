"""Steps about what a storage machine logs about groups."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.coordinated_group import CoordinatedGroup
from features.support.record_model import member
from yarrowwall import decisions
from yarrowwall.messages.replicated import GroupView
from yarrowwall.metrics import MachineMetrics
from yarrowwall.replication.losses import has_lost_all
from yarrowwall.replication.views import ZONE_GROUPS_FROM

#: Seconds between two answers of the other machines.
ANSWER_SECONDS = 0.1


def _answer_always(group: CoordinatedGroup) -> None:
    while True:
        group.peers.answer_all()
        eventlet.sleep(ANSWER_SECONDS)


@given('a storage machine "a" that looks after a group of "{first}" and "{second}"')
def coordinated_group(context: Context, first: str, second: str) -> None:
    context.group = CoordinatedGroup([first, second])
    answering = eventlet.spawn(_answer_always, context.group)
    context.add_cleanup(answering.kill)
    context.group.coordinator.start()


@given('"{disk_id}" registers')
@when('"{disk_id}" registers')
def registers(context: Context, disk_id: str) -> None:
    context.group.peers.register(disk_id)


@when('"{name}" is being retired and the groups are checked for {seconds:f} s')
def retire_for(context: Context, name: str, seconds: float) -> None:
    context.group.coordinator.retiring = {name}
    eventlet.sleep(seconds)


@when("the groups are checked for {seconds:f} s")
def checked_for(context: Context, seconds: float) -> None:
    eventlet.sleep(seconds)


@then('the group becomes "{members}" within {seconds:d} s')
def group_becomes(context: Context, members: str, seconds: int) -> None:
    with eventlet.Timeout(seconds):
        while context.group.members() != members:
            eventlet.sleep(ANSWER_SECONDS)


def _blocked_details(context: Context) -> list[str]:
    return [
        line.detail
        for line in context.group.logged
        if isinstance(line, decisions.ProcessChanged) and line.change == "retirement waits"
    ]


@then("its log says once that group {group:d} would keep {left:d} copies of {needed:d} needed")
def blocked_logged_once(context: Context, group: int, left: int, needed: int) -> None:
    details = _blocked_details(context)
    assert len(details) == 1, details
    detail = details[0]
    assert f"group {group} would keep {left} copies, {needed} are needed" in detail, detail
    assert "one more storage machine" in detail, detail


@then("its log has no waiting retirement")
def nothing_logged(context: Context) -> None:
    assert not _blocked_details(context), _blocked_details(context)


# Groups that have lost all copies


@given('a settled group of "{members}" that "" joins')
@given('a settled group of "{members}" that "{joining}" joins')
@given('a settled group of "" that "" joins')
def group_with_joining(context: Context, members: str = "", joining: str = "") -> None:
    sides = [[member(disk) for disk in side.split(",") if disk] for side in (members, joining)]
    context.view = GroupView(0, 1, *sides)


def _found(disks: str) -> dict[str, str]:
    return {disk[0]: disk for disk in disks.split(",") if disk}


@then('with the disks "{disks}" found it {has} lost all copies')
@then('with the disks "" found it {has} lost all copies')
def lost_all(context: Context, has: str, disks: str = "") -> None:
    assert has_lost_all(context.view, _found(disks)) is (has == "has")


@then('a zone\'s group of the same disks has not lost all copies with the disk "{disk}"')
def zone_group_not_lost(context: Context, disk: str) -> None:
    view = GroupView(2 * ZONE_GROUPS_FROM, 1, context.view.members, [])
    assert not has_lost_all(view, _found(disk))


@given("all other machines are silent")
def others_silent(context: Context) -> None:
    context.group.peers.are_silent = True


@when("all other machines answer")
def others_answer(context: Context) -> None:
    context.group.peers.are_silent = False


@when('the store has a newer view of "{disk_id}" that the machine has not heard of')
def newer_view(context: Context, disk_id: str) -> None:
    context.group.store.put(GroupView(0, 2, [member(disk_id)], []))


def _losses(context: Context) -> list[decisions.GroupLost]:
    return [line for line in context.group.logged if isinstance(line, decisions.GroupLost)]


@then("its log does not say that a group has lost its records")
def no_loss_logged(context: Context) -> None:
    assert not _losses(context), _losses(context)


@then('its log says once that group {group:d} of "{nodes}" has lost its records')
def loss_logged_once(context: Context, group: int, nodes: str) -> None:
    assert _losses(context) == [decisions.GroupLost(group, 1, nodes)], _losses(context)


@then('the metric "{name}" of group {group:d} is {value:d}')
def metric_is(context: Context, name: str, group: int, value: int) -> None:
    metrics = MachineMetrics()
    for line in context.group.logged:
        metrics.count(line)
    text = metrics.render(0).decode()
    assert f'{name}{{group="{group}"}} {float(value)}' in text, text
