"""The WSGI application that answers callers."""

import traceback
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from http import HTTPStatus
from typing import Any

from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.dispatch.offer import RETRY_AFTER_SECONDS, Offer, RelayParts
from yarrowwall.dispatch.streams import StreamBrokenError, StreamRelay
from yarrowwall.dispatch.whole import relay_whole
from yarrowwall.exceptions import (
    BudgetExhaustedError,
    CallerGoneError,
    InvalidAttemptError,
    StoreUncertainError,
    TurnUnknownError,
)
from yarrowwall.gateway.admission import Admission
from yarrowwall.gateway.bodies import BodyLateError, RequestBody
from yarrowwall.gateway.caller_watch import CallerWatch
from yarrowwall.gateway.http_server import (
    STREAM_WRITE_SECONDS,
    ServerLimits,
    close_after_answer,
    expect_stream_read,
)
from yarrowwall.gateway.keys import key_changes
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.model import Answer, Attempt, Configuration, RequestKind, Route, Service
from yarrowwall.policy.freshness import Freshness
from yarrowwall.policy.memory_budget import MemoryExhaustedError
from yarrowwall.policy.retry_after import return_after_s
from yarrowwall.ports.platform import CallerProtocol
from yarrowwall.ports.programs import ProgramLedger, TurnGrant
from yarrowwall.ports.quotas import Allowance
from yarrowwall.ports.rooms import NewProgram
from yarrowwall.refusals import Refusal, RefusedError

Environ = dict[str, Any]
StartResponse = Callable[..., Any]

_BAD_REQUEST = 400
_BUDGET_SPENT = 402
_NOT_FOUND = 404
_TOO_LARGE = 413
_UNAVAILABLE = 503
#: Seconds after a stop was asked for in which every request is taken: clients still come.
STOP_WELCOME_SECONDS = 3.0
#: Seconds from a process's start in which a request waits for the first reading of the
#: platform's store. The reading takes 0.02 s if the store answers at once; beyond this the
#: store is slow or away, and callers are better told to come back.
START_HOLD_SECONDS = 0.4
_TEXT = ("Content-Type", "text/plain")


class AnswerCutError(Exception):
    """Raised through the WSGI server so that it closes the connection without an end."""


class Gateway:
    """Answers callers' attempts from the servers.

    :param programs: budgets and turns of programs.
    :param freshness: the age of the configuration in force.
    """

    def __init__(
        self,
        parts: RelayParts,
        callers: CallerProtocol,
        programs: ProgramLedger,
        limits: ServerLimits,
        freshness: Freshness,
    ) -> None:
        self._parts = parts
        self._callers = callers
        self._programs = programs
        self._limits = limits
        self._freshness = freshness
        self.admission = Admission(freshness, parts.now)
        self.running = 0
        self._stops_at: float | None = None
        self._refuses_from = 0.0
        self._holds_until = parts.now() + START_HOLD_SECONDS
        self._informed = Event()

    def note_informed(self) -> None:
        """Note that configuration, servers and replicas were read for the first time."""
        if not self._informed.ready():
            self._informed.send()

    def wait_until_informed(self) -> None:
        """Hold a request that came before the first reading, for a moment at most.

        Right after a start callers may have tried once already, and a refusal would end
        their programs.
        """
        left = self._holds_until - self._parts.now()
        if left > 0.0 and not self._informed.ready():
            self._informed.wait(left)

    @property
    def table(self) -> RouteTable | None:
        """Return the routes and keys in force; None before the first configuration."""
        return self.admission.table

    @property
    def is_stopping(self) -> bool:
        """Return whether the process was asked to stop."""
        return self._stops_at is not None

    @property
    def sends_callers_away(self) -> bool:
        """Return whether callers had better come back through another gateway.

        One that is out of the replicas' reach can run no turn, one whose configuration is
        too old serves no key, and callers stay with a connection for as long as it is kept.
        """
        is_able = self._programs.is_reachable and self.serves_keys
        return self.is_stopping or not is_able

    @property
    def configuration_age_s(self) -> float:
        """Return the seconds since the configuration in force was proved to be the newest."""
        return self._freshness.age_s(self._parts.now())

    @property
    def serves_keys(self) -> bool:
        """Return whether the configuration is fresh enough for callers with keys, if any."""
        needs_keys = self.table is not None and self.table.needs_keys
        return not needs_keys or self._freshness.may_serve_keys(self._parts.now())

    def stop(self, now: float, stops_at: float) -> None:
        """Close connections behind their answers; later take only what ends in time.

        :param stops_at: when the process ends, whatever runs then.
        """
        self._stops_at = stops_at
        self._refuses_from = now + STOP_WELCOME_SECONDS

    def has_time_for(self, now: float, end: float) -> bool:
        """Return whether a request that may last until ``end`` is still taken."""
        is_welcome = self._stops_at is None or now < self._refuses_from
        return is_welcome or end <= (self._stops_at or end)

    def put_in_force(self, configuration: Configuration) -> bool:
        """Take a configuration unless it is older than the one in force."""
        if self.table is not None and configuration.version <= self.table.configuration.version:
            return False
        before = self.table.configuration if self.table is not None else None
        self.admission.table = RouteTable(configuration)
        self._limits.current = configuration.limits
        self._parts.decisions.write(
            decisions.ConfigurationInForce(
                configuration.version, len(configuration.routes), len(configuration.services)
            )
        )
        for change in key_changes(before, configuration):
            self._parts.decisions.write(decisions.KeysChanged(configuration.version, *change))
        return True

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        return _Exchange(self, environ, start_response).run()


class _Exchange:
    """One request of a caller and its answer."""

    def __init__(self, gateway: Gateway, environ: Environ, start_response: StartResponse) -> None:
        self._gateway = gateway
        self._parts = gateway._parts
        self._environ = environ
        self._start_response = start_response
        self._attempt_id = ""
        self._arrived_at = self._parts.now()
        self._first_s: float | None = None
        self._hold = self._parts.memory.open()
        #: When the caller was last given something to read; None while nothing waits for it.
        self._given_at: float | None = None

    def run(self) -> Iterator[bytes]:
        """Return the body of the answer; cancels whatever runs if it is closed early."""
        self._gateway.running += 1
        watch = CallerWatch(self._environ["eventlet.input"].get_socket())
        try:
            yield from self._answer(watch)
        except CallerGoneError:
            seconds = self._parts.now() - self._arrived_at
            self._parts.decisions.write(decisions.CallerLeft(self._attempt_id, seconds))
            raise AnswerCutError from None
        except GeneratorExit:
            self._note_given_up()
            raise
        except (AnswerCutError, OSError):
            raise
        except Exception:
            trace = traceback.format_exc()
            self._parts.decisions.write(decisions.InternalFault(self._attempt_id, trace))
            raise
        finally:
            watch.stop()
            self._hold.close()
            self._gateway.running -= 1

    def _note_given_up(self) -> None:
        """Note it if the answer ends since the caller took nothing of it for too long."""
        waited_s = self._parts.now() - (self._given_at or self._parts.now())
        if waited_s >= STREAM_WRITE_SECONDS:
            self._parts.decisions.write(
                decisions.CallerGivenUp(self._attempt_id, waited_s, self._hold.size)
            )

    def _answer(self, watch: CallerWatch) -> Iterator[bytes]:
        try:
            attempt = self._gateway._callers.read_attempt(self._environ, self._arrived_at)
            self._attempt_id = attempt.attempt_id
            self._gateway.wait_until_informed()
            route = self._gateway.admission.match(attempt)
            end = min(attempt.deadline, attempt.arrived_at + route.timeout)
            attempt.body = self._read_body(end)
        except InvalidAttemptError as error:
            yield self._refuse(Refusal(error.status, str(error)))
            return
        except RefusedError as error:
            yield self._refuse(error.refusal)
            return
        watch.start()
        self._note_admitted(attempt, route, end)
        if not self._gateway.has_time_for(self._parts.now(), end):
            yield self._refuse(Refusal(_UNAVAILABLE, "stopping", RETRY_AFTER_SECONDS))
            return
        try:
            if route.kind is RequestKind.STREAM:
                yield from self._stream(attempt, route, end)
            else:
                yield self._whole(attempt, route, end)
        except RefusedError as error:
            yield self._refuse(error.refusal)

    def _note_admitted(self, attempt: Attempt, route: Route, end: float) -> None:
        table = self._gateway.table
        self._parts.decisions.write(
            decisions.AttemptAdmitted(
                attempt.attempt_id,
                attempt.program.program_id if attempt.program else None,
                route.name,
                route.kind.value,
                table.configuration.version if table is not None else 0,
                end - attempt.arrived_at,
                attempt.tenant,
                self._gateway.configuration_age_s,
                _finish_in_s(attempt),
            )
        )

    def _read_body(self, end: float) -> bytes:
        """Return the body of the request.

        :param end: when the request's time is over, and that of a caller that sends slowly.
        :raises RefusedError: if there is no room for it.
        """
        limit = self._gateway._limits.current.body_bytes
        body = RequestBody(self._environ, self._parts.memory, self._hold, limit)
        try:
            return body.read(max(end - self._parts.now(), 0.0))
        except MemoryExhaustedError as error:
            # The rest of it is not read.
            close_after_answer(self._environ)
            raise _no_memory(error) from error
        except BodyLateError:
            seconds = self._parts.now() - self._arrived_at
            self._parts.decisions.write(
                decisions.CallerGivenUp(self._attempt_id, seconds, self._hold.size)
            )
            raise

    def _offer(
        self,
        attempt: Attempt,
        route: Route,
        end: float,
        body: bytes,
        allowance: Allowance,
        last_server: str = "",
    ) -> Offer:
        table = self._gateway.table
        service = table.choose_service(route) if table is not None else ""
        return Offer(
            self._parts, attempt, route, service, end, body, allowance, last_server, self._hold
        )

    # Whole answers

    def _whole(self, attempt: Attempt, route: Route, end: float) -> bytes:
        if attempt.program is not None:
            self._parts.program_sizes.note_lookup()
        allowance = self._parts.quotas.allowance(attempt)
        allowance.begin()
        try:
            offer = self._offer(attempt, route, end, attempt.body, allowance)
            answer, body = relay_whole(self._parts, route, offer)
            return self._pass_on(answer, body, offer)
        finally:
            allowance.close()

    def _pass_on(self, answer: Answer, body: bytes, offer: Offer) -> bytes:
        headers = self._gateway._callers.answer_headers(answer)
        self._start(answer.status, [*headers, ("Content-Length", str(len(body)))])
        self._note_answered(answer.status, offer.log.tried[-1], 0)
        return body

    def _note_answered(self, status: int, server: str, events: int) -> None:
        seconds = self._parts.now() - self._arrived_at
        self._parts.decisions.write(
            decisions.AttemptAnswered(
                self._attempt_id, status, server, seconds, events, self._first_s
            )
        )

    # Streams

    def _stream(self, attempt: Attempt, route: Route, end: float) -> Iterator[bytes]:
        loads = self._parts.loads.ask()
        allowance = self._parts.quotas.allowance(attempt)
        allowance.begin()
        try:
            grant = self._open_turn(attempt, route, end)
            loads.wait()
            yield from self._run_turn(attempt, route, end, grant, allowance)
        finally:
            allowance.close()

    def _run_turn(
        self, attempt: Attempt, route: Route, end: float, grant: TurnGrant, allowance: Allowance
    ) -> Iterator[bytes]:
        offer = self._offer(attempt, route, end, grant.body, allowance, grant.last_server)
        relay = StreamRelay(self._parts, attempt, route, offer)
        under_way = ExitStack()
        try:
            self._hold_turns_before(attempt, grant)
            self._begin_program(attempt, route, grant, allowance)
            under_way.enter_context(self._parts.rooms.turn(attempt, self._service_of(route)))
            opened = relay.open()
            if opened.answer.status != HTTPStatus.OK:
                yield self._pass_on_failure(opened.answer, offer)
                return
            for events in relay.events():
                grant.cover(relay.passed)
                if len(events) == len(relay.passed):
                    self._first_s = self._parts.now() - self._arrived_at
                    self._start(HTTPStatus.OK, self._stream_headers(opened.answer))
                    expect_stream_read(self._environ)
                self._given_at = self._parts.now()
                yield b"".join(event.raw for event in events)
            grant.complete(relay.passed, offer.last_server)
            relay.finish()
            self._note_answered(HTTPStatus.OK, offer.log.tried[-1], len(relay.passed))
        except (StreamBrokenError, StoreUncertainError) as error:
            self._parts.decisions.write(
                decisions.AnswerBrokenOff(attempt.attempt_id, str(error), len(relay.passed))
            )
            raise AnswerCutError from None
        finally:
            under_way.close()
            relay.cancel()
            grant.close(relay.passed, offer.last_server)

    def _hold_turns_before(self, attempt: Attempt, grant: TurnGrant) -> None:
        """Count what a turn's body has beyond what its caller sent.

        :raises RefusedError: if there is no room for it.
        """
        try:
            self._hold.grow(max(0, len(grant.body) - len(attempt.body)))
        except MemoryExhaustedError as error:
            raise _no_memory(error) from error

    def _begin_program(
        self, attempt: Attempt, route: Route, grant: TurnGrant, allowance: Allowance
    ) -> None:
        """Ask whether a turn's program is welcome, if it is the first one.

        There is to be room for it at the servers and in its tenant's limit.

        :raises RefusedError: if it is not.
        """
        if attempt.program is None:
            return
        sizes = self._parts.program_sizes
        if grant.is_first:
            self._ask_for_room(attempt, route, allowance)
        sizes.note_turn(route.name, grant.is_first)

    def _ask_for_room(self, attempt: Attempt, route: Route, allowance: Allowance) -> None:
        sizes = self._parts.program_sizes
        service = self._service_of(route)
        if service is None or service.engine is None:
            allowance.begin_program(sizes.expected(route.name))
            return
        # A lender counts each program that it welcomes, so the servers' room goes first.
        new = NewProgram(attempt, service, sizes.expected_turns(route.name))
        self._parts.rooms.begin_program(new)
        try:
            allowance.begin_program(sizes.expected(route.name))
        except RefusedError:
            self._parts.rooms.did_not_begin(new)
            raise

    def _stream_headers(self, answer: Answer) -> list[tuple[str, str]]:
        return self._gateway._callers.answer_headers(answer)

    def _pass_on_failure(self, answer: Answer, offer: Offer) -> bytes:
        opened = offer.current
        body = opened.connection.read_all(offer.remaining()) if opened is not None else b""
        offer.release()
        return self._pass_on(answer, body, offer)

    def _service_of(self, route: Route) -> Service | None:
        """Return the service that gets most of a route's requests, as it is configured."""
        table = self._gateway.table
        services = table.configuration.services if table is not None else {}
        return services.get(route.shares[0].service) if route.shares else None

    def _open_turn(self, attempt: Attempt, route: Route, end: float) -> TurnGrant:
        service = self._service_of(route)
        engine = service.engine if service is not None else None
        tokens_per_event = engine.tokens_per_event if engine is not None else 1
        try:
            return self._gateway._programs.open_turn(attempt, route, tokens_per_event, end)
        except BudgetExhaustedError as error:
            raise RefusedError(Refusal(_BUDGET_SPENT, str(error))) from error
        except TurnUnknownError as error:
            raise RefusedError(Refusal(_NOT_FOUND, str(error))) from error
        except StoreUncertainError as error:
            after_s = return_after_s(self._gateway._programs.unreachable_s, attempt.attempt_id)
            raise RefusedError(Refusal(_UNAVAILABLE, str(error), after_s)) from error

    # Responses

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._gateway.sends_callers_away:
            close_after_answer(self._environ)
        self._start_response(f"{status} {_reason(status)}", headers)

    def _refuse(self, refusal: Refusal) -> bytes:
        seconds = self._parts.now() - self._arrived_at
        self._parts.decisions.write(
            decisions.AttemptRefused(self._attempt_id, refusal.status, refusal.reason, seconds)
        )
        body = (refusal.reason + "\n").encode()
        headers = self._gateway._callers.refusal_headers(self._attempt_id, refusal)
        if refusal.status in (_BAD_REQUEST, _TOO_LARGE):
            close_after_answer(self._environ)
        self._start(refusal.status, [*headers, _TEXT, ("Content-Length", str(len(body)))])
        return body


def _no_memory(error: MemoryExhaustedError) -> RefusedError:
    """Return the refusal of a request for which there is no memory; it has not run."""
    return RefusedError(Refusal(_UNAVAILABLE, str(error), RETRY_AFTER_SECONDS))


def _finish_in_s(attempt: Attempt) -> float | None:
    """Return the seconds that an attempt's program had left when it arrived."""
    if attempt.program is None or attempt.program.finish_at is None:
        return None
    return attempt.program.finish_at - attempt.arrived_at


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
