"""A server that notes the bytes of each request, and a client that sends bytes as they are."""

import contextlib
import socket
import socketserver
import threading
import time
from collections.abc import Sequence
from typing import Any

import httptools

from features.support.platform_world import PlatformWorld, Server
from features.support.request_cases import Ran

#: Seconds in which an answer must come, and a connection end that is to be closed.
ANSWER_S = 5.0
#: Replaced by the headers that each answer has.
OWN_LINES = b"@"
#: Stands for the status of bytes that are no answer.
MALFORMED = -1
CLOSE_S = 2.0


class RawServer:
    """A listed server that answers each request with its target, unless told otherwise.

    :ivar heads: the heads that arrived, as bytes.
    :ivar answers: what is sent in place of an answer, by target, and whether the connection ends
        after it.
    """

    def __init__(self, world: PlatformWorld, service: str) -> None:
        self._lock = threading.Lock()
        self._ran: list[Ran] = []
        self.heads: list[bytes] = []
        self.answers: dict[str, tuple[bytes, bool]] = {}
        recorder = self

        class Handler(socketserver.StreamRequestHandler):
            """Reads requests whose bodies have a length, as gateways send them."""

            def handle(self) -> None:
                # The gateway resets connections when it is stopped.
                with contextlib.suppress(ConnectionError):
                    while recorder.answer(self.rfile, self.wfile):
                        pass

        listener = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        listener.daemon_threads = True
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        server = Server("raw")
        server.listener = listener
        world.list_again(server, service)
        self.close = listener.shutdown

    def answer(self, source: Any, target: Any) -> bool:
        """Read a request and answer it; return False at the end of the connection."""
        found = bytearray()
        while line := source.readline():
            found += line
            if line == b"\r\n":
                break
        else:
            return False
        lines = bytes(found).split(b"\r\n")
        fields = dict(line.split(b": ", 1) for line in lines[1:-2])
        body = source.read(int(fields.get(b"Content-Length", b"0")))
        method, path, _ = lines[0].decode("latin-1").split(" ")
        with self._lock:
            self.heads.append(bytes(found))
            self._ran.append(Ran(method, path, body))
        name = path.encode("latin-1")
        own = b"X-Attempt-Id: %b\r\nX-Server-Seal: seal\r\n" % fields[b"X-Attempt-Id"]
        if path in self.answers:
            scripted, ends = self.answers[path]
            target.write(scripted.replace(OWN_LINES, own))
            return not ends
        target.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(name), own, name))
        return True

    def take(self) -> tuple[Ran, ...]:
        """Return the requests that arrived since the last call."""
        with self._lock:
            found, self._ran = tuple(self._ran), []
            return found


class _Answers:
    """Callbacks of a response parser."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.bodies: list[bytes] = []
        self.complete = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Note a status."""
        self.statuses.append(self.parser.get_status_code())
        self.bodies.append(b"")

    def on_body(self, body: bytes) -> None:
        """Note bytes of a body."""
        self.bodies[-1] += body

    def on_message_complete(self) -> None:
        """Count an answer."""
        self.complete += 1

    def note_malformed(self) -> None:
        """Note bytes that are no answer."""
        self.statuses.append(MALFORMED)
        self.bodies.append(b"")


class RawClient:
    """A client's connection.

    :ivar is_closed: whether the gateway has ended it.
    """

    def __init__(self, world: PlatformWorld) -> None:
        host, _, port = world.addresses["edge-0"]["http"].partition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=ANSWER_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._answers = _Answers()
        self.is_closed = False

    def send(self, pieces: Sequence[bytes], pause_s: float) -> None:
        """Send pieces, with pauses in which answers may arrive."""
        for number, piece in enumerate(pieces):
            if number:
                self._read(self._answers.complete + 1, pause_s)
            if self.is_closed:
                return
            try:
                self._socket.sendall(piece)
            except ConnectionError:
                # The gateway has refused what it got, and ended the connection.
                return

    def statuses(self, count: int, seconds: float = ANSWER_S) -> list[int]:
        """Return the statuses of so many answers, or of fewer if no more come in time."""
        self._read(count, seconds)
        return self._answers.statuses

    def wait_served(self, count: int, seconds: float) -> None:
        """Wait for so many answers with status 200, or for the end of the connection."""
        end_s = time.monotonic() + seconds
        while self._answers.statuses.count(200) < count and not self.is_closed:
            left_s = end_s - time.monotonic()
            if left_s <= 0.0:
                return
            self._read(self._answers.complete + 1, left_s)

    @property
    def answers(self) -> list[tuple[int, bytes]]:
        """Return the status and the body of each answer."""
        return list(zip(self._answers.statuses, self._answers.bodies, strict=True))

    @property
    def bodies(self) -> list[bytes]:
        """Return the bodies of the answers."""
        return self._answers.bodies

    def ends(self) -> bool:
        """Return whether the gateway ends the connection without a further answer."""
        self._read(self._answers.complete + 1, CLOSE_S)
        return self.is_closed

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _read(self, count: int, seconds: float) -> None:
        """Read until so many answers are complete, nothing arrives in time, or the end."""
        self._socket.settimeout(seconds)
        while self._answers.complete < count and not self.is_closed:
            try:
                data = self._socket.recv(65536)
            except TimeoutError:
                return
            except ConnectionError:
                data = b""
            self.is_closed = not data
            try:
                self._answers.parser.feed_data(data)
            except httptools.HttpParserError:
                self._answers.note_malformed()
                self.is_closed = True
