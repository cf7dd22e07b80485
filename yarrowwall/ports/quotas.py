"""Permits for sending requests of a tenant, as a gateway uses them."""

from abc import ABC, abstractmethod

from yarrowwall.model import Attempt


class Allowance(ABC):
    """The permits of one attempt; each request sent to a server needs one."""

    @abstractmethod
    def prefetch(self) -> None:
        """Request a permit without waiting for the answer."""

    @abstractmethod
    def admit_program(self, expected_requests: float) -> None:
        """Ask whether a new program fits the tenant's limit.

        :param expected_requests: Number of requests that the program is expected to make.
        :raises RefusedError: If it does not fit the limit now.
        """

    @abstractmethod
    def use_permit(self) -> None:
        """Use a permit for a request that is sent immediately, waiting for one if necessary.

        :raises RefusedError: If none is available.
        """

    @abstractmethod
    def note_not_run(self) -> None:
        """Note that the last request certainly did not run, so its permit can be used again."""

    @abstractmethod
    def close(self) -> None:
        """Release unused permits."""


class QuotaSource(ABC):
    """Provides the allowances of attempts."""

    @abstractmethod
    def allowance(self, attempt: Attempt) -> Allowance:
        """Return the allowance of an attempt."""


class UnlimitedAllowance(Allowance):
    """The allowance of a tenant without a limit."""

    def prefetch(self) -> None:
        """Request nothing."""

    def admit_program(self, expected_requests: float) -> None:
        """Admit every program."""

    def use_permit(self) -> None:
        """Return at once."""

    def note_not_run(self) -> None:
        """Do nothing, since no permit was used."""

    def close(self) -> None:
        """Do nothing, since no permit is held."""
