"""The response to one request: its head, and the log lines about its outcome."""

from collections.abc import Callable
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.gateway.caller_connection import CallerRequest
from yarrowwall.gateway.components import GatewayComponents
from yarrowwall.gateway.connection_ends import ConnectionEnd, ConnectionEndReason
from yarrowwall.model import Answer
from yarrowwall.refusals import Refusal

_PLAIN_TEXT = ("Content-Type", "text/plain")


class Response:
    """The response to one request.

    :param should_close: returns whether to close the connection after the response, so that
        the caller reconnects to another gateway.
    :ivar attempt_id: empty until the request's head is read.
    :ivar sent_id: the attempt's id as the caller sent it.
    :ivar is_complete: whether the whole response was handed to the HTTP server.
    :ivar is_end_logged: whether a log line says why the response is incomplete.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request: CallerRequest,
        should_close: Callable[[], bool],
    ) -> None:
        self._callers = components.callers
        self._log = components.dispatch.decisions
        self._now = components.dispatch.now
        self._request = request
        self._should_close = should_close
        self._first_event_s: float | None = None
        self._has_started = False
        self._events = 0
        self.arrived_at = self._now()
        #: When data was last handed over to be written.
        self._last_output_at = self.arrived_at
        self.attempt_id = ""
        self.sent_id = ""
        self.is_complete = False
        self.is_end_logged = False

    @property
    def has_started(self) -> bool:
        """Return whether the response's head was made."""
        return self._has_started

    @property
    def elapsed_s(self) -> float:
        """Return the seconds since the request arrived."""
        return self._now() - self.arrived_at

    def refuse(self, refusal: Refusal) -> bytes:
        """Start a response made by the gateway; return its body."""
        self._log.write(
            decisions.AttemptRefused(
                self.attempt_id, refusal.status, refusal.reason, self.elapsed_s
            )
        )
        body = (refusal.reason + "\n").encode()
        headers = self._callers.refusal_headers(self.sent_id, refusal)
        if refusal.status in (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE):
            self._request.close_after_answer()
        self._start(refusal.status, [*headers, _PLAIN_TEXT, ("Content-Length", str(len(body)))])
        return body

    def start_buffered(self, answer: Answer, body: bytes, server: str) -> bytes:
        """Start a response with a server's buffered answer; return its body."""
        headers = self._callers.answer_headers(answer)
        self._start(answer.status, [*headers, ("Content-Length", str(len(body)))])
        self.note_answered(answer.status, server, 0)
        return body

    def start_stream(self, answer: Answer) -> None:
        """Start a streamed response; called once its first event or its end has arrived."""
        self._first_event_s = self.elapsed_s
        self._start(HTTPStatus.OK, self._callers.answer_headers(answer))
        self._request.set_stream_write_timeout()

    def note_output(self, events: int) -> None:
        """Note that events are handed over to be written."""
        self._last_output_at = self._now()
        self._events += events

    def note_answered(self, status: int, server: str, events: int) -> None:
        """Log that a server's complete answer was relayed."""
        self._log.write(
            decisions.AttemptAnswered(
                self.attempt_id, status, server, self.elapsed_s, events, self._first_event_s
            )
        )

    def note_ended(self, buffered_bytes: int) -> None:
        """Log why the response is incomplete, unless it is complete or that was logged.

        :param held: bytes that were buffered for the request.
        """
        connection_end = self._connection_end()
        if connection_end is None or self.is_end_logged:
            return
        self.is_end_logged = True
        if connection_end.reason is ConnectionEndReason.NOT_TAKEN:
            waited_s = self._now() - self._last_output_at
            self._log.write(decisions.CallerGivenUp(self.attempt_id, waited_s, buffered_bytes))
        else:
            self._log_connection_ended(connection_end)

    def note_process_ended(self, detail: str) -> None:
        """Log that the response ends because the process does.

        :param detail: the time that the request had left.
        """
        self.is_end_logged = True
        self._log_connection_ended(ConnectionEnd(ConnectionEndReason.PROCESS_ENDED, detail))

    def _log_connection_ended(self, connection_end: ConnectionEnd) -> None:
        self._log.write(
            decisions.ConnectionEnded(
                self.attempt_id,
                connection_end.reason,
                self.elapsed_s,
                self._events,
                connection_end.detail,
            )
        )

    def _connection_end(self) -> ConnectionEnd | None:
        """Return why the response is incomplete; None if it is complete."""
        if self._request.failure is not None:
            return self._request.failure
        if not self._has_started:
            return ConnectionEnd(ConnectionEndReason.NOT_BEGUN)
        return None if self.is_complete else ConnectionEnd(ConnectionEndReason.UNKNOWN)

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._should_close():
            self._request.close_after_answer()
        self._has_started = True
        self._last_output_at = self._now()
        self._request.start_response(status, headers)
