"""Which way a gateway's requests take to the replicas: its own, or through a neighbour. No I/O."""

from collections.abc import Callable, Collection, Sequence

from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.messages.relaying import Neighbour

#: Seconds without an answer after which a replica counts as out of reach. An answer takes 5 ms
#: (a round trip, a sync and the queue) and an operation waits 0.6 s for its quorum: the replicas
#: that are asked last, 0.08 s after the first, leave 0.37 s for the detour.
LATE_SECONDS = 0.15
#: Seconds in which an answer that was late shows that a replica is slow and not out of reach.
SLOW_SECONDS = 0.5
#: Seconds without an answer of a neighbour after which the next one is asked.
FORWARD_LATE_SECONDS = 0.2
#: Seconds before the newest question without an answer from which answers of other replicas
#: still count, once a gateway is held to be cut off: two direct tries.
STAY_SECONDS = 0.5
#: Seconds between two direct tries while requests take the detour, and seconds for which those
#: have to be answered before the detour is left: a path that comes and goes is not used.
PROBE_SECONDS = 0.25
BACK_SECONDS = 0.6
#: Seconds after which a replica that nobody asked for is forgotten.
FORGET_SECONDS = 30.0
#: Seconds for which a neighbour that did not answer, or is out of reach itself, is passed over,
#: doubled up to the most; and one that forwards as much as it may.
SILENT_SECONDS = 1.0
MOST_SILENT_SECONDS = 8.0
BUSY_SECONDS = 0.2
#: Seconds for which a forwarded request shows that neighbours reach the replicas. It is tried
#: every 0.5 s.
SERVED_SECONDS = 2.0


class _Replica:
    """What is known of the path to a replica.

    :ivar failing: whether it counts as out of reach.
    :ivar back_s: since when it answers again, while it still counts as out of reach.
    """

    def __init__(self) -> None:
        self.asked_s = float("-inf")
        self.answered_s = float("-inf")
        self.probed_s = float("-inf")
        self.failing = False
        self.back_s: float | None = None


class Paths:
    """The paths of one gateway.

    A replica that is down is no reason for a detour: only a gateway that has more replicas out
    of reach than have answered since the newest lost question was sent is held to be cut off.

    :ivar is_cut_off: whether this gateway, rather than a replica, seems to be cut off.
    """

    def __init__(self) -> None:
        self.is_cut_off = False
        self._late_sent_s = float("-inf")
        self._served_s = float("-inf")
        self._replicas: dict[str, _Replica] = {}
        #: Those that were removed and not asked since.
        self._removed: set[str] = set()
        self._neighbours: list[Neighbour] = []
        self._failures: dict[str, int] = {}
        self._passed_over_until: dict[str, float] = {}

    # Replicas

    def note_asked(self, address: str, now_s: float) -> None:
        """Note that a replica is asked."""
        self._removed.discard(address)
        self._replica(address).asked_s = now_s

    def _replica(self, address: str) -> _Replica:
        replica = self._replicas.get(address)
        if replica is None:
            replica = self._replicas[address] = _Replica()
        return replica

    def forget_unasked(self, now_s: float) -> None:
        """Forget replicas that nobody asked for lately; they may be gone."""
        for address, replica in list(self._replicas.items()):
            if now_s - replica.asked_s > FORGET_SECONDS:
                del self._replicas[address]
        self._judge()

    def forget_removed(self, is_member: Callable[[str], bool]) -> None:
        """Forget replicas that were removed: their silence tells nothing of a path.

        :param is_member: tells whether a replica at an address is in a group.
        """
        for address in [one for one in self._replicas if not is_member(one)]:
            del self._replicas[address]
            self._removed.add(address)
        self._judge()

    def note_answered(self, address: str, now_s: float) -> None:
        """Note that a replica answered directly."""
        replica = self._replica(address)
        replica.answered_s = now_s
        if not replica.failing and not self.is_cut_off:
            # One more that is heard: a gateway that was not cut off is not now.
            return
        if replica.failing and replica.back_s is None:
            replica.back_s = now_s
        if replica.back_s is not None and now_s - replica.back_s >= BACK_SECONDS:
            replica.failing = False
            replica.back_s = None
        self._judge()

    def note_slow(self, address: str, now_s: float) -> None:
        """Note that a replica answered late: it is slow, and in reach."""
        replica = self._replica(address)
        replica.answered_s = now_s
        replica.failing = False
        replica.back_s = None
        self._judge()

    def note_late(self, address: str, sent_s: float, now_s: float) -> None:
        """Note that a replica did not answer directly in time, or no connection came up.

        One that was removed meanwhile stays forgotten.
        A connection may be refused at once, before anyone else could have answered; answers of the
        time that a late one takes count then. Without this, two dead machines of eight made each
        gateway leave and come back, 470 times in two seconds at 56 gateways.

        :param sent_s: when it was asked.
        """
        if address in self._removed:
            return
        replica = self._replica(address)
        if sent_s <= replica.answered_s:
            return
        replica.failing = True
        replica.back_s = None
        self._late_sent_s = max(self._late_sent_s, min(sent_s, now_s - LATE_SECONDS))
        self._judge()

    def _judge(self) -> None:
        since_s = self._late_sent_s - (STAY_SECONDS if self.is_cut_off else 0.0)
        states = self._replicas.values()
        failing = sum(replica.failing for replica in states)
        heard = sum(not replica.failing and replica.answered_s >= since_s for replica in states)
        self.is_cut_off = failing > heard

    def uses_neighbour(self, address: str) -> bool:
        """Return whether requests to a replica go through a neighbour."""
        return self.is_cut_off and self.is_failing(address)

    def is_probe_due(self, address: str, now_s: float) -> bool:
        """Return whether to try directly beside the detour; it is tried then."""
        replica = self._replica(address)
        is_due = now_s - replica.probed_s >= PROBE_SECONDS
        if is_due:
            replica.probed_s = now_s
        return is_due

    def unreachable(self) -> Sequence[str]:
        """Return the replicas that count as out of reach."""
        return [address for address, replica in self._replicas.items() if replica.failing]

    def is_failing(self, address: str) -> bool:
        """Return whether a replica counts as out of reach."""
        replica = self._replicas.get(address)
        return replica is not None and replica.failing

    # Neighbours

    def replace_neighbours(self, neighbours: Sequence[Neighbour]) -> None:
        """Take in the neighbours to ask, the best first."""
        self._neighbours = list(neighbours)
        known = {neighbour.node_id for neighbour in neighbours}
        for notes in (self._failures, self._passed_over_until):
            for node_id in [node_id for node_id in notes if node_id not in known]:
                del notes[node_id]

    @property
    def neighbours(self) -> Sequence[Neighbour]:
        """Return the neighbours that are known."""
        return self._neighbours

    def neighbour(self, now_s: float, tried: Collection[str]) -> Neighbour | None:
        """Return the neighbour to ask next; None if there is none.

        If all are passed over, one is asked all the same: it costs a message, and the direct way
        is lost.
        """
        found = self.useful_neighbour(now_s, tried)
        if found is not None or tried or not self._neighbours:
            return found
        return min(self._neighbours, key=lambda one: self._passed_over_until[one.node_id])

    def useful_neighbour(self, now_s: float, tried: Collection[str]) -> Neighbour | None:
        """Return the neighbour to ask next that is not passed over; None if there is none."""
        for neighbour in self._neighbours:
            node_id = neighbour.node_id
            if node_id not in tried and self._passed_over_until.get(node_id, 0.0) <= now_s:
                return neighbour
        return None

    def note_forwarded(self, node_id: str, now_s: float) -> None:
        """Note that a neighbour forwarded a request and brought its reply."""
        self._served_s = now_s
        self._failures.pop(node_id, None)
        self._passed_over_until.pop(node_id, None)

    def note_busy(self, node_id: str, now_s: float) -> None:
        """Note that a neighbour forwards as much as it may."""
        self._passed_over_until[node_id] = now_s + BUSY_SECONDS

    def note_useless(self, node_id: str, now_s: float) -> None:
        """Note that a neighbour did not answer, or is out of reach itself."""
        failures = self._failures.get(node_id, 0)
        self._failures[node_id] = failures + 1
        pause_s = exponential_backoff_s(SILENT_SECONDS, MOST_SILENT_SECONDS, failures)
        self._passed_over_until[node_id] = now_s + pause_s

    def has_working_neighbour(self, now_s: float) -> bool:
        """Return whether a neighbour reaches the replicas that this gateway does not.

        If all replicas are slow, every gateway may hold itself to be cut off; then none is.
        """
        return self.is_cut_off and now_s - self._served_s <= SERVED_SECONDS
