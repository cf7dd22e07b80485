"""Ordered deadlines of a state machine, without a clock."""

import heapq
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

Key = TypeVar("Key")


@dataclass(order=True)
class _Deadline:
    at: float
    sequence: int
    key: Any = field(compare=False)


class Timers(Generic[Key]):
    """A set of keyed deadlines; setting a key again replaces its deadline."""

    def __init__(self) -> None:
        self._heap: list[_Deadline] = []
        self._current: dict[Key, _Deadline] = {}
        self._sequence = 0

    def set(self, key: Key, at: float) -> None:
        """Set the deadline of a key, in seconds on the driver's clock."""
        self._sequence += 1
        deadline = _Deadline(at, self._sequence, key)
        self._current[key] = deadline
        heapq.heappush(self._heap, deadline)

    def cancel(self, key: Key) -> None:
        """Remove the deadline of a key, if it has one."""
        self._current.pop(key, None)

    def __contains__(self, key: Key) -> bool:
        return key in self._current

    def next_deadline(self) -> float | None:
        """Return the earliest deadline; None if there is none."""
        self._drop_replaced()
        return self._heap[0].at if self._heap else None

    def due(self, now: float) -> list[Key]:
        """Remove and return the keys whose deadlines have passed, earliest first."""
        keys: list[Key] = []
        self._drop_replaced()
        while self._heap and self._heap[0].at <= now:
            key: Key = heapq.heappop(self._heap).key
            del self._current[key]
            keys.append(key)
            self._drop_replaced()
        return keys

    def _drop_replaced(self) -> None:
        while self._heap and self._current.get(self._heap[0].key) is not self._heap[0]:
            heapq.heappop(self._heap)
