"""Client load: programs of stateful turns, and lookups that must run at most once."""

import random
import threading
import time

from features.soak.client import Client
from features.soak.promises import Record
from features.soak.threads import ThreadGroup
from features.soak.turns import NO_TURN, AnsweredTurns, Program, send_turn
from features.soak.world import LOOKUP, SoakWorld

#: Seconds within which a program should finish.
FINISH_S = 4.0


class Workload(ThreadGroup):
    """Runs clients in threads while the context is active.

    :param seed: determines the requests of each client, but not their times.
    :ivar answered: the turns with a complete successful response.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int, clients: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self.answered = AnsweredTurns()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/{number}"), number))
            for number in range(clients)
        ]

    def _run(self, rng: random.Random, number: int) -> None:
        done = 0
        with Client(self._world, self._record) as client:
            while not self._is_over.is_set():
                done += 1
                name = f"c{number}-{done}"
                if rng.random() < 0.4:
                    self._look_up(rng, client, name)
                else:
                    self._program(rng, client, name)

    def _look_up(self, rng: random.Random, client: Client, name: str) -> None:
        body = f"lookup {name}".encode()
        self._record.note_attempt(name, body)
        end = client.send(rng.choice(self._world.gateways), LOOKUP, name, body, {})
        if end.status == 200 and end.is_whole and end.body != name.encode():
            self._record.note_violation(f"MIXED: {name} got {end.body!r}")
        self._is_over.wait(0.02)

    def _program(self, rng: random.Random, client: Client, name: str) -> None:
        budget = rng.choice((60, 150, 400))
        program = Program(name, budget, time.monotonic() + FINISH_S)
        self._record.note_program(name, budget)
        turn = NO_TURN
        failures = 0
        for step in range(rng.randrange(2, 9)):
            # A failed turn is sent again as a new attempt.
            while not self._is_over.is_set() and failures < 6:
                gateway = rng.choice(self._world.gateways)
                attempt = f"{name}-{step}-{failures}"
                found, status = send_turn(client, self._record, gateway, program, attempt, turn)
                if status == 402:
                    return
                if found is not None:
                    turn = found
                    self.answered.add(turn)
                    break
                failures += 1
                self._is_over.wait(rng.uniform(0.1, 0.4))
            self._is_over.wait(rng.uniform(0.01, 0.1))
