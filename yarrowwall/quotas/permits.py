"""Credits, each for one sending, and the stock of them that a gateway holds."""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.messages.quotas import ReturnQuota, TakeQuota
from yarrowwall.messages.replicated import Member
from yarrowwall.replication.rpc import LinkTable

#: Requests asked for at once where another one of the tenant is likely to follow, and the seconds
#: since its last question within which it is. Asking for two saves messages; more would hold
#: credits that other gateways could use.
PAIR = 2
FREQUENT_SECONDS = 0.3
#: Seconds that a credit must have left to be used for another request: what that takes from its
#: arrival to its sending, a turn's reservation included.
LEAST_LEFT_SECONDS = 0.05


class Permit(NamedTuple):
    """The permission to send one request of a tenant.

    :param request: the question that was answered by it.
    :param ticket: by which the lender takes it back.
    """

    issuer: Member
    request: TakeQuota
    ticket: int
    expires_at_s: float

    def returned(self) -> ReturnQuota:
        """Return the message that gives it back."""
        request = self.request
        return ReturnQuota(request.group, request.disk_id, request.tenant, self.ticket)


class PermitPool:
    """Credits that a gateway holds for the next requests of tenants."""

    def __init__(self, links: LinkTable, now: Callable[[], float]) -> None:
        self._links = links
        self._now = now
        self._credits: dict[str, list[Permit]] = defaultdict(list)
        self._asked_at_s: dict[str, float] = {}

    def take(self, tenant: str) -> Permit | None:
        """Return a credit that may still be used for a while; None if there is none."""
        credits = self._credits.get(tenant)
        while credits:
            credit = credits.pop()
            if credit.expires_at_s > self._now() + LEAST_LEFT_SECONDS:
                return credit
            self.give_back(credit)
        return None

    def put(self, credit: Permit) -> None:
        """Keep a credit for the next request."""
        self._credits[credit.request.tenant].append(credit)

    def give_back(self, credit: Permit) -> None:
        """Let the lender lend it to others."""
        self._links.get(credit.issuer.address).send_one_way(credit.returned())

    def wanted(self, tenant: str) -> int:
        """Return for how many requests to ask at once."""
        now_s = self._now()
        asked_at_s = self._asked_at_s.get(tenant)
        self._asked_at_s[tenant] = now_s
        is_frequent = asked_at_s is not None and now_s - asked_at_s < FREQUENT_SECONDS
        return PAIR if is_frequent else 1

    def sweep(self) -> None:
        """Give back what is over, and forget tenants who have fallen silent."""
        now_s = self._now()
        for tenant, credits in list(self._credits.items()):
            over = [credit for credit in credits if credit.expires_at_s <= now_s]
            for credit in over:
                credits.remove(credit)
                self.give_back(credit)
            if not credits:
                del self._credits[tenant]
        for tenant, asked_at_s in list(self._asked_at_s.items()):
            if now_s - asked_at_s > FREQUENT_SECONDS:
                del self._asked_at_s[tenant]
