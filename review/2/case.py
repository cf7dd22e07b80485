"""Lines of turns that arrive through a different zone with each turn lose their first turns."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "1"))

from standins import TROUBLE, CannotRun, World, model_route, play, run_all, wait_until

LINES = 12
#: Seconds after the first turn at which the turns of a line begin. Each pause is under retain_s,
#: 60 s.
TURNS_AT_S = (0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2.1, 48.0)
LAST_AT_S = 98.0
#: Tries of the last turn, as clients do: two for each of the three times that a turn goes out.
TRIES = 6


class Line:
    """One line of turns of one program."""

    def __init__(self, world, number):
        self._world, self.number = world, number
        self._turns = []

    def gateway(self, turn):
        """Return the node that a turn reaches; without the trouble it is always the same one."""
        zone = (self.number + turn) % 3 if TROUBLE else self.number % 3
        is_last = TROUBLE and turn == len(TURNS_AT_S)
        return f"edge-{zone + 3 if is_last else zone}"

    def send(self, turn):
        """Send a turn, again if it fails; return whether it was answered whole."""
        body = f"[line {self.number} turn {turn}]".encode()
        for one_try in range(TRIES):
            attempt_id = f"line{self.number}turn{turn}try{one_try}"
            previous = {"X-Previous-Turn": self._turns[-1]} if self._turns else {}
            headers = {
                "X-Attempt-Id": attempt_id,
                "X-Program-Id": f"program-{self.number}",
                "X-Session-Id": f"line-{self.number}",
                "X-Finish-Ms": str(180_000 - int(self._world.record.seconds() * 1000)),
                "X-Token-Budget": "100000",
                "X-Token-Count": "100,100",
                "X-Model": "m",
                "X-Prompt-Prefix": f"aa:100,b{self.number:x}:50",
                **previous,
            }
            answer = self._world.ask(self.gateway(turn), "/assist/turn", body, headers)
            if answer.is_served:
                self._turns.append(attempt_id)
                return True
            time.sleep(min(float(answer.headers.get("Retry-After", 0.4)), 1.0))
        return False


def story(world):
    world.start([model_route("assist", stateful=True)])
    lines = [Line(world, number) for number in range(LINES)]
    started = time.monotonic()
    for turn, at in enumerate(TURNS_AT_S):
        wait_until(started + at)
        if not all(run_all([lambda line=one, turn=turn: line.send(turn) for one in lines], 0.01)):
            raise CannotRun(f"turn {turn} was not served")
    wait_until(started + LAST_AT_S)
    last = len(TURNS_AT_S)
    served = run_all([lambda line=one: line.send(last) for one in lines], 0.03)
    others = [Line(world, 100 + number) for number in range(6)]
    firsts = run_all([lambda line=one: line.send(0) for one in others], 0.03)
    if not all(firsts):
        raise CannotRun("first turns were not served either")
    lost = [line.number for line, is_served in zip(lines, served, strict=True) if not is_served]
    world.record.write(f"lines whose last turn reached no server in {TRIES} tries: {lost}")
    print(f"{len(lost)} of {LINES} lines of turns are lost")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(play(World(HERE, gateways=6), story))
