"""What all other gateways have under way, as a gateway asks for it."""

from abc import ABC, abstractmethod


class PendingLoads(ABC):
    """A question for the loads of all gateways that is under way."""

    @abstractmethod
    def wait(self) -> None:
        """Wait for the answer, no longer than it is worth."""


class LoadSource(ABC):
    """Tells of this gateway's requests and learns of all others'."""

    @abstractmethod
    def request_loads(self) -> PendingLoads:
        """Begin to ask what all others have under way; the directory takes the answer in."""

    @abstractmethod
    def report_loads(self) -> None:
        """Tell what this gateway has under way now."""


class NoPendingLoads(PendingLoads):
    """Stands for a question that nobody could be asked."""

    def wait(self) -> None:
        """Return at once."""
