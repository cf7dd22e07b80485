"""Token budgets and conversations of programs, as a gateway uses them.

Before a turn is sent to a server, the most tokens that it may emit are reserved in the record
store. Afterwards, the reservation is settled at the emitted tokens. On stateful routes, the turn's
input and events are stored before the end of its answer is relayed.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

from yarrowwall.event_stream import Event
from yarrowwall.model import Attempt, Route


class ExpectedSoftware(NamedTuple):
    """What a gateway knows of the software that will run a stream, by its software id.

    :param likely: The software that probably runs it; empty if unknown.
    :param find_sole: Returns the only software that could have begun it, None if there are several;
        raises StoreUncertainError if that cannot be known now.
    """

    likely: str = ""
    find_sole: Callable[[], str | None] = lambda: None


NO_EXPECTED_SOFTWARE = ExpectedSoftware()


class TurnGrant:
    """A grant to run one turn. This base class is for turns without any stored state.

    :param body: The request body for the server.
    :param last_server: The server of the program's previous turn; empty if unknown.
    :param is_first: Whether no earlier turn of the program has emitted anything.
    :param is_continued: Whether it continues an answered turn, possibly of another program.
    :ivar software: The only software that may run it, if it resumes a stream; None for any.
    :ivar expected_software: The software that it is recorded to run at; empty for none.
    :ivar open_tries: Returns the ids of the same turn's other attempts that are not known to have
        ended.
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
        self.software: str | None = None
        self.expected_software = ""
        self.open_tries: Callable[[], Collection[str]] = tuple

    def record_software(self, software: str) -> None:
        """Record the software that will run the turn, before it is sent there.

        :raises StoreUncertainError: If the record may name another one.
        """

    def ensure_granted(self, events: list[Event]) -> None:
        """Ensure that events are within the granted tokens, before they are relayed.

        :param events: All events of the answer so far.
        :raises StoreUncertainError: If they exceed the grant and no more is granted in time.
        """

    def granted_events(self) -> int | None:
        """Return how many events of the answer are granted already; None if all may be."""
        return None

    def complete(self, repeated: list[Event], relayed: list[Event], server_id: str) -> None:
        """Store the turn durably before the end of the answer is relayed.

        This may take until the request's deadline, since an answer that has begun can only be
        completed or aborted.

        :param repeated: The first events, which the caller got from earlier attempts.
        :param relayed: The events that this attempt relayed, which alone count as its tokens.
        :param server_id: The incarnation of the server where the turn ran, as text.
        :raises StoreUncertainError: If the turn cannot be stored in that time.
        """

    def close(self, events: list[Event], server_id: str) -> None:
        """Settle the turn after any outcome, at the tokens of the relayed events."""


class ProgramLedger(Protocol):
    """Grants turns."""

    @property
    def is_reachable(self) -> bool:
        """Return whether turns can probably be granted now."""

    @property
    def unreachable_s(self) -> float:
        """Return the seconds for which no turn could be granted; 0 if the last one could."""

    def open_turn(
        self,
        attempt: Attempt,
        route: Route,
        tokens_per_event: int,
        deadline: Callable[[], float],
        software: ExpectedSoftware = NO_EXPECTED_SOFTWARE,
    ) -> TurnGrant:
        """Return the grant to run a turn.

        :param deadline: Returns the monotonic time at which the request's time is over, which may
            be extended later.
        :raises BudgetExhaustedError: If too few tokens of the budget are left.
        :raises TurnUnknownError: If the previous turn certainly does not exist.
        :raises StreamUnknownError: If no record tells which software began a resumed stream.
        :raises StoreUncertainError: If the store cannot decide now.
        """
