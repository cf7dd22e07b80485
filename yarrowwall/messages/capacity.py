"""Messages between gateways and the replica that admits new programs while servers are scarce."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import added_field, message


class Scarce(StrEnum):
    """What was lacking for a new program."""

    NOTHING = "nothing"
    #: The places of the service's servers.
    PLACES = "places"
    #: The memory of its engines.
    MEMORY = "memory"
    #: There is room, but others that were refused before, or have less than their share, are due.
    TURN = "turn"


@dataclass(frozen=True)
class ServiceUnderWay:
    """What a gateway has under way at a service with engines.

    :param between: programs between two turns that are likely to go on.
    :param tokens: tokens of prompts of their own that all its programs keep there.
    """

    service: str
    between: int
    tokens: int


@message(144)
class AskRoom:
    """Say whether a new program may begin.

    :param program: digest of the program's name, as one of its tenant's.
    :param weight: of the tenant, in shares of what is scarce: its agreed rate; 0 without one.
    :param tokens: of the engines' memory that the program is expected to keep.
    :param taken: requests under way at the service, as the gateway was told.
    :param age_s: how old that is.
    :param places: that sound servers offer.
    :param memory_tokens: that their engines hold.
    :param finish_in_s: seconds left to the program; 0 if untold.
    :param patience_s: the longest that the caller would wait before it comes back.
    :param is_continued: whether the program goes on from an answered turn.
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

    :param retry_after_s: seconds after which there should be room for it, if there is none.
    :param free: programs that there was room for.
    :param waiting: programs that were refused and may come back.
    :param ahead: those of them that go before this one.
    :param holder: the tenant with most programs admitted lately; empty for none.
    :param holder_share: its part of them.
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
    """Note that a program which was admitted did not begin; there is no reply."""

    service: str
    tenant: str
    program: int
