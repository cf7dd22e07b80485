"""Which replicas a group should have next. No I/O."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from yarrowwall.messages.replicated import GroupView, Member, StatusReply
from yarrowwall.quorum import majority
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import (
    ZONE_GROUPS_FROM,
    disk_ids,
    is_zone_group,
    member_of,
    read_quorum,
)

#: Replicas that a zone needs for a group of its own: a single disk would bear no loss.
LEAST_ZONE_REPLICAS = 2
#: Zones of a system whose zones have groups of their own: one alone is cut from nobody.
LEAST_ZONES = 2


class BlockedRetirement(NamedTuple):
    """A retirement that waits, since its common group would be left with too few copies.

    :param nodes: the group's machines that are to be emptied.
    :param copies_left: copies that the group would have without them.
    :param copies_needed: one more than disks may be lost at once.
    """

    group: int
    nodes: frozenset[str]
    copies_left: int
    copies_needed: int


def target_size(machines_lost_at_once: int) -> int:
    """Return how many replicas bear the loss of so many machines."""
    return 2 * max(1, machines_lost_at_once) + 1


def first_views(registered: Sequence[Member], size: int) -> list[GroupView]:
    """Return the groups of a system that starts for the first time."""
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

    :param zone_disks: the disks that registered for these groups.
    :param size: most replicas of one: two times what is to be borne, and one.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in sorted(zone_disks, key=lambda member: member.node_id):
        by_zone.setdefault(member.zone, []).append(member)
    if len(by_zone) < LEAST_ZONES:
        return []
    copies = size // 2 + 1
    chosen = [by_zone[zone][:size] for zone in sorted(by_zone)]
    found = [members for members in chosen if len(members) >= LEAST_ZONE_REPLICAS]
    first = ZONE_GROUPS_FROM * copies
    return [GroupView(first + place, 1, members, []) for place, members in enumerate(found)]


def _best_candidate(candidates: Sequence[Member], chosen: Sequence[Member]) -> Member:
    """Return the candidate whose zone is represented least."""
    zones = Counter(member.zone for member in chosen)
    return min(candidates, key=lambda member: (zones[member.zone], member.node_id))


def next_view(
    view: GroupView,
    registered: dict[str, Member],
    alive: Collection[str],
    retiring: Collection[str],
    busy: Collection[str],
    size: int,
) -> GroupView | None:
    """Return the view that begins a change of a settled group; None if all is well.

    :param registered: the machines' newest registrations by node id.
    :param alive: node ids that answered lately.
    :param retiring: node ids that are to be emptied.
    :param busy: disks that are members of any group.
    :param size: replicas wanted.
    """
    holding = _holding(view, registered, alive)
    if len(holding) < read_quorum(view.group, len(view.members)):
        # Nobody could copy what is complete; and whoever sees so few may itself be the one
        # that is cut off. A majority would be too much to ask for: in a group of two, left by
        # a retirement, the one that still has its disk holds every complete write.
        return None
    joining = [member for member in holding if member.node_id not in retiring]
    able = [registered[node_id] for node_id in registered if node_id in alive]
    free = [one for one in able if one.node_id not in retiring and one.disk_id not in busy]
    while len(joining) < size and free:
        best = _best_candidate(free, joining)
        free.remove(best)
        joining.append(best)
    silent = [
        member
        for member in view.members
        if member.node_id not in alive and not _has_other_disk(member, registered)
    ]
    # Without a substitute, a member that is to be emptied stays as long as the group needs it,
    # and a silent one does, for it may come back with its disk.
    emptied = [member for member in [*holding, *silent] if member.node_id in retiring]
    joining += emptied[: max(0, _fewest_copies(view.group, size) - len(joining))]
    waited_for = [member for member in silent if member.node_id not in retiring]
    joining += waited_for[: max(0, len(view.members) - len(joining))]
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
) -> BlockedRetirement | None:
    """Return why members of a settled group that are to be emptied stay; None if that's not it.

    The parameters are those of :func:`next_view`.
    """
    holding = _holding(view, registered, alive)
    if len(holding) < read_quorum(view.group, len(view.members)):
        return None
    if next_view(view, registered, alive, retiring, busy, size) is not None:
        return None
    leaving = frozenset(member.node_id for member in holding if member.node_id in retiring)
    left, needed = len(holding) - len(leaving), _fewest_copies(view.group, size)
    if not leaving or left >= needed:
        return None
    return BlockedRetirement(view.group, leaving, left, needed)


def _holding(
    view: GroupView, registered: dict[str, Member], alive: Collection[str]
) -> list[Member]:
    """Return the members that are there with their disks."""
    return [
        member
        for member in view.members
        if member.node_id in alive and not _has_other_disk(member, registered)
    ]


def _fewest_copies(group: int, size: int) -> int:
    """Return how many copies a retirement has to leave.

    A common group keeps one more than disks may be lost at once. A zone's group may be emptied
    altogether, and ends then.
    """
    return 0 if is_zone_group(group) else majority(size)


def _has_other_disk(member: Member, registered: dict[str, Member]) -> bool:
    newest = registered.get(member.node_id)
    return newest is not None and newest.disk_id != member.disk_id


def settled_view(view: GroupView, statuses: dict[str, StatusReply]) -> GroupView | None:
    """Return the view that ends a change; None if too few replicas have copied.

    :param statuses: the newest answers of the joining replicas by disk.
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
    """Return whether enough members hold what is complete, and know the view, for the next one.

    A member that misses a view in which a change begins or ends counts no more until it has
    copied; were the next one begun too soon, nobody might be left to copy from.
    """
    known = [statuses[disk] for disk in disk_ids(view.members) if disk in statuses]
    readers = sum(status.is_reader and status.epoch == view.epoch for status in known)
    return readers >= read_quorum(view.group, len(view.members))


def revised_view(view: GroupView, registered: dict[str, Member]) -> GroupView | None:
    """Return the view of a change whose joining members lost disks since; None if none did.

    The members of before still hold what is complete; a disk that is gone would never copy.
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
    """Return the next view of a zone group all of whose machines are to be emptied.

    The group shrinks to one replica, which then holds all that is complete, and ends without
    members once that has expired.

    :param replica: the own one; a member proposes itself.
    """
    own = member_of(view, replica.disk_id)
    if own is None or view.joining or any(m.node_id not in retiring for m in view.members):
        return None
    if len(view.members) > 1:
        return GroupView(view.group, view.epoch + 1, view.members, [own])
    if not replica.counts_for_reads or len(replica.table):
        return None
    return GroupView(view.group, view.epoch + 1, [], [])
