"""How long servers take, as one gateway sees it. No I/O.

A gateway sees a server too seldom to know its speed: with 56 gateways before 34 servers that
answer 500 calls a second, once in four seconds. So it only adds up what it saw by kind and
server, and tells these sums; all gateways' sums together make the estimate (see
``replication/pace_board.py``).
"""

import math
from typing import NamedTuple

#: Kinds and servers of which a gateway tells at once; the rest waits for the next report. Bounds
#: a report to some 4 KB.
MOST_TOLD = 64
#: Seconds below which nothing is measured.
LEAST_SECONDS = 1e-6


class PaceKey(NamedTuple):
    """What was observed.

    :param kind: what is comparable: the route of a call, the service of a stream's events.
    """

    kind: str
    server_id: str


class PaceSum(NamedTuple):
    """Observations of one kind at one server.

    :param log_s: sum of the logarithms of their seconds. Times are spread by factors, so a
        single answer that hung counts no more than it says.
    """

    seen: int
    log_s: float


class PaceSamples:
    """Collects observations until they are told."""

    def __init__(self) -> None:
        self._sums: dict[PaceKey, PaceSum] = {}

    def note(self, kind: str, server_id: str, seconds: float) -> None:
        """Take in how long something took."""
        key = PaceKey(kind, server_id)
        known = self._sums.get(key, PaceSum(0, 0.0))
        log_s = math.log(max(seconds, LEAST_SECONDS))
        self._sums[key] = PaceSum(known.seen + 1, known.log_s + log_s)

    def take(self) -> dict[PaceKey, PaceSum]:
        """Return what was not told before, a bounded part of it."""
        told = dict(list(self._sums.items())[:MOST_TOLD])
        for key in told:
            del self._sums[key]
        return told
