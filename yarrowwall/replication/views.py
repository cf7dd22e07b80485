"""Quorum arithmetic of groups: which replicas complete a write or a read."""

from collections.abc import Collection, Sequence
from functools import cache
from typing import NamedTuple

from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.quorum import majority

#: Lowest number of a zone group; common groups have smaller numbers. A zone group's number is this
#: times the copies that a complete write should have, plus an index, so that every process that
#: knows the number computes the same quorum: 3000 and 3001 are the groups of two zones whose
#: writes go to three disks where the zone has three.
ZONE_GROUPS_FROM = 1000


class ViewConfirmation(NamedTuple):
    """Another replica's confirmation of the view that it is in.

    :param epoch: the epoch of its view.
    :param asked_at_s: when the request was sent that it answered, on the monotonic clock.
    """

    epoch: int
    asked_at_s: float


def disk_ids(members: Sequence[Member]) -> list[str]:
    """Return the disk ids of members."""
    return [member.disk_id for member in members]


def all_members(view: GroupView) -> list[Member]:
    """Return the current members and the joining ones."""
    known = set(disk_ids(view.members))
    return [*view.members, *(member for member in view.joining if member.disk_id not in known)]


def member_of(view: GroupView, disk_id: str) -> Member | None:
    """Return the current or joining member with a disk; None if there is none."""
    return next((member for member in all_members(view) if member.disk_id == disk_id), None)


def is_zone_group(group: int) -> bool:
    """Return whether a number is that of a zone's own group."""
    return group >= ZONE_GROUPS_FROM


def zone_of(view: GroupView) -> str:
    """Return the zone of a zone group's members; empty if the group has ended."""
    return next((member.zone for member in all_members(view)), "")


def copies_wanted(group: int) -> int:
    """Return how many copies a complete write should have, if the group has as many replicas.

    A majority of the group is required in any case; see :func:`write_quorum`.
    """
    return max(1, group // ZONE_GROUPS_FROM)


@cache
def write_quorum(group: int, size: int) -> int:
    """Return how many of a group's replicas complete a write.

    This is a majority, so that any two writes share a replica. In a zone group it is also one
    more than the number of disks that may be lost at once, if the group is large enough: a write
    on three of three replicas survives the loss of two.
    """
    return max(majority(size), min(size, copies_wanted(group)))


def read_quorum(group: int, size: int) -> int:
    """Return how many of a group's replicas complete a read.

    Any as many replicas share at least one with every write quorum.
    """
    return size - write_quorum(group, size) + 1


def tolerates_losses(view: GroupView) -> bool:
    """Return whether complete writes survive the loss of as many disks as they should.

    A write is on ``w`` of ``n`` replicas and a read needs ``n - w + 1``, so ``w - 1`` may be lost.
    While the group changes, this must hold for both the old and the new members.
    """
    wanted = copies_wanted(view.group)
    sides = [view.members, view.joining] if view.joining else [view.members]
    return all(write_quorum(view.group, len(members)) >= wanted for members in sides)


def has_write_quorum(view: GroupView, acknowledged: Collection[str]) -> bool:
    """Return whether the acknowledging disks complete a write.

    While the group changes, that needs a write quorum of the old and of the new members.
    """
    is_by_members = _is_acknowledged_by(view.group, view.members, acknowledged)
    if not is_by_members or not view.joining:
        return is_by_members
    return _is_acknowledged_by(view.group, view.joining, acknowledged)


def _is_acknowledged_by(
    group: int, members: Sequence[Member], acknowledged: Collection[str]
) -> bool:
    found = sum([member.disk_id in acknowledged for member in members])
    return found >= write_quorum(group, len(members))


def has_read_quorum(view: GroupView, responders: Collection[str]) -> bool:
    """Return whether replicas that count for reads answered from enough disks for a read.

    :param responders: the disks of those replicas.
    """
    members = disk_ids(view.members)
    return sum(disk in responders for disk in members) >= read_quorum(view.group, len(members))
