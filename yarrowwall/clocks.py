"""The two clocks of a machine, read together."""

import time
from typing import NamedTuple


class Clock(NamedTuple):
    """The two clocks of a machine at one moment.

    :param wall_s: the time of day, which may jump.
    :param steady_s: the monotonic clock, which begins anew when the machine does.
    """

    wall_s: float
    steady_s: float

    def age_s(self, wall_s: float, steady_s: float) -> float:
        """Return the least time that may have passed since the clocks showed something else."""
        by_wall_s = max(0.0, self.wall_s - wall_s)
        if steady_s > self.steady_s:
            # The machine has started anew since: only the time of day goes on.
            return by_wall_s
        return min(by_wall_s, self.steady_s - steady_s)


def read_clock() -> Clock:
    """Return the machine's clocks."""
    return Clock(time.time(), time.monotonic())
