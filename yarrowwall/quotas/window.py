"""Counting over a sliding span of time. No I/O."""

from collections import deque


class _Entry:
    """What was counted at one moment."""

    __slots__ = ("at_s", "count", "ticket")

    def __init__(self, at_s: float, count: float, ticket: int) -> None:
        self.at_s = at_s
        self.count = count
        self.ticket = ticket


class SlidingWindow:
    """The sum of what was counted in the last seconds.

    :param length_s: for how many seconds a count stays.
    """

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._entries: deque[_Entry] = deque()
        self._total = 0.0
        self._ticket = 0

    def add(self, count: float, now_s: float) -> int:
        """Count something.

        :returns: a ticket by which it can be taken back.
        """
        self._ticket += 1
        self._entries.append(_Entry(now_s, count, self._ticket))
        self._total += count
        return self._ticket

    def take_back(self, ticket: int) -> None:
        """Count one less of what a ticket stands for."""
        for entry in reversed(self._entries):
            if entry.ticket == ticket:
                taken = min(1.0, entry.count)
                self._total -= taken
                entry.count -= taken
                return
            if entry.ticket < ticket:
                return

    def total(self, now_s: float) -> float:
        """Return the sum of what was counted in the last seconds."""
        since_s = now_s - self._length_s
        while self._entries and self._entries[0].at_s < since_s:
            self._total -= self._entries.popleft().count
        return self._total

    def room_after_s(self, wanted: float, most: float, now_s: float) -> float:
        """Return after how many seconds so much more fits, if nothing else comes."""
        excess = self.total(now_s) + wanted - most
        if excess <= 0:
            return 0.0
        for entry in self._entries:
            excess -= entry.count
            if excess <= 0:
                return max(0.0, entry.at_s + self._length_s - now_s)
        return self._length_s

    def entries(self, now_s: float) -> list[tuple[float, float]]:
        """Return age in seconds and count of all that still counts, oldest first."""
        self.total(now_s)
        return [(now_s - entry.at_s, entry.count) for entry in self._entries if entry.count]
