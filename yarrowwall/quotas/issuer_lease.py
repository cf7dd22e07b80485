"""Whether a replica may lend its part of the limits. No I/O.

A replica that was replaced may not know it, if it is cut off from the others but not from all
gateways. So it lends only while a majority of its group vouches, by their answers to its own
questions, that the group has not moved on; and whoever joins a group lends only when all that
the replaced one may have lent counts no more.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yarrowwall.hashing import score
from yarrowwall.messages.replicated import GroupView
from yarrowwall.quorum import majority
from yarrowwall.replication.replica import FIRST_EPOCH
from yarrowwall.replication.views import ViewConfirmation, disk_ids

#: Seconds for which the answer of another replica vouches, counted from the sending of the
#: question: four questions, so that one lost answer ends nothing.
LEASE_SECONDS = 1.6
#: Seconds by which clocks may run apart while all that was lent before runs out.
MARGIN_SECONDS = 0.3
#: Epochs by which a group moves on when one member is replaced: one while it changes, one
#: when that is over. A replica that sees a longer step may have been out of the group.
EPOCHS_OF_A_CHANGE = 2
#: The place of a disk that is not of a group: behind all lenders.
_LAST_PLACE = 1000


class _Former(NamedTuple):
    """A group that there was before.

    :param until_s: when what was lent in it counts no more.
    """

    view: GroupView
    until_s: float


class IssuerLease:
    """The right of one disk to lend.

    :param counted_s: for how many seconds what was lent counts.
    """

    def __init__(self, disk_id: str, counted_s: float) -> None:
        self._disk_id = disk_id
        self._wait_s = counted_s + LEASE_SECONDS + MARGIN_SECONDS
        self._view: GroupView | None = None
        self._formers: list[_Former] = []
        self._from_s: float | None = None
        self._has_begun = False

    @property
    def group(self) -> int | None:
        """Return the group that the replica is a member of; None if of none."""
        return self._view.group if self._view is not None and self._is_member else None

    @property
    def _is_member(self) -> bool:
        return self._view is not None and self._disk_id in disk_ids(self._view.members)

    def install_view(self, view: GroupView, now_s: float) -> None:
        """Take in a newer view of the group."""
        known = self._view
        if known is not None and view.epoch <= known.epoch:
            return
        was_member = self._is_member
        if known is None and view.epoch > FIRST_EPOCH:
            # What was before is not known any more, after a start.
            known = GroupView(view.group, 0, [], [])
        if known is not None:
            self._formers.append(_Former(known, now_s + self._wait_s))
        self._view = view
        if not self._is_member:
            self._from_s = None
            self._has_begun = False
        elif view.epoch == FIRST_EPOCH:
            # Nobody has lent before.
            self._from_s = now_s
            self._has_begun = True
        elif known is None or not was_member or view.epoch - known.epoch > EPOCHS_OF_A_CHANGE:
            self._from_s = now_s + self._wait_s
            self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Return whether it lends, or did in this view, vouchers apart."""
        return self._is_member and self._has_begun

    def restore_begun(self, now_s: float) -> None:
        """Take in from the disk that it lent in the view that was restored."""
        if self._is_member:
            self._from_s = now_s
            self._has_begun = True

    def begin(self, now_s: float) -> int | None:
        """Return the epoch to note on disk if the wait is over just now."""
        if self._has_begun or self._view is None or self._from_s is None or now_s < self._from_s:
            return None
        self._has_begun = True
        return self._view.epoch

    def rank(self, tenant: str, now_s: float) -> int:
        """Return the place of this disk among the group's for a tenant, from 0.

        For a while after a change it is the worst one of all groups that there were: whoever had
        the better place before has lent by it.
        """
        self._formers = [former for former in self._formers if former.until_s > now_s]
        places = [self._place(former.view, tenant) for former in self._formers]
        return max([self._place(self._view, tenant), *places])

    def _place(self, view: GroupView | None, tenant: str) -> int:
        disks = disk_ids(view.members) if view is not None else []
        if self._disk_id not in disks:
            return _LAST_PLACE
        own = score(tenant, self._disk_id)
        return sum(score(tenant, disk) < own for disk in disks)

    def holds(self, confirmations: Mapping[str, ViewConfirmation], now_s: float) -> bool:
        """Return whether the replica may lend now.

        :param vouchers: what the other replicas said last, by disk.
        """
        if self._view is None or self._from_s is None or now_s < self._from_s:
            return False
        members = disk_ids(self._view.members)
        vouching = sum(
            disk == self._disk_id or self._vouches(confirmations.get(disk), self._view.epoch, now_s)
            for disk in members
        )
        return vouching >= majority(len(members))

    @staticmethod
    def _vouches(confirmation: ViewConfirmation | None, epoch: int, now_s: float) -> bool:
        if confirmation is None or confirmation.epoch > epoch:
            return False
        return confirmation.asked_at_s >= now_s - LEASE_SECONDS
