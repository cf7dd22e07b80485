"""How fast a service's engines read prompts, from what a gateway sees. No I/O.

The time to a stream's first event is a constant (the way, the first step, a wait) and a part for
each token that was not kept. Only the latter decides where a prompt goes, so it is fitted as a
line's slope, which no constant disturbs.
"""

from collections import defaultdict

#: Tokens a second that an engine is held to read for a request alone, before anything was seen:
#: twice what `servers.py` counts, since reading holds up all others of the engine.
FIRST_TOKENS_PER_SECOND = 260_000.0
#: Bounds of the estimate: engines of ten times the size or a tenth of it stay within.
LEAST_TOKENS_PER_SECOND = 10_000.0
MOST_TOKENS_PER_SECOND = 1_000_000.0
#: What the first figure weighs: as much as so many turns whose unread tokens differ by so many.
FIRST_TURNS = 20.0
FIRST_SPREAD_TOKENS = 1000.0
#: Turns after which the oldest have lost half of their weight: half a minute at a gateway that
#: sees five a second.
HALF_LIFE_TURNS = 150.0
#: Seconds above which a first event tells of a queue or a fault and not of reading.
MOST_SECONDS = 2.0

_DECAY = 0.5 ** (1.0 / HALF_LIFE_TURNS)
_FIRST_SQUARES = FIRST_TURNS * FIRST_SPREAD_TOKENS**2


class _Line:
    """A line through points whose weights fade."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._x = self._y = 0.0
        self._xx = self._xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Take in a point."""
        self._weight = self._weight * _DECAY + 1.0
        self._x = self._x * _DECAY + x
        self._y = self._y * _DECAY + y
        self._xx = self._xx * _DECAY + x * x
        self._xy = self._xy * _DECAY + x * y

    def slope(self, first: float) -> float:
        """Return the slope, drawn towards a first figure while little was seen."""
        if not self._weight:
            return first
        squares = self._xx - self._x * self._x / self._weight
        products = self._xy - self._x * self._y / self._weight
        return (products + first * _FIRST_SQUARES) / (squares + _FIRST_SQUARES)


class ReadingRates:
    """Tokens a second that engines read, by service."""

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = defaultdict(_Line)

    def note(self, service: str, unread_tokens: int, seconds: float) -> None:
        """Take in how long a first event took, and how much of the prompt was not kept."""
        if unread_tokens >= 0 and 0.0 <= seconds <= MOST_SECONDS:
            self._lines[service].add(float(unread_tokens), seconds)

    def all(self) -> dict[str, float]:
        """Return the speeds of all services of which something was seen."""
        return {service: self.tokens_per_s(service) for service in self._lines}

    def tokens_per_s(self, service: str) -> float:
        """Return how fast an engine of a service reads for a request alone."""
        line = self._lines.get(service)
        first_s = 1.0 / FIRST_TOKENS_PER_SECOND
        slope = line.slope(first_s) if line is not None else first_s
        least_s, most_s = 1.0 / MOST_TOKENS_PER_SECOND, 1.0 / LEAST_TOKENS_PER_SECOND
        return 1.0 / min(max(slope, least_s), most_s)
