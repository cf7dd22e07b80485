"""Locks by which concurrent workers use each machine and server one at a time."""

import random
import threading
from collections.abc import Iterator
from contextlib import contextmanager


class ResourceLocks:
    """Locks by name of a machine or server; thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._held: set[str] = set()
        self._wanted: set[str] = set()

    @contextmanager
    def lock_any(self, names: list[str], rng: random.Random) -> Iterator[str | None]:
        """Hold the lock of one free name during the context; yield None if none is free."""
        with self._changed:
            free = [name for name in names if name not in self._held | self._wanted]
            name = rng.choice(free) if free else None
            self._held.update(free and [name])
        try:
            yield name
        finally:
            self._release({name})

    @contextmanager
    def lock_all(self, names: list[str]) -> Iterator[bool]:
        """Wait for the locks of all names and hold them during the context.

        False is yielded at once if another worker already waits for any of them.
        """
        wanted = set(names)
        with self._changed:
            is_held = not wanted & self._wanted
            if is_held:
                self._wanted |= wanted
                self._changed.wait_for(lambda: not wanted & self._held)
                self._wanted -= wanted
                self._held |= wanted
        try:
            yield is_held
        finally:
            if is_held:
                self._release(wanted)

    def _release(self, names: set[str | None]) -> None:
        with self._changed:
            self._held -= names
            self._changed.notify_all()
