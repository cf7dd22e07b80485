"""Server-sent events of chat completions: parses engines' streams, encodes own events."""

import json
from dataclasses import dataclass, field

from yarrowwall.messages.requests import CallReply, ErrorReply

DONE_EVENT = b"data: [DONE]\n\n"
_SEPARATOR = b"\n\n"
_PREFIX = b"data: "


@dataclass
class CompletionReader:
    """Parses the event stream of an engine's chat completion.

    :ivar parts: Text pieces received so far.
    :ivar finish_reason: Set by the last event.
    :ivar is_whole: True once the stream has ended after an event with a finish reason.
    """

    parts: list[str] = field(default_factory=list)
    text_length: int = 0
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    is_whole: bool = False
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Parse the next bytes of the stream.

        :returns: The bytes to relay: complete events except the final ones.
        :raises ValueError: If an event isn't valid JSON.
        """
        *events, self._rest = (self._rest + data).split(_SEPARATOR)
        relayed = [event + _SEPARATOR for event in events if self._take(event)]
        return b"".join(relayed)

    def _take(self, event: bytes) -> bool:
        """Parse one event and return whether it may be relayed unchanged."""
        payload = event.removeprefix(_PREFIX)
        if payload == b"[DONE]":
            self.is_whole = bool(self.finish_reason)
            return False
        document = json.loads(payload)
        usage = document.get("usage")
        if usage:
            self._take_usage(usage)
        is_last = bool(usage)
        for choice in document.get("choices", []):
            content = choice.get("delta", {}).get("content") or ""
            self.parts.append(content)
            self.text_length += len(content)
            if choice.get("finish_reason"):
                self.finish_reason = choice["finish_reason"]
                is_last = True
        return not is_last

    def _take_usage(self, usage: dict) -> None:
        self.prompt_tokens = int(usage["prompt_tokens"])
        self.completion_tokens = int(usage["completion_tokens"])
        details = usage.get("prompt_tokens_details") or {}
        self.cached_tokens = int(details.get("cached_tokens", 0))

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(self.parts)


def _event(document: dict) -> bytes:
    return _PREFIX + json.dumps(document).encode() + _SEPARATOR


def chunk_event(completion_id: str, model: str, content: str) -> bytes:
    """Return an event with a piece of the answer's text."""
    return _event(_chunk(completion_id, model, {"role": "assistant", "content": content}, None))


def final_events(completion_id: str, reply: CallReply) -> bytes:
    """Return the events that end a complete answer."""
    document = _chunk(completion_id, reply.model, {}, reply.finish_reason)
    document["usage"] = usage_document(reply)
    return _event(document) + DONE_EVENT


def error_event(error: ErrorReply) -> bytes:
    """Return the event that ends a stream with an error."""
    return _event({"error": {"type": error.error_type, "message": error.message}})


def _chunk(completion_id: str, model: str, delta: dict, finish_reason: str | None) -> dict:
    return {
        "id": completion_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


def usage_document(reply: CallReply) -> dict:
    """Return the ``usage`` object of an answer."""
    return {
        "prompt_tokens": reply.prompt_tokens,
        "completion_tokens": reply.completion_tokens,
        "total_tokens": reply.prompt_tokens + reply.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": reply.cached_tokens},
    }


def completion_document(reply: CallReply) -> dict:
    """Return the body of a response that isn't streamed."""
    message = {"role": "assistant", "content": reply.text}
    choice = {"index": 0, "message": message, "finish_reason": reply.finish_reason}
    return {
        "id": f"{reply.program_id}/{reply.call_number}",
        "object": "chat.completion",
        "created": 0,
        "model": reply.model,
        "choices": [choice],
        "usage": usage_document(reply),
    }
