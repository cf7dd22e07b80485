"""Final faults: all machines are killed at once, in one kind also a disk is lost."""

import random
import time
from enum import StrEnum
from typing import NamedTuple

from features.soak.continuations import ContinuationResult, Continuations, continuable_since
from features.soak.disks import DiskLoss, Disks
from features.soak.promises import Record
from features.soak.slot_pressure import SlotPressure
from features.soak.turns import AnsweredTurns, Turn
from features.soak.world import SoakWorld

#: Maximum downtime of the machines in seconds.
_DOWN_S = 0.6
#: Seconds that new programs have to fill the servers before others continue earlier turns.
_FILL_S = 4.0


class FinalFault(StrEnum):
    """The kinds of final faults."""

    ALL_KILLED = "all machines killed"
    #: The disk of one replica is lost while the machines are down.
    ONE_DISK_LOST = "all machines killed, one disk lost"


class FinalFaultResult(NamedTuple):
    """Result of a final fault.

    :param most_taken: largest number of slots that new programs occupied; 0 without them.
    """

    kind: FinalFault
    returned: ContinuationResult
    most_taken: int


class FinalFaultInjector:
    """Kill all machines at once and let programs continue turns answered before.

    :param answered: answered turns that programs may continue.
    """

    def __init__(
        self,
        world: SoakWorld,
        record: Record,
        disks: Disks,
        answered: AnsweredTurns,
        seed: int,
    ) -> None:
        self._world = world
        self._record = record
        self._disks = disks
        self._answered = answered
        self._rng = random.Random(f"{seed}/final")

    def inject(self, kind: FinalFault, is_loaded: bool) -> FinalFaultResult:
        """Inject the fault, and let programs continue at every gateway until servers get them.

        :param is_loaded: whether new programs fill the servers' slots in the meantime.
        """
        with self._record.disruptions.unplanned(kind) as fault:
            self._world.publish()
            self._world.kill_all(self._world.machines)
            turns = self._answered.since(continuable_since(time.monotonic()))
            loss = self._lose_disk() if kind is FinalFault.ONE_DISK_LOST else None
            time.sleep(self._rng.uniform(0.0, _DOWN_S))
            for name in self._world.machines:
                self._world.restart(name)
            result = self._continue_programs(kind, turns, is_loaded)
            if loss is not None:
                self._disks.wait_copied(loss, fault)
        return result

    def _lose_disk(self) -> DiskLoss:
        return self._disks.lose(self._rng.choice(self._world.replicas))

    def _continue_programs(
        self, kind: FinalFault, turns: list[Turn], is_loaded: bool
    ) -> FinalFaultResult:
        back_at = time.monotonic()
        continuations = Continuations(self._world, self._record, back_at)
        if not is_loaded:
            return FinalFaultResult(
                kind, continuations.play(f"back-{kind.name}", turns, self._rng), 0
            )
        with SlotPressure(self._world, self._record, kind.name) as pressure:
            pressure.wait_full(back_at + _FILL_S)
            returned = continuations.play(f"back-full-{kind.name}", turns, self._rng)
        return FinalFaultResult(kind, returned, pressure.max_active_turns)
