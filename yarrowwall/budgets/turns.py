"""Turns of conversations: their records, a cache of them, and prompts built from them."""

import struct
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yarrowwall.event_stream import Event
from yarrowwall.messages.replicated import StoredRecord

#: Most bytes of turns that a gateway caches in memory.
CACHE_BYTES = 24 * 1024 * 1024

_LENGTH = struct.Struct(">I")
_KEY_PREFIX = "turn/"
#: Version of every turn's record, since a turn never changes.
_VERSION = 1


@dataclass(frozen=True)
class Turn:
    """One finished turn.

    :param previous: Attempt id of the turn that it continues; empty for none.
    :param body: The request body from the caller.
    :param output: The data of each event, each followed by a line feed.
    """

    attempt_id: str
    previous: str
    body: bytes
    output: bytes

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
    """Return the record of a turn.

    :param retention_s: Seconds for which the record is kept.
    """
    key, link = turn_key(turn.attempt_id), turn_key(turn.previous)
    return StoredRecord(key, _VERSION, "", link, retention_s, 0, turn.value())


def read_turn(key: str, link: str, value: bytes) -> Turn:
    """Return the turn encoded in a record."""
    (length,) = _LENGTH.unpack_from(value)
    start = _LENGTH.size
    return Turn(
        key.removeprefix(_KEY_PREFIX),
        link.removeprefix(_KEY_PREFIX),
        value[start : start + length],
        value[start + length :],
    )


def output_of(events: Iterable[Event]) -> bytes:
    """Return the output of a turn, given the events of its stream."""
    return b"".join(event.data + b"\n" for event in events)


def prompt_body(turns: Sequence[Turn], body: bytes) -> bytes:
    """Return the request body for a server: all earlier turns, then the new input."""
    return b"".join([part for turn in turns for part in (turn.body, turn.output)] + [body])


class TurnCache:
    """An LRU cache of turns. A turn never changes, so cached copies never become stale."""

    def __init__(self, max_bytes: int = CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._turns: OrderedDict[str, Turn] = OrderedDict()

    def put(self, turn: Turn) -> None:
        """Add a turn as the most recently used."""
        if turn.attempt_id in self._turns:
            self._turns.move_to_end(turn.attempt_id)
            return
        self._turns[turn.attempt_id] = turn
        self._bytes += len(turn.body) + len(turn.output)
        while self._bytes > self._max_bytes:
            _, oldest = self._turns.popitem(last=False)
            self._bytes -= len(oldest.body) + len(oldest.output)

    def chain(self, attempt_id: str) -> tuple[list[Turn], str]:
        """Return the cached turns up to one, newest first.

        :returns: The turns, and the attempt id of the first one that is not cached; empty if the
            whole chain is cached.
        """
        found = []
        while attempt_id:
            turn = self._turns.get(attempt_id)
            if turn is None:
                break
            self._turns.move_to_end(attempt_id)
            found.append(turn)
            attempt_id = turn.previous
        return found, attempt_id
