"""Simulated network: latency, loss, duplication and partitions between zones."""

from collections.abc import Callable
from random import Random

import simpy

from yarrowwall.standalone.simulation.deployments import LOCAL_LATENCY, Deployment


class Network:
    """Delivers messages with the latencies of the zones.

    :ivar loss: Fraction of messages between nodes that are lost.
    :ivar duplication: Fraction of messages between nodes that are delivered twice.
    :ivar extra_delay: Maximum additional random delay in seconds, which reorders messages.
    """

    def __init__(self, env: simpy.Environment, deployment: Deployment, random: Random) -> None:
        self._env = env
        self._deployment = deployment
        self._random = random
        self._cuts: dict[tuple[str, str], int] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay = 0.0

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        timeout = self._env.timeout(seconds)
        timeout.callbacks.append(lambda _: action())

    def latency(self, source: str, target: str) -> float:
        """Return a random delivery time between two zones in seconds."""
        base = LOCAL_LATENCY if source == target else self._deployment.zone_latency
        delay = base * (0.8 + 0.4 * self._random.random())
        return delay + self.extra_delay * self._random.random() if self.extra_delay else delay

    def client_latency(self) -> float:
        """Return a random delivery time between a caller and a node in seconds."""
        return self._deployment.client_latency * (0.8 + 0.4 * self._random.random())

    def cut(self, source: str, target: str) -> None:
        """Drop everything from one zone to another; cuts are counted."""
        self._cuts[source, target] = self._cuts.get((source, target), 0) + 1

    def heal(self, source: str, target: str) -> None:
        """Undo one cut."""
        self._cuts[source, target] -= 1

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether one zone can't send to another."""
        return self._cuts.get((source, target), 0) > 0

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether neither direction between two zones is cut."""
        return not self.is_cut(one, other) and not self.is_cut(other, one)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a message between nodes, with simulated loss and duplication."""
        if self.is_cut(source, target) or (self.loss and self._random.random() < self.loss):
            return
        self.after(self.latency(source, target), deliver)
        if self.duplication and self._random.random() < self.duplication:
            self.after(self.latency(source, target), deliver)
