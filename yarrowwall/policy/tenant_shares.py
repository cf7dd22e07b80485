"""Weighted max-min fair shares of tenants in the recently admitted programs. No I/O."""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

#: Seconds for which an admission counts. Programs last a few seconds: older ones have ended and
#: should not hold back a tenant that had many of them.
WINDOW_SECONDS = 2.0
#: Weight of all tenants while none of them has an agreed rate.
DEFAULT_WEIGHT = 1.0


def fair_share_level(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> float:
    """Return the max-min fair share of a capacity per unit of weight.

    A demand below its weight times this level is met in full, and what it leaves is shared among
    the others. Infinite if the capacity covers all demands.
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
    """The tenant with the most recently admitted programs.

    :param share: its share of all recently admitted programs.
    """

    tenant: str
    share: float


class TenantShares:
    """Counts the recently admitted programs of each tenant."""

    def __init__(self) -> None:
        self._admissions: deque[tuple[float, str]] = deque()
        self._admitted: Counter[str] = Counter()
        self._weights: dict[str, float] = {}

    def note_admitted(self, tenant: str, weight: float, now_s: float) -> None:
        """Count an admitted program.

        :param weight: the tenant's agreed rate; 0 if it has none.
        """
        self._admissions.append((now_s, tenant))
        self._admitted[tenant] += 1
        if weight > 0.0:
            self._weights[tenant] = weight

    def drop_expired(self, now_s: float) -> None:
        """Remove the admissions that are older than the window."""
        while self._admissions and self._admissions[0][0] < now_s - WINDOW_SECONDS:
            _, tenant = self._admissions.popleft()
            self._decrement(tenant)

    def remove_admission(self, tenant: str) -> None:
        """Remove the newest admission of a tenant, whose program did not begin."""
        for index in range(len(self._admissions) - 1, -1, -1):
            if self._admissions[index][1] == tenant:
                del self._admissions[index]
                self._decrement(tenant)
                return

    def _decrement(self, tenant: str) -> None:
        self._admitted[tenant] -= 1
        if not self._admitted[tenant]:
            del self._admitted[tenant]
            self._weights.pop(tenant, None)

    def tenants_over_share(self, waiting: Mapping[str, int]) -> set[str]:
        """Return the tenants that exceed their share of the recently admitted programs.

        :param waiting: refused programs that may retry, by tenant.
        """
        names = self._admitted.keys() | waiting.keys()
        if len(names) < 2:
            return set()
        # Each tenant may send one more program at any time. Capacity that no tenant demands counts
        # towards no share.
        demands = {name: self._admitted[name] + waiting.get(name, 0) + 1.0 for name in names}
        weights = {name: self._weights.get(name, self._default_weight) for name in names}
        level = fair_share_level(demands, weights, float(self._admitted.total()))
        return {name for name, count in self._admitted.items() if count > weights[name] * level}

    @property
    def _default_weight(self) -> float:
        """Return the weight of tenants without an agreed rate or recent admissions."""
        known = self._weights.values()
        return sum(known) / len(known) if known else DEFAULT_WEIGHT

    def admitted_since(self, after_s: float) -> int:
        """Return how many programs were admitted after a time within the window."""
        count = 0
        for at_s, _ in reversed(self._admissions):
            if at_s < after_s:
                break
            count += 1
        return count

    @property
    def holder(self) -> Holder:
        """Return the tenant with the most admissions; its name is empty without any."""
        most = self._admitted.most_common(1)
        if not most:
            return Holder("", 0.0)
        tenant, count = most[0]
        return Holder(tenant, count / self._admitted.total())
