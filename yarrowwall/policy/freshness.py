"""How old the configuration in force may be, and how old it is. No I/O.

A key that was taken away may be served for a bounded time only, by every gateway, whether it
hears of changes or not. So a gateway needs more than the newest configuration it was told of:
it needs a moment at which there was no newer one. Whoever asked the store for the
configuration knows such a moment, that at which the question was sent, and passes it on.
"""

#: Seconds kept free of the time in which a key that was taken away may still be served. The
#: clocks that measure a configuration's age run apart by less than a hundredth, which is
#: 0.05 s of 5 s; the rest is for what a request takes from its arrival to the look at the clock.
MARGIN_SECONDS = 0.2
#: Part of the bounds after which a gateway asks the store itself: beyond the age that readers
#: explain, and soon enough for the look and the answer before a version may be overdue.
OWN_QUERY_SHARE = 0.65
#: How the reason of a refusal for age begins; logs are searched for it.
TOO_OLD = "the configuration was last proved"


class Freshness:
    """The age of the configuration in force, against its bounds.

    :param revocation_s: seconds in which a key may be served after it was taken away; None
        without a bound.
    :param denial_s: seconds in which callers may be refused by an older configuration; None
        without a bound.
    """

    def __init__(self, revocation_s: float | None, denial_s: float | None) -> None:
        self._revocation_s = revocation_s
        self._denial_s = denial_s
        self._proved_at_s: float | None = None

    def note_proved(self, at_s: float) -> None:
        """Take in a moment at which no configuration newer than the one in force existed."""
        if self._proved_at_s is None or at_s > self._proved_at_s:
            self._proved_at_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the configuration in force was surely the newest."""
        return now_s - self._proved_at_s if self._proved_at_s is not None else float("inf")

    def should_query_store(self, now_s: float) -> bool:
        """Return whether the age is one at which a gateway had better ask the store itself."""
        bounds_s = [bound for bound in (self._revocation_s, self._denial_s) if bound is not None]
        return bool(bounds_s) and self.age_s(now_s) >= OWN_QUERY_SHARE * min(bounds_s)

    def may_serve_keys(self, arrived_at_s: float) -> bool:
        """Return whether a request that arrived at a moment may be served by its key."""
        return self._is_within(self._revocation_s, arrived_at_s)

    def may_deny(self, arrived_at_s: float) -> bool:
        """Return whether a key or route that is unknown may be told to be so.

        What was added since is unknown here, and callers who are told so do not come back.
        """
        return self._is_within(self._denial_s, arrived_at_s)

    def _is_within(self, bound_s: float | None, at_s: float) -> bool:
        return bound_s is None or self.age_s(at_s) <= bound_s - MARGIN_SECONDS

    def expired_for_s(self, now_s: float) -> float:
        """Return for how many seconds the configuration has been too old for keys."""
        bound_s = self._revocation_s or self._denial_s or 0.0
        return max(self.age_s(now_s) - bound_s + MARGIN_SECONDS, 0.0)
