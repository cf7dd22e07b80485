"""Estimates when answers are late, and limits how many requests are repeated. No I/O."""

from collections import deque

#: Answers of a route that the estimate is based on; older ones are dropped.
MAX_SAMPLES = 64
#: Answers of a route that are needed for an estimate.
MIN_SAMPLES = 16
#: Quantile of the answer times that is taken as typical.
TYPICAL_QUANTILE = 0.95
#: Multiple of the typical time after which an answer is considered lost; about one in a thousand
#: takes longer.
LATE_FACTOR = 2.5
#: Minimum in seconds, which allows for network latency and busy machines.
MIN_LATE_AFTER_SECONDS = 0.1
#: Retries that each first send adds to its service's retry budget, and the maximum budget: a
#: service that has become slow as a whole must not receive double load.
RETRIES_PER_SEND = 0.1
MAX_SAVED_RETRIES = 8.0


class LatencyEstimator:
    """Estimates the time to a complete answer, by route."""

    def __init__(self) -> None:
        self._seconds: dict[str, deque[float]] = {}

    def note(self, route: str, seconds: float) -> None:
        """Record how long a complete answer took."""
        self._seconds.setdefault(route, deque(maxlen=MAX_SAMPLES)).append(seconds)

    def late_after_s(self, route: str) -> float | None:
        """Return the seconds after which an answer is considered lost; None if unknown."""
        seen = self._seconds.get(route, ())
        if len(seen) < MIN_SAMPLES:
            return None
        typical_s = sorted(seen)[int(TYPICAL_QUANTILE * len(seen))]
        return max(MIN_LATE_AFTER_SECONDS, LATE_FACTOR * typical_s)


class RetryBudget:
    """Limits how many requests with late answers are repeated, for each service."""

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def deposit(self, service: str) -> None:
        """Add to the budget for a first send."""
        saved = self._saved.get(service, MAX_SAVED_RETRIES)
        self._saved[service] = min(MAX_SAVED_RETRIES, saved + RETRIES_PER_SEND)

    def try_withdraw(self, service: str) -> bool:
        """Return whether one more request may be repeated, and subtract it if so."""
        saved = self._saved.get(service, MAX_SAVED_RETRIES)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
