"""How many requests each server works on, counted over all gateways. No I/O.

Gateways tell one replica what they have under way and get back the sum of all
others. The sums are hints for the choice of servers: they are never stored, and
nothing depends on them but speed.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from yarrowwall.messages.capacity import ServiceUnderWay
from yarrowwall.policy.capacity_forecast import ReportedPrograms

#: Seconds after which a gateway that has fallen silent counts for nothing.
REPORT_EXPIRY_SECONDS = 1.0
#: Least seconds between two reports of a gateway.
MIN_INTERVAL_SECONDS = 0.1
#: Seconds of interval for each reporting gateway, which bounds the reports a replica gets:
#: 200 a second, about a twentieth of a core there.
INTERVAL_PER_REPORTER_SECONDS = 0.005
#: Most seconds between two reports of a gateway: less than the time for which they count.
MAX_INTERVAL_SECONDS = 0.6


class Report(NamedTuple):
    """What a gateway had under way."""

    running: Mapping[str, int]
    services: Sequence[ServiceUnderWay]
    at_s: float


class LoadBoard:
    """The newest report of each gateway, and their sum."""

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}
        self._total: dict[str, int] = {}
        self._between: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()

    def record_report(
        self,
        node_id: str,
        running: Mapping[str, int],
        now_s: float,
        services: Sequence[ServiceUnderWay] = (),
    ) -> None:
        """Take in a gateway's report, and forget those who no longer report.

        :param running: requests under way by server id.
        :param services: its programs at services with engines.
        """
        self._drop(node_id)
        # The newest stand last, so those who fell silent are found first.
        self._reports[node_id] = Report(running, services, now_s)
        for server, count in running.items():
            self._total[server] = self._total.get(server, 0) + count
        for told in services:
            self._between[told.service] += told.between
            self._tokens[told.service] += told.tokens
        since_s = now_s - REPORT_EXPIRY_SECONDS
        while (oldest := next(iter(self._reports))) and self._reports[oldest].at_s < since_s:
            self._drop(oldest)

    def _drop(self, node_id: str) -> None:
        report = self._reports.pop(node_id, None)
        if report is None:
            return
        for server, count in report.running.items():
            left = self._total.get(server, 0) - count
            if left:
                self._total[server] = left
            else:
                self._total.pop(server, None)
        for told in report.services:
            self._between[told.service] -= told.between
            self._tokens[told.service] -= told.tokens

    def reported_programs(self, service: str) -> ReportedPrograms:
        """Return what all gateways told of their programs at a service."""
        return ReportedPrograms(self._between[service], self._tokens[service])

    @property
    def reporters(self) -> int:
        """Return how many gateways report."""
        return len(self._reports)

    def loads_of_others(self, node_id: str) -> Counter[str]:
        """Return the requests under way by server id, without those of one gateway."""
        report = self._reports.get(node_id)
        own = report.running if report is not None else {}
        found: Counter[str] = Counter()
        for server, count in self._total.items():
            left = count - own.get(server, 0)
            if left > 0:
                found[server] = left
        return found

    @property
    def interval_s(self) -> float:
        """Return the seconds after which a gateway should report again."""
        wanted_s = len(self._reports) * INTERVAL_PER_REPORTER_SECONDS
        return min(max(MIN_INTERVAL_SECONDS, wanted_s), MAX_INTERVAL_SECONDS)
