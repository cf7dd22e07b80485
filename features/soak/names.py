"""A tenant's programs, beside callers without a key who use the names that they have seen."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable

from features.soak.client import Client
from features.soak.promises import TURN_TOKENS, Record
from features.soak.threads import ThreadGroup
from features.soak.turns import NO_TURN, AnsweredTurns, Program, Turn, send_turn, turn_headers
from features.soak.workload import FINISH_S
from features.soak.world import KEY, KEYED, RETAIN_S, TENANT, SoakWorld
from features.support.chosen_names import spellings

_BUDGET = 400
_MAX_TURNS = 6
_MAX_FAILURES = 6
_PAUSE_S = 0.1
#: Seconds for which names that were seen are used.
_NAMES_S = 10.0


class NameClients(ThreadGroup):
    """Runs the tenant's clients and the others in threads while the context is active.

    :param seed: determines the requests of each client, but not their times.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int, clients: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self._answered = AnsweredTurns()
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        pairs = max(1, clients // 3)
        self._threads = [
            threading.Thread(
                target=self._run, args=(run, random.Random(f"{seed}/{kind}/{number}"), number)
            )
            for number in range(pairs)
            for kind, run in (("tenant", self._program), ("borrower", self._borrow))
        ]

    def counts(self) -> dict[str, int]:
        """Return the numbers of the tenant's turns and of borrowed names, by status."""
        with self._lock:
            return dict(self._counts)

    def _count(self, name: str) -> None:
        with self._lock:
            self._counts[name] += 1

    def _run(
        self, run: Callable[[random.Random, Client, str], None], rng: random.Random, number: int
    ) -> None:
        done = 0
        with Client(self._world, self._record) as client:
            while not self._is_over.is_set():
                done += 1
                run(rng, client, f"{number}-{done}")
                self._is_over.wait(rng.uniform(0.0, _PAUSE_S))

    def _program(self, rng: random.Random, client: Client, name: str) -> None:
        """Run a program of the tenant."""
        finish_at = time.monotonic() + FINISH_S
        program = Program(f"own{name}", _BUDGET, finish_at, route=KEYED, key=KEY)
        self._record.note_program(program.name, _BUDGET)
        turn, sent = NO_TURN, 0
        for step in range(_MAX_TURNS):
            found: Turn | None = None
            for failures in range(_MAX_FAILURES):
                if self._is_over.is_set():
                    return
                gateway, attempt = rng.choice(self._world.gateways), f"own{name}-{step}-{failures}"
                found, status = send_turn(client, self._record, gateway, program, attempt, turn)
                self._count(f"turn {status}")
                if status == 402:
                    self._check_spent(program.name, sent)
                    return
                sent += 1
                if found is not None:
                    break
                self._is_over.wait(rng.uniform(0.1, 0.4))
            if found is None:
                return
            turn = found
            self._answered.add(turn)

    def _check_spent(self, program: str, sent: int) -> None:
        """Record a violation if a program's own attempts cannot have spent its budget."""
        if (sent + 1) * TURN_TOKENS <= _BUDGET:
            self._record.note_violation(f"BUDGET: {program} was refused after {sent} attempts")

    def _borrow(self, rng: random.Random, client: Client, name: str) -> None:
        """Use the names of a turn and of a program of the tenant, without a key."""
        seen = self._answered.since(time.monotonic() - min(_NAMES_S, RETAIN_S))
        if not seen:
            return
        turn = rng.choice(seen)
        program_name = turn.attempt.rsplit("-", 2)[0]
        spelled = rng.choice(spellings(TENANT, program_name))
        attempt, gateway = f"borrowed{name}", rng.choice(self._world.gateways)
        program = Program(f"borrowed{name}", _BUDGET, time.monotonic() + FINISH_S, shown=spelled)
        self._record.note_program(program.name, _BUDGET)
        if rng.random() < 0.5:
            # This spends the budget of a program of its own that has the spelled name.
            _, status = send_turn(client, self._record, gateway, program, attempt, NO_TURN)
            self._count(f"program {status}")
            return
        named = rng.choice(spellings(TENANT, turn.attempt))
        status = send_borrowed(client, self._record, gateway, program, attempt, named)
        self._count(f"borrowed {status}")


def send_borrowed(
    client: Client, record: Record, gateway: str, program: Program, attempt: str, named: str
) -> int:
    """Send a turn that continues one of another owner, which no server may run."""
    body = b"input of a borrower"
    record.note_attempt(attempt, body, program.name)
    headers = turn_headers(program, body, Turn(named, b""))
    end = client.send(gateway, program.route, attempt, body, headers)
    if end.status == 200 or record.any_reached([attempt]):
        record.note_violation(f"UNASKED: {attempt} continued {named!r} of another owner")
    return end.status
