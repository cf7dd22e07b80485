"""Room for programs, as a gateway asks for it."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from yarrowwall.model import Attempt, Service


class NewProgram(NamedTuple):
    """A program whose first turn has come.

    :param turns: that it is expected to have.
    :param is_continued: whether it goes on from an answered turn, perhaps of another program.
    """

    attempt: Attempt
    service: Service
    turns: float
    is_continued: bool


class AdmissionControl(ABC):
    """Says which new programs may begin, and learns of those under way."""

    @abstractmethod
    def request_admission(self, new: NewProgram) -> None:
        """Ask whether a new program may begin.

        :raises RefusedError: if there is no room for it.
        """

    @abstractmethod
    def cancel_admission(self, new: NewProgram) -> None:
        """Note that a program for which there was room was refused for another reason."""

    @abstractmethod
    @contextmanager
    def track_turn(self, attempt: Attempt, service: Service | None) -> Iterator[None]:
        """Count a turn as under way until the context is left."""
