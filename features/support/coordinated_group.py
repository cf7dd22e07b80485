"""The coordinator of one storage machine, with fakes for the store and the other machines."""

import os
import time
from typing import Any

from features.support.record_model import member
from yarrowwall.decisions import Decision, DecisionLog
from yarrowwall.messages.replicated import GroupView, StatusReply
from yarrowwall.ports.object_store import ConflictError, StoredObject
from yarrowwall.replication.coordinator import Coordinator, MachineReplicas
from yarrowwall.replication.documents import GROUPS_NAME, groups_spec, read_groups
from yarrowwall.replication.peers import ReplicaPeers
from yarrowwall.replication.planner import target_size
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.rpc import LinkTable
from yarrowwall.replication.views import all_members

OWN = "a"


class GroupsStore:
    """A fake of the platform's store that holds the object with all views."""

    def __init__(self, views: list[GroupView]) -> None:
        self.item = StoredObject(GROUPS_NAME, 1, groups_spec(views), {})

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace the object."""
        if revision != self.item.revision:
            raise ConflictError(name)
        self.item = StoredObject(name, self.item.revision + 1, spec, {})
        return self.item

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return the object."""
        return self.item

    def put(self, view: GroupView) -> None:
        """Store a view that another machine proposed."""
        self.item = StoredObject(GROUPS_NAME, self.item.revision + 1, groups_spec([view]), {})


class AnsweringPeers(ReplicaPeers):
    """Machines that answer at once and whose disks have copied as soon as they join."""

    def __init__(self, store: GroupsStore, links: LinkTable) -> None:
        super().__init__(OWN, f"zone-{OWN}", links, time.monotonic)
        self._store = store
        self.are_silent = False

    def register(self, disk_id: str) -> None:
        """Register a machine with a disk."""
        self.note_registration(disk_id[0], member(disk_id), None)

    def answer_all(self) -> None:
        """Handle an answer of each machine, unless they are silent."""
        others = [known for known in self.registered.values() if known.node_id != OWN]
        for known in [] if self.are_silent else others:
            self._handle_reply(known, time.monotonic(), self.status(known.disk_id))

    def status(self, disk_id: str) -> StatusReply:
        """Return the status of a disk that holds every complete record of its group."""
        view = self._store_view()
        is_member = disk_id in [known.disk_id for known in all_members(view)]
        epoch = view.epoch if is_member else 0
        return StatusReply(disk_id[0], disk_id, epoch, is_member, epoch)

    def _store_view(self) -> GroupView:
        views = read_groups(self._store.item)
        assert views
        return views[0]


class CoordinatedGroup:
    """A group that is coordinated by the storage machine ``a`` with the disk ``a1``."""

    def __init__(self, disks: list[str]) -> None:
        self.logged: list[Decision] = []
        log = DecisionLog(OWN, self.logged.append, os.open(os.devnull, os.O_WRONLY))
        view = GroupView(0, 1, [member(disk_id) for disk_id in disks], [])
        self.store = GroupsStore([view])
        self.peers = AnsweringPeers(self.store, LinkTable(log, time.monotonic))
        own = MachineReplicas(
            f"zone-{OWN}", RecordReplica(OWN, f"{OWN}1"), RecordReplica(OWN, "z1")
        )
        for disk_id in [*disks, own.common.disk_id]:
            self.peers.register(disk_id)
        own.common.mark_durable(own.common.install_view(view)[0])
        self.coordinator = Coordinator(
            OWN, self.store, own, self.peers, log, time.monotonic, False, target_size(1)
        )
        self.coordinator.update_groups(self.store.item)
        self.coordinator.has_registrations = True

    def members(self) -> str:
        """Return the group's disks; empty while it changes."""
        view = self.coordinator.views()[0]
        return "" if view.joining else ",".join(sorted(one.disk_id for one in view.members))
