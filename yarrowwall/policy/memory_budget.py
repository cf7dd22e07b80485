"""What a gateway holds for its callers and servers, in bytes, and when that is too much. No I/O.

Callers may send and read slowly, and servers too. Whatever a gateway holds for them meanwhile
comes out of its machine's memory, and a process that is ended for memory takes all its requests
with it; so a request that would go beyond is refused, or ended, by itself.
"""

from collections.abc import Mapping
from typing import NamedTuple

from yarrowwall.exceptions import RelayError

#: Part of a machine's memory that may be held for all requests together. A gateway at rest has
#: some 30 MB (a quarter of the smallest machines), and each byte of a body exists up to three
#: times while it is sent: as it came, with the turns before it, and as the request's bytes.
TOTAL_SHARE = 0.15
#: Parts of that for one caller and for one server: four of either can't hold up all others.
CALLER_SHARE = 0.25
SERVER_SHARE = 0.25
#: Parts of the bound for all from which new requests are refused, and down to which they are
#: refused then. Between the high mark and the bound those that run can end.
HIGH_WATERMARK = 0.8
LOW_WATERMARK = 0.6
#: Machine's memory where the settings do not tell it.
DEFAULT_MEMORY_MB = 256.0
_MEGABYTE = 1024 * 1024


class MemoryExhaustedError(RelayError):
    """What is held for a caller, a server or all of them has reached its bound."""


class MemoryBounds(NamedTuple):
    """The most bytes that may be held."""

    total: int
    caller: int
    server: int

    @classmethod
    def of_machine(cls, memory_mb: float) -> "MemoryBounds":
        """Return the bounds on a machine with so much memory."""
        total = TOTAL_SHARE * memory_mb * _MEGABYTE
        return cls(int(total), int(CALLER_SHARE * total), int(SERVER_SHARE * total))


class MemoryBudget:
    """The bytes held for all callers and servers.

    :ivar held: bytes held now.
    :ivar peak: the most bytes that were held at once.
    """

    def __init__(self, bounds: MemoryBounds) -> None:
        self.bounds = bounds
        self.held = 0
        self.peak = 0
        self._by_server: dict[str, int] = {}
        self._is_near = False

    @property
    def is_nearly_full(self) -> bool:
        """Return whether the bound is so near that no new request is taken."""
        if self.held >= HIGH_WATERMARK * self.bounds.total:
            self._is_near = True
        elif self.held < LOW_WATERMARK * self.bounds.total:
            self._is_near = False
        return self._is_near

    def accepts_request(self, announced: int) -> bool:
        """Return whether a request whose body has so many bytes is taken."""
        fits = announced <= self.bounds.caller and self.held + announced <= self.bounds.total
        return fits and not self.is_nearly_full

    def held_for_server(self, server: str) -> int:
        """Return the bytes held for one server."""
        return self._by_server.get(server, 0)

    @property
    def largest_server_bytes(self) -> int:
        """Return the bytes held for the server that has most."""
        return max(self._by_server.values(), default=0)

    def open_request(self) -> "RequestMemory":
        """Return what is held for one request, nothing yet."""
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
            _take_off(self._by_server, server, count)


def _take_off(held: dict[str, int], server: str, size: int) -> None:
    """Hold so much less for a server, and keep none for which nothing is held."""
    left = held.get(server, 0) - size
    if left > 0:
        held[server] = left
    else:
        held.pop(server, None)


class RequestMemory:
    """The bytes held for one request of a caller."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._by_server: dict[str, int] = {}
        self.size = 0

    def grow(self, size: int, server: str = "") -> None:
        """Hold more bytes.

        :param server: text of the incarnation of the server that they came from; empty if from the
            caller.
        :raises MemoryExhaustedError: if they are too many; then they are not counted.
        """
        budget = self._budget
        if self.size + size > budget.bounds.caller:
            raise MemoryExhaustedError("too much is held for one caller")
        if server and budget.held_for_server(server) + size > budget.bounds.server:
            raise MemoryExhaustedError("too much is held for one server")
        if budget.held + size > budget.bounds.total:
            raise MemoryExhaustedError("too much is held for all callers")
        self.size += size
        if server:
            self._by_server[server] = self._by_server.get(server, 0) + size
        budget._grow(size, server)

    def shrink(self, size: int, server: str = "") -> None:
        """Hold bytes no more that were held before, of a server or of the caller."""
        self.size -= size
        if server:
            _take_off(self._by_server, server, size)
        self._budget._shrink(size, {server: size} if server else {})

    def close(self) -> None:
        """Hold nothing any more."""
        self._budget._shrink(self.size, self._by_server)
        self.size = 0
        self._by_server.clear()
