"""Clients that do not behave, beside ordinary ones."""

import random
import threading
from collections import Counter

from features.soak.promises import Record
from features.soak.threads import ThreadGroup
from features.soak.world import SoakWorld
from features.support.crowd_clients import KINDS, ROUTE, play_kind
from features.support.platform_world import memory_peak_mb
from yarrowwall.policy.memory_budget import DEFAULT_MEMORY_MB

_CLIENTS = 6
_PAUSE_S = 0.1


class CrowdClients(ThreadGroup):
    """Sends heads of thousands of lines, unfinished requests and the like to any gateway.

    :param seed: determines the kinds of each client, but not their times.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/crowd/{number}"),))
            for number in range(_CLIENTS)
        ]

    def check(self) -> dict[str, int]:
        """Record a violation for each machine beyond its memory.

        :returns: the number of connections by kind.
        """
        for name, process in self._world.processes.items():
            peak_mb = memory_peak_mb(process.pid)
            if peak_mb > DEFAULT_MEMORY_MB:
                self._record.note_violation(f"MEMORY: {name} had {peak_mb:.0f} MB")
        return dict(self._counts)

    def _run(self, rng: random.Random) -> None:
        while not self._is_over.wait(rng.uniform(0.0, _PAUSE_S)):
            name = rng.choice(sorted(KINDS))
            gateway = rng.choice(self._world.gateways)
            address = self._world.addresses[gateway]["http"]
            kind = KINDS[name]
            # No server runs a path without a route, so these requests need no record.
            kind = kind._replace(payload=kind.payload.replace(f"/{ROUTE}/".encode(), b"/crowd/"))
            play_kind(address, kind, self._is_over, is_slow=rng.random() < 0.3)
            with self._lock:
                self._counts[name] += 1
