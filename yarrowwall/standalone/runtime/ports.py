"""What the clients of the runtime use of the node they serve."""

from typing import Protocol

from yarrowwall.standalone.core.node import NodeCore
from yarrowwall.standalone.runtime.callers import CallerTable
from yarrowwall.standalone.runtime.metrics import NodeMetrics
from yarrowwall.standalone.settings import NodeFileSettings


class NodePort(Protocol):
    """The node as its clients see it."""

    def post(self, event: object) -> None:
        """Hand an event to the core and carry out its effects."""

    def now(self) -> float:
        """Return the node's clock in seconds."""


class ServedNode(NodePort, Protocol):
    """The node as the HTTP interface sees it."""

    core: NodeCore
    callers: CallerTable
    metrics: NodeMetrics
    settings: NodeFileSettings
