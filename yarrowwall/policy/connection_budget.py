"""Limits clients' connections, and what these keep in memory beside bodies and answers. No I/O.

Clients are not known, and many may share an address. So a connection counts for what it keeps, and
where there is no room, those end whose clients lose least: a connection that has said nothing yet,
then one whose request has not arrived for the longest time, then one that rests between requests.
Where memory is short, the unfinished request that keeps the most ends first. A request that has
arrived completely is never ended for another one.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from yarrowwall.exceptions import YarrowwallError
from yarrowwall.policy.memory_budget import share_beyond_idle

_KILOBYTE = 1024
_MEGABYTE = 1024 * _KILOBYTE
#: Descriptors that the platform reserves for files, of those that a process may have.
PLATFORM_DESCRIPTORS = 200
#: Descriptors for listeners, other machines, the platform's store, disks and probes.
OWN_DESCRIPTORS = 64
#: Descriptors of a process if the settings do not tell them.
DEFAULT_MAX_DESCRIPTORS = 4096
#: Fewest connections of clients, and of servers, that a process has room for.
MIN_CONNECTIONS = 16
#: Connections to one port for probes: an operator's and the platform's, some at once.
PROBE_CONNECTIONS = 16
#: Share of a machine's memory, beyond that of an idle process, that connections and heads may take,
#: and the least that they may.
MEMORY_SHARE = 0.25
MIN_BYTES = 2 * _MEGABYTE
#: Memory of a connection: its socket, parser and greenthread.
CONNECTION_BYTES = 12 * _KILOBYTE
#: Memory of a request that is being answered, beside its head, its body and the answer's.
REQUEST_BYTES = 24 * _KILOBYTE
#: Copies of a head while its request is answered: as received, and as sent to a server.
HEAD_COPIES = 2
#: Size of the kernel's receive buffer per client. By default it grows to 6 MB, and what has arrived
#: and is not read counts towards the machine's memory.
RECEIVE_BUFFER_BYTES = 32 * _KILOBYTE
#: An unfinished request of this size ends before one that is smaller, whoever needs the memory.
_LARGE_BYTES = CONNECTION_BYTES + 4 * _KILOBYTE


class ConnectionsExhaustedError(YarrowwallError):
    """There is no room for a connection or for its request."""


class ConnectionBounds(NamedTuple):
    """Limits of a process.

    :param connections: most connections of clients.
    :param memory: most bytes that these and the heads of their requests take.
    """

    connections: int
    memory: int

    @classmethod
    def of_machine(cls, memory_mb: float, max_descriptors: int) -> "ConnectionBounds":
        """Return the limits for a machine; servers get as many descriptors as clients."""
        memory = max(share_beyond_idle(memory_mb, MEMORY_SHARE), MIN_BYTES)
        return cls(connections_per_side(max_descriptors), memory)

    @classmethod
    def of_probes(cls) -> "ConnectionBounds":
        """Return the limits for a port for probes."""
        size = CONNECTION_BYTES + REQUEST_BYTES + HEAD_COPIES * 16 * _KILOBYTE
        return cls(PROBE_CONNECTIONS, PROBE_CONNECTIONS * size)


def connections_per_side(max_descriptors: int) -> int:
    """Return the number of descriptors for clients, which is that for servers too."""
    return max(MIN_CONNECTIONS, (max_descriptors - PLATFORM_DESCRIPTORS - OWN_DESCRIPTORS) // 2)


class ConnectionState(Enum):
    """What a connection waits for, in the order in which connections end for lack of room."""

    #: Its first byte.
    SILENT = auto()
    #: The rest of a request.
    READING = auto()
    #: The next request.
    IDLE = auto()
    #: Its answer; it is not ended.
    ANSWERING = auto()


class ConnectionHold:
    """What one connection counts for.

    :ivar size: bytes that it counts for.
    :ivar body_bytes: bytes of an unfinished body, which the memory budget counts.
    :ivar is_ended: whether it was ended for lack of room.
    """

    __slots__ = ("_budget", "body_bytes", "end", "is_ended", "size", "state")

    def __init__(self, budget: "ConnectionBudget", end: Callable[[], None]) -> None:
        self._budget = budget
        self.end = end
        self.size = CONNECTION_BYTES
        self.body_bytes = 0
        self.state = ConnectionState.SILENT
        self.is_ended = False

    def read(self, held_bytes: int) -> None:
        """Note that a request arrives.

        :param held_bytes: bytes that are kept of it so far, without its body.
        :raises ConnectionsExhaustedError: if there is no room for them.
        """
        self._budget.change(self, ConnectionState.READING, CONNECTION_BYTES + held_bytes)

    def process(self, head_bytes: int) -> None:
        """Note that a head has arrived; the body may follow.

        :raises ConnectionsExhaustedError: if there is no room to answer the request.
        """
        size = CONNECTION_BYTES + REQUEST_BYTES + HEAD_COPIES * head_bytes
        self._budget.change(self, ConnectionState.READING, size)

    def answer(self) -> None:
        """Note that the request has arrived completely."""
        self._budget.change(self, ConnectionState.ANSWERING, self.size)

    def note_unread(self) -> None:
        """Note that further bytes arrive while the request is answered."""
        self._budget.add(self, RECEIVE_BUFFER_BYTES)

    def rest(self) -> None:
        """Note that the request was answered."""
        self.body_bytes = 0
        self._budget.change(self, ConnectionState.IDLE, CONNECTION_BYTES)

    def close(self) -> None:
        """Stop counting the connection."""
        self._budget.remove(self)


class ConnectionBudget:
    """Counts the connections of one port or more, and ends some where there is no room.

    :ivar memory: bytes that all connections count for.
    :ivar ending: connections that were ended and are not closed yet.
    """

    def __init__(self, bounds: ConnectionBounds) -> None:
        self.bounds = bounds
        self.memory = 0
        self.ending = 0
        #: Those that were ended for lack of room are not counted any more.
        self._by_state: dict[ConnectionState, OrderedDict[int, ConnectionHold]] = {
            state: OrderedDict() for state in ConnectionState
        }

    @property
    def count(self) -> int:
        """Return the number of connections, without those that were ended."""
        return sum(len(holds) for holds in self._by_state.values())

    def count_in(self, state: ConnectionState) -> int:
        """Return the number of connections in a state."""
        return len(self._by_state[state])

    def open(self, end: Callable[[], None]) -> ConnectionHold:
        """Count a new connection.

        :param end: ends it; called if there is no room for it any more.
        :raises ConnectionsExhaustedError: if no other connection can end for it.
        """
        if self.count >= self.bounds.connections and not self._end_first():
            raise ConnectionsExhaustedError("too many requests are being answered")
        hold = ConnectionHold(self, end)
        self._make_room(hold.size)
        self.memory += hold.size
        self._by_state[hold.state][id(hold)] = hold
        return hold

    def change(self, hold: ConnectionHold, state: ConnectionState, size: int) -> None:
        """Change the state and the size of a connection.

        :raises ConnectionsExhaustedError: if there is no room; the connection must end.
        """
        if hold.is_ended:
            raise ConnectionsExhaustedError("ended for lack of room")
        if state is not hold.state:
            del self._by_state[hold.state][id(hold)]
            hold.state = state
            self._by_state[state][id(hold)] = hold
        if size > hold.size:
            self._make_room(size - hold.size, hold, size)
        self.memory += size - hold.size
        hold.size = size

    def add(self, hold: ConnectionHold, size: int) -> None:
        """Count bytes that cannot be refused."""
        if not hold.is_ended:
            self.memory += size
            hold.size += size

    def remove(self, hold: ConnectionHold) -> None:
        """Stop counting a connection that is closed."""
        if hold.is_ended:
            self.ending -= 1
        else:
            self._forget(hold)

    def end_largest_body(self, than: int) -> bool:
        """End the connection with the largest unfinished body; return whether there was one.

        :param than: bytes that its body must exceed.
        """
        reading = self._by_state[ConnectionState.READING].values()
        largest = max(reading, key=lambda hold: hold.body_bytes, default=None)
        if largest is None or largest.body_bytes <= than:
            return False
        self._end(largest)
        return True

    def _make_room(self, missing: int, hold: ConnectionHold | None = None, size: int = 0) -> None:
        """End connections until some more bytes fit.

        :param hold: the connection that needs them; None for a new one.
        :param size: bytes that it then counts for.
        :raises ConnectionsExhaustedError: if that connection is the one that has to end.
        """
        while self.memory + missing > self.bounds.memory:
            reading = self._by_state[ConnectionState.READING].values()
            others = [other for other in reading if other is not hold]
            largest = max(others, key=lambda other: other.size, default=None)
            if largest is not None and largest.size >= min(size, _LARGE_BYTES):
                self._end(largest)
            elif not self._end_first(but=hold):
                raise ConnectionsExhaustedError("too much is kept for requests")

    def _end_first(self, but: ConnectionHold | None = None) -> bool:
        """End the connection whose client loses least; return whether there was one."""
        for state in (ConnectionState.SILENT, ConnectionState.READING, ConnectionState.IDLE):
            for hold in self._by_state[state].values():
                if hold is not but:
                    self._end(hold)
                    return True
        return False

    def _forget(self, hold: ConnectionHold) -> None:
        del self._by_state[hold.state][id(hold)]
        self.memory -= hold.size

    def _end(self, hold: ConnectionHold) -> None:
        self._forget(hold)
        self.ending += 1
        hold.is_ended = True
        hold.end()
