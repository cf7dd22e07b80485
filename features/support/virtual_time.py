"""Greenthreads on a virtual clock: the product's own code runs unchanged."""

import threading
from collections.abc import Callable
from typing import Any

import eventlet.event
from eventlet import hubs, patcher
from eventlet.hubs.hub import BaseHub

# Each native thread has a hub of its own, so the real one of the test goes on.
_threading: Any = patcher.original("threading") or threading


#: Seconds that part two timers of the same moment; a schedule has some 100,000 of them.
TIE_S = 1e-10


class VirtualHub(BaseHub):
    """A hub without sockets whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._timers = 0
        super().__init__(clock=lambda: self.now_s)

    def add_timer(self, timer: Any) -> Any:
        """Note a timer; those of the same moment fire in their order, in every run."""
        self._timers += 1
        timer.scheduled_time = self.now_s + timer.seconds + self._timers * TIE_S
        self.next_timers.append((timer.scheduled_time, timer))
        return timer.scheduled_time

    @staticmethod
    def is_available() -> bool:
        """Return whether it runs here."""
        return True

    def wait(self, seconds: float | None = None) -> None:
        """Let time pass."""
        self.now_s += max(seconds or 0.0, 0.0)


class _Ordered(dict[Any, None]):
    """A set that keeps its order, so that those who wait for an event wake in the same one."""

    def add(self, item: Any) -> None:
        """Take an item in."""
        self[item] = None

    def discard(self, item: Any) -> None:
        """Leave an item out."""
        self.pop(item, None)

    remove = discard


def now_s() -> float:
    """Return the time of this thread's virtual clock."""
    return hubs.get_hub().clock()


def run_virtually(play: Callable[[], Any]) -> Any:
    """Return what a function returns that runs on a virtual clock of its own."""
    results: list[Any] = []
    errors: list[BaseException] = []

    def run() -> None:
        hubs.use_hub(VirtualHub)
        eventlet.event.set = _Ordered  # type: ignore[attr-defined]
        try:
            results.append(play())
        except BaseException as error:
            errors.append(error)

    thread = _threading.Thread(target=run)
    thread.start()
    thread.join()
    if errors:
        raise errors[0]
    return results[0]
