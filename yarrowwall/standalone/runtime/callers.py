"""Callers' open connections on this gateway, by request id."""

from dataclasses import dataclass

from eventlet.queue import Empty, LightQueue

from yarrowwall.messages.peers import StreamChunk
from yarrowwall.messages.requests import Reply


@dataclass(frozen=True)
class FinalReply:
    """The last thing a connection gets."""

    reply: Reply


class CallerTable:
    """Queues between the node and the greenlets that serve callers."""

    def __init__(self) -> None:
        self._queues: dict[str, LightQueue] = {}

    def open(self, request_id: str) -> None:
        """Expect chunks and a reply for a request."""
        self._queues[request_id] = LightQueue()

    def close(self, request_id: str) -> None:
        """Expect nothing more."""
        self._queues.pop(request_id, None)

    def put_chunk(self, chunk: StreamChunk) -> None:
        """Pass on a piece of a stream; nobody may be waiting any more."""
        queue = self._queues.get(chunk.request_id)
        if queue is not None:
            queue.put(chunk)

    def put_reply(self, request_id: str, reply: object) -> None:
        """Pass on the final reply."""
        queue = self._queues.get(request_id)
        if queue is not None:
            queue.put(FinalReply(reply))  # type: ignore[arg-type]

    def next(self, request_id: str, seconds: float) -> StreamChunk | FinalReply | None:
        """Wait for what comes next; None after so many seconds."""
        try:
            return self._queues[request_id].get(timeout=seconds)
        except Empty:
            return None
