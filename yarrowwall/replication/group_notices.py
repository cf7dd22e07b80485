"""What operators are told of the groups, once for each state."""

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import GroupView
from yarrowwall.replication.planner import BlockedRetirement


class GroupNotices:
    """Logs what operators have to know of groups.

    :param node_id: the own machine.
    """

    def __init__(self, node_id: str, log: DecisionLog) -> None:
        self._node_id = node_id
        self._log = log
        self._held: BlockedRetirement | None = None
        self._lost: set[int] = set()

    def note_held(self, found: BlockedRetirement | None) -> None:
        """Log that the own machine's retirement waits, unless that was logged last."""
        if found is None or self._node_id not in found.nodes or found == self._held:
            return
        self._held = found
        detail = (
            f"group {found.group} would keep {found.copies_left} copies, {found.copies_needed} "
            "are needed; one more storage machine lets it go on"
        )
        self._log.write(decisions.ProcessChanged("retirement waits", detail))

    def forget_held(self) -> None:
        """Note that the own machine is not to be emptied: the next retirement is logged anew."""
        self._held = None

    def knows_lost(self, group: int) -> bool:
        """Return whether it was logged that a group has lost all copies of its records."""
        return group in self._lost

    def note_lost(self, view: GroupView) -> None:
        """Log that a group has lost all copies of its records; see :meth:`knows_lost`."""
        self._lost.add(view.group)
        members = ",".join(member.node_id for member in view.members)
        self._log.write(decisions.GroupLost(view.group, view.epoch, members))
