"""Scheduling delay of this process: on a busy machine its test servers respond late."""

import threading
import time
from typing import Self

_STEP_S = 0.05


class ThreadDelay:
    """Measures the scheduling delay of a sleeping thread during the context.

    :ivar max_delay_s: largest delay in seconds.
    """

    def __init__(self) -> None:
        self.max_delay_s = 0.0
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._is_over.set()
        self._thread.join()

    def _run(self) -> None:
        due = time.monotonic() + _STEP_S
        while not self._is_over.wait(max(due - time.monotonic(), 0.0)):
            now = time.monotonic()
            self.max_delay_s = max(self.max_delay_s, now - due)
            due = now + _STEP_S
