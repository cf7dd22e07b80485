"""Single requests to machines out of reach that go through neighbours."""

from collections.abc import Callable
from typing import NamedTuple

from eventlet.event import Event

from yarrowwall.messages.relaying import Forwarded, ForwardStatus, Neighbour
from yarrowwall.replication.exceptions import LinkDownError, NoNeighbourError
from yarrowwall.replication.paths import FORWARD_LATE_SECONDS
from yarrowwall.replication.relayed_links import (
    MOST_NEIGHBOURS,
    RelayedLinkTable,
    is_unanswered,
)

#: Seconds for a reply. A neighbour says after 0.6 s that it got none, so one that has said
#: nothing by then is lost itself.
REPLY_SECONDS = 0.7
#: Seconds for which a neighbour that refused a request is sent no other one of this kind: it may
#: run an earlier release, or not know the address yet. It passes others on all the same.
REFUSED_SECONDS = 8.0


class _Sent(NamedTuple):
    """A request that a neighbour was asked to pass on.

    :param number: by which it is forgotten at the neighbour's link.
    """

    neighbour: Neighbour
    number: int
    at_s: float


class _Passing:
    """One request under way.

    :ivar tried: names of the neighbours that were asked.
    :ivar open: what no neighbour has answered yet, by the neighbour's name.
    :ivar found: the reply.
    :ivar is_lost: whether a neighbour said that the machine does not answer it either.
    :ivar news: sent once a neighbour answers.
    """

    def __init__(self) -> None:
        self.tried: list[str] = []
        self.open: dict[str, _Sent] = {}
        self.found: object | None = None
        self.is_lost = False
        self.news = Event()

    def tell(self) -> None:
        """Wake whoever waits."""
        if not self.news.ready():
            self.news.send()


class NeighbourForwarder:
    """Sends requests through neighbours that no direct way is tried for.

    The neighbours, and those that are passed over, are the ones of the links to replicas.

    :param now: the monotonic clock.
    """

    def __init__(self, links: RelayedLinkTable, now: Callable[[], float]) -> None:
        self._links = links
        self._now = now
        self._refused_until: dict[str, float] = {}

    def call(self, address: str, message: object) -> object:
        """Return a machine's reply to a request.

        The next neighbour is asked once one refuses or is late, three at most; the first reply
        counts, and others that come later are dropped.

        :raises LinkDownError: if the machine does not answer its neighbours either.
        :raises NoNeighbourError: if no neighbour passes the request on.
        """
        passing = _Passing()
        last_s = self._now() + REPLY_SECONDS
        try:
            while passing.found is None and not passing.is_lost:
                may_send = self._send(passing, address, message)
                self._wait(passing, last_s, may_send)
        finally:
            self._forget(passing)
        if passing.found is None:
            raise LinkDownError(address)
        return passing.found

    def _send(self, passing: _Passing, address: str, message: object) -> bool:
        """Ask one more neighbour; return whether there was one."""
        now_s = self._now()
        if len(passing.tried) >= MOST_NEIGHBOURS:
            return False
        refusing = [name for name, until_s in self._refused_until.items() if until_s > now_s]
        neighbour = self._links.paths.useful_neighbour(now_s, [*passing.tried, *refusing])
        if neighbour is None:
            return False
        passing.tried.append(neighbour.node_id)
        number = self._links.forward(
            neighbour, address, message, lambda reply: self._take(passing, neighbour, reply)
        )
        passing.open[neighbour.node_id] = _Sent(neighbour, number, now_s)
        return True

    def _wait(self, passing: _Passing, last_s: float, may_send: bool) -> None:
        """Wait for an answer, or until it is time to ask one more neighbour.

        :raises NoNeighbourError: if there is nothing more to wait for.
        """
        left_s = last_s - self._now()
        if not passing.open or left_s <= 0.0:
            raise NoNeighbourError(", ".join(passing.tried) or "all are passed over")
        passing.news.wait(min(FORWARD_LATE_SECONDS, left_s) if may_send else left_s)
        passing.news = Event()

    def _take(self, passing: _Passing, neighbour: Neighbour, reply: object | None) -> None:
        is_open = passing.open.pop(neighbour.node_id, None) is not None
        if not is_open or passing.found is not None:
            return
        if isinstance(reply, Forwarded) and reply.status is ForwardStatus.REFUSED:
            self._links.refused[reply.status.value] += 1
            self._refused_until[neighbour.node_id] = self._now() + REFUSED_SECONDS
        else:
            passing.is_lost = is_unanswered(reply)
            passing.found = self._links.read(neighbour, reply)
        passing.tell()

    def _forget(self, passing: _Passing) -> None:
        """Wait for no neighbour any more; those that were silent while another answered are lost.

        While nobody brought a reply it may be the machine that is slow.
        """
        now_s = self._now()
        is_sure_s = FORWARD_LATE_SECONDS if passing.found is not None else REPLY_SECONDS
        for sent in passing.open.values():
            is_late = now_s - sent.at_s >= is_sure_s
            self._links.neighbour_link(sent.neighbour).forget(sent.number, is_late)
            if is_late:
                self._links.paths.note_useless(sent.neighbour.node_id, now_s)
        passing.open.clear()
