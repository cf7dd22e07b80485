"""Ways to keep a limit over many gateways, side by side on the same requests.

Requests are asked for one after the other in the order of their time. It tells how much of a
limit each way can use and what it costs, not how it behaves under races: for that see the random
schedules in ``features/quota_proof.feature``.
"""

import random
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from yarrowwall.messages.quotas import TenantLimit
from yarrowwall.simulation.quota_ways import TERMS, WAYS, Request, Way

TENANTS = 75
#: Requests a second of all tenants together for each gateway, as 57 of them get.
REQUESTS_PER_GATEWAY = 16.0
#: A tenant's limit against what it usually sends.
LIMIT_FACTOR = 1.6
#: Requests of a program, and seconds between two of them.
PROGRAM_REQUESTS = (7, 7, 25)
PAUSE_SECONDS = 0.1
CLIENTS_PER_GATEWAY = 2.7
DURATION_SECONDS = 30.0
FAULT_AT_SECONDS = 10.0
#: Seconds of a cut, and gateways of 57 that it strikes.
CUT_SECONDS = 9.0
CUT_PART = 20.0 / 57.0
HOT_FACTOR = 7.5


class Scenario(NamedTuple):
    """What happens.

    :param hot: whether the first tenant sends many times its usual from the fault on.
    :param is_cut: whether a part of the gateways reaches no lender for some seconds.
    :param is_killed: whether all processes are killed once.
    :param loses_lender: whether one lender dies for good.
    :param limit_factor: what limits are multiplied with from the fault on.
    """

    name: str
    hot: bool = False
    is_cut: bool = False
    is_killed: bool = False
    loses_lender: bool = False
    limit_factor: float = 1.0


SCENARIOS = (
    Scenario("calm"),
    Scenario("hot tenant", hot=True),
    Scenario("gateways cut off", is_cut=True),
    Scenario("all killed", is_killed=True),
    Scenario("lender lost", loses_lender=True),
    Scenario("limits halved", limit_factor=0.5),
)


class Workload:
    """Requests of tenants of unequal size, whose clients stay with a gateway."""

    def __init__(self, gateways: int, seed: int, hot: bool) -> None:
        rng = random.Random(seed)
        weights = [1.0 / (rank + 3.0) for rank in range(TENANTS)]
        total = REQUESTS_PER_GATEWAY * gateways
        self.rates = [total * weight / sum(weights) for weight in weights]
        self.gateways = gateways
        clients: dict[int, list[int]] = defaultdict(list)
        for number in range(max(TENANTS, round(CLIENTS_PER_GATEWAY * gateways))):
            tenant = number if number < TENANTS else rng.choices(range(TENANTS), weights)[0]
            clients[tenant].append(rng.randrange(gateways))
        self.requests: list[Request] = []
        for tenant, rate in enumerate(self.rates):
            self._add_programs(rng, tenant, rate, clients[tenant], hot and tenant == 0)
        self.requests.sort()

    def _add_programs(
        self, rng: random.Random, tenant: int, rate: float, gateways: Sequence[int], hot: bool
    ) -> None:
        mean_size = sum(PROGRAM_REQUESTS) / len(PROGRAM_REQUESTS)
        at_s = 0.0
        while at_s < DURATION_SECONDS:
            factor = HOT_FACTOR if hot and at_s > FAULT_AT_SECONDS else 1.0
            at_s += rng.expovariate(rate * factor / mean_size)
            gateway = rng.choice(gateways)
            for turn in range(rng.choice(PROGRAM_REQUESTS)):
                moment_s = at_s + turn * PAUSE_SECONDS * rng.uniform(0.5, 1.5)
                if moment_s < DURATION_SECONDS:
                    self.requests.append(Request(moment_s, tenant, gateway))

    def limit(self, tenant: int, factor: float) -> TenantLimit:
        """Return a tenant's limit."""
        rate = self.rates[tenant] * LIMIT_FACTOR * factor
        return TenantLimit(2 if factor != 1.0 else 1, rate, rate)


class Figures(NamedTuple):
    """What a way came to in a scenario.

    :param refused: requests refused, as part of all.
    :param refused_in_vain: the same, beyond what a counter that sees all had refused.
    :param overshoot: requests by which the worst window was beyond its limit.
    """

    way: str
    scenario: str
    gateways: int
    refused: float
    refused_in_vain: float
    overshoot: float
    messages_per_request: float
    bytes_per_gateway_s: float


def play(way: Way, scenario: Scenario, workload: Workload) -> list[Request]:
    """Return the requests that were sent."""
    rng = random.Random(1)
    cut = {number for number in range(workload.gateways) if rng.random() < CUT_PART}
    sent: list[Request] = []
    has_begun = False
    for request in workload.requests:
        if not has_begun and request.at_s > FAULT_AT_SECONDS:
            has_begun = True
            if scenario.is_killed:
                way.restart(request.at_s)
            if scenario.loses_lender:
                way.lose_lender(request.at_s)
        in_cut = FAULT_AT_SECONDS < request.at_s < FAULT_AT_SECONDS + CUT_SECONDS
        is_cut = scenario.is_cut and in_cut and request.gateway in cut
        factor = scenario.limit_factor if has_begun else 1.0
        if way.may_send(request, workload.limit(request.tenant, factor), is_cut):
            sent.append(request)
    return sent


def overshoot(sent: Sequence[Request], scenario: Scenario, workload: Workload) -> float:
    """Return by how many requests the worst window was beyond its limit."""
    by_tenant: dict[int, list[float]] = defaultdict(list)
    for request in sent:
        by_tenant[request.tenant].append(request.at_s)
    worst = 0.0
    for tenant, times in by_tenant.items():
        for last, at_s in enumerate(times):
            first = bisect_left(times, at_s - TERMS.window_s)
            is_late = times[first] > FAULT_AT_SECONDS + TERMS.lent_s
            limit = workload.limit(tenant, scenario.limit_factor if is_late else 1.0)
            worst = max(worst, last - first + 1 - TERMS.most(limit))
    return worst


def compare(gateways: int, seed: int) -> list[Figures]:
    """Return the figures of all ways in all scenarios on the same requests."""
    found: list[Figures] = []
    for scenario in SCENARIOS:
        workload = Workload(gateways, seed, scenario.hot)
        asked = len(workload.requests)
        best = 0
        for kind in WAYS:
            way = kind(gateways)
            sent = play(way, scenario, workload)
            best = best or len(sent)
            found.append(
                Figures(
                    kind.name,
                    scenario.name,
                    gateways,
                    1.0 - len(sent) / asked,
                    (best - len(sent)) / asked,
                    overshoot(sent, scenario, workload),
                    way.messages / asked,
                    way.bytes / gateways / DURATION_SECONDS,
                )
            )
    return found
