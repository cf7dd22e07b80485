"""Clients with persistent connections to several gateways: programs, streams and lookups."""

import http.client
import random
import threading
import time

from features.soak.client import Client
from features.soak.planned.content import CHAT, CLIENT_KEYS, FLOW, LOOKUP, TALK
from features.soak.planned.cuts import DEADLINE_S, AttemptStart
from features.soak.planned.world import PlannedWorld
from features.soak.promises import AttemptEnd, Record, events_of
from features.soak.threads import ThreadGroup
from features.soak.turns import NO_TURN, Program, send_turn
from features.support.platform_world import event

#: Seconds within which a program should finish.
FINISH_S = 12.0
#: Number of gateways that one client uses.
_GATEWAYS_PER_CLIENT = 4
_SHARES = {"program": 0.6, "stream": 0.2, "lookup": 0.15, "spare lookup": 0.05}


class KeyedClient(Client):
    """A client that uses a tenant's API key.

    :param turns_route: route to which turns are sent.
    :param starts: receives the route and start time of each attempt, by its id.
    :param deadline_s: seconds for which it waits for each answer.
    """

    def __init__(
        self,
        world: PlannedWorld,
        record: Record,
        key: str,
        turns_route: str,
        starts: dict[str, AttemptStart],
        deadline_s: float = DEADLINE_S,
    ) -> None:
        super().__init__(world, record)
        self._deadline_s = deadline_s
        self._key = key
        self._turns_route = turns_route
        self._starts = starts

    def send(
        self, gateway: str, route: str, attempt: str, body: bytes, headers: dict[str, str]
    ) -> AttemptEnd:
        """Send an attempt and return how it ended."""
        used = self._turns_route if route == CHAT else route
        self._starts[attempt] = AttemptStart(used, time.monotonic(), self._deadline_s)
        own = {"X-Key": self._key, "X-Deadline-Ms": str(round(self._deadline_s * 1000.0))}
        return super().send(gateway, used, attempt, body, {**headers, **own})


class Clients(ThreadGroup):
    """Runs clients in threads while the context is active.

    :param seed: determines the requests of each client, but not their times.
    :ivar asked: route and start time of all attempts, by their ids.
    """

    def __init__(self, world: PlannedWorld, record: Record, seed: int, clients: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self.starts: dict[str, AttemptStart] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(f"{seed}/{number}"), number))
            for number in range(clients)
        ]

    def _run(self, rng: random.Random, number: int) -> None:
        try:
            self._ask(rng, number)
        except Exception as error:
            # A run without this client's requests would test less than it reports.
            self._record.note_violation(f"HARNESS: client {number} ended: {error!r}")

    def _ask(self, rng: random.Random, number: int) -> None:
        world = self._world
        gateways = rng.sample(world.gateways, min(_GATEWAYS_PER_CLIENT, len(world.gateways)))
        key, route = rng.choice(CLIENT_KEYS), rng.choice((CHAT, TALK))
        done = 0
        with KeyedClient(world, self._record, key, route, self.starts) as client:
            while not self._is_over.is_set():
                done += 1
                name = f"c{number}-{done}"
                kind = rng.choices(list(_SHARES), list(_SHARES.values()))[0]
                if kind == "program":
                    self._program(rng, client, gateways, name)
                elif kind == "stream":
                    self._stream(rng, client, gateways, name)
                else:
                    spare = world.content.spare_routes if kind == "spare lookup" else []
                    self._look_up(client, rng.choice(gateways), rng.choice(spare or [LOOKUP]), name)
                self._is_over.wait(rng.choice((0.05, 0.3, 0.8)))

    def _look_up(self, client: Client, gateway: str, route: str, name: str) -> None:
        body = f"lookup {name}".encode()
        self._record.note_attempt(name, body)
        end = client.send(gateway, route, name, body, {})
        if end.status == http.client.OK and end.is_whole and end.body != name.encode():
            self._record.note_violation(f"MIXED: {name} got {end.body!r}")

    def _stream(self, rng: random.Random, client: Client, gateways: list[str], name: str) -> None:
        body = f"stream {name}".encode()
        self._record.note_attempt(name, body)
        end = client.send(rng.choice(gateways), FLOW, name, body, {"X-Token-Count": "100,50"})
        events = b"".join(event(number) for number in range(1, events_of(name) + 1))
        if end.status == http.client.OK and end.is_whole and end.body != events:
            self._record.note_violation(f"ORDER: {name} got {end.body!r}")

    def _program(self, rng: random.Random, client: Client, gateways: list[str], name: str) -> None:
        budget = rng.choice((60, 150, 400))
        program = Program(name, budget, time.monotonic() + FINISH_S)
        self._record.note_program(name, budget)
        turn, failures = NO_TURN, 0
        for step in range(rng.randrange(2, 8)):
            while not self._is_over.is_set() and failures < 4:
                attempt = f"{name}-{step}-{failures}"
                found, status = send_turn(
                    client, self._record, rng.choice(gateways), program, attempt, turn
                )
                if status == http.client.PAYMENT_REQUIRED:
                    return
                if found is not None:
                    turn = found
                    break
                failures += 1
                self._is_over.wait(rng.uniform(0.1, 0.4))
            self._is_over.wait(rng.uniform(0.01, 0.3))
