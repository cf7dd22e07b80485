"""State of the servers as a gateway knows it: listing, load, service time and failures. No I/O.

Holds what was reported and observed of each server. :mod:`yarrowwall.policy.server_choice` chooses
among them.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from statistics import median

from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.model import Incarnation, Server, Service
from yarrowwall.policy.incarnations import NewestIncarnations
from yarrowwall.policy.prefix_cache import PrefixCacheEstimate
from yarrowwall.policy.software_history import SoftwareHistory

#: Seconds after which the loads reported by other gateways are ignored.
LOAD_EXPIRY_SECONDS = 1.0
#: Seconds for which a server is avoided after a failure, doubled with each one up to the maximum.
SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 4.0
#: The same after a server answered that it is full: about as long as one of its requests takes.
FULL_SECONDS = 0.1
#: Weight of the newest service time in a server's average.
SERVICE_TIME_WEIGHT = 0.3
#: Seconds after which a server's average service time is ignored.
SERVICE_TIME_EXPIRY_SECONDS = 4.0
#: Multiple of the median service time above which a server counts as slow.
SLOW_FACTOR = 2.0
#: Seconds for which a server that is draining or no longer listed may serve if no other can.
VANISHED_SECONDS = 1.5


@dataclass
class ServerState:
    """What this gateway knows of one incarnation of a server.

    :param prefix_cache: estimate of what the server has cached.
    :param running: requests of this gateway in progress at the server.
    :param running_elsewhere: requests of all other gateways, by the last report.
    :param service_time_s: average seconds between events or for a lookup; None before the first.
    :param heard_at: time at which the server last sent data to this gateway.
    :param vanished_at: time at which the server was removed from the list; None while it is listed.
    :param draining_at: time at which the server began to drain; None if it does not.
    :ivar incarnation: incarnation that this state belongs to.
    :ivar incarnation_text: text of the incarnation, kept since every choice looks it up.
    """

    server: Server
    prefix_cache: PrefixCacheEstimate
    running: int = 0
    running_elsewhere: int = 0
    service_time_s: float | None = None
    service_time_at: float = 0.0
    heard_at: float = 0.0
    failures: int = 0
    suspended_until: float = 0.0
    vanished_at: float | None = None
    draining_at: float | None = None
    incarnation: Incarnation = field(init=False)
    incarnation_text: str = field(init=False)

    def __post_init__(self) -> None:
        """Store the incarnation, which never changes for one state."""
        self.incarnation = self.server.incarnation
        self.incarnation_text = self.server.incarnation_text


@dataclass
class ServerDirectory:
    """All known servers, each by its newest incarnation.

    State of one incarnation never applies to another one. Lists, watches and the ends of requests
    may name incarnations in any order.

    :param zone: the gateway's own zone.
    :ivar on_removed: called with an incarnation whose state was dropped, and with its successor or
        None.
    """

    zone: str
    states: dict[str, ServerState] = field(default_factory=dict)
    on_removed: Callable[[Incarnation, Incarnation | None], None] = lambda incarnation, successor: (
        None
    )
    _loads_at: float = -LOAD_EXPIRY_SECONDS
    _newest: NewestIncarnations = field(default_factory=NewestIncarnations)
    _history: SoftwareHistory = field(default_factory=SoftwareHistory)
    #: Software ids of the known servers by service; dropped when the list changes.
    _software: dict[str, frozenset[str]] = field(default_factory=dict)

    def replace_all(
        self, servers: Iterable[Server], services: dict[str, Service], now: float
    ) -> None:
        """Replace the list of servers."""
        listed = list(servers)
        names = {server.server_id for server in listed}
        for server_id in list(self.states):
            if server_id not in names:
                self.remove(Incarnation(server_id), now)
        for server in listed:
            self.put(server, services, now)

    def put(self, server: Server, services: dict[str, Service], now: float) -> None:
        """Add or update one entry of the list, unless its incarnation has ended."""
        if not self._newest.note(server.incarnation):
            return
        state = self.states.get(server.server_id)
        if state is not None:
            self._history.note(state.server, now)
        if state is not None and state.incarnation != server.incarnation:
            self._end_incarnation(state, server.incarnation)
            state = None
        server = self._with_version(server)
        self._history.note(server, now)
        self._software.clear()
        if state is None:
            state = ServerState(server, PrefixCacheEstimate(_cache_tokens(server, services)))
            self.states[server.server_id] = state
        state.server = server
        state.vanished_at = None
        if not server.is_draining:
            state.draining_at = None
        elif state.draining_at is None:
            state.draining_at = now

    def _end_incarnation(self, state: ServerState, successor: Incarnation | None) -> None:
        """Drop the state of an incarnation that has ended, including its request counts."""
        del self.states[state.server.server_id]
        self._software.clear()
        self.on_removed(state.incarnation, successor)

    def update_services(self, services: dict[str, Service]) -> None:
        """Update the servers' cache sizes from a configuration.

        Servers may be known before the configuration, since both are read concurrently at startup.
        """
        for state in self.states.values():
            state.prefix_cache.resize(_cache_tokens(state.server, services))

    def remove(self, incarnation: Incarnation, now: float) -> None:
        """Record that an entry was removed or cannot be used.

        :param incarnation: incarnation of the entry; if it has none, any known one is meant.
        """
        state = self.states.get(incarnation.server_id)
        if state is None or state.vanished_at is not None:
            return
        if incarnation.start_ms is None or not incarnation.is_before(state.incarnation):
            state.vanished_at = now
            self._history.note(state.server, now)

    def forget_vanished(self, now: float) -> None:
        """Drop servers that are no longer listed and run no request of this gateway."""
        for state in list(self.states.values()):
            is_expired = (
                state.vanished_at is not None and now - state.vanished_at > VANISHED_SECONDS
            )
            if is_expired and not state.running:
                self._end_incarnation(state, None)

    def candidates(
        self, service: str, tried: Collection[str], now: float, software: str | None = None
    ) -> list[ServerState]:
        """Return the servers that may take a request.

        Healthy servers, if there are any; else suspended ones, then those that are draining or no
        longer listed.

        :param software: the only software that may take it; None for any.
        """
        known = [
            state
            for state in self.states.values()
            if state.server.service == service and state.server.server_id not in tried
        ]
        if software is not None:
            known = [state for state in known if state.server.software_id == software]
            if any(not state.server.version for state in known) and self._states_version(service):
                # Servers that state no version may differ, unless no server states any.
                known = []
        listed = [state for state in known if state.vanished_at is None]
        staying = [state for state in listed if state.draining_at is None]
        healthy = [state for state in staying if state.suspended_until <= now]
        leaving = [state for state in known if _is_within_grace(state, now)]
        return healthy or staying or leaving

    def _states_version(self, service: str) -> bool:
        return any(server.version for server in self._servers_of(service))

    def software(self, service: str) -> frozenset[str]:
        """Return the software ids of the known servers of a service."""
        found = self._software.get(service)
        if found is None:
            servers = self._servers_of(service)
            found = frozenset(server.software_id for server in servers)
            self._software[service] = found
        return found

    def sole_software(self, service: str, now: float, listed: Iterable[Server] = ()) -> str | None:
        """Return the only software that servers of a service have run lately, or None.

        :param listed: servers of a list that may be newer than the known one.
        """
        newer = [self._with_version(server) for server in listed if server.service == service]
        return self._history.sole(service, [*self._servers_of(service), *newer], now)

    def _with_version(self, server: Server) -> Server:
        """Return a server with the version that its incarnation has stated before."""
        state = self.states.get(server.server_id)
        if server.version or state is None or state.incarnation != server.incarnation:
            return server
        # One run of a server has one version, even if a later entry does not state it.
        return replace(server, version=state.server.version)

    def _servers_of(self, service: str) -> list[Server]:
        return [state.server for state in self.states.values() if state.server.service == service]

    def load(self, state: ServerState, now: float) -> int:
        """Return the requests in progress at a server, of all gateways by the last report."""
        is_known = now - self._loads_at < LOAD_EXPIRY_SECONDS
        return state.running + (state.running_elsewhere if is_known else 0)

    def loads_age_s(self, now: float) -> float:
        """Return the seconds since the loads of other gateways were received."""
        return now - self._loads_at

    # Observations

    def running_by_incarnation(self) -> dict[str, int]:
        """Return this gateway's requests in progress by text of the server's incarnation."""
        return {
            state.incarnation_text: state.running for state in self.states.values() if state.running
        }

    def update_loads(self, running_elsewhere: Mapping[str, int], now: float) -> None:
        """Record the requests in progress of all other gateways by text of the incarnation."""
        self._loads_at = now
        for state in self.states.values():
            state.running_elsewhere = running_elsewhere.get(state.incarnation_text, 0)

    def state_of(self, incarnation: Incarnation) -> ServerState | None:
        """Return the state of an incarnation; None if it has ended or is unknown."""
        state = self.states.get(incarnation.server_id)
        return state if state is not None and state.incarnation == incarnation else None

    def note_heard(self, incarnation: Incarnation, now: float) -> None:
        """Record that a server sent data."""
        state = self.state_of(incarnation)
        if state is not None:
            state.heard_at = now

    def last_heard(self, incarnation: Incarnation) -> float:
        """Return when a server last sent data on any connection of this gateway."""
        state = self.state_of(incarnation)
        return state.heard_at if state is not None else 0.0

    def note_started(self, incarnation: Incarnation) -> ServerState | None:
        """Record that a request was sent to a server.

        :returns: the state in which its end must be counted, even if the server has restarted by
            then; None if this incarnation has already ended.
        """
        state = self.state_of(incarnation)
        if state is not None:
            state.running += 1
        return state

    def note_service_time(self, incarnation: Incarnation, seconds: float, now: float) -> None:
        """Record how long a server took for one event or one lookup."""
        state = self.state_of(incarnation)
        if state is None:
            return
        known = recent_service_time_s(state, now)
        state.service_time_s = (
            seconds if known is None else known + SERVICE_TIME_WEIGHT * (seconds - known)
        )
        state.service_time_at = now
        state.failures = 0

    def note_failure(self, incarnation: Incarnation, now: float) -> None:
        """Suspend a server after a failure."""
        state = self.state_of(incarnation)
        if state is None:
            return
        pause = exponential_backoff_s(SUSPENSION_SECONDS, MAX_SUSPENSION_SECONDS, state.failures)
        state.failures += 1
        state.suspended_until = now + pause

    def is_suspended(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a server is avoided after a failure, or has ended."""
        state = self.state_of(incarnation)
        return state is None or state.suspended_until > now

    def note_full(self, incarnation: Incarnation, now: float) -> None:
        """Suspend a server for a short time after it answered that it is full."""
        state = self.state_of(incarnation)
        if state is not None:
            state.suspended_until = max(state.suspended_until, now + FULL_SECONDS)


def _cache_tokens(server: Server, services: dict[str, Service]) -> int:
    service = services.get(server.service)
    return service.engine.cache_tokens if service is not None and service.engine else 0


def recent_service_time_s(state: ServerState, now: float) -> float | None:
    """Return the average service time of a server; None if it has expired."""
    return (
        state.service_time_s if now - state.service_time_at < SERVICE_TIME_EXPIRY_SECONDS else None
    )


def median_service_time_s(states: Iterable[ServerState], now: float) -> float:
    """Return the median of the servers' recent service times; 0 if there are none."""
    times_s = [
        time_s for state in states if (time_s := recent_service_time_s(state, now)) is not None
    ]
    return median(times_s) if times_s else 0.0


def _is_within_grace(state: ServerState, now: float) -> bool:
    """Return whether a server that is leaving may serve if no other can."""
    since = state.vanished_at if state.vanished_at is not None else state.draining_at
    return since is None or now - since < VANISHED_SECONDS
