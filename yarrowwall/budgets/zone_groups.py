"""Zone groups, whose replicas are all in one zone, as seen by a gateway."""

from collections.abc import Iterator

from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.views import is_zone_group


class ZoneGroups:
    """The groups of all zones, as seen from one zone.

    :param zone: The gateway's zone.
    """

    def __init__(self, zone: str, views: GroupViews) -> None:
        self._zone = zone
        self._views = views

    @property
    def part_count(self) -> int:
        """Return the number of zones among which budgets are divided, equal at all gateways."""
        return self._views.zone_group_count

    @property
    def own_group(self) -> int | None:
        """Return the group of the gateway's zone, or None."""
        return self._views.zone_group(self._zone)

    @property
    def zone_count(self) -> int:
        """Return the number of zones that have a group."""
        return len(self._views.zone_groups())

    def common_first(self, common_group: int) -> Iterator[int]:
        """Yield a common group and then all zone groups, starting with the gateway's zone.

        This is a generator because most requests need only the common group.
        """
        yield common_group
        yield from self.own_first

    @property
    def own_first(self) -> list[int]:
        """Return all zone groups, starting with that of the gateway's zone."""
        own = self.own_group
        groups = self._views.zone_groups()
        return sorted(groups.values(), key=lambda group: (group != own, group))

    @property
    def stores_turns(self) -> bool:
        """Return whether a turn may be stored in the group of the gateway's zone alone."""
        own = self.own_group
        return own is not None and self._views.tolerates_losses(own)

    @staticmethod
    def is_zone_group(group: int) -> bool:
        """Return whether a group is a zone group."""
        return is_zone_group(group)
