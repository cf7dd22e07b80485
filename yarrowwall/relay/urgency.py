"""How urgent a turn is for the engines: by the time that its program has left. No I/O."""

from bisect import bisect
from collections.abc import Sequence

from yarrowwall.relay.model import Attempt

#: Seconds left to a program at which the next less urgent rank begins.
RANK_SECONDS: Sequence[float] = (0.4, 0.7, 1.0, 1.4, 2.0, 2.8, 4.0, 6.0)
#: Rank of a turn whose program is past its time; it must not hold up one that is not.
LATE_RANK = len(RANK_SECONDS) + 1


def turn_rank(attempt: Attempt, priority: int, now: float) -> int:
    """Return the rank of a request at an engine, 0 is the most urgent.

    :param priority: rank of the request's route, used if the program's time is untold.
    """
    if attempt.program is None or attempt.program.finish_at is None:
        return min(max(priority, 0), LATE_RANK)
    left = attempt.program.finish_at - now
    if left < 0.0:
        return LATE_RANK
    return bisect(RANK_SECONDS, left)
