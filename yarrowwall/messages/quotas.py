"""Messages between gateways and the replicas that lend them parts of tenants' limits."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class QuotaStatus(StrEnum):
    """How a lender took a question."""

    GRANTED = "granted"
    #: The lender's part of the limit is used up for now.
    NO_ROOM = "no_room"
    #: The replica may not lend now: it is not of the group, has just joined it, hears too few
    #: of the others, or its disk refused.
    NOT_ENTITLED = "not_entitled"


@dataclass(frozen=True)
class TenantLimit:
    """A tenant's limit as a version of the configuration has it.

    :param version: of the configuration; a lender goes by the newest that it was told.
    :param rate_per_s: requests a second.
    :param burst: requests on top of that in any window.
    """

    version: int
    rate_per_s: float
    burst: float


@message(114)
class TakeQuota:
    """Lend credits for sending requests of a tenant.

    :param count: requests to be sent; fewer may be granted, but at least one.
    :param program_size: if a program begins, the requests that it is expected to make; it is
        welcome only if those of the programs begun lately still fit the agreed limit.
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

    :param granted: credits that were lent, each for one request.
    :param ticket: by which unused credits are given back.
    :param room: requests that could still be lent.
    :param retry_after_s: seconds until there is room, if there is none.
    """

    status: QuotaStatus
    granted: int
    ticket: int
    room: int
    retry_after_s: float


@message(116)
class ReturnQuota:
    """Take back a credit that was not used; there is no reply."""

    group: int
    disk_id: str
    tenant: str
    ticket: int


@message(123)
class QuotaLent:
    """Log record: credits were lent.

    :param wall_s: when, by the time of day.
    :param steady_s: when, by the machine's monotonic clock.
    """

    tenant: str
    limit: TenantLimit
    count: float
    wall_s: float
    steady_s: float


@message(124)
class LendingBegun:
    """Log record: a replica that joined its group lends from now on."""

    epoch: int
