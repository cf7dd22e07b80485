"""Components that all attempts of a gateway share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.pool import ConnectionPool
from yarrowwall.dispatch.server_ends import ServerEndDetector
from yarrowwall.policy.latency import LatencyEstimator, RetryBudget
from yarrowwall.policy.memory_budget import MemoryBudget
from yarrowwall.policy.server_choice import ServerChooser
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.loads import LoadSource
from yarrowwall.ports.platform import ServerProtocol
from yarrowwall.ports.suspects import SuspectControl


@dataclass
class DispatchComponents:
    """Components that all attempts of a gateway share.

    :param suspects: bounds the servers that end under one request.
    :param now: the monotonic clock.
    :ivar server_ends: finds out whether a server has ended.
    :ivar chooser: chooses servers from the directory.
    """

    directory: ServerDirectory
    pool: ConnectionPool
    protocol: ServerProtocol
    loads: LoadSource
    memory: MemoryBudget
    decisions: DecisionLog
    suspects: SuspectControl
    now: Callable[[], float]
    latencies: LatencyEstimator = field(default_factory=LatencyEstimator)
    retries: RetryBudget = field(default_factory=RetryBudget)
    server_ends: ServerEndDetector = field(init=False)
    chooser: ServerChooser = field(init=False)

    def __post_init__(self) -> None:
        """Create the components that need others."""
        self.server_ends = ServerEndDetector(
            self.directory, lambda server: self.suspects.report_ended(server, None), self.now
        )
        self.chooser = ServerChooser(self.directory)
