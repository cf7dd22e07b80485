"""The process side of a replica: requests of other nodes, registration, upkeep."""

import time
from collections.abc import Callable
from pathlib import Path

import eventlet

from yarrowwall.listeners import EarlyListeners
from yarrowwall.messages.capacity import AskRoom, ReturnRoom
from yarrowwall.messages.objects import ListObjects, WatchObjects
from yarrowwall.messages.quotas import ReturnQuota, TakeQuota
from yarrowwall.messages.replicated import (
    GroupView,
    LoadReply,
    Member,
    RecordsReply,
    ReplyStatus,
    ReportLoad,
    StatusReply,
    TellLoad,
)
from yarrowwall.quotas.lending import QuotaLending
from yarrowwall.readers.reader import ObjectReader
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.metrics import MachineMetrics
from yarrowwall.relay.object_store import (
    Change,
    ConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)
from yarrowwall.relay.ports import Documents
from yarrowwall.relay.settings import MachineSettings, ReplicaSettings
from yarrowwall.relay.sockets import green
from yarrowwall.relay.watching import LONG_WATCH_SECONDS, KindFollower
from yarrowwall.replication.coordinator import Coordinator
from yarrowwall.replication.disk import QuotaSettings, ReplicaDisk
from yarrowwall.replication.documents import (
    GROUPS_KIND,
    REPLICAS_KIND,
    member_spec,
    read_groups,
    read_registration,
)
from yarrowwall.replication.load_board import LoadBoard
from yarrowwall.replication.peers import ReplicaPeers
from yarrowwall.replication.planner import target_size
from yarrowwall.replication.room_board import RoomBoard
from yarrowwall.replication.rpc import LinkTable, serve_requests
from yarrowwall.replication.synchroniser import Synchroniser
from yarrowwall.replication.views import all_members, disk_ids

#: Seconds between rounds of upkeep, and between looks for records to drop.
UPKEEP_SECONDS = 0.3
EXPIRY_SECONDS = 5.0


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
        self._disk = ReplicaDisk(settings.node_id, Path(own.data_folder), quotas, log)
        self._replica = self._disk.replica
        self._links = LinkTable(time.monotonic)
        self._peers = ReplicaPeers(settings.node_id, self._links, time.monotonic)
        self._lending = QuotaLending(self._disk, self._peers, log)
        self._synchroniser = Synchroniser(self._disk, self._links, log, time.time)
        self._coordinator = Coordinator(
            settings.node_id,
            store,
            self._replica,
            self._peers,
            log,
            time.monotonic,
            settings.is_first_start,
            target_size(settings.machines_lost_at_once),
        )
        self._loads = LoadBoard()
        self._rooms = RoomBoard()
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
        self._synchroniser.start()
        self._coordinator.start()
        eventlet.spawn_n(self._register)
        eventlet.spawn_n(self._keep_house)

    def stop(self) -> None:
        """Return at once: whatever was acknowledged is on disk."""

    def measure(self, metrics: MachineMetrics) -> None:
        """Set the metrics that are measured when they are asked for."""
        metrics.set_lent(self._disk.lender.lent_by_tenant(time.monotonic()))

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
        if isinstance(request, ListObjects | WatchObjects):
            self._reader.ask(request, reply)
            return
        outcome = self._replica.handle(request, time.time())  # type: ignore[arg-type]
        if not outcome.persist:
            reply(outcome.reply)
            return
        self._disk.persist(
            list(outcome.persist),
            lambda: reply(self._after_persist(outcome.reply)),
            lambda: reply(RecordsReply(ReplyStatus.DISK_REFUSED, False, [], None)),
        )

    def _exchange_loads(self, report: ReportLoad) -> LoadReply:
        self._take_loads(report)
        others = self._loads.others(report.node_id)
        interval_s, reporters = self._loads.interval_s, self._loads.reporters
        return LoadReply(list(others), list(others.values()), interval_s, reporters)

    def _take_loads(self, report: ReportLoad | TellLoad) -> None:
        running = dict(zip(report.servers, report.running, strict=True))
        self._loads.take(report.node_id, running, time.monotonic(), report.services)

    def _after_persist(self, reply: object) -> object:
        self._synchroniser.look()
        return self._replica.status() if isinstance(reply, StatusReply) else reply

    # The own registration

    def _own_member(self) -> Member:
        settings = self._settings
        return Member(settings.node_id, self._replica.disk_id, settings.peer_address, settings.zone)

    def _register(self) -> None:
        """Tell the store of this machine and its disk until the store has taken it."""
        spec = member_spec(self._own_member())
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
        known = self._peers.registered.get(self._settings.node_id)
        if known is not None and member_spec(known) == spec:
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
                self._replica.table.expire(time.time())
                self._disk.compact_if_long()

    def _tell_retirement(self) -> None:
        """Report whether this machine, if it is to be emptied, holds nothing any more."""
        item = self._retirements.get(self._settings.node_id)
        if item is None:
            return
        views = self._coordinator.views()
        own = self._replica.disk_id
        is_complete = bool(views) and all(own not in disk_ids(all_members(view)) for view in views)
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
        for view in read_groups(item) or ():
            if self._concerns(view):
                self._disk.persist(self._replica.take_view(view), self._synchroniser.look)

    def _concerns(self, view: GroupView) -> bool:
        own = self._replica.view
        is_own_group = own is not None and own.group == view.group
        return is_own_group or self._replica.disk_id in disk_ids(all_members(view))

    def _replicas_listed(self, items: list[StoredObject]) -> None:
        self._peers.registered = {
            item.name: member for item in items if (member := read_registration(item)) is not None
        }

    def _replica_changed(self, change: Change) -> None:
        member = read_registration(change.item)
        if change.is_gone:
            self._peers.registered.pop(change.item.name, None)
        elif member is not None:
            self._peers.registered[change.item.name] = member

    def _retirements_listed(self, items: list[StoredObject]) -> None:
        self._retirements = {item.name: item for item in items}
        self._coordinator.retiring = set(self._retirements)

    def _retirement_changed(self, change: Change) -> None:
        if change.is_gone:
            self._retirements.pop(change.item.name, None)
        else:
            self._retirements[change.item.name] = change.item
        self._coordinator.retiring = set(self._retirements)
