"""Priority of turns at the engines, by the time that their programs have left. No I/O."""

from bisect import bisect
from collections.abc import Sequence

from yarrowwall.model import Attempt

#: Seconds left to a program from which the next, less urgent rank applies.
RANK_SECONDS: Sequence[float] = (0.4, 0.7, 1.0, 1.4, 2.0, 2.8, 4.0, 6.0)
#: Rank of a turn whose program has passed its deadline. It comes after programs that waiting would
#: make late, and before those with much time left.
LATE_RANK = 6
#: Factor on the remaining time for routes with the most urgent priority.
MOST_URGENT_FACTOR = 0.7
_LAST_RANK = 9


def turn_rank(attempt: Attempt, now: float) -> int:
    """Return the rank of a request at an engine, where 0 is the most urgent.

    Without a deadline of the program, it is the priority of the tenant or route.
    """
    if attempt.program is None or attempt.program.finish_at is None:
        return min(max(attempt.priority, 0), _LAST_RANK)
    left = attempt.program.finish_at - now
    if left < 0.0:
        return LATE_RANK
    factor = MOST_URGENT_FACTOR if attempt.priority == 0 else 1.0
    return bisect(RANK_SECONDS, left * factor)
