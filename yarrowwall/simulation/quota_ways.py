"""Ways to keep a limit over many gateways.

What a message takes is left out, and counted; see :mod:`yarrowwall.simulation.quota_comparison`.
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.messages.codec import encode
from yarrowwall.messages.quotas import QuotaReply, QuotaStatus, TakeQuota, TenantLimit
from yarrowwall.messages.replicated import Member
from yarrowwall.quotas.credits import FREQUENT_SECONDS, PAIR
from yarrowwall.quotas.entitlement import LEASE_SECONDS
from yarrowwall.quotas.lender import Clock, Lender
from yarrowwall.quotas.order import LenderOrder
from yarrowwall.quotas.terms import CREDIT_SECONDS, QuotaTerms
from yarrowwall.quotas.window import SlidingWindow

#: The users' terms: 5 s, a tenth and 20 requests above the limit.
TERMS = QuotaTerms(5.0, 0.1, 20.0)
LENDERS = 5
ZONES = ("a", "b", "c")
#: Part of a limit that gateways keep for themselves where the rest is lent.
FLOOR_PART = 0.3
#: Bytes of a frame beside its message: its own header and those of TCP and IP.
FRAME_BYTES = 8 + 40


class Request(NamedTuple):
    """One request of a tenant at a gateway."""

    at_s: float
    tenant: int
    gateway: int


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
        is_frequent = request.at_s - self._asked_s.get(key, -FREQUENT_SECONDS) < FREQUENT_SECONDS
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
    most_at_once = PAIR


WAYS: tuple[type[Way], ...] = (
    Oracle,
    EvenShares,
    LentBatches,
    FloorAndBatches,
    FixedParts,
    FixedPartsInPairs,
)
