"""Model of an engine's prefix cache: prompt blocks in limited memory with LRU eviction."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from yarrowwall.hashing import PrefixBlock

#: Number of cache events kept; pollers miss older ones.
EVENTS_KEPT = 2_000


@dataclass(frozen=True)
class CacheEvent:
    """A published change of the cache."""

    sequence: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


@dataclass
class _Hold:
    keys: frozenset[str]
    expires_at: float


class PrefixCache:
    """Blocks in memory and their pins.

    A block is pinned, and so not evicted, while a running request uses it or it is held for a
    program.

    :param capacity_tokens: Memory size in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._blocks: OrderedDict[str, int] = OrderedDict()
        self._used = 0
        self._pins: dict[str, int] = {}
        self._holds: dict[str, _Hold] = {}
        self._events: list[CacheEvent] = []
        self._sequence = 0

    def cached_blocks(self, prompt: tuple[PrefixBlock, ...]) -> int:
        """Return the number of leading blocks of a prompt that are in memory."""
        count = 0
        for block in prompt:
            if block.key not in self._blocks:
                break
            count += 1
        return count

    def store(self, blocks: tuple[PrefixBlock, ...]) -> None:
        """Store blocks, evicting others; stop at the first block that doesn't fit."""
        stored = []
        evicted: list[str] = []
        for block in blocks:
            if block.key in self._blocks:
                continue
            evicted += self._make_room(block.tokens)
            if self._used + block.tokens > self._capacity:
                break
            self._blocks[block.key] = block.tokens
            self._used += block.tokens
            stored.append(block.key)
        self.touch(blocks)
        if stored or evicted:
            self._publish(tuple(stored), tuple(evicted))

    def touch(self, blocks: tuple[PrefixBlock, ...]) -> None:
        """Mark blocks as recently used, so that later blocks of a prompt are evicted first."""
        for block in reversed(blocks):
            if block.key in self._blocks:
                self._blocks.move_to_end(block.key)

    def _make_room(self, tokens: int) -> list[str]:
        evicted: list[str] = []
        if self._used + tokens <= self._capacity:
            return evicted
        for key in list(self._blocks):
            if self._used + tokens <= self._capacity:
                break
            if key not in self._pins:
                self._used -= self._blocks.pop(key)
                evicted.append(key)
        return evicted

    def _publish(self, stored: tuple[str, ...], evicted: tuple[str, ...]) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, stored, evicted))
        del self._events[:-EVENTS_KEPT]

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the kept events that are newer than a sequence number."""
        return [event for event in self._events if event.sequence > sequence]

    def pin(self, blocks: tuple[PrefixBlock, ...]) -> None:
        """Pin blocks; pins are counted."""
        for block in blocks:
            self._pins[block.key] = self._pins.get(block.key, 0) + 1

    def unpin(self, blocks: tuple[PrefixBlock, ...]) -> None:
        """Undo one :meth:`pin`."""
        self._unpin_keys(block.key for block in blocks)

    def _unpin_keys(self, keys: Iterable[str]) -> None:
        for key in keys:
            if self._pins[key] == 1:
                del self._pins[key]
            else:
                self._pins[key] -= 1

    def hold(self, program_id: str, blocks: tuple[PrefixBlock, ...], expires_at: float) -> None:
        """Hold a program's prefix until a time, replacing its earlier hold."""
        self.pin(blocks)
        self.release(program_id)
        self._holds[program_id] = _Hold(frozenset(block.key for block in blocks), expires_at)

    def release(self, program_id: str) -> None:
        """Release a program's hold."""
        held = self._holds.pop(program_id, None)
        if held is not None:
            self._unpin_keys(held.keys)

    def expire_holds(self, now: float) -> None:
        """Release expired holds."""
        for program_id, held in list(self._holds.items()):
            if now >= held.expires_at:
                self.release(program_id)

    def held_programs(self) -> list[str]:
        """Return the programs with a hold."""
        return list(self._holds)
