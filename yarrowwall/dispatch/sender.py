"""Sending an attempt to servers, one after another, until one answers it.

Owns the connection in use and the place taken at its server. Whether a further server is asked, and
how long one is waited for, is decided in :mod:`yarrowwall.policy.sending`.
"""

from dataclasses import dataclass
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.exceptions import (
    AnswerTimeoutError,
    ConnectError,
    MalformedAnswerError,
    RelayError,
)
from yarrowwall.model import (
    Answer,
    Attempt,
    Incarnation,
    RequestKind,
    ResponseHead,
    Route,
    Send,
    Server,
)
from yarrowwall.policy.memory_budget import RequestMemory
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.sending import SendRules
from yarrowwall.policy.server_choice import Choice, PlacementRequest
from yarrowwall.policy.servers import ServerState
from yarrowwall.policy.urgency import turn_rank
from yarrowwall.ports.quotas import Allowance
from yarrowwall.refusals import RefusedError

#: Responses to other requests that are skipped on one connection.
MAX_FOREIGN_ANSWERS = 4


@dataclass
class SendPlan:
    """What is to be sent for an attempt.

    :param service: the service that the route chose.
    :param time: how long the attempt may take.
    :param body: what servers get as the body.
    :param allowance: the credits for its sendings.
    :param hold: what is held for the caller.
    :param last_server: where the program's turn before ran; empty if unknown.
    """

    attempt: Attempt
    route: Route
    service: str
    time: RequestTime
    body: bytes
    allowance: Allowance
    hold: RequestMemory
    last_server: str = ""


@dataclass
class OpenAnswer:
    """A server's answer whose body is still to be read."""

    connection: ServerConnection
    answer: Answer
    send: Send
    sent_at: float


class AttemptSender:
    """Sends one attempt.

    :ivar rules: whether and for how long to go on.
    :ivar current: the answer that is being read.
    """

    def __init__(self, components: DispatchComponents, plan: SendPlan) -> None:
        self._components = components
        self._plan = plan
        self._attempt = plan.attempt
        self._last_incarnation: Incarnation | None = None
        self._place: ServerState | None = None
        #: Whether a server said nothing in time: kept connections may all have fallen silent.
        self._met_silence = False
        self.rules = SendRules(
            plan.route,
            plan.service,
            plan.time,
            components.directory,
            components.latencies,
            components.retries,
        )
        self.log = self.rules.history
        self.current: OpenAnswer | None = None

    @property
    def last_server(self) -> str:
        """Return the incarnation of the server that got the attempt last; empty if none did."""
        if self._last_incarnation is None or not self.log.sent:
            return self._plan.last_server
        return self._last_incarnation.text

    def left_s(self) -> float:
        """Return the seconds left."""
        return self.rules.left_s(self._components.now())

    def refused(self, reason: str) -> RefusedError:
        """Return the end of an attempt that no server answered."""
        return RefusedError(self.rules.final_refusal(reason, self._components.now()))

    # Memory

    def hold_answer_memory(self, size: int) -> None:
        """Note that bytes of the current answer are held.

        :raises MemoryExhaustedError: if they are too many.
        """
        server = self.current.send.server.incarnation_text if self.current is not None else ""
        self._plan.hold.grow(size, server)

    def release_answer_memory(self, size: int) -> None:
        """Note that bytes of the current answer were passed on and are not kept."""
        if self.current is not None:
            self._plan.hold.shrink(size, self.current.send.server.incarnation_text)

    # Sending

    def open(self, last_event_id: str | None = None) -> OpenAnswer:
        """Send the attempt until a server answers it.

        :param last_event_id: the event after which a stream goes on.
        :raises RefusedError: if no server did.
        """
        reason = "no server is known"
        while self.rules.may_send(self._components.now()):
            choice = self._choose()
            if choice is None:
                break
            try:
                opened = self._send(choice, last_event_id)
            except RefusedError as refused:
                raise self._without_credit(refused) from refused
            except RelayError as error:
                reason = str(error)
                self.note_failure(choice.server, error)
                if self.rules.is_failure_final:
                    break
                continue
            if not opened.answer.was_not_run:
                return opened
            reason = f"server answered {opened.answer.status}, not run"
            self._plan.allowance.note_not_run()
            self._turned_away(opened)
        raise self.refused(reason)

    def _without_credit(self, refused: RefusedError) -> RefusedError:
        """Return the final answer of an attempt that may not be sent (again)."""
        if self.log.may_have_run:
            # It is not for the limit to say that the request has not run.
            return self.refused(refused.refusal.reason)
        return refused

    def _choose(self) -> Choice | None:
        attempt, plan = self._attempt, self._plan
        affinity = (attempt.affinity or "") if plan.route.is_sticky else ""
        if attempt.program is not None and (attempt.prompt or not affinity):
            affinity = attempt.program.program_id
        request = PlacementRequest(attempt.prompt, affinity, plan.last_server)
        now = self._components.now()
        return self._components.chooser.choose(plan.service, self.log.tried, now, request)

    def _send(self, choice: Choice, last_event_id: str | None) -> OpenAnswer:
        server = choice.server
        self.log.tried.append(server.server_id)
        self._last_incarnation = server.incarnation
        connection = self._connect(server)
        try:
            self._plan.allowance.use_permit()
        except RefusedError:
            self._components.pool.release(server, connection)
            raise
        self.log.sent += 1
        rank = turn_rank(self._attempt, self._components.now())
        send = Send(server, self._plan.body, self.left_s(), rank, last_event_id)
        self._note_sent(choice, send)
        sent_at = self._components.now()
        if self.log.sent == 1:
            self._components.retries.deposit(self._plan.service)
        self._take_place(server)
        try:
            answer = self._exchange(connection, send)
        except BaseException:
            self._leave_place()
            connection.close()
            raise
        self.current = OpenAnswer(connection, answer, send, sent_at)
        return self.current

    def _connect(self, server: Server) -> ServerConnection:
        try:
            return self._components.pool.acquire(server, is_fresh=self._met_silence)
        except ConnectError:
            self.log.unreached += 1
            raise

    def _exchange(self, connection: ServerConnection, send: Send) -> Answer:
        may_have_run_before = self.log.may_have_run
        self.log.may_have_run = True
        connection.send(self._components.protocol.request_bytes(self._attempt, send), self.left_s())
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = self._wait_for_head(connection, send.server.incarnation)
            answer = self._components.protocol.read_answer(self._attempt, send, head)
            if answer.is_for_attempt:
                break
            connection.read_all(self.left_s())
            connection.finish_response()
        else:
            raise MalformedAnswerError("only answers to other requests")
        if answer.was_not_run:
            # It says nothing of other servers that got the request before.
            self.log.may_have_run = may_have_run_before
        elif answer.status < 300 and not answer.is_signed:
            raise MalformedAnswerError("a success without the server's signature")
        connection.keep_alive = answer.keep_alive
        return answer

    def _wait_for_head(
        self, connection: ServerConnection, incarnation: Incarnation
    ) -> ResponseHead:
        """Return the next response head, as long as the server is worth waiting for."""
        started_at = self._components.now()
        while True:
            try:
                head = connection.read_head(self.rules.next_check_s(self._components.now()))
            except AnswerTimeoutError:
                if not self.rules.should_keep_waiting(
                    incarnation, started_at, self._components.now()
                ):
                    raise
                continue
            self._components.directory.note_heard(incarnation, self._components.now())
            return head

    # What became of it

    def _note_sent(self, choice: Choice, send: Send) -> None:
        self._components.decisions.write(
            decisions.AttemptSent(
                self._attempt.attempt_id,
                send.server.server_id,
                send.server.service,
                choice.cost,
                choice.cached_tokens,
                choice.candidates,
                choice.load,
                send.priority,
                self.log.sent,
                send.last_event_id,
            )
        )

    def note_failure(self, server: Server, error: RelayError) -> None:
        """Note that a sending failed, and pass the server over unless the time was just over."""
        if not isinstance(error, AnswerTimeoutError) or self.left_s() > 0:
            self._components.directory.note_failure(server.incarnation, self._components.now())
        if isinstance(error, AnswerTimeoutError):
            self._met_silence = True
            self._components.pool.close_idle(server.incarnation)
        self._note_send_failed(server, str(error), self.log.may_have_run)

    def _note_send_failed(self, server: Server, reason: str, may_have_run: bool) -> None:
        self._components.decisions.write(
            decisions.SendFailed(self._attempt.attempt_id, server.server_id, reason, may_have_run)
        )

    def _turned_away(self, opened: OpenAnswer) -> None:
        server = opened.send.server
        self._note_send_failed(server, f"{opened.answer.status}", may_have_run=False)
        if opened.answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another server has the address: the entry is false until it changes.
            self._components.directory.note_failure(server.incarnation, self._components.now())
        else:
            self._components.directory.note_full(server.incarnation, self._components.now())
        try:
            opened.connection.read_all(self.left_s())
        except RelayError:
            # The answer is known; its connection just can't be used again.
            self.cancel_answer()
            return
        self.finish_answer()

    def finish_answer(self) -> None:
        """Leave the current answer, which was read to its end."""
        if self.current is None:
            return
        opened, self.current = self.current, None
        self._leave_place()
        opened.connection.finish_response()
        self._components.pool.release(opened.send.server, opened.connection)

    def cancel_answer(self) -> None:
        """Cancel the current answer at its server."""
        if self.current is None:
            return
        opened, self.current = self.current, None
        self._leave_place()
        opened.connection.close()

    # The place at the server

    def _take_place(self, server: Server) -> None:
        self._place = self._components.directory.note_started(server.incarnation)
        self._tell_loads()

    def _leave_place(self) -> None:
        if self._place is not None:
            self._place.running -= 1
            self._place = None
        self._tell_loads()

    def _tell_loads(self) -> None:
        """Let other gateways know at once of a turn, which holds a place for long."""
        if self._plan.route.kind is RequestKind.STREAM:
            self._components.loads.report_loads()
