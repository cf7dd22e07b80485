"""The servers as a gateway knows them: which are listed, how busy, how quick, how sound. No I/O.

Owns what was told and observed of each server; :mod:`yarrowwall.policy.server_choice` chooses.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.model import Incarnation, Server, Service
from yarrowwall.policy.incarnations import NewestIncarnations
from yarrowwall.policy.prefix_cache import PrefixCacheEstimate

#: Seconds after which what other gateways had under way is no longer believed.
LOAD_EXPIRY_SECONDS = 1.0
#: Seconds a server is passed over after it failed, doubled up to the most.
SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 4.0
#: The same after it said that it is full: about as long as one of its requests takes.
FULL_SECONDS = 0.1
#: Weight of the newest observation of a server's pace.
SERVICE_TIME_WEIGHT = 0.3
#: Seconds after which an observed pace is no longer believed.
SERVICE_TIME_EXPIRY_SECONDS = 4.0
#: Times the usual pace beyond which a server counts as slow.
SLOW_FACTOR = 2.0
#: Seconds after a server vanished from the list in which it may serve if no other does.
VANISHED_SECONDS = 1.5


@dataclass
class ServerState:
    """What this gateway knows of one incarnation of a server.

    :param running: requests of this gateway under way there.
    :param elsewhere: requests of all other gateways, as they told last.
    :param service_time_s: ratio of its speed to others'; seconds between events or for a lookup.
    :ivar incarnation: the one that this is known of, and its text, which each choice looks up.
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
        """Keep the incarnation, which is the same for as long as the state is."""
        self.incarnation = self.server.incarnation
        self.incarnation_text = self.server.incarnation_text


@dataclass
class ServerDirectory:
    """All known servers, each by its newest incarnation.

    What is known of an incarnation counts for no other one. Lists, watches and the ends of
    requests may tell of incarnations in any order.

    :param zone: the gateway's own zone.
    :ivar on_removed: called with an incarnation of which nothing is kept any more, and with the one
        that has taken its place, if it is known.
    """

    zone: str
    states: dict[str, ServerState] = field(default_factory=dict)
    on_removed: Callable[[Incarnation, Incarnation | None], None] = lambda incarnation, successor: (
        None
    )
    _told_at: float = -LOAD_EXPIRY_SECONDS
    _newest: NewestIncarnations = field(default_factory=NewestIncarnations)

    def replace_all(
        self, servers: Iterable[Server], services: dict[str, Service], now: float
    ) -> None:
        """Take in the whole list."""
        listed = list(servers)
        names = {server.server_id for server in listed}
        for server_id in list(self.states):
            if server_id not in names:
                self.remove(Incarnation(server_id), now)
        for server in listed:
            self.put(server, services, now)

    def put(self, server: Server, services: dict[str, Service], now: float) -> None:
        """Take in one entry of the list, unless it tells of an incarnation that is over."""
        if not self._newest.note(server.incarnation):
            return
        state = self.states.get(server.server_id)
        if state is not None and state.incarnation != server.incarnation:
            self._end_incarnation(state, server.incarnation)
            state = None
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
        """Forget all that was known of one that is over, its requests under way with it."""
        del self.states[state.server.server_id]
        self.on_removed(state.incarnation, successor)

    def update_services(self, services: dict[str, Service]) -> None:
        """Take in what a configuration says of the engines' memory.

        Servers may be known before the configuration: both are read at once at a start.
        """
        for state in self.states.values():
            state.prefix_cache.resize(_cache_tokens(state.server, services))

    def remove(self, incarnation: Incarnation, now: float) -> None:
        """Take in that an entry is gone, or can't be used.

        :param incarnation: which the entry told; one untold stands for whichever is known.
        """
        state = self.states.get(incarnation.server_id)
        if state is None or state.vanished_at is not None:
            return
        if incarnation.start_ms is None or not incarnation.is_before(state.incarnation):
            state.vanished_at = now

    def forget_vanished(self, now: float) -> None:
        """Drop servers that vanished and run nothing of this gateway any more."""
        for state in list(self.states.values()):
            gone = state.vanished_at is not None and now - state.vanished_at > VANISHED_SECONDS
            if gone and not state.running:
                self._end_incarnation(state, None)

    def candidates(self, service: str, tried: Collection[str], now: float) -> list[ServerState]:
        """Return the servers that may take a request, the sound ones if there are any."""
        known = [
            state
            for state in self.states.values()
            if state.server.service == service and state.server.server_id not in tried
        ]
        listed = [state for state in known if state.vanished_at is None]
        staying = [state for state in listed if state.draining_at is None]
        sound = [state for state in staying if state.suspended_until <= now]
        leaving = [state for state in known if _may_still_serve(state, now)]
        return sound or staying or leaving

    def load(self, state: ServerState, now: float) -> int:
        """Return the requests under way at a server, of all gateways as far as known."""
        is_known = now - self._told_at < LOAD_EXPIRY_SECONDS
        return state.running + (state.running_elsewhere if is_known else 0)

    def loads_age_s(self, now: float) -> float:
        """Return the seconds since other gateways' requests were told."""
        return now - self._told_at

    # Observations

    def running_by_incarnation(self) -> dict[str, int]:
        """Return this gateway's requests under way by the text of the server's incarnation."""
        return {
            state.incarnation_text: state.running for state in self.states.values() if state.running
        }

    def update_loads(self, running_elsewhere: Mapping[str, int], now: float) -> None:
        """Take in what all other gateways have under way, by the incarnation's text."""
        self._told_at = now
        for state in self.states.values():
            state.running_elsewhere = running_elsewhere.get(state.incarnation_text, 0)

    def state_of(self, incarnation: Incarnation) -> ServerState | None:
        """Return what is known of an incarnation; None once it is over."""
        state = self.states.get(incarnation.server_id)
        return state if state is not None and state.incarnation == incarnation else None

    def note_heard(self, incarnation: Incarnation, now: float) -> None:
        """Note that bytes came from a server."""
        state = self.state_of(incarnation)
        if state is not None:
            state.heard_at = now

    def last_heard(self, incarnation: Incarnation) -> float:
        """Return when a server was last heard of on any connection of this gateway."""
        state = self.state_of(incarnation)
        return state.heard_at if state is not None else 0.0

    def note_started(self, incarnation: Incarnation) -> ServerState | None:
        """Note that a request was sent to a server.

        :returns: where its end is to be noted, whatever incarnation the server is meanwhile; None
            if this one is over already.
        """
        state = self.state_of(incarnation)
        if state is not None:
            state.running += 1
        return state

    def note_service_time(self, incarnation: Incarnation, seconds: float, now: float) -> None:
        """Note how long a server took for one event or one lookup."""
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
        """Pass a server over for a while after it failed."""
        state = self.state_of(incarnation)
        if state is None:
            return
        pause = exponential_backoff_s(SUSPENSION_SECONDS, MAX_SUSPENSION_SECONDS, state.failures)
        state.failures += 1
        state.suspended_until = now + pause

    def note_full(self, incarnation: Incarnation, now: float) -> None:
        """Pass a server over for a moment after it said that it is full."""
        state = self.state_of(incarnation)
        if state is not None:
            state.suspended_until = max(state.suspended_until, now + FULL_SECONDS)


def _cache_tokens(server: Server, services: dict[str, Service]) -> int:
    service = services.get(server.service)
    return service.engine.cache_tokens if service is not None and service.engine else 0


def recent_service_time_s(state: ServerState, now: float) -> float | None:
    """Return the observed pace if it is fresh enough to be believed."""
    return (
        state.service_time_s if now - state.service_time_at < SERVICE_TIME_EXPIRY_SECONDS else None
    )


def median_service_time_s(states: Iterable[ServerState], now: float) -> float:
    """Return the median of the paces that are believed; 0 if there is none."""
    paces = [pace for state in states if (pace := recent_service_time_s(state, now)) is not None]
    return median(paces) if paces else 0.0


def _may_still_serve(state: ServerState, now: float) -> bool:
    """Return whether a leaving server may serve for want of any other."""
    since = state.vanished_at if state.vanished_at is not None else state.draining_at
    return since is None or now - since < VANISHED_SECONDS
