"""HTTP client of the model engines."""

from urllib.parse import urlencode

import eventlet
import logbook

from yarrowwall.exceptions import ConnectError, RelayError
from yarrowwall.http_client import UNREADABLE, HttpExchange, HttpRequest, ask, json_request
from yarrowwall.messages.entries import ChatMessage
from yarrowwall.standalone.core.effects import (
    CancelAttempt,
    OrderEngine,
    ReleaseCache,
    StartAttempt,
)
from yarrowwall.standalone.core.events import (
    AttemptKey,
    CacheBlocksChanged,
    EngineCompleted,
    EngineFailed,
    EngineFault,
    EngineLoadReported,
    EngineOrdered,
    EngineReleased,
    EngineUnreachable,
)
from yarrowwall.standalone.runtime.ports import NodePort
from yarrowwall.standalone.runtime.sse import CompletionReader
from yarrowwall.standalone.runtime.streams import StreamTable

#: Read timeout of an engine's stream: without data for this long it counts as broken.
STREAM_SILENCE_SECONDS = 30.0
#: Timeout in seconds of a control request or a poll.
CONTROL_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.5

_log = logbook.Logger(__name__)
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_NOT_FOUND = 404


class EngineClient:
    """Executes the core's effects on engines: attempts, cancellations, releases, orders, polls."""

    def __init__(self, node: NodePort, streams: StreamTable) -> None:
        self._node = node
        self._streams = streams
        self._pollers: dict[str, eventlet.greenthread.GreenThread] = {}

    # Attempts

    def start(self, effect: StartAttempt) -> None:
        """Start or resume an attempt in the background and relay its stream."""
        self._streams.open(effect.key, effect.routes)
        eventlet.spawn_n(self._run_attempt, effect)

    def _run_attempt(self, effect: StartAttempt) -> None:
        try:
            exchange = HttpExchange(_stream_request(effect), STREAM_SILENCE_SECONDS)
        except ConnectError:
            self._fail(effect.key, self._fault_before_start(effect))
            return
        except RelayError as error:
            _log.info("engine gave no answer", extra=_extra(effect.key, error))
            self._fail(effect.key, EngineFault.BROKEN)
            return
        with exchange:
            if exchange.status != _HTTP_OK:
                self._refused(effect, exchange)
                return
            self._read_stream(effect.key, exchange)

    @staticmethod
    def _fault_before_start(effect: StartAttempt) -> EngineFault:
        """Return the fault for a failed connect.

        A new attempt has certainly not started; a resumed one may still run at the engine.
        """
        return EngineFault.BROKEN if effect.resume else EngineFault.NOT_STARTED

    def _refused(self, effect: StartAttempt, exchange: HttpExchange) -> None:
        retry_after = _retry_after(exchange)
        if effect.resume:
            known = exchange.status != _HTTP_NOT_FOUND
            fault = EngineFault.BROKEN if known else EngineFault.UNKNOWN_REQUEST
        elif exchange.status == _HTTP_CONFLICT:
            fault = EngineFault.BROKEN
        else:
            fault = EngineFault.NOT_STARTED
        self._fail(effect.key, fault, retry_after)

    def _read_stream(self, key: AttemptKey, exchange: HttpExchange) -> None:
        reader = CompletionReader()
        try:
            for data in exchange.pieces(STREAM_SILENCE_SECONDS):
                relayed = reader.feed(data)
                if relayed:
                    self._streams.relay(key, relayed, reader.text_length)
        except (RelayError, ValueError, KeyError) as error:
            _log.info("engine stream broke", extra=_extra(key, error))
        self._streams.close(key)
        if not reader.is_whole:
            self._fail(key, EngineFault.BROKEN)
            return
        self._node.post(
            EngineCompleted(
                key,
                reader.text,
                reader.finish_reason,
                reader.prompt_tokens,
                reader.cached_tokens,
                reader.completion_tokens,
            )
        )

    def _fail(self, key: AttemptKey, fault: EngineFault, retry_after: float = 0.0) -> None:
        self._node.post(EngineFailed(key, fault, retry_after))

    # Control

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel an attempt without retries; a lost request is covered by the cache release."""
        eventlet.spawn_n(self._post, effect.engine_address, "/v1/cancel", {"id": str(effect.key)})

    def release(self, effect: ReleaseCache) -> None:
        """Release a program's cache; the core retries until the engine confirms."""
        eventlet.spawn_n(self._release, effect)

    def _release(self, effect: ReleaseCache) -> None:
        body = {"program": effect.program_id, "through_call": effect.through_call}
        if self._post(effect.engine_address, "/v1/release", body) is not None:
            self._node.post(EngineReleased(effect.program_id, effect.engine_id))

    def order(self, effect: OrderEngine) -> None:
        """Send an engine its models with the term that fences older orders."""
        eventlet.spawn_n(self._order, effect)

    def _order(self, effect: OrderEngine) -> None:
        body = {"term": effect.term, "models": list(effect.models)}
        answer = self._post(effect.engine_address, "/orders", body)
        if answer is not None:
            accepted = bool(answer["accepted"])
            event = EngineOrdered(effect.engine_id, effect.term, effect.models, accepted)
            self._node.post(event)

    def _post(self, address: str, path: str, body: dict) -> dict | None:
        """Return the JSON response to a POST; None if it failed."""
        try:
            response = ask(json_request("POST", address, path, body), CONTROL_SECONDS)
            return response.json() if response.status in (_HTTP_OK, _HTTP_CONFLICT) else None
        except RelayError:
            return None

    # Reports

    def poll(self, engine_id: str, address: str, enabled: bool) -> None:
        """Start or stop polling an engine for its load and cache events."""
        poller = self._pollers.pop(engine_id, None)
        if poller is not None:
            poller.kill()
        if enabled:
            self._pollers[engine_id] = eventlet.spawn(self._poll_loop, engine_id, address)

    def _poll_loop(self, engine_id: str, address: str) -> None:
        sequence = 0
        while True:
            answer = self._get_load(address, sequence)
            if answer is None:
                self._node.post(EngineUnreachable(engine_id))
            else:
                sequence = self._report_all(engine_id, answer, sequence)
            eventlet.sleep(POLL_INTERVAL_SECONDS)

    def _report_all(self, engine_id: str, answer: dict, sequence: int) -> int:
        """Report an answer to a poll; one that cannot be read counts as no answer."""
        try:
            self._report(engine_id, answer)
            return self._report_cache_events(engine_id, answer["events"], sequence)
        except UNREADABLE as error:
            extra = {"engine": engine_id, "error": repr(error)}
            _log.warning("load report not readable", extra=extra)
            self._node.post(EngineUnreachable(engine_id))
            return sequence

    def _get_load(self, address: str, sequence: int) -> dict | None:
        try:
            target = f"/load?{urlencode({'after': sequence})}"
            response = ask(json_request("GET", address, target), CONTROL_SECONDS)
            return response.json() if response.status == _HTTP_OK else None
        except RelayError:
            return None

    def _report(self, engine_id: str, answer: dict) -> None:
        # The engine reports the age of its figures; convert it to this node's clock.
        made_at = self._node.now() - float(answer["age_seconds"])
        self._node.post(
            EngineLoadReported(
                engine_id,
                int(answer["running"]),
                int(answer["queued"]),
                int(answer["queued_prompt_tokens"]),
                int(answer["capacity"]),
                tuple(answer["models"]),
                int(answer["orders_term"]),
                made_at,
                bool(answer["leaving"]),
            )
        )

    def _report_cache_events(self, engine_id: str, events: list[dict], sequence: int) -> int:
        for event in events:
            sequence = int(event["sequence"])
            changed = CacheBlocksChanged(
                engine_id, sequence, tuple(event["stored"]), tuple(event["evicted"])
            )
            self._node.post(changed)
        return sequence


def _message_document(message: ChatMessage) -> dict:
    return {"role": message.role, "content": message.content}


def _extra(key: AttemptKey, error: Exception) -> dict[str, str]:
    return {"attempt": str(key), "error": str(error)}


def _stream_request(effect: StartAttempt) -> HttpRequest:
    """Return the request that starts or resumes an attempt."""
    address = effect.engine_address
    if effect.resume:
        return json_request("GET", address, f"/v1/requests?{urlencode({'id': str(effect.key)})}")
    headers = _request_headers(effect)
    return json_request("POST", address, "/v1/chat/completions", _document(effect), headers)


def _document(effect: StartAttempt) -> dict:
    return {
        "model": effect.model,
        "messages": [_message_document(message) for message in effect.prompt],
        "max_tokens": effect.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }


def _request_headers(effect: StartAttempt) -> dict[str, str]:
    return {
        "X-Request-Id": str(effect.key),
        "X-Program": effect.key.program_id,
        "X-Call-Number": str(effect.key.call_number),
        "X-Priority": effect.priority.value,
        "X-Hold": "true" if effect.hold else "false",
    }


def _retry_after(exchange: HttpExchange) -> float:
    try:
        return float(exchange.header("Retry-After") or 0.0)
    except ValueError:
        return 0.0
