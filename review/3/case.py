"""A program spends more than its budget after one storage machine was down for 2.6 s."""

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import CHUNK_TOKENS, TROUBLE, CannotRun, World, model_route, play, run_all, wait_until

PROGRAMS = 30
BUDGET = 1000
#: Most tokens of a turn, and of the one turn in the middle.
MOST, MOST_OF_MIDDLE = 300, 100
#: Seconds for which the storage machine of zone-b is down.
DOWN_S = 2.6
#: When the programs' turns begin, in seconds. No pause is longer than retain_s, 60 s.
FIRST_TURNS_AT_S = (0.15, 1.2, 2.25)
MIDDLE_AT_S, LAST_AT_S = 48.0, 98.5
LAST_TURNS = 5


class Program:
    """A program that starts sub-agents over and over; each turn is a line of its own."""

    def __init__(self, world, number):
        self._world, self._number = world, number
        self._turns = 0
        self.tokens = 0

    def run_turn(self, gateway, most):
        """Send one turn; return its answer's status."""
        self._turns += 1
        headers = {
            "X-Attempt-Id": f"program{self._number}turn{self._turns}",
            "X-Program-Id": f"program-{self._number}",
            "X-Session-Id": f"program-{self._number}-line-{self._turns}",
            "X-Finish-Ms": str(180_000 - int(self._world.record.seconds() * 1000)),
            "X-Token-Budget": str(BUDGET),
            "X-Token-Count": f"100,{most}",
            "X-Model": "m",
            "X-Prompt-Prefix": f"aa:100,b{self._number:x}:50",
        }
        answer = self._world.ask(gateway, "/advice/turn", b"a prompt", headers)
        self.tokens += answer.body.count(b"\n\n") * CHUNK_TOKENS if answer.status == 200 else 0
        return answer.status


def story(world):
    world.start([model_route("advice")])
    programs = [Program(world, number) for number in range(PROGRAMS)]
    started = time.monotonic()

    def turns_of_all(gateway, most):
        jobs = [lambda program=one: program.run_turn(gateway, most) for one in programs]
        return run_all(jobs, 0.02)

    if TROUBLE:
        world.machines.signal("storage-1", signal.SIGKILL)
    for at in FIRST_TURNS_AT_S:
        wait_until(started + at)
        turns_of_all("edge-0", MOST)
    if TROUBLE:
        wait_until(started + DOWN_S)
        world.machines.start("storage-1", is_gateway=False)
    if any(program.tokens != len(FIRST_TURNS_AT_S) * MOST for program in programs):
        raise CannotRun("first turns were not served")
    wait_until(started + MIDDLE_AT_S)
    turns_of_all("edge-2", MOST_OF_MIDDLE)
    wait_until(started + LAST_AT_S)
    for _ in range(LAST_TURNS):
        turns_of_all("edge-0", MOST)
    over = [one for one in programs if one.tokens > BUDGET + MOST]
    for number, program in enumerate(programs):
        world.record.write(f"program-{number} got {program.tokens} tokens of {BUDGET}")
    print(f"{len(over)} of {PROGRAMS} programs got over {BUDGET} + {MOST} tokens")
    return bool(over)


if __name__ == "__main__":
    sys.exit(play(World(HERE, gateways=3), story))
