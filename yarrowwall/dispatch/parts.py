"""What all attempts of a gateway share on their way to servers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.pool import ConnectionPool
from yarrowwall.policy.latency import LatencyEstimator, RetryBudget
from yarrowwall.policy.memory_budget import MemoryBudget
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.loads import LoadSource
from yarrowwall.ports.platform import ServerProtocol


@dataclass
class DispatchParts:
    """What all attempts of a gateway share on their way to servers.

    :param now: the monotonic clock.
    """

    directory: ServerDirectory
    pool: ConnectionPool
    protocol: ServerProtocol
    loads: LoadSource
    memory: MemoryBudget
    decisions: DecisionLog
    now: Callable[[], float]
    latencies: LatencyEstimator = field(default_factory=LatencyEstimator)
    retries: RetryBudget = field(default_factory=RetryBudget)
