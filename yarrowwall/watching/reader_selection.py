"""Selects the store readers that a machine asks, and their order. No I/O."""

from collections.abc import Iterable

from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.hashing import fraction
from yarrowwall.messages.replicated import Member

#: Number of readers in the same zone that are asked before those of other zones.
OWN_ZONE_READERS = 2
#: Maximum number of readers that are asked for one answer.
MAX_READERS = 4
#: Seconds for which a reader that did not answer is skipped; doubled with each failure in a row,
#: up to the maximum.
SKIP_SECONDS = 1.0
MAX_SKIP_SECONDS = 16.0
#: The same for a reader that answers but cannot reach the store. It is asked again at each health
#: check (every 0.25 s), since the whole zone waits until it reaches the store again.
OUT_OF_CONTACT_SECONDS = 0.2


class ReaderSelection:
    """The store readers that this machine may ask, ordered by preference.

    All machines of a zone agree on the first reader, so that few machines read the store.

    :param node_id: this machine.
    """

    def __init__(self, node_id: str, zone: str) -> None:
        self._node_id = node_id
        self._zone = zone
        self._readers: dict[str, Member] = {}
        self._failures: dict[str, int] = {}
        self._skipped_until: dict[str, float] = {}

    def with_separate_failures(self) -> "ReaderSelection":
        """Return a selection that shares the list of readers but counts failures separately.

        Used for requests that take another path to the same readers.
        """
        other = ReaderSelection(self._node_id, self._zone)
        other._readers = self._readers
        return other

    @property
    def is_known(self) -> bool:
        """Return whether any reader is known."""
        return bool(self._readers)

    def replace_all(self, readers: Iterable[Member]) -> None:
        """Replace the list of readers."""
        found = {reader.node_id: reader for reader in readers}
        self._readers.clear()
        self._readers.update(found)

    def put(self, reader: Member) -> None:
        """Add or replace a reader."""
        self._readers[reader.node_id] = reader

    def remove(self, node_id: str) -> None:
        """Remove a machine that is no longer a reader."""
        self._readers.pop(node_id, None)

    def has_reader_at(self, address: str) -> bool:
        """Return whether a reader is registered at an address."""
        return any(reader.address == address for reader in self._readers.values())

    def candidates(self, now_s: float) -> list[Member]:
        """Return the readers to ask, the best first."""
        by_zone: dict[str, list[Member]] = {}
        for node_id in sorted(self._readers):
            if self._skipped_until.get(node_id, 0.0) <= now_s:
                reader = self._readers[node_id]
                by_zone.setdefault(reader.zone, []).append(reader)
        same_zone = by_zone.pop(self._zone, [])[:OWN_ZONE_READERS]
        # Spreads the machines of a zone without a reader over the readers of other zones.
        other_zones = sorted(by_zone, key=lambda zone: fraction(self._node_id, zone))
        return (same_zone + [by_zone[zone][0] for zone in other_zones])[:MAX_READERS]

    def note_answered(self, node_id: str) -> None:
        """Note that a reader answered, and stop skipping it."""
        self._failures.pop(node_id, None)
        self._skipped_until.pop(node_id, None)

    def note_no_answer(self, node_id: str, now_s: float) -> None:
        """Skip a reader that did not answer, for longer with each failure in a row."""
        failures = self._failures.get(node_id, 0)
        self._failures[node_id] = failures + 1
        pause_s = exponential_backoff_s(SKIP_SECONDS, MAX_SKIP_SECONDS, failures)
        self._skipped_until[node_id] = now_s + pause_s

    def note_answered_relayed(self, node_id: str, now_s: float) -> None:
        """Note that a reader answered on another path, and retry it soon.

        Only the path to it was lost, and that may recover at any time.
        """
        self._failures.pop(node_id, None)
        until_s = self._skipped_until.get(node_id, 0.0)
        self._skipped_until[node_id] = min(until_s, now_s + SKIP_SECONDS)

    def note_out_of_contact(self, node_id: str, now_s: float) -> None:
        """Skip a reader that cannot reach the store."""
        self._skipped_until[node_id] = now_s + OUT_OF_CONTACT_SECONDS
