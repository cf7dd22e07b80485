"""Changes of the groups: who replaces whom, agreed through the platform's store.

Every machine with a disk may propose a change; a compare-and-set on the object that
holds all views lets one proposal win. The machine first in the order of names acts at
once, the others only if nothing happened for a while.
"""

from collections.abc import Callable

import eventlet

from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.object_store import (
    ConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)
from yarrowwall.replication.documents import (
    GROUPS_KIND,
    GROUPS_NAME,
    groups_spec,
    read_groups,
)
from yarrowwall.replication.peers import ReplicaPeers
from yarrowwall.replication.planner import first_views, next_view, settled_view
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import all_members, disk_ids

#: Seconds between looks at the groups.
LOOK_SECONDS = 0.2
#: Seconds after the start of a new system in which machines register.
FIRST_START_SECONDS = 1.5
#: Seconds in which a new system waits for as many machines as a group wants.
FIRST_START_PATIENCE_SECONDS = 6.0
#: Seconds by which each machine waits for the one before it in the order.
TURN_SECONDS = 1.0


class Coordinator:
    """Proposes changes of the groups.

    :param wants_first_views: whether the system starts for the first time.
    :param size: replicas wanted in a group.
    """

    def __init__(
        self,
        node_id: str,
        store: ObjectStore,
        replica: RecordReplica,
        peers: ReplicaPeers,
        log: DecisionLog,
        now: Callable[[], float],
        wants_first_views: bool,
        size: int,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._replica = replica
        self._peers = peers
        self._log = log
        self._now = now
        self._wants_first_views = wants_first_views
        self._size = size
        self._started_at = now()
        self._needed_since: float | None = None
        self._groups: StoredObject | None = None
        self._views: list[GroupView] = []
        self.has_listed = False
        self.retiring: set[str] = set()

    def start(self) -> None:
        """Begin to look after the groups."""
        eventlet.spawn_n(self._run)

    def take_groups(self, item: StoredObject) -> None:
        """Take in the newest views of all groups."""
        views = read_groups(item)
        is_newer = self._groups is None or self._groups.revision < item.revision
        if views is not None and is_newer:
            self._groups = item
            self._views = views

    def views(self) -> list[GroupView]:
        """Return the newest known views."""
        return self._views

    def _run(self) -> None:
        while True:
            eventlet.sleep(LOOK_SECONDS)
            try:
                self._look()
            except ObjectStoreError as error:
                self._log.write(decisions.DependencyChanged("store/groups", False, str(error)))
                eventlet.sleep(LOOK_SECONDS)

    def _look(self) -> None:
        if not self.has_listed:
            return
        proposed = self._first_views() if self._groups is None else self._next_views()
        if proposed is None:
            self._needed_since = None
        elif self._is_own_turn():
            self._propose(proposed)

    def _first_views(self) -> list[GroupView] | None:
        waited = self._now() - self._started_at
        if not self._wants_first_views or waited < FIRST_START_SECONDS:
            return None
        alive = self._peers.alive()
        members = [member for node, member in self._peers.registered.items() if node in alive]
        # A group that starts too small holds its first records on too few disks.
        is_patient = waited < FIRST_START_PATIENCE_SECONDS
        if not members or (is_patient and len(members) < self._size):
            return None
        return first_views(members, self._size)

    def _next_views(self) -> list[GroupView] | None:
        """Return all views with one changed; None if none needs a change."""
        views = self.views()
        for index, view in enumerate(views):
            changed = self._next_view(view, views)
            if changed is not None:
                return [*views[:index], changed, *views[index + 1 :]]
        return None

    def _next_view(self, view: GroupView, views: list[GroupView]) -> GroupView | None:
        if view.joining:
            return settled_view(view, self._peers.statuses(self._replica.status()))
        busy = {disk for other in views for disk in disk_ids(all_members(other))}
        return next_view(
            view, self._peers.registered, self._peers.alive(), self.retiring, busy, self._size
        )

    def _is_own_turn(self) -> bool:
        now = self._now()
        if self._needed_since is None:
            self._needed_since = now
        order = sorted(self._peers.alive() & set(self._peers.registered))
        place = order.index(self._node_id) if self._node_id in order else len(order)
        return now - self._needed_since >= place * TURN_SECONDS

    def _propose(self, views: list[GroupView]) -> None:
        spec = groups_spec(views)
        try:
            if self._groups is None:
                item = self._store.create(GROUPS_KIND, GROUPS_NAME, spec)
            else:
                revision = self._groups.revision
                item = self._store.replace(GROUPS_KIND, GROUPS_NAME, spec, revision)
        except ConflictError:
            return
        finally:
            self._needed_since = None
        self.take_groups(item)
        for view in views:
            self._log.write(
                decisions.GroupChanged(
                    view.group, view.epoch, _names(view.members), _names(view.joining)
                )
            )


def _names(members: list[Member]) -> str:
    return ",".join(member.node_id for member in members)
