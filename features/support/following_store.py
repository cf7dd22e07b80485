"""Stand-in for the platform store that the product's own client uses, on a virtual clock.

It is reached through stand-in connections, to which its faults are applied. So timeouts, pauses and
retries are those of the product.
"""

import json
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import eventlet
from eventlet.event import Event

from features.support.virtual_time import now_s
from yarrowwall.exceptions import (
    AnswerTimeoutError,
    ConnectError,
    ConnectionBrokenError,
    ConnectTimeoutError,
)
from yarrowwall.model import ResponseHead

#: Seconds until an answer of a healthy store has arrived.
ANSWER_S = 0.004
#: Age of the answer to a list that may be stale.
STALE_S = 3.0
_OK, _NOT_FOUND, _GONE, _BUSY = 200, 404, 410, 503


class Outage(Enum):
    """How an unavailable store treats a call."""

    SILENT = "silent"
    RESET = "reset"
    BUSY = "busy"


class _Copy(NamedTuple):
    """The objects of a kind at an earlier time."""

    at_s: float
    revision: int
    items: list[dict[str, Any]]


class StoreStandIn:
    """Objects, the history of their changes, and the watches that wait for changes."""

    def __init__(self) -> None:
        self.revision = 1
        self._items: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: dict[str, deque[tuple[int, dict[str, Any]]]] = {}
        self._dropped: dict[str, int] = {}
        # Lists, since the order of a set is not reproducible.
        self._watches: dict[str, list[Event]] = {}
        self.outage: Outage | None = None
        self.blocked: dict[str, Outage] = {}
        self.slow_s = 0.0
        self.calls = 0
        self._copies: dict[str, list[_Copy]] = {}
        self._withholds_changes = False
        self._connections: dict[StandInConnection, None] = {}

    # Writes

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> int:
        """Write an object; return its revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision}
        document = {"meta": meta, "spec": spec, "status": {}}
        self._items.setdefault(kind, {})[name] = document
        self._note(kind, {"object": document, "gone": False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        document = self._items.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            self._note(kind, {"object": document, "gone": True})

    def _note(self, kind: str, event: dict[str, Any]) -> None:
        self._history.setdefault(kind, deque()).append((self.revision, event))
        items = list(self._items.get(kind, {}).values())
        self._copies.setdefault(kind, []).append(_Copy(now_s(), self.revision, items))
        if not self._withholds_changes:
            self._wake(kind)

    def _wake(self, kind: str) -> None:
        for waiting in self._watches.pop(kind, []):
            if not waiting.ready():
                waiting.send(None)

    # Faults

    def begin_outage(self, how: Outage) -> None:
        """Begin an outage; waiting watches are lost, silently or with an error."""
        self.outage = how
        for connection in list(self._connections):
            connection.apply_outage(how)

    def end_outage(self) -> None:
        """End the outage; calls that were lost in it stay lost."""
        self.outage = None

    def block(self, node: str, how: Outage) -> None:
        """Make the store unavailable to one machine."""
        self.blocked[node] = how
        for connection in list(self._connections):
            if connection.node == node:
                connection.apply_outage(how)

    def unblock(self, node: str) -> None:
        """Make the store available to a machine again."""
        self.blocked.pop(node, None)

    def withhold_changes(self) -> None:
        """Withhold changes from watches, as a store does before it drops its history."""
        self._withholds_changes = True

    def drop_history(self) -> None:
        """Drop the history, and cut the connections of waiting watches."""
        self._withholds_changes = False
        for kind, history in self._history.items():
            history.clear()
            self._dropped[kind] = self.revision
        for connection in list(self._connections):
            if connection.is_watching:
                connection.apply_outage(Outage.RESET)

    # Answers

    def outage_of(self, node: str) -> Outage | None:
        """Return the outage that affects a machine; None if there is none."""
        return self.outage or self.blocked.get(node)

    def add_connection(self, connection: "StandInConnection") -> None:
        """Add a connection."""
        self._connections[connection] = None

    def remove_connection(self, connection: "StandInConnection") -> None:
        """Remove a connection."""
        self._connections.pop(connection, None)

    def answer(self, target: str) -> tuple[int, dict[str, Any]]:
        """Return the status and content of a read; a watch waits for a change."""
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        names = [unquote(part) for part in parts.path.split("/")[2:]]
        kind = names[0]
        if len(names) > 1:
            document = self._items.get(kind, {}).get(names[1])
            return (_OK, document) if document is not None else (_NOT_FOUND, {})
        if "stale" in query:
            return _OK, self._copy(kind)
        if "watch" not in query:
            items = list(self._items.get(kind, {}).values())
            return _OK, {"items": items, "at": self.revision}
        return self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000.0)

    def _copy(self, kind: str) -> dict[str, Any]:
        old = [copy for copy in self._copies.get(kind, []) if copy.at_s <= now_s() - STALE_S]
        if not old:
            return {"items": [], "at": 1}
        return {"items": old[-1].items, "at": old[-1].revision}

    def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, dict[str, Any]]:
        end_s = now_s() + wait_s
        while True:
            if since < self._dropped.get(kind, 0):
                return _GONE, {}
            events = [event for at, event in self._history.get(kind, ()) if at > since]
            left_s = end_s - now_s()
            if self._withholds_changes:
                events = []
            if events or left_s <= 0.0:
                at = since if self._withholds_changes else self.revision
                return _OK, {"events": events, "at": at}
            waiting = Event()
            self._watches.setdefault(kind, []).append(waiting)
            waiting.wait(left_s)


class StandInConnection:
    """A connection to the stand-in with the interface of the product's ``ServerConnection``."""

    is_reusable = True

    def __init__(self, store: StoreStandIn, node: str, timeout: float) -> None:
        self.node = node
        self.is_watching = False
        self._store = store
        self._answer: Event | None = None
        self._is_silent = False
        self._is_closed = False
        outage = store.outage_of(node)
        if outage is Outage.SILENT:
            eventlet.sleep(timeout)
            raise ConnectTimeoutError("no connection in time")
        eventlet.sleep(ANSWER_S / 2)
        if outage is Outage.RESET:
            raise ConnectError("refused")
        store.add_connection(self)

    def has_no_pending_input(self) -> bool:
        """Return whether it may still be used."""
        return not self._is_closed

    def apply_outage(self, how: Outage) -> None:
        """Apply an outage: lose all later answers, or break the connection."""
        if how is Outage.SILENT:
            self._is_silent = True
        elif how is Outage.RESET or self.is_watching:
            self.interrupt()

    def send(self, data: bytes, timeout: float) -> None:
        """Send a request."""
        target = data.split(b" ", 2)[1].decode()
        self._store.calls += 1
        self.is_watching = "watch=" in target
        self._answer = Event()
        eventlet.spawn_n(self._reply, target, self._answer)

    def _reply(self, target: str, answer: Event) -> None:
        eventlet.sleep(ANSWER_S / 2)
        if self._is_silent or self._store.outage_of(self.node) is Outage.SILENT:
            self._is_silent = True
            return
        if self._store.outage_of(self.node) is Outage.BUSY:
            found = (_BUSY, {})
        else:
            found = self._store.answer(target)
        eventlet.sleep(ANSWER_S / 2 + self._store.slow_s)
        if not self._is_silent and not answer.ready():
            answer.send(found)

    def read_head(self, timeout: float) -> ResponseHead:
        """Return the head of the answer."""
        assert self._answer is not None
        ready = self._answer.wait(timeout) if not self._answer.ready() else self._answer.wait()
        if not self._answer.ready():
            raise AnswerTimeoutError("no answer in time")
        if ready is None:
            raise ConnectionBrokenError("closed before the answer")
        self._found: tuple[int, dict[str, Any]] = ready
        return ResponseHead(ready[0], ())

    def read_all(self, timeout: float, count_bytes: Callable[[int], None]) -> bytes:
        """Return the body."""
        body = json.dumps(self._found[1]).encode()
        count_bytes(len(body))
        return body

    def finish_response(self) -> None:
        """Finish reading the answer."""
        self.is_watching = False

    def interrupt(self) -> None:
        """Close the connection while it is being read."""
        self._is_closed = True
        self._store.remove_connection(self)
        if self._answer is not None and not self._answer.ready():
            self._answer.send(None)

    def close(self) -> None:
        """Close the connection."""
        self._is_closed = True
        self._store.remove_connection(self)
