"""Sliding-window counter. No I/O."""

from collections import deque


class _Entry:
    """A count added at one time."""

    __slots__ = ("at_s", "count", "ticket")

    def __init__(self, at_s: float, count: float, ticket: int) -> None:
        self.at_s = at_s
        self.count = count
        self.ticket = ticket


class SlidingWindow:
    """The sum of the counts added within the last seconds.

    :param length_s: Length of the window in seconds.
    """

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._entries: deque[_Entry] = deque()
        self._total = 0.0
        self._ticket = 0

    def add(self, count: float, now_s: float) -> int:
        """Add a count.

        :returns: A ticket for removing it again.
        """
        self._ticket += 1
        self._entries.append(_Entry(now_s, count, self._ticket))
        self._total += count
        return self._ticket

    def remove_one(self, ticket: int) -> None:
        """Reduce the count of a ticket by one, if it is still in the window."""
        for entry in reversed(self._entries):
            if entry.ticket == ticket:
                removed = min(1.0, entry.count)
                self._total -= removed
                entry.count -= removed
                return
            if entry.ticket < ticket:
                return

    def total(self, now_s: float) -> float:
        """Return the sum of the counts in the window."""
        since_s = now_s - self._length_s
        while self._entries and self._entries[0].at_s < since_s:
            self._total -= self._entries.popleft().count
        return self._total

    def free_after_s(self, count: float, limit: float, now_s: float) -> float:
        """Return the seconds until a count fits under a limit, if nothing else is added."""
        excess = self.total(now_s) + count - limit
        if excess <= 0:
            return 0.0
        for entry in self._entries:
            excess -= entry.count
            if excess <= 0:
                return max(0.0, entry.at_s + self._length_s - now_s)
        return self._length_s

    def entries(self, now_s: float) -> list[tuple[float, float]]:
        """Return the age in seconds and the count of each entry in the window, oldest first."""
        self.total(now_s)
        return [(now_s - entry.at_s, entry.count) for entry in self._entries if entry.count]
