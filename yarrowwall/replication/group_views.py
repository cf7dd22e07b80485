"""The newest views of all groups that a process knows."""

from collections.abc import Callable

import xxhash

from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.replication.views import all_members, is_zone_group, tolerates_losses, zone_of

#: The group whose replicas collect the gateways' reports: loads, admissions and neighbours.
REPORT_GROUP = 0


class GroupViews:
    """The newest known view of each group.

    :param changed: called with each view that replaces an older one, and each first view.
    """

    def __init__(self, changed: Callable[[GroupView], None] = lambda view: None) -> None:
        self._views: dict[int, GroupView] = {}
        self._common_count = 0
        self._zone_groups: dict[str, int] = {}
        self._zone_group_count = 0
        self._changed = changed

    def update(self, view: GroupView) -> None:
        """Store a view unless the known one is as new."""
        known = self._views.get(view.group)
        if known is None or known.epoch < view.epoch:
            self._views[view.group] = view
            self._update_counts(view, is_new=known is None)
            self._changed(view)

    def _update_counts(self, view: GroupView, is_new: bool) -> None:
        if not is_zone_group(view.group):
            self._common_count += is_new
            return
        self._zone_group_count += is_new
        others = {zone: group for zone, group in self._zone_groups.items() if group != view.group}
        zone = zone_of(view)
        self._zone_groups = {**others, zone: view.group} if zone else others

    def get(self, group: int) -> GroupView | None:
        """Return a group's newest view; None if none is known."""
        return self._views.get(group)

    def report_replicas(self) -> list[Member]:
        """Return the replicas that collect the gateways' reports, in the order to try them.

        All gateways use the same order, so that one replica receives all reports.
        """
        view = self._views.get(REPORT_GROUP)
        return sorted(view.members, key=lambda member: member.disk_id) if view else []

    def has_replica_at(self, address: str) -> bool:
        """Return whether a member of any group has an address."""
        views = self._views.values()
        return any(member.address == address for view in views for member in all_members(view))

    def group_of(self, key: str) -> int | None:
        """Return the common group that stores a key's records; None if no group is known yet."""
        if not self._common_count:
            return None
        return int(xxhash.xxh3_64_intdigest(key.encode()) % self._common_count)

    @property
    def common_group_count(self) -> int:
        """Return the number of known common groups."""
        return self._common_count

    def zone_group(self, zone: str) -> int | None:
        """Return the number of a zone's own group; None if it has none."""
        return self._zone_groups.get(zone)

    def zone_groups(self) -> dict[str, int]:
        """Return the numbers of the zones' own groups by zone."""
        return self._zone_groups

    @property
    def zone_group_count(self) -> int:
        """Return how many zone groups were ever created, including those that have ended.

        The number is the same in every process and constant for the life of a deployment, so
        that budgets divided among the zone groups stay divided in the same way.
        """
        return self._zone_group_count

    def tolerates_losses(self, group: int) -> bool:
        """Return whether a group's complete writes survive as many lost disks as they should."""
        view = self._views.get(group)
        return view is not None and tolerates_losses(view)
