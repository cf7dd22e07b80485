"""Which requests were cut although nothing but planned work was done."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from features.soak.promises import FinishedAttempt

#: Seconds that each attempt has.
DEADLINE_S = 4.0
#: Seconds in which a configuration has to be in force everywhere.
CONFIGURATION_S = 3.0
#: The routes' times in seconds, by the moment of the monotonic clock from which on they count.
Timeouts = list[tuple[float, dict[str, float]]]


class WrittenTimeouts(NamedTuple):
    """The routes' times as they were written.

    :param at: when, on the monotonic clock.
    """

    version: int
    at: float
    times_s: dict[str, float]


class AttemptStart(NamedTuple):
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
    attempts: Iterable[FinishedAttempt],
    timeouts_at: Callable[[str], Timeouts],
    starts: dict[str, AttemptStart],
) -> list[Cut]:
    """Return the requests that were cut before their time was over.

    :param timeouts_at: returns the routes' times as they count at a gateway.
    """
    found = []
    for finished_attempt in attempts:
        if (
            finished_attempt.end.is_whole
            or finished_attempt.was_broken_off
            or not finished_attempt.was_taken
        ):
            continue
        route, begun_at = starts[finished_attempt.attempt]
        end = finished_attempt.end
        gateway = finished_attempt.sent.gateway
        time_s = min(DEADLINE_S, longest_timeout_s(timeouts_at(gateway), route, begun_at, end.at))
        lasted_s = end.at - begun_at
        if lasted_s < time_s:
            found.append(
                Cut(finished_attempt.attempt, gateway, route, end.status, lasted_s, time_s, end.at)
            )
    return found


def timeouts_in_force(
    written: Sequence[WrittenTimeouts], in_force: Mapping[int, float]
) -> Timeouts:
    """Return the routes' times by when they count at a gateway.

    They do once it has put them in force, and ``CONFIGURATION_S`` after they were written at the
    latest, unless it has gone on to a later version by then.

    :param in_force: when it put versions in force, on the monotonic clock.
    """
    found = []
    for version, at, times_s in written:
        latest = at + CONFIGURATION_S
        is_skipped = version not in in_force and any(
            later > version and since <= latest for later, since in in_force.items()
        )
        if not is_skipped:
            found.append((min(in_force.get(version, latest), latest), times_s))
    return found


def longest_timeout_s(timeouts: Timeouts, route: str, begin: float, end: float) -> float:
    """Return the longest time of a route that was in force in a span; endless for other routes."""
    longest, previous = 0.0, 0.0
    for at, times_s in timeouts:
        time_s = times_s.get(route, float("inf"))
        if at <= begin:
            previous = time_s
        elif at <= end:
            longest = max(longest, time_s)
    return max(longest, previous)
