"""Arithmetic of groups: which replicas make a write complete and a read sure."""

from collections.abc import Collection, Sequence
from functools import cache
from typing import NamedTuple

from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.quorum import majority

#: Numbers of zone groups begin here; smaller ones are those of common groups. A zone group's
#: number has this many for each copy that a write in it should have, so that everybody who
#: knows the number counts the same quorum: 3000 and 3001 are two zones' groups whose writes
#: are on three disks where the zone has three.
ZONE_GROUPS_FROM = 1000


class ViewConfirmation(NamedTuple):
    """What another replica said of its group.

    :param asked_at_s: when the question was sent.
    """

    epoch: int
    asked_at_s: float


def disk_ids(members: Sequence[Member]) -> list[str]:
    """Return the disks of members."""
    return [member.disk_id for member in members]


def all_members(view: GroupView) -> list[Member]:
    """Return the members of today and those that join."""
    known = set(disk_ids(view.members))
    return [*view.members, *(member for member in view.joining if member.disk_id not in known)]


def member_of(view: GroupView, disk_id: str) -> Member | None:
    """Return the member with a disk."""
    return next((member for member in all_members(view) if member.disk_id == disk_id), None)


def is_zone_group(group: int) -> bool:
    """Return whether a number is that of a zone's own group."""
    return group >= ZONE_GROUPS_FROM


def zone_of(view: GroupView) -> str:
    """Return the zone in which the members of a zone group stand; empty if it has ended."""
    return next((member.zone for member in all_members(view)), "")


def copies_wanted(group: int) -> int:
    """Return how many disks should have a complete write, beside the majority that must."""
    return max(1, group // ZONE_GROUPS_FROM)


@cache
def write_quorum(group: int, size: int) -> int:
    """Return how many of a group's replicas make a write complete.

    A majority, so that any two writes share a replica. In a zone group also as many as are to
    be lost at once and one more, if it has so many: three of three bear the loss of two.
    """
    return max(majority(size), min(size, copies_wanted(group)))


def read_quorum(group: int, size: int) -> int:
    """Return how many of a group's replicas share one with every complete write."""
    return size - write_quorum(group, size) + 1


def tolerates_losses(view: GroupView) -> bool:
    """Return whether a complete write outlives as many disks lost at once as are to be borne.

    Of ``n`` replicas a write is on ``w``, and ``n - w + 1`` make a read sure: ``w - 1`` may be
    lost. While the group changes, both the old and the new members have to bear it.
    """
    wanted = copies_wanted(view.group)
    sides = [view.members, view.joining] if view.joining else [view.members]
    return all(write_quorum(view.group, len(side)) >= wanted for side in sides)


def has_write_quorum(view: GroupView, acknowledged: Collection[str]) -> bool:
    """Return whether the acknowledging disks make a write complete.

    While the group changes that takes a write quorum of the old and of the new members.
    """
    is_by_members = _has_writers(view.group, view.members, acknowledged)
    if not is_by_members or not view.joining:
        return is_by_members
    return _has_writers(view.group, view.joining, acknowledged)


def _has_writers(group: int, side: Sequence[Member], acknowledged: Collection[str]) -> bool:
    found = sum([member.disk_id in acknowledged for member in side])
    return found >= write_quorum(group, len(side))


def has_read_quorum(view: GroupView, readers: Collection[str]) -> bool:
    """Return whether disks that answered as readers share one with every complete write."""
    members = disk_ids(view.members)
    return sum(disk in readers for disk in members) >= read_quorum(view.group, len(members))
