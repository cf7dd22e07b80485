"""Decides whether a gateway sends requests to replicas directly or through a neighbour. No I/O."""

from collections.abc import Callable, Collection, Sequence

from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.messages.relaying import Neighbour

#: Seconds without an answer after which a replica counts as unreachable. An answer takes 5 ms
#: (a round trip, a sync and the queue) and an operation waits 0.6 s for its quorum: for the
#: replicas that are asked last, 0.08 s after the first, 0.37 s remain to ask a neighbour.
LATE_SECONDS = 0.15
#: Seconds within which a late answer shows that a replica is slow rather than unreachable.
SLOW_SECONDS = 0.5
#: Seconds without an answer from a neighbour after which the next one is asked.
FORWARD_LATE_SECONDS = 0.2
#: While a gateway counts as cut off, answers of other replicas count if they came at most this
#: many seconds before the newest unanswered request was sent: the time of two direct probes.
CUT_OFF_WINDOW_SECONDS = 0.5
#: Seconds between two direct probes while requests go through neighbours, and seconds for which
#: these must be answered before requests are sent directly again, so that an unstable path is
#: not used.
PROBE_SECONDS = 0.25
RECOVERY_SECONDS = 0.6
#: Seconds without a request after which a replica is forgotten.
IDLE_SECONDS = 30.0
#: Seconds for which a neighbour is skipped that did not answer or cannot reach replicas itself:
#: the first pause, doubled with each failure up to the maximum. Then the pause for a neighbour
#: that forwards as many requests as it may.
NEIGHBOUR_PAUSE_SECONDS = 1.0
MAX_NEIGHBOUR_PAUSE_SECONDS = 8.0
BUSY_PAUSE_SECONDS = 0.2
#: Seconds for which a forwarded reply counts as proof that neighbours reach the replicas. A
#: gateway that is cut off sends a probe every 0.5 s.
FORWARDED_RECENTLY_SECONDS = 2.0


class _Replica:
    """State of the direct path to a replica.

    :ivar asked_s: when the newest request was sent, directly or through a neighbour.
    :ivar answered_s: when the newest direct answer came.
    :ivar probed_s: when it was last probed directly.
    :ivar is_failing: whether it counts as unreachable.
    :ivar recovering_since_s: when it began to answer again while it counts as unreachable.
    """

    def __init__(self) -> None:
        self.asked_s = float("-inf")
        self.answered_s = float("-inf")
        self.probed_s = float("-inf")
        self.is_failing = False
        self.recovering_since_s: float | None = None


class Paths:
    """The paths from one gateway to the replicas, and its neighbours.

    A failed replica alone does not make requests go through neighbours. A gateway counts as cut
    off only while more replicas are unreachable than have answered since the newest unanswered
    request was sent.

    :ivar is_cut_off: whether this gateway, rather than a replica, seems to be cut off.
    """

    def __init__(self) -> None:
        self.is_cut_off = False
        self._late_request_s = float("-inf")
        self._forwarded_s = float("-inf")
        self._replicas: dict[str, _Replica] = {}
        #: Addresses of replicas that were removed and not asked since.
        self._removed: set[str] = set()
        self._neighbours: list[Neighbour] = []
        self._failures: dict[str, int] = {}
        self._skipped_until: dict[str, float] = {}

    # Replicas

    def note_asked(self, address: str, now_s: float) -> None:
        """Note that a request is sent to a replica."""
        self._removed.discard(address)
        self._replica(address).asked_s = now_s

    def _replica(self, address: str) -> _Replica:
        replica = self._replicas.get(address)
        if replica is None:
            replica = self._replicas[address] = _Replica()
        return replica

    def forget_idle(self, now_s: float) -> None:
        """Forget replicas without recent requests; they may have been removed."""
        for address, replica in list(self._replicas.items()):
            if now_s - replica.asked_s > IDLE_SECONDS:
                del self._replicas[address]
        self._update_is_cut_off()

    def forget_removed(self, is_member: Callable[[str], bool]) -> None:
        """Forget replicas that were removed, since their silence says nothing about a path.

        :param is_member: returns whether a replica at an address is in a group.
        """
        for address in [one for one in self._replicas if not is_member(one)]:
            del self._replicas[address]
            self._removed.add(address)
        self._update_is_cut_off()

    def note_answered(self, address: str, now_s: float) -> None:
        """Note that a replica answered directly."""
        replica = self._replica(address)
        replica.answered_s = now_s
        if not replica.is_failing and not self.is_cut_off:
            # One more answering replica cannot make a gateway count as cut off.
            return
        if replica.is_failing and replica.recovering_since_s is None:
            replica.recovering_since_s = now_s
        if (
            replica.recovering_since_s is not None
            and now_s - replica.recovering_since_s >= RECOVERY_SECONDS
        ):
            replica.is_failing = False
            replica.recovering_since_s = None
        self._update_is_cut_off()

    def note_slow(self, address: str, now_s: float) -> None:
        """Note that a replica answered late, so that it is slow but reachable."""
        replica = self._replica(address)
        replica.answered_s = now_s
        replica.is_failing = False
        replica.recovering_since_s = None
        self._update_is_cut_off()

    def note_late(self, address: str, sent_s: float, now_s: float) -> None:
        """Note that a replica did not answer directly in time, or could not be connected to.

        A replica that was removed meanwhile stays forgotten.

        A connection may be refused at once, before other replicas could answer. The request then
        counts as sent :data:`LATE_SECONDS` ago, so that answers within that time count. Without
        this, two dead machines of eight made 56 gateways change between direct requests and
        neighbours 470 times in two seconds.

        :param sent_s: when the request was sent.
        """
        if address in self._removed:
            return
        replica = self._replica(address)
        if sent_s <= replica.answered_s:
            return
        replica.is_failing = True
        replica.recovering_since_s = None
        self._late_request_s = max(self._late_request_s, min(sent_s, now_s - LATE_SECONDS))
        self._update_is_cut_off()

    def _update_is_cut_off(self) -> None:
        since_s = self._late_request_s - (CUT_OFF_WINDOW_SECONDS if self.is_cut_off else 0.0)
        states = self._replicas.values()
        failing = sum(replica.is_failing for replica in states)
        answering = sum(
            not replica.is_failing and replica.answered_s >= since_s for replica in states
        )
        self.is_cut_off = failing > answering

    def uses_neighbour(self, address: str) -> bool:
        """Return whether requests to a replica go through a neighbour."""
        return self.is_cut_off and self.is_failing(address)

    def is_probe_due(self, address: str, now_s: float) -> bool:
        """Return whether to probe the direct path now; if so, the probe counts as sent."""
        replica = self._replica(address)
        is_due = now_s - replica.probed_s >= PROBE_SECONDS
        if is_due:
            replica.probed_s = now_s
        return is_due

    def unreachable(self) -> Sequence[str]:
        """Return the addresses of the replicas that count as unreachable."""
        return [address for address, replica in self._replicas.items() if replica.is_failing]

    def is_failing(self, address: str) -> bool:
        """Return whether a replica counts as unreachable."""
        replica = self._replicas.get(address)
        return replica is not None and replica.is_failing

    # Neighbours

    def replace_neighbours(self, neighbours: Sequence[Neighbour]) -> None:
        """Replace the list of neighbours, which are tried in this order."""
        self._neighbours = list(neighbours)
        known = {neighbour.node_id for neighbour in neighbours}
        for notes in (self._failures, self._skipped_until):
            for node_id in [node_id for node_id in notes if node_id not in known]:
                del notes[node_id]

    @property
    def neighbours(self) -> Sequence[Neighbour]:
        """Return the known neighbours."""
        return self._neighbours

    def next_neighbour(self, now_s: float, tried: Collection[str]) -> Neighbour | None:
        """Return the neighbour to ask next; None if there is none.

        If all are skipped for now and none was tried for this request, the one whose pause ends
        first is returned: that costs one message, and the direct path does not work.

        :param tried: node ids of the neighbours that were tried for this request.
        """
        found = self.available_neighbour(now_s, tried)
        if found is not None or tried or not self._neighbours:
            return found
        return min(self._neighbours, key=lambda one: self._skipped_until[one.node_id])

    def available_neighbour(self, now_s: float, tried: Collection[str]) -> Neighbour | None:
        """Return the first neighbour that was not tried and is not skipped; None if there is none.

        :param tried: node ids of the neighbours that were tried for this request.
        """
        for neighbour in self._neighbours:
            node_id = neighbour.node_id
            if node_id not in tried and self._skipped_until.get(node_id, 0.0) <= now_s:
                return neighbour
        return None

    def note_forwarded(self, node_id: str, now_s: float) -> None:
        """Note that a neighbour forwarded a request and returned its reply."""
        self._forwarded_s = now_s
        self._failures.pop(node_id, None)
        self._skipped_until.pop(node_id, None)

    def note_busy(self, node_id: str, now_s: float) -> None:
        """Note that a neighbour refused a request because it forwards as many as it may."""
        self._skipped_until[node_id] = now_s + BUSY_PAUSE_SECONDS

    def note_unusable(self, node_id: str, now_s: float) -> None:
        """Note that a neighbour did not answer, or cannot reach replicas itself."""
        failures = self._failures.get(node_id, 0)
        self._failures[node_id] = failures + 1
        pause_s = exponential_backoff_s(
            NEIGHBOUR_PAUSE_SECONDS, MAX_NEIGHBOUR_PAUSE_SECONDS, failures
        )
        self._skipped_until[node_id] = now_s + pause_s

    def has_working_neighbour(self, now_s: float) -> bool:
        """Return whether this gateway is cut off and a neighbour reaches the replicas for it.

        If all replicas are slow, every gateway may count as cut off, and no neighbour helps.
        """
        return self.is_cut_off and now_s - self._forwarded_s <= FORWARDED_RECENTLY_SECONDS
