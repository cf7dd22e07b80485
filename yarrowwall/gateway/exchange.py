"""Processing of one caller's request: routing, body, and a buffered or streamed response."""

import contextlib
import traceback
from collections.abc import Generator, Iterator

import eventlet
from eventlet.hubs import get_hub

from yarrowwall import decisions
from yarrowwall.dispatch.buffered import relay_buffered
from yarrowwall.dispatch.sender import AttemptSender, SendPlan
from yarrowwall.exceptions import (
    CallerDisconnectedError,
    GatewayStoppingError,
    InvalidAttemptError,
)
from yarrowwall.gateway.bodies import RequestBody
from yarrowwall.gateway.caller_connection import (
    BodyTimeoutError,
    CallerRequest,
    ResponseAbortedError,
)
from yarrowwall.gateway.caller_watch import CallerWatch
from yarrowwall.gateway.response import Response
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.gateway.state import GatewayState
from yarrowwall.gateway.turn import AnswerAbortedError, Turn
from yarrowwall.model import Attempt, RequestKind, Route
from yarrowwall.policy.connection_budget import ConnectionsExhaustedError
from yarrowwall.policy.memory_budget import MemoryExhaustedError
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS
from yarrowwall.refusals import Refusal, RefusedError, unavailable

_STOPPING = "stopping"


class Exchange:
    """One request and its response, whose body the HTTP server iterates over."""

    def __init__(self, gateway: GatewayState, request: CallerRequest) -> None:
        self._gateway = gateway
        self._components = gateway.components
        self._log = gateway.components.dispatch.decisions
        self._now = gateway.components.dispatch.now
        self._request = request
        self._request_memory = gateway.components.dispatch.memory.open_request()
        self._response = Response(
            gateway.components, request, lambda: gateway.should_close_connections
        )
        self._attempt: Attempt | None = None
        self._time: RequestTime | None = None
        self._watch: CallerWatch | None = None
        self._sender: AttemptSender | None = None
        self._turn: Turn | None = None
        self._body = self._run()
        gateway.active_requests.add(self)

    def __iter__(self) -> Iterator[bytes]:
        """Return the body of the response."""
        return self._body

    def close(self) -> None:
        """End the request: cancel work that still runs, and log a response that ended early.

        The HTTP server calls this once, after the last write.
        """
        buffered_bytes = self._request_memory.size
        try:
            self._body.close()
        finally:
            self._gateway.active_requests.discard(self)
            self._response.note_ended(buffered_bytes)

    def apply_routes(self, table: RouteTable) -> None:
        """Update the request's time limit from a new route table."""
        if self._attempt is None or self._time is None:
            return
        route = table.match(self._attempt.host, self._attempt.path)
        if route is not None:
            self._time.note_route_s(route.timeout_s)

    @property
    def is_unanswered(self) -> bool:
        """Return whether no response has started."""
        return not self._response.has_started

    def end_unanswered(self) -> None:
        """Give the caller a final response in the event loop's next turn if none has started."""
        get_hub().schedule_call_global(0, self._interrupt_unanswered)

    def _interrupt_unanswered(self) -> None:
        if self.is_unanswered and self._watch is not None:
            self._watch.interrupt(GatewayStoppingError(_STOPPING))

    def note_process_ended(self) -> None:
        """Log that the request ends because the process does, and how long it might have lasted."""
        detail = ""
        if self._time is not None:
            left_s = self._time.end - self._now()
            detail = f"{left_s:.2f} s were left of {self._time.length_s:.2f} s"
        self._response.note_process_ended(detail)

    def _run(self) -> Generator[bytes, None, None]:
        """Return the body of the response; closing it early cancels the request."""
        response = self._response
        watch = self._watch = CallerWatch(self._request.socket, self._request.note_unread)
        try:
            yield from self._answer(watch)
            response.is_complete = True
        except CallerDisconnectedError as error:
            self._log_disconnect(str(error))
            raise ResponseAbortedError from None
        except AnswerAbortedError:
            response.is_end_logged = True
            raise
        except (Exception, eventlet.Timeout):
            response.is_end_logged = True
            trace = traceback.format_exc()
            self._log.write(decisions.InternalFault(response.attempt_id, trace))
            raise
        finally:
            watch.stop()
            self._request_memory.close()

    def _log_disconnect(self, reason: str) -> None:
        response = self._response
        if not response.is_end_logged:
            response.is_end_logged = True
            left = decisions.CallerLeft(response.attempt_id, response.elapsed_s, reason)
            self._log.write(left)

    def _answer(self, watch: CallerWatch) -> Iterator[bytes]:
        try:
            attempt = self._components.callers.read_attempt(
                self._request.head, self._response.arrived_at
            )
            self._response.attempt_id, self._response.sent_id = attempt.attempt_id, attempt.sent_id
            self._request.begin_processing()
            self._gateway.wait_for_initial_load()
            route = self._gateway.router.match(attempt)
            time = RequestTime(attempt.arrived_at, attempt.deadline, route.timeout_s)
            self._attempt, self._time = attempt, time
            attempt.body = self._read_body(time.end)
            self._request.note_complete()
        except GatewayStoppingError:
            # The rest of the request stays unread, so the connection cannot be kept.
            self._request.close_after_answer()
            yield self._response.refuse(_not_run().refusal)
            return
        except ConnectionsExhaustedError as error:
            # The rest of the request stays unread, so the connection cannot be kept.
            self._request.close_after_answer()
            refusal = unavailable(str(error), SHORTAGE_SECONDS).refusal
            yield self._response.refuse(refusal)
            return
        except InvalidAttemptError as error:
            yield self._response.refuse(Refusal(error.status, str(error)))
            return
        except RefusedError as error:
            yield self._response.refuse(error.refusal)
            return
        watch.start()
        self._log_admitted(attempt, route, time.end)
        try:
            # A stream that has begun can't be refused if its route's timeout is raised.
            end = time.latest_end if route.kind is RequestKind.STREAM else time.end
            if not self._gateway.has_time_for(self._now(), end):
                raise _not_run()
            self._components.dispatch.suspects.check(attempt)
            if route.kind is RequestKind.STREAM:
                yield from self._relay_stream(attempt, route, time)
            else:
                yield self._relay_buffered(attempt, route, time)
        except GatewayStoppingError as error:
            sender = self._turn.sender if self._turn is not None else self._sender
            final = sender.refused(str(error)) if sender is not None else _not_run()
            yield self._response.refuse(final.refusal)
        except RefusedError as error:
            yield self._response.refuse(error.refusal)

    def _read_body(self, end: float) -> bytes:
        """Return the body of the request.

        :param end: when the request's time is over, which also bounds the reading of its body.
        :raises RefusedError: if the memory budget is used up.
        """
        limit = self._components.limits.current.body_bytes
        body = RequestBody(
            self._request, self._components.dispatch.memory, self._request_memory, limit
        )
        try:
            return body.read(end)
        except MemoryExhaustedError as error:
            # The rest of the body stays unread, so the connection cannot be kept.
            self._request.close_after_answer()
            raise unavailable(str(error), SHORTAGE_SECONDS) from error
        except BodyTimeoutError:
            response = self._response
            response.is_end_logged = True
            self._log.write(
                decisions.CallerGivenUp(
                    response.attempt_id, response.elapsed_s, self._request_memory.size
                )
            )
            raise

    def _log_admitted(self, attempt: Attempt, route: Route, end: float) -> None:
        table = self._gateway.table
        self._log.write(
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
                (attempt.program.previous_turn or "") if attempt.program else "",
                attempt.resumed_attempt or "",
            )
        )

    def _relay_buffered(self, attempt: Attempt, route: Route, time: RequestTime) -> bytes:
        if attempt.program is not None:
            self._components.program_sizes.note_lookup()
        allowance = self._components.quotas.allowance(attempt)
        allowance.prefetch()
        try:
            service = self._gateway.router.service_for(route)
            plan = SendPlan(
                attempt, route, service, time, attempt.body, allowance, self._request_memory
            )
            with contextlib.closing(AttemptSender(self._components.dispatch, plan)) as sender:
                self._sender = sender
                answer, body = relay_buffered(self._components.dispatch, route, sender)
                return self._response.start_buffered(answer, body, sender.history.tried[-1])
        finally:
            allowance.close()

    def _relay_stream(self, attempt: Attempt, route: Route, time: RequestTime) -> Iterator[bytes]:
        turn = self._turn = Turn(
            self._gateway, attempt, route, time, self._request_memory, self._response
        )
        loads = self._components.dispatch.loads.request_loads()
        allowance = self._components.quotas.allowance(attempt)
        allowance.prefetch()
        try:
            grant = turn.open()
            yield from turn.run(grant, allowance, loads)
        finally:
            allowance.close()


def _not_run() -> RefusedError:
    """Return the refusal of a request that a stopping gateway sent to no server."""
    return unavailable(_STOPPING, SHORTAGE_SECONDS)


def _finish_in_s(attempt: Attempt) -> float | None:
    """Return the seconds until an attempt's program should finish, counted from its arrival."""
    if attempt.program is None or attempt.program.finish_at is None:
        return None
    return attempt.program.finish_at - attempt.arrived_at
