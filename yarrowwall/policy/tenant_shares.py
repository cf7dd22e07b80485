"""Shares of tenants in what is scarce: weighted max-min over programs admitted lately. No I/O."""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

#: Seconds for which an admission counts. Programs last a few seconds; what was admitted before
#: has ended, and a tenant that was hot is no longer held back.
WINDOW_SECONDS = 2.0
#: Weight of all tenants if none has an agreed rate.
DEFAULT_WEIGHT = 1.0


def water_level(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> float:
    """Return how much each unit of weight gets at most, so that all of a capacity is given out.

    Whoever demands less than its weight times the level gets what it demands; what it leaves is
    shared among the others. Infinite if the capacity covers all demands.
    """
    left = capacity
    weight = sum(weights[name] for name in demands)
    for name in sorted(demands, key=lambda name: demands[name] / weights[name]):
        if demands[name] * weight > left * weights[name]:
            return left / weight
        left -= demands[name]
        weight -= weights[name]
    return float("inf")


class Holder(NamedTuple):
    """The tenant with most programs admitted lately, and its part of them."""

    tenant: str
    share: float


class TenantShares:
    """The programs admitted in the last seconds, by tenant."""

    def __init__(self) -> None:
        self._admissions: deque[tuple[float, str]] = deque()
        self._admitted: Counter[str] = Counter()
        self._weights: dict[str, float] = {}

    def note_admitted(self, tenant: str, weight: float, now_s: float) -> None:
        """Count a program.

        :param weight: the tenant's agreed rate; 0 without one.
        """
        self._admissions.append((now_s, tenant))
        self._admitted[tenant] += 1
        if weight > 0.0:
            self._weights[tenant] = weight

    def forget_past(self, now_s: float) -> None:
        """Count no more what was admitted long ago."""
        while self._admissions and self._admissions[0][0] < now_s - WINDOW_SECONDS:
            _, tenant = self._admissions.popleft()
            self._count_less(tenant)

    def remove_admission(self, tenant: str) -> None:
        """Count one program less, which was admitted and did not begin."""
        for index in range(len(self._admissions) - 1, -1, -1):
            if self._admissions[index][1] == tenant:
                del self._admissions[index]
                self._count_less(tenant)
                return

    def _count_less(self, tenant: str) -> None:
        self._admitted[tenant] -= 1
        if not self._admitted[tenant]:
            del self._admitted[tenant]
            self._weights.pop(tenant, None)

    def tenants_over(self, waiting: Mapping[str, int]) -> set[str]:
        """Return the tenants with more than their share of the programs admitted lately.

        :param waiting: programs that were refused and may come back, by tenant.
        """
        names = self._admitted.keys() | waiting.keys()
        if len(names) < 2:
            return set()
        # Each tenant may send one more any moment; what nobody else asks for is no one's share.
        demands = {name: self._admitted[name] + waiting.get(name, 0) + 1.0 for name in names}
        weights = {name: self._weights.get(name, self._usual_weight) for name in names}
        level = water_level(demands, weights, float(self._admitted.total()))
        return {name for name, count in self._admitted.items() if count > weights[name] * level}

    @property
    def _usual_weight(self) -> float:
        """Return the weight of tenants without an agreed rate, or not admitted lately."""
        known = self._weights.values()
        return sum(known) / len(known) if known else DEFAULT_WEIGHT

    def since(self, after_s: float) -> int:
        """Return how many programs were admitted after a moment of the window."""
        count = 0
        for at_s, _ in reversed(self._admissions):
            if at_s < after_s:
                break
            count += 1
        return count

    @property
    def holder(self) -> Holder:
        """Return who was admitted most."""
        most = self._admitted.most_common(1)
        if not most:
            return Holder("", 0.0)
        tenant, count = most[0]
        return Holder(tenant, count / self._admitted.total())
