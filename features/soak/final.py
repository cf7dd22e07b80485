"""Final faults: all machines at once, one disk perhaps, and what must be there behind them."""

import random
import time
from enum import StrEnum
from typing import NamedTuple

from features.soak.crowd import Crowd
from features.soak.disks import Disks, Loss
from features.soak.promises import Record
from features.soak.returns import Returned, Returns, kept_turns_from
from features.soak.turns import AnsweredTurns, Turn
from features.soak.world import SoakWorld

#: Seconds for which machines are down at most.
_DOWN_S = 0.6
#: Seconds that new programs have to fill the servers before others go on.
_FILL_S = 4.0


class Final(StrEnum):
    """The kinds of final faults."""

    ALL_KILLED = "all machines killed"
    #: The disk of one is lost meanwhile.
    ONE_DISK_LOST = "all machines killed, one disk lost"


class Outcome(NamedTuple):
    """What followed a final fault.

    :param most_taken: of the servers' places, by new programs that pressed for them.
    """

    kind: Final
    returned: Returned
    most_taken: int


class FinalFaults:
    """Strike all machines at once and let programs go on from turns of before.

    :param answered: the turns that were answered, from which they go on.
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

    def strike(self, kind: Final, is_full: bool) -> Outcome:
        """Strike, and let programs go on at every gateway until servers got them.

        :param is_full: whether new programs press for the servers' places meanwhile.
        """
        with self._record.disruptions.unplanned(kind) as fault:
            self._world.publish()
            self._world.kill_all(self._world.machines)
            turns = self._answered.since(kept_turns_from(time.monotonic()))
            loss = self._lose_disk() if kind is Final.ONE_DISK_LOST else None
            time.sleep(self._rng.uniform(0.0, _DOWN_S))
            for name in self._world.machines:
                self._world.restart(name)
            outcome = self._go_on(kind, turns, is_full)
            if loss is not None:
                self._disks.wait_copied(loss, fault)
        return outcome

    def _lose_disk(self) -> Loss:
        return self._disks.lose(self._rng.choice(self._world.replicas))

    def _go_on(self, kind: Final, turns: list[Turn], is_full: bool) -> Outcome:
        back_at = time.monotonic()
        returns = Returns(self._world, self._record, back_at)
        if not is_full:
            return Outcome(kind, returns.play(f"back-{kind.name}", turns, self._rng), 0)
        with Crowd(self._world, self._record, kind.name) as crowd:
            crowd.wait_full(back_at + _FILL_S)
            returned = returns.play(f"back-full-{kind.name}", turns, self._rng)
        return Outcome(kind, returned, crowd.most_taken)
