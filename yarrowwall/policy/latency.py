"""How long answers take, learned from those that came, and how often to ask twice. No I/O."""

from collections import deque

#: Answers of a route that are remembered; older ones are forgotten.
REMEMBERED = 64
#: Answers that must have come before a route's limit is believed.
LEAST_SEEN = 16
#: Part of the answers that come within the time that is taken as usual.
USUAL_SHARE = 0.95
#: Times the usual after which an answer is held to be lost; about one in a thousand comes later.
LIMIT_FACTOR = 2.5
#: Seconds below which no limit goes, for the way and the load of the machines.
LEAST_LIMIT_SECONDS = 0.1
#: Second sendings that each sending earns its service, and the most that are saved up: a
#: service that has become slow as a whole must not get its load twice.
EARNED_PER_SENDING = 0.1
MOST_SAVED = 8.0


class LatencyEstimator:
    """The usual time to a whole answer, by route."""

    def __init__(self) -> None:
        self._seconds: dict[str, deque[float]] = {}

    def note(self, route: str, seconds: float) -> None:
        """Note how long a whole answer took."""
        self._seconds.setdefault(route, deque(maxlen=REMEMBERED)).append(seconds)

    def limit_s(self, route: str) -> float | None:
        """Return the seconds after which an answer is held to be lost; None if unknown."""
        seen = self._seconds.get(route, ())
        if len(seen) < LEAST_SEEN:
            return None
        usual_s = sorted(seen)[int(USUAL_SHARE * len(seen))]
        return max(LEAST_LIMIT_SECONDS, LIMIT_FACTOR * usual_s)


class RetryBudget:
    """Second sendings of requests whose answers are late, bounded for each service."""

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Note a first sending."""
        saved = self._saved.get(service, MOST_SAVED)
        self._saved[service] = min(MOST_SAVED, saved + EARNED_PER_SENDING)

    def take(self, service: str) -> bool:
        """Return whether one more request may be sent again, and count it."""
        saved = self._saved.get(service, MOST_SAVED)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
