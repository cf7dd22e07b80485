"""Token budgets and conversations of programs, as a gateway uses them.

Before a turn is sent, the most it may emit is reserved in the record store; after
it, the reservation is settled to what was emitted. On stateful routes the turn's
input and events are stored before the end of its answer is passed on.
"""

from collections.abc import Callable
from typing import Protocol

from yarrowwall.event_stream import Event
from yarrowwall.model import Attempt, Route


class TurnGrant:
    """The leave to run one turn; this one is for turns that nothing needs to be kept of.

    :param body: what the server is to get.
    :param last_server: where the program's turn before ran; empty if unknown.
    :param is_first: whether no turn of the program has emitted anything before.
    :param is_continued: whether it goes on from an answered turn, perhaps of another program.
    """

    def __init__(
        self,
        body: bytes,
        last_server: str = "",
        is_first: bool = False,
        is_continued: bool = False,
    ) -> None:
        self.body = body
        self.last_server = last_server
        self.is_first = is_first
        self.is_continued = is_continued

    def ensure_granted(self, passed: list[Event]) -> None:
        """Refuse events beyond what was granted, before they are passed on.

        :raises StoreUncertainError: if they exceed it.
        """

    def complete(self, passed: list[Event], server_id: str) -> None:
        """Store what must last before the end of the answer is passed on.

        It may take as long as the request has time left, for an answer that has begun can only be
        completed or cut.

        :param server_id: the incarnation of the server where the turn ran, as its text.
        :raises StoreUncertainError: if that cannot be done in that time.
        """

    def close(self, passed: list[Event], server_id: str) -> None:
        """Settle the turn, however it ended."""


class ProgramLedger(Protocol):
    """Grants turns."""

    @property
    def is_reachable(self) -> bool:
        """Return whether turns can be granted now, as far as known."""

    @property
    def unreachable_s(self) -> float:
        """Return for how many seconds no turn could be granted; 0 if the last one could."""

    def open_turn(
        self, attempt: Attempt, route: Route, tokens_per_event: int, end: Callable[[], float]
    ) -> TurnGrant:
        """Return the leave to run a turn.

        :param end: tells when the request's time is over, on the monotonic clock; it may come to
            have more.
        :raises BudgetExhaustedError: if the budget does not hold it.
        :raises TurnUnknownError: if the turn it goes on from is surely unknown.
        :raises StoreUncertainError: if the store cannot tell now.
        """
