"""Clients that resume streams of servers of several software versions."""

import contextlib
import random
import threading
import time
from typing import NamedTuple

from features.soak.kept_connections import KeptConnections
from features.soak.promises import Record
from features.soak.threads import ThreadGroup
from features.soak.world import SoakWorld
from features.support.versioned_streams import CUT_AFTER, ClientStream, ResumingClient

#: Share of the attempts that their clients cut midway.
_CUT_SHARE = 0.6
_MAX_RESUMPTIONS = 3
#: Longest pause of a client between two attempts in seconds.
_MAX_PAUSE_S = 0.2


class _PersistentClient(ResumingClient):
    """A client that keeps its connections."""

    def __init__(self, world: SoakWorld, has_budget: bool) -> None:
        super().__init__(world, has_budget)
        self._connections = KeptConnections(world.connect)
        self.connect = self._connections.take
        self.release = self._connections.release
        self.close = self._connections.close


class StreamAttempt(NamedTuple):
    """One attempt at a stream, to begin it or to resume it.

    :param begin: time on the monotonic clock.
    :param went_on: whether it brought an event.
    """

    gateway: str
    begin: float
    end: float
    went_on: bool


class StreamRecord:
    """What clients saw of their streams; thread-safe.

    :param record: receives the violations.
    """

    #: Resumptions from which the share that goes on is judged, and the least ratio of that share
    #: to the share of streams that begin.
    MIN_RESUMPTIONS = 12
    MIN_RATIO = 0.5

    def __init__(self, record: Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self._begun: list[StreamAttempt] = []
        self._resumed: list[StreamAttempt] = []

    def note_begun(self, attempt: StreamAttempt) -> None:
        """Record an attempt to begin a stream."""
        with self._lock:
            self._begun.append(attempt)

    def note_resumed(self, attempt: StreamAttempt) -> None:
        """Record an attempt to resume a stream while two servers of its version served."""
        with self._lock:
            self._resumed.append(attempt)

    def note_ended(self, stream: ClientStream) -> None:
        """Check the events of a stream that its client no longer resumes."""
        if len(stream.versions) > 1:
            self._record.note_violation(f"ORDER: two versions in {stream}")
        elif not stream.is_ordered:
            self._record.note_violation(f"ORDER: events missing or repeated in {stream}")

    def check_shares(self) -> dict[str, int]:
        """Record a violation if resumed streams go on far less often than new ones begin.

        :returns: numbers of attempts, all and at machines without disruption.
        """
        with self._lock:
            begun = [attempt for attempt in self._begun if self._is_quiet(attempt)]
            resumed = [attempt for attempt in self._resumed if self._is_quiet(attempt)]
            counts = {
                "begun": len(self._begun),
                "resumed": len(self._resumed),
                "begun_in_touch": len(begun),
                "resumed_in_touch": len(resumed),
            }
        if len(resumed) >= self.MIN_RESUMPTIONS and begun:
            of_new, of_resumed = _share(begun), _share(resumed)
            if of_resumed < self.MIN_RATIO * of_new:
                self._record.note_violation(
                    f"LOST: {of_resumed:.2f} of {len(resumed)} resumed streams went on,"
                    f" {of_new:.2f} of new ones began"
                )
        return counts

    def _is_quiet(self, attempt: StreamAttempt) -> bool:
        disruptions = self._record.disruptions
        return disruptions.is_quiet(attempt.gateway, attempt.begin, attempt.end)


def _share(attempts: list[StreamAttempt]) -> float:
    return sum(attempt.went_on for attempt in attempts) / len(attempts)


class StreamClients(ThreadGroup):
    """Runs clients of resumable streams in threads while the context is active.

    :param seed: determines the attempts of each client, but not their times.
    :ivar streams: what they saw.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int, clients: int) -> None:
        super().__init__()
        self._world = world
        self.streams = StreamRecord(record)
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(f"{seed}/streams/{number}"), number)
            )
            for number in range(clients)
        ]

    def _run(self, rng: random.Random, number: int) -> None:
        # One client in four sends streams without a budget.
        has_budget = number % 4 != 3
        done = 0
        with contextlib.closing(_PersistentClient(self._world, has_budget)) as client:
            while not self._is_over.is_set():
                done += 1
                self._run_stream(client, rng, f"stream-{number}-{done}")
                self._is_over.wait(rng.uniform(0.0, _MAX_PAUSE_S))

    def _run_stream(self, client: _PersistentClient, rng: random.Random, name: str) -> None:
        gateway = rng.randrange(len(self._world.gateways))
        began_at = time.monotonic()
        stream = client.begin(name, gateway, self._cut_after(rng, 0))
        self.streams.note_begun(self._attempt(gateway, began_at, bool(stream.events)))
        for number in range(_MAX_RESUMPTIONS):
            if not stream.events or stream.is_whole or self._is_over.is_set():
                break
            self._is_over.wait(rng.uniform(0.0, _MAX_PAUSE_S))
            self._resume(client, rng, stream, f"{name}-r{number}")
        self.streams.note_ended(stream)

    def _resume(
        self, client: _PersistentClient, rng: random.Random, stream: ClientStream, name: str
    ) -> None:
        gateway = rng.randrange(len(self._world.gateways))
        version, before = stream.events[0].version, len(stream.events)
        serving = self._world.serving(version)
        began_at = time.monotonic()
        client.resume(stream, name, gateway, self._cut_after(rng, before))
        if min(serving, self._world.serving(version)) >= 2:
            went_on = len(stream.events) > before
            self.streams.note_resumed(self._attempt(gateway, began_at, went_on))

    def _attempt(self, gateway: int, began_at: float, went_on: bool) -> StreamAttempt:
        return StreamAttempt(self._world.gateways[gateway], began_at, time.monotonic(), went_on)

    @staticmethod
    def _cut_after(rng: random.Random, events: int) -> int | None:
        return events + CUT_AFTER if rng.random() < _CUT_SHARE else None
