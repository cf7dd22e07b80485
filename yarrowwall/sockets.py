"""Socket functions that detect unreachable peers and distinguish a reset from an orderly close.

eventlet's ``recv`` returns no bytes for a reset as for an orderly close, and raises ``EOFError``
in its hub when another greenthread closes the socket.
"""

import errno
import socket
import time
from typing import Any

import eventlet
import greenlet
from eventlet.green import socket as green_socket
from eventlet.hubs import IOClosed, get_hub, trampoline

from yarrowwall.exceptions import ConnectError, ConnectRefusedError, ConnectTimeoutError

#: Milliseconds that sent bytes may stay unacknowledged; an unreachable peer sends no reset.
USER_TIMEOUT_MS = 2500
#: Seconds of idleness before and between TCP keep-alive probes, and the number of unanswered
#: probes that end the connection.
KEEPALIVE_SECONDS = 1
KEEPALIVE_COUNT = 2
#: Seconds for which greenthreads may find bytes at each read before all others get a turn.
TURN_SECONDS = 0.005


class _Turns:
    """Gives all greenthreads a turn while one reads from a peer that sends faster than it reads."""

    def __init__(self) -> None:
        self._waited_at = 0.0

    def note_wait(self) -> None:
        """Note that a greenthread has waited, so that others could run."""
        self._waited_at = time.monotonic()

    def yield_if_due(self) -> None:
        """Let others run if no greenthread has waited for long."""
        if time.monotonic() - self._waited_at > TURN_SECONDS:
            eventlet.sleep(0)
            self.note_wait()


_TURNS = _Turns()


def yield_if_due() -> None:
    """Let other greenthreads run if none has waited for long; for loops that may never wait."""
    _TURNS.yield_if_due()


def set_tcp_options(connection: socket.socket) -> None:
    """Disable Nagle's algorithm, and set timeouts that detect an unreachable peer."""
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
    :param timeout: connect timeout in seconds.
    :raises ConnectError: if the connection cannot be opened.
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
    except ConnectionRefusedError as error:
        connection.close()
        raise ConnectRefusedError(f"{address}: {error}") from error
    except (OSError, OverflowError, ValueError) as error:
        connection.close()
        raise ConnectError(f"{address}: {error}") from error
    return connection


def receive(connection: socket.socket, size: int, timeout: float | None) -> bytes:
    """Return the next bytes; empty at an orderly close.

    Bytes that have arrived are returned even if the timeout has expired: a process that was
    delayed finds both at once.

    :param timeout: seconds to wait; None for no limit.
    :raises TimeoutError: if nothing arrives in time.
    :raises OSError: if the connection fails, is reset or is closed by this process.
    """
    raw = connection.fd  # type: ignore[attr-defined]  # the non-blocking socket below
    is_over = False
    while True:
        try:
            data: bytes = raw.recv(size)
        except BlockingIOError:
            if is_over:
                raise TimeoutError(f"nothing arrived in {timeout} s") from None
        else:
            _TURNS.yield_if_due()
            return data
        try:
            trampoline(raw, read=True, timeout=timeout, timeout_exc=TimeoutError)
            _TURNS.note_wait()
        except TimeoutError:
            is_over = True
        except IOClosed as error:
            raise ConnectionAbortedError("closed here") from error


def send_some(connection: socket.socket, data: bytes | memoryview) -> int:
    """Send bytes within the connection's timeout; return how many were sent.

    eventlet's ``send`` creates a reference cycle between its timeout error and a frame, so that
    the request's objects stay in memory until the next garbage collection.

    :raises TimeoutError: if the peer reads nothing in time.
    :raises OSError: if the connection fails, is reset or is closed by this process.
    """
    raw = connection.fd  # type: ignore[attr-defined]  # the non-blocking socket below
    while True:
        try:
            return int(raw.send(data))
        except BlockingIOError:
            pass
        timeout = connection.gettimeout()
        try:
            # No retry after the timeout: the kernel accepts a few bytes even for a slow peer.
            trampoline(raw, write=True, timeout=timeout, timeout_exc=TimeoutError)
        except IOClosed as error:
            raise ConnectionResetError(errno.ECONNRESET, "closed here") from error


class Receiver:
    """Receives from one connection until its end.

    It stays registered with the hub. :func:`receive` tries to read first, and adds and removes a
    listener if it must wait: three more system calls for each piece, which is better only where
    bytes have often arrived already.

    :param connection: nothing else may read from it; it is closed after this object.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._raw = connection.fd  # type: ignore[attr-defined]
        self._listener: Any = None
        self._waiting: greenlet.greenlet | None = None

    def receive(self, size: int) -> bytes:
        """Return the next bytes; empty at an orderly close.

        :raises OSError: if the connection fails or is reset.
        """
        while True:
            self._wait()
            try:
                return bytes(self._raw.recv(size))
            except BlockingIOError:
                continue

    def close(self) -> None:
        """Stop receiving: remove the listener."""
        listener, self._listener = self._listener, None
        if listener is not None:
            get_hub().remove(listener)

    def _wait(self) -> None:
        """Wait until the socket is readable."""
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
        """Resume the receiving greenthread; called by the hub when the socket is readable."""
        if self._waiting is not None:
            self._waiting.switch()
        else:
            # The receiving greenthread is busy or waits for something else.
            self.close()

    def _fail(self, error: BaseException) -> None:
        """Handle that the descriptor now belongs to another connection; called by the hub."""
        self._listener = None
        if self._waiting is not None:
            self._waiting.throw(error)


def send_all(connection: socket.socket, data: bytes, timeout: float) -> None:
    """Send all bytes within one timeout; ``sendall`` restarts it with each piece that is sent.

    :param timeout: seconds for all bytes.
    :raises TimeoutError: if the peer does not read them in time.
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
    """Send what the kernel accepts at once, all of most requests; return the number of bytes."""
    raw = connection.fd  # type: ignore[attr-defined]
    try:
        return int(raw.send(data))
    except BlockingIOError:
        return 0


def has_no_pending_input(connection: socket.socket) -> bool:
    """Return whether neither bytes nor an end of the connection wait to be received."""
    raw = connection.fd  # type: ignore[attr-defined]
    try:
        raw.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
