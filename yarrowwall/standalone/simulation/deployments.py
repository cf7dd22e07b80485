"""The two deployments that are simulated, with their current sizes."""

from dataclasses import dataclass, field

from yarrowwall.standalone.models.engine import EngineParameters


@dataclass(frozen=True)
class Deployment:
    """Zones, machines and latencies of a site.

    :param nodes_per_zone: Nodes in each zone, the first of which has a journal.
    :param zone_latency: One-way latency between zones in seconds.
    :param client_latency: One-way latency between callers and nodes in seconds.
    :param wasted_cache_weight: Weight of wasted cache relative to latency in placement costs.
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


#: One-way latency in seconds between machines of the same zone.
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
