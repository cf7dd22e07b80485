"""When all copies of a group's records are surely lost. No I/O."""

from collections.abc import Mapping

from yarrowwall.messages.replicated import GroupView
from yarrowwall.replication.views import all_members, is_zone_group


def has_lost_all(view: GroupView, found: Mapping[str, str]) -> bool:
    """Return whether no disk that a common group's newest view names can still be there.

    A machine keeps one disk at a time and never gets back one that it lost, so another disk in
    its answer to a question of today is newer than the view's. A machine that is silent or was
    removed proves nothing. One that joins counts as a copy: it may have copied already.

    :param view: the newest view; whoever asks makes sure of that.
    :param found: the disks with which machines answered questions that were sent after the view
        was known, by node id.
    """
    if is_zone_group(view.group) or not view.members:
        return False
    return all(
        found.get(member.node_id, member.disk_id) != member.disk_id for member in all_members(view)
    )


def loss_reason(group: int) -> str:
    """Return what callers are told of a group that has lost all copies."""
    return f"group {group} has lost all copies of its records"
