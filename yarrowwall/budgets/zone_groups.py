"""The groups of replicas that stand in one zone each, as a gateway of a zone uses them."""

from collections.abc import Iterator

from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.views import is_zone_group


class ZoneGroups:
    """The zones' groups, seen from one zone.

    :param zone: the own one.
    """

    def __init__(self, zone: str, views: GroupViews) -> None:
        self._zone = zone
        self._views = views

    @property
    def part_count(self) -> int:
        """Return among how many zones budgets are divided, the same at every gateway."""
        return self._views.zone_group_count

    @property
    def own(self) -> int | None:
        """Return the own zone's group; None if it has none."""
        return self._views.zone_group(self._zone)

    @property
    def zone_count(self) -> int:
        """Return how many zones have a group of their own."""
        return len(self._views.zone_groups())

    def common_first(self, common: int) -> Iterator[int]:
        """Return a common group and then all zones', the own one first, as far as they are asked.

        Most requests end at the common group and need no order of the others.
        """
        yield common
        yield from self.own_first

    @property
    def own_first(self) -> list[int]:
        """Return all zones' groups, the own one first."""
        own = self.own
        groups = self._views.zone_groups()
        return sorted(groups.values(), key=lambda group: (group != own, group))

    @property
    def stores_turns(self) -> bool:
        """Return whether a turn may be kept in the own zone's group alone."""
        own = self.own
        return own is not None and self._views.tolerates_losses(own)

    @staticmethod
    def is_zone_group(group: int) -> bool:
        """Return whether a group is a zone's own."""
        return is_zone_group(group)
