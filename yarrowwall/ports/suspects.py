"""Control of requests under which servers ended, as the sender of attempts uses it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection

from yarrowwall.model import Attempt, Server


class SuspectSend(ABC):
    """A reserved send of a suspect; it counts as a possible end of its server until released.

    :ivar occupied: incarnations, as text, of servers that run other suspects.
    """

    occupied: frozenset[str] = frozenset()

    @abstractmethod
    def move(self, server: Server) -> None:
        """Note that it goes to another server."""

    @abstractmethod
    def release(self, is_resolved: bool) -> None:
        """End the reservation.

        :param is_resolved: whether it is known if the server ended under it.
        """


class SuspectControl(ABC):
    """Bounds the servers that end under one request over all of its tries, at all gateways."""

    @abstractmethod
    def check(self, attempt: Attempt) -> None:
        """Check whether an attempt may be sent at all.

        :raises RefusedError: if it may not.
        """

    @abstractmethod
    def reserve(
        self,
        attempt: Attempt,
        server: Server,
        left_s: float,
        open_tries: Callable[[], Collection[str]],
    ) -> SuspectSend | None:
        """Reserve a send; return None if no server has ended under the request.

        :param left_s: seconds left to the attempt.
        :param open_tries: returns the ids of the request's other attempts that may still run; a
            server may have ended under each.
        :raises RefusedError: if the request may not be sent.
        """

    @abstractmethod
    def note_unresolved(self, attempt: Attempt, server: Server) -> None:
        """Note that a send ended without an answer, while its server may live or not."""

    @abstractmethod
    def report_ended(self, server: Server, attempt: Attempt | None) -> None:
        """Report that a server has ended, and wait until other gateways have been told.

        :param attempt: the attempt that it ran; None if it ran none of this caller's.
        """
