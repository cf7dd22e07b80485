"""Notices that a caller has closed its connection while its request is worked on."""

import socket
from types import TracebackType

import eventlet
from eventlet.hubs import get_hub, trampoline

from yarrowwall.relay.exceptions import CallerGoneError


class CallerWatch:
    """Raises :class:`CallerGoneError` in the entering greenthread once the caller leaves.

    :param connection: the caller's socket; nothing else may read it meanwhile.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._is_active = False
        self._handler = eventlet.getcurrent()
        self._watcher: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begin to watch."""
        self._is_active = True
        self._watcher = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Cease to watch; afterwards nothing is raised any more."""
        self._is_active = False
        if self._watcher is not None:
            self._watcher.kill()
            self._watcher = None

    def __enter__(self) -> "CallerWatch":
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def _watch(self) -> None:
        try:
            trampoline(self._connection.fileno(), read=True)
            # Bytes here are the next request of a caller that pipelines; it is not gone.
            if self._peek():
                return
        except OSError:
            # A reset; a closed descriptor means that the answer is over, and nobody watches.
            pass
        if self._is_active:
            get_hub().schedule_call_global(0, self._raise_in_handler)

    def _peek(self) -> bytes:
        raw = getattr(self._connection, "fd", self._connection)
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)

    def _raise_in_handler(self) -> None:
        if self._is_active:
            self._is_active = False
            self._handler.throw(CallerGoneError("the caller closed its connection"))
