"""Arithmetic of groups: which replicas make a write complete and a read sure."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from yarrowwall.core.quorum import has_quorum, read_quorum
from yarrowwall.messages.replicated import GroupView, Member


class Voucher(NamedTuple):
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


def is_written(view: GroupView, acknowledged: Collection[str]) -> bool:
    """Return whether the acknowledging disks make a write complete.

    While the group changes that takes a majority of the old and of the new members.
    """
    groups = [disk_ids(view.members)]
    if view.joining:
        groups.append(disk_ids(view.joining))
    return has_quorum(groups, acknowledged)


def is_read(view: GroupView, readers: Collection[str]) -> bool:
    """Return whether disks that answered as readers share one with every complete write."""
    members = disk_ids(view.members)
    return sum(disk in readers for disk in members) >= read_quorum(len(members))
