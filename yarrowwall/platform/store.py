"""HTTP client of the platform store."""

import json
import math
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote

import eventlet

from yarrowwall.dispatch.answer_bounds import BodyLimit
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.exceptions import AnswerTimeoutError, ConnectTimeoutError, RelayError
from yarrowwall.platform.objects import read_json, read_object
from yarrowwall.ports.object_store import (
    Change,
    Changes,
    ConflictError,
    HistoryExpiredError,
    Listing,
    ObjectStoreError,
    StoredObject,
    StoreTimeoutError,
    WatchInterruptedError,
)

#: Seconds that the answer to a watch may take in addition to its wait.
_WATCH_MARGIN_SECONDS = 1.5
#: Connect timeout in seconds. When all machines start at once, the store's backlog of new
#: connections overflows, and the kernel resends a dropped SYN packet only after a second: trying
#: again is faster.
_CONNECT_SECONDS = 0.4
#: Default timeout of a call, in seconds.
_ANSWER_SECONDS = 2.0

#: Largest answer of the store; objects have at most a megabyte, and lists come in pages.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
_WATCH_CHANNEL = "watch "
_JSON = "application/json"


class _OpenConnection(NamedTuple):
    """A connection and when it was opened."""

    connection: ServerConnection
    opened_s: float


class PlatformStore:
    """Reads, watches and changes objects of the platform store.

    Lists, reads and watches of each kind have a connection; all changes share another one.

    :param address: ``IP:port``.
    :param now: the monotonic clock.
    """

    def __init__(self, address: str, now: Callable[[], float] = time.monotonic) -> None:
        self._address = address
        self._now = now
        self._idle: dict[str, _OpenConnection] = {}
        self._watching: dict[str, _OpenConnection] = {}
        self._interrupted: set[str] = set()

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        :param timeout_s: timeout of each page.
        :param allow_stale: whether the list may be some seconds old, at a tenth of the cost.
        """
        items: list[StoredObject] = []
        revision: int | None = None
        path = f"/objects/{kind}"
        stale_query = "stale=1" if allow_stale else ""
        query = stale_query
        while True:
            target = f"{path}?{query}" if query else path
            _, document = self._call("GET", target, channel=f"list {kind}", timeout=timeout_s)
            page = [read_object(item) for item in _field(document, "items", list)]
            items += page
            # The first page's revision: a watch from it delivers all later changes.
            revision = _field(document, "at", int) if revision is None else revision
            if not document.get("more"):
                return Listing(items, revision)
            after = "after=" + quote(_last_name(page), safe="")
            query = f"{stale_query}&{after}" if stale_query else after

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; return none if nothing changed in time."""
        path = f"/objects/{kind}?watch={revision}&wait_ms={int(wait_s * 1000)}"
        channel = _WATCH_CHANNEL + kind
        try:
            status, document = self._call(
                "GET", path, channel=channel, timeout=wait_s + _WATCH_MARGIN_SECONDS
            )
        except ObjectStoreError as error:
            if channel in self._interrupted:
                raise WatchInterruptedError(str(error)) from error
            raise
        finally:
            self._watching.pop(channel, None)
            self._interrupted.discard(channel)
        if status == HTTPStatus.GONE:
            raise HistoryExpiredError(f"{kind} since {revision}")
        changes = [
            Change(read_object(event["object"]), bool(event["gone"]))
            for event in _field(document, "events", list)
            if isinstance(event, dict) and "object" in event and "gone" in event
        ]
        return Changes(changes, _field(document, "at", int))

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """End waiting watches on connections opened before ``opened_before_s``.

        Idle connections opened before that are closed, if a time is given.

        :param kind: the kind of objects whose watch ends; None for all kinds.
        """
        for channel, opened in list(self._watching.items()):
            if opened.opened_s < opened_before_s and kind in (
                None,
                channel.removeprefix(_WATCH_CHANNEL),
            ):
                self._interrupted.add(channel)
                opened.connection.interrupt()
        if math.isfinite(opened_before_s):
            self._close_idle(opened_before_s)

    def _close_idle(self, opened_before_s: float) -> None:
        for channel, opened in list(self._idle.items()):
            if opened.opened_s < opened_before_s:
                del self._idle[channel]
                opened.connection.close()

    def wait_for_recovery(self, seconds: float) -> None:
        """Sleep."""
        eventlet.sleep(seconds)

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return the current state of an object; None if it does not exist."""
        path = f"/objects/{kind}/{quote(name, safe='')}"
        status, document = self._call("GET", path, channel=f"get {kind}", timeout=timeout_s)
        return None if status == HTTPStatus.NOT_FOUND else read_object(document)

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> StoredObject:
        """Create an object."""
        body = {"meta": {"name": name}, "spec": spec}
        _, document = self._call("POST", f"/objects/{kind}", body)
        return read_object(document)

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object's content, if its revision is still the given one."""
        meta: dict[str, Any] = {"name": name}
        if revision is not None:
            meta["revision"] = revision
        path = f"/objects/{kind}/{quote(name, safe='')}"
        _, document = self._call("PUT", path, {"meta": meta, "spec": spec})
        return read_object(document)

    def set_status(self, kind: str, name: str, status: dict[str, Any]) -> None:
        """Replace an object's status."""
        path = f"/objects/{kind}/{quote(name, safe='')}/status"
        self._call("PUT", path, {"meta": {"name": name}, "status": status})

    def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        channel: str = "calls",
        timeout: float = _ANSWER_SECONDS,
    ) -> tuple[int, dict[str, Any]]:
        idle = self._idle.pop(channel, None)
        connection, opened_at_s = idle if idle is not None else (None, 0.0)
        try:
            if connection is None or not connection.has_no_pending_input():
                opened_at_s = self._now()
                connection = ServerConnection(self._address, min(_CONNECT_SECONDS, timeout))
            if channel.startswith(_WATCH_CHANNEL):
                self._watching[channel] = _OpenConnection(connection, opened_at_s)
            end_s = self._now() + timeout
            connection.send(self._request(method, path, body), timeout)
            head = connection.read_head(end_s - self._now())
            data = connection.read_all(end_s - self._now(), BodyLimit(MAX_ANSWER_BYTES).add)
            connection.finish_response()
        except RelayError as error:
            if connection is not None:
                connection.close()
            has_timed_out = isinstance(error, AnswerTimeoutError | ConnectTimeoutError)
            failure = StoreTimeoutError if has_timed_out else ObjectStoreError
            raise failure(f"{method} {path}: {error}") from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        if connection.is_reusable and channel not in self._idle:
            self._idle[channel] = _OpenConnection(connection, opened_at_s)
        else:
            connection.close()
        return head.status, _document(method, path, head.status, data)

    def _request(self, method: str, path: str, body: dict[str, Any] | None) -> bytes:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        if data:
            lines += [f"Content-Type: {_JSON}", f"Content-Length: {len(data)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


def _document(method: str, path: str, status: int, data: bytes) -> dict[str, Any]:
    if status == HTTPStatus.GONE or (status == HTTPStatus.NOT_FOUND and method == "GET"):
        return {}
    if status == HTTPStatus.CONFLICT:
        raise ConflictError(f"{method} {path}")
    if not 200 <= status < 300:
        raise ObjectStoreError(f"{method} {path}: status {status}")
    try:
        document = read_json(data) if data else {}
    except ValueError as error:
        raise ObjectStoreError(f"{method} {path}: the answer is not JSON") from error
    if not isinstance(document, dict):
        raise ObjectStoreError(f"{method} {path}: the answer is not an object")
    return document


def _field(document: dict[str, Any], name: str, kind: type) -> Any:
    """Return a field of an answer.

    :raises ObjectStoreError: if it is missing or of another type.
    """
    value = document.get(name)
    if not isinstance(value, kind):
        raise ObjectStoreError(f"the answer has no {name}")
    return value


def _last_name(page: Sequence[StoredObject]) -> str:
    """Return the last readable name of a page, after which the next page begins.

    :raises ObjectStoreError: if no name of the page can be read.
    """
    named = [item.name for item in page if item.name]
    if not named:
        raise ObjectStoreError("a page of a list has no readable name")
    return named[-1]
