"""Times of unplanned faults and of planned operations on gateways."""

import math
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

#: Seconds without a fault after which machines count as connected again.
SETTLE_S = 3.0


class Span(NamedTuple):
    """A period on the monotonic clock.

    :param subject: kind of an unplanned fault, or gateway of a planned operation.
    :param end: infinite while it lasts.
    """

    subject: str
    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether this period overlaps another one."""
        return self.begin <= end and begin <= self.end


class Disruptions:
    """Collects the times of disruptions; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_number = 0
        self._unplanned: dict[int, Span] = {}
        self._planned: dict[int, Span] = {}

    @contextmanager
    def unplanned(self, kind: str) -> Iterator[int]:
        """Record a fault for the duration of the context; yield its number."""
        with self._noted_span(self._unplanned, kind) as number:
            yield number

    @contextmanager
    def planned(self, gateway: str, tail_s: float = 0.0) -> Iterator[int]:
        """Record a planned operation on a gateway, up to some seconds after the context."""
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
        """Return whether a fault other than the given one is in progress."""
        with self._lock:
            return any(
                span.end == math.inf for key, span in self._unplanned.items() if key != number
            )

    def is_quiet(self, gateway: str, begin: float, end: float) -> bool:
        """Return whether a period had no fault, and no planned operation on a gateway.

        The ``SETTLE_S`` before the period count as well.
        """
        begin -= SETTLE_S
        with self._lock:
            return not any(
                span.overlaps(begin, end) for span in self._unplanned.values()
            ) and not any(
                span.subject == gateway and span.overlaps(begin, end)
                for span in self._planned.values()
            )

    def has_only_planned_work(self, gateway: str, begin: float, end: float) -> bool:
        """Return whether a period had planned operations on a gateway and no unplanned fault.

        An unplanned fault in the ``SETTLE_S`` before the period counts as well.
        """
        with self._lock:
            return any(
                span.subject == gateway and span.overlaps(begin, end)
                for span in self._planned.values()
            ) and not any(span.overlaps(begin - SETTLE_S, end) for span in self._unplanned.values())
