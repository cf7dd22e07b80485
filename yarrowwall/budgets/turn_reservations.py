"""What one turn holds of its program's budget, by one claim or several. No I/O."""

from collections.abc import Iterator

from yarrowwall.budgets.budget_requests import Reservation, TokenClaim, further_claim


class TurnReservations:
    """The reservations of one turn.

    :param first: with which it began.
    """

    def __init__(self, first: Reservation) -> None:
        self._reserved = [first]
        #: Keys of further claims that were not granted.
        self._given_up: set[str] = set()
        #: Whether the budget was found not to hold all that the turn lacks.
        self.is_rest_refused = False

    @property
    def wanted(self) -> TokenClaim:
        """Return what the turn wants at most."""
        return self._reserved[0].wanted

    @property
    def granted(self) -> int:
        """Return the tokens of all reservations."""
        return sum(one.granted for one in self._reserved)

    @property
    def is_short(self) -> bool:
        """Return whether the turn holds less than the most that it may emit."""
        return self.granted < self.wanted.tokens

    @property
    def lacked(self) -> int:
        """Return the tokens that the turn may emit and does not hold."""
        return self.wanted.tokens - self.granted

    def next_claim(self, tokens: int) -> TokenClaim:
        """Return a new claim of some of what the turn lacks."""
        number = len(self._given_up) + len(self._reserved)
        claim = further_claim(self.wanted, tokens, number, self._given_up)
        self._given_up.add(claim.key)
        return claim

    def add(self, reserved: Reservation) -> None:
        """Take in one more reservation."""
        self._given_up.discard(reserved.wanted.key)
        self._reserved.append(reserved)

    def spread(self, tokens: int) -> Iterator[tuple[Reservation, int]]:
        """Return how much of each reservation was spent; the rest is handed back.

        What was emitted beyond all of them counts at the first: no token goes uncounted.
        """
        left = max(0, tokens - self.granted)
        tokens -= left
        for one in self._reserved:
            spent = min(tokens, one.granted)
            tokens -= spent
            yield one, spent + left
            left = 0
