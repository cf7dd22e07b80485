"""Changes of the groups: who replaces whom, agreed through the platform's store.

Every machine with a disk may propose a change; a compare-and-set on the object that
holds all views lets one proposal win. The machine first in the order of names acts at
once, the others only if nothing happened for a while.
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
    next_view,
    revised_view,
    settled_view,
)
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.views import all_members, disk_ids, is_zone_group, zone_of

#: Seconds between looks at the groups.
LOOK_SECONDS = 0.2
#: Seconds after the start of a new system in which machines register.
FIRST_START_SECONDS = 1.5
#: Seconds in which a new system waits for as many machines as a group wants.
FIRST_START_PATIENCE_SECONDS = 6.0
#: Seconds without a new machine after which a new system holds all to be there, within that
#: patience: a zone none of whose machines were there in time never gets a group of its own.
FIRST_START_STEADY_SECONDS = 1.0
#: Seconds that the store has to tell which views are the newest.
NEWEST_SECONDS = 0.5
#: Seconds by which each machine waits for the one before it in the order.
TURN_SECONDS = 1.0


class MachineReplicas(NamedTuple):
    """The replicas of a machine.

    :param zone_name: the machine's zone.
    :param zone: the replica of that zone's own group.
    """

    zone_name: str
    common: RecordReplica
    zone: RecordReplica


class _Proposal(NamedTuple):
    """New views of all groups.

    :param zone: whose machines alone propose them; empty for any machine.
    """

    views: list[GroupView]
    zone: str


class _Known(NamedTuple):
    """What is known of the machines at one look.

    :param alive: those that answered lately.
    :param statuses: the newest state of each disk whose machine is alive.
    :param busy: disks that are members of any group.
    """

    alive: set[str]
    statuses: dict[str, StatusReply]
    busy: set[str]


class Coordinator:
    """Proposes changes of the groups.

    Those of a zone's own group are proposed by machines of that zone alone: only they ask one
    another for the states of its replicas.

    :param wants_first_views: whether the system starts for the first time.
    :param size: replicas wanted in a group.
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
        self._needed_since: float | None = None
        self._first_members: set[str] = set()
        self._first_members_at = now()
        self._groups: StoredObject | None = None
        self._groups_known_at = now()
        self._views: list[GroupView] = []
        self.has_registrations = False
        self.retiring: set[str] = set()

    def start(self) -> None:
        """Begin to look after the groups."""
        eventlet.spawn_n(self._run)

    def update_groups(self, item: StoredObject) -> None:
        """Take in the newest views of all groups."""
        views = read_groups(item)
        is_newer = self._groups is None or self._groups.revision < item.revision
        if views is not None and is_newer:
            self._groups = item
            self._groups_known_at = self._now()
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
        if not self.has_registrations:
            return
        proposed = self._first_views() if self._groups is None else self._next_views()
        if proposed is None:
            self._needed_since = None
        elif self._is_own_turn(proposed):
            self._propose(proposed.views)
        self._note_losses()

    def _note_losses(self) -> None:
        """Log which groups of this machine have lost all copies of their records."""
        disks = self._peers.disks_since(self._groups_known_at)
        disks[self._node_id] = self._own.common.disk_id
        lost = [
            view
            for view in self._views
            if any(member.node_id == self._node_id for member in view.members)
            and has_lost_all(view, disks)
            and not self._notices.knows_lost(view.group)
        ]
        if lost and self._are_newest():
            for view in lost:
                self._notices.note_lost(view)

    def _are_newest(self) -> bool:
        """Ask the store whether the known views are the newest; take in newer ones."""
        known = self._groups
        item = self._store.get(GROUPS_KIND, GROUPS_NAME, NEWEST_SECONDS)
        if item is not None:
            self.update_groups(item)
        return known is not None and item is not None and item.revision == known.revision

    def _first_views(self) -> _Proposal | None:
        if not self._wants_first_views:
            return None
        alive = self._peers.alive()
        members = [member for node, member in self._peers.registered.items() if node in alive]
        is_steady = self._is_steady(members)
        waited = self._now() - self._started_at
        # A group that starts too small holds its first records on too few disks.
        is_whole = waited >= FIRST_START_SECONDS and len(members) >= self._size and is_steady
        if not members or (waited < FIRST_START_PATIENCE_SECONDS and not is_whole):
            return None
        zone_disks = [member for node, member in self._peers.zone_disks.items() if node in alive]
        views = first_views(members, self._size) + first_zone_views(zone_disks, self._size)
        return _Proposal(views, "")

    def _is_steady(self, members: list[Member]) -> bool:
        """Return whether no further machine has come for a while."""
        names = {member.node_id for member in members}
        if names != self._first_members:
            self._first_members = names
            self._first_members_at = self._now()
        return self._now() - self._first_members_at >= FIRST_START_STEADY_SECONDS

    def _next_views(self) -> _Proposal | None:
        """Return all views with one changed; None if none needs a change."""
        views = self.views()
        known = self._known(views)
        for index, view in enumerate(views):
            changed = self._next_view(view, known)
            if changed is not None:
                zone = zone_of(view) if is_zone_group(view.group) else ""
                return _Proposal([*views[:index], changed, *views[index + 1 :]], zone)
        return None

    def _known(self, views: list[GroupView]) -> _Known:
        own = (self._own.common.status(), self._own.zone.status())
        busy = {disk for view in views for disk in disk_ids(all_members(view))}
        return _Known(self._peers.alive(), self._peers.statuses(own), busy)

    def _next_view(self, view: GroupView, known: _Known) -> GroupView | None:
        if not is_zone_group(view.group):
            return self._changed(view, known, self._peers.registered)
        if zone_of(view) != self._own.zone_name:
            return None
        changed = self._changed(view, known, self._peers.disks_of(self._own.zone_name))
        return changed or ended_view(view, self._own.zone, self.retiring)

    def _changed(
        self, view: GroupView, known: _Known, registered: dict[str, Member]
    ) -> GroupView | None:
        """Return the view that follows on one; None if it may stay.

        :param registered: the disks for that kind of groups.
        """
        settled = settled_view(view, known.statuses) if view.joining else None
        if settled is not None or not is_ready_to_change(view, known.statuses):
            return settled
        if view.joining:
            return revised_view(view, registered)
        return self._settled_change(view, known, registered)

    def _settled_change(
        self, view: GroupView, known: _Known, registered: dict[str, Member]
    ) -> GroupView | None:
        """Return the view that begins a change; note a retirement that waits for a substitute."""
        group = (view, registered, known.alive, self.retiring, known.busy, self._size)
        changed = next_view(*group)
        if self._node_id not in self.retiring:
            self._notices.forget_held()
        elif changed is None:
            self._notices.note_held(blocked_retirement(*group))
        return changed

    def _is_own_turn(self, proposal: _Proposal) -> bool:
        now = self._now()
        if self._needed_since is None:
            self._needed_since = now
        able = {
            node
            for node, member in self._peers.registered.items()
            if proposal.zone in ("", member.zone)
        }
        order = sorted(self._peers.alive() & able)
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
        self.update_groups(item)
        for view in views:
            self._log.write(
                decisions.GroupChanged(
                    view.group, view.epoch, _names(view.members), _names(view.joining)
                )
            )


def _names(members: list[Member]) -> str:
    return ",".join(member.node_id for member in members)
