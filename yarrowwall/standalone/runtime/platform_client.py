"""HTTP clients of the platform's object service and of the record servers."""

import base64
from urllib.parse import urlencode

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

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

READ_SECONDS = 3.0
#: Time after which the platform answers a watch request even without changes.
WATCH_SECONDS = 10.0
RETRY_SECONDS = 1.0

_TIMEOUT = urllib3.Timeout(connect=1.0, read=READ_SECONDS)
_WATCH_TIMEOUT = urllib3.Timeout(connect=1.0, read=WATCH_SECONDS + READ_SECONDS)
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409


def document_from_json(answer: dict) -> Document:
    """Decode an object from the JSON of a response."""
    return Document(answer["name"], int(answer["version"]), base64.b64decode(answer["body"]))


class PlatformClient:
    """Executes the core's reads, writes and watches of platform objects."""

    def __init__(self, node: NodePort, address: str) -> None:
        self._node = node
        self._base = f"http://{address}"
        self._pool = urllib3.PoolManager(maxsize=16, retries=False, timeout=_TIMEOUT)
        self._watcher: eventlet.greenthread.GreenThread | None = None

    def read(self, effect: ReadPlatform) -> None:
        """Read an object in the background and post the result to the node."""
        eventlet.spawn_n(self._read, effect)

    def _read(self, effect: ReadPlatform) -> None:
        try:
            url = f"{self._base}/objects?{urlencode({'name': effect.name})}"
            response = self._pool.request("GET", url)
            available = response.status in (_HTTP_OK, _HTTP_NOT_FOUND)
            found = response.status == _HTTP_OK
            document = document_from_json(response.json()) if found else None
        except (HTTPError, OSError, ValueError, KeyError):
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
            url = f"{self._base}/objects?{urlencode({'name': effect.name})}"
            response = self._pool.request("PUT", url, json=body)
            if response.status == _HTTP_OK:
                outcome = WriteOutcome.DONE
                document = document_from_json(response.json())
            elif response.status == _HTTP_CONFLICT:
                outcome = WriteOutcome.CONFLICT
            else:
                outcome = WriteOutcome.UNKNOWN
        except (HTTPError, OSError, ValueError, KeyError):
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
            revision = int(answer["revision"])
            for item in answer["objects"]:
                self._node.post(PlatformDocument(document_from_json(item)))

    def _next_changes(self, revision: int) -> dict | None:
        try:
            url = f"{self._base}/watch?after={revision}&seconds={WATCH_SECONDS}"
            response = self._pool.request("GET", url, timeout=_WATCH_TIMEOUT)
            return response.json() if response.status == _HTTP_OK else None
        except (HTTPError, OSError, ValueError):
            return None


class RecordsClient:
    """Sends lookups to record servers."""

    def __init__(self, node: NodePort) -> None:
        self._node = node
        self._pool = urllib3.PoolManager(maxsize=64, retries=False, timeout=_TIMEOUT)

    def send(self, effect: SendLookup) -> None:
        """Send a lookup in the background and post its answer, or None on failure."""
        eventlet.spawn_n(self._send, effect)

    def _send(self, effect: SendLookup) -> None:
        request = effect.request
        body = None
        try:
            query = urlencode({"kind": request.kind, "key": request.key})
            url = f"http://{effect.server_address}/records?{query}"
            response = self._pool.request("GET", url, headers={"X-Priority": request.priority})
            if response.status == _HTTP_OK:
                body = response.data
        except (HTTPError, OSError):
            body = None
        self._node.post(LookupAnswered(request.request_id, body))
