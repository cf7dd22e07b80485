"""Several strands of faults at once, each one fault at a time."""

import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from features.soak.claims import Claims
from features.soak.disks import Disks
from features.soak.faults import Faults
from features.soak.promises import Record
from features.soak.world import SoakWorld


class Strands:
    """Strike again and again, and heal what they did.

    :param seed: fixes the kinds and their order in each strand.
    :param count: how many faults there are at most at once.
    :ivar struck: how often each kind struck.
    """

    def __init__(
        self, world: SoakWorld, record: Record, disks: Disks, seed: int, count: int
    ) -> None:
        self._record = record
        claims = Claims()
        self._rngs = [random.Random(f"{seed}/faults/{number}") for number in range(count)]
        self._faults = [Faults(world, record, claims, disks, rng) for rng in self._rngs]
        self.struck: Counter[str] = Counter()

    def work_until(self, end: float) -> None:
        """Do planned work alone until a moment of the monotonic clock."""
        self._run(sorted(self._faults[0].planned), end)

    def strike_until(self, end: float) -> None:
        """Strike with all kinds until a moment of the monotonic clock; all is healed then."""
        self._run(sorted({**self._faults[0].planned, **self._faults[0].unplanned}), end)

    def _run(self, names: list[str], end: float) -> None:
        numbers = range(len(self._faults))
        with ThreadPoolExecutor(len(self._faults)) as pool:
            running = [pool.submit(self._strand, number, names, end) for number in numbers]
        for strand in running:
            self.struck += strand.result()

    def _strand(self, number: int, names: list[str], end: float) -> Counter[str]:
        rng, struck = self._rngs[number], Counter[str]()
        while time.monotonic() < end:
            name = rng.choice(names)
            struck[name] += 1
            try:
                self._faults[number].strike(name)
            except AssertionError as error:
                self._record.violated(f"RECOVER: {error}")
            time.sleep(rng.uniform(0.05, 0.8))
        return struck
