"""Detection of requests that were cut while only planned operations took place."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from features.soak.promises import FinishedAttempt

#: Deadline of each attempt in seconds.
DEADLINE_S = 4.0
#: Seconds after its acknowledgement within which a configuration must be in force everywhere.
CONFIGURATION_S = 3.0
#: Timeouts of routes in seconds, each with the time on the monotonic clock since when they apply.
Timeouts = list[tuple[float, dict[str, float]]]


class WrittenTimeouts(NamedTuple):
    """The timeouts of the routes in a version of the configuration.

    :param at: time at which the store acknowledged it, on the monotonic clock.
    """

    version: int
    at: float
    times_s: dict[str, float]


class AttemptStart(NamedTuple):
    """Route and start time of an attempt.

    :param at: time on the monotonic clock before its first byte was sent.
    :param deadline_s: seconds for which its client waits.
    """

    route: str
    at: float
    deadline_s: float = DEADLINE_S


class Cut(NamedTuple):
    """A request that ended early without a complete response.

    :param lasted_s: seconds from its start to its end.
    :param time_s: seconds before which it must not be ended.
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
        """Return the text of the violation."""
        return (
            f"LOST: {self.attempt} on {self.route} was cut at {self.gateway} after"
            f" {self.lasted_s:.3f} of {self.time_s:.3f} s, status {self.status}"
        )


def find_cuts(
    attempts: Iterable[FinishedAttempt],
    timeouts_at: Callable[[str, float], Timeouts],
    starts: dict[str, AttemptStart],
    admitted_at: Mapping[str, float],
) -> list[Cut]:
    """Return the requests that were cut before their timeout or deadline.

    :param timeouts_at: returns the timeouts in force at a gateway's process that ran at a time of
        the monotonic clock.
    :param admitted_at: when gateways read the attempts, on the monotonic clock. Versions that were
        replaced by then do not count: a gateway cannot tell that a request was sent before.
    """
    found = []
    for finished_attempt in attempts:
        if (
            finished_attempt.end.is_whole
            or finished_attempt.was_broken_off
            or not finished_attempt.was_taken
        ):
            continue
        route, begun_at, deadline_s = starts[finished_attempt.attempt]
        end = finished_attempt.end
        gateway = finished_attempt.sent.gateway
        timeouts = timeouts_at(gateway, end.at)
        read_at = admitted_at.get(finished_attempt.attempt, begun_at)
        time_s = min(deadline_s, longest_timeout_s(timeouts, route, read_at, end.at))
        lasted_s = end.at - begun_at
        if lasted_s < time_s:
            found.append(
                Cut(finished_attempt.attempt, gateway, route, end.status, lasted_s, time_s, end.at)
            )
    return found


def timeouts_in_force(
    written: Sequence[WrittenTimeouts], in_force: Mapping[int, float]
) -> Timeouts:
    """Return the timeouts of routes by when they apply at a gateway.

    They apply once the gateway has put their version in force, at the latest ``CONFIGURATION_S``
    after the acknowledgement, unless the gateway has put a later version in force by then. A
    process knows no version that was replaced before it read its first one.

    :param in_force: time on the monotonic clock at which the gateway's process put each version
        in force.
    """
    found = []
    first = min(in_force, default=0)
    for version, at, times_s in written:
        if version < first:
            continue
        latest = at + CONFIGURATION_S
        is_skipped = version not in in_force and any(
            later > version and since <= latest for later, since in in_force.items()
        )
        if not is_skipped:
            found.append((min(in_force.get(version, latest), latest), times_s))
    return found


def longest_timeout_s(timeouts: Timeouts, route: str, begin: float, end: float) -> float:
    """Return the longest timeout of a route in a period; infinity for unknown routes."""
    longest, previous = 0.0, 0.0
    for at, times_s in timeouts:
        time_s = times_s.get(route, float("inf"))
        if at <= begin:
            previous = time_s
        elif at <= end:
            longest = max(longest, time_s)
    return max(longest, previous)
