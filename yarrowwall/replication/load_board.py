"""How many requests each server works on, counted over all gateways. No I/O.

Gateways tell one replica what they have under way and get back the sum of all
others. The sums are hints for the choice of servers: they are never stored, and
nothing depends on them but speed.
"""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

#: Seconds after which a gateway that has fallen silent counts for nothing.
FORGET_SECONDS = 1.0
#: Least seconds between two reports of a gateway.
LEAST_INTERVAL_SECONDS = 0.1
#: Seconds of interval for each reporting gateway, which bounds the reports a replica gets:
#: 200 a second, about a twentieth of a core there.
INTERVAL_PER_REPORTER_SECONDS = 0.005
#: Most seconds between two reports of a gateway: less than the time for which they count.
MOST_INTERVAL_SECONDS = 0.6


class Report(NamedTuple):
    """What a gateway had under way."""

    running: Mapping[str, int]
    at_s: float


class LoadBoard:
    """The newest report of each gateway."""

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}

    def take(self, node_id: str, running: Mapping[str, int], now_s: float) -> None:
        """Take in a gateway's report, and forget those who no longer report.

        :param running: requests under way by server id.
        """
        self._reports[node_id] = Report(running, now_s)
        since_s = now_s - FORGET_SECONDS
        silent = [node for node, report in self._reports.items() if report.at_s < since_s]
        for node in silent:
            del self._reports[node]

    def others(self, node_id: str) -> Counter[str]:
        """Return the requests under way by server id, without those of one gateway."""
        total: Counter[str] = Counter()
        for node, report in self._reports.items():
            if node != node_id:
                total.update(report.running)
        return total

    @property
    def interval_s(self) -> float:
        """Return the seconds after which a gateway should report again."""
        wanted_s = len(self._reports) * INTERVAL_PER_REPORTER_SECONDS
        return min(max(LEAST_INTERVAL_SECONDS, wanted_s), MOST_INTERVAL_SECONDS)
