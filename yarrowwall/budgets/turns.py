"""Turns of conversations: their records, and prompts built from them."""

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yarrowwall.budgets.record_names import RecordName
from yarrowwall.event_stream import Event
from yarrowwall.messages.replicated import StoredRecord

#: Memory of a turn beside its body and its output: its names, and its entry in a cache.
OBJECT_BYTES = 1024
_LENGTH = struct.Struct(">I")
_KEY_PREFIX = "turn/"
#: Version of every turn's record, since a turn never changes. Earlier releases stored version 1,
#: which has no owner, and version 2, whose key may be that of another tenant's turn.
_VERSION = 3


@dataclass(frozen=True)
class Turn:
    """One finished turn.

    :param attempt_id: Name of the attempt that it answers.
    :param previous: Name of the turn that it continues; ``NO_NAME`` for none.
    :param first: Name of the first turn of its chain; ``NO_NAME`` if its record does not tell it.
    :param body: The request body from the caller.
    :param output: The data of each event, each followed by a line feed.
    """

    attempt_id: RecordName
    previous: RecordName
    first: RecordName
    body: bytes
    output: bytes

    @property
    def size(self) -> int:
        """Return the bytes of memory that the turn takes."""
        return OBJECT_BYTES + len(self.body) + len(self.output)

    def value(self) -> bytes:
        """Return the body and the output, encoded as the value of a record."""
        return _LENGTH.pack(len(self.body)) + self.body + self.output


def turn_key(attempt_id: RecordName) -> str:
    """Return the record key of a turn, or an empty text for no turn."""
    return _KEY_PREFIX + attempt_id if attempt_id else ""


def has_certain_owner(record: StoredRecord) -> bool:
    """Return whether a turn belongs to the tenant that its key tells.

    Earlier releases gave some turns of callers without a tenant the key of a tenant's turn.
    """
    return record.version >= _VERSION


def turn_record(turn: Turn, retention_s: float) -> StoredRecord:
    """Return the record of a turn, whose owner is the first turn of its chain.

    :param retention_s: Seconds for which the record and its chain are kept.
    """
    key, link, owner = turn_key(turn.attempt_id), turn_key(turn.previous), turn_key(turn.first)
    return StoredRecord(key, _VERSION, owner, link, retention_s, 0, turn.value())


def read_turn(record: StoredRecord) -> Turn:
    """Return the turn encoded in a record."""
    (length,) = _LENGTH.unpack_from(record.value)
    start = _LENGTH.size
    first = record.owner or ("" if record.link else record.key)
    return Turn(
        _named(record.key),
        _named(record.link),
        _named(first),
        record.value[start : start + length],
        record.value[start + length :],
    )


def _named(key: str) -> RecordName:
    return RecordName(key.removeprefix(_KEY_PREFIX))


def output_of(events: Iterable[Event]) -> bytes:
    """Return the output of a turn, given the events of its stream."""
    return b"".join(event.data + b"\n" for event in events)


def prompt_body(turns: Sequence[Turn], body: bytes) -> bytes:
    """Return the request body for a server: all earlier turns, then the new input."""
    return b"".join([part for turn in turns for part in (turn.body, turn.output)] + [body])
