"""Messages by which a gateway out of the replicas' reach goes through a neighbour."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


@dataclass(frozen=True)
class Neighbour:
    """A gateway that forwards requests.

    :param address: ``IP:port`` where it takes them.
    """

    node_id: str
    zone: str
    address: str


class ForwardStatus(StrEnum):
    """How a gateway took a request to be forwarded."""

    OK = "ok"
    #: It forwards as much as it may already.
    BUSY = "busy"
    #: It seems to be cut off from the replicas itself.
    OUT_OF_REACH = "out_of_reach"
    #: It reaches others, and this replica does not answer it either.
    NO_ANSWER = "no_answer"
    #: The address is no replica's, or the request is to be forwarded once more.
    REFUSED = "refused"


@message(140)
class Forward:
    """Pass a request on to a replica, over the receiver's own connection; once only.

    :param node_id: the gateway that asks.
    :param address: of the replica.
    :param request: the encoded request.
    """

    node_id: str
    address: str
    request: bytes


@message(141)
class Forwarded:
    """Answer to :class:`Forward`.

    :param reply: the replica's encoded reply; empty without one.
    """

    status: ForwardStatus
    reply: bytes


@message(142)
class AskNeighbours:
    """Return gateways that would forward requests of this one; it would do so for others."""

    gateway: Neighbour


@message(143)
class NeighboursReply:
    """Answer to :class:`AskNeighbours`."""

    neighbours: list[Neighbour]
