"""The records of one replica, with their indexes and expiry. No I/O."""

from collections import defaultdict
from collections.abc import Iterable

from yarrowwall.messages.replicated import StoredRecord

#: Seconds that a record is kept beyond its retention, to allow for clock differences.
CLOCK_MARGIN_SECONDS = 30.0


class RecordTable:
    """Records by key; the higher version of a key wins."""

    def __init__(self) -> None:
        self._records: dict[str, StoredRecord] = {}
        self._expires: dict[str, float] = {}
        #: Keys of each owner's records, ordered by when their newest version was stored.
        self._by_owner: dict[str, dict[str, None]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> StoredRecord | None:
        """Return a record; None if it is unknown."""
        return self._records.get(key)

    def all(self) -> list[StoredRecord]:
        """Return all records."""
        return list(self._records.values())

    def is_newer(self, record: StoredRecord) -> bool:
        """Return whether a record is unknown or newer than the stored version."""
        held = self._records.get(record.key)
        return held is None or held.version < record.version

    def put(self, records: Iterable[StoredRecord], now: float) -> list[StoredRecord]:
        """Store records; return those that were unknown or newer than the stored ones."""
        newer = [record for record in records if self.is_newer(record)]
        for record in newer:
            self._records[record.key] = record
            if record.owner:
                self._by_owner[record.owner].pop(record.key, None)
                self._by_owner[record.owner][record.key] = None
            self._extend_expiry(record, now)
        return newer

    def _extend_expiry(self, record: StoredRecord, now: float) -> None:
        """Extend the expiry of a record, its owner's records and the records it links to."""
        until = now + record.retention + CLOCK_MARGIN_SECONDS
        for key in self._by_owner[record.owner] if record.owner else ():
            self._expires[key] = max(until, self._expires.get(key, 0.0))
        found: StoredRecord | None = record
        while found is not None:
            self._expires[found.key] = max(until, self._expires.get(found.key, 0.0))
            found = self._records.get(found.link) if found.link else None

    def of_owner(self, owner: str) -> list[StoredRecord]:
        """Return all records of an owner."""
        return [self._records[key] for key in self._by_owner.get(owner, ())]

    def newest_note(self, owner: str) -> str:
        """Return the value, as text, of an owner's newest record that has one; else empty."""
        for key in reversed(self._by_owner.get(owner, {})):
            if self._records[key].value:
                return self._records[key].value.decode(errors="replace")
        return ""

    def chain(self, key: str, known: Iterable[str]) -> list[StoredRecord]:
        """Return a record and those it links to, newest first, up to the first known key."""
        stop = set(known)
        found = []
        while key and key not in stop:
            record = self._records.get(key)
            if record is None:
                break
            found.append(record)
            stop.add(key)
            key = record.link
        return found

    def expire(self, now: float) -> int:
        """Drop expired records; return their number."""
        expired = [key for key, until in self._expires.items() if until < now]
        for key in expired:
            record = self._records.pop(key)
            del self._expires[key]
            keys = self._by_owner.get(record.owner)
            if keys is not None:
                keys.pop(key, None)
                if not keys:
                    del self._by_owner[record.owner]
        return len(expired)
