"""Interface through which a gateway reports its load and requests those of other gateways."""

from abc import ABC, abstractmethod


class PendingLoads(ABC):
    """A pending request for the loads of all gateways."""

    @abstractmethod
    def wait(self) -> None:
        """Wait for the answer until a short timeout expires."""


class LoadSource(ABC):
    """Reports this gateway's load and fetches the loads of all others."""

    @abstractmethod
    def request_loads(self) -> PendingLoads:
        """Request the loads of all other gateways, to be recorded in the directory."""

    @abstractmethod
    def report_loads(self) -> None:
        """Report this gateway's current load without waiting for an answer."""


class NoPendingLoads(PendingLoads):
    """The result of a request that could not be sent to any replica."""

    def wait(self) -> None:
        """Return at once."""
