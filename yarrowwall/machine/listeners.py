"""Listening sockets that are opened before the rest of a program is loaded.

Most of a start is the import of libraries. A port that listens meanwhile lets callers
wait for that fraction of a second in the kernel's queue, where a closed one would refuse
them, and a caller that may try only once again would have to give its program up.
"""

import socket
from types import TracebackType

from yarrowwall.addresses import split_address

#: Connections that may wait to be accepted on one port.
BACKLOG = 512


class EarlyListeners:
    """The listening sockets of a process, by address.

    :param addresses: what to listen on at once.
    """

    def __init__(self, addresses: list[str]) -> None:
        self._sockets: dict[str, socket.socket] = {}
        for address in addresses:
            self._sockets[address] = _listen(address)

    def take(self, address: str) -> socket.socket:
        """Return the listening socket of an address, opened now if it was not before.

        Its new owner closes it.
        """
        return self._sockets.pop(address, None) or _listen(address)

    def close(self) -> None:
        """Close the sockets that nobody took."""
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
