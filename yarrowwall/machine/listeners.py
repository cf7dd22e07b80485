"""Listening sockets that are opened before the rest of the program is loaded.

Most of the startup time is the import of libraries. Callers that connect meanwhile wait in the
kernel's queue for that fraction of a second. A closed port would refuse them, and a caller with a
single retry left would have to abandon its program.
"""

import socket
from types import TracebackType

from yarrowwall.addresses import split_address

#: Maximum number of connections that wait to be accepted on one port.
BACKLOG = 512


class EarlyListeners:
    """The listening sockets of a process, by address.

    :param addresses: addresses to listen on from now on.
    """

    def __init__(self, addresses: list[str]) -> None:
        self._sockets: dict[str, socket.socket] = {}
        for address in addresses:
            self._sockets[address] = _listen(address)

    def take(self, address: str) -> socket.socket:
        """Return the listening socket of an address, opening it if necessary.

        The caller has to close it.
        """
        return self._sockets.pop(address, None) or _listen(address)

    def close(self) -> None:
        """Close the sockets that have not been taken."""
        while self._sockets:
            _, unused = self._sockets.popitem()
            unused.close()

    def __enter__(self) -> "EarlyListeners":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


def _listen(address: str) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind(split_address(address))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
