"""What a tenant's limit allows. No I/O."""

import math
from typing import NamedTuple

from yarrowwall.messages.quotas import TenantLimit

#: Seconds after a question for a credit in which a request that got it may be sent. Credits are
#: used at once mostly; this bounds for how long a lender has to count them beyond the window.
PERMIT_SECONDS = 0.5
#: Seconds that a sent request may take to arrive at its server: many times the way between
#: zones (1.4 ms), for links that carry much.
DELIVERY_SECONDS = 0.2
#: Part by which the clocks of a lender and of whoever measures the window may run apart; a
#: quartz runs wrong by less than a thousandth.
CLOCK_DRIFT = 0.01


class QuotaRules(NamedTuple):
    """How limits are measured, the same for all tenants.

    :param window_s: any span of so many seconds has to keep within the limit.
    :param overage: part of the limit by which all gateways together may exceed it.
    :param slack: requests by which they may exceed it besides.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    @property
    def counted_s(self) -> float:
        """Return for how many seconds a request counts after it was lent."""
        return (self.window_s + PERMIT_SECONDS + DELIVERY_SECONDS) * (1.0 + CLOCK_DRIFT)

    def agreed(self, limit: TenantLimit) -> float:
        """Return the requests of a window that the operators agreed with the tenant."""
        return limit.rate_per_s * self.window_s + limit.burst

    def most(self, limit: TenantLimit) -> float:
        """Return the requests of a window beyond which the limit is broken."""
        return self.agreed(limit) * (1.0 + self.overage) + self.slack

    def share(self, limit: TenantLimit, issuers: int, rank: int) -> int:
        """Return the requests of a window that one of a number of lenders may lend.

        What does not divide evenly goes to the lenders of the first ranks, one each: a limit of
        three would be none for five lenders otherwise.

        :param rank: the lender's place among them for this tenant, from 0.
        """
        base, rest = divmod(math.floor(self.most(limit)), issuers)
        return base + (1 if rank < rest else 0)
