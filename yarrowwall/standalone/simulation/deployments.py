"""The users' two deployments, with the sizes of today."""

from dataclasses import dataclass, field

from yarrowwall.standalone.models.engine import EngineParameters


@dataclass(frozen=True)
class Deployment:
    """Zones, machines and latencies of one site.

    :param nodes_per_zone: nodes in each zone; the first has a journal.
    :param zone_latency: one way between zones, seconds.
    :param client_latency: one way between callers and nodes, seconds.
    :param wasted_cache_weight: how heavily wasted cache weighs beside latency.
    """

    name: str
    zones: tuple[str, ...]
    nodes_per_zone: int
    engines: int
    record_servers: int
    zone_latency: float
    client_latency: float
    wasted_cache_weight: float
    engine: EngineParameters = field(default_factory=EngineParameters)


#: One way between machines of the same zone, seconds.
LOCAL_LATENCY = 0.0002

NAIROBI = Deployment(
    name="nairobi",
    zones=("nairobi-a", "nairobi-b", "nairobi-c"),
    nodes_per_zone=2,
    engines=6,
    record_servers=3,
    zone_latency=0.0015,
    client_latency=0.001,
    wasted_cache_weight=30.0,
)
KINGSTON = Deployment(
    name="kingston",
    zones=("kingston-a", "kingston-b", "kingston-c", "kingston-d"),
    nodes_per_zone=2,
    engines=7,
    record_servers=4,
    zone_latency=0.0005,
    client_latency=0.003,
    wasted_cache_weight=30.0,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (NAIROBI, KINGSTON)}
