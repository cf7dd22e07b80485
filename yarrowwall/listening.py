"""Listening sockets that go on accepting whatever fails for one connection."""

import errno
import socket
from typing import Any

import eventlet
from eventlet.green import socket as green_socket

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog

#: Seconds to the next try after a failure; a process that has no descriptor left fails at once.
RETRY_SECONDS = 0.05
#: Errors of a listening socket that is closed.
_CLOSED = {errno.EBADF, errno.EINVAL, errno.ENOTSOCK}


class ResilientListener:
    """A listening socket for servers that take a failed accept for their end.

    A connection that was aborted before it was accepted, or a process without descriptors, fails
    an accept; the connections that wait or are open have nothing to do with it.

    :param plain: a listening socket that was opened before eventlet.
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
