"""Turns of conversations: their records, and prompts built from them."""

import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yarrowwall.event_stream import Event
from yarrowwall.messages.replicated import StoredRecord

_LENGTH = struct.Struct(">I")
_KEY_PREFIX = "turn/"
#: Version of every turn's record, since a turn never changes. Earlier releases stored version 1,
#: which has no owner.
_VERSION = 2


@dataclass(frozen=True)
class Turn:
    """One finished turn.

    :param previous: Attempt id of the turn that it continues; empty for none.
    :param first: Attempt id of the first turn of its chain; empty if its record does not tell it.
    :param body: The request body from the caller.
    :param output: The data of each event, each followed by a line feed.
    """

    attempt_id: str
    previous: str
    first: str
    body: bytes
    output: bytes

    @property
    def size(self) -> int:
        """Return the size of the turn in bytes."""
        return len(self.body) + len(self.output)

    def value(self) -> bytes:
        """Return the body and the output, encoded as the value of a record."""
        return _LENGTH.pack(len(self.body)) + self.body + self.output


def tenant_scoped(tenant: str, name: str) -> str:
    """Return a name chosen by callers, qualified by its tenant."""
    # The length prefix marks the end of the tenant, so no caller can forge another tenant's name.
    return f"{len(tenant)}:{tenant}:{name}" if tenant and name else name


def turn_key(attempt_id: str) -> str:
    """Return the record key of a turn, or an empty text for an empty id."""
    return _KEY_PREFIX + attempt_id if attempt_id else ""


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
        record.key.removeprefix(_KEY_PREFIX),
        record.link.removeprefix(_KEY_PREFIX),
        first.removeprefix(_KEY_PREFIX),
        record.value[start : start + length],
        record.value[start + length :],
    )


def output_of(events: Iterable[Event]) -> bytes:
    """Return the output of a turn, given the events of its stream."""
    return b"".join(event.data + b"\n" for event in events)


def prompt_body(turns: Sequence[Turn], body: bytes) -> bytes:
    """Return the request body for a server: all earlier turns, then the new input."""
    return b"".join([part for turn in turns for part in (turn.body, turn.output)] + [body])
