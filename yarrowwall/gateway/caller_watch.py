"""Detects callers that close their connection while their request is processed."""

import socket
from collections.abc import Callable
from types import TracebackType
from typing import Any

import eventlet
from eventlet.hubs import get_hub

from yarrowwall.exceptions import CallerDisconnectedError


class CallerWatch:
    """Raises :class:`CallerDisconnectedError` in the creating greenthread if the caller leaves.

    The hub may have it raise another error there.

    It registers a listener with eventlet's hub, which costs less than a greenthread per request.

    :param connection: the caller's socket; nothing else may read it while this is active.
    :param on_input: called if the caller sends something instead.
    """

    def __init__(
        self, connection: socket.socket, on_input: Callable[[], None] = lambda: None
    ) -> None:
        self._connection = connection
        self._on_input = on_input
        self._is_active = False
        self._is_over = False
        self._handler = eventlet.getcurrent()
        self._listener: Any = None
        self._reason = ""

    def start(self) -> None:
        """Start watching."""
        self._is_active = True
        hub = get_hub()
        try:
            fileno = self._connection.fileno()
            self._listener = hub.add(
                hub.READ, fileno, self._on_readable, self._on_descriptor_reused, None
            )
        except (OSError, ValueError):
            self._note_disconnected("the descriptor was already closed")

    def stop(self) -> None:
        """Stop watching; nothing is raised afterwards."""
        self._is_active = False
        self._is_over = True
        self._remove_listener()

    def interrupt(self, error: Exception) -> None:
        """Raise an error in the creating greenthread, unless watching is over; watch no longer.

        Only the hub may call this, as a scheduled call. It works before :meth:`start` as well.
        """
        if not self._is_over:
            self.stop()
            self._handler.throw(error)

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

    def _remove_listener(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            get_hub().remove(listener)

    def _on_readable(self, fileno: int) -> None:
        """Check why the socket is readable.

        Called by the hub, possibly once more after the listener was removed.
        """
        if self._listener is None:
            return
        self._remove_listener()
        try:
            # Bytes are the next request of a caller that pipelines: it is still connected.
            if self._peek():
                self._on_input()
                return
        except OSError as error:
            # The connection was reset; or the descriptor was closed after the response, when
            # this is no longer active and raises nothing.
            self._note_disconnected(str(error))
            return
        self._note_disconnected("half or full close")

    def _on_descriptor_reused(self, error: BaseException) -> None:
        """Handle that the descriptor now belongs to another connection; called by the hub."""
        self._listener = None
        self._note_disconnected("the descriptor was reused for another connection")

    def _note_disconnected(self, reason: str) -> None:
        if self._is_active:
            self._reason = reason
            get_hub().schedule_call_global(0, self._raise_in_handler)

    def _peek(self) -> bytes:
        raw = getattr(self._connection, "fd", self._connection)
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)

    def _raise_in_handler(self) -> None:
        if self._is_active:
            self._is_active, self._is_over = False, True
            self._handler.throw(CallerDisconnectedError(self._reason))
