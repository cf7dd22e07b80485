"""Credits for sending requests of a tenant, as a gateway asks for them."""

from abc import ABC, abstractmethod

from yarrowwall.model import Attempt


class Allowance(ABC):
    """The credits of one attempt: each sending needs one."""

    @abstractmethod
    def prefetch(self) -> None:
        """Begin to ask for a credit; whoever needs it waits for the answer then."""

    @abstractmethod
    def admit_program(self, expected_requests: float) -> None:
        """Ask whether a new program is welcome.

        :param expected_requests: that it will make in all.
        :raises RefusedError: if it does not fit the tenant's limit now.
        """

    @abstractmethod
    def use_permit(self) -> None:
        """Use a credit for a sending that happens right now, waiting for it if need be.

        :raises RefusedError: if there is none.
        """

    @abstractmethod
    def note_not_run(self) -> None:
        """Note that the last sending surely did not run: its credit serves the next one."""

    @abstractmethod
    def close(self) -> None:
        """Give back what was not used."""


class QuotaSource(ABC):
    """Gives attempts their credits."""

    @abstractmethod
    def allowance(self, attempt: Attempt) -> Allowance:
        """Return the allowance of an attempt."""


class UnlimitedAllowance(Allowance):
    """The allowance of a tenant without a limit."""

    def prefetch(self) -> None:
        """Ask nobody."""

    def admit_program(self, expected_requests: float) -> None:
        """Ask nobody."""

    def use_permit(self) -> None:
        """Return at once."""

    def note_not_run(self) -> None:
        """Keep nothing."""

    def close(self) -> None:
        """Give nothing back."""
