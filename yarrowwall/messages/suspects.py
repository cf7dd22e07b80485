"""Messages between gateways and replicas about requests under which servers ended."""

from dataclasses import dataclass

from yarrowwall.messages.registry import message


@dataclass(frozen=True)
class Suspect:
    """A request under which servers ended.

    :param request: identity of the request, equal for all tries of it.
    :param ended: text of each incarnation that ended while it ran the request.
    :param left_s: seconds for which this is still to be remembered.
    """

    request: str
    ended: list[str]
    left_s: float


@dataclass(frozen=True)
class PendingSend:
    """A send of a suspect whose outcome is unknown.

    :param send_id: unique id of the send.
    :param server: text of the server's incarnation.
    :param left_s: seconds until its attempt's time is over.
    """

    send_id: str
    server: str
    left_s: float


@message(147)
class FollowSuspects:
    """Request all suspects, and to be sent each new one; the reply is :class:`Suspects`.

    :param known: suspects that the gateway knows; a replica that has started again does not.
    """

    gateway: str
    known: list[Suspect]


@message(148)
class ReportSuspects:
    """Report ends of servers; the reply is :class:`Suspects`, once followers were sent them."""

    suspects: list[Suspect]


@message(149)
class Suspects:
    """Suspects as a replica knows them."""

    suspects: list[Suspect]


@message(150)
class ReserveSend:
    """Reserve a send of a suspect, before it is sent; a later one of the same id replaces it."""

    request: str
    send: PendingSend


@message(151)
class ReserveSendReply:
    """Answer to :class:`ReserveSend`.

    :param ended: incarnations that ended under the request.
    :param pending: its other sends whose outcome is unknown.
    :param occupied: incarnations that run other suspects.
    """

    ended: list[str]
    pending: list[PendingSend]
    occupied: list[str]


@message(152)
class ReleaseSend:
    """End a reservation: the outcome of the send is known; there is no reply."""

    request: str
    send_id: str
