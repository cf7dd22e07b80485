"""Log lines for operators about groups that wait or are lost, once per state."""

from collections.abc import Sequence

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.replication.planner import BlockedRetirement

#: Seconds for which a group waits for silent members before that is logged.
WAIT_SECONDS = 5.0


class GroupNotices:
    """Logs states of groups that need an operator.

    :param node_id: this machine.
    """

    def __init__(self, node_id: str, log: DecisionLog) -> None:
        self._node_id = node_id
        self._log = log
        self._blocked: BlockedRetirement | None = None
        self._logged_losses: set[int] = set()
        self._missing_since_s: dict[int, float] = {}
        self._logged_waits: set[int] = set()

    def note_blocked(self, found: BlockedRetirement | None) -> None:
        """Log that this machine's retirement is blocked, unless the same was logged last."""
        if found is None or self._node_id not in found.nodes or found == self._blocked:
            return
        self._blocked = found
        detail = (
            f"group {found.group} would keep {found.copies_left} copies, {found.copies_needed} "
            "are needed; one more storage machine lets it go on"
        )
        self._log.write(decisions.ProcessChanged("retirement waits", detail))

    def clear_blocked(self) -> None:
        """Note that this machine is not being retired, so the next retirement is logged again."""
        self._blocked = None

    def note_missing(self, view: GroupView, missing: Sequence[Member], now_s: float) -> None:
        """Log that a group has waited long for members that are silent, and the end of that.

        :param missing: the members; none if the group needs none of them.
        :param now_s: the monotonic time.
        """
        group = view.group
        if not missing:
            self._missing_since_s.pop(group, None)
            if group in self._logged_waits:
                self._logged_waits.discard(group)
                self._log.write(decisions.GroupWaits(group, view.epoch, "", 0.0))
            return
        waited_s = now_s - self._missing_since_s.setdefault(group, now_s)
        if waited_s >= WAIT_SECONDS and group not in self._logged_waits:
            self._logged_waits.add(group)
            names = ",".join(member.node_id for member in missing)
            self._log.write(decisions.GroupWaits(group, view.epoch, names, waited_s))

    def is_loss_logged(self, group: int) -> bool:
        """Return whether the loss of all copies of a group's records has been logged."""
        return group in self._logged_losses

    def log_loss(self, view: GroupView) -> None:
        """Log that a group has lost all copies of its records.

        Callers check :meth:`is_loss_logged` first, so that it is logged once.
        """
        self._logged_losses.add(view.group)
        members = ",".join(member.node_id for member in view.members)
        self._log.write(decisions.GroupLost(view.group, view.epoch, members))
