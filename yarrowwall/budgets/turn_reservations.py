"""The tokens that one turn holds of its program's budget, by one or several claims. No I/O."""

from collections.abc import Iterator

from yarrowwall.budgets.budget_requests import Reservation, TokenClaim, further_claim


class TurnReservations:
    """The reservations of one turn.

    :param first: The reservation that it started with.
    """

    def __init__(self, first: Reservation) -> None:
        self._reservations = [first]
        #: Keys of further claims that were not granted.
        self._withdrawn_keys: set[str] = set()
        #: Whether a claim of all missing tokens was refused because the budget is exhausted.
        self.is_remainder_refused = False

    @property
    def first_claim(self) -> TokenClaim:
        """Return the turn's first claim, which is for the most tokens that it may emit."""
        return self._reservations[0].claim

    @property
    def granted(self) -> int:
        """Return the tokens of all reservations."""
        return sum(reservation.granted for reservation in self._reservations)

    @property
    def is_short(self) -> bool:
        """Return whether fewer tokens were granted than the turn may emit."""
        return self.granted < self.first_claim.tokens

    @property
    def missing_tokens(self) -> int:
        """Return the tokens that the turn may emit and that were not granted."""
        return self.first_claim.tokens - self.granted

    def next_claim(self, tokens: int) -> TokenClaim:
        """Return a new claim for some of the missing tokens, withdrawn unless it is added."""
        number = len(self._withdrawn_keys) + len(self._reservations)
        claim = further_claim(self.first_claim, tokens, number, self._withdrawn_keys)
        self._withdrawn_keys.add(claim.key)
        return claim

    def add(self, reservation: Reservation) -> None:
        """Add the granted reservation of a further claim."""
        self._withdrawn_keys.discard(reservation.claim.key)
        self._reservations.append(reservation)

    def allocate_spent(self, tokens: int) -> Iterator[tuple[Reservation, int]]:
        """Yield the tokens spent of each reservation.

        Tokens emitted beyond all reservations count towards the first, so that none is lost.
        """
        excess = max(0, tokens - self.granted)
        tokens -= excess
        for reservation in self._reservations:
            spent = min(tokens, reservation.granted)
            tokens -= spent
            yield reservation, spent + excess
            excess = 0
