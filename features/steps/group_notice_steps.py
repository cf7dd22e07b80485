"""Steps about what a storage machine says of the groups."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.coordinated_group import CoordinatedGroup
from yarrowwall import decisions

#: Seconds between the answers of machines.
ANSWER_SECONDS = 0.1


def _answer_always(group: CoordinatedGroup) -> None:
    while True:
        group.peers.hear()
        eventlet.sleep(ANSWER_SECONDS)


@given('a storage machine "a" that looks after a group of "{first}" and "{second}"')
def looks_after_group(context: Context, first: str, second: str) -> None:
    context.group = CoordinatedGroup([first, second])
    answering = eventlet.spawn(_answer_always, context.group)
    context.add_cleanup(answering.kill)
    context.group.coordinator.start()


@given('"{disk_id}" registers')
@when('"{disk_id}" registers')
def registers(context: Context, disk_id: str) -> None:
    context.group.peers.register(disk_id)


@when('"{name}" is to be emptied and the groups are looked at for {seconds:f} s')
def to_be_emptied(context: Context, name: str, seconds: float) -> None:
    context.group.coordinator.retiring = {name}
    eventlet.sleep(seconds)


@then('the group becomes "{members}" within {seconds:d} s')
def group_becomes(context: Context, members: str, seconds: int) -> None:
    with eventlet.Timeout(seconds):
        while context.group.members() != members:
            eventlet.sleep(ANSWER_SECONDS)


def _waits(context: Context) -> list[str]:
    return [
        line.detail
        for line in context.group.noted
        if isinstance(line, decisions.ProcessChanged) and line.change == "retirement waits"
    ]


@then("its log says once that group {group:d} would keep {left:d} copies of {needed:d} needed")
def says_once(context: Context, group: int, left: int, needed: int) -> None:
    waits = _waits(context)
    assert len(waits) == 1, waits
    detail = waits[0]
    assert f"group {group} would keep {left} copies, {needed} are needed" in detail, detail
    assert "one more storage machine" in detail, detail


@then("its log says nothing of a retirement that waits")
def says_nothing(context: Context) -> None:
    assert not _waits(context), _waits(context)
