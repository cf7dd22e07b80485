"""Clients whose stateful streams break off and are resumed, and the histories that servers get."""

import contextlib
import random
import threading
import time
from collections import Counter

from features.soak.kept_connections import KeptConnections
from features.soak.promises import TURN_UNKNOWN, Record
from features.soak.threads import ThreadGroup
from features.soak.world import RETAIN_S, SoakWorld
from features.support.conversations import EVENTS, Conversation, Stream, history, pieces

#: Share of the attempts that their clients cut midway.
_CUT_SHARE = 0.4
_MAX_ATTEMPTS = 6
_MAX_TURNS = 6
#: Longest pause of a client between two attempts in seconds.
_MAX_PAUSE_S = 0.3


class ConversationClients(ThreadGroup):
    """Runs conversations in threads while the context is active.

    :param seed: determines the attempts of each client, but not their times.
    """

    def __init__(self, world: SoakWorld, record: Record, seed: int, clients: int) -> None:
        super().__init__()
        self._world = world
        self._record = record
        self._lock = threading.Lock()
        self._expected: dict[str, bytes] = {}
        self._counts: Counter[str] = Counter()
        world.conversations.check = self._check_body
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(f"{seed}/conversations/{number}"), number)
            )
            for number in range(clients)
        ]

    def counts(self) -> dict[str, int]:
        """Return the numbers of attempts, resumptions and whole turns."""
        with self._lock:
            return dict(self._counts)

    def _check_body(self, attempt_id: str, body: bytes) -> None:
        """Check the history that a server got with an attempt."""
        with self._lock:
            expected = self._expected.get(attempt_id)
        if body != expected:
            self._record.note_violation(
                f"UNASKED: {attempt_id} ran with {body!r} instead of {expected!r}"
            )

    def _count(self, name: str) -> None:
        with self._lock:
            self._counts[name] += 1

    def _run(self, rng: random.Random, number: int) -> None:
        done = 0
        with contextlib.closing(KeptConnections(self._world.connect)) as connections:
            while not self._is_over.is_set():
                done += 1
                conversation = Conversation(
                    self._world, f"talk{number}x{done}", names_attempt=rng.random() < 0.5
                )
                conversation.connect = connections.take  # type: ignore[method-assign]
                conversation.release = connections.release  # type: ignore[method-assign]
                self._run_conversation(rng, conversation)

    def _run_conversation(self, rng: random.Random, conversation: Conversation) -> None:
        earlier, previous, answered_at = b"", "", 0.0
        for _ in range(rng.randint(1, _MAX_TURNS)):
            stream = conversation.begin(previous)
            if not self._run_turn(rng, conversation, stream, earlier, answered_at):
                return
            earlier = history(earlier, stream)
            previous, answered_at = stream.attempt_ids[-1], time.monotonic()

    def _run_turn(
        self,
        rng: random.Random,
        conversation: Conversation,
        stream: Stream,
        earlier: bytes,
        answered_at: float,
    ) -> bool:
        """Run a turn; return whether its last attempt brought its end."""
        wanted = pieces(earlier + stream.input)
        for number in range(_MAX_ATTEMPTS):
            if self._is_over.is_set():
                return False
            with self._lock:
                attempt_id = f"{stream.name}a{len(stream.attempt_ids)}"
                self._expected[attempt_id] = earlier + stream.input
            self._count("resumed" if stream.data else "begun")
            cut_after = rng.randint(1, EVENTS) if rng.random() < _CUT_SHARE else None
            status = conversation.attempt(
                stream, rng.randrange(len(self._world.gateways)), cut_after
            )
            is_promised = stream.previous and time.monotonic() < answered_at + RETAIN_S
            if status in TURN_UNKNOWN and is_promised:
                self._record.note_violation(f"LOST: {stream.previous} is unknown, {status}")
            if stream.data != wanted[: len(stream.data)]:
                self._record.note_violation(f"ORDER: {stream} instead of {wanted}")
                return False
            if stream.is_ended:
                self._count("whole")
                return True
            self._is_over.wait(rng.uniform(0.0, _MAX_PAUSE_S * (number + 1)))
        return False
