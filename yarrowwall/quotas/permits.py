"""Permits, each for sending one request, and a gateway's pool of unused ones."""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.messages.quotas import ReturnQuota, TakeQuota
from yarrowwall.messages.replicated import Member
from yarrowwall.replication.rpc import LinkTable

#: Permits requested at once for a tenant with frequent requests. Requesting two saves messages;
#: more would hold permits that other gateways could use.
BATCH_SIZE = 2
#: Longest interval in seconds between two requests of a tenant that counts as frequent.
FREQUENT_SECONDS = 0.3
#: Validity in seconds that a permit must have left to be reused for another request. This is the
#: time from the arrival of a request until it is sent, including the reservation of a turn.
MIN_REMAINING_SECONDS = 0.05


class Permit(NamedTuple):
    """The permission to send one request of a tenant.

    :param message: The message that requested it.
    :param ticket: Identifies it at its issuer, for returning it.
    :param expires_at_s: Monotonic time of this gateway.
    """

    issuer: Member
    message: TakeQuota
    ticket: int
    expires_at_s: float

    def return_message(self) -> ReturnQuota:
        """Return the message that gives the permit back."""
        message = self.message
        return ReturnQuota(message.group, message.disk_id, message.tenant, self.ticket)


class PermitPool:
    """Unused permits that a gateway holds for the next requests of tenants."""

    def __init__(self, links: LinkTable, now: Callable[[], float]) -> None:
        self._links = links
        self._now = now
        self._permits: dict[str, list[Permit]] = defaultdict(list)
        self._requested_at_s: dict[str, float] = {}

    def acquire(self, tenant: str) -> Permit | None:
        """Remove and return a permit that is valid for long enough; None if there is none."""
        permits = self._permits.get(tenant)
        while permits:
            permit = permits.pop()
            if permit.expires_at_s > self._now() + MIN_REMAINING_SECONDS:
                return permit
            self.return_to_issuer(permit)
        return None

    def add(self, permit: Permit) -> None:
        """Keep a permit for the next request."""
        self._permits[permit.message.tenant].append(permit)

    def return_to_issuer(self, permit: Permit) -> None:
        """Return a permit, so that its issuer can issue it again."""
        self._links.get(permit.issuer.address).send_one_way(permit.return_message())

    def next_batch_size(self, tenant: str) -> int:
        """Return the number of permits to request now, and note that they are requested."""
        now_s = self._now()
        requested_at_s = self._requested_at_s.get(tenant)
        self._requested_at_s[tenant] = now_s
        is_frequent = requested_at_s is not None and now_s - requested_at_s < FREQUENT_SECONDS
        return BATCH_SIZE if is_frequent else 1

    def drop_expired(self) -> None:
        """Return expired permits, and drop tenants without recent requests."""
        now_s = self._now()
        for tenant, permits in list(self._permits.items()):
            expired = [permit for permit in permits if permit.expires_at_s <= now_s]
            for permit in expired:
                permits.remove(permit)
                self.return_to_issuer(permit)
            if not permits:
                del self._permits[tenant]
        for tenant, requested_at_s in list(self._requested_at_s.items()):
            if now_s - requested_at_s > FREQUENT_SECONDS:
                del self._requested_at_s[tenant]
