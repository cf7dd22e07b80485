"""Links to replicas that go through a neighbour while this gateway is cut off from them.

A request may arrive twice, directly and forwarded, and each of them late. This is harmless:
records are versioned and written by one gateway, a repeated reservation is the same record,
reads change nothing, and permits that are issued twice stay unused but count as issued.
"""

from collections import Counter
from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.exceptions import MessageError
from yarrowwall.messages.relaying import Forward, Forwarded, ForwardStatus, Neighbour
from yarrowwall.messages.replicated import AskStatus
from yarrowwall.replication.paths import (
    FORWARD_LATE_SECONDS,
    LATE_SECONDS,
    SLOW_SECONDS,
    Paths,
)
from yarrowwall.replication.rpc import MAX_NUMBER, Completion, Link, LinkTable

#: Least seconds between two checks for late answers. The next check is due when the oldest
#: request would be late: a link with steady traffic then wakes its gateway 7 times a second
#: instead of 13.
LATE_CHECK_SECONDS = 0.075
#: Most neighbours that are asked for one request, one after the other.
MAX_NEIGHBOURS = 3


class _PendingRequest:
    """A request that waits for its reply.

    :ivar direct_number: its number on the direct connection; None if it is not pending there.
    :ivar was_sent_directly: whether it was ever sent directly.
    :ivar is_late: whether the direct request was noted as late.
    :ivar is_done: whether the reply was delivered or the caller stopped waiting.
    :ivar is_unreachable: whether a neighbour reported that the replica does not answer.
    :ivar tried: the neighbours that were asked, in order.
    :ivar forward_number: its number at the last neighbour's link; None if it is not pending
        there.
    :ivar forwarded_s: when it was sent to the last neighbour.
    """

    __slots__ = (
        "completion",
        "direct_number",
        "forward_number",
        "forwarded_s",
        "is_done",
        "is_late",
        "is_unreachable",
        "message",
        "sent_s",
        "tried",
        "was_sent_directly",
    )

    def __init__(self, message: object, completion: Completion, sent_s: float) -> None:
        self.message = message
        self.completion = completion
        self.sent_s = sent_s
        self.direct_number: int | None = None
        self.was_sent_directly = False
        self.is_late = False
        self.is_done = False
        self.tried: list[Neighbour] = []
        self.forward_number: int | None = None
        self.forwarded_s = 0.0
        self.is_unreachable = False

    @property
    def tried_ids(self) -> list[str]:
        """Return the node ids of the neighbours that were asked."""
        return [neighbour.node_id for neighbour in self.tried]


class RelayedLink(Link):
    """Sends requests to one replica, directly or through a neighbour.

    :param now: the monotonic clock.
    :param table: the table of this link, which holds the links to neighbours.
    """

    def __init__(
        self,
        address: str,
        log: DecisionLog,
        now: Callable[[], float],
        table: "RelayedLinkTable",
    ) -> None:
        super().__init__(address, log, now)
        self._table = table
        self._paths = table.paths
        self._pending: dict[int, _PendingRequest] = {}
        self._last_number = 0
        self._is_check_scheduled = False

    def post(self, message: object, completion: Completion) -> int:
        """Send a request; ``completion`` is called with its reply or None."""
        now_s = self._now()
        self._last_number = self._last_number % MAX_NUMBER + 1
        request = self._pending[self._last_number] = _PendingRequest(message, completion, now_s)
        self._paths.note_asked(self.address, now_s)
        is_forwarded = self._paths.uses_neighbour(self.address) and self._forward(
            self._last_number, request
        )
        if not is_forwarded or self._paths.is_probe_due(self.address, now_s):
            self._send_directly(self._last_number, request)
        self._schedule_check()
        return self._last_number

    def post_directly(self, message: object, completion: Completion) -> int:
        """Send a request of another gateway, only over this gateway's own connection."""
        return super().post(message, completion)

    def forget_direct(self, number: int) -> None:
        """Stop waiting for the reply to a request of :meth:`post_directly`."""
        super().forget(number)

    def probe(self, with_neighbour: bool) -> None:
        """Send a status request directly to test the path.

        :param with_neighbour: whether to send it through a neighbour as well.
        """
        request = _PendingRequest(AskStatus(0), lambda reply: None, self._now())
        self._last_number = self._last_number % MAX_NUMBER + 1
        self._pending[self._last_number] = request
        self._send_directly(self._last_number, request)
        request.is_done = not (with_neighbour and self._forward(self._last_number, request))
        self._schedule_check()

    def forget(self, number: int, is_late: bool = False) -> None:
        """Stop waiting for a reply."""
        request = self._pending.get(number)
        if request is None:
            return
        self._finish(request)
        if is_late and request.direct_number is not None:
            super().note_late(request.direct_number)

    def note_late(self, number: int) -> None:
        """Note that a reply is late; it is still accepted if it comes."""
        request = self._pending.get(number)
        if request is not None and request.direct_number is not None:
            super().note_late(request.direct_number)

    def _finish(self, request: _PendingRequest) -> None:
        """Accept no more replies. A direct answer is still awaited as a sign of the path."""
        request.is_done = True
        if request.forward_number is not None:
            self._table.neighbour_link(request.tried[-1]).forget(request.forward_number)
            request.forward_number = None

    def _complete(self, number: int, reply: object | None) -> None:
        request = self._pending.get(number)
        if request is None or request.is_done:
            return
        self._finish(request)
        request.completion(reply)

    # Direct requests

    def _send_directly(self, number: int, request: _PendingRequest) -> None:
        request.was_sent_directly = True
        request.direct_number = super().post(
            request.message, lambda reply: self._handle_direct_reply(number, request, reply)
        )

    def _handle_direct_reply(
        self, number: int, request: _PendingRequest, reply: object | None
    ) -> None:
        request.direct_number = None
        if reply is not None:
            self._note_answered(request)
            self._complete(number, reply)
        else:
            self._paths.note_late(self.address, request.sent_s, self._now())
            self._try_next(number, request)
        self._table.note_changes()
        if request.is_done:
            self._pending.pop(number, None)

    def _note_answered(self, request: _PendingRequest) -> None:
        now_s = self._now()
        if request.is_late and now_s - request.sent_s <= SLOW_SECONDS:
            self._paths.note_slow(self.address, now_s)
        else:
            self._paths.note_answered(self.address, now_s)

    def _try_next(self, number: int, request: _PendingRequest) -> None:
        """Try the next path for a request; complete it without a reply if there is none."""
        if request.is_done or request.forward_number is not None:
            return
        uses_neighbour = self._paths.uses_neighbour(self.address)
        if uses_neighbour and self._forward(number, request):
            return
        if not request.was_sent_directly:
            # The replicas may only be slow, so a late direct answer is better than none.
            self._send_directly(number, request)
        elif request.direct_number is None:
            self._complete(number, None)

    # Requests through a neighbour

    def _forward(self, number: int, request: _PendingRequest) -> bool:
        """Send a request through a neighbour; return whether one could be asked."""
        now_s = self._now()
        neighbour = self._paths.next_neighbour(now_s, request.tried_ids)
        is_over = request.is_unreachable or len(request.tried) >= MAX_NEIGHBOURS
        if neighbour is None or is_over:
            return False
        request.tried.append(neighbour)
        request.forwarded_s = now_s
        request.forward_number = self._table.forward(
            neighbour,
            self.address,
            request.message,
            lambda reply: self._handle_forwarded_reply(number, request, neighbour, reply),
        )
        return True

    def _handle_forwarded_reply(
        self, number: int, request: _PendingRequest, neighbour: Neighbour, reply: object | None
    ) -> None:
        if request.forward_number is None or request.tried[-1] is not neighbour:
            return
        request.forward_number = None
        request.is_unreachable = is_unanswered(reply)
        found = self._table.unwrap_reply(neighbour, reply)
        if found is not None:
            self._complete(number, found)
        else:
            self._try_next(number, request)

    # Late answers

    def _schedule_check(self, wait_s: float = LATE_SECONDS) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            eventlet.spawn_after(wait_s, self._check_late)

    def _check_late(self) -> None:
        """Handle late answers of all pending requests."""
        self._is_check_scheduled = False
        now_s = self._now()
        for number, request in list(self._pending.items()):
            if now_s - request.sent_s >= LATE_SECONDS:
                self._note_late_direct(request, now_s)
                self._note_late_forward(request, now_s)
                self._try_next(number, request)
            is_lost = now_s - request.sent_s >= SLOW_SECONDS
            if request.is_done and (request.direct_number is None or is_lost):
                self._drop(number, request)
        self._table.note_changes()
        if self._pending:
            # Requests are kept in the order in which they were sent, so the first is the oldest.
            oldest_s = now_s - next(iter(self._pending.values())).sent_s
            self._schedule_check(max(LATE_SECONDS - oldest_s, LATE_CHECK_SECONDS))

    def _note_late_direct(self, request: _PendingRequest, now_s: float) -> None:
        if request.direct_number is not None and not request.is_late:
            request.is_late = True
            self._paths.note_late(self.address, request.sent_s, now_s)

    def _note_late_forward(self, request: _PendingRequest, now_s: float) -> None:
        if request.forward_number is None or now_s - request.forwarded_s < FORWARD_LATE_SECONDS:
            return
        neighbour = request.tried[-1]
        self._table.neighbour_link(neighbour).forget(request.forward_number, is_late=True)
        request.forward_number = None
        self._paths.note_unusable(neighbour.node_id, self._now())

    def _drop(self, number: int, request: _PendingRequest) -> None:
        if request.direct_number is not None:
            super().forget(request.direct_number, is_late=True)
        self._pending.pop(number, None)


class RelayedLinkTable(LinkTable):
    """Links from a gateway to replicas and to its neighbours.

    :param node_id: this gateway.
    :param now: the monotonic clock.
    :ivar paths: state of the paths to replicas and of the neighbours.
    :ivar relayed: number of requests sent through each neighbour, by node id.
    :ivar refused: number of neighbours' answers that brought no reply, by status.
    """

    def __init__(self, node_id: str, log: DecisionLog, now: Callable[[], float]) -> None:
        super().__init__(log, now)
        self.paths = Paths()
        self._node_id = node_id
        self._neighbours = LinkTable(log, now)
        self._was_cut_off = False
        self.relayed: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    @property
    def is_cut_off(self) -> bool:
        """Return whether this gateway seems to be cut off from the replicas."""
        return self.paths.is_cut_off

    def get(self, address: str) -> RelayedLink:
        """Return the link to a replica."""
        link = self._links.get(address)
        if not isinstance(link, RelayedLink):
            link = self._links[address] = RelayedLink(address, self._log, self._now, self)
        return link

    def neighbour_link(self, neighbour: Neighbour) -> Link:
        """Return the link to a neighbour."""
        return self._neighbours.get(neighbour.address)

    def forward(
        self, neighbour: Neighbour, address: str, message: object, completion: Completion
    ) -> int:
        """Send a request for a replica to a neighbour; return its number at the neighbour's link.

        :param address: the replica's address.
        :param completion: called with the neighbour's answer, or None if none will come.
        """
        self.relayed[neighbour.node_id] += 1
        request = Forward(self._node_id, address, encode(message))
        return self.neighbour_link(neighbour).post(request, completion)

    def unwrap_reply(self, neighbour: Neighbour, reply: object | None) -> object | None:
        """Return the replica's reply from a neighbour's answer; None if there is none.

        The answer updates the state of the neighbour.
        """
        now_s = self._now()
        if not isinstance(reply, Forwarded):
            self.paths.note_unusable(neighbour.node_id, now_s)
            return None
        if reply.status is ForwardStatus.OK:
            self.paths.note_forwarded(neighbour.node_id, now_s)
            return self.decoded(neighbour.node_id, reply.reply)
        self.refused[reply.status.value] += 1
        if reply.status is ForwardStatus.BUSY:
            self.paths.note_busy(neighbour.node_id, now_s)
        elif reply.status is not ForwardStatus.NO_ANSWER:
            self.paths.note_unusable(neighbour.node_id, now_s)
        return None

    def decoded(self, node_id: str, body: bytes) -> object | None:
        """Return the decoded message of another gateway; None, with a log line, if invalid."""
        try:
            return decode(body)
        except MessageError as error:
            self._log.write(decisions.MessageDropped(node_id, str(error)))
            return None

    def probe(self) -> None:
        """Probe replicas that count as unreachable, if a probe is due.

        While this gateway is cut off, the first of them is probed through a neighbour as well.
        """
        now_s = self._now()
        self.paths.forget_idle(now_s)
        with_neighbour = self.is_cut_off
        for address in self.paths.unreachable():
            if self.paths.is_probe_due(address, now_s):
                self.get(address).probe(with_neighbour)
                with_neighbour = False
        self.note_changes()

    def note_changes(self) -> None:
        """Log when this gateway becomes cut off, and when it no longer is."""
        if self.is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = not self._was_cut_off
        out = ",".join(self.paths.unreachable())
        names = ",".join(neighbour.node_id for neighbour in self.paths.neighbours)
        reason = f"no answer from {out}; neighbours {names or 'none'}" if self._was_cut_off else ""
        self._log.write(
            decisions.DependencyChanged("replicas/direct", not self._was_cut_off, reason)
        )


def is_unanswered(reply: object | None) -> bool:
    """Return whether a neighbour reported that the machine does not answer it either."""
    return isinstance(reply, Forwarded) and reply.status is ForwardStatus.NO_ANSWER
