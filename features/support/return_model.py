"""Turns that are refused while there is no service, and come back as they are told. No I/O."""

import random
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.policy.retry_after import after_outage_s

#: Seconds that a turn waits for its answer, and the part of what is left of it that it waits
#: for a second sending.
DEADLINE_S = 5.0
HONOURED = 1.0 / 3.0
#: Times that a turn is sent from its start, and the pauses between them in seconds.
STARTS = 3
LEAST_PAUSE_S, MOST_PAUSE_S = 0.1, 0.4
TURNS = 2000

#: Returns Retry-After by the seconds that there has been no service, and a caller's name.
Advice = Callable[[float, str], float]


class Returned(NamedTuple):
    """What became of turns that came while there was no service.

    :ivar share: of those that found service before their tries were used up.
    :ivar late_s: from the return of service to theirs, on average.
    :ivar most_at_once: the largest part of them that came back within 0.1 s.
    """

    share: float
    late_s: float
    most_at_once: float


def as_long_again(lasted_s: float, caller: str) -> float:
    """Advise what was advised for age before."""
    return min(max(lasted_s, 0.15), 1.0)


def soon(lasted_s: float, caller: str) -> float:
    """Advise what was advised for a missing quorum before."""
    return 0.15


WAYS: dict[str, Advice] = {
    "half as long again": after_outage_s,
    "as long again": as_long_again,
    "soon": soon,
}


def play(advice: Advice, outage_s: float, seed: int = 1) -> Returned:
    """Let turns come at any moment of an outage."""
    rng = random.Random(seed)
    found = [_returned_s(advice, outage_s, rng, f"turn-{number}") for number in range(TURNS)]
    late = [at_s - outage_s for at_s in found if at_s is not None]
    slots = [int(late_s / 0.1) for late_s in late]
    most = max((slots.count(slot) for slot in set(slots)), default=0)
    return Returned(len(late) / TURNS, sum(late) / max(len(late), 1), most / TURNS)


def _returned_s(advice: Advice, outage_s: float, rng: random.Random, caller: str) -> float | None:
    """Return when a turn finds service; None if its tries are used up before."""
    at_s = rng.uniform(0.0, outage_s)
    for start in range(STARTS):
        again_s = min(advice(at_s, f"{caller}/{start}"), HONOURED * DEADLINE_S)
        if at_s >= outage_s:
            return at_s
        at_s += again_s
        if at_s >= outage_s:
            return at_s
        at_s += rng.uniform(LEAST_PAUSE_S, MOST_PAUSE_S)
    return None
