"""Messages between gateways and the replicas that issue permits from shares of tenants' limits."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class QuotaStatus(StrEnum):
    """The outcome of a request for permits."""

    GRANTED = "granted"
    #: The issuer's share of the limit is used up for now.
    NO_ROOM = "no_room"
    #: The replica may not issue permits now: it is not in the group, has just joined it, reaches
    #: too few of the others, or failed to write the permits to its disk.
    NOT_ENTITLED = "not_entitled"


@dataclass(frozen=True)
class TenantLimit:
    """A tenant's limit in one version of the configuration.

    :param version: version of the configuration; an issuer applies the newest that it received.
    :param rate_per_s: requests per second.
    :param burst: requests that may exceed the rate in any window.
    """

    version: int
    rate_per_s: float
    burst: float


@message(114)
class TakeQuota:
    """Request permits for sending requests of a tenant.

    :param count: number of requests to be sent; fewer may be granted, but at least one.
    :param program_size: if a program begins, the number of requests that it is expected to make,
        else 0. It is admitted only if it fits the agreed limit together with the recently admitted
        programs, or if there are none.
    """

    group: int
    disk_id: str
    tenant: str
    limit: TenantLimit
    count: int
    program_size: float


@message(115)
class QuotaReply:
    """Answer to :class:`TakeQuota`.

    :param granted: number of issued permits, each for one request.
    :param ticket: identifies the permits when unused ones are returned.
    :param room: number of permits that could still be issued.
    :param retry_after_s: seconds until permits are available, if none were issued.
    """

    status: QuotaStatus
    granted: int
    ticket: int
    room: int
    retry_after_s: float


@message(116)
class ReturnQuota:
    """Return an unused permit; there is no reply."""

    group: int
    disk_id: str
    tenant: str
    ticket: int


@message(123)
class QuotaLent:
    """Log record: permits were issued.

    :param count: number of permits.
    :param wall_s: time of issue by the wall clock.
    :param steady_s: time of issue by the machine's monotonic clock.
    """

    tenant: str
    limit: TenantLimit
    count: float
    wall_s: float
    steady_s: float


@message(124)
class LendingBegun:
    """Log record: a replica that joined its group has begun to issue permits."""

    epoch: int
