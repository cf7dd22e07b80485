"""Stand-in for the platform's object service, with switches for failures."""

import base64
import json
import socket
from collections.abc import Iterable

import eventlet

from yarrowwall.messages.peers import Document
from yarrowwall.standalone.models.platform import PlatformModel
from yarrowwall.standalone.standins.web import Call, StandInServer

#: Seconds between checks for changes while a watch is open.
WATCH_TICK_SECONDS = 0.02
MACHINES_OBJECT = "machines"


def document_json(document: Document) -> dict:
    """Encode an object for a JSON response."""
    return {
        "name": document.name,
        "version": document.version,
        "body": base64.b64encode(document.body).decode(),
    }


class PlatformStandIn:
    """The platform's process.

    Switches (``POST /switches``): ``down``, ``slow_seconds`` (delay of each response) and
    ``lose_answers`` (number of next writes that are applied but answered with an error).
    """

    def __init__(self, listener: socket.socket) -> None:
        self.model = PlatformModel()
        self._down = False
        self._slow_seconds = 0.0
        self._lose_answers = 0
        self.server = StandInServer(
            listener,
            {
                ("GET", "/objects"): self._read,
                ("PUT", "/objects"): self._write,
                ("GET", "/watch"): self._watch,
                ("POST", "/switches"): self._switch,
            },
        )

    def set_object(self, name: str, document: dict) -> None:
        """Write an object regardless of its version."""
        current = self.model.read(name)
        version = current.version if current else 0
        self.model.write(name, version, json.dumps(document).encode())

    def _unavailable(self, call: Call) -> Iterable[bytes] | None:
        eventlet.sleep(self._slow_seconds)
        return call.json({"error": "down"}, "503 Service Unavailable") if self._down else None

    def _read(self, call: Call) -> Iterable[bytes]:
        refused = self._unavailable(call)
        if refused is not None:
            return refused
        document = self.model.read(call.query("name"))
        if document is None:
            return call.json({"error": "no such object"}, "404 Not Found")
        return call.json(document_json(document))

    def _write(self, call: Call) -> Iterable[bytes]:
        body = call.body()
        refused = self._unavailable(call)
        if refused is not None:
            return refused
        data = base64.b64decode(body["body"])
        result = self.model.write(call.query("name"), int(body["expected_version"]), data)
        if self._lose_answers > 0:
            self._lose_answers -= 1
            return call.json({"error": "answer lost"}, "504 Gateway Timeout")
        if not result.applied or result.document is None:
            return call.json({"error": "version"}, "409 Conflict")
        return call.json(document_json(result.document))

    def _watch(self, call: Call) -> Iterable[bytes]:
        """Respond with the changes after a revision, once there are any or the time is over."""
        after = int(call.query("after", "0"))
        ticks = int(float(call.query("seconds", "10")) / WATCH_TICK_SECONDS)
        for _ in range(ticks):
            if self._down or self.model.revision > after:
                break
            eventlet.sleep(WATCH_TICK_SECONDS)
        refused = self._unavailable(call)
        if refused is not None:
            return refused
        changes = self.model.objects() if after == 0 else self.model.changes_after(after)
        objects = [document_json(document) for document in changes]
        return call.json({"revision": self.model.revision, "objects": objects})

    def _switch(self, call: Call) -> Iterable[bytes]:
        body = call.body()
        self._down = bool(body.get("down", self._down))
        self._slow_seconds = float(body.get("slow_seconds", self._slow_seconds))
        self._lose_answers = int(body.get("lose_answers", self._lose_answers))
        return call.json({})
