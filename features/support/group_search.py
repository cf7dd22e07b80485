"""Exhaustive searches over small groups: quorums of successive views, and losses of machines."""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.replication.operations import READ_QUORUM, READ_WRITE_QUORUM, Quorum
from yarrowwall.replication.planner import is_released, next_view, target_size
from yarrowwall.replication.views import (
    all_members,
    disk_ids,
    has_read_quorum,
    has_write_quorum,
    read_quorum,
    write_quorum,
)

#: Most members of a group whose successors are searched.
MAX_MEMBERS = 7
#: Machines of a planner's search: those of the first group, and more that are added.
FIRST_MACHINES, MAX_MACHINES = 3, 5
MAX_EVENTS = 5
#: Changes that a group may need to settle after an event.
_MAX_CHANGES = 12


def member(number: int, life: int = 0) -> Member:
    """Return a machine with its disk.

    :param life: number of disks that it had before.
    """
    return Member(f"m{number}", f"m{number}-{life}", f"a{number}", f"zone-{number % 3}")


def _subsets(disks: list[str]) -> Iterator[frozenset[str]]:
    for size in range(len(disks) + 1):
        for chosen in combinations(disks, size):
            yield frozenset(chosen)


def _successors(size: int) -> Iterator[list[Member]]:
    """Yield the members after a change of one: it joins, leaves, or is replaced."""
    own, other = [member(number) for number in range(size)], member(size)
    yield [*own, other]
    if size > 1:
        yield own[1:]
    yield [*own[1:], other]


def unproved_absences(quorum: Quorum) -> list[str]:
    """Return the changes over which a reader of an older view may miss a complete write.

    A change ends once the joining members have copied from a read quorum of the old ones, which
    were told of it. A reader has replies from replicas of one view that reach a quorum.
    """
    found = []
    for size in range(1, MAX_MEMBERS + 1):
        own = [member(number) for number in range(size)]
        for after in _successors(size):
            name = f"{size} to {len(after)}"
            settled, joint = GroupView(0, 1, own, []), GroupView(0, 2, own, after)
            told = [s for s in _subsets(disk_ids(own)) if has_read_quorum(settled, s)]
            before = [s for s in _subsets(disk_ids(own)) if quorum.is_reached_by_disks(settled, s)]
            if any(one.isdisjoint(other) for one in before for other in told):
                found.append(f"{name}, in the view before the change")
            ended = GroupView(0, 3, after, [])
            written = [s for s in _subsets(disk_ids(after)) if has_write_quorum(ended, s)]
            disks = disk_ids(all_members(joint))
            during = [s for s in _subsets(disks) if quorum.is_reached_by_disks(joint, s)]
            if any(one.isdisjoint(other) for one in during for other in written):
                found.append(f"{name}, in the view of the change")
    return found


QUORUMS = {"read quorums": READ_QUORUM, "read and write quorums": READ_WRITE_QUORUM}


class System(NamedTuple):
    """What the machines do.

    :param forgets_absent: whether the planner is told which machines have been silent for long.
    :param hands_over: whether a machine that is stopped leaves its group before it ends.
    """

    forgets_absent: bool
    hands_over: bool


SYSTEM = System(forgets_absent=True, hands_over=True)


class World(NamedTuple):
    """A settled group and its machines.

    :param lives: number of disks that each present machine had before.
    :param removed: machines that were taken away with their disks.
    :param copies: disks of the group that hold every complete write.
    """

    view: GroupView
    lives: tuple[tuple[int, int], ...]
    removed: frozenset[int]
    retiring: frozenset[int]
    copies: frozenset[str]

    @property
    def registered(self) -> dict[str, Member]:
        """Return the newest registration of each machine, present or not."""
        return {member(n, life).node_id: member(n, life) for n, life in self.lives}

    @property
    def alive(self) -> set[str]:
        """Return the node ids of the machines that are there."""
        return {f"m{number}" for number, _ in self.lives if number not in self.removed}


def _first() -> World:
    own = [member(number) for number in range(FIRST_MACHINES)]
    lives = tuple((number, 0) for number in range(FIRST_MACHINES))
    return World(
        GroupView(0, 1, own, []), lives, frozenset(), frozenset(), frozenset(disk_ids(own))
    )


def settle(world: World, system: System) -> World | None:
    """Return the world once the group needs no change; None if it never settles."""
    for _ in range(_MAX_CHANGES):
        alive = world.alive
        retiring = {f"m{number}" for number in world.retiring}
        busy = disk_ids(world.view.members)
        absent = {f"m{n}" for n in world.removed} if system.forgets_absent else set()
        size = target_size(1)
        changed = next_view(world.view, world.registered, alive, retiring, busy, size, absent)
        if changed is None:
            return world
        usable = [m.disk_id for m in world.view.members if m.disk_id in world.copies]
        if len(usable) < read_quorum(0, len(world.view.members)):
            return None
        present = {one.disk_id for one in world.registered.values() if one.node_id in alive}
        copies = frozenset(disk for disk in disk_ids(changed.joining) if disk in present)
        after = GroupView(0, changed.epoch + 1, changed.joining, [])
        world = world._replace(view=after, copies=copies)
    return None


def _events(world: World, system: System) -> Iterator[tuple[str, World]]:
    """Yield what may happen to a settled group within the tolerance of one loss."""
    numbers = [number for number, _ in world.lives]
    members = {int(m.node_id[1:]) for m in world.view.members} - world.removed
    if len(numbers) < MAX_MACHINES:
        added = len(numbers)
        yield f"m{added} is added", world._replace(lives=(*world.lives, (added, 0)))
    for number, life in world.lives:
        if number in world.removed or number not in members:
            continue
        lives = tuple((n, k + 1 if n == number else k) for n, k in world.lives)
        lost = world.copies - {f"m{number}-{life}"}
        yield f"m{number} loses its disk", world._replace(lives=lives, copies=lost)
        if number in world.retiring:
            continue
        retiring = world.retiring | {number}
        yield f"m{number} is retired", world._replace(retiring=retiring)
        # A planned replacement: its successor belongs to the group before the machine goes.
        if len(members) > write_quorum(0, len(world.view.members)):
            removed = world.removed | {number}
            yield f"m{number} is taken away", world._replace(removed=removed, copies=lost)
            yield from _losses_after_end(world, number, system)
    lives_of = dict(world.lives)
    for number in world.retiring - world.removed:
        if is_released([world.view], member(number, lives_of[number]), ""):
            gone = world.removed | {number}
            yield f"m{number} is gone", world._replace(removed=gone)
            back = world.retiring - {number}
            yield (
                f"m{number}'s retirement is taken back as it goes",
                world._replace(removed=gone, retiring=back),
            )


def _losses_after_end(world: World, number: int, system: System) -> Iterator[tuple[str, World]]:
    """Yield a disk of each other member being lost as soon as a machine has ended for good."""
    ended: World | None = world
    if system.hands_over:
        ended = settle(world._replace(retiring=world.retiring | {number}), system)
    if ended is None:
        return
    ended = ended._replace(retiring=world.retiring, removed=world.removed | {number})
    lives = dict(ended.lives)
    gone = {f"m{number}-{lives[number]}"}
    for one in ended.view.members:
        other = int(one.node_id[1:])
        if other in ended.removed:
            continue
        after = tuple((n, k + 1 if n == other else k) for n, k in ended.lives)
        copies = ended.copies - gone - {one.disk_id}
        name = f"m{number} is taken away and m{other} loses its disk right after"
        yield name, ended._replace(lives=after, copies=copies)


def can_serve(world: World) -> bool:
    """Return whether the group's members that are there suffice for reads and writes."""
    alive = world.alive
    there = [m.disk_id for m in world.view.members if m.node_id in alive]
    held = [disk for disk in there if disk in world.copies]
    return has_write_quorum(world.view, there) and has_read_quorum(world.view, held)


def stuck_groups(system: System) -> list[str]:
    """Return the shortest orders of events after which a group never serves again."""
    found: list[str] = []
    seen: set[tuple[object, ...]] = set()
    front: list[tuple[World, tuple[str, ...]]] = [(_first(), ())]
    for _ in range(MAX_EVENTS):
        reached: list[tuple[World, tuple[str, ...]]] = []
        for world, path in front:
            for name, changed in _events(world, system):
                settled = settle(changed, system)
                order = (*path, name)
                if settled is None or not can_serve(settled):
                    found.append(", ".join(order))
                    continue
                key = (tuple(disk_ids(settled.view.members)), *settled[1:])
                if key not in seen:
                    seen.add(key)
                    reached.append((settled, order))
        front = reached
    return found
