"""Interface through which a gateway requests admission of new programs."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from yarrowwall.model import Attempt, Service


class NewProgram(NamedTuple):
    """A program whose first turn has arrived.

    :param turns: expected number of turns.
    :param is_continued: whether it continues from an answered turn, possibly of another program.
    """

    attempt: Attempt
    service: Service
    turns: float
    is_continued: bool


class AdmissionControl(ABC):
    """Decides which new programs may begin, and counts the active ones."""

    @abstractmethod
    def request_admission(self, new: NewProgram) -> None:
        """Request admission of a new program.

        :raises RefusedError: if there is no capacity for it.
        """

    @abstractmethod
    def cancel_admission(self, new: NewProgram) -> None:
        """Withdraw the admission of a program that was refused for another reason."""

    @abstractmethod
    @contextmanager
    def track_turn(self, attempt: Attempt, service: Service | None) -> Iterator[None]:
        """Count a turn as active until the context is left."""
