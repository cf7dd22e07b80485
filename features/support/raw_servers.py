"""Servers that read the head of a request alone and answer with bytes as they are."""

import contextlib
import socket
import threading
import time
from typing import NamedTuple

from features.support.platform_scripts import RESET
from features.support.platform_world import PlatformWorld, Server
from features.support.raw_exchange import OWN_LINES

#: Receive buffer of a stand-in's kernel: small, so that most of an upload stays unread.
_BUFFER_BYTES = 16 * 1024


class RawAnswer(NamedTuple):
    """What a stand-in does once it has the head of a request.

    :param sent: the bytes that it sends; :data:`OWN_LINES` is replaced.
    :param is_reset: whether it resets the connection afterwards; it closes it otherwise.
    :param pause_s: seconds between its bytes and the end of the connection.
    """

    sent: bytes
    is_reset: bool = False
    pause_s: float = 0.0


class RawStandIn:
    """Answers each connection's first request, of which it reads the head alone.

    :ivar answer: what each connection gets.
    :ivar heads: the heads that arrived.
    """

    def __init__(self, answer: RawAnswer) -> None:
        self.answer = answer
        self.heads: list[bytes] = []
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self.server_address = self.socket.getsockname()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            head = b""
            while not head.endswith(b"\r\n\r\n"):
                found = connection.recv(1)
                if not found:
                    return
                head += found
            self.heads.append(head)
            answer = self.answer
            connection.sendall(answer.sent.replace(OWN_LINES, _own_lines(head)))
            time.sleep(answer.pause_s)
            if answer.is_reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                _close_in_order(connection)

    def close(self) -> None:
        """Stop listening."""
        self.socket.close()


def _close_in_order(connection: socket.socket) -> None:
    """End the sending side, and read the rest of the request so that the close resets nothing."""
    connection.shutdown(socket.SHUT_WR)
    connection.settimeout(1.0)
    while connection.recv(65536):
        pass


def _own_lines(head: bytes) -> bytes:
    """Return the headers by which an answer belongs to a request."""
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    attempt = fields.get(b"X-Attempt-Id", b"")
    return b"X-Attempt-Id: %b\r\nX-Server-Seal: seal.%b\r\n" % (attempt, attempt)


def list_stand_in(
    world: PlatformWorld, service: str, stand_in: RawStandIn, start_ms: int | None = None
) -> str:
    """List a stand-in as a server of a service; return its id."""
    server = Server(f"raw-{service}", start_ms=start_ms)
    server.listener = stand_in
    world.list_again(server, service)
    return server.server_id
