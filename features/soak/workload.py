"""Clients: programs of stateful turns, and lookups that may run once only."""

import http.client
import random
import threading
import time
from typing import NamedTuple, Self

from features.soak.promises import TURN_TOKENS, Ended, Record, events_of
from features.soak.world import CHAT, LOOKUP, SoakWorld
from features.support.platform_world import HOST, event

_TIMEOUT_S = 5.0


class Turn(NamedTuple):
    """A turn that was answered whole."""

    attempt: str
    chain: bytes


class Workload:
    """Clients in threads, until it is left.

    :param seed: fixes what each client does, not when.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int, clients: int) -> None:
        self._world = world
        self._record = record
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/{number}"), number))
            for number in range(clients)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng: random.Random, client: int) -> None:
        number = 0
        while not self._is_over.is_set():
            number += 1
            name = f"c{client}-{number}"
            if rng.random() < 0.4:
                self._look_up(rng, name)
            else:
                self._program(rng, name)

    def _look_up(self, rng: random.Random, name: str) -> None:
        body = f"lookup {name}".encode()
        self._record.begin(name, body)
        end = self._send(rng, LOOKUP, name, body, {})
        if end.status == 200 and end.is_whole and end.body != name.encode():
            self._record.violated(f"MIXED: {name} got {end.body!r}")
        self._is_over.wait(0.02)

    def _program(self, rng: random.Random, name: str) -> None:
        budget = rng.choice((60, 150, 400))
        self._record.begin_program(name, budget)
        turn = Turn("", b"")
        failures = 0
        for step in range(rng.randrange(2, 9)):
            # A turn that failed goes out again, as an attempt of its own.
            while not self._is_over.is_set() and failures < 6:
                found, status = self._turn(rng, name, f"{name}-{step}-{failures}", turn, budget)
                if status == 402:
                    return
                if found is not None:
                    turn = found
                    break
                failures += 1
                self._is_over.wait(rng.uniform(0.1, 0.4))
            self._is_over.wait(rng.uniform(0.01, 0.1))

    def _turn(
        self, rng: random.Random, program: str, attempt: str, before: Turn, budget: int
    ) -> tuple[Turn | None, int]:
        """Send a turn; return it if it was answered whole, and the status."""
        body = f"input of {attempt}".encode()
        expected = before.chain + body
        self._record.begin(attempt, expected, program)
        headers = {
            "X-Program-Id": program,
            "X-Session-Id": program,
            "X-Finish-Ms": "4000",
            "X-Token-Budget": str(budget),
            "X-Token-Count": f"100,{TURN_TOKENS}",
            "X-Prompt-Prefix": f"5eed:1000,{program}:{100 + len(expected)}",
        }
        if before.attempt:
            headers["X-Previous-Turn"] = before.attempt
        end = self._send(rng, CHAT, attempt, body, headers)
        if end.status == 404 and before.attempt:
            self._record.violated(f"LOST: {before.attempt} is unknown to {attempt}")
        if end.status != 200 or not end.is_whole:
            return None, end.status
        count = events_of(attempt)
        if end.body != b"".join(event(number) for number in range(1, count + 1)):
            self._record.violated(f"ORDER: {attempt} got {end.body!r}")
        output = b"".join(b"piece-%d\n" % number for number in range(1, count + 1))
        return Turn(attempt, expected + output), end.status

    def _send(
        self, rng: random.Random, route: str, attempt: str, body: bytes, headers: dict[str, str]
    ) -> Ended:
        gateway = rng.choice(self._world.gateways)
        host, _, port = self._world.addresses[gateway]["http"].partition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
        sent = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000", **headers}
        try:
            conn.request("POST", f"/{route}/x", body, sent)
            end = _read(conn)
        except (OSError, http.client.HTTPException):
            end = Ended(0, False, b"")
            time.sleep(0.05)
        finally:
            conn.close()
        self._record.ended(attempt, end)
        return end


def _read(conn: http.client.HTTPConnection) -> Ended:
    response = conn.getresponse()
    body = bytearray()
    try:
        while data := response.read1(65536):
            body += data
    except (OSError, http.client.HTTPException, ValueError):
        return Ended(response.status, False, bytes(body))
    return Ended(response.status, response.length in (None, 0), bytes(body))
