"""Threads that run until a stop event is set."""

import threading
from typing import Self


class ThreadGroup:
    """Threads that run while the context is active; subclasses fill ``_threads``."""

    def __init__(self) -> None:
        self._is_over = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join()
