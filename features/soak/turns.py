"""Turns of programs: how clients send them and check the responses."""

import threading
import time
from typing import NamedTuple

from features.soak.client import Client
from features.soak.promises import TURN_TOKENS, TURN_UNKNOWN, Record, events_of
from features.soak.world import CHAT
from features.support.platform_world import event


class Turn(NamedTuple):
    """A turn with a complete successful response.

    :param chain: inputs and outputs of the conversation up to and including the turn.
    :param at: time of the response on the monotonic clock.
    """

    attempt: str
    chain: bytes
    at: float = 0.0


#: Previous turn of a program's first turn.
NO_TURN = Turn("", b"")


class Program(NamedTuple):
    """A program of turns.

    :param budget: tokens that it may emit.
    :param finish_at: desired end on the monotonic clock.
    :param own_tokens: prompt tokens, without the history, that no other program shares.
    :param route: the route of its turns.
    :param key: the key of its tenant; empty for none.
    :param shown: the id that it has for gateways, if that is not its name.
    """

    name: str
    budget: int
    finish_at: float
    own_tokens: int = 100
    route: str = CHAT
    key: str = ""
    shown: str = ""


class AnsweredTurns:
    """The turns with a complete successful response; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._turns: list[Turn] = []

    def add(self, turn: Turn) -> None:
        """Add a turn."""
        with self._lock:
            self._turns.append(turn)

    def since(self, at: float) -> list[Turn]:
        """Return the turns answered since a time of the monotonic clock, oldest first."""
        with self._lock:
            return sorted((turn for turn in self._turns if turn.at >= at), key=lambda one: one.at)


def send_turn(
    client: Client, record: Record, gateway: str, program: Program, attempt: str, previous: Turn
) -> tuple[Turn | None, int]:
    """Send a turn; return it if its response was complete and successful, and the status."""
    body = f"input of {attempt}".encode()
    expected = previous.chain + body
    record.note_attempt(attempt, expected, program.name)
    end = client.send(
        gateway, program.route, attempt, body, turn_headers(program, expected, previous)
    )
    if end.status in TURN_UNKNOWN and previous.attempt:
        record.note_violation(f"LOST: {previous.attempt} is unknown to {attempt}, {end.status}")
    if end.status != 200 or not end.is_whole:
        return None, end.status
    count = events_of(attempt)
    if end.body != b"".join(event(number) for number in range(1, count + 1)):
        record.note_violation(f"ORDER: {attempt} got {end.body!r}")
    output = b"".join(b"piece-%d\n" % number for number in range(1, count + 1))
    return Turn(attempt, expected + output, end.at), end.status


def turn_headers(program: Program, expected: bytes, previous: Turn) -> dict[str, str]:
    """Return the headers of a turn.

    :param expected: the body that its server should get.
    """
    finish_ms = max(round((program.finish_at - time.monotonic()) * 1000.0), 1)
    own_tokens = program.own_tokens + len(expected)
    headers = {
        "X-Program-Id": program.shown or program.name,
        "X-Session-Id": program.name,
        "X-Finish-Ms": str(finish_ms),
        "X-Token-Budget": str(program.budget),
        "X-Token-Count": f"{program.own_tokens},{TURN_TOKENS}",
        "X-Prompt-Prefix": f"5eed:1000,{program.name}:{own_tokens}",
    }
    if program.key:
        headers["X-Key"] = program.key
    if previous.attempt:
        headers["X-Previous-Turn"] = previous.attempt
    return headers
