"""Planned operations of operators on machines and on the configuration."""

import itertools
import os
import random
import shutil
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable

from features.soak.planned.content import DEFAULT_TIMEOUT_MS
from features.soak.planned.cuts import AttemptStart
from features.soak.planned.stops import StopClients
from features.soak.planned.world import STOP_S, PlannedWorld
from features.soak.promises import Record
from features.soak.resource_locks import ResourceLocks
from features.soak.threads import ThreadGroup

#: Seconds within which a started gateway is ready, and a retired storage machine is empty.
_READY_S = 20.0
_EMPTIED_S = 60.0
#: Seconds beyond ``STOP_S`` that a machine may need until its process has exited.
_SLACK_S = 1.0
#: Number of gateways per worker that stops them, and the maximum number of these workers.
_GATEWAYS_PER_WORKER = 8
_MAX_STOP_WORKERS = 4
_POLL_S = 0.1
#: Upper bound of changes or signals in a row.
_MAX_REPEATS = 6
#: Offset from a storage machine's number to its successor's. The number determines the zone, and
#: a multiple of three keeps it.
_SUCCESSOR_OFFSET = 9
#: Range of the pause in seconds after each operation, by worker.
_PAUSES_S = {
    "content": (0.05, 1.0),
    "stop": (0.1, 1.0),
    "signal": (0.2, 1.5),
    "storage": (0.5, 2.0),
}
_RETIREMENT_S = 10
#: Kinds of operations other than changes of the configuration.
STOPPED, SIGNALLED, TOUCHED = "gateway stopped", "settings signalled", "settings touched"
ADDED, REMOVED = "storage machine added", "storage machine removed"
RESTARTED = "storage machine restarted"
RAISED, LOWERED = "timeouts raised", "timeouts lowered"
#: Timeouts in milliseconds of streams before and after a change during a stop.
SHORT_MS, LONG_MS = 2_000, 8_000


class PlannedWork(ThreadGroup):
    """Runs workers while the context is active, each one planned operation at a time.

    :param seed: determines the kinds and their order in each worker, but not their times.
    :param starts: receives the route and start time of the attempts at gateways that stop.
    :ivar done: number of operations by kind.
    """

    def __init__(
        self, world: PlannedWorld, record: Record, seed: int, starts: dict[str, AttemptStart]
    ) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self._starts = starts
        self._stops = itertools.count()
        self._resource_locks = ResourceLocks()
        self._lock = threading.Lock()
        self.done: Counter[str] = Counter()
        stops = min(max(len(world.gateways) // _GATEWAYS_PER_WORKER, 1), _MAX_STOP_WORKERS)
        workers: list[tuple[str, Callable[[random.Random], None]]] = [
            ("content", self._change),
            ("signal", self._signal_one),
            ("storage", self._work_on_storage),
            *([("stop", self._stop_one)] * stops),
        ]
        self._threads = [
            threading.Thread(target=self._run, args=(name, work, f"{seed}/{name}/{number}"))
            for number, (name, work) in enumerate(workers)
        ]

    def _run(self, name: str, work: Callable[[random.Random], None], seed: str) -> None:
        rng = random.Random(seed)
        try:
            while not self._is_over.is_set():
                work(rng)
                self._is_over.wait(rng.uniform(*_PAUSES_S[name]))
        except Exception as error:
            # A run without this worker's operations would test less than it reports.
            self._record.note_violation(f"HARNESS: the worker {name!r} ended: {error!r}")

    def _count(self, kind: str) -> None:
        with self._lock:
            self.done[kind] += 1

    def _change(self, rng: random.Random) -> None:
        """Change the configuration once, or a few times in a row."""
        for _ in range(rng.choice((1, 1, 2, _MAX_REPEATS))):
            kind = rng.choice(list(self._world.content.changes))
            with self._world.edited_content() as content:
                content.change(kind)
            self._count(kind)
            time.sleep(rng.choice((0.0, 0.05)))

    def _stop_one(self, rng: random.Random) -> None:
        with self._resource_locks.lock_any(self._world.gateways, rng) as name:
            if name is None:
                return
            self._stop_in_use(rng, name)
            process = self._world.processes[name]
            if process.returncode:
                self._record.note_violation(f"ENDED: {name} ended with {process.returncode}")
            self._world.start_machine(name, is_gateway=True)
            self._signal_start(rng, name)
            self._wait(lambda: self._world.is_ready(name), _READY_S, f"{name} is ready")

    def _stop_in_use(self, rng: random.Random, name: str) -> None:
        """Stop a gateway whose clients use their connections until its process is gone."""
        clients = StopClients(
            self._world, self._record, self._starts, rng, name, f"stop{next(self._stops)}"
        )
        with clients:
            self._set_stream_timeouts(rng.choice((SHORT_MS, DEFAULT_TIMEOUT_MS)))
            process = self._world.kill(name, signal.SIGTERM)
            self._count(STOPPED)
            clients.note_signalled()
            ends_at = time.monotonic() + STOP_S + _SLACK_S
            while process.poll() is None and time.monotonic() < ends_at:
                time.sleep(rng.uniform(0.1, 1.0))
                self._disturb_stop(rng, name)
            if process.poll() is None:
                self._record.note_violation(f"DRAIN: {name} still runs {STOP_S} s after SIGTERM")
                self._world.kill(name)

    def _disturb_stop(self, rng: random.Random, name: str) -> None:
        """Signal a gateway that stops, touch its settings, or change the streams' timeouts."""
        kind = rng.choice((SIGNALLED, TOUCHED, STOPPED, RAISED, RAISED, LOWERED))
        if kind == TOUCHED:
            os.utime(self._world.folder / f"{name}.toml")
        elif kind in (SIGNALLED, STOPPED):
            number = signal.SIGHUP if kind == SIGNALLED else signal.SIGTERM
            self._world.kill(name, number)
        else:
            self._set_stream_timeouts(LONG_MS if kind == RAISED else SHORT_MS)
        self._count(f"{kind} during a stop")

    def _set_stream_timeouts(self, timeout_ms: int) -> None:
        with self._world.edited_content() as content:
            content.set_stream_timeouts(timeout_ms)

    def _signal_start(self, rng: random.Random, name: str) -> None:
        """Signal a gateway a few times from when it listens, which is long before it is ready."""
        self._wait(lambda: self._world.listens(name), _READY_S, f"{name} listens")
        for _ in range(rng.randrange(0, _MAX_REPEATS)):
            if self._is_over.wait(rng.uniform(0.0, 0.3)):
                return
            self._world.kill(name, signal.SIGHUP)
            self._count(SIGNALLED)

    def _signal_one(self, rng: random.Random) -> None:
        """Touch a gateway's settings or signal it, a few times in a row."""
        with self._resource_locks.lock_any(self._world.gateways, rng) as name:
            for _ in range(rng.randrange(1, _MAX_REPEATS)):
                if name is not None and rng.random() < 0.5:
                    os.utime(self._world.folder / f"{name}.toml")
                    self._count(TOUCHED)
                elif name is not None:
                    self._world.kill(name, signal.SIGHUP)
                    self._count(SIGNALLED)
                time.sleep(rng.uniform(0.0, 0.2))

    def _work_on_storage(self, rng: random.Random) -> None:
        rng.choice((self._restart_storage, self._replace_storage))(rng)

    def _restart_storage(self, rng: random.Random) -> None:
        """Stop a storage machine and start it again with the same disk."""
        world = self._world
        name = rng.choice(world.replicas)
        process = world.kill(name, signal.SIGTERM)
        self._count(RESTARTED)
        self._wait(lambda: process.poll() is not None, STOP_S + _SLACK_S, f"{name} has ended")
        process.kill()
        process.wait()
        world.start_machine(name, is_gateway=False)
        self._wait(lambda: world.listens(name), _READY_S, f"{name} listens")

    def _replace_storage(self, rng: random.Random) -> None:
        """Add a storage machine, and retire and remove another one of its zone."""
        world = self._world
        old = rng.choice(world.replicas)
        new = f"storage-{int(old.rpartition('-')[2]) + _SUCCESSOR_OFFSET}"
        world.start_machine(new, is_gateway=False, is_first=True)
        world.replicas.append(new)
        self._count(ADDED)
        world.store.put("retirements", old, {"period_s": _RETIREMENT_S})
        self._wait(lambda: self._is_emptied(old), _EMPTIED_S, f"{old} is emptied")
        if not self._is_emptied(old):
            return
        world.replicas.remove(old)
        world.kill(old)
        shutil.rmtree(world.folder / old, ignore_errors=True)
        self._count(REMOVED)

    def _is_emptied(self, name: str) -> bool:
        item = self._world.store.get("retirements", name)
        return item is not None and (item["status"] or {}).get("state") == "complete"

    def _wait(self, condition: Callable[[], bool], limit_s: float, what: str) -> None:
        """Wait for a condition; record a violation if it takes too long before the run ends."""
        end = time.monotonic() + limit_s
        while not condition():
            if self._is_over.is_set():
                return
            if time.monotonic() > end:
                self._record.note_violation(f"RECOVER: it took over {limit_s} s until {what}")
                return
            time.sleep(_POLL_S)
