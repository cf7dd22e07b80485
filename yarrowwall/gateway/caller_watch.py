"""Notices that a caller has closed its connection while its request is worked on."""

import socket
from types import TracebackType
from typing import Any

import eventlet
from eventlet.hubs import get_hub

from yarrowwall.exceptions import CallerDisconnectedError


class CallerWatch:
    """Raises :class:`CallerDisconnectedError` in the entering greenthread once the caller leaves.

    It listens by the hub itself; a greenthread that waits is started and ended once a request.

    :param connection: the caller's socket; nothing else may read it meanwhile.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._is_active = False
        self._handler = eventlet.getcurrent()
        self._listener: Any = None
        self._reason = ""

    def start(self) -> None:
        """Begin to watch."""
        self._is_active = True
        hub = get_hub()
        try:
            fileno = self._connection.fileno()
            self._listener = hub.add(hub.READ, fileno, self._look, self._note_closed, None)
        except (OSError, ValueError):
            self._note_gone("its descriptor was closed before")

    def stop(self) -> None:
        """Cease to watch; afterwards nothing is raised any more."""
        self._is_active = False
        self._listen_no_more()

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

    def _listen_no_more(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            get_hub().remove(listener)

    def _look(self, fileno: int) -> None:
        """Take in that something came; called by the hub, also once after listening has ended."""
        if self._listener is None:
            return
        self._listen_no_more()
        try:
            # Bytes here are the next request of a caller that pipelines; it is not gone.
            if self._peek():
                return
        except OSError as error:
            # A closed descriptor means that the answer is over, and nobody watches.
            self._note_gone(str(error))
            return
        self._note_gone("half or full close")

    def _note_closed(self, error: BaseException) -> None:
        """Take in that the descriptor has become another connection's; called by the hub."""
        self._listener = None
        self._note_gone("its descriptor is another connection's")

    def _note_gone(self, reason: str) -> None:
        if self._is_active:
            self._reason = reason
            get_hub().schedule_call_global(0, self._raise_in_handler)

    def _peek(self) -> bytes:
        raw = getattr(self._connection, "fd", self._connection)
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)

    def _raise_in_handler(self) -> None:
        if self._is_active:
            self._is_active = False
            self._handler.throw(CallerDisconnectedError(self._reason))
