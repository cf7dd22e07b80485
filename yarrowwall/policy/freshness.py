"""Age of the configuration in force, and limits for it. No I/O.

A revoked key may be served only for a limited time, by every gateway, whether or not it receives
changes. So the newest configuration that a gateway has received is not enough: it needs a time at
which no newer one existed. A machine that reads the configuration from the store knows one, the
time at which it sent its request, and passes that on.
"""

#: Seconds that are subtracted from the limits. The clocks that measure the configuration's age
#: differ by less than one percent, which is 0.05 s of 5 s; the rest covers the time between the
#: arrival of a request and the reading of the clock.
MARGIN_SECONDS = 0.2
#: Share of the lower limit at which a gateway queries the store itself: above the ages that occur
#: while store readers work, and early enough for the answer to arrive before the limit is reached.
OWN_QUERY_SHARE = 0.65
#: Prefix of the reason of a refusal due to age; the command line tools search logs for it.
TOO_OLD = "the configuration was last proved"


class Freshness:
    """Compares the age of the configuration in force with its limits.

    :param revocation_s: seconds for which a key may be served after it was revoked; None for no
        limit.
    :param denial_s: seconds for which an outdated configuration may deny requests; None for no
        limit.
    """

    def __init__(self, revocation_s: float | None, denial_s: float | None) -> None:
        self._revocation_s = revocation_s
        self._denial_s = denial_s
        self._proved_at_s: float | None = None

    def note_proved(self, at_s: float) -> None:
        """Record a time at which no configuration newer than the one in force existed."""
        if self._proved_at_s is None or at_s > self._proved_at_s:
            self._proved_at_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the configuration in force was last proved to be the newest."""
        return now_s - self._proved_at_s if self._proved_at_s is not None else float("inf")

    def should_query_store(self, now_s: float) -> bool:
        """Return whether the gateway should query the store itself."""
        limits_s = [limit for limit in (self._revocation_s, self._denial_s) if limit is not None]
        return bool(limits_s) and self.age_s(now_s) >= OWN_QUERY_SHARE * min(limits_s)

    def may_serve_keys(self, arrived_at_s: float) -> bool:
        """Return whether a request that arrived at this time may be served by its key."""
        return self._is_within(self._revocation_s, arrived_at_s)

    def may_deny(self, arrived_at_s: float) -> bool:
        """Return whether a request for an unknown key or route may be denied.

        A newer configuration may contain it, and callers do not retry after a denial.
        """
        return self._is_within(self._denial_s, arrived_at_s)

    def _is_within(self, limit_s: float | None, at_s: float) -> bool:
        return limit_s is None or self.age_s(at_s) <= limit_s - MARGIN_SECONDS

    def expired_for_s(self, now_s: float) -> float:
        """Return for how many seconds the configuration has been too old to serve keys."""
        limit_s = self._revocation_s or self._denial_s or 0.0
        return max(self.age_s(now_s) - limit_s + MARGIN_SECONDS, 0.0)
