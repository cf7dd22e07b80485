"""Messages between gateways and the replica that decides on new programs under high load."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import added_field, message


class Scarce(StrEnum):
    """The resource or condition for which a new program was refused."""

    NOTHING = "nothing"
    #: Slots of the service's servers.
    PLACES = "places"
    #: Cache memory of its engines.
    MEMORY = "memory"
    #: There is capacity, but it is reserved for others, such as programs that were refused earlier.
    TURN = "turn"


@dataclass(frozen=True)
class ServiceUnderWay:
    """The active programs of a gateway at a service with engines.

    :param between: programs between two turns that are likely to continue.
    :param tokens: prompt tokens of all active programs, without prefixes shared among programs.
    """

    service: str
    between: int
    tokens: int


@message(144)
class AskRoom:
    """Ask whether a new program may begin.

    :param program: digest of the tenant's and the program's names.
    :param weight: the tenant's weight in dividing scarce resources: its agreed rate; 0 without one.
    :param tokens: cache tokens that the program is expected to need.
    :param taken: requests in progress at the service, by the loads that the gateway received last.
    :param age_s: age of these loads in seconds.
    :param places: slots of the service's healthy servers.
    :param memory_tokens: token capacity of the engines' caches.
    :param finish_in_s: seconds until the program's deadline; 0 if not given.
    :param patience_s: the longest time that the caller would wait before a retry.
    :param is_continued: whether the program continues from an answered turn.
    """

    service: str
    tenant: str
    program: int
    weight: float
    tokens: int
    taken: int
    age_s: float
    places: int
    memory_tokens: int
    finish_in_s: float
    patience_s: float
    is_continued: bool = added_field(default=False)


@message(145)
class RoomReply:
    """Answer to :class:`AskRoom`.

    :param retry_after_s: seconds after which a refused program should retry.
    :param free: number of programs that there was capacity for.
    :param waiting: number of refused programs that may retry.
    :param ahead: how many of these come before this one.
    :param holder: the tenant with the most recently admitted programs; empty for none.
    :param holder_share: its share of these programs.
    """

    is_admitted: bool
    retry_after_s: float
    scarce: Scarce
    free: float
    waiting: int
    ahead: int
    holder: str
    holder_share: float


@message(146)
class ReturnRoom:
    """Withdraw the admission of a program that did not begin; there is no reply."""

    service: str
    tenant: str
    program: int
