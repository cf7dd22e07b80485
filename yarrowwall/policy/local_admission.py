"""Admission by a single gateway while no replica can decide for all gateways. No I/O."""

from yarrowwall.policy.capacity_forecast import (
    LARGE_CACHE_SLOTS_SHARE,
    SLOTS_SHARE,
    ServiceCapacity,
    free_slots,
)

#: Seconds after which the loads reported by other gateways are considered stale.
MAX_LOADS_AGE_SECONDS = 1.0
#: Multiple of its even share of the capacity that a gateway with stale loads may use. Clients are
#: spread unevenly, and while some gateways are cut off the others have fewer requests.
STALE_LOADS_FACTOR = 4.0
#: Requests that a gateway with stale loads may have in progress in any case.
STALE_LOADS_MIN_REQUESTS = 2.0


class LocalAdmission:
    """Limits what one gateway admits between two updates of the other gateways' loads.

    All gateways see the same free capacity and admit programs at the same time. So each admits only
    its even share of what is free, but at least one program: in total they exceed the free capacity
    by at most one program per gateway.
    """

    def __init__(self) -> None:
        self._loads_at_s = 0.0
        self._admitted = 0

    def admits(
        self,
        capacity: ServiceCapacity,
        own: int,
        reporters: int,
        now_s: float,
        is_continued: bool = False,
    ) -> bool:
        """Return whether a program may begin, and count it if so.

        :param own: requests that this gateway has in progress at the service.
        :param reporters: gateways that share the capacity; 0 if unknown.
        :param is_continued: whether the program continues from an answered turn; it may then use
            more slots.
        """
        if not reporters:
            return True
        if capacity.age_s > MAX_LOADS_AGE_SECONDS:
            even = free_slots(capacity.slots, 0.0) / reporters
            return own < max(STALE_LOADS_MIN_REQUESTS, STALE_LOADS_FACTOR * even)
        if capacity.is_open:
            return True
        loads_at_s = now_s - capacity.age_s
        if loads_at_s > self._loads_at_s:
            self._loads_at_s, self._admitted = loads_at_s, 0
        share = LARGE_CACHE_SLOTS_SHARE if is_continued else SLOTS_SHARE
        free = share * capacity.slots - capacity.requests
        if free < 1.0 or self._admitted + 1 > max(1.0, free / reporters):
            return False
        self._admitted += 1
        return True
