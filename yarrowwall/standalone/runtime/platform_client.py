"""HTTP clients of the platform's object service and of the record servers."""

import base64
from typing import Any
from urllib.parse import urlencode

import eventlet
import logbook

from yarrowwall.exceptions import RelayError
from yarrowwall.http_client import UNREADABLE, ask, json_request
from yarrowwall.messages.peers import Document
from yarrowwall.standalone.core.effects import ReadPlatform, SendLookup, WritePlatform
from yarrowwall.standalone.core.events import (
    LookupAnswered,
    PlatformDocument,
    PlatformRead,
    PlatformWritten,
    WriteOutcome,
)
from yarrowwall.standalone.runtime.ports import NodePort

_log = logbook.Logger(__name__)

READ_SECONDS = 3.0
#: Time after which the platform answers a watch request even without changes.
WATCH_SECONDS = 10.0
RETRY_SECONDS = 1.0

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409


def document_from_json(answer: Any) -> Document:
    """Decode an object from the JSON of a response."""
    return Document(answer["name"], int(answer["version"]), base64.b64decode(answer["body"]))


def _target(name: str) -> str:
    return f"/objects?{urlencode({'name': name})}"


class PlatformClient:
    """Executes the core's reads, writes and watches of platform objects."""

    def __init__(self, node: NodePort, address: str) -> None:
        self._node = node
        self._address = address
        self._watcher: eventlet.greenthread.GreenThread | None = None

    def read(self, effect: ReadPlatform) -> None:
        """Read an object in the background and post the result to the node."""
        eventlet.spawn_n(self._read, effect)

    def _read(self, effect: ReadPlatform) -> None:
        try:
            response = ask(json_request("GET", self._address, _target(effect.name)), READ_SECONDS)
            available = response.status in (_HTTP_OK, _HTTP_NOT_FOUND)
            found = response.status == _HTTP_OK
            document = document_from_json(response.json()) if found else None
        except (RelayError, *UNREADABLE):
            available, document = False, None
        self._node.post(PlatformRead(effect.operation_id, effect.name, available, document))

    def write(self, effect: WritePlatform) -> None:
        """Write an object by compare-and-swap in the background and post the outcome."""
        eventlet.spawn_n(self._write, effect)

    def _write(self, effect: WritePlatform) -> None:
        body = {
            "expected_version": effect.expected_version,
            "body": base64.b64encode(effect.body).decode(),
        }
        document = None
        try:
            request = json_request("PUT", self._address, _target(effect.name), body)
            response = ask(request, READ_SECONDS)
            if response.status == _HTTP_OK:
                outcome = WriteOutcome.DONE
                document = document_from_json(response.json())
            elif response.status == _HTTP_CONFLICT:
                outcome = WriteOutcome.CONFLICT
            else:
                outcome = WriteOutcome.UNKNOWN
        except (RelayError, *UNREADABLE):
            outcome = WriteOutcome.UNKNOWN
        self._node.post(PlatformWritten(effect.operation_id, outcome, document))

    def watch(self, enabled: bool) -> None:
        """Start (or restart) or stop watching all objects."""
        if self._watcher is not None:
            self._watcher.kill()
            self._watcher = None
        if enabled:
            self._watcher = eventlet.spawn(self._watch_loop)

    def _watch_loop(self) -> None:
        revision = 0
        while True:
            answer = self._next_changes(revision)
            if answer is None:
                eventlet.sleep(RETRY_SECONDS)
                continue
            try:
                revision = int(answer["revision"])
                for item in answer["objects"]:
                    self._post_document(item)
            except UNREADABLE as error:
                _log.warning("watch answer not readable", extra={"error": repr(error)})
                eventlet.sleep(RETRY_SECONDS)

    def _post_document(self, item: object) -> None:
        """Post a document; one that cannot be read costs no other of its answer."""
        try:
            document = document_from_json(item)
        except UNREADABLE as error:
            name = item.get("name") if isinstance(item, dict) else None
            _log.warning("object not readable", extra={"name": str(name), "error": repr(error)})
            return
        self._node.post(PlatformDocument(document))

    def _next_changes(self, revision: int) -> dict | None:
        try:
            target = f"/watch?after={revision}&seconds={WATCH_SECONDS}"
            response = ask(json_request("GET", self._address, target), WATCH_SECONDS + READ_SECONDS)
            return response.json() if response.status == _HTTP_OK else None
        except RelayError:
            return None


class RecordsClient:
    """Sends lookups to record servers."""

    def __init__(self, node: NodePort) -> None:
        self._node = node

    def send(self, effect: SendLookup) -> None:
        """Send a lookup in the background and post its answer, or None on failure."""
        eventlet.spawn_n(self._send, effect)

    def _send(self, effect: SendLookup) -> None:
        request = effect.request
        body = None
        try:
            query = urlencode({"kind": request.kind, "key": request.key})
            headers = {"X-Priority": request.priority}
            target = f"/records?{query}"
            response = ask(
                json_request("GET", effect.server_address, target, headers=headers), READ_SECONDS
            )
            if response.status == _HTTP_OK:
                body = response.body
        except RelayError:
            body = None
        self._node.post(LookupAnswered(request.request_id, body))
