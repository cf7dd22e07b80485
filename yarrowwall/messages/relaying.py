"""Messages of gateways that reach replicas or readers only through a neighbour."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


@dataclass(frozen=True)
class Neighbour:
    """A gateway that forwards requests.

    :param address: ``IP:port`` where it accepts them.
    """

    node_id: str
    zone: str
    address: str


class ForwardStatus(StrEnum):
    """The outcome of a request to forward."""

    OK = "ok"
    #: The neighbour has reached its limit of forwarded requests or bytes.
    BUSY = "busy"
    #: The neighbour seems to be cut off from the replicas too.
    OUT_OF_REACH = "out_of_reach"
    #: The neighbour reaches others, but this replica does not answer it either.
    NO_ANSWER = "no_answer"
    #: The address is neither a replica's nor a reader's, or the request may not be forwarded, such
    #: as one that was forwarded already.
    REFUSED = "refused"


@message(140)
class Forward:
    """Ask a neighbour to forward a request to a replica or reader over its own connection.

    :param node_id: the gateway that sends the request.
    :param address: address of the replica or reader.
    :param request: the encoded request; it can't be another :class:`Forward`.
    """

    node_id: str
    address: str
    request: bytes


@message(141)
class Forwarded:
    """Answer to :class:`Forward`.

    :param reply: the encoded reply of the replica or reader; empty without one.
    """

    status: ForwardStatus
    reply: bytes


@message(142)
class AskNeighbours:
    """Request neighbours that forward for this gateway, and offer it as a neighbour to others."""

    gateway: Neighbour


@message(143)
class NeighboursReply:
    """Answer to :class:`AskNeighbours`."""

    neighbours: list[Neighbour]
