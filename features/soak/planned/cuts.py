"""Which requests were cut although nothing but planned work was done."""

from collections.abc import Iterable
from typing import NamedTuple

from features.soak.promises import Attempted

#: Seconds that each attempt has.
DEADLINE_S = 4.0
#: The routes' times in seconds, by the moment of the monotonic clock when they were written.
Timeouts = list[tuple[float, dict[str, float]]]


class Asked(NamedTuple):
    """An attempt.

    :param at: moment of the monotonic clock before anything of it was sent.
    """

    route: str
    at: float


class Cut(NamedTuple):
    """A request that ended without a whole answer.

    :param lasted_s: since it was sent.
    :param time_s: the least that it had.
    """

    attempt: str
    gateway: str
    route: str
    status: int
    lasted_s: float
    time_s: float
    ended_at: float

    @property
    def text(self) -> str:
        """Return what broke the promise."""
        return (
            f"LOST: {self.attempt} on {self.route} was cut at {self.gateway} after"
            f" {self.lasted_s:.3f} of {self.time_s:.3f} s, status {self.status}"
        )


def find_cuts(
    attempts: Iterable[Attempted], timeouts: Timeouts, asked: dict[str, Asked]
) -> list[Cut]:
    """Return the requests that were cut before their time was over."""
    found = []
    for attempted in attempts:
        if attempted.end.is_whole or attempted.was_broken_off or not attempted.was_taken:
            continue
        route, begun_at = asked[attempted.attempt]
        end = attempted.end
        time_s = min(DEADLINE_S, longest_s(timeouts, route, begun_at, end.at))
        lasted_s = end.at - begun_at
        if lasted_s < time_s:
            gateway = attempted.sent.gateway
            found.append(
                Cut(attempted.attempt, gateway, route, end.status, lasted_s, time_s, end.at)
            )
    return found


def longest_s(timeouts: Timeouts, route: str, begin: float, end: float) -> float:
    """Return the longest time of a route that was in force in a span; endless for other routes."""
    longest, before = 0.0, 0.0
    for at, times_s in timeouts:
        time_s = times_s.get(route, float("inf"))
        if at <= begin:
            before = time_s
        elif at <= end:
            longest = max(longest, time_s)
    return max(longest, before)
