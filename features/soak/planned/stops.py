"""Clients that use open connections to a gateway that is asked to stop, until it is gone."""

import random
import threading
import time
from typing import Self

from features.soak.planned.clients import FINISH_S, KeyedClient
from features.soak.planned.content import CHAT, CLIENT_KEYS, FLOW, LOOKUP
from features.soak.planned.cuts import AttemptStart
from features.soak.planned.world import STOP_S, PlannedWorld
from features.soak.promises import Record
from features.soak.turns import NO_TURN, Program, send_turn

#: Number of connections that are open when a gateway is asked to stop.
CONNECTIONS = 16
#: Seconds for which these clients wait, longer than a stop may take.
_DEADLINE_S = STOP_S + 2.0
_TOKENS = 400
_ROUTES = (CHAT, FLOW, FLOW, LOOKUP)


class StopClients:
    """Opens connections to a gateway, and sends one request on each while it stops.

    A context manager that waits for all answers.

    :param starts: receives the route and start time of each attempt, by its id.
    :param name: prefix of the attempts' ids.
    """

    def __init__(
        self,
        world: PlannedWorld,
        record: Record,
        starts: dict[str, AttemptStart],
        rng: random.Random,
        gateway: str,
        name: str,
    ) -> None:
        self._record = record
        self._gateway = gateway
        self._begins = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(client, f"{name}-{number}", route, after_s))
            for number, (client, route, after_s) in enumerate(
                (
                    KeyedClient(world, record, rng.choice(CLIENT_KEYS), CHAT, starts, _DEADLINE_S),
                    rng.choice(_ROUTES),
                    rng.uniform(0.0, STOP_S),
                )
                for _ in range(CONNECTIONS)
            )
        ]
        self._are_open = threading.Barrier(CONNECTIONS + 1)

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        self._are_open.wait()
        return self

    def __exit__(self, *error: object) -> None:
        self._begins.set()
        for thread in self._threads:
            thread.join()

    def note_signalled(self) -> None:
        """Note that the gateway was asked to stop, after which each client sends its request."""
        self._begins.set()

    def _run(self, client: KeyedClient, name: str, route: str, after_s: float) -> None:
        try:
            with client:
                try:
                    self._send(client, LOOKUP, f"{name}-open")
                finally:
                    self._are_open.wait()
                self._begins.wait()
                time.sleep(after_s)
                self._send(client, route, name)
        except Exception as error:
            # A run without this client's requests would test less than it reports.
            self._record.note_violation(f"HARNESS: client {name} ended: {error!r}")

    def _send(self, client: KeyedClient, route: str, name: str) -> None:
        if route == CHAT:
            program = Program(name, _TOKENS, time.monotonic() + FINISH_S)
            self._record.note_program(name, _TOKENS)
            send_turn(client, self._record, self._gateway, program, name, NO_TURN)
            return
        body = f"{route} {name}".encode()
        self._record.note_attempt(name, body)
        headers = {"X-Token-Count": "100,50"} if route == FLOW else {}
        client.send(self._gateway, route, name, body, headers)
