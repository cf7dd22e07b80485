"""Clients of servers whose answers never end."""

import random
import threading
import time
from collections import Counter
from http import HTTPStatus

from features.soak.promises import Record
from features.soak.threads import ThreadGroup
from features.soak.world import ENDLESS_KINDS, SoakWorld, endless_route
from features.support.endless_answers import request_to_end

_LEFT_S = 1.5
#: Seconds after its deadline in which a request must have its end, if nothing else is disrupted.
_SLACK_S = 0.6
_PAUSE_S = 0.3
_TIMEOUT_S = 8.0


class EndlessClients(ThreadGroup):
    """Asks servers whose answers never end, one client for each kind of route.

    :param seed: determines the requests of each client, but not their times.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._late: list[tuple[str, float]] = []
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/endless/{kind}"), kind))
            for kind in ENDLESS_KINDS
        ]

    def check(self, delay_s: float) -> dict[str, int]:
        """Record a violation for each request that ended late.

        :param delay_s: longest time for which a thread of this process, and so a client or a
            gateway beside it, was not scheduled.
        :returns: the number of requests by kind and status; 0 for none.
        """
        for name, late_s in self._late:
            if late_s > delay_s:
                self._record.note_violation(f"CONFIG: {name} ended {late_s:.2f} s too late")
        return dict(self._counts)

    def _run(self, rng: random.Random, kind: str) -> None:
        number = 0
        while not self._is_over.wait(rng.uniform(0.0, _PAUSE_S)):
            number += 1
            gateway = rng.randrange(len(self._world.gateways))
            began = time.monotonic()
            status, is_whole = self._ask(gateway, kind, f"endless-{kind}-{number}")
            self._check(gateway, kind, began, is_whole)
            with self._lock:
                self._counts[f"{kind} {status}"] += 1

    def _ask(self, gateway: int, kind: str, attempt: str) -> tuple[int, bool]:
        """Send a request and drop its answer; return its status, and whether it looked whole."""
        connection = self._world.connect(gateway)
        connection.timeout = _TIMEOUT_S
        status, has_end = request_to_end(connection, endless_route(kind), attempt, _LEFT_S)
        return status, has_end and status == HTTPStatus.OK

    def _check(self, gateway: int, kind: str, began: float, is_whole: bool) -> None:
        ended, name = time.monotonic(), self._world.gateways[gateway]
        if is_whole:
            self._record.note_violation(f"MIXED: a {kind} answer without an end looked whole")
        late_s = ended - began - _LEFT_S - _SLACK_S
        if late_s > 0.0 and self._record.disruptions.is_quiet(name, began, ended):
            with self._lock:
                self._late.append((f"{kind} at {name}", late_s))
