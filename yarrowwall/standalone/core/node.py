"""A node: one state machine composed of the gateway, owners, replica and others.

The driver passes in an event with the current time and carries out the returned
effects in order. It calls :meth:`NodeCore.handle` with :class:`TimeAdvanced` no
later than :meth:`NodeCore.next_deadline`.
"""

from collections.abc import Callable
from dataclasses import dataclass

from yarrowwall.hashing import rank
from yarrowwall.messages.journal import (
    Append,
    Appended,
    AskCopied,
    BallotRefused,
    CopyProgram,
    Prepare,
    ProgramCopied,
    Promise,
    ReplicaBehind,
    ReplicaCopied,
    ShardMapStale,
    SweepProgram,
)
from yarrowwall.messages.peers import (
    Document,
    DocumentPull,
    DocumentPush,
    DocumentStored,
    FetchDocuments,
    FetchedDocuments,
    ForwardReply,
    ForwardRequest,
    Gossip,
    MemberRecord,
    MemberStatus,
    StoreDocument,
)
from yarrowwall.standalone.core.configuration.commands import OperatorOutcome, OperatorReply
from yarrowwall.standalone.core.configuration.controller import RENEWALS_PER_LEASE, Controller
from yarrowwall.standalone.core.configuration.documents import DocumentTable
from yarrowwall.standalone.core.configuration.models import (
    CONFIGURATION,
    MACHINES,
    SHARD_MAP,
    Configuration,
    Machine,
    MachineList,
    ShardMap,
)
from yarrowwall.standalone.core.configuration.operator import (
    OperatorCommandRunner,
    parse_configuration,
)
from yarrowwall.standalone.core.configuration.transactions import TransactionTable
from yarrowwall.standalone.core.effects import (
    Drained,
    Effect,
    ReplyToCaller,
    ReplyToOperator,
    SendToPeer,
    StreamRoute,
    WatchPlatform,
)
from yarrowwall.standalone.core.events import (
    CacheBlocksChanged,
    CallerGone,
    CallerRequest,
    DrainRequested,
    EngineCompleted,
    EngineFailed,
    EngineLoadReported,
    EngineOrdered,
    EngineReleased,
    EngineUnreachable,
    LookupAnswered,
    LookupRequested,
    NodeStarted,
    OperatorRequest,
    PeerMessage,
    PlatformDocument,
    PlatformRead,
    PlatformWritten,
    TimeAdvanced,
)
from yarrowwall.standalone.core.gateway import Gateway
from yarrowwall.standalone.core.identifiers import ballot_holder, node_of
from yarrowwall.standalone.core.journal.placement import document_groups, program_groups
from yarrowwall.standalone.core.journal.proposer import ReplicaGroups
from yarrowwall.standalone.core.journal.reconfiguration import (
    LogCopier,
    MapChangeCoordinator,
    map_version_of,
    parse_map,
)
from yarrowwall.standalone.core.journal.replica import JournalReplica
from yarrowwall.standalone.core.journal.service import JournalService
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.lookups import LookupDispatcher
from yarrowwall.standalone.core.machines import MachineTable
from yarrowwall.standalone.core.membership.table import MemberTable
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.registry import OwnerRegistry
from yarrowwall.standalone.core.scheduling.policies import Policy
from yarrowwall.standalone.core.scheduling.scheduler import Scheduler, SchedulerSettings
from yarrowwall.standalone.core.timers import Timers

#: Number of nodes per zone that watch the platform; the others learn changes by gossip.
WATCHERS_PER_ZONE = 2

_NOT_SERVING = "this node is starting or stopping"
_GOSSIP = "gossip"
_DOCUMENTS = "documents"
_CONTROLLER = "controller"
_PLACE = "place"
_DRAIN = "drain"
_REQUEST_PREFIX = "request/"
_TRANSACTION_PREFIX = "transaction/"
_PLACE_INTERVAL = 0.25
_DRAIN_INTERVAL = 0.1


@dataclass(frozen=True)
class NodeSettings:
    """Settings of a node at its start.

    :param incarnation: number that is higher than at every earlier start of the node.
    :param seeds: other nodes to start gossip with.
    :param shard_map: the initial shard map; newer ones are documents.
    """

    node_id: str
    zone: str
    address: str
    incarnation: int
    seeds: tuple[MemberRecord, ...]
    shard_map: ShardMap
    limits: Limits
    scheduler: SchedulerSettings


class NodeCore:
    """All decisions of one node."""

    def __init__(
        self, settings: NodeSettings, policy: Policy, replica: JournalReplica | None, now: float
    ) -> None:
        self.settings = settings
        self.node_id = settings.node_id
        self._limits = settings.limits
        self._outbox = Outbox(settings.node_id)
        self._timers: Timers[str] = Timers()
        own = MemberRecord(
            settings.node_id,
            settings.zone,
            settings.address,
            settings.incarnation,
            0,
            MemberStatus.LIVE,
        )
        self.members = MemberTable(own, settings.seeds, self._limits.dead_after, now)
        self.documents = DocumentTable(
            self.node_id, self._outbox, self._document_groups, self._document_changed
        )
        self.scheduler = Scheduler(self.node_id, policy, settings.scheduler)
        self.gateway = Gateway(
            self.members,
            self._limits,
            self._outbox,
            lambda request_id, at: self._timers.set(_REQUEST_PREFIX + request_id, at),
            self._run_request,
            self._handle_owner_reply,
        )
        self.owners = OwnerRegistry(
            ballot_holder(self.node_id, settings.incarnation),
            self._limits,
            self._outbox,
            self.scheduler,
            self._program_groups,
            self.gateway.ask,
        )
        transactions = TransactionTable(
            self._limits,
            self._outbox,
            lambda operation_id, at: self._timers.set(_TRANSACTION_PREFIX + operation_id, at),
        )
        self._transactions = transactions
        self._operator_commands = OperatorCommandRunner(
            transactions, self.documents, self._outbox, settings.shard_map
        )
        self._map_coordinator = MapChangeCoordinator(self.node_id, transactions, self._outbox)
        self._controller = Controller(
            self.node_id, settings.zone, self._limits, transactions, self._outbox
        )
        self._now = now
        self.journal: JournalService | None = None
        self._copier: LogCopier | None = None
        if replica is not None:
            self.journal = JournalService(replica, self._limits, self._outbox)
            self._copier = LogCopier(
                replica.replica_id,
                self._outbox,
                lambda program_id: self.members.owner_of(program_id, self._now),
            )
        self.lookups = LookupDispatcher(settings.zone, self._outbox)
        self._shard_map = settings.shard_map
        self._machines = MachineTable(self.scheduler, self.lookups, self._outbox)
        self._is_watching = False
        self._handlers = self._event_handlers()
        self._peer_handlers = self._message_handlers()

    # Interface for the driver

    def handle(self, now: float, event: object) -> list[Effect]:
        """Handle one event.

        :returns: the effects to carry out, in order.
        """
        self._now = now
        self._handlers[type(event)](now, event)
        self._run_due(now)
        self._place_calls(now)
        return self._finish(now)

    def next_deadline(self) -> float | None:
        """Return the time at which :class:`TimeAdvanced` is due; None without any timer."""
        deadlines = [self._timers.next_deadline(), self.owners.next_deadline()]
        if self.journal is not None:
            deadlines.append(self.journal.sweeps.next_deadline())
        return min((at for at in deadlines if at is not None), default=None)

    def address_of(self, node_id: str) -> str | None:
        """Return a peer's address, ``IP:port``."""
        return self.members.address_of(node_id)

    def is_ready(self) -> bool:
        """Return whether this node accepts requests."""
        return self.documents.is_ready and not self.is_draining()

    def is_draining(self) -> bool:
        """Return whether the node has been asked to stop."""
        return self.members.own.status is MemberStatus.LEAVING

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return parse_configuration(self.documents.in_force(CONFIGURATION))

    def shard_map(self) -> ShardMap:
        """Return the shard map in force."""
        return self._shard_map

    def machines(self) -> list[Machine]:
        """Return the machine list in force."""
        return self._machines.machines

    def _finish(self, now: float) -> list[Effect]:
        """Handle messages to this node itself and settle replies; return the other effects."""
        effects: list[Effect] = []
        pending = self._outbox.take()
        while pending:
            for effect in pending:
                if isinstance(effect, SendToPeer) and effect.node_id == self.node_id:
                    self._handle_message(now, self.node_id, effect.message)
                elif self._is_wanted(now, effect):
                    effects.append(effect)
            self._place_calls(now)
            pending = self._outbox.take()
        return effects

    def _is_wanted(self, now: float, effect: Effect) -> bool:
        """Return False for a reply to a request that has no waiting caller."""
        if not isinstance(effect, ReplyToCaller):
            return True
        return self.gateway.settle(now, effect.request_id, effect.reply)

    # Events

    def _event_handlers(self) -> dict[type, Callable]:
        return {
            NodeStarted: self._handle_started,
            TimeAdvanced: lambda now, event: None,
            CallerRequest: self._handle_caller,
            CallerGone: lambda now, event: self.gateway.forget(event.request_id),
            PeerMessage: lambda now, event: self._handle_message(now, event.sender, event.message),
            EngineCompleted: self.owners.handle_completed,
            EngineFailed: self._handle_engine_failed,
            EngineReleased: self.owners.handle_released,
            EngineLoadReported: lambda now, event: self.scheduler.handle_report(event),
            EngineUnreachable: lambda now, event: self.scheduler.avoid(event.engine_id, now),
            CacheBlocksChanged: lambda now, event: self.scheduler.handle_cache_event(event),
            EngineOrdered: lambda now, event: self._controller.handle_ordered(event),
            PlatformDocument: lambda now, event: self._handle_document(now, event.document),
            PlatformRead: self._handle_platform_read,
            PlatformWritten: self._transactions.handle_written,
            OperatorRequest: self._handle_operator,
            LookupRequested: self._handle_lookup,
            LookupAnswered: lambda now, event: self.lookups.handle_answer(now, event),
            DrainRequested: self._handle_drain,
        }

    def _handle_started(self, now: float, event: NodeStarted) -> None:
        self._apply_stored_map()
        self.documents.fetch()
        self._timers.set(_DOCUMENTS, now + self._limits.document_retry)
        self._timers.set(_GOSSIP, now)
        self._timers.set(_CONTROLLER, now + self._limits.lease / RENEWALS_PER_LEASE)
        if self.journal is not None:
            self.journal.start(now)

    def _apply_stored_map(self) -> None:
        """Use the newest shard map that this replica has stored.

        It may not be on a majority of replicas yet. That is safe: the platform has
        it, and a newer map is never less strict than an older one.
        """
        stored = self.journal.replica.documents() if self.journal is not None else []
        for document in stored:
            if document.name == SHARD_MAP:
                self.documents.apply(document)

    def _handle_caller(self, now: float, event: CallerRequest) -> None:
        if self.is_ready():
            self.gateway.accept(now, event.request_id, event.request)
        else:
            self.gateway.refuse(event.request_id, event.request, _NOT_SERVING)

    def _handle_lookup(self, now: float, event: LookupRequested) -> None:
        if self.is_ready():
            self.lookups.accept(now, event)
        else:
            self.lookups.refuse(event, _NOT_SERVING)

    def _handle_operator(self, now: float, event: OperatorRequest) -> None:
        """Run a command; refuse it while draining, since the node could exit before the reply."""
        if self.is_draining():
            reply = OperatorReply(OperatorOutcome.NOT_RUN, _NOT_SERVING)
            self._outbox.emit(ReplyToOperator(event.request_id, reply))
        else:
            self._operator_commands.handle(now, event.request_id, event.command)

    def _handle_engine_failed(self, now: float, event: EngineFailed) -> None:
        self.owners.handle_failed(now, event)

    def _handle_platform_read(self, now: float, event: PlatformRead) -> None:
        self._transactions.handle_read(now, event)
        if event.document is not None:
            self._handle_document(now, event.document)

    def _handle_drain(self, now: float, event: DrainRequested) -> None:
        """Start draining: announce it to other nodes, then wait for running work to finish."""
        self.members.set_status(MemberStatus.LEAVING)
        self._gossip(now)
        self._timers.set(_DRAIN, now + _DRAIN_INTERVAL)

    # Messages of peers

    def _message_handlers(self) -> dict[type, Callable]:
        return {
            Promise: lambda now, sender, message: self.owners.handle_promise(now, message),
            Appended: lambda now, sender, message: self.owners.handle_appended(now, message),
            ReplicaBehind: self.owners.handle_behind,
            BallotRefused: lambda now, sender, message: self._handle_refused(now, message),
            ShardMapStale: self._handle_map_stale,
            CopyProgram: self.owners.copy,
            ProgramCopied: self._handle_program_copied,
            AskCopied: self._handle_ask_copied,
            ReplicaCopied: lambda now, sender, message: self._map_coordinator.handle_copied(
                message
            ),
            SweepProgram: lambda now, sender, message: self._sweep(now, message.program_id),
            DocumentStored: lambda now, sender, message: self._document_stored(now, message),
            FetchedDocuments: self._handle_fetched,
            Gossip: self._handle_gossip,
            DocumentPush: lambda now, sender, message: self.documents.apply(message.document),
            DocumentPull: self._handle_pull,
            ForwardRequest: lambda now, sender, message: self.gateway.handle_forwarded(
                now, message
            ),
            ForwardReply: lambda now, sender, message: self.gateway.handle_reply(message),
        }

    def _handle_message(self, now: float, sender: str, message: object) -> None:
        if isinstance(message, Prepare | Append | StoreDocument | FetchDocuments):
            self._handle_journal(now, sender, message)
            return
        self._peer_handlers[type(message)](now, sender, message)

    def _handle_journal(
        self, now: float, sender: str, message: Prepare | Append | StoreDocument | FetchDocuments
    ) -> None:
        if self.journal is None:
            return
        version = self._shard_map_version()
        match message:
            case Prepare():
                self.journal.handle_prepare(sender, message, version)
            case Append():
                self.journal.handle_append(now, sender, message, version)
            case StoreDocument():
                self.journal.handle_store(sender, message)
            case FetchDocuments():
                self.journal.handle_fetch(message)

    def _handle_refused(self, now: float, message: BallotRefused) -> None:
        winner = node_of(message.promised)
        for pending in self.owners.handle_refused(now, message):
            self.gateway.yield_to(now, winner, pending.route, pending.request)

    def _handle_map_stale(self, now: float, sender: str, message: ShardMapStale) -> None:
        self._outbox.emit(SendToPeer(sender, DocumentPull(self.node_id, SHARD_MAP)))

    def _handle_program_copied(self, now: float, sender: str, message: ProgramCopied) -> None:
        if self._copier is not None:
            self._copier.handle_copied(message)

    def _handle_ask_copied(self, now: float, sender: str, message: AskCopied) -> None:
        if self._copier is not None:
            self._copier.handle_ask(sender, message, self.documents.in_force(SHARD_MAP))

    def _handle_fetched(self, now: float, sender: str, message: FetchedDocuments) -> None:
        self.documents.handle_fetched(message)

    def _document_stored(self, now: float, message: DocumentStored) -> None:
        self.documents.handle_stored(message)

    def _handle_pull(self, now: float, sender: str, message: DocumentPull) -> None:
        self.documents.handle_pull(message.requester, message.name)

    def _handle_gossip(self, now: float, sender: str, message: Gossip) -> None:
        self.members.merge(message.members, now)
        self.documents.handle_digest(message.sender, message.documents)

    def _sweep(self, now: float, program_id: str) -> None:
        owner = self.members.owner_of(program_id, now)
        if owner == self.node_id:
            self.owners.load(now, program_id)

    # Time

    def _run_due(self, now: float) -> None:
        for key in self._timers.due(now):
            self._handle_deadline(now, key)
        self.owners.handle_time(now)
        if self.journal is not None:
            for program_id in self.journal.due(now):
                self._ask_for_sweep(now, program_id)

    def _handle_deadline(self, now: float, key: str) -> None:
        if key == _GOSSIP:
            self._gossip_round(now)
        elif key == _DOCUMENTS:
            self._retry_replication(now)
        elif key == _CONTROLLER:
            self._control(now)
        elif key == _DRAIN:
            self._check_drained(now)
        elif key.startswith(_REQUEST_PREFIX):
            self.gateway.handle_timer(now, key.removeprefix(_REQUEST_PREFIX))
        elif key.startswith(_TRANSACTION_PREFIX):
            self._transactions.handle_timer(now, key.removeprefix(_TRANSACTION_PREFIX))
        # _PLACE only triggers an event, since calls are placed after every event.

    def _gossip_round(self, now: float) -> None:
        self._timers.set(_GOSSIP, now + self._limits.gossip_interval)
        self.members.begin_round()
        self.members.forget_dead(now)
        self.lookups.refuse_overdue(now)
        self.lookups.dispatch(now)
        self._gossip(now)
        self._update_watch(now)

    def _gossip(self, now: float) -> None:
        versions = self.documents.versions()
        for target in self.members.gossip_targets(now):
            records = self.members.records_for(self.members.zone_of(target), now)
            self._outbox.emit(SendToPeer(target, Gossip(self.node_id, records, versions)))

    def _is_watcher(self, now: float) -> bool:
        live = self.members.live(self.settings.zone, now)
        return self.node_id in rank(f"watch/{self.settings.zone}", live)[:WATCHERS_PER_ZONE]

    def _update_watch(self, now: float) -> None:
        wanted = self._is_watcher(now)
        if wanted != self._is_watching:
            self._is_watching = wanted
            self._outbox.emit(WatchPlatform(wanted))

    def _retry_replication(self, now: float) -> None:
        if self.documents.has_unfinished():
            self.documents.retry()
        if self._copier is not None:
            self._copier.ask_owners()
        self._timers.set(_DOCUMENTS, now + self._limits.document_retry)

    def _control(self, now: float) -> None:
        self._timers.set(_CONTROLLER, now + self._limits.lease / RENEWALS_PER_LEASE)
        if self._is_watcher(now) and not self.is_draining():
            self._controller.renew(now)
        if self._is_watcher(now):
            self._map_coordinator.poll(now, self._shard_map, self._shard_map_version())
        self._controller.reconcile(now, self.configuration(), self._machines.engines())

    def _check_drained(self, now: float) -> None:
        callers_served = self.gateway.open_count() == 0 and self.lookups.is_idle()
        if callers_served and self._operator_commands.is_idle() and self.owners.is_idle():
            self._outbox.emit(Drained())
        else:
            self._timers.set(_DRAIN, now + _DRAIN_INTERVAL)

    def _ask_for_sweep(self, now: float, program_id: str) -> None:
        owner = self.members.owner_of(program_id, now)
        if owner is not None:
            self._outbox.emit(SendToPeer(owner, SweepProgram(program_id)))

    # Placement

    def _place_calls(self, now: float) -> None:
        if self.scheduler.waiting_count() == 0:
            return
        for placement in self.scheduler.place(now):
            self.owners.place(now, placement)
        if self.scheduler.waiting_count() > 0 and _PLACE not in self._timers:
            self._timers.set(_PLACE, now + _PLACE_INTERVAL)

    # Documents

    def _handle_document(self, now: float, document: Document) -> None:
        self.documents.replicate(document)

    def _document_changed(self, document: Document) -> None:
        if document.name == MACHINES:
            self._machines.update(MachineList.model_validate_json(document.body))
        elif document.name == SHARD_MAP:
            self._map_changed(parse_map(document))
        elif document.name == CONFIGURATION:
            self._operator_commands.handle_in_force()

    def _map_changed(self, shard_map: ShardMap) -> None:
        self._shard_map = shard_map
        self.owners.change_groups(self._now)
        if self._copier is None or self.journal is None:
            return
        if shard_map.next_replicas:
            self._copier.begin(self._shard_map_version(), self.journal.replica.program_ids())
        else:
            self._copier.stop()

    def _shard_map_version(self) -> int:
        return map_version_of(self.documents.in_force(SHARD_MAP))

    def _document_groups(self) -> ReplicaGroups:
        return document_groups(self._shard_map, self._shard_map_version())

    def _program_groups(self, program_id: str) -> ReplicaGroups:
        return program_groups(program_id, self._shard_map, self._shard_map_version())

    # Owners

    def _run_request(self, now: float, route: StreamRoute, request: object) -> None:
        self.owners.handle_request(now, route, request)  # type: ignore[arg-type]

    def _handle_owner_reply(
        self, now: float, program_id: str, request: object, reply: object
    ) -> None:
        self.owners.handle_owner_reply(now, program_id, request, reply)  # type: ignore[arg-type]

    def validate_state(self) -> None:
        """Check the invariants of the owners and the journal; for tests.

        :raises InvariantError: if one is violated.
        """
        self.owners.validate_state()
        if self.journal is not None:
            self.journal.replica.validate_state()
