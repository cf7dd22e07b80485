"""Fault injection with generated or given schedules of faults."""

from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import simpy

from yarrowwall.standalone.simulation.backends import SimulatedEngine, SimulatedPlatform
from yarrowwall.standalone.simulation.network import Network
from yarrowwall.standalone.simulation.nodes import SimulatedNode
from yarrowwall.standalone.simulation.observer import Observer


class FaultKind(StrEnum):
    """Kinds of faults."""

    KILL = "kill"
    FREEZE = "freeze"
    ZONE_CUT = "zone_cut"
    ONE_WAY_CUT = "one_way_cut"
    MESSAGE_FAULTS = "message_faults"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_SLOW = "platform_slow"
    ANSWERS_LOST = "answers_lost"
    ENGINE_CRASH = "engine_crash"
    ENGINE_LEAVES = "engine_leaves"
    PLANNED_STOP = "planned_stop"
    DISK_REPLACED = "disk_replaced"


@dataclass(frozen=True)
class Fault:
    """A scheduled fault.

    :param at: Seconds after the start.
    :param duration: Seconds until it is undone.
    :param target: Index of the machine or zone, modulo their number.
    """

    kind: FaultKind
    at: float
    duration: float
    target: int


def generate_faults(
    random: Random, kinds: tuple[FaultKind, ...], until: float, mean_gap: float
) -> list[Fault]:
    """Generate a schedule of faults.

    About a third of the faults follow another one within 2 seconds, half of those on the same
    target.

    :param mean_gap: Mean seconds between the other faults.
    """
    faults: list[Fault] = []
    at = 5.0
    while at < until and kinds:
        kind = random.choice(kinds)
        target = random.randrange(1000)
        if faults and random.random() < 0.33:
            at = faults[-1].at + random.random() * 2.0
            target = faults[-1].target if random.random() < 0.5 else target
        else:
            at += random.expovariate(1 / mean_gap)
        duration = min(60.0, 0.5 + random.expovariate(1 / 8.0))
        if kind is not FaultKind.DISK_REPLACED or all(f.kind is not kind for f in faults):
            faults.append(Fault(kind, at, duration, target))
    return faults


class FaultInjector:
    """Injects faults and undoes them.

    :ivar active: Number of faults in effect.
    :ivar healthy_since: Time when the last fault was undone.
    """

    def __init__(
        self,
        env: simpy.Environment,
        network: Network,
        nodes: list[SimulatedNode],
        engines: list[SimulatedEngine],
        platform: SimulatedPlatform,
        zones: tuple[str, ...],
        observer: Observer,
        announce_machines: Callable[[], None],
        replace_replica: Callable[[str, str, SimulatedNode], None],
    ) -> None:
        self._replace_replica = replace_replica
        self._env = env
        self._network = network
        self._nodes = nodes
        self._engines = engines
        self._platform = platform
        self._zones = zones
        self._observer = observer
        self._announce_machines = announce_machines
        self.injected: Counter[str] = Counter()
        self.active = 0
        self.healthy_since = env.now

    def run(self, faults: list[Fault]) -> Generator[simpy.Event, object, None]:
        """Inject each fault at its time and wait until all are undone."""
        started = self._env.now
        processes = []
        for fault in sorted(faults, key=lambda fault: fault.at):
            yield self._env.timeout(max(0.0, started + fault.at - self._env.now))
            processes.append(self._env.process(self._inject(fault)))
        yield self._env.all_of(processes)

    def _inject(self, fault: Fault) -> Generator[simpy.Event, object, None]:
        self.injected[fault.kind] += 1
        self._observer.trace("fault", fault.kind, fault.target)
        self.active += 1
        heal = self._begin(fault)
        yield self._env.timeout(fault.duration)
        heal()
        self._observer.trace("healed", fault.kind, fault.target)
        self.active -= 1
        self.healthy_since = self._env.now

    def _begin(self, fault: Fault) -> Callable[[], None]:
        """Start a fault and return the function that undoes it."""
        node = self._nodes[fault.target % len(self._nodes)]
        engine = self._engines[fault.target % len(self._engines)]
        match fault.kind:
            case FaultKind.KILL:
                return self._kill(node)
            case FaultKind.DISK_REPLACED:
                return self._replace_disk(node)
            case FaultKind.FREEZE:
                node.freeze()
                return node.thaw
            case FaultKind.PLANNED_STOP:
                node.drain()
                return lambda: self._restart_when_stopped(node)
            case FaultKind.ZONE_CUT:
                return self._cut(fault.target, both_ways=True)
            case FaultKind.ONE_WAY_CUT:
                return self._cut(fault.target, both_ways=False)
            case FaultKind.ENGINE_CRASH:
                return self._crash(engine)
            case FaultKind.ENGINE_LEAVES:
                return self._leave(engine)
            case FaultKind.MESSAGE_FAULTS:
                return self._disturb_messages()
        return self._disturb_platform(fault.kind)

    def _kill(self, node: SimulatedNode) -> Callable[[], None]:
        node.kill()
        return lambda: None if node.is_up else node.start()

    def _replace_disk(self, node: SimulatedNode) -> Callable[[], None]:
        """Kill a node and replace its disk; on restart an operator replaces its replica."""
        node.kill()
        if node.disk is None:
            return lambda: None if node.is_up else node.start()
        old_id = node.disk.replica_id
        new_id = f"{old_id}-replaced"
        node.replace_disk(new_id)

        def start() -> None:
            if not node.is_up:
                node.start()
            self._replace_replica(old_id, new_id, node)

        return start

    def _restart_when_stopped(self, node: SimulatedNode) -> None:
        """Restart the node once its drain has finished."""
        if not node.is_up:
            node.start()
            return
        if node.core is not None and node.core.is_draining():
            self._network.after(1.0, lambda: self._restart_when_stopped(node))

    def _cut(self, target: int, both_ways: bool) -> Callable[[], None]:
        """Isolate a zone from all others, or cut one direction between two zones."""
        zone = self._zones[target % len(self._zones)]
        others = [other for other in self._zones if other != zone]
        if both_ways:
            pairs = [pair for other in others for pair in ((zone, other), (other, zone))]
        else:
            pairs = [(zone, others[target % len(others)])]
        for source, destination in pairs:
            self._network.cut(source, destination)
        return lambda: [self._network.heal(*pair) for pair in pairs] and None

    def _crash(self, engine: SimulatedEngine) -> Callable[[], None]:
        if not engine.is_up:
            return lambda: None
        engine.crash()
        return engine.restart

    def _leave(self, engine: SimulatedEngine) -> Callable[[], None]:
        engine.leave()
        self._announce_machines()

        def stay() -> None:
            engine.stay()
            self._announce_machines()

        return stay

    def _disturb_messages(self) -> Callable[[], None]:
        network = self._network
        network.loss, network.duplication, network.extra_delay = 0.05, 0.05, 0.05

        def heal() -> None:
            network.loss = network.duplication = network.extra_delay = 0.0

        return heal

    def _disturb_platform(self, kind: FaultKind) -> Callable[[], None]:
        platform = self._platform
        if kind is FaultKind.PLATFORM_DOWN:
            platform.is_down = True
            return platform.end_outage
        if kind is FaultKind.PLATFORM_SLOW:
            platform.slow_seconds = 2.0

            def speed_up() -> None:
                platform.slow_seconds = 0.0

            return speed_up
        platform.lose_answers += 3
        return lambda: None
