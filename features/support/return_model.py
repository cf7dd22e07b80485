"""Model of turns that are refused during an outage and retry after ``Retry-After``. No I/O."""

import random
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.policy.retry_after import after_outage_s

#: Deadline of a turn in seconds, and the share of it that a caller waits at most before a retry.
DEADLINE_S = 5.0
MAX_WAIT_SHARE = 1.0 / 3.0
#: Number of times that a turn is sent, and limits of the pauses in between, in seconds.
SENDS = 3
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 0.4
TURNS = 2000

#: Returns Retry-After, given the seconds that the outage has lasted and a caller's name.
Rule = Callable[[float, str], float]


class Result(NamedTuple):
    """The outcome of the turns that arrived during an outage.

    :ivar share: share of turns that were served before their tries were used up.
    :ivar late_s: mean seconds from the end of the outage to their retry.
    :ivar most_at_once: largest share of all turns that retried within the same 0.1 s.
    """

    share: float
    late_s: float
    most_at_once: float


def as_long_again(lasted_s: float, caller: str) -> float:
    """Return the wait by an earlier rule: as long as the outage has lasted."""
    return min(max(lasted_s, 0.15), 1.0)


def soon(lasted_s: float, caller: str) -> float:
    """Return the wait by an earlier rule: a constant short one."""
    return 0.15


RULES: dict[str, Rule] = {
    "half as long again": after_outage_s,
    "as long again": as_long_again,
    "soon": soon,
}


def simulate(rule: Rule, outage_s: float, seed: int = 1) -> Result:
    """Simulate turns that arrive at random times during an outage."""
    rng = random.Random(seed)
    served = [_served_s(rule, outage_s, rng, f"turn-{number}") for number in range(TURNS)]
    late = [at_s - outage_s for at_s in served if at_s is not None]
    intervals = [int(late_s / 0.1) for late_s in late]
    most = max((intervals.count(interval) for interval in set(intervals)), default=0)
    return Result(len(late) / TURNS, sum(late) / max(len(late), 1), most / TURNS)


def _served_s(rule: Rule, outage_s: float, rng: random.Random, caller: str) -> float | None:
    """Return when a turn is served; None if its tries are used up before."""
    at_s = rng.uniform(0.0, outage_s)
    for send in range(SENDS):
        wait_s = min(rule(at_s, f"{caller}/{send}"), MAX_WAIT_SHARE * DEADLINE_S)
        if at_s >= outage_s:
            return at_s
        at_s += wait_s
        if at_s >= outage_s:
            return at_s
        at_s += rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return None
