"""The grant of a ledger to run one turn."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from yarrowwall.budgets.budget_requests import Reservation
from yarrowwall.budgets.record_names import NO_NAME, record_name
from yarrowwall.budgets.stream_records import StreamRecord
from yarrowwall.budgets.turn_reservations import TurnReservations
from yarrowwall.budgets.turns import Turn, output_of, prompt_body
from yarrowwall.event_stream import Event
from yarrowwall.model import Attempt, Route
from yarrowwall.ports.programs import TurnGrant

if TYPE_CHECKING:
    from yarrowwall.budgets.ledger import ReplicatedLedger


class LedgerGrant(TurnGrant):
    """A grant to run one turn, which stores and settles the turn afterwards.

    :param chain: The earlier turns, oldest first.
    :param deadline: Returns the monotonic time at which the request's time is over.
    """

    def __init__(
        self,
        ledger: "ReplicatedLedger",
        attempt: Attempt,
        route: Route,
        chain: Sequence[Turn],
        reservation: Reservation | None,
        tokens_per_event: int,
        deadline: Callable[[], float],
    ) -> None:
        body, is_continued = prompt_body(chain, attempt.body), bool(chain)
        if reservation is not None:
            super().__init__(body, reservation.last_server, reservation.is_first, is_continued)
        else:
            super().__init__(body, is_continued=is_continued)
        self._ledger = ledger
        self._attempt = attempt
        self._route = route
        self._chain = chain
        self._turn_reservations = TurnReservations(reservation) if reservation is not None else None
        self._tokens_per_event = tokens_per_event
        self._deadline = deadline
        self._is_settled = False
        self.stream_record: StreamRecord | None = None

    def record_software(self, software: str) -> None:
        """Record the software that will run the turn, before it is sent there.

        :raises StoreUncertainError: If the record may name another one.
        """
        if self.stream_record is not None:
            self.stream_record.ensure(software)

    def ensure_granted(self, events: list[Event]) -> None:
        """Reserve the tokens that events need beyond the grant, before they are relayed.

        :raises StoreUncertainError: If the turn was granted less than it may emit, the events
            exceed that, and no group grants more before the deadline.
        """
        turn_reservations, program = self._turn_reservations, self._attempt.program
        if turn_reservations is None or program is None or program.budget is None:
            return
        tokens = len(events) * self._tokens_per_event
        while turn_reservations.is_short and tokens > turn_reservations.granted:
            needed = min(tokens, turn_reservations.first_claim.tokens) - turn_reservations.granted
            self._ledger.reserve_more(turn_reservations, program.budget, needed, self._deadline)

    def granted_events(self) -> int | None:
        """Return how many events of the answer are granted already; None if all may be."""
        turn_reservations = self._turn_reservations
        if turn_reservations is None or not turn_reservations.is_short:
            return None
        return turn_reservations.granted // self._tokens_per_event

    def complete(self, repeated: list[Event], relayed: list[Event], server_id: str) -> None:
        """Store the turn with all of its events before the end of the answer is relayed.

        :raises StoreUncertainError: If no quorum stored it in time.
        """
        program = self._attempt.program
        if not self._route.is_stateful or program is None:
            return
        tenant = self._attempt.tenant
        attempt_id = record_name(tenant, self._attempt.attempt_id)
        previous = program.previous_turn
        turn = Turn(
            attempt_id,
            record_name(tenant, previous) if previous else NO_NAME,
            self._chain[0].attempt_id if self._chain else attempt_id,
            self._attempt.body,
            output_of([*repeated, *relayed]),
        )
        self._ledger.store_turn(
            turn,
            self._chain,
            self._route,
            self._turn_reservations,
            self._tokens(relayed),
            server_id,
            self._deadline,
        )
        self._is_settled = True

    def close(self, events: list[Event], server_id: str) -> None:
        """Settle the turn, unless that is done already."""
        if self._turn_reservations is not None and not self._is_settled:
            self._is_settled = True
            self._ledger.settle(self._turn_reservations, self._tokens(events), server_id)

    def _tokens(self, events: list[Event]) -> int:
        """Return the tokens that were relayed to the caller."""
        tokens = len(events) * self._tokens_per_event
        granted = self.granted_events()
        # Events beyond the grant were not relayed.
        return tokens if granted is None else min(tokens, granted * self._tokens_per_event)
