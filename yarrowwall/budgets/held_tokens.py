"""What one turn holds of its program's budget, by one claim or several. No I/O."""

from collections.abc import Iterator

from yarrowwall.budgets.budget_requests import Reserved, Wanted, lacked_by


class HeldTokens:
    """The reservations of one turn.

    :param first: with which it began.
    """

    def __init__(self, first: Reserved) -> None:
        self._reserved = [first]
        self._asked = 0

    @property
    def wanted(self) -> Wanted:
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

    def next_lacked(self) -> Wanted:
        """Return a new claim of what the turn lacks."""
        self._asked += 1
        return lacked_by(self.wanted, self.granted, self._asked)

    def add(self, reserved: Reserved) -> None:
        """Take in one more reservation."""
        self._reserved.append(reserved)

    def spread(self, tokens: int) -> Iterator[tuple[Reserved, int]]:
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
