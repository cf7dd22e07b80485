"""Greenthreads on a virtual clock, on which production code runs unchanged."""

import threading
from collections.abc import Callable
from typing import Any

import eventlet.event
from eventlet import hubs, patcher
from eventlet.hubs.hub import BaseHub

# Each native thread has its own hub, so that the test's real hub is not affected.
_threading: Any = patcher.original("threading") or threading


#: Seconds between two timers for the same time, to order them; a schedule has about 100,000 timers.
TIE_S = 1e-10


class VirtualHub(BaseHub):
    """A hub without sockets whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._timers = 0
        super().__init__(clock=lambda: self.now_s)

    def add_timer(self, timer: Any) -> Any:
        """Add a timer; timers for the same time fire in the order of their creation."""
        self._timers += 1
        timer.scheduled_time = self.now_s + timer.seconds + self._timers * TIE_S
        self.next_timers.append((timer.scheduled_time, timer))
        return timer.scheduled_time

    @staticmethod
    def is_available() -> bool:
        """Return whether this hub can be used."""
        return True

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock."""
        self.now_s += max(seconds or 0.0, 0.0)


class _OrderedSet(dict[Any, None]):
    """A set in insertion order, so that waiters for an event always wake in the same order."""

    def add(self, item: Any) -> None:
        """Add an item."""
        self[item] = None

    def discard(self, item: Any) -> None:
        """Remove an item if present."""
        self.pop(item, None)

    remove = discard


def now_s() -> float:
    """Return the time of this thread's virtual clock."""
    return hubs.get_hub().clock()


def run_virtually(function: Callable[[], Any]) -> Any:
    """Run a function on its own virtual clock and return its result."""
    results: list[Any] = []
    errors: list[BaseException] = []

    def run() -> None:
        hubs.use_hub(VirtualHub)
        eventlet.event.set = _OrderedSet  # type: ignore[attr-defined]
        try:
            results.append(function())
        except BaseException as error:
            errors.append(error)

    thread = _threading.Thread(target=run)
    thread.start()
    thread.join()
    if errors:
        raise errors[0]
    return results[0]
