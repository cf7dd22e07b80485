"""A gateway's cache of turns, and until when the record store is known to keep them. No I/O."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from yarrowwall.budgets.record_names import NO_NAME, RecordName
from yarrowwall.budgets.turns import Turn
from yarrowwall.policy.memory_budget import share_beyond_idle

#: Most bytes of turns that a gateway caches in memory.
CACHE_BYTES = 24 * 1024 * 1024
#: Share of a machine's memory, beyond that of an idle process, that cached turns may take.
MEMORY_SHARE = 0.3
#: Most lines of turns whose newest turn is remembered.
MAX_LINES = 10_000


class TurnLine(NamedTuple):
    """A line of turns that continue one another: a session of a program."""

    program: RecordName
    session_id: str


@dataclass(slots=True)
class _CachedTurn:
    """A turn, and until when replicas keep it with its chain, on the monotonic clock.

    :param kept_until: until when a write quorum of its common group keeps it.
    :param kept_in_zone_until: until when a write quorum of the zone's own group keeps it.
    """

    turn: Turn
    kept_until: float = 0.0
    kept_in_zone_until: float = 0.0


def cache_bytes(memory_mb: float) -> int:
    """Return the bytes of turns that are cached on a machine with the given memory."""
    return min(CACHE_BYTES, share_beyond_idle(memory_mb, MEMORY_SHARE))


class TurnCache:
    """An LRU cache of turns. A turn never changes, so cached copies never become stale."""

    def __init__(self, max_bytes: int = CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._turns: OrderedDict[RecordName, _CachedTurn] = OrderedDict()
        self._newest_by_line: OrderedDict[TurnLine, RecordName] = OrderedDict()

    def put(self, turn: Turn) -> None:
        """Add a turn as the most recently used."""
        cached = self._turns.get(turn.attempt_id)
        if cached is not None:
            # Only the first turn of its chain may have been unknown.
            cached.turn = turn if turn.first else cached.turn
            self._turns.move_to_end(turn.attempt_id)
            return
        self._turns[turn.attempt_id] = _CachedTurn(turn)
        self._bytes += turn.size
        while self._bytes > self._max_bytes:
            _, oldest = self._turns.popitem(last=False)
            self._bytes -= oldest.turn.size

    def chain(self, attempt_id: RecordName) -> tuple[list[Turn], RecordName]:
        """Return the cached turns up to one, newest first.

        :returns: The turns, and the name of the first one that is not cached; ``NO_NAME`` if the
            whole chain is cached.
        """
        found = []
        while attempt_id:
            cached = self._turns.get(attempt_id)
            if cached is None:
                break
            self._turns.move_to_end(attempt_id)
            found.append(cached.turn)
            attempt_id = cached.turn.previous
        return found, attempt_id

    def note_newest(self, line: TurnLine, attempt_id: RecordName) -> None:
        """Note the newest turn of a line of turns."""
        self._newest_by_line[line] = attempt_id
        self._newest_by_line.move_to_end(line)
        if len(self._newest_by_line) > MAX_LINES:
            self._newest_by_line.popitem(last=False)

    def newest(self, line: TurnLine) -> RecordName:
        """Return the newest cached turn of a line; ``NO_NAME`` if there is none."""
        attempt_id = self._newest_by_line.get(line, NO_NAME)
        return attempt_id if attempt_id in self._turns else NO_NAME

    # Until when turns are kept

    def note_kept(self, attempt_id: RecordName, until: float, in_zone: bool = False) -> None:
        """Note until when a turn is kept with its chain.

        :param in_zone: Whether the zone's own group keeps it, and not its common group.
        """
        cached = self._turns.get(attempt_id)
        if cached is None:
            return
        if in_zone:
            cached.kept_in_zone_until = max(until, cached.kept_in_zone_until)
        else:
            cached.kept_until = max(until, cached.kept_until)

    def is_kept(self, attempt_id: RecordName, until: float, in_zone: bool = False) -> bool:
        """Return whether a turn is known to be kept with its chain until a time."""
        cached = self._turns.get(attempt_id)
        if cached is None:
            return False
        return (cached.kept_in_zone_until if in_zone else cached.kept_until) >= until
