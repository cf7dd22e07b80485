"""Stand-in for a model engine: an OpenAI-compatible streaming API over the engine model."""

import json
import socket
import time
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import asdict

import eventlet

from yarrowwall.messages.entries import ChatMessage, Priority
from yarrowwall.standalone.core.program.prompts import prompt_blocks
from yarrowwall.standalone.core.program.state import BYTES_PER_TOKEN
from yarrowwall.standalone.models.engine import (
    Admission,
    EngineModel,
    EngineParameters,
    EngineRequest,
    LoadReport,
    Progress,
)
from yarrowwall.standalone.standins.web import Call, StandInServer

#: Seconds between checks of a running request for new tokens.
TICK_SECONDS = 0.01
RETRY_AFTER_SECONDS = "1"

_STATUS_BY_ADMISSION = {
    Admission.DUPLICATE: "409 Conflict",
    Admission.FENCED: "410 Gone",
    Admission.NO_MODEL: "404 Not Found",
    Admission.LEAVING: "503 Service Unavailable",
    Admission.FULL: "503 Service Unavailable",
}


class EngineStandIn:
    """An engine process.

    :param speed: Speed of the model's clock relative to real time.
    :param report_lag: Age of the load reports in seconds.
    :param event_gap: Cache events whose sequence number is a multiple of this are omitted; 0 omits
        none.
    :ivar starts: Ids of accepted requests, in order.
    """

    def __init__(
        self,
        listener: socket.socket,
        models: tuple[str, ...],
        parameters: EngineParameters,
        speed: float = 1.0,
        report_lag: float = 0.5,
        event_gap: int = 7,
    ) -> None:
        self._speed = speed
        self._report_lag = report_lag
        self._event_gap = event_gap
        self._origin = time.monotonic()
        self.model = EngineModel(parameters, models, 0.0)
        self._reports: deque[tuple[float, LoadReport]] = deque()
        self.starts: list[str] = []
        self.server = StandInServer(
            listener,
            {
                ("POST", "/v1/chat/completions"): self._complete,
                ("GET", "/v1/requests"): self._resume,
                ("POST", "/v1/cancel"): self._cancel,
                ("POST", "/v1/release"): self._release,
                ("GET", "/load"): self._load,
                ("POST", "/orders"): self._order,
                ("POST", "/leave"): self._leave,
                ("GET", "/state"): self._state,
            },
        )

    def _now(self) -> float:
        """Advance the model to the current time and return its clock."""
        now = (time.monotonic() - self._origin) * self._speed
        self.model.advance(now)
        return now

    def _complete(self, call: Call) -> Iterable[bytes]:
        body = call.body()
        messages = [ChatMessage(item["role"], item["content"]) for item in body["messages"]]
        request = EngineRequest(
            call.header("X-Request-Id") or f"direct/{len(self.model.requests)}",
            call.header("X-Program"),
            int(call.header("X-Call-Number", "0")),
            body["model"],
            prompt_blocks(messages),
            int(body.get("max_tokens") or 64),
            Priority(call.header("X-Priority", Priority.ROUTINE)),
            call.header("X-Hold") == "true",
        )
        admission = self.model.submit(self._now(), request)
        if admission is not Admission.ACCEPTED:
            headers = [("Retry-After", RETRY_AFTER_SECONDS)]
            return call.json({"error": admission}, _STATUS_BY_ADMISSION[admission], headers)
        self.starts.append(request.request_id)
        return call.stream(self._events(self.model.requests[request.request_id]))

    def _resume(self, call: Call) -> Iterable[bytes]:
        progress = self.model.resume(call.query("id"))
        if progress is None or progress.cancelled:
            return call.json({"error": "no such request"}, "404 Not Found")
        return call.stream(self._events(progress))

    def _events(self, progress: Progress) -> Iterator[bytes]:
        """Yield a request's events from its first token until it finishes or is cancelled."""
        sent = 0
        while True:
            self._now()
            if progress.cancelled:
                return
            tokens = self.model.tokens_out(progress)
            if tokens > sent:
                yield b"".join(self._token_events(progress, sent, tokens))
                sent = tokens
            if progress.finished_at is not None:
                yield self._last_events(progress)
                return
            eventlet.sleep(TICK_SECONDS)

    def _token_events(self, progress: Progress, start: int, end: int) -> Iterator[bytes]:
        for token in range(start, end):
            text = progress.text[token * BYTES_PER_TOKEN : (token + 1) * BYTES_PER_TOKEN]
            yield self._event(progress, {"content": text}, None)

    @staticmethod
    def _event(progress: Progress, delta: dict, finish_reason: str | None, **more: object) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        document = {
            "id": progress.request.request_id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": progress.request.model,
            "choices": [choice],
            **more,
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def _last_events(self, progress: Progress) -> bytes:
        usage = {
            "prompt_tokens": progress.prompt_tokens(),
            "completion_tokens": progress.output_tokens,
            "total_tokens": progress.prompt_tokens() + progress.output_tokens,
            "prompt_tokens_details": {"cached_tokens": progress.cached_tokens},
        }
        return self._event(progress, {}, "stop", usage=usage) + b"data: [DONE]\n\n"

    def _cancel(self, call: Call) -> Iterable[bytes]:
        self._now()
        self.model.cancel(call.body()["id"])
        return call.json({})

    def _release(self, call: Call) -> Iterable[bytes]:
        body = call.body()
        self._now()
        self.model.release(body["program"], int(body["through_call"]))
        return call.json({})

    def _order(self, call: Call) -> Iterable[bytes]:
        body = call.body()
        accepted = self.model.order(int(body["term"]), tuple(body["models"]))
        return call.json({"accepted": accepted}, "200 OK" if accepted else "409 Conflict")

    def _leave(self, call: Call) -> Iterable[bytes]:
        self.model.is_leaving = True
        return call.json({})

    def _load(self, call: Call) -> Iterable[bytes]:
        """Return a delayed load report and the cache events, some of them omitted."""
        self._now()
        report, age = self._lagging_report()
        after = int(call.query("after", "0"))
        events = [
            asdict(event)
            for event in self.model.cache.events_after(after)
            if not self._event_gap or event.sequence % self._event_gap
        ]
        return call.json({**asdict(report), "age_seconds": age, "events": events})

    def _lagging_report(self) -> tuple[LoadReport, float]:
        now = time.monotonic()
        self._reports.append((now, self.model.load()))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._report_lag:
            self._reports.popleft()
        made_at, report = self._reports[0]
        # The leaving state and accepted orders are reported without delay.
        current = self.model.load()
        fresh = LoadReport(
            report.running,
            report.queued,
            report.queued_prompt_tokens,
            report.capacity,
            current.models,
            current.orders_term,
            current.leaving,
        )
        return fresh, now - made_at

    def _state(self, call: Call) -> Iterable[bytes]:
        """Return the accepted requests and the programs with held cache, for tests."""
        self._now()
        held = self.model.cache.held_programs()
        return call.json({"starts": self.starts, "held": held})
