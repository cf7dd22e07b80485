"""Links to replicas that go through a neighbour while this gateway is cut off from them.

A request may arrive twice, directly and forwarded, and either one late. Both are harmless:
records are versioned and written by one gateway, a reservation that comes again is the same
record, reads change nothing, and credits lent twice are lent for no use and count as lent.
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
from yarrowwall.replication.rpc import MOST_NUMBER, Completion, Link, LinkTable

#: Seconds between looks at answers that are late. As long as none is, the next look is when the
#: oldest request would be: a link with steady traffic wakes its gateway up 7 times a second for
#: this, not 13.
LOOK_SECONDS = 0.075
#: Neighbours that are asked for one request, one after the other.
MOST_NEIGHBOURS = 3


class _Asked:
    """A request under way.

    :ivar direct: number of its direct sending; None if there is none or its link ended.
    :ivar is_late: whether the direct sending was noted as late.
    :ivar is_done: whether nobody waits for the reply any more.
    :ivar is_hopeless: whether a neighbour said that the replica does not answer it either.
    :ivar forward: number at the neighbour's link; None if none is under way.
    """

    __slots__ = (
        "at_s",
        "completion",
        "direct",
        "forward",
        "forwarded_s",
        "is_done",
        "is_hopeless",
        "is_late",
        "message",
        "tried",
        "was_direct",
    )

    def __init__(self, message: object, completion: Completion, at_s: float) -> None:
        self.message = message
        self.completion = completion
        self.at_s = at_s
        self.direct: int | None = None
        self.was_direct = False
        self.is_late = False
        self.is_done = False
        self.tried: list[Neighbour] = []
        self.forward: int | None = None
        self.forwarded_s = 0.0
        self.is_hopeless = False

    @property
    def tried_ids(self) -> list[str]:
        """Return the names of the neighbours that were asked."""
        return [neighbour.node_id for neighbour in self.tried]


class RelayedLink(Link):
    """Requests to one replica, directly or through a neighbour."""

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
        self._asked: dict[int, _Asked] = {}
        self._last = 0
        self._is_watching = False

    def post(self, message: object, completion: Completion) -> int:
        """Send a request; ``completion`` is called with its reply or None."""
        now_s = self._now()
        self._last = self._last % MOST_NUMBER + 1
        asked = self._asked[self._last] = _Asked(message, completion, now_s)
        self._paths.note_asked(self.address, now_s)
        is_forwarded = self._paths.uses_neighbour(self.address) and self._forward(self._last, asked)
        if not is_forwarded or self._paths.is_probe_due(self.address, now_s):
            self._send_directly(self._last, asked)
        self._watch()
        return self._last

    def post_directly(self, message: object, completion: Completion) -> int:
        """Send a request for another gateway; only over this one's own connection."""
        return super().post(message, completion)

    def forget_direct(self, number: int) -> None:
        """Wait no more for a reply to what was posted directly."""
        super().forget(number)

    def probe(self, with_detour: bool) -> None:
        """Ask for no more than an answer, directly; through a neighbour as well if wanted."""
        asked = _Asked(AskStatus(0), lambda reply: None, self._now())
        self._last = self._last % MOST_NUMBER + 1
        self._asked[self._last] = asked
        self._send_directly(self._last, asked)
        asked.is_done = not (with_detour and self._forward(self._last, asked))
        self._watch()

    def forget(self, number: int, is_late: bool = False) -> None:
        """Wait no more for a reply."""
        asked = self._asked.get(number)
        if asked is None:
            return
        self._end(asked)
        if is_late and asked.direct is not None:
            super().note_late(asked.direct)

    def note_late(self, number: int) -> None:
        """Note that a reply should have come by now; it is still taken in if it comes."""
        asked = self._asked.get(number)
        if asked is not None and asked.direct is not None:
            super().note_late(asked.direct)

    def _end(self, asked: _Asked) -> None:
        """Take no reply any more; the direct sending still tells whether the path is there."""
        asked.is_done = True
        if asked.forward is not None:
            self._table.neighbour_link(asked.tried[-1]).forget(asked.forward)
            asked.forward = None

    def _complete(self, number: int, reply: object | None) -> None:
        asked = self._asked.get(number)
        if asked is None or asked.is_done:
            return
        self._end(asked)
        asked.completion(reply)

    # The direct way

    def _send_directly(self, number: int, asked: _Asked) -> None:
        asked.was_direct = True
        asked.direct = super().post(
            asked.message, lambda reply: self._take_direct(number, asked, reply)
        )

    def _take_direct(self, number: int, asked: _Asked, reply: object | None) -> None:
        asked.direct = None
        if reply is not None:
            self._note_answered(asked)
            self._complete(number, reply)
        else:
            self._paths.note_late(self.address, asked.at_s, self._now())
            self._go_on(number, asked)
        self._table.note_changes()
        if asked.is_done:
            self._asked.pop(number, None)

    def _note_answered(self, asked: _Asked) -> None:
        now_s = self._now()
        if asked.is_late and now_s - asked.at_s <= SLOW_SECONDS:
            self._paths.note_slow(self.address, now_s)
        else:
            self._paths.note_answered(self.address, now_s)

    def _go_on(self, number: int, asked: _Asked) -> None:
        """Take the next way of a request; without one it has no reply."""
        if asked.is_done or asked.forward is not None:
            return
        is_detour = self._paths.uses_neighbour(self.address)
        if is_detour and self._forward(number, asked):
            return
        if not asked.was_direct:
            # Perhaps the replicas are only slow: whatever comes is better than nothing.
            self._send_directly(number, asked)
        elif asked.direct is None:
            self._complete(number, None)

    # Through a neighbour

    def _forward(self, number: int, asked: _Asked) -> bool:
        """Send a request through a neighbour; return whether there was one."""
        now_s = self._now()
        neighbour = self._paths.neighbour(now_s, asked.tried_ids)
        is_over = asked.is_hopeless or len(asked.tried) >= MOST_NEIGHBOURS
        if neighbour is None or is_over:
            return False
        asked.tried.append(neighbour)
        asked.forwarded_s = now_s
        asked.forward = self._table.forward(
            neighbour,
            self.address,
            asked.message,
            lambda reply: self._take_forwarded(number, asked, neighbour, reply),
        )
        return True

    def _take_forwarded(
        self, number: int, asked: _Asked, neighbour: Neighbour, reply: object | None
    ) -> None:
        if asked.forward is None or asked.tried[-1] is not neighbour:
            return
        asked.forward = None
        asked.is_hopeless = is_unanswered(reply)
        found = self._table.read(neighbour, reply)
        if found is not None:
            self._complete(number, found)
        else:
            self._go_on(number, asked)

    # Late answers

    def _watch(self, wait_s: float = LATE_SECONDS) -> None:
        if not self._is_watching:
            self._is_watching = True
            eventlet.spawn_after(wait_s, self._look)

    def _look(self) -> None:
        """Find what is late; once for all requests that are under way."""
        self._is_watching = False
        now_s = self._now()
        for number, asked in list(self._asked.items()):
            if now_s - asked.at_s >= LATE_SECONDS:
                self._note_late_sending(asked, now_s)
                self._note_late_forward(asked, now_s)
                self._go_on(number, asked)
            is_lost = now_s - asked.at_s >= SLOW_SECONDS
            if asked.is_done and (asked.direct is None or is_lost):
                self._drop(number, asked)
        self._table.note_changes()
        if self._asked:
            # The first one is the oldest: they are kept in the order in which they were sent.
            oldest_s = now_s - next(iter(self._asked.values())).at_s
            self._watch(max(LATE_SECONDS - oldest_s, LOOK_SECONDS))

    def _note_late_sending(self, asked: _Asked, now_s: float) -> None:
        if asked.direct is not None and not asked.is_late:
            asked.is_late = True
            self._paths.note_late(self.address, asked.at_s, now_s)

    def _note_late_forward(self, asked: _Asked, now_s: float) -> None:
        if asked.forward is None or now_s - asked.forwarded_s < FORWARD_LATE_SECONDS:
            return
        neighbour = asked.tried[-1]
        self._table.neighbour_link(neighbour).forget(asked.forward, is_late=True)
        asked.forward = None
        self._paths.note_useless(neighbour.node_id, self._now())

    def _drop(self, number: int, asked: _Asked) -> None:
        if asked.direct is not None:
            super().forget(asked.direct, is_late=True)
        self._asked.pop(number, None)


class RelayedLinkTable(LinkTable):
    """Links of a gateway to replicas, and what it knows of its paths.

    :param node_id: this gateway.
    """

    def __init__(self, node_id: str, log: DecisionLog, now: Callable[[], float]) -> None:
        super().__init__(log, now)
        self.paths = Paths()
        self._node_id = node_id
        self._neighbours = LinkTable(log, now)
        self._was_cut_off = False
        #: Requests that went through each neighbour, and those that one refused.
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
        """Send a request for a replica to a neighbour."""
        self.relayed[neighbour.node_id] += 1
        request = Forward(self._node_id, address, encode(message))
        return self.neighbour_link(neighbour).post(request, completion)

    def read(self, neighbour: Neighbour, reply: object | None) -> object | None:
        """Return the replica's reply that a neighbour brought; None if it brought none."""
        now_s = self._now()
        if not isinstance(reply, Forwarded):
            self.paths.note_useless(neighbour.node_id, now_s)
            return None
        if reply.status is ForwardStatus.OK:
            self.paths.note_forwarded(neighbour.node_id, now_s)
            return self.decoded(neighbour.node_id, reply.reply)
        self.refused[reply.status.value] += 1
        if reply.status is ForwardStatus.BUSY:
            self.paths.note_busy(neighbour.node_id, now_s)
        elif reply.status is not ForwardStatus.NO_ANSWER:
            self.paths.note_useless(neighbour.node_id, now_s)
        return None

    def decoded(self, node_id: str, body: bytes) -> object | None:
        """Return a message that another gateway passed on; None if it cannot be read."""
        try:
            return decode(body)
        except MessageError as error:
            self._log.write(decisions.MessageDropped(node_id, str(error)))
            return None

    def probe(self) -> None:
        """Find out whether replicas that were out of reach answer again."""
        now_s = self._now()
        self.paths.forget_unasked(now_s)
        with_detour = self.is_cut_off
        for address in self.paths.unreachable():
            if self.paths.is_probe_due(address, now_s):
                self.get(address).probe(with_detour)
                with_detour = False
        self.note_changes()

    def note_changes(self) -> None:
        """Write a line once this gateway is cut off, or no longer is."""
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
    """Return whether a neighbour said that the machine does not answer it either."""
    return isinstance(reply, Forwarded) and reply.status is ForwardStatus.NO_ANSWER
