"""How urgent a turn is for the engines: by the time that its program has left. No I/O."""

from bisect import bisect
from collections.abc import Sequence

from yarrowwall.model import Attempt

#: Seconds left to a program at which the next less urgent rank begins.
RANK_SECONDS: Sequence[float] = (0.4, 0.7, 1.0, 1.4, 2.0, 2.8, 4.0, 6.0)
#: Rank of a turn whose program is past its time. It goes before programs that have long
#: left, which can still wait, and behind all that would be late by waiting.
LATE_RANK = 6
#: Part of the remaining time that counts on the most urgent routes.
MOST_URGENT_FACTOR = 0.7
_LAST_RANK = 9


def turn_rank(attempt: Attempt, now: float) -> int:
    """Return the rank of a request at an engine, 0 is the most urgent.

    The priority of tenant or route alone decides if the program's time is untold.
    """
    if attempt.program is None or attempt.program.finish_at is None:
        return min(max(attempt.priority, 0), _LAST_RANK)
    left = attempt.program.finish_at - now
    if left < 0.0:
        return LATE_RANK
    factor = MOST_URGENT_FACTOR if attempt.priority == 0 else 1.0
    return bisect(RANK_SECONDS, left * factor)
