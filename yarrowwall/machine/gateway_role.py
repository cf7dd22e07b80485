"""The gateway role of a machine: its components, listeners and shutdown."""

import time
from http import HTTPStatus

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.budgets.turn_cache import cache_bytes
from yarrowwall.capacity.admission_client import AdmissionClient
from yarrowwall.capacity.load_reports import LoadReporter
from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.pool import ConnectionPool
from yarrowwall.dispatch.sole_software import SoleSoftware
from yarrowwall.gateway.caller_connection import CurrentCallerLimits
from yarrowwall.gateway.components import GatewayComponents
from yarrowwall.gateway.gateway import Gateway
from yarrowwall.gateway.http_server import serve
from yarrowwall.listening import ResilientListener
from yarrowwall.machine.gateway_followers import GatewayFollowers
from yarrowwall.machine.listeners import EarlyListeners
from yarrowwall.machine.probes import NOT_FOUND, ProbeAnswer, serve_probes
from yarrowwall.machine.settings import GatewaySettings, MachineSettings
from yarrowwall.messages.relaying import Neighbour
from yarrowwall.messages.replicated import GroupView
from yarrowwall.metrics import MachineMetrics
from yarrowwall.policy.active_programs import ActivePrograms
from yarrowwall.policy.connection_budget import (
    ConnectionBounds,
    ConnectionBudget,
    ConnectionState,
    connections_per_side,
)
from yarrowwall.policy.freshness import Freshness
from yarrowwall.policy.memory_budget import MemoryBounds, MemoryBudget
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.platform import Adapter
from yarrowwall.quotas.permit_client import PermitClient
from yarrowwall.replication.forwarding import ForwardHandler
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.loss_checks import LossChecks
from yarrowwall.replication.neighbour_finder import NeighbourFinder
from yarrowwall.replication.neighbour_forwarder import NeighbourForwarder
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.relayed_links import RelayedLinkTable
from yarrowwall.replication.rpc import serve_requests
from yarrowwall.suspects.client import SuspectClient
from yarrowwall.suspects.records import SuspectRecords
from yarrowwall.watching.store_client import StoreClient

#: Seconds between rounds of housekeeping.
HOUSEKEEPING_SECONDS = 0.5
#: Seconds after the start of a shutdown in which new connections may still arrive.
MIN_STOP_SECONDS = 3.2
#: Seconds kept in reserve at the end of the time that a shutdown may take.
STOP_MARGIN_SECONDS = 0.7
#: Seconds of these in which requests that cannot be finished get a final response.
FINAL_RESPONSE_SECONDS = 0.3
#: Seconds between checks during a shutdown, and while final responses are written.
STOP_POLL_SECONDS = 0.05
FINAL_RESPONSE_POLL_SECONDS = 0.005


class GatewayRole:
    """Wires the components of a gateway and runs it."""

    def __init__(
        self,
        settings: MachineSettings,
        own: GatewaySettings,
        adapter: Adapter,
        store: StoreClient,
        listeners: EarlyListeners,
        log: DecisionLog,
    ) -> None:
        self._settings = settings
        self._own = own
        self._adapter = adapter
        self._listeners = listeners
        self._log = log
        self._directory = ServerDirectory(settings.zone)
        self._pool = ConnectionPool(
            time.monotonic, time.time, connections_per_side(settings.max_fds)
        )
        self._directory.on_removed = self._pool.end_incarnation
        self._limits = CurrentCallerLimits()
        bounds_of_connections = ConnectionBounds.of_machine(settings.memory_mb, settings.max_fds)
        self._connections = ConnectionBudget(bounds_of_connections)
        self._memory = MemoryBudget(MemoryBounds.of_machine(settings.memory_mb))
        self._store = store
        self._views = GroupViews(self._note_view)
        links = self._links = RelayedLinkTable(settings.node_id, log, time.monotonic)
        own_address = Neighbour(settings.node_id, settings.zone, settings.peer_address)
        self._finder = NeighbourFinder(own_address, self._views, links)
        self._forwarder = ForwardHandler(links, self._may_forward_to)
        store.relayed_reads.set_forwarder(NeighbourForwarder(links, time.monotonic))
        client = QuorumClient(settings.zone, self._views, links, time.monotonic)
        loss_checks = LossChecks(self._views, links, store, log, time.monotonic)
        client.has_lost, client.on_all_replaced = loss_checks.has_lost, loss_checks.check
        programs = ActivePrograms()
        self._ledger = ReplicatedLedger(
            settings.zone,
            self._views,
            client,
            log,
            time.monotonic,
            cache_bytes(settings.memory_mb),
        )
        self._loads = LoadReporter(
            settings.node_id, self._directory, self._views, links, time.monotonic, programs
        )
        admission = AdmissionClient(self._directory, self._loads, programs, log, time.monotonic)
        self._quotas = PermitClient(settings.zone, self._views, links, log, time.monotonic)
        bounds = settings.bounds
        self._freshness = Freshness(bounds.revocation_s, bounds.configuration_s)
        self._suspects = SuspectClient(
            settings.node_id,
            self._views,
            links,
            SuspectRecords(client, time.time),
            log,
            time.monotonic,
        )
        dispatch = DispatchComponents(
            self._directory,
            self._pool,
            adapter.servers,
            self._loads,
            self._memory,
            log,
            self._suspects,
            time.monotonic,
        )
        self.gateway = Gateway(
            GatewayComponents(
                dispatch,
                adapter.callers,
                self._ledger,
                self._quotas,
                admission,
                self._limits,
                self._freshness,
                SoleSoftware(store.list_now, adapter.documents, self._directory, time.monotonic),
            )
        )
        self._followers = GatewayFollowers(
            settings.node_id,
            store,
            adapter.documents,
            self.gateway,
            self._directory,
            self._views,
            log,
        )

    def start(self) -> None:
        """Start following the store and accepting connections."""
        self._followers.start()
        self._loads.start()
        self._suspects.start()
        if self._settings.accepts_forwarded_requests:
            self._start_forwarding()
        callers = ResilientListener(self._listeners.take(self._own.http_address), self._log)
        eventlet.spawn_n(serve, callers, self.gateway, self._limits, self._connections, self._log)
        probes = ResilientListener(self._listeners.take(self._own.readiness_address), self._log)
        eventlet.spawn_n(serve_probes, probes, self._answer_readiness, self._log)
        eventlet.spawn_n(self._run_maintenance)

    def _start_forwarding(self) -> None:
        """Start forwarding for neighbours; if the port is taken, callers are served without it."""
        try:
            listener = self._listeners.take(self._settings.peer_address)
        except OSError as error:
            self._log.write(decisions.DependencyChanged("peer port", False, str(error)))
            return
        peers = ResilientListener(listener, self._log)
        eventlet.spawn_n(serve_requests, peers, self._forwarder.handle, self._log)
        self._finder.start()

    def _may_forward_to(self, address: str) -> bool:
        """Return whether requests of neighbours may be forwarded to an address."""
        return self._views.has_replica_at(address) or self._store.has_reader_at(address)

    def stop(self, ends_at: float) -> None:
        """Finish running requests and return before a time of the monotonic clock."""
        stopping_since = time.monotonic()
        deadline = ends_at - STOP_MARGIN_SECONDS
        self.gateway.stop(stopping_since, deadline)
        while time.monotonic() < deadline:
            is_busy = self.gateway.active_count or self._ledger.has_unsettled
            if time.monotonic() > stopping_since + MIN_STOP_SECONDS and not is_busy:
                # Connections are read until the process has ended.
                self.gateway.refuse_all()
                return
            eventlet.sleep(STOP_POLL_SECONDS)
        self._end_unanswered(deadline + FINAL_RESPONSE_SECONDS)
        self.gateway.note_process_ended()

    def _end_unanswered(self, deadline: float) -> None:
        """Give requests without a response their final one, and wait until all are written."""
        self.gateway.end_unanswered()
        eventlet.sleep(0)
        while self.gateway.unanswered_count and time.monotonic() < deadline:
            eventlet.sleep(FINAL_RESPONSE_POLL_SECONDS)

    def update_metrics(self, metrics: MachineMetrics) -> None:
        """Set the metrics that are computed on each scrape."""
        metrics.set_age(self.gateway.configuration_age_s)
        metrics.set_relayed(self._links.relayed, self._forwarder.forwarded)
        metrics.set_relay_refusals(self._links.refused, self._forwarder.refused)
        metrics.set_relayed_reads(self._store.relayed_reads.outcomes)
        metrics.set_connections(
            {state.name: self._connections.count_in(state) for state in ConnectionState}
        )
        metrics.set_held(
            {
                "all": self._memory.held,
                "peak": self._memory.peak,
                "bound": self._memory.bounds.total,
                "connections": self._connections.memory,
                "server_with_most": self._memory.largest_server_bytes,
            }
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the gateway should get new connections.

        A gateway that is cut off from the replicas refuses turns that other gateways could run, or
        runs them through those gateways. One whose configuration is too old refuses all requests
        with a key.
        """
        if self._links.paths.has_working_neighbour(time.monotonic()):
            return False
        is_able = (
            self._followers.has_initial_state
            and self._ledger.is_reachable
            and self.gateway.serves_keys
        )
        return is_able and not self.gateway.is_stopping

    def _answer_readiness(self, path: str) -> ProbeAnswer:
        if path != self._adapter.readiness_path:
            return NOT_FOUND
        return ProbeAnswer(HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def _run_maintenance(self) -> None:
        while True:
            eventlet.sleep(HOUSEKEEPING_SECONDS)
            self._directory.forget_vanished(time.monotonic())
            self._pool.close_expired()
            self._quotas.drop_expired()
            self._ledger.probe()
            self._links.probe()

    def _note_view(self, view: GroupView) -> None:
        members = ",".join(member.node_id for member in view.members)
        joining = ",".join(member.node_id for member in view.joining)
        self._log.write(decisions.GroupChanged(view.group, view.epoch, members, joining))
        self._links.paths.forget_removed(self._views.has_replica_at)
