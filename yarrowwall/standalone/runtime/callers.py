"""Open requests of callers at this gateway, by request id."""

from dataclasses import dataclass

from eventlet.queue import Empty, LightQueue

from yarrowwall.messages.peers import StreamChunk
from yarrowwall.messages.requests import Reply


@dataclass(frozen=True)
class FinalReply:
    """The last item of a request's queue."""

    reply: Reply


class CallerTable:
    """Holds a queue per request between the node and the greenlet that serves the caller."""

    def __init__(self) -> None:
        self._queues: dict[str, LightQueue] = {}

    def open(self, request_id: str) -> None:
        """Create the queue of a request."""
        self._queues[request_id] = LightQueue()

    def close(self, request_id: str) -> None:
        """Remove the queue of a request."""
        self._queues.pop(request_id, None)

    def put_chunk(self, chunk: StreamChunk) -> None:
        """Queue a stream chunk; ignored if the request is closed."""
        queue = self._queues.get(chunk.request_id)
        if queue is not None:
            queue.put(chunk)

    def put_reply(self, request_id: str, reply: object) -> None:
        """Queue the final reply; ignored if the request is closed."""
        queue = self._queues.get(request_id)
        if queue is not None:
            queue.put(FinalReply(reply))  # type: ignore[arg-type]

    def next(self, request_id: str, seconds: float) -> StreamChunk | FinalReply | None:
        """Return the next chunk or the final reply; None after the timeout in seconds."""
        try:
            return self._queues[request_id].get(timeout=seconds)
        except Empty:
            return None
