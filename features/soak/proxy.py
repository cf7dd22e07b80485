"""TCP proxy on loopback that can stall, reset or delay its connections."""

import contextlib
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Self

_CHUNK_BYTES = 65536
_POLL_S = 0.02
#: Maximum wait of an idle direction in milliseconds. A connection that its other direction has
#: reset ends only after this wait.
_IDLE_MS = 100
_SLOW_S = 0.15
_RESET = struct.pack("ii", 1, 0)


class Mode(StrEnum):
    """What a proxy does with its connections."""

    PASS = "pass"
    #: Nothing is forwarded and nothing is reset, as in a network partition or a power failure.
    SILENT = "silent"
    #: Existing and new connections are reset.
    REFUSE = "refuse"
    SLOW = "slow"


class Proxy:
    """Forwards connections to a target.

    :param target: returns ``IP:port``; called for each connection.
    """

    def __init__(self, target: Callable[[], str]) -> None:
        self._mode = Mode.PASS
        #: Readable whenever the mode isn't PASS, which wakes all directions.
        self._woken, self._waker = socket.socketpair()
        self._accepted = 0
        self._last_silenced = 0
        #: When each connection last passed bytes on, by its number, and those that are silenced.
        self._passed_at: dict[int, float] = {}
        self._silenced: set[int] = set()
        self._target = target
        self._is_open = True
        self._mode_lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    @property
    def mode(self) -> Mode:
        """How connections are treated."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        with self._mode_lock:
            was_passing, self._mode = self._mode is Mode.PASS, mode
            if was_passing and mode is not Mode.PASS:
                self._waker.send(b"!")
            elif not was_passing and mode is Mode.PASS:
                self._woken.recv(1)

    def close(self) -> None:
        """Stop the proxy and its connections."""
        self._is_open = False
        self._listener.close()
        self._waker.close()

    def silence_open(self) -> None:
        """Discard all further bytes of the connections open now; new ones are not affected."""
        self._last_silenced = self._accepted

    def silence_quiet(self, quiet_s: float) -> None:
        """Discard all further bytes of the connections that have passed none for some seconds."""
        before = time.monotonic() - quiet_s
        self._silenced |= {number for number, at in self._passed_at.items() if at <= before}

    def _accept(self) -> None:
        while self._is_open:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._accepted += 1
            arguments = (conn, self._accepted)
            threading.Thread(target=self._serve, args=arguments, daemon=True).start()

    def _serve(self, conn: socket.socket, number: int) -> None:
        if not self._wait_until_open():
            _reset(conn)
            return
        host, _, port = self._target().partition(":")
        try:
            upstream = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            _reset(conn)
            return
        for one in (conn, upstream):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Two threads use each socket and share its timeout: setting one for a send would make
            # the other thread's receive fail occasionally.
            one.settimeout(None)
        back = threading.Thread(target=self._pump, args=(upstream, conn, number), daemon=True)
        back.start()
        self._pump(conn, upstream, number)
        back.join()
        conn.close()
        upstream.close()

    def _wait_until_open(self) -> bool:
        """Wait while the mode is SILENT; return whether bytes may be forwarded."""
        while self._is_open and self.mode is Mode.SILENT:
            time.sleep(_POLL_S)
        return self._is_open and self.mode is not Mode.REFUSE

    def _pump(self, source: socket.socket, sink: socket.socket, number: int) -> None:
        while True:
            if not self._wait_until_open():
                _reset(source)
                _reset(sink)
                return
            try:
                if not self._has_arrived(source):
                    continue
                data = source.recv(_CHUNK_BYTES)
            except (OSError, ValueError):
                # The other direction ended the connection.
                _reset(sink)
                return
            if data and (number <= self._last_silenced or number in self._silenced):
                # Received, but discarded instead of forwarded.
                continue
            self._passed_at[number] = time.monotonic()
            if self.mode is Mode.SLOW:
                time.sleep(_SLOW_S)
            if not self._wait_until_open() or not _pass_on(data, sink):
                _reset(source)
                _reset(sink)
                return
            if not data:
                return

    def _has_arrived(self, source: socket.socket) -> bool:
        """Wait for readable bytes, a change of mode or a timeout; return whether bytes arrived."""
        arrivals = select.poll()
        arrivals.register(source, select.POLLIN)
        is_passing = self._mode is Mode.PASS
        if is_passing:
            arrivals.register(self._woken, select.POLLIN)
        found = arrivals.poll(_IDLE_MS if is_passing else _POLL_S * 1000.0)
        return any(descriptor != self._woken.fileno() for descriptor, _ in found)


def _pass_on(data: bytes, sink: socket.socket) -> bool:
    """Send bytes, or shut down the sending side if there are none; return whether it worked."""
    try:
        if data:
            sink.sendall(data)
        else:
            sink.shutdown(socket.SHUT_WR)
    except OSError:
        return False
    return True


def _reset(conn: socket.socket) -> None:
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        conn.close()
