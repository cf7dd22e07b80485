"""Relaying of engines' event streams to callers.

Bytes are forwarded unchanged as they arrive. Only the last event, which marks the answer as
complete, is held back until the core has recorded which attempt's answer counts.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.messages.peers import StreamChunk
from yarrowwall.standalone.core.effects import StreamRoute
from yarrowwall.standalone.core.events import AttemptKey

#: Delivers a chunk to the gateway that holds the caller's connection.
SendChunk = Callable[[str, StreamChunk], None]


@dataclass
class _Relay:
    routes: list[StreamRoute]
    sent: bytearray = field(default_factory=bytearray)
    text_length: int = 0


class StreamTable:
    """Tracks the attempts whose streams this node relays and the callers of each."""

    def __init__(self, send: SendChunk) -> None:
        self._send = send
        self._relays: dict[AttemptKey, _Relay] = {}

    def open(self, key: AttemptKey, routes: tuple[StreamRoute, ...]) -> None:
        """Start to relay an attempt, or restart from its first byte and keep the known routes."""
        known = self._relays.get(key)
        merged = list(dict.fromkeys([*(known.routes if known else []), *routes]))
        self._relays[key] = _Relay(merged)

    def attach(self, key: AttemptKey, route: StreamRoute) -> None:
        """Add a caller to a relayed attempt and send it all bytes relayed so far."""
        relay = self._relays.get(key)
        if relay is None:
            return
        relay.routes.append(route)
        if relay.sent:
            chunk = StreamChunk(
                route.request_id, key.attempt, 0, relay.text_length, bytes(relay.sent)
            )
            self._send(route.gateway, chunk)

    def relay(self, key: AttemptKey, data: bytes, text_length: int) -> None:
        """Forward bytes to every caller of an attempt.

        :param text_length: Characters of the answer's text up to the end of these bytes.
        """
        relay = self._relays.get(key)
        if relay is None:
            return
        offset = len(relay.sent)
        relay.sent += data
        relay.text_length = text_length
        for route in relay.routes:
            chunk = StreamChunk(route.request_id, key.attempt, offset, text_length, data)
            self._send(route.gateway, chunk)

    def close(self, key: AttemptKey) -> None:
        """Stop relaying an attempt."""
        self._relays.pop(key, None)
