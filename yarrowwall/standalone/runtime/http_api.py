"""The HTTP API of a node for callers and operators."""

import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from uuid import uuid4

import logbook

from yarrowwall.messages.entries import EndReason, Priority
from yarrowwall.messages.peers import StreamChunk
from yarrowwall.messages.requests import (
    CallReply,
    EndProgram,
    ErrorReply,
    ErrorType,
    GetProgram,
    OpenProgram,
    ProgramReply,
    Request,
    SubmitCall,
)
from yarrowwall.standalone.core.configuration.commands import (
    AmendPlan,
    ApplyIntents,
    ConfirmPlan,
    OperatorCommand,
    OperatorOutcome,
    OperatorReply,
    RejectPlan,
    ReplaceReplica,
    ShowPlan,
)
from yarrowwall.standalone.core.configuration.models import CONFIGURATION, Intents
from yarrowwall.standalone.core.effects import ReplyToLookup
from yarrowwall.standalone.core.events import (
    CallerGone,
    CallerRequest,
    LookupRequested,
    OperatorRequest,
)
from yarrowwall.standalone.core.identifiers import make_program_id
from yarrowwall.standalone.runtime import sse
from yarrowwall.standalone.runtime.bodies import (
    ChatCompletionBody,
    LookupBody,
    OpenProgramBody,
    ReplaceReplicaBody,
    parse_body,
)
from yarrowwall.standalone.runtime.callers import FinalReply
from yarrowwall.standalone.runtime.exceptions import InvalidRequestError
from yarrowwall.standalone.runtime.exchange import Exchange
from yarrowwall.standalone.runtime.ports import ServedNode
from yarrowwall.standalone.runtime.relayed_stream import RelayedStream

DEFAULT_MAX_TOKENS = 512
LOOKUP_DEADLINE_SECONDS = 10.0
#: Time to wait for the final reply after the request's deadline.
GRACE_SECONDS = 5.0

_log = logbook.Logger(__name__)
_EVENT_STREAM = ("Content-Type", "text/event-stream")
_OK = "200 OK"
_BAD_REQUEST = "400 Bad Request"
_NOT_FOUND = "404 Not Found"
_CONFLICT = "409 Conflict"
_UNAVAILABLE = "503 Service Unavailable"

_STATUS_BY_OUTCOME = {
    OperatorOutcome.DONE: _OK,
    OperatorOutcome.INVALID: _BAD_REQUEST,
    OperatorOutcome.UNKNOWN_PLAN: _NOT_FOUND,
    OperatorOutcome.STALE_PLAN: _CONFLICT,
    OperatorOutcome.NOT_RUN: _UNAVAILABLE,
    OperatorOutcome.OUTCOME_UNKNOWN: "502 Bad Gateway",
}


class HttpApi:
    """The WSGI application of one node."""

    def __init__(self, service: ServedNode) -> None:
        self._service = service
        self._sequence = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one request."""
        exchange = Exchange(environ, start_response)
        started = time.monotonic()
        route = "unknown"
        try:
            route, handler = self._route(exchange)
            return handler(exchange)
        except InvalidRequestError as error:
            return exchange.refuse(error)
        finally:
            metrics = self._service.metrics
            metrics.requests.labels(route, exchange.status[:3]).inc()
            metrics.request_seconds.labels(route).observe(time.monotonic() - started)

    def _route(self, exchange: Exchange) -> tuple[str, Callable]:
        method, path = exchange.method, exchange.path
        fixed = {
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/programs"): self._open_program,
            ("POST", "/v1/lookups"): self._look_up,
            ("POST", "/v1/operator/intents"): self._apply_intents,
            ("GET", "/v1/operator/status"): self._status,
            ("GET", "/healthz"): self._health,
            ("GET", "/metrics"): self._metrics,
        }
        if (method, path) in fixed:
            return path, fixed[(method, path)]
        parts = path.strip("/").split("/")
        match (method, parts):
            case ("GET", ["v1", "programs", program_id]):
                return "/v1/programs/ID", lambda ex: self._program(ex, GetProgram(program_id))
            case ("POST", ["v1", "programs", program_id, "end"]):
                request = EndProgram(program_id, EndReason.CALLER)
                return "/v1/programs/ID/end", lambda ex: self._program(ex, request)
            case ("GET", ["v1", "operator", "plans", plan_id]):
                return "/v1/operator/plans/ID", lambda ex: self._command(ex, ShowPlan(plan_id))
            case ("POST", ["v1", "operator", "plans", plan_id, "confirm"]):
                return "/v1/operator/plans/ID/confirm", lambda ex: self._command(
                    ex, ConfirmPlan(plan_id)
                )
            case ("POST", ["v1", "operator", "plans", plan_id, "reject"]):
                return "/v1/operator/plans/ID/reject", lambda ex: self._command(
                    ex, RejectPlan(plan_id)
                )
            case ("POST", ["v1", "operator", "replicas", replica_id, "replace"]):
                return "/v1/operator/replicas/ID/replace", lambda ex: self._replace_replica(
                    ex, replica_id
                )
            case ("POST", ["v1", "operator", "plans", plan_id, "amend"]):
                return "/v1/operator/plans/ID/amend", lambda ex: self._amend(ex, plan_id)
        raise InvalidRequestError(f"{method} {path} is not known", _NOT_FOUND)

    def _new_id(self) -> str:
        self._sequence += 1
        core = self._service.core.settings
        return f"{core.node_id}-{core.incarnation:x}-{self._sequence:x}"

    # Programs and calls

    def _open_program(self, exchange: Exchange) -> Iterable[bytes]:
        body = parse_body(OpenProgramBody, exchange.body())
        program_id = make_program_id(self._service.settings.zone, uuid4().hex)
        request = OpenProgram(
            program_id, body.tenant, body.desk, self._budget(body), body.parent_program
        )
        return self._program(exchange, request, "201 Created")

    def _budget(self, body: OpenProgramBody) -> int:
        """Return the requested or default budget, capped by the operators' intent for the desk."""
        budgets = self._service.core.configuration().intents.budgets
        limit = next((item.tokens for item in budgets if item.desk == body.desk), None)
        if body.budget_tokens is None:
            return limit or self._service.settings.default_budget_tokens
        return min(body.budget_tokens, limit or body.budget_tokens)

    def _program(self, exchange: Exchange, request: Request, status: str = _OK) -> Iterable[bytes]:
        request_id = self._submit(request)
        try:
            reply = self._wait_for_reply(request_id)
        finally:
            self._service.callers.close(request_id)
        if isinstance(reply, ProgramReply):
            return exchange.json(status, _program_document(reply))
        return exchange.error_reply(reply)

    def _submit(self, request: Request) -> str:
        request_id = self._new_id()
        self._service.callers.open(request_id)
        self._service.post(CallerRequest(request_id, request))
        return request_id

    def _wait_for_reply(self, request_id: str) -> Any:
        """Return the final reply, or an error after the timeout; stream chunks are skipped."""
        while True:
            item = self._service.callers.next(request_id, self._reply_timeout())
            if item is None:
                return _no_answer()
            if isinstance(item, FinalReply):
                return item.reply

    def _reply_timeout(self) -> float:
        return self._service.settings.limits.request_deadline + GRACE_SECONDS

    def _complete(self, exchange: Exchange) -> Iterable[bytes]:
        body = parse_body(ChatCompletionBody, exchange.body())
        request = self._call_request(exchange, body)
        request_id = self._submit(request)
        if body.stream:
            return self._stream(exchange, request_id, request)
        try:
            reply = self._wait_for_reply(request_id)
        finally:
            self._service.callers.close(request_id)
        if isinstance(reply, CallReply):
            return exchange.json(_OK, sse.completion_document(reply), _call_headers(reply))
        return exchange.error_reply(reply)

    def _call_request(self, exchange: Exchange, body: ChatCompletionBody) -> SubmitCall:
        program_id = exchange.header("Yarrowwall-Program")
        single = program_id is None
        zone = self._service.settings.zone
        budget = self._service.settings.default_budget_tokens
        return SubmitCall(
            program_id or make_program_id(zone, uuid4().hex, single_call=True),
            1 if single else exchange.positive_header("Yarrowwall-Call"),
            body.chat_messages(),
            body.model,
            body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS,
            exchange.priority(),
            exchange.flag_header("Yarrowwall-Repeatable", default=False),
            single,
            exchange.header("Yarrowwall-Tenant") or "",
            exchange.header("Yarrowwall-Desk") or "",
            budget,
        )

    def _stream(self, exchange: Exchange, request_id: str, request: SubmitCall) -> Iterable[bytes]:
        """Respond with an event stream; errors before the first byte get their HTTP status."""
        first = self._service.callers.next(request_id, self._reply_timeout())
        if first is None or isinstance(first, FinalReply):
            reply = first.reply if first else _no_answer()
            if not isinstance(reply, CallReply):
                self._service.callers.close(request_id)
                return exchange.error_reply(reply)
        exchange.start(_OK, [_EVENT_STREAM, ("Cache-Control", "no-cache")])
        return self._stream_events(request_id, request, first)

    def _stream_events(
        self, request_id: str, request: SubmitCall, first: StreamChunk | FinalReply | None
    ) -> Iterator[bytes]:
        """Yield relayed chunks, then the rest of the recorded answer."""
        relayed = RelayedStream()
        item = first
        try:
            while isinstance(item, StreamChunk):
                data = relayed.take(item)
                if data:
                    self._service.metrics.relayed_bytes.inc(len(data))
                    yield data
                item = self._service.callers.next(request_id, self._reply_timeout())
            reply = item.reply if item else _no_answer()
            yield relayed.ending(f"{request.program_id}/{request.call_number}", reply)
        finally:
            # Also runs when the caller closes the connection; the call itself continues.
            self._service.callers.close(request_id)
            self._service.post(CallerGone(request_id))

    # Lookups

    def _look_up(self, exchange: Exchange) -> Iterable[bytes]:
        body = parse_body(LookupBody, exchange.body())
        request_id = self._new_id()
        self._service.callers.open(request_id)
        deadline = self._service.now() + LOOKUP_DEADLINE_SECONDS
        priority = self._lookup_priority(exchange, body.kind)
        request = LookupRequested(request_id, body.kind, body.key, priority, deadline)
        self._service.post(request)
        try:
            reply = self._wait_for_reply(request_id)
        finally:
            self._service.callers.close(request_id)
        if isinstance(reply, ReplyToLookup) and reply.body is not None:
            return exchange.encoded(_OK, reply.body)
        if isinstance(reply, ReplyToLookup):
            reply = ErrorReply(ErrorType.NOT_RUN, reply.message, reply.retry_after)
        return exchange.error_reply(reply)

    def _lookup_priority(self, exchange: Exchange, kind: str) -> Priority:
        """Return urgent if the operators' intent marks the kind so, else the caller's priority."""
        lookups = self._service.core.configuration().intents.lookups
        if any(item.kind == kind and item.urgent for item in lookups):
            return Priority.URGENT
        return exchange.priority()

    # Operators

    def _apply_intents(self, exchange: Exchange) -> Iterable[bytes]:
        intents = parse_body(Intents, exchange.body())
        return self._command(exchange, ApplyIntents(uuid4().hex[:12], intents))

    def _amend(self, exchange: Exchange, plan_id: str) -> Iterable[bytes]:
        intents = parse_body(Intents, exchange.body())
        return self._command(exchange, AmendPlan(plan_id, uuid4().hex[:12], intents))

    def _replace_replica(self, exchange: Exchange, old_replica_id: str) -> Iterable[bytes]:
        body = parse_body(ReplaceReplicaBody, exchange.body())
        command = ReplaceReplica(old_replica_id, body.replica_id, body.node_id, body.zone)
        return self._command(exchange, command)

    def _command(self, exchange: Exchange, command: OperatorCommand) -> Iterable[bytes]:
        request_id = self._new_id()
        self._service.callers.open(request_id)
        self._service.post(OperatorRequest(request_id, command))
        try:
            reply = self._wait_for_reply(request_id)
        finally:
            self._service.callers.close(request_id)
        if isinstance(reply, OperatorReply):
            return exchange.json(_STATUS_BY_OUTCOME[reply.outcome], _operator_document(reply))
        return exchange.error_reply(reply)

    def _status(self, exchange: Exchange) -> Iterable[bytes]:
        core = self._service.core
        now = self._service.now()
        members = [
            {"node": record.node_id, "zone": record.zone, "status": record.status}
            for record in core.members.records()
        ]
        document = {
            "node": core.node_id,
            "zone": core.settings.zone,
            "configuration_version": core.documents.version(CONFIGURATION),
            "configuration": core.configuration().intents.model_dump(),
            "documents": {item.name: item.version for item in core.documents.versions()},
            "shard_map": core.shard_map().model_dump(exclude={"operations"}),
            "members": members,
            "live_in_zone": core.members.live(core.settings.zone, now),
            "engines": [
                {
                    "engine": engine_id,
                    "zone": view.machine.zone,
                    "occupancy": view.occupancy(),
                    "models": list(view.report.models) if view.report else [],
                    "leaving": view.machine.leaving,
                }
                for engine_id, view in core.scheduler.engines().items()
            ],
            "loaded_programs": len(core.owners),
        }
        return exchange.json(_OK, document)

    def _health(self, exchange: Exchange) -> Iterable[bytes]:
        core = self._service.core
        if core.is_ready():
            return exchange.json(_OK, {"status": "ready"})
        status = "draining" if core.is_draining() else "starting"
        return exchange.json(_UNAVAILABLE, {"status": status})

    def _metrics(self, exchange: Exchange) -> Iterable[bytes]:
        core = self._service.core
        metrics = self._service.metrics
        metrics.loaded_programs.set(len(core.owners))
        metrics.waiting_calls.set(core.scheduler.waiting_count())
        metrics.configuration_version.set(core.documents.version(CONFIGURATION))
        exchange.start(_OK, [("Content-Type", "text/plain; version=0.0.4")])
        return [metrics.render()]


def _no_answer() -> ErrorReply:
    return ErrorReply(ErrorType.OUTCOME_UNKNOWN, "no answer came in time", 1.0)


def _call_headers(reply: CallReply) -> list[tuple[str, str]]:
    return [
        ("Yarrowwall-Program", reply.program_id),
        ("Yarrowwall-Call", str(reply.call_number)),
        ("Yarrowwall-Attempt", str(reply.attempt)),
    ]


def _program_document(reply: ProgramReply) -> dict:
    return {
        "id": reply.program_id,
        "tenant": reply.tenant,
        "desk": reply.desk,
        "status": reply.status,
        "budget_tokens": reply.budget_tokens,
        "spent_tokens": reply.spent_tokens,
        "reserved_tokens": reply.reserved_tokens,
        "calls": [
            {
                "call": call.call_number,
                "status": call.status,
                "attempts": call.attempts,
                "engine": call.engine_id,
            }
            for call in reply.calls
        ],
    }


def _operator_document(reply: OperatorReply) -> dict:
    if reply.outcome is OperatorOutcome.DONE:
        return {
            "message": reply.message,
            "version": reply.version,
            "plan": reply.plan.model_dump() if reply.plan else None,
        }
    error = {"type": reply.outcome, "message": reply.message, "changed": reply.changed}
    return {"error": error}
