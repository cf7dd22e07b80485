"""Proposes membership changes of the replica groups through the platform's store.

Every machine with a disk may propose a change; a compare-and-set on the object that holds all
views lets one proposal win. The machines propose in the order of their names: the first one at
once, each other one only if the change has not been made a while later.
"""

from collections.abc import Callable
from typing import NamedTuple

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.replicated import GroupView, Member, StatusReply
from yarrowwall.ports.object_store import (
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
from yarrowwall.replication.group_notices import GroupNotices
from yarrowwall.replication.losses import has_lost_all
from yarrowwall.replication.peers import ReplicaPeers
from yarrowwall.replication.planner import (
    blocked_retirement,
    ended_view,
    first_views,
    first_zone_views,
    is_ready_to_change,
    missing_members,
    next_view,
    revised_view,
    settled_view,
)
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import all_members, disk_ids, is_zone_group, zone_of

#: Seconds between checks whether a group needs a change.
CHECK_INTERVAL_SECONDS = 0.2
#: Least seconds after the start of a new system before the first views are proposed.
FIRST_START_MIN_SECONDS = 1.5
#: Most seconds that a new system waits for as many machines as a group should have.
FIRST_START_MAX_SECONDS = 6.0
#: Seconds without a new registration after which a new system counts as complete, within that
#: limit. A zone whose machines all register later never gets a group of its own.
FIRST_START_STABLE_SECONDS = 1.0
#: Timeout in seconds for reading the newest views from the platform's store.
STORE_TIMEOUT_SECONDS = 0.5
#: Seconds that each machine waits longer than the one before it in the order.
PROPOSER_STAGGER_SECONDS = 1.0


class MachineReplicas(NamedTuple):
    """The replicas of this machine.

    :param zone_name: the machine's zone.
    :param common: the replica for a common group.
    :param zone: the replica for the zone's own group.
    """

    zone_name: str
    common: RecordReplica
    zone: RecordReplica


class _Proposal(NamedTuple):
    """New views of all groups.

    :param zone: the zone whose machines may propose them; empty for machines of any zone.
    """

    views: list[GroupView]
    zone: str


class _ClusterState(NamedTuple):
    """State of the machines at one check.

    :param alive: node ids of the machines that answered recently.
    :param statuses: the newest status of each disk whose machine is alive.
    :param busy: disks that are members of any group.
    :param absent: node ids of the machines that have not answered for long.
    :param leaving: node ids of the machines whose processes are about to end.
    """

    alive: set[str]
    statuses: dict[str, StatusReply]
    busy: set[str]
    absent: set[str]
    leaving: set[str]


class Coordinator:
    """Proposes changes of the groups.

    A change of a zone's own group is proposed only by machines of that zone, since only they
    ask each other for the status of its replicas.

    :param now: the monotonic clock.
    :param wants_first_views: whether the system starts for the first time.
    :param size: target number of replicas in a group.
    :ivar has_registrations: whether all registrations were listed once; until then nothing is
        proposed.
    :ivar retiring: node ids of machines that are being retired.
    """

    def __init__(
        self,
        node_id: str,
        store: ObjectStore,
        own: MachineReplicas,
        peers: ReplicaPeers,
        log: DecisionLog,
        now: Callable[[], float],
        wants_first_views: bool,
        size: int,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._own = own
        self._peers = peers
        self._log = log
        self._notices = GroupNotices(node_id, log)
        self._now = now
        self._wants_first_views = wants_first_views
        self._size = size
        self._started_at = now()
        self._change_needed_since: float | None = None
        self._seen_members: set[str] = set()
        self._seen_members_at = now()
        self._groups: StoredObject | None = None
        self._groups_updated_at = now()
        self._views: list[GroupView] = []
        self.has_registrations = False
        self.retiring: set[str] = set()

    def start(self) -> None:
        """Start checking the groups in the background."""
        eventlet.spawn_n(self._run)

    def update_groups(self, item: StoredObject) -> None:
        """Apply the stored views of all groups unless newer ones are known."""
        views = read_groups(item)
        is_newer = self._groups is None or self._groups.revision < item.revision
        if views is not None and is_newer:
            self._groups = item
            self._groups_updated_at = self._now()
            self._views = views

    def views(self) -> list[GroupView]:
        """Return the newest known views."""
        return self._views

    def leave(self) -> None:
        """Have this machine's common group change to one without it, since its process ends."""
        self._own.common.is_leaving = True

    def is_handing_over(self) -> bool:
        """Return whether a common group needs this machine until a change ends."""
        own_disk = self._own.common.disk_id
        own = [
            view
            for view in self._views
            if not is_zone_group(view.group) and own_disk in disk_ids(all_members(view))
        ]
        state = self._cluster_state(self._views)
        return any(self._is_changing(view, state) for view in own)

    def _is_changing(self, view: GroupView, state: _ClusterState) -> bool:
        """Return whether a common group changes, or can."""
        if view.joining:
            return True
        return self._planned_view(view, state, self._peers.registered) is not None

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_INTERVAL_SECONDS)
            try:
                self._check()
            except ObjectStoreError as error:
                self._log.write(decisions.DependencyChanged("store/groups", False, str(error)))
                eventlet.sleep(CHECK_INTERVAL_SECONDS)

    def _check(self) -> None:
        if not self.has_registrations:
            return
        proposed = self._first_views() if self._groups is None else self._next_views()
        if proposed is None:
            self._change_needed_since = None
        elif self._may_propose(proposed):
            self._propose(proposed.views)
        self._log_losses()

    def _log_losses(self) -> None:
        """Log each group of this machine that has lost all copies of its records."""
        disks = self._peers.disks_confirmed_since(self._groups_updated_at)
        disks[self._node_id] = self._own.common.disk_id
        lost = [
            view
            for view in self._views
            if any(member.node_id == self._node_id for member in view.members)
            and has_lost_all(view, disks)
            and not self._notices.is_loss_logged(view.group)
        ]
        if lost and self._has_newest_views():
            for view in lost:
                self._notices.log_loss(view)

    def _has_newest_views(self) -> bool:
        """Return whether the known views are the store's newest; apply newer ones."""
        known = self._groups
        item = self._store.get(GROUPS_KIND, GROUPS_NAME, STORE_TIMEOUT_SECONDS)
        if item is not None:
            self.update_groups(item)
        return known is not None and item is not None and item.revision == known.revision

    def _first_views(self) -> _Proposal | None:
        if not self._wants_first_views:
            return None
        alive = self._peers.alive()
        members = [member for node, member in self._peers.registered.items() if node in alive]
        is_stable = self._is_stable(members)
        waited = self._now() - self._started_at
        # A group that starts with too few members stores its first records on too few disks.
        is_complete = waited >= FIRST_START_MIN_SECONDS and len(members) >= self._size and is_stable
        if not members or (waited < FIRST_START_MAX_SECONDS and not is_complete):
            return None
        zone_disks = [member for node, member in self._peers.zone_disks.items() if node in alive]
        views = first_views(members, self._size) + first_zone_views(zone_disks, self._size)
        return _Proposal(views, "")

    def _is_stable(self, members: list[Member]) -> bool:
        """Return whether no further machine has registered for a while."""
        names = {member.node_id for member in members}
        if names != self._seen_members:
            self._seen_members = names
            self._seen_members_at = self._now()
        return self._now() - self._seen_members_at >= FIRST_START_STABLE_SECONDS

    def _next_views(self) -> _Proposal | None:
        """Return all views with one of them changed; None if no group needs a change."""
        views = self.views()
        state = self._cluster_state(views)
        for index, view in enumerate(views):
            changed = self._next_view(view, state)
            if changed is not None:
                zone = zone_of(view) if is_zone_group(view.group) else ""
                return _Proposal([*views[:index], changed, *views[index + 1 :]], zone)
        return None

    def _cluster_state(self, views: list[GroupView]) -> _ClusterState:
        own = (self._own.common.status(), self._own.zone.status())
        busy = {disk for view in views for disk in disk_ids(all_members(view))}
        peers = self._peers
        leaving = peers.leaving() | ({self._node_id} if self._own.common.is_leaving else set())
        return _ClusterState(peers.alive(), peers.statuses(own), busy, peers.absent(), leaving)

    def _next_view(self, view: GroupView, state: _ClusterState) -> GroupView | None:
        if not is_zone_group(view.group):
            return self._next_group_view(view, state, self._peers.registered)
        if zone_of(view) != self._own.zone_name:
            return None
        changed = self._next_group_view(view, state, self._peers.disks_of(self._own.zone_name))
        return changed or ended_view(view, self._own.zone, self.retiring)

    def _next_group_view(
        self, view: GroupView, state: _ClusterState, registered: dict[str, Member]
    ) -> GroupView | None:
        """Return the successor of a view; None if the view stays.

        :param registered: the machines with their disks for this kind of group, by node id.
        """
        self._notices.note_missing(
            view, missing_members(view, registered, state.alive), self._now()
        )
        settled = settled_view(view, state.statuses) if view.joining else None
        if settled is not None or not is_ready_to_change(view, state.statuses):
            return settled
        if view.joining:
            return revised_view(view, registered)
        return self._next_settled_view(view, state, registered)

    def _next_settled_view(
        self, view: GroupView, state: _ClusterState, registered: dict[str, Member]
    ) -> GroupView | None:
        """Return the view that begins a change; log a retirement that lacks a replacement."""
        changed = self._planned_view(view, state, registered)
        if self._node_id not in self.retiring:
            self._notices.clear_blocked()
        elif changed is None:
            self._notices.note_blocked(
                blocked_retirement(
                    view,
                    registered,
                    state.alive,
                    self.retiring,
                    state.busy,
                    self._size,
                    state.absent,
                )
            )
        return changed

    def _planned_view(
        self, view: GroupView, state: _ClusterState, registered: dict[str, Member]
    ) -> GroupView | None:
        """Return the view that begins a change of a settled group; None if it needs none."""
        retiring = self.retiring
        if not is_zone_group(view.group):
            # A zone's group would end with its last member, so it waits for a restart instead.
            retiring = retiring | state.leaving
        return next_view(
            view, registered, state.alive, retiring, state.busy, self._size, state.absent
        )

    def _may_propose(self, proposal: _Proposal) -> bool:
        if self._own.common.is_leaving:
            return True
        now = self._now()
        if self._change_needed_since is None:
            self._change_needed_since = now
        candidates = {
            node
            for node, member in self._peers.registered.items()
            if proposal.zone in ("", member.zone)
        }
        order = sorted(self._peers.alive() & candidates)
        position = order.index(self._node_id) if self._node_id in order else len(order)
        return now - self._change_needed_since >= position * PROPOSER_STAGGER_SECONDS

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
            self._change_needed_since = None
        self.update_groups(item)
        for view in views:
            self._log.write(
                decisions.GroupChanged(
                    view.group, view.epoch, _names(view.members), _names(view.joining)
                )
            )


def _names(members: list[Member]) -> str:
    return ",".join(member.node_id for member in members)
