"""Decides whether all copies of a group's records are lost. No I/O."""

from collections.abc import Mapping

from yarrowwall.messages.replicated import GroupView
from yarrowwall.replication.views import all_members, is_zone_group


def has_lost_all(view: GroupView, found: Mapping[str, str]) -> bool:
    """Return whether every disk named by a common group's newest view has been lost.

    A machine has one disk at a time and never gets a lost one back, so if it answers with a
    disk other than the view's, the view's disk is gone. A machine that is silent or was removed
    may still hold its disk. A joining member counts as a copy, since it may have copied already.

    :param view: the newest view; the caller checks that it is.
    :param found: by node id, the disks in answers to requests that were sent after the view was
        known.
    """
    if is_zone_group(view.group) or not view.members:
        return False
    return all(
        found.get(member.node_id, member.disk_id) != member.disk_id for member in all_members(view)
    )


def loss_reason(group: int) -> str:
    """Return the message to callers for a group that has lost all copies."""
    return f"group {group} has lost all copies of its records"
