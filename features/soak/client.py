"""HTTP client of the gateways with persistent connections."""

import http.client
import select
import time
from typing import Self

from features.soak.promises import DEADLINE_S, AttemptEnd, Record, SentRequest
from features.soak.world import SoakWorld
from features.support.platform_world import HOST

_TIMEOUT_S = 5.0
#: Pause after a connection that ended without a response.
_RECONNECT_PAUSE_S = 0.05


class Client:
    """Sends one attempt at a time over a persistent connection per gateway; a context manager.

    A connection is reused until the gateway closes it or sends ``Connection: close``.
    """

    def __init__(self, world: SoakWorld, record: Record) -> None:
        self._world = world
        self._record = record
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        for conn in self._connections.values():
            conn.close()

    def send(
        self, gateway: str, route: str, attempt: str, body: bytes, headers: dict[str, str]
    ) -> AttemptEnd:
        """Send an attempt and return how it ended."""
        conn = self._connection(gateway)
        sent = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(round(DEADLINE_S * 1000.0)),
            **headers,
        }
        try:
            conn.request("POST", f"/{route}/x", body, sent)
            self._record.note_sent(attempt, SentRequest(gateway, time.monotonic()))
            end = self._read(gateway, conn, attempt)
        except (OSError, http.client.HTTPException):
            end = AttemptEnd(0, False, b"", time.monotonic())
        if not end.is_whole:
            conn.close()
        self._record.note_ended(attempt, end)
        if end.status == 0:
            time.sleep(_RECONNECT_PAUSE_S)
        return end

    def _connection(self, gateway: str) -> http.client.HTTPConnection:
        if gateway not in self._connections:
            host, _, port = self._world.addresses[gateway]["http"].partition(":")
            self._connections[gateway] = http.client.HTTPConnection(
                host, int(port), timeout=_TIMEOUT_S
            )
        conn = self._connections[gateway]
        if conn.sock is not None:
            self._check_idle(gateway, conn)
        return conn

    def _check_idle(self, gateway: str, conn: http.client.HTTPConnection) -> None:
        """Close a connection that its gateway has ended; received bytes are a violation."""
        arrivals = select.poll()
        arrivals.register(conn.sock, select.POLLIN)
        if not arrivals.poll(0):
            return
        try:
            data = conn.sock.recv(1024)
        except OSError:
            data = b""
        if data:
            self._note_unexpected(gateway, data)
        conn.close()

    def _note_unexpected(self, gateway: str, data: bytes) -> None:
        self._record.note_violation(f"MIXED: {gateway} sent {data!r} while no request was waiting")

    def _read(self, gateway: str, conn: http.client.HTTPConnection, attempt: str) -> AttemptEnd:
        response = conn.getresponse()
        if response.headers.get("X-Attempt-Id", attempt) != attempt:
            named = response.headers["X-Attempt-Id"]
            self._record.note_violation(f"MIXED: {attempt} got the answer of {named}")
        body = bytearray()
        try:
            while data := response.read1(65536):
                body += data
        except (OSError, http.client.HTTPException, ValueError):
            return AttemptEnd(response.status, False, bytes(body), time.monotonic())
        is_whole = response.length in (None, 0)
        if is_whole and conn.sock is not None and not response.isclosed():
            # Bytes received together with the response are in its buffer, not in the socket.
            conn.sock.setblocking(False)
            unexpected = response.fp.peek()
            conn.sock.settimeout(_TIMEOUT_S)
            if unexpected:
                self._note_unexpected(gateway, unexpected)
        response.close()
        return AttemptEnd(response.status, is_whole, bytes(body), time.monotonic())
