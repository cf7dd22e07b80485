"""Numbers of requests that a tenant's limit allows. No I/O."""

import math
from typing import NamedTuple

from yarrowwall.messages.quotas import TenantLimit

#: Seconds for which a permit is valid, from the time it was requested. Most are used at once; this
#: limits how long an issuer has to count them beyond the window.
PERMIT_SECONDS = 0.5
#: Seconds that a sent request may take to arrive at its server. This is many times the latency
#: between zones (1.4 ms), to allow for congested links.
DELIVERY_SECONDS = 0.2
#: Largest relative drift between the clock of an issuer and the clock that measures the window. A
#: quartz clock drifts by less than 0.001.
CLOCK_DRIFT = 0.01


class QuotaRules(NamedTuple):
    """How limits are measured, the same for all tenants.

    :param window_s: Length in seconds of the sliding window that a limit applies to.
    :param overage: Fraction of the limit by which all gateways together may exceed it.
    :param slack: Number of requests by which they may exceed it in addition.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    @property
    def counted_s(self) -> float:
        """Return the seconds for which a permit counts after it was issued."""
        return (self.window_s + PERMIT_SECONDS + DELIVERY_SECONDS) * (1.0 + CLOCK_DRIFT)

    def agreed_requests(self, limit: TenantLimit) -> float:
        """Return the requests per window agreed with the tenant, without any tolerance."""
        return limit.rate_per_s * self.window_s + limit.burst

    def max_requests(self, limit: TenantLimit) -> float:
        """Return the largest number of requests per window that keeps the limit."""
        return self.agreed_requests(limit) * (1.0 + self.overage) + self.slack

    def share(self, limit: TenantLimit, issuers: int, rank: int) -> int:
        """Return the permits per window that one of several issuers may issue.

        The remainder of the division goes to the issuers of the lowest ranks, one each. Otherwise,
        a limit of three would leave nothing for five issuers.

        :param rank: The issuer's rank for this tenant, from 0.
        """
        base, rest = divmod(math.floor(self.max_requests(limit)), issuers)
        return base + (1 if rank < rest else 0)
