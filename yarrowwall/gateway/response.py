"""The answer to one request: its head, and what is logged of it."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from yarrowwall import decisions
from yarrowwall.gateway.components import GatewayComponents
from yarrowwall.gateway.endings import Ending, EndReason
from yarrowwall.gateway.http_server import (
    close_after_answer,
    expect_stream_read,
    write_failure,
)
from yarrowwall.model import Answer
from yarrowwall.refusals import Refusal

_TEXT = ("Content-Type", "text/plain")


class Response:
    """The answer to one request.

    :param sends_away: whether the caller had better come back through another gateway.
    :ivar attempt_id: empty until the request's head is read.
    :ivar is_complete: whether all of the answer was handed over to be written.
    :ivar is_end_told: whether a line tells why the answer has no end.
    """

    def __init__(
        self,
        components: GatewayComponents,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        sends_away: Callable[[], bool],
    ) -> None:
        self._callers = components.callers
        self._log = components.dispatch.decisions
        self._now = components.dispatch.now
        self._environ = environ
        self._start_response = start_response
        self._sends_away = sends_away
        self._first_s: float | None = None
        self._has_begun = False
        self._events = 0
        self.arrived_at = self._now()
        #: When the caller was last given something to read.
        self._given_at = self.arrived_at
        self.attempt_id = ""
        self.is_complete = False
        self.is_end_told = False

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

    def note_given(self, events: int) -> None:
        """Note that the caller is given events to read."""
        self._given_at = self._now()
        self._events += events

    def note_answered(self, status: int, server: str, events: int) -> None:
        """Note that a server's answer was passed on whole."""
        self._log.write(
            decisions.AttemptAnswered(
                self.attempt_id, status, server, self.lasted_s, events, self._first_s
            )
        )

    def note_ended(self, held: int) -> None:
        """Log why the answer was not written to its end, unless it was or a line tells it.

        :param held: bytes that were held for the caller.
        """
        ending = self._ending()
        if ending is None or self.is_end_told:
            return
        self.is_end_told = True
        if ending.reason is EndReason.NOT_TAKEN:
            waited_s = self._now() - self._given_at
            self._log.write(decisions.CallerGivenUp(self.attempt_id, waited_s, held))
        else:
            self._note_connection_ended(ending)

    def note_process_ended(self) -> None:
        """Log that the end of the process ends the answer."""
        self.is_end_told = True
        self._note_connection_ended(Ending(EndReason.PROCESS_ENDED))

    def _note_connection_ended(self, ending: Ending) -> None:
        self._log.write(
            decisions.ConnectionEnded(
                self.attempt_id, ending.reason, self.lasted_s, self._events, ending.detail
            )
        )

    def _ending(self) -> Ending | None:
        """Return why the answer was not written to its end; None if it was."""
        failure = write_failure(self._environ)
        if failure is not None:
            return failure
        if not self._has_begun:
            return Ending(EndReason.NOT_BEGUN)
        return None if self.is_complete else Ending(EndReason.UNKNOWN)

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._sends_away():
            close_after_answer(self._environ)
        self._has_begun = True
        self._given_at = self._now()
        self._start_response(f"{status} {_phrase(status)}", headers)


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        # A server may answer with a status of its own.
        return "Unknown"
