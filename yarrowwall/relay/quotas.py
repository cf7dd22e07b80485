"""Leave to send requests of a tenant, as the relay asks for it."""

from abc import ABC, abstractmethod

from yarrowwall.relay.model import Attempt


class Allowance(ABC):
    """The leave of one attempt: one sending needs one."""

    @abstractmethod
    def begin(self) -> None:
        """Begin to ask; whoever needs the leave waits for the answer then."""

    @abstractmethod
    def begin_program(self, expected_requests: float) -> None:
        """Ask whether a new program is welcome.

        :param expected_requests: that it will make in all.
        :raises RefusedError: if it does not fit the tenant's limit now.
        """

    @abstractmethod
    def spend(self) -> None:
        """Use leave for a sending that happens right now, waiting for it if need be.

        :raises RefusedError: if there is none.
        """

    @abstractmethod
    def not_run(self) -> None:
        """Note that the last sending surely did not run: its leave serves the next one."""

    @abstractmethod
    def close(self) -> None:
        """Give back what was not used."""


class QuotaSource(ABC):
    """Gives leave."""

    @abstractmethod
    def allowance(self, attempt: Attempt) -> Allowance:
        """Return the leave that an attempt needs."""


class Unlimited(Allowance):
    """The leave of a tenant without a limit."""

    def begin(self) -> None:
        """Ask nobody."""

    def begin_program(self, expected_requests: float) -> None:
        """Ask nobody."""

    def spend(self) -> None:
        """Return at once."""

    def not_run(self) -> None:
        """Keep nothing."""

    def close(self) -> None:
        """Give nothing back."""


class NoQuotas(QuotaSource):
    """Knows no limits."""

    def allowance(self, attempt: Attempt) -> Allowance:
        """Return leave without a limit."""
        return Unlimited()
