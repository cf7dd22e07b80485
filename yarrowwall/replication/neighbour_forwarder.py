"""Sends single requests to unreachable machines through neighbours."""

from collections.abc import Callable
from typing import NamedTuple

from eventlet.event import Event

from yarrowwall.messages.relaying import Forwarded, ForwardStatus, Neighbour
from yarrowwall.replication.exceptions import LinkDownError, NoNeighbourError
from yarrowwall.replication.paths import FORWARD_LATE_SECONDS
from yarrowwall.replication.relayed_links import (
    MAX_NEIGHBOURS,
    RelayedLinkTable,
    is_unanswered,
)

#: Timeout of a request in seconds. A neighbour reports after 0.6 s that it got no reply, so one
#: that has not answered within this time is unusable itself.
REPLY_TIMEOUT_SECONDS = 0.7
#: Seconds for which this class sends no request to a neighbour that refused one. It may run an
#: earlier release or not know the address yet; links to replicas still use it meanwhile.
REFUSAL_PAUSE_SECONDS = 8.0


class _Attempt(NamedTuple):
    """A request that was sent to one neighbour.

    :param number: its number at the neighbour's link.
    :param sent_at_s: when it was sent, on the monotonic clock.
    """

    neighbour: Neighbour
    number: int
    sent_at_s: float


class _ForwardedRequest:
    """State of one request while it is being forwarded.

    :ivar tried: node ids of the neighbours that were asked, in order.
    :ivar pending: attempts without an answer, by the neighbour's node id.
    :ivar reply: the machine's reply; None until there is one.
    :ivar is_unreachable: whether a neighbour reported that the machine does not answer.
    :ivar answered: event that is sent when a neighbour answers.
    """

    def __init__(self) -> None:
        self.tried: list[str] = []
        self.pending: dict[str, _Attempt] = {}
        self.reply: object | None = None
        self.is_unreachable = False
        self.answered = Event()

    def wake(self) -> None:
        """Wake the caller that waits for an answer."""
        if not self.answered.ready():
            self.answered.send()


class NeighbourForwarder:
    """Sends requests through neighbours, without trying a direct connection.

    It shares the list of neighbours, and which of them are skipped for now, with the links to
    replicas.

    :param now: the monotonic clock.
    """

    def __init__(self, links: RelayedLinkTable, now: Callable[[], float]) -> None:
        self._links = links
        self._now = now
        self._refused_until: dict[str, float] = {}

    def call(self, address: str, message: object) -> object:
        """Send a request through a neighbour and return the machine's reply.

        The next neighbour is asked when one refuses or is late, up to :data:`MAX_NEIGHBOURS`.
        The first reply is returned; later ones are dropped.

        :param address: the machine's address.
        :raises LinkDownError: if a neighbour reports that the machine does not answer.
        :raises NoNeighbourError: if no neighbour forwards the request in time.
        """
        request = _ForwardedRequest()
        deadline_s = self._now() + REPLY_TIMEOUT_SECONDS
        try:
            while request.reply is None and not request.is_unreachable:
                was_sent = self._try_next_neighbour(request, address, message)
                self._wait_for_answer(request, deadline_s, was_sent)
        finally:
            self._cancel_pending(request)
        if request.reply is None:
            raise LinkDownError(address)
        return request.reply

    def _try_next_neighbour(
        self, request: _ForwardedRequest, address: str, message: object
    ) -> bool:
        """Send the request to one more neighbour; return whether one was available."""
        now_s = self._now()
        if len(request.tried) >= MAX_NEIGHBOURS:
            return False
        refusing = [name for name, until_s in self._refused_until.items() if until_s > now_s]
        neighbour = self._links.paths.available_neighbour(now_s, [*request.tried, *refusing])
        if neighbour is None:
            return False
        request.tried.append(neighbour.node_id)
        number = self._links.forward(
            neighbour,
            address,
            message,
            lambda reply: self._handle_answer(request, neighbour, reply),
        )
        request.pending[neighbour.node_id] = _Attempt(neighbour, number, now_s)
        return True

    def _wait_for_answer(
        self, request: _ForwardedRequest, deadline_s: float, was_sent: bool
    ) -> None:
        """Wait for an answer, or until the next neighbour may be tried.

        :param was_sent: whether another neighbour was just asked; otherwise the wait lasts until
            the deadline.
        :raises NoNeighbourError: if no attempt is pending or the deadline has passed.
        """
        left_s = deadline_s - self._now()
        if not request.pending or left_s <= 0.0:
            raise NoNeighbourError(", ".join(request.tried) or "no neighbour is available")
        request.answered.wait(min(FORWARD_LATE_SECONDS, left_s) if was_sent else left_s)
        request.answered = Event()

    def _handle_answer(
        self, request: _ForwardedRequest, neighbour: Neighbour, reply: object | None
    ) -> None:
        is_pending = request.pending.pop(neighbour.node_id, None) is not None
        if not is_pending or request.reply is not None:
            return
        if isinstance(reply, Forwarded) and reply.status is ForwardStatus.REFUSED:
            self._links.refused[reply.status.value] += 1
            self._refused_until[neighbour.node_id] = self._now() + REFUSAL_PAUSE_SECONDS
        else:
            request.is_unreachable = is_unanswered(reply)
            request.reply = self._links.unwrap_reply(neighbour, reply)
        request.wake()

    def _cancel_pending(self, request: _ForwardedRequest) -> None:
        """Stop waiting for neighbours and mark the late ones as unusable.

        If another neighbour brought a reply, the shorter limit applies. Without a reply the
        machine itself may be slow, so only neighbours that exceeded the timeout are marked.
        """
        now_s = self._now()
        late_after_s = FORWARD_LATE_SECONDS if request.reply is not None else REPLY_TIMEOUT_SECONDS
        for attempt in request.pending.values():
            is_late = now_s - attempt.sent_at_s >= late_after_s
            self._links.neighbour_link(attempt.neighbour).forget(attempt.number, is_late)
            if is_late:
                self._links.paths.note_unusable(attempt.neighbour.node_id, now_s)
        request.pending.clear()
