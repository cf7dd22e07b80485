"""The records of one replica, with their indexes and their expiry. No I/O."""

from collections import defaultdict
from collections.abc import Iterable

from yarrowwall.messages.replicated import StoredRecord

#: Seconds that a record is kept beyond its retention, for clocks that differ.
MARGIN_SECONDS = 30.0


class RecordTable:
    """Records by key; the higher version of a key wins."""

    def __init__(self) -> None:
        self._records: dict[str, StoredRecord] = {}
        self._expires: dict[str, float] = {}
        #: Keys of an owner's records, the one that was news last at the end.
        self._by_owner: dict[str, dict[str, None]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> StoredRecord | None:
        """Return a record."""
        return self._records.get(key)

    def all(self) -> list[StoredRecord]:
        """Return all records."""
        return list(self._records.values())

    def is_news(self, record: StoredRecord) -> bool:
        """Return whether a record is unknown or newer than the one that is held."""
        held = self._records.get(record.key)
        return held is None or held.version < record.version

    def put(self, records: Iterable[StoredRecord], now: float) -> list[StoredRecord]:
        """Take records in and return those that were news."""
        news = [record for record in records if self.is_news(record)]
        for record in news:
            self._records[record.key] = record
            if record.owner:
                self._by_owner[record.owner].pop(record.key, None)
                self._by_owner[record.owner][record.key] = None
            self._keep(record, now)
        return news

    def _keep(self, record: StoredRecord, now: float) -> None:
        """Put off the expiry of a record and of what it belongs to."""
        until = now + record.retention + MARGIN_SECONDS
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
        """Return the value of an owner's newest record that has one, as text."""
        for key in reversed(self._by_owner.get(owner, {})):
            if self._records[key].value:
                return self._records[key].value.decode(errors="replace")
        return ""

    def chain(self, key: str, known: Iterable[str]) -> list[StoredRecord]:
        """Return a record and those it goes on from, newest first, without known ones."""
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
        """Drop records whose time is over; return how many."""
        over = [key for key, until in self._expires.items() if until < now]
        for key in over:
            record = self._records.pop(key)
            del self._expires[key]
            keys = self._by_owner.get(record.owner)
            if keys is not None:
                keys.pop(key, None)
                if not keys:
                    del self._by_owner[record.owner]
        return len(over)
