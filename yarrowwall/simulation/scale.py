"""Scale runs: many hollow nodes in one process, to measure slopes.

A hollow node is the product's core without programs, engines and disk. Every
message is encoded and decoded as between processes; only the sockets are left
out. The clock is virtual; processor time, bytes and memory are measured.
"""

import gc
import heapq
import os
import time
from dataclasses import dataclass
from pathlib import Path

from yarrowwall.core.configuration.models import CONFIGURATION, ShardMap, ShardReplica
from yarrowwall.core.effects import PersistThenSend, ReadPlatform, SendToPeer
from yarrowwall.core.events import NodeStarted, PeerMessage, PlatformRead, TimeAdvanced
from yarrowwall.core.hashing import fraction
from yarrowwall.core.journal.replica import JournalReplica
from yarrowwall.core.limits import Limits
from yarrowwall.core.node import NodeCore, NodeSettings
from yarrowwall.core.scheduling.engines import EngineProfile
from yarrowwall.core.scheduling.policies import CostWeights, make_policy
from yarrowwall.core.scheduling.scheduler import SchedulerSettings
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.peers import Document, Gossip, MemberRecord, MemberStatus

#: Nodes of one zone at the size in docs/CAPACITY.md: 4,000 nodes in 45 zones.
NODES_PER_ZONE = 89
#: Seeds a node's settings name in its own zone, and in each other zone.
SEEDS_PER_ZONE = 3
DELIVERY_SECONDS = 0.002
#: Bytes of TCP, IP and frame headers a message is charged with.
HEADER_BYTES = 60
CONFIGURATION_BYTES = 20_000


@dataclass(frozen=True)
class ScaleReport:
    """What a run measured.

    :param spread_seconds: until a new configuration was in force on 50 and 100 of 100 nodes.
    :param missing_members: live members of its own zone that a node did not know, on average.
    """

    members: int
    zones: int
    simulated_seconds: float
    processor_share: float
    bytes_per_second: float
    messages_per_second: float
    memory_bytes_per_member: float
    spread_half_seconds: float
    spread_all_seconds: float
    missing_members: float

    def line(self) -> str:
        """Return one line of the table."""
        return (
            f"{self.members:>7}{self.zones:>6}{self.processor_share * 100:>10.3f}%"
            f"{self.bytes_per_second / 1000:>11.2f}{self.messages_per_second:>10.1f}"
            f"{self.memory_bytes_per_member / 1000:>12.0f}{self.spread_half_seconds:>10.2f}"
            f"{self.spread_all_seconds:>10.2f}{self.missing_members:>9.2f}"
        )


HEADER = (
    f"{'members':>7}{'zones':>6}{'core':>11}{'KB/s':>11}{'msg/s':>10}"
    f"{'KB memory':>12}{'half s':>10}{'all s':>10}{'missing':>9}"
)


class ScaleRun:
    """Hollow nodes under a virtual clock."""

    def __init__(self, members: int) -> None:
        self.members = members
        self.zones = max(1, round(members / NODES_PER_ZONE))
        self._now = 0.0
        self._sequence = 0
        self._queue: list[tuple[float, int, int, object]] = []
        self._armed: dict[int, float] = {}
        self._names = [f"node-{number:05d}" for number in range(members)]
        self._numbers = {name: number for number, name in enumerate(self._names)}
        self.bytes_sent = 0
        self.messages_sent = 0
        self.in_force_at: dict[int, float] = {}
        before = resident_bytes()
        self.cores = [self._make_core(number) for number in range(members)]
        gc.collect()
        self._resident_before = before

    def _zone(self, number: int) -> str:
        return f"zone-{number % self.zones:02d}"

    def _record(self, number: int) -> MemberRecord:
        name = self._names[number]
        return MemberRecord(name, self._zone(number), name, 0, 0, MemberStatus.LIVE)

    def _make_core(self, number: int) -> NodeCore:
        seeds = [self._record(n) for n in range(min(self.members, self.zones * SEEDS_PER_ZONE))]
        replicas = [
            ShardReplica(replica_id=f"r{n}", node_id=self._names[n], zone=self._zone(n))
            for n in range(min(5, self.members))
        ]
        settings = NodeSettings(
            self._names[number],
            self._zone(number),
            self._names[number],
            1,
            tuple(seeds),
            ShardMap(replicas=replicas),
            Limits(),
            SchedulerSettings(),
        )
        policy = make_policy("yarrowwall", self._zone(number), EngineProfile(), CostWeights())
        replica = JournalReplica(f"r{number}") if number < len(replicas) else None
        return NodeCore(settings, policy, replica, 0.0)

    def _push(self, at: float, number: int, event: object) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, number, event))

    def _handle(self, number: int, event: object) -> None:
        core = self.cores[number]
        for effect in core.handle(self._now, event):
            if isinstance(effect, SendToPeer | PersistThenSend):
                self._send(number, effect.node_id, effect.message)
            elif isinstance(effect, ReadPlatform):
                self._push(self._now, number, _platform_is_down(effect))
        if number not in self.in_force_at and core.documents.version(CONFIGURATION):
            self.in_force_at[number] = self._now
        deadline = core.next_deadline()
        if deadline is not None and self._armed.get(number) != deadline:
            self._armed[number] = deadline
            self._push(deadline, number, TimeAdvanced())

    def _send(self, sender: int, target: str, message: object) -> None:
        data = encode(message)
        if isinstance(message, Gossip):
            self.messages_sent += 1
        self.bytes_sent += len(data) + HEADER_BYTES
        event = PeerMessage(self._names[sender], decode(data))
        self._push(self._now + DELIVERY_SECONDS, self._numbers[target], event)

    def run_until(self, end: float) -> None:
        """Run the clock up to a time."""
        while self._queue and self._queue[0][0] <= end:
            self._now, _, number, event = heapq.heappop(self._queue)
            if isinstance(event, TimeAdvanced) and self._armed.get(number) != self._now:
                continue
            self._handle(number, event)
        self._now = end

    def start(self) -> None:
        """Start every node at a moment of its own within the first gossip round."""
        for number in range(self.members):
            at = 0.5 * fraction("start", self._names[number])
            self._push(at, number, NodeStarted())

    def spread_configuration(self) -> None:
        """Bring a configuration into force at one node, as its watch would."""
        body = b'{"intents": {}, "operations": ["' + b"x" * CONFIGURATION_BYTES + b'"]}'
        core = self.cores[0]
        self._handle(0, PeerMessage(self._names[1], _push_of(body)))
        assert core.documents.version(CONFIGURATION) == 1

    def missing_members(self) -> float:
        """Return how many live members of its zone a node does not know, on average."""
        sizes: dict[str, int] = {}
        for number in range(self.members):
            sizes[self._zone(number)] = sizes.get(self._zone(number), 0) + 1
        missing = [
            sizes[core.settings.zone] - len(core.members.live(core.settings.zone, self._now))
            for core in self.cores
        ]
        return sum(missing) / len(missing)

    def memory_per_member(self) -> float:
        """Return resident bytes a member."""
        gc.collect()
        return (resident_bytes() - self._resident_before) / self.members


def _platform_is_down(effect: ReadPlatform) -> PlatformRead:
    """Answer a hollow node's read; the platform is no part of the run."""
    return PlatformRead(effect.operation_id, effect.name, False, None)


def _push_of(body: bytes) -> object:
    from yarrowwall.messages.peers import DocumentPush

    return DocumentPush(Document(CONFIGURATION, 1, body))


def resident_bytes() -> int:
    """Return the memory this process has in use."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure(members: int, warm_up: float, seconds: float) -> ScaleReport:
    """Run so many hollow nodes and return the slopes.

    :param warm_up: simulated seconds before the measurement, for the tables to fill.
    :param seconds: simulated seconds of the steady state that is measured.
    """
    run = ScaleRun(members)
    run.start()
    run.run_until(warm_up)
    run.bytes_sent = run.messages_sent = 0
    started = time.process_time()
    run.run_until(warm_up + seconds)
    processor = time.process_time() - started
    bytes_per_second = run.bytes_sent / members / seconds
    messages_per_second = run.messages_sent / members / seconds
    missing = run.missing_members()
    memory = run.memory_per_member()
    begun = warm_up + seconds
    run.spread_configuration()
    run.run_until(begun + 10.0)
    times = sorted(at - begun for at in run.in_force_at.values())
    complete = len(times) == members
    return ScaleReport(
        members,
        run.zones,
        seconds,
        processor / members / seconds,
        bytes_per_second,
        messages_per_second,
        memory,
        times[members // 2] if len(times) > members // 2 else float("inf"),
        times[-1] if complete else float("inf"),
        missing,
    )
