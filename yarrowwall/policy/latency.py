"""How long answers take, learned from those that came, and how often to ask twice. No I/O."""

from collections import deque

#: Answers of a route that are remembered; older ones are forgotten.
MAX_SAMPLES = 64
#: Answers that must have come before a route's limit is believed.
MIN_SAMPLES = 16
#: Part of the answers that come within the time that is taken as usual.
TYPICAL_QUANTILE = 0.95
#: Times the usual after which an answer is held to be lost; about one in a thousand comes later.
LATE_FACTOR = 2.5
#: Seconds below which no limit goes, for the way and the load of the machines.
MIN_LATE_AFTER_SECONDS = 0.1
#: Second sendings that each sending earns its service, and the most that are saved up: a
#: service that has become slow as a whole must not get its load twice.
RETRIES_PER_SEND = 0.1
MAX_SAVED_RETRIES = 8.0


class LatencyEstimator:
    """The usual time to a whole answer, by route."""

    def __init__(self) -> None:
        self._seconds: dict[str, deque[float]] = {}

    def note(self, route: str, seconds: float) -> None:
        """Note how long a whole answer took."""
        self._seconds.setdefault(route, deque(maxlen=MAX_SAMPLES)).append(seconds)

    def late_after_s(self, route: str) -> float | None:
        """Return the seconds after which an answer is held to be lost; None if unknown."""
        seen = self._seconds.get(route, ())
        if len(seen) < MIN_SAMPLES:
            return None
        usual_s = sorted(seen)[int(TYPICAL_QUANTILE * len(seen))]
        return max(MIN_LATE_AFTER_SECONDS, LATE_FACTOR * usual_s)


class RetryBudget:
    """Second sendings of requests whose answers are late, bounded for each service."""

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def deposit(self, service: str) -> None:
        """Note a first sending."""
        saved = self._saved.get(service, MAX_SAVED_RETRIES)
        self._saved[service] = min(MAX_SAVED_RETRIES, saved + RETRIES_PER_SEND)

    def try_withdraw(self, service: str) -> bool:
        """Return whether one more request may be sent again, and count it."""
        saved = self._saved.get(service, MAX_SAVED_RETRIES)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
