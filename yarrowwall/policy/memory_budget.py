"""Limits the bytes that a gateway buffers for its callers and servers. No I/O.

Callers and servers may send and read slowly, and the gateway buffers their data in its machine's
memory. If the process were killed for lack of memory, all its requests would fail. So a request
that would exceed a limit is refused or ended alone.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yarrowwall.exceptions import RelayError

#: Share of a machine's memory that may be buffered for all requests together. An idle gateway uses
#: about 30 MB (a quarter of the smallest machines), and each byte of a body exists up to three
#: times while it is sent: as received, joined with the turns before it, and in the request.
TOTAL_SHARE = 0.15
#: Shares of that for one caller and for one server: it takes four of either to use it up.
CALLER_SHARE = 0.25
SERVER_SHARE = 0.25
#: Shares of the total at which new requests begin to be refused, and at which they are accepted
#: again. Running requests can finish within what is left above the high watermark.
HIGH_WATERMARK = 0.8
LOW_WATERMARK = 0.6
#: The machine's memory if the settings do not specify it.
DEFAULT_MEMORY_MB = 256.0
#: Memory in MB that a process uses before it has clients.
IDLE_MEMORY_MB = 40.0
_MEGABYTE = 1024 * 1024


def share_beyond_idle(memory_mb: float, share: float) -> int:
    """Return a share, in bytes, of the memory that an idle process leaves on a machine."""
    return int(share * max(memory_mb - IDLE_MEMORY_MB, 0.0) * _MEGABYTE)


class MemoryExhaustedError(RelayError):
    """The limit of the bytes buffered for one caller, one server or all requests is reached."""


class RequestTooLargeError(MemoryExhaustedError):
    """The limit of the bytes buffered for one caller is reached."""


class MemoryBounds(NamedTuple):
    """Limits of the buffered bytes.

    :param total: limit for all requests together.
    :param caller: limit for one caller.
    :param server: limit for one server.
    """

    total: int
    caller: int
    server: int

    @classmethod
    def of_machine(cls, memory_mb: float) -> "MemoryBounds":
        """Return the limits for a machine with the given memory."""
        total = TOTAL_SHARE * memory_mb * _MEGABYTE
        return cls(int(total), int(CALLER_SHARE * total), int(SERVER_SHARE * total))


class MemoryBudget:
    """Counts the bytes that are buffered for all callers and servers.

    :ivar held: bytes buffered now.
    :ivar peak: maximum of ``held`` so far.
    """

    def __init__(self, bounds: MemoryBounds) -> None:
        self.bounds = bounds
        self.held = 0
        self.peak = 0
        self._by_server: dict[str, int] = {}
        self._is_nearly_full = False

    @property
    def is_nearly_full(self) -> bool:
        """Return whether new requests are refused: from the high watermark down to the low one."""
        if self.held >= HIGH_WATERMARK * self.bounds.total:
            self._is_nearly_full = True
        elif self.held < LOW_WATERMARK * self.bounds.total:
            self._is_nearly_full = False
        return self._is_nearly_full

    def accepts_request(self, announced: int) -> bool:
        """Return whether a new request is accepted.

        :param announced: bytes of its body.
        """
        fits = announced <= self.bounds.caller and self.held + announced <= self.bounds.total
        return fits and not self.is_nearly_full

    def held_for_server(self, server: str) -> int:
        """Return the bytes buffered for one server."""
        return self._by_server.get(server, 0)

    @property
    def largest_server_bytes(self) -> int:
        """Return the bytes buffered for the server that has the most."""
        return max(self._by_server.values(), default=0)

    def open_request(self) -> "RequestMemory":
        """Return the counter of a new request."""
        return RequestMemory(self)

    def _grow(self, size: int, server: str) -> None:
        self.held += size
        if self.held > self.peak:
            self.peak = self.held
        if server:
            self._by_server[server] = self._by_server.get(server, 0) + size

    def _shrink(self, size: int, by_server: Mapping[str, int]) -> None:
        self.held -= size
        for server, count in by_server.items():
            _subtract(self._by_server, server, count)


def _subtract(held: dict[str, int], server: str, size: int) -> None:
    """Subtract bytes of a server, and remove its entry if none are left."""
    left = held.get(server, 0) - size
    if left > 0:
        held[server] = left
    else:
        held.pop(server, None)


class RequestMemory:
    """Counts the bytes that are buffered for one request of a caller."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._by_server: dict[str, int] = {}
        self.size = 0

    def grow(self, size: int, server: str = "") -> None:
        """Add buffered bytes.

        :param server: text of the incarnation of the server that sent them; empty if the caller
            did.
        :raises MemoryExhaustedError: if they would exceed a limit; then they are not counted.
        """
        budget = self._budget
        if self.size + size > budget.bounds.caller:
            raise RequestTooLargeError("too much is held for one caller")
        if server and budget.held_for_server(server) + size > budget.bounds.server:
            raise MemoryExhaustedError("too much is held for one server")
        if budget.held + size > budget.bounds.total:
            raise MemoryExhaustedError("too much is held for all callers")
        self.size += size
        if server:
            self._by_server[server] = self._by_server.get(server, 0) + size
        budget._grow(size, server)

    def shrink(self, size: int, server: str = "") -> None:
        """Subtract bytes of a server or of the caller that were added before."""
        self.size -= size
        if server:
            _subtract(self._by_server, server, size)
        self._budget._shrink(size, {server: size} if server else {})

    def close(self) -> None:
        """Subtract everything that is still counted for the request."""
        self._budget._shrink(self.size, self._by_server)
        self.size = 0
        self._by_server.clear()
