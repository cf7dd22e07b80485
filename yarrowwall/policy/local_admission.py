"""What one gateway admits by itself, where no replica decides for all of them. No I/O."""

from yarrowwall.policy.capacity_forecast import (
    LARGE_CACHE_SLOTS_SHARE,
    SLOTS_SHARE,
    ServiceCapacity,
    free_slots,
)

#: Seconds after which the sums of other gateways are no longer believed.
MAX_LOADS_AGE_SECONDS = 1.0
#: Times an even part of the room that a gateway without believable sums may have under way:
#: clients are spread unevenly, and where some gateways are cut off the others have less.
STALE_LOADS_FACTOR = 4.0
#: Requests that it may have under way in any case.
STALE_LOADS_MIN_REQUESTS = 2.0


class LocalAdmission:
    """Bounds what a gateway admits between two times that it is told the sums.

    All gateways see the same room and admit at once, so each takes its even part of what is
    free, and at least one program: together at most one a gateway too many.
    """

    def __init__(self) -> None:
        self._told_at_s = 0.0
        self._admitted = 0

    def admits(
        self,
        room: ServiceCapacity,
        own: int,
        reporters: int,
        now_s: float,
        is_continued: bool = False,
    ) -> bool:
        """Return whether a program may begin, and count it if so.

        :param own: requests that this gateway has under way there.
        :param reporters: gateways that share the room; 0 if untold.
        :param is_continued: whether it goes on from an answered turn; it may take more places.
        """
        if not reporters:
            return True
        if room.age_s > MAX_LOADS_AGE_SECONDS:
            even = free_slots(room.slots, 0.0) / reporters
            return own < max(STALE_LOADS_MIN_REQUESTS, STALE_LOADS_FACTOR * even)
        if room.is_open:
            return True
        told_at_s = now_s - room.age_s
        if told_at_s > self._told_at_s:
            self._told_at_s, self._admitted = told_at_s, 0
        share = LARGE_CACHE_SLOTS_SHARE if is_continued else SLOTS_SHARE
        free = share * room.slots - room.requests
        if free < 1.0 or self._admitted + 1 > max(1.0, free / reporters):
            return False
        self._admitted += 1
        return True
