"""Offering an attempt to servers: which one, how often, and what a failure proves.

An attempt that may not be repeated is sent again only if the server vouches that it
did not run, or if no byte of it was sent.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.dispatch.pool import ConnectionPool
from yarrowwall.exceptions import AnswerTimeoutError, ConnectError, MalformedAnswerError, RelayError
from yarrowwall.model import (
    Answer,
    Attempt,
    RequestKind,
    ResponseHead,
    Route,
    Send,
    SendLog,
    Server,
    ServerLife,
)
from yarrowwall.policy.latency import LatencyEstimator, RetryBudget
from yarrowwall.policy.memory_budget import (
    DEFAULT_MEMORY_MB,
    MemoryBounds,
    MemoryBudget,
    MemoryHold,
)
from yarrowwall.policy.program_sizes import ProgramSizes
from yarrowwall.policy.servers import Choice, ServerDirectory, ServerState, Wish
from yarrowwall.policy.urgency import turn_rank
from yarrowwall.ports.loads import LoadSource, NoLoads
from yarrowwall.ports.platform import ServerProtocol
from yarrowwall.ports.quotas import Allowance, NoQuotas, QuotaSource
from yarrowwall.ports.rooms import AlwaysRoom, RoomSource
from yarrowwall.refusals import Refusal, RefusedError

#: Seconds after which a caller that was refused for want of room should come back.
RETRY_AFTER_SECONDS = 0.15
#: Seconds left below which a request is not sent to another server.
LEAST_REMAINING_SECONDS = 0.02
#: Responses to other requests that are skipped on one connection.
MOST_FOREIGN_ANSWERS = 4
#: As long as too few answers of a route were seen, and for streams: seconds of silence of a
#: server, on all connections, after which a request that may be repeated goes on elsewhere.
#: A server that is heard of merely lets the request wait.
SILENCE_SECONDS = 0.8
#: Seconds of waiting after which it goes on elsewhere in any case. Giving up a place in a
#: queue costs more than most waits, so this is long.
LONGEST_SILENCE_SECONDS = 1.8
#: Servers that may turn an attempt away unreached before it is refused.
MOST_UNREACHED = 3

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclass
class RelayParts:
    """What every relay of a gateway shares."""

    directory: ServerDirectory
    pool: ConnectionPool
    protocol: ServerProtocol
    decisions: DecisionLog
    now: Callable[[], float]
    loads: LoadSource = field(default_factory=NoLoads)
    quotas: QuotaSource = field(default_factory=NoQuotas)
    rooms: RoomSource = field(default_factory=AlwaysRoom)
    latencies: LatencyEstimator = field(default_factory=LatencyEstimator)
    retries: RetryBudget = field(default_factory=RetryBudget)
    program_sizes: ProgramSizes = field(default_factory=ProgramSizes)
    memory: MemoryBudget = field(
        default_factory=lambda: MemoryBudget(MemoryBounds.of_machine(DEFAULT_MEMORY_MB))
    )


@dataclass
class OpenAnswer:
    """A server's answer whose body is still to be read."""

    connection: ServerConnection
    answer: Answer
    send: Send
    sent_at: float


class Offer:
    """The sendings of one attempt.

    :param service: the service that the route chose.
    :param end: when the attempt's time is over, by its caller or its route.
    :param body: what servers get as the body.
    :param allowance: the credits for its sendings.
    :param last_server: where the program's turn before ran; empty if unknown.
    :param hold: what is held for the caller.
    """

    def __init__(
        self,
        parts: RelayParts,
        attempt: Attempt,
        route: Route,
        service: str,
        end: float,
        body: bytes,
        allowance: Allowance,
        last_server: str = "",
        hold: MemoryHold | None = None,
    ) -> None:
        self._parts = parts
        self._attempt = attempt
        self._route = route
        self._service = service
        self._end = end
        self._body = body
        self._allowance = allowance
        self._last_server = last_server
        self._hold = hold if hold is not None else parts.memory.open()
        self._last_life: ServerLife | None = None
        self._place: ServerState | None = None
        self._unreached = 0
        #: Whether a server said nothing in time: kept connections may all have fallen silent.
        self._met_silence = False
        self.log = SendLog()
        self.current: OpenAnswer | None = None

    @property
    def last_server(self) -> str:
        """Return the life of the server that got the attempt last; empty if none did."""
        if self._last_life is None or not self.log.offered:
            return self._last_server
        return self._last_life.text

    def hold_answer(self, size: int) -> None:
        """Note that bytes of the current answer are held.

        :raises MemoryExhaustedError: if they are too many.
        """
        server = self.current.send.server.life_text if self.current is not None else ""
        self._hold.grow(size, server)

    def release_answer(self, size: int) -> None:
        """Note that bytes of the current answer were passed on and are not kept."""
        if self.current is not None:
            self._hold.shrink(size, self.current.send.server.life_text)

    def remaining(self) -> float:
        """Return the seconds left."""
        return self._end - self._parts.now()

    def can_go_on(self) -> bool:
        """Return whether one more server may get the attempt."""
        has_tries = self.log.offered < self._route.attempts and self._unreached < MOST_UNREACHED
        return has_tries and self.remaining() > LEAST_REMAINING_SECONDS

    def open(self, last_event_id: str | None = None) -> OpenAnswer:
        """Send the attempt until a server answers it.

        :param last_event_id: the event after which a stream goes on.
        :raises RefusedError: if no server did.
        """
        reason = "no server is known"
        while self.can_go_on():
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
                if self.log.may_have_run and not self._route.is_repeatable:
                    break
                continue
            if not opened.answer.was_not_run:
                return opened
            reason = f"server answered {opened.answer.status}, not run"
            self._allowance.not_run()
            self._turned_away(opened)
        raise RefusedError(self.failure(reason))

    def _without_credit(self, refused: RefusedError) -> RefusedError:
        """Return the final answer of an attempt that may not be sent (again)."""
        if self.log.may_have_run:
            # It is not for the limit to say that the request has not run.
            return RefusedError(self.failure(refused.refusal.reason))
        return refused

    def _choose(self) -> Choice | None:
        attempt = self._attempt
        affinity = (attempt.affinity or "") if self._route.is_sticky else ""
        if attempt.program is not None and (attempt.prompt or not affinity):
            affinity = attempt.program.program_id
        wish = Wish(attempt.prompt, affinity, self._last_server)
        return self._parts.directory.choose(self._service, self.log.tried, self._parts.now(), wish)

    def _send(self, choice: Choice, last_event_id: str | None) -> OpenAnswer:
        server = choice.server
        self.log.tried.append(server.server_id)
        self._last_life = server.life
        connection = self._connect(server)
        try:
            self._allowance.spend()
        except RefusedError:
            self._parts.pool.give_back(server, connection)
            raise
        self.log.offered += 1
        remaining = self.remaining()
        rank = turn_rank(self._attempt, self._parts.now())
        send = Send(server, self._body, remaining, rank, last_event_id)
        self._parts.decisions.write(
            decisions.AttemptSent(
                self._attempt.attempt_id,
                server.server_id,
                server.service,
                choice.cost,
                choice.cached_tokens,
                choice.candidates,
                choice.load,
                rank,
                self.log.offered,
                last_event_id,
            )
        )
        sent_at = self._parts.now()
        if self.log.offered == 1:
            self._parts.retries.earn(self._service)
        self._note_started(server)
        try:
            answer = self._exchange(connection, send)
        except BaseException:
            self._note_ended()
            connection.close()
            raise
        self.current = OpenAnswer(connection, answer, send, sent_at)
        return self.current

    def _connect(self, server: Server) -> ServerConnection:
        try:
            return self._parts.pool.take(server, is_fresh=self._met_silence)
        except ConnectError:
            self._unreached += 1
            raise

    def _exchange(self, connection: ServerConnection, send: Send) -> Answer:
        may_have_run_before = self.log.may_have_run
        self.log.may_have_run = True
        connection.send(self._parts.protocol.request_bytes(self._attempt, send), self.remaining())
        for _ in range(MOST_FOREIGN_ANSWERS):
            head = self._wait_for_head(connection, send.server.life)
            answer = self._parts.protocol.read_answer(self._attempt, send, head)
            if answer.belongs:
                break
            connection.read_all(self.remaining())
            connection.finish()
        else:
            raise MalformedAnswerError("only answers to other requests")
        if answer.was_not_run:
            # It says nothing of other servers that got the request before.
            self.log.may_have_run = may_have_run_before
        elif answer.status < 300 and not answer.is_sealed:
            raise MalformedAnswerError("a success without the server's signature")
        connection.keep_alive = answer.keep_alive
        return answer

    def _wait_for_head(self, connection: ServerConnection, life: ServerLife) -> ResponseHead:
        """Return the next response head, as long as the server is worth waiting for."""
        started_at = self._parts.now()
        while True:
            try:
                head = connection.read_head(self.patience())
            except AnswerTimeoutError:
                if not self.is_worth_waiting(life, started_at):
                    raise
                continue
            self._parts.directory.note_heard(life, self._parts.now())
            return head

    def patience(self) -> float:
        """Return the seconds to wait before another look at the server."""
        if not self._may_repeat:
            return self.remaining()
        return min(self.remaining(), self._usual_limit_s() or SILENCE_SECONDS)

    def _usual_limit_s(self) -> float | None:
        """Return the seconds after which a whole answer is late; None if not known."""
        if self._route.kind is not RequestKind.IDEMPOTENT:
            return None
        return self._parts.latencies.limit_s(self._route.name)

    @property
    def _may_repeat(self) -> bool:
        return self._route.is_repeatable and self.can_go_on()

    def is_worth_waiting(self, life: ServerLife, since: float) -> bool:
        """Return whether to go on waiting for a server that was silent for a while.

        :param since: when the wait began.
        """
        if not self._may_repeat:
            return self.remaining() > 0
        now = self._parts.now()
        limit_s = self._usual_limit_s()
        if limit_s is None:
            is_heard = now - self._parts.directory.last_heard(life) < SILENCE_SECONDS
            is_late = not is_heard or now - since >= LONGEST_SILENCE_SECONDS
        else:
            is_late = now - since >= limit_s
        if not is_late:
            return True
        if not self._has_other_server(now):
            return self.remaining() > 0
        return limit_s is not None and not self._parts.retries.take(self._service)

    def _has_other_server(self, now: float) -> bool:
        """Return whether a server that did not get the attempt yet could take it.

        Without one, giving up an answer that is late ends the request with 502 after 0.1 s, with
        seconds left in which the only server might still answer.
        """
        directory = self._parts.directory
        return bool(directory.candidates(self._service, self.log.tried, now))

    def note_failure(self, server: Server, error: RelayError) -> None:
        """Note that a sending failed, and pass the server over unless the time was just over."""
        if not isinstance(error, AnswerTimeoutError) or self.remaining() > 0:
            self._parts.directory.note_failure(server.life, self._parts.now())
        if isinstance(error, AnswerTimeoutError):
            self._met_silence = True
            self._parts.pool.forget(server.life)
        self._parts.decisions.write(
            decisions.SendFailed(
                self._attempt.attempt_id, server.server_id, str(error), self.log.may_have_run
            )
        )

    def _turned_away(self, opened: OpenAnswer) -> None:
        server = opened.send.server
        self._parts.decisions.write(
            decisions.SendFailed(
                self._attempt.attempt_id, server.server_id, f"{opened.answer.status}", False
            )
        )
        if opened.answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another server has the address: the entry is false until it changes.
            self._parts.directory.note_failure(server.life, self._parts.now())
        else:
            self._parts.directory.note_full(server.life, self._parts.now())
        try:
            opened.connection.read_all(self.remaining())
        except RelayError:
            self.abandon()
            return
        self.release()

    def failure(self, reason: str) -> Refusal:
        """Return the final answer of an attempt that no server answered."""
        if not self.log.may_have_run:
            return Refusal(_UNAVAILABLE, reason, RETRY_AFTER_SECONDS)
        if self.remaining() <= LEAST_REMAINING_SECONDS:
            return Refusal(_GATEWAY_TIMEOUT, reason)
        return Refusal(_BAD_GATEWAY, reason)

    def release(self) -> None:
        """Leave the current answer, which was read to its end."""
        if self.current is None:
            return
        opened, self.current = self.current, None
        self._note_ended()
        opened.connection.finish()
        self._parts.pool.give_back(opened.send.server, opened.connection)

    def abandon(self) -> None:
        """Cancel the current answer at its server."""
        if self.current is None:
            return
        opened, self.current = self.current, None
        self._note_ended()
        opened.connection.close()

    def _note_started(self, server: Server) -> None:
        self._place = self._parts.directory.started(server.life)
        self._tell_loads()

    def _note_ended(self) -> None:
        if self._place is not None:
            self._place.running -= 1
            self._place = None
        self._tell_loads()

    def _tell_loads(self) -> None:
        """Let other gateways know at once of a turn, which holds a place for long."""
        if self._route.kind is RequestKind.STREAM:
            self._parts.loads.tell()
