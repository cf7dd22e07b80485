"""The servers as this gateway knows them, and the choice of one for a request. No I/O."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

from yarrowwall.core.hashing import fraction
from yarrowwall.relay.model import PromptPart, Server, Service
from yarrowwall.relay.prefixes import PrefixBelief

#: Tokens of prompt that an engine reads in a second; only ratios matter for the choice.
PREFILL_TOKENS_PER_SECOND = 250_000.0
#: Seconds that a request to another zone is held to cost more, for the way and its bytes.
OTHER_ZONE_SECONDS = 0.012
#: Seconds that each request of this gateway at a server adds for the next one.
SECONDS_PER_RUNNING = 0.002
#: Seconds added once this gateway alone fills a server's places.
FULL_SECONDS = 0.5
#: Seconds a server is passed over after it failed, doubled up to the most.
SUSPENSION_SECONDS = 0.5
MOST_SUSPENSION_SECONDS = 4.0
#: Weight of the newest observation of a server's pace.
PACE_WEIGHT = 0.3
#: Seconds after which an observed pace is no longer believed.
PACE_MEMORY_SECONDS = 4.0
#: Events that a stream is held to have when paces are compared.
EVENTS_PER_STREAM = 10.0
#: Seconds of difference that hashing may decide, so that gateways agree without talking.
TIE_SECONDS = 0.0005
#: Seconds after a server vanished from the list in which it may serve if no other does.
VANISHED_SECONDS = 1.5


@dataclass
class ServerState:
    """What this gateway knows of one server.

    :param pace: ratio of its speed to others'; seconds between events or for a lookup.
    """

    server: Server
    belief: PrefixBelief
    running: int = 0
    pace: float | None = None
    pace_at: float = 0.0
    heard_at: float = 0.0
    failures: int = 0
    suspended_until: float = 0.0
    vanished_at: float | None = None
    draining_at: float | None = None


@dataclass
class Choice:
    """Why a server was chosen, for the decision log."""

    server: Server
    cost: float
    cached_tokens: int
    candidates: int


@dataclass
class ServerDirectory:
    """All known servers.

    :param zone: the gateway's own zone.
    """

    zone: str
    states: dict[str, ServerState] = field(default_factory=dict)
    on_removed: Callable[[str], None] = lambda server_id: None

    def replace_all(
        self, servers: Iterable[Server], services: dict[str, Service], now: float
    ) -> None:
        """Take in the whole list."""
        listed = {server.server_id: server for server in servers}
        for server_id in list(self.states):
            if server_id not in listed:
                self.remove(server_id, now)
        for server in listed.values():
            self.put(server, services, now)

    def put(self, server: Server, services: dict[str, Service], now: float) -> None:
        """Take in one entry of the list."""
        state = self.states.get(server.server_id)
        if state is None:
            state = ServerState(server, PrefixBelief(_cache_tokens(server, services)))
            self.states[server.server_id] = state
        state.server = server
        state.vanished_at = None
        if not server.is_draining:
            state.draining_at = None
        elif state.draining_at is None:
            state.draining_at = now

    def remove(self, server_id: str, now: float) -> None:
        """Take in that an entry is gone."""
        state = self.states.get(server_id)
        if state is not None and state.vanished_at is None:
            state.vanished_at = now

    def forget_vanished(self, now: float) -> None:
        """Drop servers that vanished and run nothing of this gateway any more."""
        for server_id, state in list(self.states.items()):
            gone = state.vanished_at is not None and now - state.vanished_at > VANISHED_SECONDS
            if gone and not state.running:
                del self.states[server_id]
                self.on_removed(server_id)

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

    def choose(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        prompt: Sequence[PromptPart] = (),
        affinity: str = "",
    ) -> Choice | None:
        """Return the server with the least expected time; None if there is none."""
        states = self.candidates(service, tried, now)
        if not states:
            return None
        paces = [pace for state in states if (pace := _pace(state, now)) is not None]
        usual = min(paces, default=0.0)

        def cost(state: ServerState) -> float:
            return self._cost(state, prompt, usual, now) + TIE_SECONDS * fraction(
                affinity, state.server.server_id
            )

        best = min(states, key=cost)
        cached = best.belief.cached_tokens(prompt)
        return Choice(best.server, cost(best), cached, len(states))

    def _cost(
        self, state: ServerState, prompt: Sequence[PromptPart], usual: float, now: float
    ) -> float:
        tokens = sum(part.tokens for part in prompt) - state.belief.cached_tokens(prompt)
        seconds = tokens / PREFILL_TOKENS_PER_SECOND
        seconds += state.running * SECONDS_PER_RUNNING
        if state.server.zone != self.zone:
            seconds += OTHER_ZONE_SECONDS
        if state.running >= state.server.slots:
            seconds += FULL_SECONDS * (1 + state.running - state.server.slots)
        pace = _pace(state, now)
        if pace is not None:
            seconds += (pace - usual) * (EVENTS_PER_STREAM if prompt else 1.0)
        return seconds

    # Observations

    def note_heard(self, server_id: str, now: float) -> None:
        """Note that bytes came from a server."""
        state = self.states.get(server_id)
        if state is not None:
            state.heard_at = now

    def last_heard(self, server_id: str) -> float:
        """Return when a server was last heard of on any connection of this gateway."""
        state = self.states.get(server_id)
        return state.heard_at if state is not None else 0.0

    def started(self, server_id: str) -> None:
        """Note that a request was sent to a server."""
        self.states[server_id].running += 1

    def ended(self, server_id: str) -> None:
        """Note that a request at a server is over."""
        self.states[server_id].running -= 1

    def note_pace(self, server_id: str, seconds: float, now: float) -> None:
        """Note how long a server took for one event or one lookup."""
        state = self.states.get(server_id)
        if state is None:
            return
        known = _pace(state, now)
        state.pace = seconds if known is None else known + PACE_WEIGHT * (seconds - known)
        state.pace_at = now
        state.failures = 0

    def note_failure(self, server_id: str, now: float) -> None:
        """Pass a server over for a while after it failed."""
        state = self.states.get(server_id)
        if state is None:
            return
        pause = min(SUSPENSION_SECONDS * 2**state.failures, MOST_SUSPENSION_SECONDS)
        state.failures += 1
        state.suspended_until = now + pause

    def note_full(self, server_id: str, now: float) -> None:
        """Pass a server over for a moment after it said that it is full."""
        state = self.states.get(server_id)
        if state is not None:
            state.suspended_until = max(state.suspended_until, now + 0.1)


def _cache_tokens(server: Server, services: dict[str, Service]) -> int:
    service = services.get(server.service)
    return service.engine.cache_tokens if service is not None and service.engine else 0


def _pace(state: ServerState, now: float) -> float | None:
    """Return the observed pace if it is fresh enough to be believed."""
    return state.pace if now - state.pace_at < PACE_MEMORY_SECONDS else None


def _may_still_serve(state: ServerState, now: float) -> bool:
    """Return whether a leaving server may serve for want of any other."""
    since = state.vanished_at if state.vanished_at is not None else state.draining_at
    return since is None or now - since < VANISHED_SECONDS
