"""Programs that continue earlier turns after a final fault."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from features.soak.client import Client
from features.soak.promises import Record
from features.soak.turns import Program, Turn, send_turn
from features.soak.workload import FINISH_S
from features.soak.world import RETAIN_S, SoakWorld

#: Seconds after a final fault within which every gateway must serve again.
RECOVER_S = 12.0
#: Retention in seconds that a turn must have left when the machines are killed, so that it
#: outlasts the last try.
_MIN_RETENTION_LEFT_S = RECOVER_S + 5.0
_PROGRAMS_PER_GATEWAY = 4
_BUDGET = 1000
#: Unshared prompt tokens, including the history: many times those of a program without one.
_OWN_TOKENS = 20_000


class ContinuationResult(NamedTuple):
    """Result of the programs that continued earlier turns.

    :param longest_s: seconds from the restart of the machines until a server had got a request
        of every program.
    :param most_tries: largest number of attempts that a program needed for this.
    """

    programs: int
    longest_s: float
    most_tries: int


class Continuations:
    """Programs at every gateway, each of which continues an answered turn of another program.

    :param back_at: time at which the machines were restarted, on the monotonic clock.
    """

    def __init__(self, world: SoakWorld, record: Record, back_at: float) -> None:
        self._world = world
        self._record = record
        self._back_at = back_at

    def play(self, name: str, turns: list[Turn], rng: random.Random) -> ContinuationResult:
        """Run programs until servers got a request of each or ``RECOVER_S`` is over.

        :param turns: answered turns, the latest last.
        """
        chosen = [
            (gateway, f"{name}-{gateway}-{number}", turn)
            for gateway in self._world.gateways
            for number, turn in enumerate(_choose(turns, rng))
        ]
        with ThreadPoolExecutor(max(len(chosen), 1)) as pool:
            found = list(pool.map(lambda one: self._continue_turn(*one), chosen))
        return ContinuationResult(
            len(found),
            round(max((lasted_s for lasted_s, _ in found), default=0.0), 2),
            max((tries for _, tries in found), default=0),
        )

    def _continue_turn(self, gateway: str, name: str, turn: Turn) -> tuple[float, int]:
        """Retry a program's first turn until a server gets it; return seconds and tries."""
        rng = random.Random(name)
        program = Program(name, _BUDGET, time.monotonic() + FINISH_S, _OWN_TOKENS)
        self._record.note_program(name, _BUDGET)
        attempts: list[str] = []
        with Client(self._world, self._record) as client:
            while time.monotonic() < self._back_at + RECOVER_S:
                attempts.append(f"{name}-{len(attempts)}")
                send_turn(client, self._record, gateway, program, attempts[-1], turn)
                if self._record.any_reached(attempts):
                    break
                threading.Event().wait(rng.uniform(0.1, 0.4))
        self._record.note_continued(turn.attempt, gateway, attempts)
        return time.monotonic() - self._back_at, len(attempts)


def continuable_since(now: float) -> float:
    """Return the earliest answer time of turns that are retained until all tries are over."""
    return now - RETAIN_S + _MIN_RETENTION_LEFT_S


def _choose(turns: list[Turn], rng: random.Random) -> list[Turn]:
    """Return the latest turns, which were stored last, and as many random others."""
    latest = turns[-_PROGRAMS_PER_GATEWAY // 2 :]
    others = turns[: -_PROGRAMS_PER_GATEWAY // 2]
    return latest + rng.sample(others, min(len(others), _PROGRAMS_PER_GATEWAY - len(latest)))
