"""Record of what clients and servers observed, and the guarantees checked against it."""

import threading
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from features.soak.disruptions import Disruptions

#: Tokens per event, as in the test configuration.
EVENT_TOKENS = 10
#: Maximum number of tokens of one turn.
TURN_TOKENS = 50
#: Statuses that guarantee that the attempt never runs.
NOT_RUN = (402, 408, 421, 429, 503)
#: Statuses that report an unknown previous turn.
TURN_UNKNOWN = (404, 410)
#: Deadline of each attempt in seconds.
DEADLINE_S = 3.0
#: Seconds after its last byte within which a request that no server got may be dropped.
LOSS_SLACK_S = 0.2


def events_of(attempt: str) -> int:
    """Return the number of events of a turn, which its attempt id determines."""
    return 1 + sum(attempt.encode()) % (TURN_TOKENS // EVENT_TOKENS)


class SentRequest(NamedTuple):
    """A request that was sent completely.

    :param at: time on the monotonic clock.
    """

    gateway: str
    at: float


class AttemptEnd(NamedTuple):
    """How an attempt ended for its client.

    :param status: 0 if the connection ended without a response.
    :param is_whole: whether the response was complete.
    :param body: the bytes of the body that were received.
    :param at: time on the monotonic clock.
    """

    status: int
    is_whole: bool
    body: bytes
    at: float = 0.0


class FinishedAttempt(NamedTuple):
    """An attempt that was sent completely and has ended.

    :param was_taken: whether the gateway is known to have read it: it reached a server, its
        response began, or the gateway admitted it and held it for over ``LOSS_SLACK_S``.
    :param was_broken_off: whether a server aborted its response.
    """

    attempt: str
    sent: SentRequest
    end: AttemptEnd
    was_taken: bool
    was_broken_off: bool


class Record:
    """Collects the observations of clients and servers; thread-safe."""

    def __init__(self) -> None:
        self.disruptions = Disruptions()
        self._lock = threading.Lock()
        self._expected: dict[str, bytes] = {}
        self._programs: dict[str, str] = {}
        self._budgets: dict[str, int] = {}
        self._sent: dict[str, SentRequest] = {}
        self._ended: dict[str, AttemptEnd] = {}
        self._read: set[str] = set()
        self._reached: set[str] = set()
        self._broken_off: set[str] = set()
        self._arrived: dict[str, list[bytes]] = defaultdict(list)
        self._went_on: list[tuple[str, str, list[str]]] = []
        self._violations: list[str] = []

    def note_program(self, program: str, budget: int) -> None:
        """Record a program and the tokens that it may emit."""
        with self._lock:
            self._budgets[program] = budget

    def note_attempt(self, attempt: str, expected: bytes, program: str = "") -> None:
        """Record an attempt and the body expected at servers, before it is sent."""
        with self._lock:
            self._expected[attempt] = expected
            self._programs[attempt] = program

    def note_sent(self, attempt: str, sent: SentRequest) -> None:
        """Record that an attempt was sent completely."""
        with self._lock:
            self._sent[attempt] = sent

    def note_admitted(self, attempts: Iterable[str]) -> None:
        """Record attempts that gateways read completely."""
        with self._lock:
            self._read.update(attempts)

    def note_reached(self, attempt: str) -> None:
        """Record that a server got an attempt, whether or not it rejects it."""
        with self._lock:
            self._reached.add(attempt)

    def note_started(self, attempt: str, body: bytes) -> None:
        """Record that a server began to run an attempt."""
        with self._lock:
            self._reached.add(attempt)
            self._arrived[attempt].append(body)

    def note_broken_off(self, attempt: str) -> None:
        """Record that a server aborted its response to an attempt."""
        with self._lock:
            self._broken_off.add(attempt)

    def note_continued(self, turn: str, gateway: str, attempts: list[str]) -> None:
        """Record all attempts with which a program continued an answered turn."""
        with self._lock:
            self._went_on.append((turn, gateway, attempts))

    def note_ended(self, attempt: str, end: AttemptEnd) -> None:
        """Record how an attempt ended for its client."""
        with self._lock:
            self._ended[attempt] = end

    def note_violation(self, text: str) -> None:
        """Record a violation that was detected immediately."""
        with self._lock:
            self._violations.append(text)

    def any_reached(self, attempts: Iterable[str]) -> bool:
        """Return whether a server got any of the attempts."""
        with self._lock:
            return not self._reached.isdisjoint(attempts)

    @property
    def served(self) -> int:
        """Return the number of attempts with a complete successful response."""
        with self._lock:
            return sum(end.status == 200 and end.is_whole for end in self._ended.values())

    def finished_attempts(self) -> list[FinishedAttempt]:
        """Return the attempts that were sent completely and have ended."""
        with self._lock:
            return [
                FinishedAttempt(
                    attempt,
                    sent,
                    self._ended[attempt],
                    self._was_taken(attempt, sent, self._ended[attempt]),
                    attempt in self._broken_off,
                )
                for attempt, sent in self._sent.items()
                if attempt in self._ended
            ]

    def outcomes(self) -> Counter[int]:
        """Return the number of attempts by status."""
        with self._lock:
            return Counter(end.status for end in self._ended.values())

    def violations(self) -> list[str]:
        """Return all violations of the guarantees."""
        with self._lock:
            found = list(self._violations)
            for attempt, bodies in self._arrived.items():
                found += self._of_arrivals(attempt, bodies)
            found += self._of_budgets()
            found += self._of_planned_work()
            found += self._of_conversations()
            return found

    def _of_arrivals(self, attempt: str, bodies: list[bytes]) -> list[str]:
        found = []
        expected = self._expected.get(attempt)
        if expected is None:
            found.append(f"UNASKED: {attempt} was sent by no client")
        elif any(body != expected for body in bodies):
            found.append(f"UNASKED: {attempt} ran with another body")
        if len(bodies) > 1:
            found.append(f"TWICE: {attempt} ran {len(bodies)} times")
        end = self._ended.get(attempt)
        if end is not None and end.status in NOT_RUN:
            found.append(f"REFUSED: {attempt} got {end.status} and ran")
        return found

    def _of_budgets(self) -> list[str]:
        spent: Counter[str] = Counter()
        for attempt, end in self._ended.items():
            if end.status == 200:
                spent[self._programs.get(attempt, "")] += end.body.count(b"\n\n") * EVENT_TOKENS
        return [
            f"BUDGET: {program} got {spent[program]} of {budget} tokens"
            for program, budget in self._budgets.items()
            if spent[program] > budget + TURN_TOKENS
        ]

    def _of_planned_work(self) -> list[str]:
        return [
            f"LOST: {attempt} was cut by a planned operation on {sent.gateway}"
            for attempt, sent in self._sent.items()
            if attempt in self._ended and self._is_cut(attempt, sent, self._ended[attempt])
        ]

    def _is_cut(self, attempt: str, sent: SentRequest, end: AttemptEnd) -> bool:
        """Return whether only planned operations ended a request that its gateway had read."""
        if end.is_whole or attempt in self._broken_off or end.at - sent.at >= DEADLINE_S:
            return False
        was_taken = self._was_taken(attempt, sent, end)
        return was_taken and self.disruptions.has_only_planned_work(sent.gateway, sent.at, end.at)

    def _was_taken(self, attempt: str, sent: SentRequest, end: AttemptEnd) -> bool:
        is_held = attempt in self._read and end.at - sent.at > LOSS_SLACK_S
        return end.status != 0 or attempt in self._reached or is_held

    def _of_conversations(self) -> list[str]:
        return [
            f"LOST: {turn} reached no server in {len(attempts)} tries at {gateway}"
            for turn, gateway, attempts in self._went_on
            if self._reached.isdisjoint(attempts)
        ]
