"""Turns whose streams break off anywhere and are resumed, on a virtual clock.

The relay of streams, the ledger and the replicas are production code. Servers break off, callers
leave and resume at any gateway, twice at once, or begin anew, and gateways are killed. Checked from
outside is that callers get each event once and that each turn runs with the whole history.
"""

from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import eventlet

from features.support.retention_lines import LineWorld
from features.support.virtual_time import now_s, run_virtually
from features.support.zone_model import TOKENS_PER_EVENT, ZONES, Gateway
from yarrowwall.dispatch.streams import StreamRelay
from yarrowwall.event_stream import Event
from yarrowwall.exceptions import (
    ConnectionBrokenError,
    RelayError,
    StoreUncertainError,
    TurnUnknownError,
)
from yarrowwall.hashing import digest
from yarrowwall.model import Answer, Attempt, HeaderBlock, ProgramContext, RequestKind, Route
from yarrowwall.ports.programs import ExpectedSoftware
from yarrowwall.refusals import Refusal, RefusedError

EVENTS = 9
MAX_TOKENS = EVENTS * TOKENS_PER_EVENT
LINES = 6
TURNS = 5
TRIES = 6
BREAK_SHARE = 0.25
CUT_SHARE = 0.35
DEADLINE_S = 5.0
SOFTWARE = "aaaaaaaa"
ROUTE = Route("talk", "host", "/talk/", RequestKind.STREAM, (), 5.0, 3, 1, True, 60.0, False, True)


def _event(body: bytes, number: int) -> bytes:
    """Return an event, which depends on the body alone, as servers of one version do it."""
    return f"id: {number}\ndata: {digest(body.hex())[:6]} {number}\n\n".encode()


class ModelServer:
    """The connection to a server that answers one request.

    :param breaks_after: number of events after which it breaks off; None for never.
    """

    def __init__(self, body: bytes, after: str | None, breaks_after: int | None) -> None:
        first = int(after or 0) + 1
        self._events = [_event(body, number) for number in range(first, EVENTS + 1)]
        self._breaks_after = breaks_after

    def read_some(self, timeout_s: float) -> bytes:
        """Return the next bytes: one or two events, or a part of one before it breaks off."""
        eventlet.sleep(0.01)
        if self._breaks_after is not None and self._breaks_after <= 0:
            raise ConnectionBrokenError("the server broke off")
        taken = self._events[: 1 + len(self._events) % 2]
        self._events = self._events[len(taken) :]
        if self._breaks_after is not None:
            self._breaks_after -= len(taken)
        return b"".join(taken)


class ModelSender:
    """Sends an attempt to servers that break off now and then."""

    def __init__(self, world: "ResumingWorld", body: bytes) -> None:
        self._world = world
        self._body = body
        self.current: Any = None
        self.rules = SimpleNamespace(
            next_check_s=lambda now: 1.0,
            should_keep_waiting=lambda *arguments: False,
            may_resume=lambda now: self._sends < 3,
        )
        self._sends = 0

    def left_s(self) -> float:
        """Return the seconds left, which are enough."""
        return 10.0

    def open(self, last_event_id: str | None = None) -> Any:
        """Return the answer of a server."""
        self._sends += 1
        rng = self._world.random
        breaks_after = rng.randrange(EVENTS) if rng.random() < BREAK_SHARE else None
        answer = Answer(200, [], False, True, True, None)
        send = SimpleNamespace(server=SimpleNamespace(incarnation="i-1"))
        self.current = SimpleNamespace(
            answer=answer,
            connection=ModelServer(self._body, last_event_id, breaks_after),
            send=send,
            sent_at=now_s(),
        )
        return self.current

    def cancel_answer(self) -> None:
        """End the current answer."""
        self.current = None

    finish_answer = cancel_answer

    def refused(self, reason: str) -> RefusedError:
        """Return the refusal of an attempt."""
        return RefusedError(Refusal(502, reason))

    def note_failure(self, *arguments: object) -> None:
        """Do nothing."""

    allow_again = hold_answer_memory = release_answer_memory = note_failure

    def pin_software(self) -> None:
        """Do nothing, since all servers are alike."""


_COMPONENTS: Any = SimpleNamespace(
    now=now_s,
    directory=SimpleNamespace(
        state_of=lambda incarnation: None,
        note_heard=lambda *arguments: None,
        note_service_time=lambda *arguments: None,
    ),
)


@dataclass
class ClientTurn:
    """One turn as its client sees it, over all attempts.

    :param got: the events that it has.
    """

    input: bytes
    previous: str
    got: list[Event] = field(default_factory=list)
    answered_as: str = ""

    @property
    def output(self) -> bytes:
        """Return the data of its events, as the next turn's server is to get them."""
        return b"".join(event.data + b"\n" for event in self.got)


class ResumingWorld(LineWorld):
    """One random schedule."""

    def __init__(self, seed: int) -> None:
        super().__init__(1)
        self.random.seed(seed)

    def run(self) -> None:
        """Run lines of turns."""
        lines = [eventlet.spawn(self._run_line, number) for number in range(LINES)]
        for line in lines:
            line.wait()

    def _run_line(self, number: int) -> None:
        history, previous = b"", ""
        for turn_number in range(TURNS):
            turn = ClientTurn(f"[{number}.{turn_number}]".encode(), previous)
            for _ in range(TRIES):
                if not turn.answered_as:
                    self._attempt(number, turn, history, self._any_gateway())
            if not turn.answered_as:
                self.counts["given up"] += 1
                return
            if self.random.random() < 0.2:
                self._resume_once_more(number, turn, history)
            history += turn.input + turn.output
            previous = turn.answered_as

    def _resume_once_more(self, number: int, turn: ClientTurn, history: bytes) -> None:
        """Resume a whole stream from its midst; the line goes on from that attempt."""
        again = ClientTurn(turn.input, turn.previous, turn.got[: self.random.randint(1, EVENTS)])
        self._attempt(number, again, history, self._any_gateway())
        if again.answered_as:
            turn.answered_as, turn.got = again.answered_as, again.got

    def _any_gateway(self) -> Gateway:
        return self.random.choice(self.gateways[self.random.choice(ZONES)])

    def _attempt(self, number: int, turn: ClientTurn, history: bytes, gateway: Gateway) -> None:
        self._attempt_count += 1
        attempt_id = f"t{self._attempt_count}"
        last = turn.got[-1].event_id if turn.got else None
        program = ProgramContext(f"p{number}", 10**6, MAX_TOKENS, turn.previous or None, None)
        attempt = Attempt(
            attempt_id,
            "POST",
            "/talk/x",
            "host",
            HeaderBlock(),
            turn.input,
            now_s(),
            now_s() + DEADLINE_S,
            program,
            last_event_id=last,
        )
        self.counts["resumed"] += last is not None
        end_s = now_s() + DEADLINE_S
        try:
            grant = gateway.ledger.open_turn(
                attempt,
                ROUTE,
                TOKENS_PER_EVENT,
                lambda: end_s,
                ExpectedSoftware(SOFTWARE, lambda: SOFTWARE),
            )
        except (StoreUncertainError, TurnUnknownError) as error:
            self._note_violation(f"{attempt_id} after {turn.previous}: {error!r}")
            return
        if grant.body != history + turn.input:
            self._note_violation(f"the history of {attempt_id} is {grant.body!r}")
        sender: Any = ModelSender(self, grant.body)
        relay = StreamRelay(_COMPONENTS, attempt, ROUTE, sender)
        try:
            self._relay(relay, turn)
            grant.complete(relay.repeated, relay.relayed, "i-1")
            turn.answered_as = attempt_id
            self.counts["answered"] += 1
        except (RelayError, _CallerLeftError):
            self.counts["broken off"] += 1
        finally:
            grant.close(relay.relayed, "i-1")
        self._check_got(attempt_id, turn)

    def _relay(self, relay: StreamRelay, turn: ClientTurn) -> None:
        relay.open()
        cut_after = self.random.randrange(1, EVENTS + 1)
        is_cut = self.random.random() < CUT_SHARE
        for events in relay.events():
            for event in events:
                turn.got.append(event)
                if is_cut and len(turn.got) >= cut_after:
                    raise _CallerLeftError
        relay.finish()

    def _check_got(self, attempt_id: str, turn: ClientTurn) -> None:
        numbers = [int(event.event_id or 0) for event in turn.got]
        wanted = list(range(1, EVENTS + 1 if turn.answered_as else len(numbers) + 1))
        if numbers != wanted:
            self._note_violation(f"the caller of {attempt_id} has events {numbers}")


class _CallerLeftError(Exception):
    """The caller has closed its connection."""


def run_resumed_turns(count: int, first: int = 0) -> Counter[str]:
    """Run schedules and return the counts of their events.

    :raises AssertionError: with the seed, if an invariant was violated.
    """
    counts: Counter[str] = Counter()
    for seed in range(first, first + count):

        def play(seed: int = seed) -> Counter[str]:
            world = ResumingWorld(seed)
            world.run()
            assert not world.violations, f"seed {seed}: {world.violations[:3]}"
            return world.counts

        counts += run_virtually(play)
    return counts
