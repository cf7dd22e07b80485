"""A simulated deployment: machines, callers, operators and faults in one run."""

from collections.abc import Callable, Generator
from dataclasses import dataclass, replace
from random import Random

import simpy

from yarrowwall.messages.peers import MemberRecord, MemberStatus
from yarrowwall.standalone.core.configuration.commands import ReplaceReplica
from yarrowwall.standalone.core.configuration.models import (
    CONFIGURATION,
    MACHINES,
    SHARD_MAP,
    Configuration,
    Intents,
    Machine,
    MachineList,
    ServingIntent,
    ShardMap,
    ShardReplica,
)
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.node import NodeCore
from yarrowwall.standalone.core.scheduling.engines import EngineProfile
from yarrowwall.standalone.core.scheduling.policies import CostWeights
from yarrowwall.standalone.simulation.backends import (
    SimulatedEngine,
    SimulatedPlatform,
    SimulatedRecords,
)
from yarrowwall.standalone.simulation.callers import (
    CallerWorld,
    Latency,
    OperatorCaller,
    run_arrivals,
    run_lookups,
)
from yarrowwall.standalone.simulation.deployments import Deployment
from yarrowwall.standalone.simulation.faults import Fault, FaultInjector, FaultKind, generate_faults
from yarrowwall.standalone.simulation.network import Network
from yarrowwall.standalone.simulation.nodes import Disk, NodeWorld, SimulatedNode
from yarrowwall.standalone.simulation.observer import Invariant, Observer
from yarrowwall.standalone.simulation.workloads import MODEL, make_arrivals

#: The clock doesn't start at 0, so that no time is taken for an unset one.
CLOCK_START = 1000.0
WARM_UP_SECONDS = 5.0
#: Time limits of a run, shorter than in production so that runs reach them.
SIMULATED_LIMITS = replace(
    Limits(), idle_limit=90.0, request_deadline=60.0, unload_after=20.0, sweep_interval=5.0
)
#: Time after the last fault and caller in which idle programs end and holds are released.
QUIET_SECONDS = 2.5 * SIMULATED_LIMITS.idle_limit
#: A run fails if programs haven't finished this long after the arrivals.
LIVENESS_SECONDS = 900.0
MACHINE_LIST_LAG_SECONDS = 1.0
SNAPSHOT_SECONDS = 0.5
LOOKUPS_PER_SECOND = 2.0


@dataclass(frozen=True)
class RunSettings:
    """Settings of a simulation run.

    :param load: Fraction of the engines' capacity.
    :param faults: Kinds of generated faults.
    :param schedule: Exact faults that replace the generated ones.
    :param fault_gap: Mean seconds between generated faults.
    :param odd_share: Fraction of callers that don't behave normally; see ``callers.Behaviour``.
    :param core_class: Node core to test; mutants replace it.
    """

    deployment: Deployment
    seed: int
    programs: int = 60
    load: float = 0.6
    faults: tuple[FaultKind, ...] = ()
    schedule: tuple[Fault, ...] | None = None
    fault_gap: float = 4.0
    odd_share: float = 0.0
    policy: str = "yarrowwall"
    with_operators: bool = True
    core_class: type[NodeCore] = NodeCore


class World:
    """A simulated deployment and its run."""

    def __init__(self, settings: RunSettings) -> None:
        self.settings = settings
        self.env = simpy.Environment(initial_time=CLOCK_START)
        deployment = settings.deployment
        # Separate generators per concern keep the workload identical under every policy.
        self._workload_random = Random(f"workload/{settings.seed}")
        self._random = Random(f"world/{settings.seed}")
        self.observer = Observer(self.env)
        self.network = Network(self.env, deployment, Random(f"network/{settings.seed}"))
        self.platform = SimulatedPlatform(self.network)
        self.engines = {engine.engine_id: engine for engine in self._make_engines()}
        self.records = {
            f"records-{number}": SimulatedRecords(self._zone(number), self.network)
            for number in range(deployment.record_servers)
        }
        self.nodes: dict[str, SimulatedNode] = {}
        self._make_nodes()
        self.latencies: list[Latency] = []
        self.injector = FaultInjector(
            self.env,
            self.network,
            list(self.nodes.values()),
            list(self.engines.values()),
            self.platform,
            deployment.zones,
            self.observer,
            self._announce_machines_later,
            self._replace_replica,
        )
        self._replacements: list[str] = []

    def _zone(self, number: int) -> str:
        zones = self.settings.deployment.zones
        return zones[number % len(zones)]

    def _make_engines(self) -> list[SimulatedEngine]:
        deployment = self.settings.deployment
        return [
            SimulatedEngine(
                f"engine-{number}",
                self._zone(number),
                deployment.engine,
                (MODEL,),
                self.env,
                self.network,
                self.observer,
            )
            for number in range(deployment.engines)
        ]

    def _make_nodes(self) -> None:
        deployment = self.settings.deployment
        names = [
            (f"{zone}-{number}", zone, number)
            for zone in deployment.zones
            for number in range(deployment.nodes_per_zone)
        ]
        replicas = [
            ShardReplica(replica_id=f"disk-{name}", node_id=name, zone=zone)
            for name, zone, number in names
            if number == 0
        ]
        seeds = tuple(
            MemberRecord(name, zone, name, 0, 0, MemberStatus.LIVE) for name, zone, _ in names
        )
        node_world = self._node_world(ShardMap(replicas=replicas), seeds)
        for name, zone, number in names:
            disk = Disk(f"disk-{name}") if number == 0 else None
            self.nodes[name] = SimulatedNode(name, zone, disk, node_world)

    def _node_world(self, shard_map: ShardMap, seeds: tuple[MemberRecord, ...]) -> NodeWorld:
        engine = self.settings.deployment.engine
        profile = EngineProfile(
            engine.prefill_tokens_per_second,
            engine.decode_base_seconds + engine.decode_sequence_seconds * engine.max_batch / 2,
        )
        return NodeWorld(
            self.env,
            self.network,
            self._random,
            self.observer,
            self.platform,
            self.engines,
            self.records,
            self.nodes,
            self.settings.policy,
            CostWeights(wasted_cache=self.settings.deployment.wasted_cache_weight),
            profile,
            SIMULATED_LIMITS,
            shard_map,
            seeds,
            self.settings.core_class,
        )

    # The platform's objects

    def _machine_list(self) -> MachineList:
        machines = [
            Machine(
                machine_id=engine.engine_id,
                kind="engine",
                zone=engine.zone,
                address=engine.engine_id,
                state="live" if engine.leaving_at is None else "leaving",
            )
            for engine in self.engines.values()
        ]
        machines += [
            Machine(machine_id=name, kind="records", zone=server.zone, address=name)
            for name, server in self.records.items()
        ]
        return MachineList(machines=machines)

    def _announce_machines(self) -> None:
        self.platform.set_object(MACHINES, self._machine_list().model_dump_json().encode())

    def _announce_machines_later(self) -> None:
        """Update the platform's machine list with a delay, as the real list lags behind."""
        self.network.after(MACHINE_LIST_LAG_SECONDS, self._announce_machines)

    def _replace_replica(self, old_id: str, new_id: str, node: SimulatedNode) -> None:
        self._replacements.append(new_id)
        operator = OperatorCaller(self._caller_world(), f"replace-{new_id}")
        command = ReplaceReplica(old_id, new_id, node.node_id, node.zone)
        self.env.process(operator.retry_until_done(command))

    def _check_shard_map(self) -> None:
        """Check that every replacement of a replica has been completed."""
        document = self.platform.model.read(SHARD_MAP)
        shard_map = ShardMap.model_validate_json(document.body) if document else ShardMap()
        ids = [replica.replica_id for replica in shard_map.replicas]
        for new_id in self._replacements:
            done = new_id in ids and not shard_map.next_replicas
            self.observer.check(Invariant.LIVENESS, done, f"{new_id} did not get its place")

    def _publish_configuration(self) -> None:
        serving = ServingIntent(desk="all", model=MODEL, zones=list(self.settings.deployment.zones))
        configuration = Configuration(intents=Intents(serving=[serving]))
        self.platform.set_object(CONFIGURATION, configuration.model_dump_json().encode())

    # The run

    def run(self) -> None:
        """Run to the end and make the final checks."""
        self._announce_machines()
        self._publish_configuration()
        for node in self.nodes.values():
            node.start()
        self.env.process(self._every(SNAPSHOT_SECONDS, self._snapshot_engines))
        self.env.process(self._every(1.0, self._check_configuration))
        self.env.run(until=CLOCK_START + WARM_UP_SECONDS)
        main = self.env.process(self._main())
        self.env.run(until=main)
        self._check_end()

    def _main(self) -> Generator[simpy.Event, object, None]:
        settings = self.settings
        arrivals = make_arrivals(
            settings.deployment, self._workload_random, settings.programs, settings.load
        )
        span = arrivals[-1].at + 20.0
        until = self.env.now + span
        callers = self._caller_world()
        processes = [
            self.env.process(
                run_arrivals(callers, settings.deployment.zones, arrivals, settings.odd_share)
            ),
            self.env.process(self.injector.run(self._faults(span))),
        ]
        self.env.process(run_lookups(callers, LOOKUPS_PER_SECOND, until))
        if settings.with_operators:
            for name in ("operator-a", "operator-b"):
                self.env.process(OperatorCaller(callers, name).run(until))
        done = self.env.all_of(processes)
        yield done | self.env.timeout(span + LIVENESS_SECONDS)
        self.observer.check(Invariant.LIVENESS, done.triggered, "programs did not finish")
        yield self.env.timeout(QUIET_SECONDS)

    def _faults(self, span: float) -> list[Fault]:
        if self.settings.schedule is not None:
            return list(self.settings.schedule)
        random = Random(f"faults/{self.settings.seed}")
        return generate_faults(random, self.settings.faults, span, self.settings.fault_gap)

    def _caller_world(self) -> CallerWorld:
        return CallerWorld(
            self.env,
            Random(f"callers/{self.settings.seed}"),
            self.observer,
            list(self.nodes.values()),
            self.latencies,
            1.5 * SIMULATED_LIMITS.idle_limit,
        )

    def _every(
        self, seconds: float, action: Callable[[], None]
    ) -> Generator[simpy.Event, object, None]:
        while True:
            yield self.env.timeout(seconds)
            action()

    def _snapshot_engines(self) -> None:
        for engine in self.engines.values():
            engine.snapshot()

    def _check_configuration(self) -> None:
        if self.injector.active == 0:
            nodes = [node for node in self.nodes.values() if not node.is_frozen]
            self.observer.check_versions(nodes, self.injector.healthy_since)
            for node in nodes:
                if node.core is not None:
                    node.core.validate_state()

    def _check_end(self) -> None:
        held = {
            engine.engine_id: engine.model.cache.held_programs() for engine in self.engines.values()
        }
        self._check_shard_map()
        self.observer.check_released(held)
        self.observer.check_nothing_held(held)
