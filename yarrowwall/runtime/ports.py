"""What the clients of the runtime use of the node they serve."""

from typing import Protocol


class NodePort(Protocol):
    """The node as its clients see it."""

    def post(self, event: object) -> None:
        """Hand an event to the core and carry out its effects."""

    def now(self) -> float:
        """Return the node's clock in seconds."""
