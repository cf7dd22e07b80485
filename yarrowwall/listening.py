"""Listening sockets that keep accepting after an accept has failed."""

import errno
import socket
from typing import Any

import eventlet
from eventlet.green import socket as green_socket

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog

#: Seconds before a failed accept is retried. Without this pause, a process that is out of
#: descriptors would retry in a busy loop.
RETRY_SECONDS = 0.05
#: Errors that show that the listening socket is closed.
_CLOSED = {errno.EBADF, errno.EINVAL, errno.ENOTSOCK}


class ResilientListener:
    """A listening socket whose ``accept`` retries, for servers that stop at a failed accept.

    An accept fails if the connection was aborted before it or the process is out of descriptors;
    other connections are not affected.

    :param plain: a listening socket opened with the standard library.
    """

    def __init__(self, plain: socket.socket, log: DecisionLog) -> None:
        self._listener = green_socket.socket(plain)
        host, port = plain.getsockname()
        self._address = f"{host}:{port}"
        self._log = log

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection and its peer's address.

        :raises OSError: if the listener is closed.
        """
        while True:
            try:
                connection, peer = self._listener.accept()
                return connection, peer
            except OSError as error:
                if error.errno in _CLOSED:
                    raise
                self._log.write(decisions.AcceptFailed(self._address, str(error)))
            eventlet.sleep(RETRY_SECONDS)
