"""Lease that allows a replica to issue permits from its share of the limits. No I/O.

A replaced replica may not know that it was replaced if it is cut off from the other replicas but
still reachable by some gateways. It therefore issues only while a majority of its group has
recently confirmed, in answers to its requests, that they know no newer view of the group. A
replica that joins a group waits until the permits that the replaced one may have issued no longer
count against the limits.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yarrowwall.hashing import score
from yarrowwall.messages.replicated import GroupView
from yarrowwall.quorum import majority
from yarrowwall.replication.replica import FIRST_EPOCH
from yarrowwall.replication.views import ViewConfirmation, disk_ids

#: Seconds for which an answer of another replica counts, from the time its request was sent. Four
#: requests are sent in that time, so one lost answer does not end the lease.
LEASE_SECONDS = 1.6
#: Allowance in seconds for clock drift while waiting until earlier permits no longer count.
CLOCK_MARGIN_SECONDS = 0.3
#: Epochs that one change of members takes: one for the joint view and one for the final view. A
#: replica that sees a larger step may have been outside the group in between.
EPOCHS_PER_CHANGE = 2
#: Rank of a disk that is not in the group, behind all issuers.
_LAST_RANK = 1000


class _PreviousGroup(NamedTuple):
    """An earlier view of the group.

    :param counted_until_s: Monotonic time from which permits issued in this view no longer count.
    """

    view: GroupView
    counted_until_s: float


class IssuerLease:
    """The lease of one disk to issue permits.

    :param counted_s: Seconds for which an issued permit counts against the limit.
    """

    def __init__(self, disk_id: str, counted_s: float) -> None:
        self._disk_id = disk_id
        self._wait_s = counted_s + LEASE_SECONDS + CLOCK_MARGIN_SECONDS
        self._view: GroupView | None = None
        self._previous: list[_PreviousGroup] = []
        self._issue_from_s: float | None = None
        self._has_begun = False

    @property
    def group(self) -> int | None:
        """Return the group that the replica is a member of, or None."""
        return self._view.group if self._view is not None and self._is_member else None

    @property
    def _is_member(self) -> bool:
        return self._view is not None and self._disk_id in disk_ids(self._view.members)

    def install_view(self, view: GroupView, now_s: float) -> None:
        """Install a view of the group if it is newer than the current one."""
        known = self._view
        if known is not None and view.epoch <= known.epoch:
            return
        was_member = self._is_member
        if known is None and view.epoch > FIRST_EPOCH:
            # The earlier views are unknown, as after a restart: an empty one gives the last rank.
            known = GroupView(view.group, 0, [], [])
        if known is not None:
            self._previous.append(_PreviousGroup(known, now_s + self._wait_s))
        self._view = view
        if not self._is_member:
            self._issue_from_s = None
            self._has_begun = False
        elif view.epoch == FIRST_EPOCH:
            # In the first epoch no other replica can have issued permits before.
            self._issue_from_s = now_s
            self._has_begun = True
        elif known is None or not was_member or view.epoch - known.epoch > EPOCHS_PER_CHANGE:
            self._issue_from_s = now_s + self._wait_s
            self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Return whether issuing has begun since the replica joined, confirmed now or not."""
        return self._is_member and self._has_begun

    def restore_begun(self, now_s: float) -> None:
        """Restore from disk that issuing had begun in the restored view."""
        if self._is_member:
            self._issue_from_s = now_s
            self._has_begun = True

    def begin(self, now_s: float) -> int | None:
        """Begin issuing once the wait is over.

        :returns: The epoch to record on disk, or None if issuing has begun already or may not yet.
        """
        if (
            self._has_begun
            or self._view is None
            or self._issue_from_s is None
            or now_s < self._issue_from_s
        ):
            return None
        self._has_begun = True
        return self._view.epoch

    def rank(self, tenant: str, now_s: float) -> int:
        """Return the rank of this disk among the group's issuers for a tenant, from 0.

        After a change of members, the worst rank in the current and the recent views is used until
        permits issued in the earlier views no longer count: the issuer that held the better rank
        before may have issued permits by it.
        """
        self._previous = [group for group in self._previous if group.counted_until_s > now_s]
        previous_ranks = [self._rank_in(group.view, tenant) for group in self._previous]
        return max([self._rank_in(self._view, tenant), *previous_ranks])

    def _rank_in(self, view: GroupView | None, tenant: str) -> int:
        disks = disk_ids(view.members) if view is not None else []
        if self._disk_id not in disks:
            return _LAST_RANK
        own = score(tenant, self._disk_id)
        return sum(score(tenant, disk) < own for disk in disks)

    def is_held(self, confirmations: Mapping[str, ViewConfirmation], now_s: float) -> bool:
        """Return whether the replica may issue permits now.

        :param confirmations: The latest confirmation of each other replica, by disk.
        """
        if self._view is None or self._issue_from_s is None or now_s < self._issue_from_s:
            return False
        members = disk_ids(self._view.members)
        confirming = sum(
            disk == self._disk_id
            or self._confirms(confirmations.get(disk), self._view.epoch, now_s)
            for disk in members
        )
        return confirming >= majority(len(members))

    @staticmethod
    def _confirms(confirmation: ViewConfirmation | None, epoch: int, now_s: float) -> bool:
        if confirmation is None or confirmation.epoch > epoch:
            return False
        return confirmation.asked_at_s >= now_s - LEASE_SECONDS
