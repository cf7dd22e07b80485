"""The answer to one request: its head, and what is logged of it."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from yarrowwall import decisions
from yarrowwall.gateway.http_server import (
    STREAM_WRITE_SECONDS,
    close_after_answer,
    expect_stream_read,
)
from yarrowwall.gateway.parts import GatewayParts
from yarrowwall.model import Answer
from yarrowwall.policy.memory_budget import MemoryHold
from yarrowwall.refusals import Refusal

_TEXT = ("Content-Type", "text/plain")


class Response:
    """The answer to one request.

    :param sends_away: whether the caller had better come back through another gateway.
    :ivar attempt_id: empty until the request's head is read.
    """

    def __init__(
        self,
        parts: GatewayParts,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        sends_away: Callable[[], bool],
    ) -> None:
        self._callers = parts.callers
        self._log = parts.dispatch.decisions
        self._now = parts.dispatch.now
        self._environ = environ
        self._start_response = start_response
        self._sends_away = sends_away
        self._first_s: float | None = None
        #: When the caller was last given something to read; None while nothing waits for it.
        self._given_at: float | None = None
        self.arrived_at = self._now()
        self.attempt_id = ""

    @property
    def lasted_s(self) -> float:
        """Return the seconds since the request arrived."""
        return self._now() - self.arrived_at

    def refuse(self, refusal: Refusal) -> bytes:
        """Begin an answer of the gateway's own; return its body."""
        self._log.write(
            decisions.AttemptRefused(self.attempt_id, refusal.status, refusal.reason, self.lasted_s)
        )
        body = (refusal.reason + "\n").encode()
        headers = self._callers.refusal_headers(self.attempt_id, refusal)
        if refusal.status in (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE):
            close_after_answer(self._environ)
        self._start(refusal.status, [*headers, _TEXT, ("Content-Length", str(len(body)))])
        return body

    def pass_on(self, answer: Answer, body: bytes, server: str) -> bytes:
        """Begin a server's whole answer; return its body."""
        headers = self._callers.answer_headers(answer)
        self._start(answer.status, [*headers, ("Content-Length", str(len(body)))])
        self.note_answered(answer.status, server, 0)
        return body

    def begin_stream(self, answer: Answer) -> None:
        """Begin a server's stream, whose first event has come."""
        self._first_s = self.lasted_s
        self._start(HTTPStatus.OK, self._callers.answer_headers(answer))
        expect_stream_read(self._environ)

    def note_given(self) -> None:
        """Note that the caller is given something to read."""
        self._given_at = self._now()

    def note_answered(self, status: int, server: str, events: int) -> None:
        """Note that a server's answer was passed on whole."""
        self._log.write(
            decisions.AttemptAnswered(
                self.attempt_id, status, server, self.lasted_s, events, self._first_s
            )
        )

    def note_ended_early(self, hold: MemoryHold) -> None:
        """Note it if the answer ends since the caller took nothing of it for too long."""
        waited_s = self._now() - (self._given_at or self._now())
        if waited_s >= STREAM_WRITE_SECONDS:
            self._log.write(decisions.CallerGivenUp(self.attempt_id, waited_s, hold.size))

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._sends_away():
            close_after_answer(self._environ)
        self._start_response(f"{status} {_phrase(status)}", headers)


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        # A server may answer with a status of its own.
        return "Unknown"
