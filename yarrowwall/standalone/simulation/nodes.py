"""Simulated node processes with their cores, disks and failures."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

import simpy

from yarrowwall.messages.peers import MemberRecord
from yarrowwall.messages.records import Record
from yarrowwall.standalone.core.configuration.models import CONFIGURATION, ShardMap
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
from yarrowwall.standalone.simulation.backends import (
    POLL_SECONDS,
    SimulatedEngine,
    SimulatedPlatform,
    SimulatedRecords,
)
from yarrowwall.standalone.simulation.network import Network
from yarrowwall.standalone.simulation.observer import Observer

DISK_SECONDS = 0.001
#: Same as ``yarrowwall.standalone.runtime.service.DRAIN_GRACE_SECONDS``.
DRAIN_GRACE_SECONDS = 0.3


@dataclass
class Disk:
    """A data folder, which survives restarts of its process.

    :ivar records: Durable records, oldest first.
    """

    replica_id: str
    records: list[Record] = field(default_factory=list)


@dataclass(frozen=True)
class _Write:
    record: Record
    node_id: str
    message: object


@dataclass(frozen=True)
class BrokenConnection:
    """Result of a request whose gateway has stopped or didn't answer in time."""


@dataclass(frozen=True)
class NodeWorld:
    """Objects and settings that all nodes share.

    :ivar nodes: All nodes by id.
    :ivar core_class: The node core, or a mutant of it.
    """

    env: simpy.Environment
    network: Network
    random: Random
    observer: Observer
    platform: SimulatedPlatform
    engines: dict[str, SimulatedEngine]
    records: dict[str, SimulatedRecords]
    nodes: dict[str, "SimulatedNode"]
    policy: str
    weights: CostWeights
    profile: EngineProfile
    limits: Limits
    shard_map: ShardMap
    seeds: tuple[MemberRecord, ...]
    core_class: type[NodeCore] = NodeCore


class SimulatedNode:
    """A machine and its node process."""

    def __init__(self, node_id: str, zone: str, disk: Disk | None, world: NodeWorld) -> None:
        self.node_id = node_id
        self.zone = zone
        self.disk = disk
        self.incarnation = 0
        self.core: NodeCore | None = None
        self.is_frozen = False
        self._world = world
        self._inbox: list[object] = []
        self._waiting: dict[str, simpy.Event] = {}
        self._writes: deque[_Write] = deque()
        self._timer_at: float | None = None
        self._handlers = self._effect_handlers()

    # Life

    @property
    def is_up(self) -> bool:
        """Whether the process is running."""
        return self.core is not None

    def start(self) -> None:
        """Start a process that recovers its state from the disk."""
        self.incarnation += 1
        world = self._world
        replica = None
        if self.disk is not None:
            replica = JournalReplica(self.disk.replica_id)
            replica.restore(self.disk.records)
        settings = NodeSettings(
            self.node_id,
            self.zone,
            self.node_id,
            self.incarnation,
            world.seeds,
            world.shard_map,
            world.limits,
            SchedulerSettings(),
        )
        policy = make_policy(world.policy, self.zone, world.profile, world.weights)
        self.core = world.core_class(settings, policy, replica, world.env.now)
        self.is_frozen = False
        self._inbox = []
        self._timer_at = None
        world.observer.node_started(self.node_id)
        self.post(NodeStarted())

    def kill(self) -> None:
        """Kill the process: its memory is lost, and a random prefix of pending writes is kept."""
        if self.core is None:
            return
        kept = self._world.random.randint(0, len(self._writes))
        for write in list(self._writes)[:kept]:
            assert self.disk is not None
            self.disk.records.append(write.record)
        self._stop()

    def _stop(self) -> None:
        self.core = None
        self._writes.clear()
        self._world.platform.forget(self.node_id)
        waiting, self._waiting = self._waiting, {}
        for event in waiting.values():
            self._succeed_later(event, BrokenConnection())

    def freeze(self) -> None:
        """Pause the process; its memory and incoming events are kept."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Resume the process and handle the events that arrived meanwhile, in order."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        inbox, self._inbox = self._inbox, []
        for event in inbox:
            self.post(event)
        if self.core is not None:
            self._timer_at = None
            self.post(TimeAdvanced())

    def replace_disk(self, replica_id: str) -> None:
        """Replace the disk by an empty one with a new replica id."""
        self.disk = Disk(replica_id)

    def drain(self) -> None:
        """Ask the process to finish its work and stop."""
        self.post(DrainRequested())

    # Events and effects

    def post(self, event: object) -> None:
        """Pass an event to the core and execute its effects, or queue it while frozen."""
        if self.core is None:
            return
        if self.is_frozen:
            self._inbox.append(event)
            return
        for effect in self.core.handle(self._world.env.now, event):
            self._execute(effect)
        if self.core is not None:
            version = self.core.documents.version(CONFIGURATION)
            self._world.observer.configuration_in_force(self, version)
            self._set_timer()

    def _set_timer(self) -> None:
        assert self.core is not None
        deadline = self.core.next_deadline()
        if deadline is None or (self._timer_at is not None and self._timer_at <= deadline):
            return
        self._timer_at = deadline
        incarnation = self.incarnation
        delay = max(0.0, deadline - self._world.env.now)
        self._world.network.after(delay, lambda: self._wake(incarnation, deadline))

    def _wake(self, incarnation: int, deadline: float) -> None:
        if incarnation != self.incarnation or self._timer_at != deadline or self.is_frozen:
            return
        self._timer_at = None
        self.post(TimeAdvanced())

    def _execute(self, effect: Effect) -> None:
        self._handlers[type(effect)](effect)

    def _effect_handlers(self) -> dict:
        world = self._world
        return {
            SendToPeer: lambda effect: self._send(effect.node_id, effect.message),
            PersistThenSend: self._persist,
            ReplyToCaller: lambda effect: self._reply(effect.request_id, effect.reply),
            ReplyToOperator: lambda effect: self._reply(effect.request_id, effect.reply),
            ReplyToLookup: lambda effect: self._reply(effect.request_id, effect),
            StartAttempt: lambda effect: world.engines[effect.engine_id].start(self, effect),
            AttachStream: lambda effect: None,
            CancelAttempt: lambda effect: world.engines[effect.engine_address].cancel(self, effect),
            ReleaseCache: lambda effect: world.engines[effect.engine_id].release(self, effect),
            OrderEngine: lambda effect: world.engines[effect.engine_id].order(self, effect),
            PollEngine: self._poll,
            ReadPlatform: lambda effect: world.platform.read(self, effect),
            WritePlatform: lambda effect: world.platform.write(self, effect),
            WatchPlatform: lambda effect: world.platform.watch(self, effect.enabled),
            SendLookup: lambda effect: world.records[effect.server_id].send(self, effect),
            Drained: lambda effect: self._drained(),
        }

    def _send(self, node_id: str, message: object) -> None:
        target = self._world.nodes.get(node_id)
        if target is None:
            return
        event = PeerMessage(self.node_id, message)
        self._world.network.send(self.zone, target.zone, lambda: target.post(event))

    def _persist(self, effect: PersistThenSend) -> None:
        """Queue a write; its message is sent once the record is durable."""
        self._writes.append(_Write(effect.record, effect.node_id, effect.message))
        incarnation = self.incarnation
        self._world.network.after(DISK_SECONDS, lambda: self._written(incarnation))

    def _written(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.core is None or not self._writes:
            return
        write = self._writes.popleft()
        assert self.disk is not None
        self.disk.records.append(write.record)
        if write.node_id == self.node_id:
            self.post(PeerMessage(self.node_id, write.message))
        else:
            self._send(write.node_id, write.message)

    def _poll(self, effect: PollEngine) -> None:
        if effect.enabled:
            engine = self._world.engines[effect.engine_id]
            self._poll_again(engine, self.incarnation, 0)

    def _poll_again(self, engine: SimulatedEngine, incarnation: int, sequence: int) -> None:
        if incarnation != self.incarnation or self.core is None:
            return
        if not self.is_frozen:
            sequence = engine.poll(self, sequence)
        self._world.network.after(
            POLL_SECONDS, lambda: self._poll_again(engine, incarnation, sequence)
        )

    def _drained(self) -> None:
        """Stop after the grace period, in which late requests are refused as in a real node."""
        incarnation = self.incarnation
        self._world.network.after(DRAIN_GRACE_SECONDS, lambda: self._stop_drained(incarnation))

    def _stop_drained(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.core is None:
            return
        if self.is_frozen:
            self._drained()
            return
        self._world.observer.node_drained(self.node_id, len(self._waiting))
        self._stop()

    # Callers

    def ask(self, request_id: str, event: object) -> simpy.Event:
        """Send a request of a caller or operator; the returned event's value is the reply."""
        answer = self._world.env.event()
        self._world.network.after(
            self._world.network.client_latency(), lambda: self._take(request_id, event, answer)
        )
        return answer

    def _take(self, request_id: str, event: object, answer: simpy.Event) -> None:
        if self.core is None:
            self._succeed_later(answer, BrokenConnection())
            return
        self._waiting[request_id] = answer
        self.post(event)

    def _reply(self, request_id: str, reply: object) -> None:
        answer = self._waiting.pop(request_id, None)
        if answer is not None:
            self._succeed_later(answer, reply)

    def _succeed_later(self, answer: simpy.Event, value: object) -> None:
        delay = self._world.network.client_latency()
        self._world.network.after(delay, lambda: answer.succeed(value))

    def hang_up(self, request_id: str) -> None:
        """Close the caller's connection."""
        self._waiting.pop(request_id, None)
