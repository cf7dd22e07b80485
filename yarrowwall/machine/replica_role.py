"""The process side of a replica: requests of other nodes, registration, upkeep."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import eventlet

from yarrowwall import decisions
from yarrowwall.capacity.load_board import LoadBoard
from yarrowwall.capacity.room_board import RoomBoard
from yarrowwall.decisions import DecisionLog
from yarrowwall.machine.listeners import EarlyListeners
from yarrowwall.machine.settings import MachineSettings, ReplicaSettings
from yarrowwall.messages.capacity import AskRoom, ReturnRoom
from yarrowwall.messages.objects import ListObjects, WatchObjects
from yarrowwall.messages.quotas import ReturnQuota, TakeQuota
from yarrowwall.messages.relaying import AskNeighbours, NeighboursReply
from yarrowwall.messages.replicated import (
    AskStatuses,
    GroupView,
    InstallView,
    LoadReply,
    Member,
    RecordsReply,
    ReplyStatus,
    ReportLoad,
    StatusesReply,
    StatusReply,
    TellLoad,
)
from yarrowwall.metrics import MachineMetrics
from yarrowwall.ports.object_store import (
    Change,
    ConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)
from yarrowwall.ports.platform import Documents
from yarrowwall.quotas.lending import QuotaLending
from yarrowwall.quotas.replica_disk import QuotaSettings, ReplicaDisk
from yarrowwall.replication.coordinator import Coordinator, OwnReplicas
from yarrowwall.replication.disk import RecordDisk
from yarrowwall.replication.documents import (
    GROUPS_KIND,
    REPLICAS_KIND,
    read_registration,
    read_zone_registration,
    registration_spec,
)
from yarrowwall.replication.neighbours import NeighbourBoard
from yarrowwall.replication.peers import ReplicaPeers
from yarrowwall.replication.planner import target_size
from yarrowwall.replication.replica import RecordReplica, Request
from yarrowwall.replication.rpc import LinkTable, serve_requests
from yarrowwall.replication.synchroniser import Synchroniser
from yarrowwall.replication.views import all_members, disk_ids, is_zone_group, zone_of
from yarrowwall.sockets import green
from yarrowwall.watching.follower import LONG_WATCH_SECONDS, KindFollower
from yarrowwall.watching.reader import ObjectReader

#: Seconds between rounds of upkeep, and between looks for records to drop.
UPKEEP_SECONDS = 0.3
EXPIRY_SECONDS = 5.0
#: Seconds between looks whether the zone group's replica needs a copy: a new view makes one look
#: at once, and fewer looks of one that has little to do are fewer wake-ups.
ZONE_LOOK_SECONDS = 1.0
#: Where the disk of the zone's own group is, in the data folder.
ZONE_FOLDER = "zone"


class _Replica(NamedTuple):
    """A replica of the machine with its disk and its copying."""

    disk: RecordDisk
    synchroniser: Synchroniser


class ReplicaService:
    """Runs a replica of the record store."""

    def __init__(
        self,
        settings: MachineSettings,
        own: ReplicaSettings,
        documents: Documents,
        store: ObjectStore,
        reader: ObjectReader,
        listeners: EarlyListeners,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._documents = documents
        self._store = store
        self._reader = reader
        self._listeners = listeners
        self._log = log
        lenders = target_size(settings.machines_lost_at_once)
        quotas = QuotaSettings(settings.bounds.quota_terms, lenders)
        folder = Path(own.data_folder)
        self._disk = ReplicaDisk(settings.node_id, folder, quotas, log)
        zone_disk = RecordDisk(settings.node_id, folder / ZONE_FOLDER, log)
        self._links = LinkTable(time.monotonic)
        self._peers = ReplicaPeers(settings.node_id, settings.zone, self._links, time.monotonic)
        self._lending = QuotaLending(self._disk, self._peers, log)
        self._common = _Replica(self._disk, Synchroniser(self._disk, self._links, log, time.time))
        self._zone = _Replica(
            zone_disk, Synchroniser(zone_disk, self._links, log, time.time, ZONE_LOOK_SECONDS)
        )
        self._coordinator = Coordinator(
            settings.node_id,
            store,
            OwnReplicas(settings.zone, self._disk.replica, zone_disk.replica),
            self._peers,
            log,
            time.monotonic,
            settings.is_first_start,
            target_size(settings.machines_lost_at_once),
        )
        self._loads = LoadBoard()
        self._rooms = RoomBoard()
        self._neighbours = NeighbourBoard()
        self._retirements: dict[str, StoredObject] = {}
        self._followers = [
            KindFollower(
                store,
                GROUPS_KIND,
                self._groups_listed,
                self._group_changed,
                log,
                watch_s=LONG_WATCH_SECONDS,
                may_be_old=True,
            ),
            KindFollower(
                store,
                REPLICAS_KIND,
                self._replicas_listed,
                self._replica_changed,
                log,
                watch_s=LONG_WATCH_SECONDS,
                may_be_old=True,
            ),
            KindFollower(
                store,
                documents.retirements_kind,
                self._retirements_listed,
                self._retirement_changed,
                log,
                may_be_old=True,
            ),
        ]

    def start(self) -> None:
        """Begin to serve."""
        listener = green(self._listeners.take(self._settings.peer_address))
        eventlet.spawn_n(serve_requests, listener, self._handle)
        for follower in self._followers:
            follower.start()
        self._peers.start()
        for replica in (self._common, self._zone):
            replica.synchroniser.start()
        self._coordinator.start()
        eventlet.spawn_n(self._register)
        eventlet.spawn_n(self._keep_house)

    def stop(self) -> None:
        """Return at once: whatever was acknowledged is on disk."""

    def measure(self, metrics: MachineMetrics) -> None:
        """Set the metrics that are measured when they are asked for."""
        metrics.set_lent(self._disk.lender.lent_by_tenant(time.monotonic()))
        metrics.set_zone_records(len(self._zone.disk.replica.table))

    # Requests

    def _handle(self, request: object, reply: Callable[[object], None]) -> None:
        if isinstance(request, ReportLoad):
            reply(self._exchange_loads(request))
            return
        if isinstance(request, TellLoad):
            self._take_loads(request)
            return
        if isinstance(request, AskRoom):
            reply(self._rooms.decide(request, self._loads, time.monotonic()))
            return
        if isinstance(request, ReturnRoom):
            self._rooms.take_back(request)
            return
        if isinstance(request, TakeQuota):
            self._lending.take(request, reply)
            return
        if isinstance(request, ReturnQuota):
            self._lending.give_back(request)
            return
        if isinstance(request, AskNeighbours):
            neighbours = self._neighbours.ask(request.gateway, time.monotonic())
            reply(NeighboursReply(neighbours))
            return
        if isinstance(request, ListObjects | WatchObjects):
            self._reader.ask(request, reply)
            return
        if isinstance(request, AskStatuses):
            reply(StatusesReply(self._disk.replica.status(), self._zone.disk.replica.status()))
            return
        self._ask_replica(request, reply)  # type: ignore[arg-type]

    def _ask_replica(self, request: Request, reply: Callable[[object], None]) -> None:
        """Hand a request to the replica that it is meant for."""
        group = request.view.group if isinstance(request, InstallView) else request.group
        asked = self._replica_of(group)
        outcome = asked.disk.replica.handle(request, time.time())
        if not outcome.persist:
            reply(outcome.reply)
            return
        asked.disk.persist(
            list(outcome.persist),
            lambda: reply(self._after_persist(asked, outcome.reply)),
            lambda: reply(RecordsReply(ReplyStatus.DISK_REFUSED, False, [], None)),
        )

    def _replica_of(self, group: int) -> _Replica:
        return self._zone if is_zone_group(group) else self._common

    def _exchange_loads(self, report: ReportLoad) -> LoadReply:
        self._take_loads(report)
        others = self._loads.others(report.node_id)
        interval_s, reporters = self._loads.interval_s, self._loads.reporters
        return LoadReply(list(others), list(others.values()), interval_s, reporters)

    def _take_loads(self, report: ReportLoad | TellLoad) -> None:
        running = dict(zip(report.servers, report.running, strict=True))
        self._loads.take(report.node_id, running, time.monotonic(), report.services)

    @staticmethod
    def _after_persist(asked: _Replica, reply: object) -> object:
        asked.synchroniser.look()
        return asked.disk.replica.status() if isinstance(reply, StatusReply) else reply

    # The own registration

    def _own_member(self) -> Member:
        settings = self._settings
        disk_id = self._disk.replica.disk_id
        return Member(settings.node_id, disk_id, settings.peer_address, settings.zone)

    def _register(self) -> None:
        """Tell the store of this machine and its disks until the store has taken it."""
        spec = registration_spec(self._own_member(), self._zone.disk.replica.disk_id)
        while True:
            try:
                self._store.create(REPLICAS_KIND, self._settings.node_id, spec)
                return
            except ConflictError:
                if self._replace_registration(spec):
                    return
            except ObjectStoreError:
                pass
            eventlet.sleep(UPKEEP_SECONDS)

    def _replace_registration(self, spec: dict) -> bool:
        common = self._peers.registered.get(self._settings.node_id)
        zone = self._peers.zone_disks.get(self._settings.node_id)
        known = registration_spec(common, zone.disk_id) if common and zone else None
        if known == spec:
            return True
        try:
            self._store.replace(REPLICAS_KIND, self._settings.node_id, spec, None)
        except ObjectStoreError:
            return False
        return True

    # Upkeep

    def _keep_house(self) -> None:
        next_expiry = time.monotonic() + EXPIRY_SECONDS
        while True:
            eventlet.sleep(UPKEEP_SECONDS)
            self._tell_retirement()
            self._reader.stop_unwanted()
            self._lending.note_begun()
            if time.monotonic() > next_expiry:
                next_expiry = time.monotonic() + EXPIRY_SECONDS
                self._lending.forget_idle()
                for disk in (self._disk, self._zone.disk):
                    disk.replica.table.expire(time.time())
                    disk.compact_if_long()

    def _tell_retirement(self) -> None:
        """Report whether this machine, if it is to be emptied, holds nothing any more."""
        item = self._retirements.get(self._settings.node_id)
        if item is None:
            return
        views = self._coordinator.views()
        own = {self._disk.replica.disk_id, self._zone.disk.replica.disk_id}
        is_complete = bool(views) and all(
            own.isdisjoint(disk_ids(all_members(view))) for view in views
        )
        status = self._documents.retirement_status(is_complete)
        if item.status == status:
            return
        try:
            self._store.set_status(self._documents.retirements_kind, self._settings.node_id, status)
        except ObjectStoreError:
            return
        self._retirements[self._settings.node_id] = StoredObject(
            item.name, item.revision, item.spec, status
        )
        change = "retired" if is_complete else "retiring"
        self._log.write(decisions.ProcessChanged(change, self._settings.node_id))

    # What the store tells

    def _groups_listed(self, items: list[StoredObject]) -> None:
        for item in items:
            self._take_groups(item)
        self._coordinator.has_listed = True

    def _group_changed(self, change: Change) -> None:
        if not change.is_gone:
            self._take_groups(change.item)

    def _take_groups(self, item: StoredObject) -> None:
        self._coordinator.take_groups(item)
        for view in self._coordinator.views():
            replica = self._replica_of(view.group)
            if _concerns(view, replica.disk.replica):
                views = replica.disk.replica.take_view(view)
                replica.disk.persist(views, replica.synchroniser.look)
            if is_zone_group(view.group) and zone_of(view) == self._settings.zone:
                self._peers.has_zone_group = True

    def _replicas_listed(self, items: list[StoredObject]) -> None:
        self._peers.forget_all()
        for item in items:
            self._take_registration(item)

    def _replica_changed(self, change: Change) -> None:
        if change.is_gone:
            self._peers.forget(change.item.name)
        else:
            self._take_registration(change.item)

    def _take_registration(self, item: StoredObject) -> None:
        common = read_registration(item)
        if common is not None:
            self._peers.take(item.name, common, read_zone_registration(item))

    def _retirements_listed(self, items: list[StoredObject]) -> None:
        self._retirements = {item.name: item for item in items}
        self._coordinator.retiring = set(self._retirements)

    def _retirement_changed(self, change: Change) -> None:
        if change.is_gone:
            self._retirements.pop(change.item.name, None)
        else:
            self._retirements[change.item.name] = change.item
        self._coordinator.retiring = set(self._retirements)


def _concerns(view: GroupView, replica: RecordReplica) -> bool:
    """Return whether a replica is of a group, or was."""
    own = replica.view
    is_own_group = own is not None and own.group == view.group
    return is_own_group or replica.disk_id in disk_ids(all_members(view))
