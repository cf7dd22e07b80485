"""Sends an attempt to servers, one after another, until one answers it.

Owns the connection in use and the slot taken at its server. Whether to try another server and how
long to wait for an answer is decided in :mod:`yarrowwall.policy.sending`.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.dispatch.answer_bounds import (
    DRAIN_SECONDS,
    MAX_DRAINED_BYTES,
    MAX_SKIPPED_BYTES,
    UNFINISHED_SECONDS,
    AnswerBound,
    AnswerBoundError,
    AnswerUnfinishedError,
)
from yarrowwall.dispatch.components import DispatchComponents
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.dispatch.send_outcomes import SendOutcomes
from yarrowwall.exceptions import (
    AnswerTimeoutError,
    ConnectError,
    MalformedAnswerError,
    RelayError,
    StoreUncertainError,
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
from yarrowwall.policy.memory_budget import (
    MemoryExhaustedError,
    RequestMemory,
    RequestTooLargeError,
)
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.sending import SendRules
from yarrowwall.policy.server_choice import Choice, PlacementRequest, placement_affinity
from yarrowwall.policy.servers import ServerState
from yarrowwall.policy.urgency import turn_rank
from yarrowwall.ports.quotas import Allowance
from yarrowwall.refusals import RefusedError

#: Maximum number of responses to other requests that are skipped on a connection.
MAX_FOREIGN_ANSWERS = 4


@dataclass
class SendPlan:
    """What to send for an attempt, and within which limits.

    :param service: name of the service to send to.
    :param time: time limit of the attempt.
    :param body: request body for the servers.
    :param allowance: permits of the tenant's rate limit; each send uses one.
    :param request_memory: counts the bytes that are buffered for the request.
    :param last_server: incarnation that ran the program's previous turn; empty if unknown.
    :param software: the only software that may run it, if it continues a stream; None for any.
    :param expected_software: software that it is recorded to run at; empty for none.
    :param record_software: records the software that will run it before it is sent there; raises
        StoreUncertainError if it cannot.
    :param open_tries: returns the ids of the request's other attempts that may still run.
    """

    attempt: Attempt
    route: Route
    service: str
    time: RequestTime
    body: bytes
    allowance: Allowance
    request_memory: RequestMemory
    last_server: str = ""
    software: str | None = None
    expected_software: str = ""
    record_software: Callable[[str], None] = lambda software: None
    open_tries: Callable[[], Collection[str]] = tuple


@dataclass
class OpenAnswer:
    """A server's answer whose body is still to be read."""

    connection: ServerConnection
    answer: Answer
    send: Send
    sent_at: float


class AttemptSender:
    """Sends one attempt.

    :ivar rules: decides whether to send again and how long to wait.
    :ivar current: the answer that is being read; None between answers.
    """

    def __init__(self, components: DispatchComponents, plan: SendPlan) -> None:
        self._components = components
        self._plan = plan
        self._attempt = plan.attempt
        self._last_incarnation: Incarnation | None = None
        self._occupied_server: ServerState | None = None
        #: Whether a server timed out; then every kept connection may be dead.
        self._saw_timeout = False
        self._outcomes = SendOutcomes(
            plan.attempt,
            components.directory,
            components.server_ends,
            components.suspects,
            plan.open_tries,
            components.now,
        )
        self.rules = SendRules(
            plan.route,
            plan.service,
            plan.time,
            components.directory,
            components.latencies,
            components.retries,
            plan.software,
        )
        self.history = self.rules.history
        self.current: OpenAnswer | None = None

    @property
    def last_server(self) -> str:
        """Return the incarnation that got the attempt last, or the previous turn if none did."""
        if self._last_incarnation is None or not self.history.sent:
            return self._plan.last_server
        return self._last_incarnation.text

    def left_s(self) -> float:
        """Return the seconds left for the attempt."""
        return self.rules.left_s(self._components.now())

    def refused(self, reason: str) -> RefusedError:
        """Return the final refusal of an attempt that no server answered."""
        return RefusedError(self.rules.final_refusal(reason, self._components.now()))

    # Memory

    def hold_answer_memory(self, size: int) -> None:
        """Count bytes of the current answer in the memory budget.

        :raises MemoryExhaustedError: if the memory budget is used up.
        """
        server = self.current.send.server.incarnation_text if self.current is not None else ""
        self._plan.request_memory.grow(size, server)

    def release_answer_memory(self, size: int) -> None:
        """Note that bytes of the current answer were relayed and are not kept."""
        if self.current is not None:
            self._plan.request_memory.shrink(size, self.current.send.server.incarnation_text)

    # Sending

    def open(self, last_event_id: str | None = None) -> OpenAnswer:
        """Send the attempt until a server answers it.

        :param last_event_id: the event after which a stream resumes.
        :raises RefusedError: if no server answered.
        """
        reason = "no server is known"
        while self.rules.may_send(self._components.now()):
            choice = self._choose()
            if choice is None:
                break
            choice = self._reserve_send(choice)
            self._record_software(choice.server)
            try:
                opened = self._send(choice, last_event_id)
            except RefusedError as refused:
                raise self._unsent_refusal(refused) from refused
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
            self._handle_not_run(opened)
        raise self.refused(reason)

    def _reserve_send(self, choice: Choice) -> Choice:
        """Reserve a send if servers ended under the request; return the server to send it to.

        :raises RefusedError: if the request may be sent to no server.
        """
        try:
            return self._outcomes.reserve(choice, self._choose, self.left_s())
        except RefusedError as refused:
            raise self._unsent_refusal(refused) from refused

    def close(self) -> None:
        """Cancel what is left of the attempt."""
        self.cancel_answer()
        self._outcomes.close()

    def _unsent_refusal(self, refused: RefusedError) -> RefusedError:
        """Return the final refusal of an attempt that may not be sent (once more)."""
        if self.history.may_have_run:
            # The refusal of the send would claim that the request has not run.
            return self.refused(refused.refusal.reason)
        return refused

    def _record_software(self, server: Server) -> None:
        """Record the software that will run the attempt.

        :raises RefusedError: if it cannot be recorded.
        """
        try:
            self._plan.record_software(server.software_id)
        except StoreUncertainError as error:
            raise self.refused(str(error)) from error

    def pin_software(self) -> None:
        """Let only the software of the current answer continue the attempt."""
        if self.current is not None:
            self.rules.software = self.current.send.server.software_id

    def allow_again(self, server: Server) -> None:
        """Let a server that was tried be chosen again."""
        if server.server_id in self.history.tried:
            self.history.tried.remove(server.server_id)

    def _choose(self, excluded: Collection[str] = ()) -> Choice | None:
        """Return the server to send to; None without any.

        :param excluded: incarnations, as text, that are not chosen.
        """
        attempt, plan = self._attempt, self._plan
        request = PlacementRequest(
            attempt.prompt,
            placement_affinity(attempt, plan.route),
            plan.last_server,
            plan.expected_software,
            self.rules.software,
        )
        now = self._components.now()
        excluded_ids = [text.partition(" ")[0] for text in excluded]
        tried = [*self.history.tried, *excluded_ids] if excluded else self.history.tried
        return self._components.chooser.choose(plan.service, tried, now, request)

    def _send(self, choice: Choice, last_event_id: str | None) -> OpenAnswer:
        server = choice.server
        self.history.tried.append(server.server_id)
        self._last_incarnation = server.incarnation
        connection = self._connect(server)
        try:
            self._plan.allowance.use_permit()
        except RefusedError:
            self._components.pool.release(server, connection)
            raise
        self.history.sent += 1
        rank = turn_rank(self._attempt, self._components.now())
        send = Send(server, self._plan.body, self.left_s(), rank, last_event_id)
        self._log_sent(choice, send)
        sent_at = self._components.now()
        if self.history.sent == 1:
            self._components.retries.deposit(self._plan.service)
        self._take_slot(server)
        try:
            answer = self._exchange(connection, send)
        except BaseException:
            self._free_slot()
            connection.close()
            raise
        self.current = OpenAnswer(connection, answer, send, sent_at)
        return self.current

    def _connect(self, server: Server) -> ServerConnection:
        try:
            return self._components.pool.acquire(server, must_be_new=self._saw_timeout)
        except ConnectError:
            self.history.unreached += 1
            raise

    def _exchange(self, connection: ServerConnection, send: Send) -> Answer:
        may_have_run_before = self.history.may_have_run
        self.history.may_have_run = True
        self._outcomes.note_sent(send.server)
        connection.send(self._components.protocol.request_bytes(self._attempt, send), self.left_s())
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = self._wait_for_head(connection, send.server.incarnation)
            answer = self._components.protocol.read_answer(self._attempt, send, head)
            if answer.is_for_attempt:
                break
            connection.skip_body(self.left_s(), MAX_SKIPPED_BYTES)
            connection.finish_response()
        else:
            raise MalformedAnswerError("only answers to other requests")
        if answer.was_not_run:
            # This says nothing about servers that got the request earlier.
            self.history.may_have_run = may_have_run_before
        elif answer.status < 300 and not answer.is_signed:
            raise MalformedAnswerError("a success without the server's signature")
        connection.keep_alive = answer.keep_alive
        return answer

    def _wait_for_head(
        self, connection: ServerConnection, incarnation: Incarnation
    ) -> ResponseHead:
        """Return the next response head, waiting for it as long as the rules allow."""
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

    # Outcomes

    def _log_sent(self, choice: Choice, send: Send) -> None:
        self._components.decisions.write(
            decisions.AttemptSent(
                self._attempt.attempt_id,
                send.server.server_id,
                send.server.service,
                send.server.version,
                choice.cost,
                choice.cached_tokens,
                choice.candidates,
                choice.load,
                send.priority,
                self.history.sent,
                send.last_event_id,
            )
        )

    def note_failure(self, server: Server, error: RelayError) -> None:
        """Log a failed send, and note the server's failure unless the attempt's time was over."""
        self._log_bound(server, error)
        has_time = not isinstance(error, AnswerTimeoutError) or self.left_s() > 0
        if has_time or self._is_endless(error):
            self._components.directory.note_failure(server.incarnation, self._components.now())
        if isinstance(error, AnswerTimeoutError):
            self._saw_timeout = True
            self._components.pool.close_idle(server.incarnation)
        has_ended = self._outcomes.note_failed(server, error)
        self._log_send_failed(server, str(error), self.history.may_have_run, has_ended)

    def _log_send_failed(
        self, server: Server, reason: str, may_have_run: bool, has_ended: bool = False
    ) -> None:
        self._components.decisions.write(
            decisions.SendFailed(
                self._attempt.attempt_id, server.server_id, reason, may_have_run, has_ended
            )
        )

    def _is_endless(self, error: RelayError) -> bool:
        """Return whether an answer went on for so long that its server counts as failed.

        A stream may take as long as its caller waits.
        """
        if self._plan.route.kind is RequestKind.STREAM:
            return False
        return isinstance(error, AnswerUnfinishedError) and error.seconds >= UNFINISHED_SECONDS

    def cancel_oversized(self, error: MemoryExhaustedError) -> None:
        """Cancel the current answer for its size.

        One that is too large by itself counts as a failure of its server.
        """
        if self.current is None:
            return
        server = self.current.send.server
        is_too_large = isinstance(error, RequestTooLargeError)
        if is_too_large:
            self._components.directory.note_failure(server.incarnation, self._components.now())
        received = self.current.connection.received_bytes
        self._log_given_up(server, AnswerBound.MEMORY, received, self._plan.request_memory.size)
        self._log_send_failed(server, str(error), self.history.may_have_run)
        self.cancel_answer()

    def _log_bound(self, server: Server, error: RelayError) -> None:
        """Log that an answer was given up at a bound of its bytes or its time."""
        if isinstance(error, AnswerBoundError):
            bound, received, limit = error.bound, error.received, error.limit
        elif isinstance(error, AnswerUnfinishedError):
            bound, received, limit = AnswerBound.TIME, error.received, 0
        else:
            return
        self._log_given_up(server, bound, received, limit)

    def _log_given_up(self, server: Server, bound: AnswerBound, received: int, limit: int) -> None:
        self._components.decisions.write(
            decisions.AnswerGivenUp(
                self._attempt.attempt_id, server.server_id, bound.value, received, limit
            )
        )

    def _handle_not_run(self, opened: OpenAnswer) -> None:
        server = opened.send.server
        self._log_send_failed(server, f"{opened.answer.status}", may_have_run=False)
        if opened.answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another server has the address now, so the entry is wrong until it changes.
            self._components.directory.note_failure(server.incarnation, self._components.now())
        else:
            self._components.directory.note_full(server.incarnation, self._components.now())
        try:
            opened.connection.skip_body(min(self.left_s(), DRAIN_SECONDS), MAX_DRAINED_BYTES)
        except RelayError as error:
            # The answer is known; only the connection can't be reused.
            self._log_bound(server, error)
            self._outcomes.note_answered()
            self.cancel_answer()
            return
        self.finish_answer()

    def finish_answer(self) -> None:
        """Finish the current answer, which was read to its end; free its slot and connection."""
        if self.current is None:
            return
        opened, self.current = self.current, None
        self._outcomes.note_answered()
        self._free_slot()
        opened.connection.finish_response()
        self._components.pool.release(opened.send.server, opened.connection)

    def cancel_answer(self) -> None:
        """Cancel the current answer by closing its connection."""
        if self.current is None:
            return
        opened, self.current = self.current, None
        self._free_slot()
        opened.connection.close()

    # The slot at the server

    def _take_slot(self, server: Server) -> None:
        self._occupied_server = self._components.directory.note_started(server.incarnation)
        self._report_loads()

    def _free_slot(self) -> None:
        if self._occupied_server is not None:
            self._occupied_server.running -= 1
            self._occupied_server = None
        self._report_loads()

    def _report_loads(self) -> None:
        """Report loads to other gateways at once for a turn, which occupies its slot for long."""
        if self._plan.route.kind is RequestKind.STREAM:
            self._components.loads.report_loads()
