"""The replica role of a machine: its disks, its followers of the store, and maintenance."""

import time
from pathlib import Path

import eventlet

from yarrowwall.decisions import DecisionLog
from yarrowwall.listening import ResilientListener
from yarrowwall.machine.listeners import EarlyListeners
from yarrowwall.machine.registration import Registration
from yarrowwall.machine.replica_requests import LocalReplica, ReplicaRequests
from yarrowwall.machine.settings import MachineSettings, ReplicaSettings
from yarrowwall.messages.replicated import (
    GroupView,
    Member,
)
from yarrowwall.metrics import MachineMetrics
from yarrowwall.policy.record_room import RecordRoom
from yarrowwall.ports.object_store import (
    Change,
    ObjectStore,
    StoredObject,
)
from yarrowwall.ports.platform import Documents
from yarrowwall.quotas.permit_service import PermitService
from yarrowwall.quotas.replica_disk import QuotaSettings, ReplicaDisk
from yarrowwall.replication.coordinator import Coordinator, MachineReplicas
from yarrowwall.replication.disk import RecordDisk
from yarrowwall.replication.documents import (
    GROUPS_KIND,
    REPLICAS_KIND,
    read_registration,
    read_zone_registration,
)
from yarrowwall.replication.expiry import RecordExpiry
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.peers import HEARTBEAT_SECONDS, ReplicaPeers
from yarrowwall.replication.planner import target_size
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.replica import RecordReplica
from yarrowwall.replication.rpc import LinkTable, serve_requests
from yarrowwall.replication.synchroniser import Synchroniser
from yarrowwall.replication.views import all_members, disk_ids, is_zone_group, zone_of
from yarrowwall.watching.follower import LONG_WATCH_SECONDS, KindFollower
from yarrowwall.watching.reader import StoreReader

#: Seconds between rounds of maintenance, and between two checks for what can be cleaned up.
MAINTENANCE_SECONDS = 0.3
CLEANUP_SECONDS = 5.0
#: Seconds between checks whether the zone group's replica needs a copy. A new view triggers a check
#: at once, and longer intervals save wake-ups of a replica that rarely needs one.
ZONE_CHECK_SECONDS = 1.0
#: Most seconds that a process which ends waits for its group to change to one without it, and
#: seconds between two checks.
HANDOVER_SECONDS = 3.0
HANDOVER_CHECK_SECONDS = 0.02
#: Seconds in which all other machines have asked this one for its status once.
LEAVE_NOTICE_SECONDS = 1.5 * HEARTBEAT_SECONDS
#: Folder of the zone group's disk within the data folder.
ZONE_FOLDER = "zone"


class ReplicaRole:
    """Runs the replicas of the record store on a machine: of a common and of the zone group."""

    def __init__(
        self,
        settings: MachineSettings,
        own: ReplicaSettings,
        documents: Documents,
        store: ObjectStore,
        reader: StoreReader,
        listeners: EarlyListeners,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._documents = documents
        self._store = store
        self._reader = reader
        self._listeners = listeners
        self._log = log
        issuers = target_size(settings.machines_lost_at_once)
        quotas = QuotaSettings(settings.bounds.quota_rules, issuers)
        folder = Path(own.data_folder)
        self._room = RecordRoom.of_machine(settings.memory_mb)
        self._disk = ReplicaDisk(settings.node_id, folder, quotas, log, self._room)
        zone_disk = RecordDisk(settings.node_id, folder / ZONE_FOLDER, log, self._room)
        self._links = LinkTable(log, time.monotonic)
        self._peers = ReplicaPeers(settings.node_id, settings.zone, self._links, time.monotonic)
        self._permits = PermitService(self._disk, self._peers, log)
        self._common = LocalReplica(
            self._disk, Synchroniser(self._disk, self._links, log, time.monotonic)
        )
        self._zone = LocalReplica(
            zone_disk, Synchroniser(zone_disk, self._links, log, time.monotonic, ZONE_CHECK_SECONDS)
        )
        self._views = GroupViews()
        client = QuorumClient(settings.zone, self._views, self._links, time.monotonic)
        self._expiries = [
            RecordExpiry(disk.replica, client, self._views, log, time.monotonic)
            for disk in (self._disk, zone_disk)
        ]
        self._coordinator = Coordinator(
            settings.node_id,
            store,
            MachineReplicas(settings.zone, self._disk.replica, zone_disk.replica),
            self._peers,
            log,
            time.monotonic,
            settings.is_first_start,
            target_size(settings.machines_lost_at_once),
        )
        own_member = Member(
            settings.node_id, self._disk.replica.disk_id, settings.peer_address, settings.zone
        )
        self._registration = Registration(
            own_member, zone_disk.replica.disk_id, store, documents, self._peers, log
        )
        self._requests = ReplicaRequests(
            self._common, self._zone, self._permits, reader, self._room, log
        )
        self._followers = [
            KindFollower(
                store,
                GROUPS_KIND,
                self._on_groups_listed,
                self._on_group_changed,
                log,
                watch_s=LONG_WATCH_SECONDS,
                allow_stale=True,
            ),
            KindFollower(
                store,
                REPLICAS_KIND,
                self._on_replicas_listed,
                self._on_replica_changed,
                log,
                watch_s=LONG_WATCH_SECONDS,
                allow_stale=True,
            ),
            KindFollower(
                store,
                documents.retirements_kind,
                self._on_retirements_listed,
                self._on_retirement_changed,
                log,
                allow_stale=True,
            ),
        ]

    def start(self) -> None:
        """Start serving requests."""
        listener = ResilientListener(self._listeners.take(self._settings.peer_address), self._log)
        eventlet.spawn_n(serve_requests, listener, self._requests.handle, self._log)
        for follower in self._followers:
            follower.start()
        self._peers.start()
        for replica in (self._common, self._zone):
            replica.synchroniser.start()
        for expiry in self._expiries:
            expiry.start()
        self._coordinator.start()
        eventlet.spawn_n(self._registration.register)
        eventlet.spawn_n(self._run_maintenance)

    def stop(self, ends_at: float) -> None:
        """Leave the common group if it can do without this machine, which may not come back.

        Everything that was acknowledged is on disk, but perhaps on this one and only one other.

        :param ends_at: time of the monotonic clock by which to return.
        """
        self._coordinator.leave()
        if not self._coordinator.is_handing_over():
            return
        begun_at = time.monotonic()
        while self._coordinator.is_handing_over():
            if time.monotonic() >= min(begun_at + HANDOVER_SECONDS, ends_at):
                return
            eventlet.sleep(HANDOVER_CHECK_SECONDS)
        # A machine that does not know yet that this one leaves would let it join again.
        eventlet.sleep(max(0.0, begun_at + LEAVE_NOTICE_SECONDS - time.monotonic()))

    def update_metrics(self, metrics: MachineMetrics) -> None:
        """Set the metrics that are computed on each scrape."""
        metrics.set_issued_permits(self._disk.issuer.issued_by_tenant(time.monotonic()))
        metrics.set_held({"records": self._room.used, "records_bound": self._room.limit or 0})
        metrics.set_zone_records(len(self._zone.disk.replica.table))
        table = self._disk.replica.table
        metrics.set_common_records(len(table), table.owner_count)

    # Maintenance

    def _run_maintenance(self) -> None:
        next_cleanup = time.monotonic() + CLEANUP_SECONDS
        while True:
            eventlet.sleep(MAINTENANCE_SECONDS)
            self._registration.report_retirement(self._coordinator.views())
            self._reader.stop_idle_kinds()
            self._permits.record_begun()
            if time.monotonic() > next_cleanup:
                next_cleanup = time.monotonic() + CLEANUP_SECONDS
                self._permits.drop_expired()
                for replica in (self._common, self._zone):
                    replica.disk.compact_if_long()

    # Updates from the store

    def _on_groups_listed(self, items: list[StoredObject]) -> None:
        for item in items:
            self._update_groups(item)
        self._coordinator.has_registrations = True

    def _on_group_changed(self, change: Change) -> None:
        if not change.is_gone:
            self._update_groups(change.item)

    def _update_groups(self, item: StoredObject) -> None:
        self._coordinator.update_groups(item)
        for view in self._coordinator.views():
            self._views.update(view)
            replica = self._requests.replica_of(view.group)
            if _is_affected(view, replica.disk.replica):
                views = replica.disk.replica.install_view(view)
                replica.disk.persist(views, replica.synchroniser.check_now)
            if is_zone_group(view.group) and zone_of(view) == self._settings.zone:
                self._peers.has_zone_group = True

    def _on_replicas_listed(self, items: list[StoredObject]) -> None:
        self._peers.forget_all()
        for item in items:
            self._note_registration(item)

    def _on_replica_changed(self, change: Change) -> None:
        if change.is_gone:
            self._peers.forget(change.item.name)
        else:
            self._note_registration(change.item)

    def _note_registration(self, item: StoredObject) -> None:
        common = read_registration(item)
        if common is not None:
            self._peers.note_registration(item.name, common, read_zone_registration(item))

    def _on_retirements_listed(self, items: list[StoredObject]) -> None:
        self._registration.retirements = {item.name: item for item in items}
        self._coordinator.retiring = set(self._registration.retirements)

    def _on_retirement_changed(self, change: Change) -> None:
        retirements = self._registration.retirements
        if change.is_gone:
            retirements.pop(change.item.name, None)
        else:
            retirements[change.item.name] = change.item
        self._coordinator.retiring = set(retirements)


def _is_affected(view: GroupView, replica: RecordReplica) -> bool:
    """Return whether a replica belongs to the group of a view, or belonged to it."""
    own = replica.view
    is_own_group = own is not None and own.group == view.group
    return is_own_group or replica.disk_id in disk_ids(all_members(view))
