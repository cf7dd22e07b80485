"""Plans the next view of a group: which replicas it should have. No I/O."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from yarrowwall.messages.replicated import GroupView, Member, StatusReply
from yarrowwall.quorum import majority
from yarrowwall.replication.losses import has_lost_all
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import (
    ZONE_GROUPS_FROM,
    all_members,
    disk_ids,
    is_zone_group,
    member_of,
    read_quorum,
)

#: Least replicas of a zone's own group: a single disk would not survive any loss.
MIN_ZONE_REPLICAS = 2
#: Least zones of a system with zone groups: a single zone cannot be partitioned from another.
MIN_ZONES = 2


class BlockedRetirement(NamedTuple):
    """A retirement that is blocked because its common group would keep too few copies.

    :param nodes: the retiring machines of the group.
    :param copies_left: copies that the group would have without them.
    :param copies_needed: one more than the number of disks that may be lost at once.
    """

    group: int
    nodes: frozenset[str]
    copies_left: int
    copies_needed: int


def target_size(machines_lost_at_once: int) -> int:
    """Return how many replicas a group needs to survive the loss of that many machines at once.

    A majority of them still has a copy on a machine that remains.
    """
    return 2 * max(1, machines_lost_at_once) + 1


def first_views(registered: Sequence[Member], size: int) -> list[GroupView]:
    """Return the common groups of a system that starts for the first time.

    :param size: target number of replicas in a group.
    """
    count = max(1, len(registered) // size)
    free = sorted(registered, key=lambda member: member.node_id)
    views = []
    for group in range(count):
        chosen: list[Member] = []
        for _ in range(min(size, len(free))):
            best = _best_candidate(free, chosen)
            chosen.append(best)
            free.remove(best)
        views.append(GroupView(group, 1, chosen, []))
    return views


def first_zone_views(zone_disks: Sequence[Member], size: int) -> list[GroupView]:
    """Return the zones' own groups of a system that starts for the first time.

    :param zone_disks: the machines with the disks that were registered for these groups.
    :param size: most replicas of one group: twice the tolerated number of lost disks, plus one.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in sorted(zone_disks, key=lambda member: member.node_id):
        by_zone.setdefault(member.zone, []).append(member)
    if len(by_zone) < MIN_ZONES:
        return []
    copies = size // 2 + 1
    chosen = [by_zone[zone][:size] for zone in sorted(by_zone)]
    found = [members for members in chosen if len(members) >= MIN_ZONE_REPLICAS]
    first = ZONE_GROUPS_FROM * copies
    return [GroupView(first + position, 1, members, []) for position, members in enumerate(found)]


def _best_candidate(candidates: Sequence[Member], chosen: Sequence[Member]) -> Member:
    """Return the candidate whose zone has the fewest chosen members."""
    zones = Counter(member.zone for member in chosen)
    return min(candidates, key=lambda member: (zones[member.zone], member.node_id))


def next_view(
    view: GroupView,
    registered: dict[str, Member],
    alive: Collection[str],
    retiring: Collection[str],
    busy: Collection[str],
    size: int,
    absent: Collection[str] = (),
) -> GroupView | None:
    """Return the view that begins a change of a settled group.

    None if the group needs no change, or too few members are available for one.

    :param registered: the machines' newest registrations by node id.
    :param alive: node ids of machines that answered recently.
    :param retiring: node ids of machines that are being retired.
    :param busy: disks that are members of any group.
    :param size: target number of replicas.
    :param absent: node ids of machines that have been silent for so long that they may have been
        taken away.
    """
    intact = _intact_members(view, registered, alive)
    if len(intact) < read_quorum(view.group, len(view.members)):
        # Joining members could not copy every complete write, and a machine that sees so few
        # others may itself be cut off. A majority is not required: in a group of two, left by a
        # retirement, the one member that still has its disk holds every complete write.
        return None
    joining = [member for member in intact if member.node_id not in retiring]
    available = [registered[node_id] for node_id in registered if node_id in alive]
    free = [one for one in available if one.node_id not in retiring and one.disk_id not in busy]
    while len(joining) < size and free:
        best = _best_candidate(free, joining)
        free.remove(best)
        joining.append(best)
    silent = _silent_members(view, registered, alive)
    # Without a replacement, a retiring member stays as long as the group needs its copy, on its new
    # disk if it lost the one that it had. A silent member stays too, since it may come back with
    # its disk, but not for good: nothing tells a machine that was taken away from one that is down,
    # and while the group counts it, the loss of one more disk would leave less than a read quorum.
    # If it comes back, it joins again.
    replaced = [one for one in _new_disks(view, registered, alive) if one.disk_id not in busy]
    retiring_members = [one for one in [*intact, *replaced, *silent] if one.node_id in retiring]
    joining += retiring_members[: max(0, _min_copies(view.group, size) - len(joining))]
    is_safe_without = not is_zone_group(view.group) and len(joining) >= majority(size)
    awaited = [
        member
        for member in silent
        if member.node_id not in retiring and not (is_safe_without and member.node_id in absent)
    ]
    joining += awaited[: max(0, len(view.members) - len(joining))]
    if not joining or set(disk_ids(joining)) == set(disk_ids(view.members)):
        return None
    return GroupView(view.group, view.epoch + 1, view.members, joining)


def blocked_retirement(
    view: GroupView,
    registered: dict[str, Member],
    alive: Collection[str],
    retiring: Collection[str],
    busy: Collection[str],
    size: int,
    absent: Collection[str] = (),
) -> BlockedRetirement | None:
    """Return the retirement of a settled group that is blocked by too few copies; None if none is.

    The parameters are those of :func:`next_view`.
    """
    intact = _intact_members(view, registered, alive)
    if len(intact) < read_quorum(view.group, len(view.members)):
        return None
    if next_view(view, registered, alive, retiring, busy, size, absent) is not None:
        return None
    leaving = frozenset(member.node_id for member in intact if member.node_id in retiring)
    left, needed = len(intact) - len(leaving), _min_copies(view.group, size)
    if not leaving or left >= needed:
        return None
    return BlockedRetirement(view.group, leaving, left, needed)


def is_released(views: Sequence[GroupView], own: Member, zone_disk_id: str) -> bool:
    """Return whether no group needs a retiring machine, so that it may be removed with its disks.

    :param views: the newest views of all groups; none while they are unknown.
    :param own: the machine with its disk for a common group.
    :param zone_disk_id: its disk for its zone's own group.
    """
    return bool(views) and not any(_needs_machine(view, own, zone_disk_id) for view in views)


def _needs_machine(view: GroupView, own: Member, zone_disk_id: str) -> bool:
    members = all_members(view)
    if is_zone_group(view.group):
        return zone_disk_id in disk_ids(members)
    if has_lost_all(view, {own.node_id: own.disk_id}):
        return False
    # Until the group has changed, it may need a new disk in place of one that the machine lost.
    return any(member.node_id == own.node_id for member in members)


def missing_members(
    view: GroupView, registered: dict[str, Member], alive: Collection[str]
) -> list[Member]:
    """Return the members that a settled group waits for; none while it can change without them.

    They are silent, and fewer than a read quorum of members are alive with their disks, so nobody
    knows whether those hold every complete write.
    """
    intact = _intact_members(view, registered, alive)
    if view.joining or len(intact) >= read_quorum(view.group, len(view.members)):
        return []
    return _silent_members(view, registered, alive)


def _intact_members(
    view: GroupView, registered: dict[str, Member], alive: Collection[str]
) -> list[Member]:
    """Return the members that are alive and still have their disks."""
    return [one for one in _members_with_disks(view, registered) if one.node_id in alive]


def _silent_members(
    view: GroupView, registered: dict[str, Member], alive: Collection[str]
) -> list[Member]:
    """Return the members that are silent and may still have their disks."""
    return [one for one in _members_with_disks(view, registered) if one.node_id not in alive]


def _members_with_disks(view: GroupView, registered: dict[str, Member]) -> list[Member]:
    """Return the members that are not known to have lost their disks."""
    return [member for member in view.members if not _has_other_disk(member, registered)]


def _new_disks(
    view: GroupView, registered: dict[str, Member], alive: Collection[str]
) -> list[Member]:
    """Return the machines that are alive and have other disks than the view names."""
    return [
        registered[member.node_id]
        for member in view.members
        if member.node_id in alive and _has_other_disk(member, registered)
    ]


def _min_copies(group: int, size: int) -> int:
    """Return how many copies must remain after a retirement.

    A common group keeps one more than the number of disks that may be lost at once. All members
    of a zone group may be retired; the group then ends.
    """
    return 0 if is_zone_group(group) else majority(size)


def _has_other_disk(member: Member, registered: dict[str, Member]) -> bool:
    newest = registered.get(member.node_id)
    return newest is not None and newest.disk_id != member.disk_id


def settled_view(view: GroupView, statuses: dict[str, StatusReply]) -> GroupView | None:
    """Return the view that ends a change; None while copies are missing.

    A majority of the joining replicas and every one of them that answers must have copied.

    :param statuses: the newest status of each answering replica by disk.
    """
    copied = [
        disk
        for disk in disk_ids(view.joining)
        if disk in statuses
        and statuses[disk].epoch == statuses[disk].synchronised_epoch == view.epoch
    ]
    answering = [disk for disk in disk_ids(view.joining) if disk in statuses]
    if len(copied) < majority(len(view.joining)) or len(copied) < len(answering):
        return None
    return GroupView(view.group, view.epoch + 1, view.joining, [])


def is_ready_to_change(view: GroupView, statuses: Mapping[str, StatusReply]) -> bool:
    """Return whether a read quorum of members is synchronised and knows the view.

    A member that misses a view in which a change begins or ends does not count for reads until
    it has copied. If the next view came too soon, there might be no member left to copy from.
    """
    known = [statuses[disk] for disk in disk_ids(view.members) if disk in statuses]
    ready_count = sum(status.is_reader and status.epoch == view.epoch for status in known)
    return ready_count >= read_quorum(view.group, len(view.members))


def revised_view(view: GroupView, registered: dict[str, Member]) -> GroupView | None:
    """Return a new view of a change in which joining members lost disks; None if none did.

    The old members still hold every complete write. A lost disk would never finish its copy, so
    the machine's newest disk joins in its place.
    """
    joining = [
        registered[member.node_id] if _has_other_disk(member, registered) else member
        for member in view.joining
    ]
    if disk_ids(joining) == disk_ids(view.joining):
        return None
    return GroupView(view.group, view.epoch + 1, view.members, joining)


def ended_view(
    view: GroupView, replica: RecordReplica, retiring: Collection[str]
) -> GroupView | None:
    """Return the next view of a zone group whose machines are all being retired; None if it stays.

    The group first shrinks to one replica, which then holds every complete record. Once all of
    them have expired the group ends, without members.

    :param replica: this machine's replica; a member proposes itself as the last one.
    """
    own = member_of(view, replica.disk_id)
    if own is None or view.joining or any(m.node_id not in retiring for m in view.members):
        return None
    if len(view.members) > 1:
        return GroupView(view.group, view.epoch + 1, view.members, [own])
    if not replica.counts_for_reads or len(replica.table):
        return None
    return GroupView(view.group, view.epoch + 1, [], [])
