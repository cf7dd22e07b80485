"""The HTTP interface of a node, for callers and operators."""

import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import eventlet
import logbook

from yarrowwall.core.configuration.commands import (
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
from yarrowwall.core.configuration.models import CONFIGURATION, Intents
from yarrowwall.core.effects import ReplyToLookup
from yarrowwall.core.events import CallerGone, CallerRequest, LookupRequested, OperatorRequest
from yarrowwall.core.identifiers import make_program_id
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
from yarrowwall.runtime import sse
from yarrowwall.runtime.bodies import (
    MOST_BODY_BYTES,
    ChatCompletionBody,
    LookupBody,
    OpenProgramBody,
    ReplaceReplicaBody,
    parse_body,
)
from yarrowwall.runtime.callers import FinalReply
from yarrowwall.runtime.exceptions import InvalidRequestError

if TYPE_CHECKING:
    from yarrowwall.runtime.service import NodeService

DEFAULT_MAX_TOKENS = 512
#: Seconds a caller may take to send its body.
BODY_SECONDS = 30.0
LOOKUP_DEADLINE_SECONDS = 10.0
#: Longest wait for a final reply beyond the request's own deadline.
GRACE_SECONDS = 5.0

_log = logbook.Logger(__name__)
_JSON = ("Content-Type", "application/json")
_EVENT_STREAM = ("Content-Type", "text/event-stream")
_OK = "200 OK"
_BAD_REQUEST = "400 Bad Request"
_NOT_FOUND = "404 Not Found"
_CONFLICT = "409 Conflict"
_TOO_LARGE = "413 Content Too Large"
_UNAVAILABLE = "503 Service Unavailable"

_STATUS_BY_ERROR = {
    ErrorType.NOT_RUN: _UNAVAILABLE,
    ErrorType.OUTCOME_UNKNOWN: "502 Bad Gateway",
    ErrorType.BUDGET_EXHAUSTED: "402 Payment Required",
    ErrorType.PROGRAM_ENDED: "410 Gone",
    ErrorType.PROGRAM_UNKNOWN: _NOT_FOUND,
    ErrorType.CALL_CONFLICT: _CONFLICT,
    ErrorType.INVALID_REQUEST: _BAD_REQUEST,
}
_STATUS_BY_OUTCOME = {
    OperatorOutcome.DONE: _OK,
    OperatorOutcome.INVALID: _BAD_REQUEST,
    OperatorOutcome.UNKNOWN_PLAN: _NOT_FOUND,
    OperatorOutcome.STALE_PLAN: _CONFLICT,
    OperatorOutcome.NOT_RUN: _UNAVAILABLE,
    OperatorOutcome.OUTCOME_UNKNOWN: "502 Bad Gateway",
}

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class HttpApi:
    """The WSGI application of one node."""

    def __init__(self, service: "NodeService") -> None:
        self._service = service
        self._sequence = 0

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        exchange = _Exchange(environ, start_response)
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

    def _route(self, exchange: "_Exchange") -> tuple[str, Callable]:
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

    def _open_program(self, exchange: "_Exchange") -> Iterable[bytes]:
        body = parse_body(OpenProgramBody, exchange.body())
        program_id = make_program_id(self._service.settings.zone, uuid4().hex)
        request = OpenProgram(
            program_id, body.tenant, body.desk, self._budget(body), body.parent_program
        )
        return self._program(exchange, request, "201 Created")

    def _budget(self, body: OpenProgramBody) -> int:
        """Return the budget asked for, bounded by the operators' intent for the desk."""
        budgets = self._service.core.configuration().intents.budgets
        limit = next((item.tokens for item in budgets if item.desk == body.desk), None)
        if body.budget_tokens is None:
            return limit or self._service.settings.default_budget_tokens
        return min(body.budget_tokens, limit or body.budget_tokens)

    def _program(
        self, exchange: "_Exchange", request: Request, status: str = _OK
    ) -> Iterable[bytes]:
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
        """Return the final reply, passing over chunks."""
        while True:
            item = self._service.callers.next(request_id, self._patience())
            if item is None:
                return _no_answer()
            if isinstance(item, FinalReply):
                return item.reply

    def _patience(self) -> float:
        return self._service.settings.limits.request_deadline + GRACE_SECONDS

    def _complete(self, exchange: "_Exchange") -> Iterable[bytes]:
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

    def _call_request(self, exchange: "_Exchange", body: ChatCompletionBody) -> SubmitCall:
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

    def _stream(
        self, exchange: "_Exchange", request_id: str, request: SubmitCall
    ) -> Iterable[bytes]:
        """Answer with an event stream; a refusal before the first byte has its own status."""
        first = self._service.callers.next(request_id, self._patience())
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
        """Yield chunks as they come, then what is missing of the whole answer."""
        relayed = _RelayedStream()
        item = first
        try:
            while isinstance(item, StreamChunk):
                data = relayed.take(item)
                if data:
                    self._service.metrics.relayed_bytes.inc(len(data))
                    yield data
                item = self._service.callers.next(request_id, self._patience())
            reply = item.reply if item else _no_answer()
            yield relayed.ending(f"{request.program_id}/{request.call_number}", reply)
        finally:
            # Also when the caller has closed the connection: the call goes on.
            self._service.callers.close(request_id)
            self._service.post(CallerGone(request_id))

    # Lookups

    def _look_up(self, exchange: "_Exchange") -> Iterable[bytes]:
        body = parse_body(LookupBody, exchange.body())
        if not self._service.core.is_ready():
            return exchange.error_reply(_starting_or_stopping())
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
            return exchange.bytes(_OK, reply.body)
        if isinstance(reply, ReplyToLookup):
            reply = ErrorReply(ErrorType.NOT_RUN, reply.message, reply.retry_after)
        return exchange.error_reply(reply)

    def _lookup_priority(self, exchange: "_Exchange", kind: str) -> Priority:
        """Return urgent if the caller or the operators' intent says so."""
        lookups = self._service.core.configuration().intents.lookups
        if any(item.kind == kind and item.urgent for item in lookups):
            return Priority.URGENT
        return exchange.priority()

    # Operators

    def _apply_intents(self, exchange: "_Exchange") -> Iterable[bytes]:
        intents = parse_body(Intents, exchange.body())
        return self._command(exchange, ApplyIntents(uuid4().hex[:12], intents))

    def _amend(self, exchange: "_Exchange", plan_id: str) -> Iterable[bytes]:
        intents = parse_body(Intents, exchange.body())
        return self._command(exchange, AmendPlan(plan_id, uuid4().hex[:12], intents))

    def _replace_replica(self, exchange: "_Exchange", old_replica_id: str) -> Iterable[bytes]:
        body = parse_body(ReplaceReplicaBody, exchange.body())
        command = ReplaceReplica(old_replica_id, body.replica_id, body.node_id, body.zone)
        return self._command(exchange, command)

    def _command(self, exchange: "_Exchange", command: OperatorCommand) -> Iterable[bytes]:
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

    def _status(self, exchange: "_Exchange") -> Iterable[bytes]:
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

    def _health(self, exchange: "_Exchange") -> Iterable[bytes]:
        core = self._service.core
        if core.is_ready():
            return exchange.json(_OK, {"status": "ready"})
        status = "draining" if core.is_draining() else "starting"
        return exchange.json(_UNAVAILABLE, {"status": status})

    def _metrics(self, exchange: "_Exchange") -> Iterable[bytes]:
        core = self._service.core
        metrics = self._service.metrics
        metrics.loaded_programs.set(len(core.owners))
        metrics.waiting_calls.set(core.scheduler.waiting_count())
        metrics.configuration_version.set(core.documents.version(CONFIGURATION))
        exchange.start(_OK, [("Content-Type", "text/plain; version=0.0.4")])
        return [metrics.render()]


class _RelayedStream:
    """What of one attempt's stream the caller has got."""

    def __init__(self) -> None:
        self._attempt = 0
        self._sent_bytes = 0
        self._sent_characters = 0
        self._is_broken = False

    def take(self, chunk: StreamChunk) -> bytes:
        """Return the bytes of a chunk that the caller lacks.

        After a gap or with another attempt's bytes nothing more is relayed;
        the rest comes from the recorded answer.
        """
        if self._sent_bytes == 0:
            self._attempt = chunk.attempt
        end = chunk.offset + len(chunk.data)
        gap = chunk.offset > self._sent_bytes or chunk.attempt != self._attempt
        if self._is_broken or gap:
            self._is_broken = True
            return b""
        data = chunk.data[self._sent_bytes - chunk.offset :]
        if end > self._sent_bytes:
            self._sent_bytes = end
            self._sent_characters = chunk.text_length
        return data

    def ending(self, completion_id: str, reply: Any) -> bytes:
        """Return the rest of the answer and its final mark, or an error."""
        if not isinstance(reply, CallReply):
            return sse.error_event(reply)
        if self._sent_bytes and reply.attempt != self._attempt:
            message = "another attempt ran; ask for the call again to get its whole answer"
            return sse.error_event(ErrorReply(ErrorType.OUTCOME_UNKNOWN, message, 0.0))
        rest = reply.text[self._sent_characters :]
        missing = sse.chunk_event(completion_id, reply.model, rest) if rest else b""
        return missing + sse.final_events(completion_id, reply)


class _Exchange:
    """One HTTP request and its response."""

    def __init__(self, environ: Environ, start_response: StartResponse) -> None:
        self._environ = environ
        self._start_response = start_response
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.status = _OK

    # Request

    def body(self) -> bytes:
        """Return the request's body.

        :raises InvalidRequestError: if it is too large, late or cut short.
        """
        text = self._environ.get("CONTENT_LENGTH") or "0"
        if not text.isdigit():
            raise InvalidRequestError("Content-Length must be a number")
        length = int(text)
        if length > MOST_BODY_BYTES:
            raise InvalidRequestError(f"the body exceeds {MOST_BODY_BYTES} bytes", _TOO_LARGE)
        try:
            with eventlet.Timeout(BODY_SECONDS):
                data = self._environ["wsgi.input"].read(length)
        except (OSError, ValueError, eventlet.Timeout) as error:
            raise InvalidRequestError("the body did not arrive") from error
        if len(data) < length:
            raise InvalidRequestError("the body ended early")
        return data

    def header(self, name: str) -> str | None:
        """Return a request header."""
        return self._environ.get("HTTP_" + name.upper().replace("-", "_"))

    def positive_header(self, name: str) -> int:
        """Return a header that must be a positive whole number."""
        text = self.header(name) or ""
        if not text.isascii() or not text.isdigit() or not 0 < int(text) < 2**31:
            raise InvalidRequestError(f"{name} must be a whole number from 1")
        return int(text)

    def flag_header(self, name: str, default: bool) -> bool:
        """Return a header that must be ``true`` or ``false``."""
        text = self.header(name)
        if text is None:
            return default
        if text.lower() not in ("true", "false"):
            raise InvalidRequestError(f"{name} must be true or false")
        return text.lower() == "true"

    def priority(self) -> Priority:
        """Return the priority header; routine without it."""
        text = self.header("Yarrowwall-Priority") or Priority.ROUTINE
        try:
            return Priority(text)
        except ValueError as error:
            raise InvalidRequestError("Yarrowwall-Priority must be urgent or routine") from error

    # Response

    def start(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Begin the response."""
        self.status = status
        self._start_response(status, headers)

    def bytes(
        self, status: str, body: bytes, headers: Iterable[tuple[str, str]] = ()
    ) -> list[bytes]:
        """Answer with a JSON body that is encoded already."""
        self.start(status, [_JSON, ("Content-Length", str(len(body))), *headers])
        return [body]

    def json(
        self, status: str, document: dict, headers: Iterable[tuple[str, str]] = ()
    ) -> list[bytes]:
        """Answer with JSON."""
        return self.bytes(status, json.dumps(document).encode(), headers)

    def error(
        self, status: str, error_type: ErrorType, message: str, retry_after: float = 0.0
    ) -> list[bytes]:
        """Answer with an error."""
        headers = [("Retry-After", str(max(1, round(retry_after))))] if retry_after else []
        document = {"error": {"type": error_type, "message": message}}
        return self.json(status, document, headers)

    def refuse(self, error: InvalidRequestError) -> list[bytes]:
        """Answer a malformed request.

        The connection is closed: the rest of a body that was not read would
        otherwise be waited for before the next request.
        """
        document = {"error": {"type": ErrorType.INVALID_REQUEST, "message": str(error)}}
        return self.json(error.status, document, [("Connection", "close")])

    def error_reply(self, reply: ErrorReply) -> list[bytes]:
        """Answer with the error of a reply."""
        status = _STATUS_BY_ERROR[ErrorType(reply.error_type)]
        return self.error(status, reply.error_type, reply.message, reply.retry_after)


def _no_answer() -> ErrorReply:
    return ErrorReply(ErrorType.OUTCOME_UNKNOWN, "no answer came in time", 1.0)


def _starting_or_stopping() -> ErrorReply:
    return ErrorReply(ErrorType.NOT_RUN, "this node is starting or stopping", 1.0)


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
