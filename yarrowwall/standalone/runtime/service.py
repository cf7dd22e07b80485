"""A node process: wires the core to its clients, listeners and timer."""

import signal
import socket
import time
from pathlib import Path

import eventlet
import eventlet.wsgi
import logbook
from eventlet.event import Event

from yarrowwall.addresses import split_address
from yarrowwall.messages.peers import MemberRecord, MemberStatus, StreamChunk
from yarrowwall.standalone.core.configuration.models import ShardMap, ShardReplica
from yarrowwall.standalone.core.effects import (
    AttachStream,
    CancelAttempt,
    Drained,
    Effect,
    OrderEngine,
    PersistThenSend,
    PollEngine,
    ReadPlatform,
    ReleaseCache,
    ReplyToCaller,
    ReplyToLookup,
    ReplyToOperator,
    SendLookup,
    SendToPeer,
    StartAttempt,
    WatchPlatform,
    WritePlatform,
)
from yarrowwall.standalone.core.events import DrainRequested, NodeStarted, PeerMessage, TimeAdvanced
from yarrowwall.standalone.core.journal.replica import JournalReplica
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.node import NodeCore, NodeSettings
from yarrowwall.standalone.core.scheduling.engines import EngineProfile
from yarrowwall.standalone.core.scheduling.policies import CostWeights, make_policy
from yarrowwall.standalone.core.scheduling.scheduler import SchedulerSettings
from yarrowwall.standalone.runtime.callers import CallerTable
from yarrowwall.standalone.runtime.engine_client import EngineClient
from yarrowwall.standalone.runtime.http_api import HttpApi
from yarrowwall.standalone.runtime.metrics import NodeMetrics
from yarrowwall.standalone.runtime.peers import PeerTransport, set_no_delay
from yarrowwall.standalone.runtime.platform_client import PlatformClient, RecordsClient
from yarrowwall.standalone.runtime.streams import StreamTable
from yarrowwall.standalone.settings import NodeFileSettings
from yarrowwall.storage import identity
from yarrowwall.storage.journal_writer import JournalWriter
from yarrowwall.storage.segments import SegmentStore

LISTEN_BACKLOG = 1024
#: The journal is compacted at startup if it has more segment files than this.
SEGMENTS_KEPT = 4
#: Maximum number of concurrent HTTP connections.
MAX_HTTP_CONNECTIONS = 10_000
#: Seconds between the end of a drain and the exit, for the HTTP server's last responses.
DRAIN_GRACE_SECONDS = 0.3

_log = logbook.Logger(__name__)


def listen(address: str) -> socket.socket:
    """Return a listening socket for ``IP:port`` with TCP_NODELAY set."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = eventlet.listen((host, port), family=family, backlog=LISTEN_BACKLOG)
    set_no_delay(listener)
    return listener


def core_settings(settings: NodeFileSettings, incarnation: int) -> NodeSettings:
    """Build the core's settings from a validated settings file."""
    seeds = tuple(
        MemberRecord(peer.node_id, peer.zone, peer.address, 0, 0, MemberStatus.LIVE)
        for peer in settings.peers
        if peer.node_id != settings.node_id
    )
    replicas = [ShardReplica(**replica.model_dump()) for replica in settings.replicas]
    limits = Limits(**settings.limits.model_dump())
    return NodeSettings(
        settings.node_id,
        settings.zone,
        settings.peer_address,
        incarnation,
        seeds,
        ShardMap(replicas=replicas),
        limits,
        SchedulerSettings(),
    )


class NodeService:
    """A running node.

    :param peer_listener: Listening socket for other nodes.
    :param http_listener: Listening socket for callers and operators.
    """

    def __init__(
        self,
        settings: NodeFileSettings,
        peer_listener: socket.socket,
        http_listener: socket.socket,
    ) -> None:
        self.settings = settings
        self.metrics = NodeMetrics()
        self.callers = CallerTable()
        self._stopped = Event()
        self._store: SegmentStore | None = None
        replica = self._open_replica(settings.data_folder)
        scheduling = settings.scheduling
        profile = EngineProfile(
            scheduling.prefill_tokens_per_second, scheduling.decode_seconds_per_token
        )
        weights = CostWeights(wasted_cache=scheduling.wasted_cache_weight)
        policy = make_policy(scheduling.policy, settings.zone, profile, weights)
        core = core_settings(settings, time.time_ns())
        self.core = NodeCore(core, policy, replica, self.now())
        self._peers = PeerTransport(
            settings.node_id, peer_listener, self.core.address_of, self._receive
        )
        self._streams = StreamTable(self._send_chunk)
        self._engines = EngineClient(self, self._streams)
        self._platform = PlatformClient(self, settings.platform_address)
        self._records = RecordsClient(self)
        self._journal_writer: JournalWriter | None = None
        if self._store is not None:
            self._journal_writer = JournalWriter(self._store, self._journal_failed)
        self._handlers = self._effect_handlers()
        self._timer: eventlet.greenthread.GreenThread | None = None
        self._timer_at = 0.0
        self._http_listener = http_listener
        self._http_server = eventlet.spawn(self._serve_http)

    def _open_replica(self, folder: Path | None) -> JournalReplica | None:
        if folder is None:
            return None
        replica = JournalReplica(identity.initialise(folder))
        self._store = SegmentStore(folder / "journal")
        replica.restore(self._store.read())
        if self._store.segment_count() > SEGMENTS_KEPT:
            self._store.compact(replica.snapshot())
        return replica

    def _serve_http(self) -> None:
        eventlet.wsgi.server(
            self._http_listener,
            HttpApi(self),
            log_output=False,
            max_size=MAX_HTTP_CONNECTIONS,
            socket_timeout=None,
            keepalive=True,
        )

    # The clock and the core

    def now(self) -> float:
        """Return the wall-clock time in seconds, which is also written to journal entries."""
        return time.time()

    def start(self) -> None:
        """Start the core."""
        _log.info("node started", extra={"peer_address": self.settings.peer_address})
        self.post(NodeStarted())

    def post(self, event: object) -> None:
        """Pass an event to the core and execute the effects that it returns."""
        effects = self.core.handle(self.now(), event)
        for effect in effects:
            self._handlers[type(effect)](effect)
        self._set_timer()

    def _set_timer(self) -> None:
        deadline = self.core.next_deadline()
        if deadline is None or (self._timer is not None and self._timer_at <= deadline):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = deadline
        self._timer = eventlet.spawn_after(max(0.0, deadline - self.now()), self._time_advanced)

    def _time_advanced(self) -> None:
        self._timer = None
        self.post(TimeAdvanced())

    def _receive(self, sender: str, message: object) -> None:
        if isinstance(message, StreamChunk):
            self.callers.put_chunk(message)
        else:
            self.post(PeerMessage(sender, message))

    # Effects

    def _effect_handlers(self) -> dict:
        return {
            SendToPeer: lambda effect: self._peers.send(effect.node_id, effect.message),
            PersistThenSend: self._persist_then_send,
            ReplyToCaller: lambda effect: self.callers.put_reply(effect.request_id, effect.reply),
            ReplyToOperator: lambda effect: self.callers.put_reply(effect.request_id, effect.reply),
            ReplyToLookup: lambda effect: self.callers.put_reply(effect.request_id, effect),
            StartAttempt: self._engines.start,
            AttachStream: lambda effect: self._streams.attach(effect.key, effect.route),
            CancelAttempt: self._engines.cancel,
            ReleaseCache: self._engines.release,
            OrderEngine: self._engines.order,
            PollEngine: lambda effect: self._engines.poll(
                effect.engine_id, effect.engine_address, effect.enabled
            ),
            ReadPlatform: self._platform.read,
            WritePlatform: self._platform.write,
            WatchPlatform: lambda effect: self._platform.watch(effect.enabled),
            SendLookup: self._records.send,
            Drained: self._drained,
        }

    def _persist_then_send(self, effect: PersistThenSend) -> None:
        assert self._journal_writer is not None
        self._journal_writer.write(
            effect.record, lambda: self._peers.send(effect.node_id, effect.message)
        )

    def _send_chunk(self, gateway: str, chunk: StreamChunk) -> None:
        if gateway == self.settings.node_id:
            self.callers.put_chunk(chunk)
        else:
            self._peers.send(gateway, chunk)

    def _journal_failed(self, error: Exception) -> bool:
        _log.error("journal write failed, stopping the node", extra={"error": str(error)})
        self._stop(1)
        return False

    # Stopping

    def drain(self) -> None:
        """Finish running work, refuse new work, then stop."""
        _log.info("draining")
        self.post(DrainRequested())

    def _drained(self, effect: Effect) -> None:
        eventlet.spawn_after(DRAIN_GRACE_SECONDS, self._stop, 0)

    def _stop(self, code: int) -> None:
        if not self._stopped.ready():
            self._stopped.send(code)

    def wait(self) -> int:
        """Wait until the node has stopped.

        :returns: The exit code of the process.
        """
        code = self._stopped.wait()
        _log.info("node stopped", extra={"code": code})
        return code

    def handle_signals(self) -> None:
        """Drain on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: eventlet.spawn_n(self.drain))


def run_node(settings: NodeFileSettings) -> int:
    """Run a node until it is drained by a signal or fails.

    :returns: The exit code of the process.
    """
    service = NodeService(settings, listen(settings.peer_address), listen(settings.http_address))
    service.handle_signals()
    service.start()
    return service.wait()
