"""The views of all groups as a process knows them."""

from collections.abc import Callable

import xxhash

from yarrowwall.messages.replicated import GroupView
from yarrowwall.replication.views import all_members


class GroupViews:
    """The newest known view of each group.

    :param changed: called with each newer view.
    """

    def __init__(self, changed: Callable[[GroupView], None] = lambda view: None) -> None:
        self._views: dict[int, GroupView] = {}
        self._changed = changed

    def take(self, view: GroupView) -> None:
        """Take in a view unless a newer one is known."""
        known = self._views.get(view.group)
        if known is None or known.epoch < view.epoch:
            self._views[view.group] = view
            self._changed(view)

    def get(self, group: int) -> GroupView | None:
        """Return a group's newest view."""
        return self._views.get(group)

    def has_replica_at(self, address: str) -> bool:
        """Return whether a member of a group is at an address."""
        views = self._views.values()
        return any(member.address == address for view in views for member in all_members(view))

    def group_of(self, key: str) -> int | None:
        """Return the group that keeps what belongs to a key; None if no group is known yet."""
        if not self._views:
            return None
        return int(xxhash.xxh3_64_intdigest(key.encode()) % len(self._views))

    @property
    def count(self) -> int:
        """Return how many groups there are."""
        return len(self._views)
