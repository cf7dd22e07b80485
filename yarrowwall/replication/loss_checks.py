"""Checks by a gateway whether a group has lost all copies of its records."""

from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import AskStatus, GroupView, StatusReply
from yarrowwall.ports.object_store import ObjectStoreError, ReadableStore
from yarrowwall.replication.documents import GROUPS_KIND, GROUPS_NAME, read_groups
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.losses import has_lost_all
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.replication.views import all_members

#: Timeouts in seconds for a replica's status and for reading the newest views from the store.
STATUS_TIMEOUT_SECONDS = 0.3
STORE_TIMEOUT_SECONDS = 0.5
#: Seconds between two checks of a group.
CHECK_INTERVAL_SECONDS = 2.0


class LossChecks:
    """Checks groups for the loss of all copies and remembers those that were confirmed lost.

    :param now: the monotonic clock.
    """

    def __init__(
        self,
        views: GroupViews,
        links: LinkTable,
        store: ReadableStore,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._views = views
        self._links = links
        self._store = store
        self._log = log
        self._now = now
        self._lost: dict[int, GroupView] = {}
        self._checked_at: dict[int, float] = {}

    def has_lost(self, group: int) -> bool:
        """Return whether the group was found to have lost all copies, in its newest view."""
        return group in self._lost and self._lost[group] == self._views.get(group)

    def check(self, view: GroupView) -> None:
        """Check a group in the background, unless it was checked recently."""
        checked_at = self._checked_at.get(view.group)
        if checked_at is None or self._now() - checked_at >= CHECK_INTERVAL_SECONDS:
            self._checked_at[view.group] = self._now()
            eventlet.spawn_n(self._check, view)

    def _check(self, view: GroupView) -> None:
        if not has_lost_all(view, self._current_disks(view)) or not self._is_newest(view):
            return
        self._lost[view.group] = view
        members = ",".join(member.node_id for member in view.members)
        self._log.write(decisions.GroupLost(view.group, view.epoch, members))

    def _current_disks(self, view: GroupView) -> dict[str, str]:
        """Return the disks that the machines of a view answer with now, by node id."""
        found = {}
        for member in all_members(view):
            try:
                reply = self._links.get(member.address).call(
                    AskStatus(view.group), STATUS_TIMEOUT_SECONDS
                )
            except LinkDownError:
                continue
            # Another machine may have taken over the address of one that was removed.
            if isinstance(reply, StatusReply) and reply.node_id == member.node_id:
                found[member.node_id] = reply.disk_id
        return found

    def _is_newest(self, view: GroupView) -> bool:
        """Return whether a view is the store's newest of its group; apply newer views."""
        try:
            item = self._store.get(GROUPS_KIND, GROUPS_NAME, STORE_TIMEOUT_SECONDS)
        except ObjectStoreError:
            return False
        views = (read_groups(item) if item is not None else None) or []
        for newest in views:
            self._views.update(newest)
        return view in views
