"""The records of one replica, with their indexes and lifetimes. No I/O.

All records of an owner are kept for the same time, so a write extends the lifetime of any number of
earlier records at once. A turn's owner is the first turn of its chain.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from yarrowwall.messages.replicated import NO_NOTE, StoredRecord
from yarrowwall.policy.record_room import OWNER_BYTES, RECORD_BYTES, RecordRoom

#: Seconds that a record is kept beyond its retention. Callers count it from the end of the answer,
#: and a turn that begins within it may last longer than it.
RETENTION_MARGIN_SECONDS = 30.0
NO_LIFETIMES: Mapping[str, float] = MappingProxyType({})


def owner_of(record: StoredRecord) -> str:
    """Return the owner of a record; one without an owner belongs to itself.

    Earlier releases stored turns without one. The first turn of a chain belongs to itself in
    either case.
    """
    return record.owner or record.key


def _size(record: StoredRecord) -> int:
    """Return the bytes of memory that a record takes."""
    texts = len(record.key) + len(record.owner) + len(record.link)
    return RECORD_BYTES + texts + len(record.value)


class RecordTable:
    """Records by key; the higher version of a key wins. Times are of the monotonic clock.

    :param room: counts the records' bytes, of all tables of the machine.
    """

    def __init__(self, room: RecordRoom | None = None) -> None:
        self._room = room if room is not None else RecordRoom()
        self._records: dict[str, StoredRecord] = {}
        #: Keys of each owner's records, ordered by when their newest version was stored.
        self._by_owner: dict[str, dict[str, None]] = {}
        #: Until when each owner's records are kept.
        self._kept_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def owner_count(self) -> int:
        """Return the number of owners that have records."""
        return len(self._by_owner)

    def accepts_reservation(self, record: StoredRecord) -> bool:
        """Return whether there is room for a reservation."""
        return owner_of(record) in self._by_owner or self._room.accepts_reservation()

    def accepts(self, records: Iterable[StoredRecord]) -> bool:
        """Return whether there is room for records; those that are known need none."""
        return all(
            not self.is_newer(record)
            or self._room.accepts_record(len(record.value), owner_of(record) in self._by_owner)
            for record in records
        )

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

    def put(
        self,
        records: Iterable[StoredRecord],
        now: float,
        left_s: Mapping[str, float] = NO_LIFETIMES,
    ) -> list[StoredRecord]:
        """Store records and extend the lifetimes of their owners.

        :param left_s: for how many seconds copied records are kept, by key; others are kept for
            their retention and the margin.
        :returns: those that were unknown or newer than the stored ones. Others extend lifetimes
            too, so a record is kept once it is written again.
        """
        newer = []
        for record in records:
            if self.is_newer(record):
                self._store(record)
                newer.append(record)
            seconds = left_s.get(record.key, record.retention + RETENTION_MARGIN_SECONDS)
            self.extend(owner_of(self._records[record.key]), now + seconds)
            if not record.owner:
                self._extend_links(record, now + seconds)
        return newer

    def _extend_links(self, record: StoredRecord, until: float) -> None:
        """Extend the lifetimes of the turns before one that an earlier release stored."""
        found: StoredRecord | None = record
        while found is not None and found.link:
            found = self._records.get(found.link)
            if found is not None:
                self.extend(owner_of(found), until)

    def _store(self, record: StoredRecord) -> None:
        owner, earlier = owner_of(record), self._records.get(record.key)
        if earlier is not None:
            self._room.used -= _size(earlier)
            if owner_of(earlier) != owner:
                self._forget_key(earlier)
        self._records[record.key] = record
        self._room.used += _size(record)
        if owner not in self._by_owner:
            self._room.used += OWNER_BYTES
        keys = self._by_owner.setdefault(owner, {})
        keys.pop(record.key, None)
        keys[record.key] = None

    def _forget_key(self, record: StoredRecord) -> None:
        """Remove a record from its owner's keys, and the owner if that was its last one."""
        owner = owner_of(record)
        keys = self._by_owner[owner]
        del keys[record.key]
        if not keys:
            del self._by_owner[owner]
            del self._kept_until[owner]
            self._room.used -= OWNER_BYTES

    def of_owner(self, owner: str) -> list[StoredRecord]:
        """Return all records of an owner."""
        return [self._records[key] for key in self._by_owner.get(owner, ())]

    def newest_note(self, owner: str) -> str:
        """Return the value, as text, of an owner's newest record that has one; else empty."""
        for key in reversed(self._by_owner.get(owner, {})):
            value = self._records[key].value
            if value and not value.startswith(NO_NOTE):
                return value.decode(errors="replace")
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

    # Lifetimes

    def left_s(self, owner: str, now: float) -> float:
        """Return for how many seconds an owner's records are kept; 0 for an unknown owner."""
        return max(0.0, self._kept_until.get(owner, now) - now)

    def key_left_s(self, key: str, now: float) -> float:
        """Return for how many seconds a record is kept; 0 if it is unknown."""
        record = self._records.get(key)
        return self.left_s(owner_of(record), now) if record is not None else 0.0

    def extend(self, owner: str, until: float) -> None:
        """Keep an owner's records until a time at least; do nothing for an unknown owner."""
        if owner in self._by_owner:
            self._kept_until[owner] = max(until, self._kept_until.get(owner, until))

    def is_chain(self, owner: str) -> bool:
        """Return whether an owner's records are linked, so that other groups may have some too."""
        record = self._records[next(iter(self._by_owner[owner]))]
        return bool(record.link) or record.key == owner

    def overdue(self, now: float) -> list[str]:
        """Return the owners whose lifetime is over."""
        return [owner for owner, until in self._kept_until.items() if until < now]

    def drop(self, owners: Iterable[str], now: float) -> int:
        """Drop the records of those owners whose lifetime is over; return the records' number."""
        dropped = 0
        for owner in owners:
            if self._kept_until.get(owner, now) >= now:
                continue
            del self._kept_until[owner]
            keys = self._by_owner.pop(owner)
            self._room.used -= OWNER_BYTES
            for key in keys:
                self._room.used -= _size(self._records.pop(key))
            dropped += len(keys)
        return dropped
