"""Ways to keep a limit over many gateways, side by side on the same requests.

Requests are asked for one after the other in the order of their time; what a message takes is
left out, and counted. It tells how much of a limit each way can use and what it costs, not how
it behaves under races: for that see the random schedules in ``features/quota_proof.feature``.
"""

import random
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from yarrowwall.messages.codec import encode
from yarrowwall.messages.quotas import QuotaReply, QuotaStatus, TakeQuota, TenantLimit
from yarrowwall.messages.replicated import Member
from yarrowwall.quotas.entitlement import LEASE_SECONDS
from yarrowwall.quotas.lender import Clock, Lender
from yarrowwall.quotas.order import LenderOrder
from yarrowwall.quotas.terms import CREDIT_SECONDS, QuotaTerms
from yarrowwall.quotas.window import SlidingWindow

#: The users' terms: 5 s, a tenth and 20 requests above the limit.
TERMS = QuotaTerms(5.0, 0.1, 20.0)
TENANTS = 75
LENDERS = 5
ZONES = ("a", "b", "c")
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
#: Part of a limit that gateways keep for themselves where the rest is lent.
FLOOR_PART = 0.3
#: Seconds within which another request of a tenant is likely to follow at a gateway.
BATCH_SECONDS = 0.3
#: Bytes of a frame beside its message: its own header and those of TCP and IP.
FRAME_BYTES = 8 + 40


class Request(NamedTuple):
    """One request of a tenant at a gateway."""

    at_s: float
    tenant: int
    gateway: int


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


class Way(ABC):
    """A way to keep limits.

    :ivar messages: questions and answers so far.
    :ivar bytes: what they carried.
    """

    name = ""

    def __init__(self, gateways: int) -> None:
        self.gateways = gateways
        self.messages = 0
        self.bytes = 0

    @abstractmethod
    def may_send(self, request: Request, limit: TenantLimit, is_cut: bool) -> bool:
        """Return whether a request may be sent.

        :param is_cut: whether its gateway reaches no lender.
        """

    def lose_lender(self, now_s: float) -> None:
        """Let one lender die for good. A way without lenders has nothing to lose."""
        return

    def restart(self, now_s: float) -> None:
        """Let all processes start anew. A way that remembers goes on as before."""
        return

    def count_exchange(self, request: TakeQuota, reply: QuotaReply) -> None:
        """Count a question and its answer."""
        self.messages += 2
        self.bytes += len(encode(request)) + len(encode(reply)) + 2 * FRAME_BYTES


def _question(tenant: int, limit: TenantLimit, count: int) -> TakeQuota:
    return TakeQuota(0, "disk-0123456789", f"tenant-{tenant}", limit, count, 0.0)


class Oracle(Way):
    """One counter that sees all requests at once: what any way could reach at most."""

    name = "oracle"

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._windows: dict[int, SlidingWindow] = defaultdict(lambda: SlidingWindow(TERMS.window_s))

    def may_send(self, request: Request, limit: TenantLimit, is_cut: bool) -> bool:
        """Count."""
        window = self._windows[request.tenant]
        if window.total(request.at_s) + 1 > TERMS.most(limit):
            return False
        window.add(1, request.at_s)
        return True


class EvenShares(Way):
    """Each gateway counts against its own even part of the limit; no messages."""

    name = "even shares"

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._windows: dict[tuple[int, int], SlidingWindow] = defaultdict(
            lambda: SlidingWindow(TERMS.window_s)
        )
        self._blocked_until_s = 0.0

    def may_send(self, request: Request, limit: TenantLimit, is_cut: bool) -> bool:
        """Count against the own part."""
        window = self._windows[request.tenant, request.gateway]
        is_full = window.total(request.at_s) + 1 > TERMS.share(
            limit, self.gateways, request.gateway
        )
        if is_full or request.at_s < self._blocked_until_s:
            return False
        window.add(1, request.at_s)
        return True

    def restart(self, now_s: float) -> None:
        """Count the window as spent: nothing is known of it."""
        self._blocked_until_s = now_s + TERMS.window_s


class _Batch(NamedTuple):
    """Leave that a gateway holds."""

    requests: int
    until_s: float


class LentBatches(Way):
    """One lender a tenant lends batches by demand, which end on the borrower's clock."""

    name = "one lender, batches"
    floor_part = 0.0

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._windows: dict[int, SlidingWindow] = defaultdict(lambda: SlidingWindow(TERMS.lent_s))
        self._own: dict[tuple[int, int], SlidingWindow] = defaultdict(
            lambda: SlidingWindow(TERMS.window_s)
        )
        self._held: dict[tuple[int, int], _Batch] = {}
        self._asked_s: dict[tuple[int, int], float] = {}
        self._blocked: Callable[[int, float], bool] = lambda tenant, now_s: False

    def may_send(self, request: Request, limit: TenantLimit, is_cut: bool) -> bool:
        """Use the own part, then leave that is held, then ask for a batch."""
        key = (request.tenant, request.gateway)
        own = self._own[key]
        floor = int(self.floor_part * TERMS.most(limit) / self.gateways)
        if own.total(request.at_s) + 1 <= floor:
            own.add(1, request.at_s)
            return True
        batch = self._held.pop(key, None)
        if batch is None or batch.until_s <= request.at_s:
            batch = None if is_cut else self._borrow(request, limit)
        if batch is None:
            return False
        if batch.requests > 1:
            self._held[key] = batch._replace(requests=batch.requests - 1)
        return True

    def _borrow(self, request: Request, limit: TenantLimit) -> _Batch | None:
        key = (request.tenant, request.gateway)
        since_s = request.at_s - self._asked_s.get(key, request.at_s - CREDIT_SECONDS)
        self._asked_s[key] = request.at_s
        wanted = 1 if since_s >= CREDIT_SECONDS else 2
        window = self._windows[request.tenant]
        most = (1.0 - self.floor_part) * TERMS.most(limit)
        room = int(most - window.total(request.at_s))
        count = 0 if self._blocked(request.tenant, request.at_s) else max(0, min(wanted, room))
        status = QuotaStatus.GRANTED if count else QuotaStatus.NO_ROOM
        self.count_exchange(
            _question(request.tenant, limit, wanted), QuotaReply(status, count, 1, 0, 0.0)
        )
        if not count:
            return None
        window.add(count, request.at_s)
        return _Batch(count, request.at_s + CREDIT_SECONDS)

    def lose_lender(self, now_s: float) -> None:
        """Let the next one wait until its lease and all that was lent are over."""
        until_s = now_s + LEASE_SECONDS + TERMS.lent_s
        self._blocked = lambda tenant, at_s: tenant % LENDERS == 0 and at_s < until_s

    def restart(self, now_s: float) -> None:
        """Count the window as spent: the lender forgot."""
        until_s = now_s + TERMS.lent_s
        self._blocked = lambda tenant, at_s: at_s < until_s


class FloorAndBatches(LentBatches):
    """A small part for each gateway, the rest lent in batches by one lender."""

    name = "floor and batches"
    floor_part = FLOOR_PART


class FixedParts(Way):
    """Five lenders lend a fifth each, one request at a time."""

    name = "five fixed parts"
    most_at_once = 1

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._members = [
            Member(f"s{number}", f"s{number}", "", ZONES[number % len(ZONES)])
            for number in range(LENDERS)
        ]
        self._lenders = {
            member.disk_id: Lender(TERMS, LENDERS, lambda tenant, now_s, rank=rank: rank)  # type: ignore[misc]
            for rank, member in enumerate(self._members)
        }
        self._orders = [LenderOrder(ZONES[number % len(ZONES)]) for number in range(gateways)]
        self._lost = ""
        self._held: dict[tuple[int, int], _Batch] = {}
        self._asked_s: dict[tuple[int, int], float] = {}

    def may_send(self, request: Request, limit: TenantLimit, is_cut: bool) -> bool:
        """Use leave that is held, or ask one lender after the other."""
        key = (request.tenant, request.gateway)
        held = self._held.pop(key, None)
        if held is not None and held.until_s > request.at_s:
            return True
        if is_cut:
            return False
        is_frequent = request.at_s - self._asked_s.get(key, -BATCH_SECONDS) < BATCH_SECONDS
        self._asked_s[key] = request.at_s
        order = self._orders[request.gateway]
        tenant = f"tenant-{request.tenant}"
        question = _question(request.tenant, limit, self.most_at_once if is_frequent else 1)
        for member in order.candidates(self._members, tenant, request.at_s):
            if member.disk_id == self._lost:
                self.messages += 1
                order.note_silent(member, request.at_s)
                continue
            clock = Clock(request.at_s, request.at_s)
            reply = self._lenders[member.disk_id].take(question, clock).reply
            self.count_exchange(question, reply)
            if reply.status is QuotaStatus.GRANTED:
                if reply.granted > 1:
                    self._held[key] = _Batch(1, request.at_s + CREDIT_SECONDS)
                return True
            order.note_exhausted(member, tenant, reply.retry_after_s, request.at_s)
        return False

    def lose_lender(self, now_s: float) -> None:
        """Lose one of five."""
        self._lost = self._members[0].disk_id


class FixedPartsInPairs(FixedParts):
    """The same, two at a time where a tenant's requests follow one another: the product's own."""

    name = "five parts, pairs"
    most_at_once = 2


WAYS: tuple[type[Way], ...] = (
    Oracle,
    EvenShares,
    LentBatches,
    FloorAndBatches,
    FixedParts,
    FixedPartsInPairs,
)


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
