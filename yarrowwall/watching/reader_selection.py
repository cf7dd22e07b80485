"""Which readers a machine asks, and in which order. No I/O."""

from collections.abc import Iterable

from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.hashing import fraction
from yarrowwall.messages.replicated import Member

#: Readers of the own zone that are asked before those of other zones.
OWN_ZONE_READERS = 2
#: Readers that are asked for one answer at most.
MAX_READERS = 4
#: Seconds for which a reader that did not answer is passed over, doubled up to the most.
SKIP_SECONDS = 1.0
MAX_SKIP_SECONDS = 16.0
#: The same for one that answers but hears nothing from the store itself. It is asked again at
#: each look (0.25 s), for all of its zone wait until it hears of the store.
OUT_OF_CONTACT_SECONDS = 0.2


class ReaderSelection:
    """The machines that may read the store for this one.

    All machines of a zone agree on the first, so that few machines read the store.

    :param node_id: this machine.
    """

    def __init__(self, node_id: str, zone: str) -> None:
        self._node_id = node_id
        self._zone = zone
        self._readers: dict[str, Member] = {}
        self._failures: dict[str, int] = {}
        self._passed_over_until: dict[str, float] = {}

    def with_separate_failures(self) -> "ReaderSelection":
        """Return an order of the same readers with failures of its own: those on another way."""
        other = ReaderSelection(self._node_id, self._zone)
        other._readers = self._readers
        return other

    @property
    def is_known(self) -> bool:
        """Return whether any reader is known."""
        return bool(self._readers)

    def replace_all(self, readers: Iterable[Member]) -> None:
        """Take in all machines that may be readers."""
        found = {reader.node_id: reader for reader in readers}
        self._readers.clear()
        self._readers.update(found)

    def put(self, reader: Member) -> None:
        """Take in a machine that may be a reader."""
        self._readers[reader.node_id] = reader

    def remove(self, node_id: str) -> None:
        """Take in that a machine is no reader any more."""
        self._readers.pop(node_id, None)

    def has_reader_at(self, address: str) -> bool:
        """Return whether a machine that may be a reader is at an address."""
        return any(reader.address == address for reader in self._readers.values())

    def candidates(self, now_s: float) -> list[Member]:
        """Return the readers to ask, the best first."""
        by_zone: dict[str, list[Member]] = {}
        for node_id in sorted(self._readers):
            if self._passed_over_until.get(node_id, 0.0) <= now_s:
                reader = self._readers[node_id]
                by_zone.setdefault(reader.zone, []).append(reader)
        near = by_zone.pop(self._zone, [])[:OWN_ZONE_READERS]
        # Those of a zone without a reader are spread over the others.
        far = sorted(by_zone, key=lambda zone: fraction(self._node_id, zone))
        return (near + [by_zone[zone][0] for zone in far])[:MAX_READERS]

    def note_answered(self, node_id: str) -> None:
        """Note that a reader answered: it is passed over no more."""
        self._failures.pop(node_id, None)
        self._passed_over_until.pop(node_id, None)

    def note_no_answer(self, node_id: str, now_s: float) -> None:
        """Pass over a reader that did not answer."""
        failures = self._failures.get(node_id, 0)
        self._failures[node_id] = failures + 1
        pause_s = exponential_backoff_s(SKIP_SECONDS, MAX_SKIP_SECONDS, failures)
        self._passed_over_until[node_id] = now_s + pause_s

    def note_answered_relayed(self, node_id: str, now_s: float) -> None:
        """Note that a reader answers on another way: only the path is lost, and may be back."""
        self._failures.pop(node_id, None)
        until_s = self._passed_over_until.get(node_id, 0.0)
        self._passed_over_until[node_id] = min(until_s, now_s + SKIP_SECONDS)

    def note_out_of_contact(self, node_id: str, now_s: float) -> None:
        """Pass over a reader that gets no answers from the store."""
        self._passed_over_until[node_id] = now_s + OUT_OF_CONTACT_SECONDS
