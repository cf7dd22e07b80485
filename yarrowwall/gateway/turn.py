"""One turn of a program: granted by the record store, welcome at the servers, streamed."""

from collections.abc import Iterator
from contextlib import ExitStack
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.dispatch.sender import AttemptSender, SendPlan
from yarrowwall.dispatch.streams import StreamBrokenError, StreamRelay
from yarrowwall.exceptions import (
    BudgetExhaustedError,
    RelayError,
    StoreUncertainError,
    TurnUnknownError,
)
from yarrowwall.gateway.response import Response
from yarrowwall.gateway.state import GatewayState
from yarrowwall.model import Answer, Attempt, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError, RequestMemory
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS, after_outage_s
from yarrowwall.ports.admission import NewProgram
from yarrowwall.ports.loads import PendingLoads
from yarrowwall.ports.programs import TurnGrant
from yarrowwall.ports.quotas import Allowance
from yarrowwall.refusals import Refusal, RefusedError, unavailable


class AnswerAbortedError(Exception):
    """Raised through the WSGI server so that it closes the connection without an end."""


class Turn:
    """One attempt at a turn.

    :param time: how long the attempt may take.
    :param hold: what is held for the caller.
    """

    def __init__(
        self,
        gateway: GatewayState,
        attempt: Attempt,
        route: Route,
        time: RequestTime,
        hold: RequestMemory,
        response: Response,
    ) -> None:
        self._gateway = gateway
        self._components = gateway.components
        self._attempt = attempt
        self._route = route
        self._time = time
        self._hold = hold
        self._response = response
        self._service = gateway.router.main_service(route)

    def open(self) -> TurnGrant:
        """Return the record store's leave to run the turn.

        :raises RefusedError: if it gives none.
        """
        engine = self._service.engine if self._service is not None else None
        tokens_per_event = engine.tokens_per_event if engine is not None else 1
        programs = self._components.programs
        try:
            return programs.open_turn(
                self._attempt, self._route, tokens_per_event, lambda: self._time.end
            )
        except BudgetExhaustedError as error:
            refusal = Refusal(HTTPStatus.PAYMENT_REQUIRED, str(error))
            raise RefusedError(refusal) from error
        except TurnUnknownError as error:
            raise RefusedError(Refusal(HTTPStatus.NOT_FOUND, str(error))) from error
        except StoreUncertainError as error:
            after_s = after_outage_s(programs.unreachable_s, self._attempt.attempt_id)
            raise unavailable(str(error), after_s) from error

    def run(self, grant: TurnGrant, allowance: Allowance, loads: PendingLoads) -> Iterator[bytes]:
        """Return the stream.

        :param loads: waited for before a server is chosen.
        :raises RefusedError: if no server runs the turn.
        :raises AnswerAbortedError: if it breaks off once its beginning was passed on.
        """
        sender = self._sender(grant, allowance)
        relay = StreamRelay(self._components.dispatch, self._attempt, self._route, sender)
        under_way = ExitStack()
        try:
            loads.wait()
            self._hold_turns_before(grant)
            self._begin_program(grant, allowance)
            under_way.enter_context(
                self._components.admission.track_turn(self._attempt, self._service)
            )
            opened = relay.open()
            if opened.answer.status != HTTPStatus.OK:
                yield self._pass_on_failure(opened.answer, sender)
                return
            for events in relay.events():
                grant.ensure_granted(relay.relayed)
                if len(events) == len(relay.relayed):
                    self._response.begin_stream(opened.answer)
                self._response.note_given(len(events))
                yield b"".join(event.raw for event in events)
            # Its server has done its part, however long the store takes.
            relay.finish()
            grant.complete(relay.relayed, sender.last_server)
            if not relay.relayed:
                self._response.begin_stream(opened.answer)
            self._response.note_answered(HTTPStatus.OK, sender.log.tried[-1], len(relay.relayed))
        except (StreamBrokenError, StoreUncertainError) as error:
            self._components.dispatch.decisions.write(
                decisions.AnswerBrokenOff(self._attempt.attempt_id, str(error), len(relay.relayed))
            )
            raise AnswerAbortedError from None
        finally:
            under_way.close()
            relay.cancel()
            grant.close(relay.relayed, sender.last_server)

    def _sender(self, grant: TurnGrant, allowance: Allowance) -> AttemptSender:
        service = self._gateway.router.service_for(self._route)
        plan = SendPlan(
            self._attempt,
            self._route,
            service,
            self._time,
            grant.body,
            allowance,
            self._hold,
            grant.last_server,
        )
        return AttemptSender(self._components.dispatch, plan)

    def _hold_turns_before(self, grant: TurnGrant) -> None:
        """Count what a turn's body has beyond what its caller sent.

        :raises RefusedError: if there is no room for it.
        """
        try:
            self._hold.grow(max(0, len(grant.body) - len(self._attempt.body)))
        except MemoryExhaustedError as error:
            raise unavailable(str(error), SHORTAGE_SECONDS) from error

    def _begin_program(self, grant: TurnGrant, allowance: Allowance) -> None:
        """Ask whether a turn's program is welcome, if it is the first one.

        There is to be room for it at the servers and in its tenant's limit.

        :raises RefusedError: if it is not.
        """
        if self._attempt.program is None:
            return
        if grant.is_first:
            self._ask_for_room(grant, allowance)
        self._components.program_sizes.note_turn(self._route.name, grant.is_first)

    def _ask_for_room(self, grant: TurnGrant, allowance: Allowance) -> None:
        sizes, service = self._components.program_sizes, self._service
        if service is None or service.engine is None:
            allowance.admit_program(sizes.expected_requests(self._route.name))
            return
        # A lender counts each program that it welcomes, so the servers' room goes first.
        turns = sizes.expected_turns(self._route.name)
        new = NewProgram(self._attempt, service, turns, grant.is_continued)
        self._components.admission.request_admission(new)
        try:
            allowance.admit_program(sizes.expected_requests(self._route.name))
        except RefusedError:
            self._components.admission.cancel_admission(new)
            raise

    def _pass_on_failure(self, answer: Answer, sender: AttemptSender) -> bytes:
        """Begin a server's answer that is no stream; return its body.

        :raises RefusedError: if it breaks off.
        """
        opened = sender.current
        try:
            body = opened.connection.read_all(sender.left_s()) if opened is not None else b""
        except RelayError as error:
            sender.cancel_answer()
            if opened is not None:
                sender.note_failure(opened.send.server, error)
            raise sender.refused(str(error)) from error
        sender.finish_answer()
        return self._response.pass_on(answer, body, sender.log.tried[-1])
