"""Workers that inject faults concurrently, each one fault at a time."""

import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from features.soak.disks import Disks
from features.soak.faults import FaultInjector
from features.soak.promises import Record
from features.soak.resource_locks import ResourceLocks
from features.soak.world import SoakWorld


class FaultWorkers:
    """Inject faults repeatedly; each fault is healed by its injector.

    :param seed: determines the kinds and their order in each worker.
    :param count: number of workers, and so of concurrent faults.
    :ivar struck: number of injected faults by kind.
    """

    def __init__(
        self, world: SoakWorld, record: Record, disks: Disks, seed: int, count: int
    ) -> None:
        self._record = record
        resource_locks = ResourceLocks()
        self._rngs = [random.Random(f"{seed}/faults/{number}") for number in range(count)]
        self._faults = [
            FaultInjector(world, record, resource_locks, disks, rng) for rng in self._rngs
        ]
        self.injected: Counter[str] = Counter()

    def replace_servers_until(self, end: float) -> None:
        """Only replace servers by others of any version until a time of the monotonic clock."""
        self._run(sorted(self._faults[0].releases), end)

    def do_planned_work_until(self, end: float) -> None:
        """Inject planned operations only until a time of the monotonic clock."""
        self._run(sorted(self._faults[0].planned), end)

    def inject_until(self, end: float) -> None:
        """Inject faults of all kinds until a time of the monotonic clock; return once healed."""
        self._run(sorted({**self._faults[0].planned, **self._faults[0].unplanned}), end)

    def _run(self, names: list[str], end: float) -> None:
        numbers = range(len(self._faults))
        with ThreadPoolExecutor(len(self._faults)) as pool:
            running = [
                pool.submit(self._inject_repeatedly, number, names, end) for number in numbers
            ]
        for future in running:
            self.injected += future.result()

    def _inject_repeatedly(self, number: int, names: list[str], end: float) -> Counter[str]:
        rng, injected = self._rngs[number], Counter[str]()
        while time.monotonic() < end:
            name = rng.choice(names)
            injected[name] += 1
            try:
                self._faults[number].inject(name)
            except AssertionError as error:
                self._record.note_violation(f"RECOVER: {error}")
            time.sleep(rng.uniform(0.05, 0.8))
        return injected
