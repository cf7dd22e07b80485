"""Sockets that send at once, find dark peers and tell a reset from an end.

eventlet's own ``recv`` returns nothing for a reset as it does for an orderly end, and
raises ``EOFError`` into its hub when another greenthread closes the socket.
"""

import errno
import socket
import time
from typing import Any

import greenlet
from eventlet.green import socket as green_socket
from eventlet.hubs import IOClosed, get_hub, trampoline

from yarrowwall.exceptions import ConnectError, ConnectTimeoutError

#: Milliseconds that sent bytes may stay unacknowledged; a silent peer never resets.
USER_TIMEOUT_MS = 2500
#: Seconds of silence before and between the probes that find a dark peer, and their count.
KEEPALIVE_SECONDS = 1
KEEPALIVE_COUNT = 2


def set_tcp_options(connection: socket.socket) -> None:
    """Let a connection send at once and find out when its peer has gone dark."""
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def open_socket(address: str, timeout: float) -> socket.socket:
    """Return a connected socket.

    :param address: ``IP:port``.
    :param timeout: seconds for the connection to come up.
    :raises ConnectError: if it does not.
    """
    host, _, port = address.rpartition(":")
    connection = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_tcp_options(connection)
        connection.settimeout(timeout)
        connection.connect((host, int(port)))
    except TimeoutError as error:
        connection.close()
        raise ConnectTimeoutError(f"{address}: {error}") from error
    except (OSError, ValueError) as error:
        connection.close()
        raise ConnectError(f"{address}: {error}") from error
    return connection


def receive(connection: socket.socket, size: int, timeout: float | None) -> bytes:
    """Return the bytes that arrive next; empty at an orderly end.

    A time-out counts only if nothing is there: a process that was held up finds it and bytes that
    came in time at once.

    :param timeout: seconds to wait; None without a bound.
    :raises TimeoutError: if nothing arrives in time.
    :raises OSError: if the connection fails, is reset or is closed here meanwhile.
    """
    raw = connection.fd  # type: ignore[attr-defined]  # the non-blocking socket below
    is_over = False
    while True:
        try:
            return raw.recv(size)
        except BlockingIOError:
            if is_over:
                raise TimeoutError(f"nothing arrived in {timeout} s") from None
        try:
            trampoline(raw, read=True, timeout=timeout, timeout_exc=TimeoutError)
        except TimeoutError:
            is_over = True
        except IOClosed as error:
            raise ConnectionAbortedError("closed here") from error


def send_some(connection: socket.socket, data: bytes | memoryview) -> int:
    """Send bytes within the connection's time-out; return how many were taken.

    The library's own ``send`` keeps the error of its time-out in a frame that the error leads back
    to, so all that was under way stays in memory until the garbage collector comes by.

    :raises TimeoutError: if the peer takes nothing in time.
    :raises OSError: if the connection fails, is reset or is closed here meanwhile.
    """
    raw = connection.fd  # type: ignore[attr-defined]  # the non-blocking socket below
    while True:
        try:
            return int(raw.send(data))
        except BlockingIOError:
            pass
        timeout = connection.gettimeout()
        try:
            # No further try behind the time-out: the kernel takes a little of a peer that is slow.
            trampoline(raw, write=True, timeout=timeout, timeout_exc=TimeoutError)
        except IOClosed as error:
            raise ConnectionResetError(errno.ECONNRESET, "closed here") from error


class Receiver:
    """Receives from one connection for as long as that lasts.

    It stays registered with the hub. :func:`receive` tries first, registers its descriptor and
    removes it again, three calls of the kernel more for each piece, which is right where an answer
    is often there already.

    :param connection: nothing else may read it; it is closed after this.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._raw = connection.fd  # type: ignore[attr-defined]
        self._listener: Any = None
        self._waiting: greenlet.greenlet | None = None

    def receive(self, size: int) -> bytes:
        """Return the bytes that arrive next; empty at an orderly end.

        :raises OSError: if the connection fails or is reset.
        """
        while True:
            self._wait()
            try:
                return bytes(self._raw.recv(size))
            except BlockingIOError:
                continue

    def close(self) -> None:
        """Receive no more."""
        listener, self._listener = self._listener, None
        if listener is not None:
            get_hub().remove(listener)

    def _wait(self) -> None:
        """Wait until something is there to receive."""
        hub = get_hub()
        if self._listener is None:
            fileno = self._raw.fileno()
            self._listener = hub.add(hub.READ, fileno, self._wake, self._fail, None)
        self._waiting = greenlet.getcurrent()
        try:
            hub.switch()
        finally:
            self._waiting = None

    def _wake(self, fileno: int) -> None:
        """Take in that there is something; called by the hub."""
        if self._waiting is not None:
            self._waiting.switch()
        else:
            # The one who receives is at work and waits for something else.
            self.close()

    def _fail(self, error: BaseException) -> None:
        """Take in that the descriptor has become another connection's; called by the hub."""
        self._listener = None
        if self._waiting is not None:
            self._waiting.throw(error)


def send_all(connection: socket.socket, data: bytes, timeout: float) -> None:
    """Send bytes; ``sendall`` would allow the time anew for each piece that the peer takes.

    :param timeout: seconds for all of them.
    :raises TimeoutError: if the peer does not take them in time.
    :raises OSError: if the connection fails.
    """
    rest = memoryview(data)[_send_now(connection, data) :]
    if not rest:
        return
    end = time.monotonic() + timeout
    while rest:
        connection.settimeout(max(end - time.monotonic(), 0.001))
        rest = rest[send_some(connection, rest) :]


def _send_now(connection: socket.socket, data: bytes) -> int:
    """Return how many bytes the kernel takes at once: all of most requests, with no time to set."""
    raw = connection.fd  # type: ignore[attr-defined]
    try:
        return int(raw.send(data))
    except BlockingIOError:
        return 0


def has_no_pending_input(connection: socket.socket) -> bool:
    """Return whether neither bytes nor an end wait to be received."""
    raw = connection.fd  # type: ignore[attr-defined]
    try:
        raw.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
