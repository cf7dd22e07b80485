"""The wall clock and the monotonic clock of a machine, read together."""

import time
from typing import NamedTuple


class Clock(NamedTuple):
    """Both clocks of a machine at one time.

    :param wall_s: the time of day, which may jump.
    :param steady_s: the monotonic clock, which restarts when the machine does.
    """

    wall_s: float
    steady_s: float

    def age_s(self, wall_s: float, steady_s: float) -> float:
        """Return a lower bound of the time that has passed since the clocks showed these values."""
        by_wall_s = max(0.0, self.wall_s - wall_s)
        if steady_s > self.steady_s:
            # The machine has restarted since, so only the time of day is comparable.
            return by_wall_s
        return min(by_wall_s, self.steady_s - steady_s)


def read_clock() -> Clock:
    """Return the machine's clocks."""
    return Clock(time.time(), time.monotonic())
