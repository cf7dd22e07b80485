"""Interfaces of the node that the runtime's clients and HTTP API depend on."""

from typing import Protocol

from yarrowwall.standalone.core.node import NodeCore
from yarrowwall.standalone.runtime.callers import CallerTable
from yarrowwall.standalone.runtime.metrics import NodeMetrics
from yarrowwall.standalone.settings import NodeFileSettings


class NodePort(Protocol):
    """The node as used by the engine, platform and record clients."""

    def post(self, event: object) -> None:
        """Pass an event to the core and execute the effects that it returns."""

    def now(self) -> float:
        """Return the node's wall-clock time in seconds."""


class ServedNode(NodePort, Protocol):
    """The node as used by the HTTP API."""

    core: NodeCore
    callers: CallerTable
    metrics: NodeMetrics
    settings: NodeFileSettings
