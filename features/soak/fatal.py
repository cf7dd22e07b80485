"""Clients whose requests end the servers that run them, beside others on the same servers."""

import contextlib
import http.client
import random
import threading
from typing import NamedTuple

from features.soak.kept_connections import KeptConnections
from features.soak.promises import Record
from features.soak.threads import ThreadGroup
from features.soak.world import FATAL_KIND, FATAL_ROUTE, SoakWorld
from features.support.fatal_requests import (
    FATAL,
    MAX_ENDED,
    Call,
    RecordedRequests,
    RetryingCaller,
    refused_for,
)

#: Share of the requests that are fatal.
_FATAL_SHARE = 0.08
#: Longest pause of a client between two requests in seconds.
_MAX_PAUSE_S = 0.1


class FatalCounts(NamedTuple):
    """What became of the requests.

    :param ended: servers that ended under fatal requests, and by themselves.
    :param refused: requests that were refused since servers ended under them.
    """

    fatal: int
    others: int
    others_served: int
    ended: int
    refused: int


class _PersistentCaller(RetryingCaller):
    """A caller that keeps its connections; each retry opens a new one."""

    def __init__(self, world: SoakWorld) -> None:
        gateways = list(range(len(world.gateways)))
        super().__init__(world, FATAL_ROUTE, FATAL_KIND, gateways)
        self._connections = KeptConnections(world.connect)
        self.release = self._connections.release
        self.close = self._connections.close

    def connect(self, gateway: int, is_retry: bool) -> http.client.HTTPConnection:
        """Return the kept connection to a gateway, or a new one."""
        return self._connections.take(gateway, must_be_new=is_retry)


class FatalClients(ThreadGroup):
    """Runs clients in threads while the context is active.

    :param seed: determines the requests of each client, but not their times.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int, clients: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self._lock = threading.Lock()
        self._calls: list[Call] = []
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(f"{seed}/fatal/{number}"), number)
            )
            for number in range(clients)
        ]

    def _run(self, rng: random.Random, number: int) -> None:
        done = 0
        with contextlib.closing(_PersistentCaller(self._world)) as caller:
            while not self._is_over.is_set():
                done += 1
                prefix = FATAL if rng.random() < _FATAL_SHARE else b"plain-"
                call = caller.run(prefix + b"%d-%d" % (number, done))
                with self._lock:
                    self._calls.append(call)
                self._is_over.wait(rng.uniform(0.0, _MAX_PAUSE_S))

    def check(self) -> FatalCounts:
        """Record a violation for each request that was sent too often or refused wrongly."""
        requests = self._world.fatal_servers.requests
        for body, count in requests.late_sends.items():
            self._record.note_violation(
                f"BUDGET: {body!r} was sent to {count} servers after {MAX_ENDED} had ended"
            )
        for call in self._calls:
            self._check_refusal(call, requests)
        fatal = [call for call in self._calls if call.body.startswith(FATAL)]
        others = [call for call in self._calls if not call.body.startswith(FATAL)]
        return FatalCounts(
            len(fatal),
            len(others),
            sum(call.is_served for call in others),
            self._world.fatal_servers.ended,
            sum(bool(refused_for(call)) for call in self._calls),
        )

    def _check_refusal(self, call: Call, requests: RecordedRequests) -> None:
        """Record a violation if a request was refused under fewer ends than the promise says."""
        named = refused_for(call)
        ended = {name for name in named if self._world.servers[name].has_ended}
        if named and len(ended) < MAX_ENDED:
            sent = [send.server_id for send in requests.sends(call.body)]
            self._record.note_violation(
                f"REFUSED: {call.body!r}, sent to {sent}, was refused for {sorted(named)}"
            )
