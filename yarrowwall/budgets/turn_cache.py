"""A gateway's cache of turns, and until when the record store is known to keep them. No I/O."""

from collections import OrderedDict
from dataclasses import dataclass

from yarrowwall.budgets.turns import Turn

#: Most bytes of turns that a gateway caches in memory.
CACHE_BYTES = 24 * 1024 * 1024
#: Most lines of turns whose newest turn is remembered.
MAX_LINES = 10_000


@dataclass(slots=True)
class _CachedTurn:
    """A turn, and until when replicas keep it with its chain, on the monotonic clock.

    :param kept_until: until when a write quorum of its common group keeps it.
    :param kept_in_zone_until: until when a write quorum of the zone's own group keeps it.
    """

    turn: Turn
    kept_until: float = 0.0
    kept_in_zone_until: float = 0.0


class TurnCache:
    """An LRU cache of turns. A turn never changes, so cached copies never become stale."""

    def __init__(self, max_bytes: int = CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._turns: OrderedDict[str, _CachedTurn] = OrderedDict()
        self._newest_by_line: OrderedDict[str, str] = OrderedDict()

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

    def chain(self, attempt_id: str) -> tuple[list[Turn], str]:
        """Return the cached turns up to one, newest first.

        :returns: The turns, and the attempt id of the first one that is not cached; empty if the
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

    def note_newest(self, line: str, attempt_id: str) -> None:
        """Note the newest turn of a line of turns."""
        self._newest_by_line[line] = attempt_id
        self._newest_by_line.move_to_end(line)
        if len(self._newest_by_line) > MAX_LINES:
            self._newest_by_line.popitem(last=False)

    def newest(self, line: str) -> str:
        """Return the newest cached turn of a line; empty if there is none."""
        attempt_id = self._newest_by_line.get(line, "")
        return attempt_id if attempt_id in self._turns else ""

    # Until when turns are kept

    def note_kept(self, attempt_id: str, until: float, in_zone: bool = False) -> None:
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

    def is_kept(self, attempt_id: str, until: float, in_zone: bool = False) -> bool:
        """Return whether a turn is known to be kept with its chain until a time."""
        cached = self._turns.get(attempt_id)
        if cached is None:
            return False
        return (cached.kept_in_zone_until if in_zone else cached.kept_until) >= until
