"""When what was disrupted: unplanned faults, and planned work on gateways."""

import math
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

#: Seconds for which a machine has to be undisturbed to count as in touch.
SETTLE_S = 3.0


class Span(NamedTuple):
    """A time of the monotonic clock.

    :param what: the kind of an unplanned fault, or the gateway that planned work is on.
    :param end: infinite as long as it goes on.
    """

    subject: str
    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether this and another time have a moment in common."""
        return self.begin <= end and begin <= self.end


class Disruptions:
    """Collects what was disrupted when; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_number = 0
        self._unplanned: dict[int, Span] = {}
        self._planned: dict[int, Span] = {}

    @contextmanager
    def unplanned(self, kind: str) -> Iterator[int]:
        """Note a fault until the context is left; its number is given."""
        with self._noted_span(self._unplanned, kind) as number:
            yield number

    @contextmanager
    def planned(self, gateway: str, tail_s: float = 0.0) -> Iterator[int]:
        """Note planned work on a gateway until some time after the context is left."""
        with self._noted_span(self._planned, gateway, tail_s) as number:
            yield number

    @contextmanager
    def _noted_span(
        self, spans: dict[int, Span], subject: str, tail_s: float = 0.0
    ) -> Iterator[int]:
        with self._lock:
            self._last_number += 1
            number = self._last_number
            spans[number] = Span(subject, time.monotonic(), math.inf)
        try:
            yield number
        finally:
            with self._lock:
                spans[number] = spans[number]._replace(end=time.monotonic() + tail_s)

    def has_other_fault(self, number: int) -> bool:
        """Return whether a fault goes on other than a given one."""
        with self._lock:
            return any(
                span.end == math.inf for key, span in self._unplanned.items() if key != number
            )

    def has_only_planned_work(self, gateway: str, begin: float, end: float) -> bool:
        """Return whether in a time there was planned work on a gateway and nothing unplanned.

        Nothing unplanned was to be there in the ``SETTLE_S`` before it either.
        """
        with self._lock:
            return any(
                span.subject == gateway and span.overlaps(begin, end)
                for span in self._planned.values()
            ) and not any(span.overlaps(begin - SETTLE_S, end) for span in self._unplanned.values())
