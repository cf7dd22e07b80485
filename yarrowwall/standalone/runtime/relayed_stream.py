"""Completion of a relayed stream from the recorded answer."""

from typing import Any

from yarrowwall.messages.peers import StreamChunk
from yarrowwall.messages.requests import CallReply, ErrorReply, ErrorType
from yarrowwall.standalone.runtime import sse


class RelayedStream:
    """Tracks which bytes of an attempt's stream were sent to a caller."""

    def __init__(self) -> None:
        self._attempt = 0
        self._sent_bytes = 0
        self._sent_characters = 0
        self._is_broken = False

    def take(self, chunk: StreamChunk) -> bytes:
        """Return the bytes of a chunk that the caller doesn't have yet.

        After a gap or a chunk of another attempt nothing more is relayed;
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
        """Return the missing text and the final events of the answer, or an error event."""
        if not isinstance(reply, CallReply):
            return sse.error_event(reply)
        if self._sent_bytes and reply.attempt != self._attempt:
            message = "another attempt ran; ask for the call again to get its whole answer"
            return sse.error_event(ErrorReply(ErrorType.OUTCOME_UNKNOWN, message, 0.0))
        rest = reply.text[self._sent_characters :]
        missing = sse.chunk_event(completion_id, reply.model, rest) if rest else b""
        return missing + sse.final_events(completion_id, reply)
