"""New programs without a history that compete for the servers' slots."""

import random
import threading
import time

from features.soak.client import Client
from features.soak.promises import Record
from features.soak.threads import ThreadGroup
from features.soak.turns import NO_TURN, Program, send_turn
from features.soak.workload import FINISH_S
from features.soak.world import LONG_PREFIX, SoakWorld

#: Concurrent programs per slot: more than the share of the slots that new programs may use.
_PROGRAMS_PER_SLOT = 1.6
#: Share of occupied slots from which the servers count as nearly full.
_FULL_SHARE = 0.8
_TRIES = 6
_BUDGET = 400
_POLL_S = 0.05


class SlotPressure(ThreadGroup):
    """Runs programs of one long turn each in threads while the context is active.

    :ivar max_active_turns: largest number of occupied slots that was observed.
    """

    def __init__(self, world: SoakWorld, record: Record, name: str) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self.max_active_turns = 0
        self._threads = [
            threading.Thread(target=self._run, args=(f"{LONG_PREFIX}{name}-{number}",))
            for number in range(round(_PROGRAMS_PER_SLOT * world.total_slots))
        ]
        self._threads.append(threading.Thread(target=self._watch))

    def wait_full(self, end: float) -> None:
        """Wait until the servers are nearly full, or until a time of the monotonic clock."""
        while (
            time.monotonic() < end
            and self._world.active_turns < _FULL_SHARE * self._world.total_slots
        ):
            self._is_over.wait(_POLL_S)

    def _watch(self) -> None:
        while not self._is_over.wait(_POLL_S):
            self.max_active_turns = max(self.max_active_turns, self._world.active_turns)

    def _run(self, name: str) -> None:
        rng = random.Random(name)
        done = 0
        with Client(self._world, self._record) as client:
            while not self._is_over.is_set():
                done += 1
                self._program(rng, client, f"{name}-{done}")

    def _program(self, rng: random.Random, client: Client, name: str) -> None:
        program = Program(name, _BUDGET, time.monotonic() + FINISH_S)
        self._record.note_program(name, _BUDGET)
        for number in range(_TRIES):
            if self._is_over.is_set():
                return
            gateway, attempt = rng.choice(self._world.gateways), f"{name}-{number}"
            found, _ = send_turn(client, self._record, gateway, program, attempt, NO_TURN)
            if found is not None:
                return
            self._is_over.wait(rng.uniform(0.1, 0.4))
