"""Lookups at record servers: urgent ones first, each answered once.

A lookup only reads, so it can be retried at another server. Some slots of every
server are reserved for urgent lookups.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.configuration.models import Machine
from yarrowwall.standalone.core.effects import ReplyToLookup, SendLookup
from yarrowwall.standalone.core.events import LookupAnswered, LookupRequested
from yarrowwall.standalone.core.outbox import Outbox

#: Limit of this node's lookups in flight at one server.
SLOTS_PER_SERVER = 16
#: Slots of each server that are reserved for urgent lookups.
URGENT_SLOTS = 4
#: Limit of servers that are tried for one lookup.
MAX_ATTEMPTS = 3
#: Limit of waiting lookups of each priority; further ones are refused at once.
MAX_WAITING = 1_000
#: Seconds for which a server gets no lookups after a failure.
AVOID_SECONDS = 2.0
#: Seconds after which a refused caller may retry.
RETRY_AFTER = 1.0


@dataclass
class _Server:
    machine: Machine
    in_flight: int = 0
    avoid_until: float = 0.0


@dataclass
class _Lookup:
    request: LookupRequested
    tried: set[str] = field(default_factory=set)
    server_id: str = ""


class LookupDispatcher:
    """Dispatches the lookups that entered at this node to record servers."""

    def __init__(self, zone: str, outbox: Outbox) -> None:
        self._zone = zone
        self._outbox = outbox
        self._servers: dict[str, _Server] = {}
        self._waiting: dict[Priority, deque[_Lookup]] = {
            Priority.URGENT: deque(),
            Priority.ROUTINE: deque(),
        }
        self._in_flight: dict[str, _Lookup] = {}

    def set_machines(self, machines: Iterable[Machine]) -> None:
        """Update the record servers from a newer machine list, without those that are leaving."""
        wanted = {
            machine.machine_id: machine
            for machine in machines
            if machine.kind == "records" and machine.state == "live"
        }
        kept = {name: server for name, server in self._servers.items() if name in wanted}
        for name, machine in sorted(wanted.items()):
            server = kept.setdefault(name, _Server(machine))
            server.machine = machine
        self._servers = kept

    def is_idle(self) -> bool:
        """Return whether no lookup is waiting or in flight."""
        return not self._in_flight and not any(self._waiting.values())

    def accept(self, now: float, request: LookupRequested) -> None:
        """Queue a lookup, or refuse it if too many wait."""
        queue = self._waiting[request.priority]
        if len(queue) >= MAX_WAITING:
            self.refuse(request, "too many lookups wait")
            return
        queue.append(_Lookup(request))
        self.dispatch(now)

    def refuse(self, request: LookupRequested, message: str) -> None:
        """Refuse a lookup that was not sent to any server."""
        self._outbox.emit(ReplyToLookup(request.request_id, None, message, RETRY_AFTER))

    def dispatch(self, now: float) -> None:
        """Send waiting lookups while servers have free slots, urgent ones first."""
        for priority in (Priority.URGENT, Priority.ROUTINE):
            queue = self._waiting[priority]
            while queue:
                server = self._choose(now, queue[0])
                if server is None:
                    break
                self._send(queue.popleft(), server)

    def _choose(self, now: float, lookup: _Lookup) -> _Server | None:
        """Return the server with the fewest lookups in flight, preferably in the own zone."""
        slots = SLOTS_PER_SERVER
        if lookup.request.priority is Priority.ROUTINE:
            slots -= URGENT_SLOTS
        free = [
            server
            for name, server in self._servers.items()
            if server.in_flight < slots and now >= server.avoid_until and name not in lookup.tried
        ]
        return min(
            free,
            key=lambda server: (server.machine.zone != self._zone, server.in_flight),
            default=None,
        )

    def _send(self, lookup: _Lookup, server: _Server) -> None:
        server.in_flight += 1
        lookup.server_id = server.machine.machine_id
        lookup.tried.add(lookup.server_id)
        self._in_flight[lookup.request.request_id] = lookup
        self._outbox.emit(SendLookup(lookup.request, lookup.server_id, server.machine.address))

    def handle_answer(self, now: float, event: LookupAnswered) -> None:
        """Relay an answer to the caller, or retry at another server after a failure."""
        lookup = self._in_flight.pop(event.request_id, None)
        if lookup is None:
            return
        server = self._servers.get(lookup.server_id)
        if server is not None:
            server.in_flight -= 1
        if event.body is not None:
            self._outbox.emit(ReplyToLookup(event.request_id, event.body, "", 0.0))
        else:
            if server is not None:
                server.avoid_until = now + AVOID_SECONDS
            self._retry(lookup)
        self.dispatch(now)

    def _retry(self, lookup: _Lookup) -> None:
        others_left = any(name not in lookup.tried for name in self._servers)
        if others_left and len(lookup.tried) < MAX_ATTEMPTS:
            self._waiting[lookup.request.priority].appendleft(lookup)
        else:
            self.refuse(lookup.request, "no record server answers")

    def refuse_overdue(self, now: float) -> None:
        """Refuse waiting lookups whose deadline has passed."""
        for queue in self._waiting.values():
            while queue and queue[0].request.deadline <= now:
                self.refuse(queue.popleft().request, "no record server became free in time")
