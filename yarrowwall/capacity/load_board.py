"""Requests in progress at each server, added up over all gateways. No I/O.

Gateways report their loads to one replica and receive the sums over all other
gateways. The sums are hints for the choice of servers: they are never stored, and
only speed depends on them.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from yarrowwall.messages.capacity import ServiceUnderWay
from yarrowwall.policy.capacity_forecast import ReportedPrograms

#: Seconds after which the last report of a gateway is dropped.
REPORT_EXPIRY_SECONDS = 1.0
#: Minimum seconds between two reports of a gateway.
MIN_INTERVAL_SECONDS = 0.1
#: Seconds added to the interval for each reporting gateway. This limits a replica to 200 reports
#: per second, which take about a twentieth of a core.
INTERVAL_PER_REPORTER_SECONDS = 0.005
#: Maximum seconds between two reports of a gateway, so that none expires before the next.
MAX_INTERVAL_SECONDS = 0.6


class Report(NamedTuple):
    """The load that a gateway reported.

    :param running: requests in progress by server.
    :param services: active programs at services with engines.
    """

    running: Mapping[str, int]
    services: Sequence[ServiceUnderWay]
    at_s: float


class LoadBoard:
    """The newest report of each gateway, and the sums over them."""

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
        """Record a gateway's report, and drop expired ones.

        :param running: requests in progress by server id.
        :param services: its active programs at services with engines.
        """
        self._drop(node_id)
        # Reports are ordered by age, oldest first.
        self._reports[node_id] = Report(running, services, now_s)
        for server, count in running.items():
            self._total[server] = self._total.get(server, 0) + count
        for programs in services:
            self._between[programs.service] += programs.between
            self._tokens[programs.service] += programs.tokens
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
        for programs in report.services:
            self._between[programs.service] -= programs.between
            self._tokens[programs.service] -= programs.tokens

    def reported_programs(self, service: str) -> ReportedPrograms:
        """Return the active programs at a service, as reported by all gateways."""
        return ReportedPrograms(self._between[service], self._tokens[service])

    @property
    def reporters(self) -> int:
        """Return the number of reporting gateways."""
        return len(self._reports)

    def loads_of_others(self, node_id: str) -> Counter[str]:
        """Return the requests in progress by server id, without those of one gateway."""
        report = self._reports.get(node_id)
        own = report.running if report is not None else {}
        others: Counter[str] = Counter()
        for server, count in self._total.items():
            left = count - own.get(server, 0)
            if left > 0:
                others[server] = left
        return others

    @property
    def interval_s(self) -> float:
        """Return the seconds after which a gateway should send its next report."""
        wanted_s = len(self._reports) * INTERVAL_PER_REPORTER_SECONDS
        return min(max(MIN_INTERVAL_SECONDS, wanted_s), MAX_INTERVAL_SECONDS)
