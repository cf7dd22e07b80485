"""One turn of a program: granted by the record store, admitted, and streamed to the caller."""

from collections.abc import Iterator
from contextlib import ExitStack
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.dispatch.sender import AttemptSender, SendPlan
from yarrowwall.dispatch.streams import StreamBrokenError, StreamRelay
from yarrowwall.event_stream import Event
from yarrowwall.exceptions import (
    BudgetExhaustedError,
    RelayError,
    StoreUncertainError,
    StreamUnknownError,
    TurnUnknownError,
)
from yarrowwall.gateway.response import Response
from yarrowwall.gateway.state import GatewayState
from yarrowwall.model import Answer, Attempt, Route
from yarrowwall.policy.memory_budget import MemoryExhaustedError, RequestMemory
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS, after_outage_s
from yarrowwall.policy.server_choice import PlacementRequest, placement_affinity
from yarrowwall.ports.admission import NewProgram
from yarrowwall.ports.loads import PendingLoads
from yarrowwall.ports.programs import NO_EXPECTED_SOFTWARE, ExpectedSoftware, TurnGrant
from yarrowwall.ports.quotas import Allowance
from yarrowwall.refusals import Refusal, RefusedError, unavailable


class AnswerAbortedError(Exception):
    """Makes the HTTP server close the connection without completing the response."""


class Turn:
    """One attempt at a turn.

    :param time: time limit of the attempt.
    :param request_memory: counts the bytes that are buffered for the request.
    :ivar sender: sends the attempt; None until the turn is granted.
    """

    def __init__(
        self,
        gateway: GatewayState,
        attempt: Attempt,
        route: Route,
        time: RequestTime,
        request_memory: RequestMemory,
        response: Response,
    ) -> None:
        self._gateway = gateway
        self._components = gateway.components
        self._attempt = attempt
        self._route = route
        self._time = time
        self._request_memory = request_memory
        self._response = response
        self._service = gateway.router.main_service(route)
        #: Name of the service that runs the turn, chosen once it is granted.
        self._chosen_service = ""
        self.sender: AttemptSender | None = None

    def open(self) -> TurnGrant:
        """Return the record store's grant to run the turn.

        :raises RefusedError: if the store grants none.
        """
        engine = self._service.engine if self._service is not None else None
        tokens_per_event = engine.tokens_per_event if engine is not None else 1
        programs = self._components.programs
        try:
            grant = programs.open_turn(
                self._attempt,
                self._route,
                tokens_per_event,
                lambda: self._time.end,
                self._expected_software(),
            )
        except BudgetExhaustedError as error:
            refusal = Refusal(HTTPStatus.PAYMENT_REQUIRED, str(error))
            raise RefusedError(refusal) from error
        except TurnUnknownError as error:
            raise RefusedError(Refusal(HTTPStatus.NOT_FOUND, str(error))) from error
        except StreamUnknownError as error:
            # No later try would know more, so there is no time to come back at.
            raise RefusedError(Refusal(HTTPStatus.SERVICE_UNAVAILABLE, str(error))) from error
        except StoreUncertainError as error:
            after_s = after_outage_s(programs.unreachable_s, self._attempt.attempt_id)
            raise unavailable(str(error), after_s) from error
        try:
            self._chosen_service = self._choose_service(grant)
        except RefusedError:
            grant.close([], "")
            raise
        return grant

    def _expected_software(self) -> ExpectedSoftware:
        """Return what is known of the software that will run the turn, if it may be resumed."""
        if not self._route.is_resumable or self._service is None:
            return NO_EXPECTED_SOFTWARE
        dispatch, service = self._components.dispatch, self._service.name
        if self._attempt.is_resumption:
            find_sole = self._components.sole_software.find
            return ExpectedSoftware(find_sole=lambda: find_sole(service))
        software = dispatch.directory.software(service)
        if len(software) == 1:
            return ExpectedSoftware(next(iter(software)))
        return ExpectedSoftware(self._likely_software(service))

    def _likely_software(self, service: str) -> str:
        """Return the software of the server that would be chosen now; empty without servers."""
        affinity = placement_affinity(self._attempt, self._route)
        request = PlacementRequest(self._attempt.prompt, affinity, "")
        dispatch = self._components.dispatch
        choice = dispatch.chooser.choose(service, (), dispatch.now(), request)
        return choice.server.software_id if choice is not None else ""

    def _choose_service(self, grant: TurnGrant) -> str:
        """Return the name of the service that runs the turn.

        :raises RefusedError: if the turn resumes a stream and no server runs its software.
        """
        if grant.software is None:
            return self._gateway.router.service_for(self._route)
        directory, now = self._components.dispatch.directory, self._components.dispatch.now()
        for share in self._route.shares:
            if directory.candidates(share.service, (), now, grant.software):
                return share.service
        raise unavailable("no server runs the software version of the stream", SHORTAGE_SECONDS)

    def run(self, grant: TurnGrant, allowance: Allowance, loads: PendingLoads) -> Iterator[bytes]:
        """Return the body of the streamed response.

        :param loads: the loads of other gateways, awaited before a server is chosen.
        :raises RefusedError: if no server runs the turn.
        :raises AnswerAbortedError: if the stream fails after its first events were relayed.
        """
        sender = self.sender = self._make_sender(grant, allowance)
        relay = StreamRelay(self._components.dispatch, self._attempt, self._route, sender)
        exit_stack = ExitStack()
        try:
            loads.wait()
            self._count_previous_turns(grant)
            self._admit_program(grant, allowance)
            exit_stack.enter_context(
                self._components.admission.track_turn(self._attempt, self._service)
            )
            opened = relay.open()
            if opened.answer.status != HTTPStatus.OK:
                yield self._relay_failure(opened.answer, sender)
                return
            for events in relay.events():
                is_first = len(events) == len(relay.relayed)
                granted = _granted_part(grant, relay.relayed, events)
                if granted:
                    # What is granted is relayed before more is asked for, which may be refused.
                    yield self._relay_events(opened.answer, granted, is_first)
                rest = events[len(granted) :]
                if rest:
                    grant.ensure_granted(relay.relayed)
                    yield self._relay_events(opened.answer, rest, is_first and not granted)
            # The server is done; its slot is freed before the store is written, which may take
            # long.
            relay.finish()
            self._note_repeated(relay)
            grant.complete(relay.repeated, relay.relayed, sender.last_server)
            if not relay.relayed:
                self._response.start_stream(opened.answer)
            self._response.note_answered(
                HTTPStatus.OK, sender.history.tried[-1], len(relay.relayed)
            )
        except (StreamBrokenError, StoreUncertainError) as error:
            self._components.dispatch.decisions.write(
                decisions.AnswerBrokenOff(self._attempt.attempt_id, str(error), len(relay.relayed))
            )
            raise AnswerAbortedError from None
        finally:
            exit_stack.close()
            sender.close()
            grant.close(relay.relayed, sender.last_server)

    def _note_repeated(self, relay: StreamRelay) -> None:
        if relay.repeated:
            attempt = self._attempt
            self._components.dispatch.decisions.write(
                decisions.EventsRepeated(
                    attempt.attempt_id, len(relay.repeated), attempt.last_event_id or ""
                )
            )

    def _relay_events(self, answer: Answer, events: list[Event], is_first: bool) -> bytes:
        """Return the bytes of events for the caller; the first ones start the response."""
        if is_first:
            self._response.start_stream(answer)
        self._response.note_output(len(events))
        return b"".join(event.raw for event in events)

    def _make_sender(self, grant: TurnGrant, allowance: Allowance) -> AttemptSender:
        service = self._chosen_service
        expected = grant.expected_software
        if expected and len(self._components.dispatch.directory.software(service)) == 1:
            # The expectation makes no difference among servers that are alike.
            expected = ""
        plan = SendPlan(
            self._attempt,
            self._route,
            service,
            self._time,
            grant.body,
            allowance,
            self._request_memory,
            grant.last_server,
            grant.software,
            expected,
            grant.record_software,
            grant.open_tries,
        )
        return AttemptSender(self._components.dispatch, plan)

    def _count_previous_turns(self, grant: TurnGrant) -> None:
        """Count the previous turns, which the store added to the body, in the memory budget.

        :raises RefusedError: if the memory budget is used up.
        """
        try:
            self._request_memory.grow(max(0, len(grant.body) - len(self._attempt.body)))
        except MemoryExhaustedError as error:
            raise unavailable(str(error), SHORTAGE_SECONDS) from error

    def _admit_program(self, grant: TurnGrant, allowance: Allowance) -> None:
        """Request the admission of the turn's program if this is its first turn.

        A program is admitted if the servers have capacity for it and its tenant's limit allows it.

        :raises RefusedError: if it is not admitted.
        """
        if self._attempt.program is None:
            return
        if grant.is_first:
            self._request_admission(grant, allowance)
        self._components.program_sizes.note_turn(self._route.name, grant.is_first)

    def _request_admission(self, grant: TurnGrant, allowance: Allowance) -> None:
        sizes, service = self._components.program_sizes, self._service
        if service is None or service.engine is None:
            allowance.admit_program(sizes.expected_requests(self._route.name))
            return
        # The permit issuer counts every program it admits, so the servers' capacity comes first.
        turns = sizes.expected_turns(self._route.name)
        new = NewProgram(self._attempt, service, turns, grant.is_continued)
        self._components.admission.request_admission(new)
        try:
            allowance.admit_program(sizes.expected_requests(self._route.name))
        except RefusedError:
            self._components.admission.cancel_admission(new)
            raise

    def _relay_failure(self, answer: Answer, sender: AttemptSender) -> bytes:
        """Start a response with a server's answer other than 200; return its body.

        :raises RefusedError: if the answer breaks off.
        """
        opened = sender.current
        try:
            body = b""
            if opened is not None:
                body = opened.connection.read_all(sender.left_s(), sender.hold_answer_memory)
        except MemoryExhaustedError as error:
            sender.cancel_oversized(error)
            raise sender.refused(str(error)) from error
        except RelayError as error:
            sender.cancel_answer()
            if opened is not None:
                sender.note_failure(opened.send.server, error)
            raise sender.refused(str(error)) from error
        sender.finish_answer()
        return self._response.start_buffered(answer, body, sender.history.tried[-1])


def _granted_part(grant: TurnGrant, relayed: list[Event], events: list[Event]) -> list[Event]:
    """Return the first ones of new events that are granted already.

    :param relayed: all events of the answer, the new ones included.
    """
    granted = grant.granted_events()
    if granted is None:
        return events
    return events[: max(0, granted - (len(relayed) - len(events)))]
