"""The servers as this gateway knows them, and the choice of one for a request. No I/O."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from yarrowwall.backoff import doubled_s
from yarrowwall.hashing import fraction
from yarrowwall.model import PromptPart, Server, ServerLife, Service
from yarrowwall.policy.lives import NewestLives
from yarrowwall.policy.prefixes import PrefixBelief, SharedParts

#: Tokens of prompt that an engine reads in a second. Reading holds up all other requests
#: of the engine, so this is half of what an engine reads for a request alone.
PREFILL_TOKENS_PER_SECOND = 130_000.0
#: Seconds that the way to another zone and back is held to cost.
OTHER_ZONE_SECONDS = 0.004
#: The same for the first turn of a program, whose prompts all go the same way later. It is
#: more than hashing may decide, so programs begin in their own zone while it has room.
OTHER_ZONE_FIRST_SECONDS = 0.04
#: Seconds that each stream, or each lookup, at a server adds for the next one.
STREAM_LOAD_SECONDS = 0.0005
LOOKUP_LOAD_SECONDS = 0.002
#: Part of a server's places up to which no request waits, even if the loads that other
#: gateways told are a little old.
FREE_SHARE = 0.75
#: Seconds that a request is held to keep its place: a stream, and a lookup.
STREAM_SECONDS = 0.4
LOOKUP_SECONDS = 0.04
#: Seconds after which what other gateways had under way is no longer believed.
LOAD_MEMORY_SECONDS = 1.0
#: Seconds a server is passed over after it failed, doubled up to the most.
SUSPENSION_SECONDS = 0.5
MOST_SUSPENSION_SECONDS = 4.0
#: Weight of the newest observation of a server's pace.
PACE_WEIGHT = 0.3
#: Seconds after which an observed pace is no longer believed.
PACE_MEMORY_SECONDS = 4.0
#: Events that a stream is held to have when paces are compared.
EVENTS_PER_STREAM = 10.0
#: Seconds of difference that hashing may decide, so that gateways agree without talking:
#: for lookups, which run faster where their object was seen lately, and for streams, whose
#: program is read anew where it was not seen.
LOOKUP_SPREAD_SECONDS = 0.004
STREAM_SPREAD_SECONDS = 0.03
#: Times the usual pace beyond which a server counts as slow.
SLOW_FACTOR = 2.0
#: Tokens that a server which ran the turn before is held to read at most.
NEW_TOKENS = 1000
#: Parts of a prompt of which the first is shared among programs.
LEAST_SHARED_PARTS = 2
#: Seconds after a server vanished from the list in which it may serve if no other does.
VANISHED_SECONDS = 1.5


@dataclass
class ServerState:
    """What this gateway knows of one life of a server.

    :param running: requests of this gateway under way there.
    :param elsewhere: requests of all other gateways, as they told last.
    :param pace: ratio of its speed to others'; seconds between events or for a lookup.
    :ivar life: the life that this is known of, and its text, which each choice looks up.
    """

    server: Server
    belief: PrefixBelief
    running: int = 0
    elsewhere: int = 0
    pace: float | None = None
    pace_at: float = 0.0
    heard_at: float = 0.0
    failures: int = 0
    suspended_until: float = 0.0
    vanished_at: float | None = None
    draining_at: float | None = None
    life: ServerLife = field(init=False)
    life_text: str = field(init=False)

    def __post_init__(self) -> None:
        """Keep the life, which is the same for as long as the state is."""
        self.life = self.server.life
        self.life_text = self.server.life_text


class Wish(NamedTuple):
    """What speaks for one server or another.

    :param affinity: what all requests that should meet at one server have in common.
    :param last_server: the life of the server where the program's turn before ran, as
        :attr:`ServerLife.text`; empty if unknown.
    """

    prompt: Sequence[PromptPart]
    affinity: str
    last_server: str

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompt."""
        return sum(part.tokens for part in self.prompt)


@dataclass
class Choice:
    """Why a server was chosen, for the decision log."""

    server: Server
    cost: float
    cached_tokens: int
    candidates: int
    load: int


@dataclass
class ServerDirectory:
    """All known servers, each by its newest life.

    What is known of a life counts for no other one. Lists, watches and the ends of requests may
    tell of lives in any order.

    :param zone: the gateway's own zone.
    :ivar on_removed: called with a life of which nothing is kept any more, and with the one
        that has taken its place, if it is known.
    """

    zone: str
    states: dict[str, ServerState] = field(default_factory=dict)
    on_removed: Callable[[ServerLife, ServerLife | None], None] = lambda life, successor: None
    _told_at: float = -LOAD_MEMORY_SECONDS
    _shared: SharedParts = field(default_factory=SharedParts)
    _newest: NewestLives = field(default_factory=NewestLives)

    def replace_all(
        self, servers: Iterable[Server], services: dict[str, Service], now: float
    ) -> None:
        """Take in the whole list."""
        listed = list(servers)
        names = {server.server_id for server in listed}
        for server_id in list(self.states):
            if server_id not in names:
                self.remove(ServerLife(server_id), now)
        for server in listed:
            self.put(server, services, now)

    def put(self, server: Server, services: dict[str, Service], now: float) -> None:
        """Take in one entry of the list, unless it tells of a life that is over."""
        if not self._newest.note(server.life):
            return
        state = self.states.get(server.server_id)
        if state is not None and state.life != server.life:
            self._end_life(state, server.life)
            state = None
        if state is None:
            state = ServerState(server, PrefixBelief(_cache_tokens(server, services)))
            self.states[server.server_id] = state
        state.server = server
        state.vanished_at = None
        if not server.is_draining:
            state.draining_at = None
        elif state.draining_at is None:
            state.draining_at = now

    def _end_life(self, state: ServerState, successor: ServerLife | None) -> None:
        """Forget all that was known of a life that is over, its requests under way with it."""
        del self.states[state.server.server_id]
        self.on_removed(state.life, successor)

    def take_services(self, services: dict[str, Service]) -> None:
        """Take in what a configuration says of the engines' memory.

        Servers may be known before the configuration: both are read at once at a start.
        """
        for state in self.states.values():
            state.belief.resize(_cache_tokens(state.server, services))

    def remove(self, life: ServerLife, now: float) -> None:
        """Take in that an entry is gone, or can't be used.

        :param life: the life that the entry told; one untold stands for whichever is known.
        """
        state = self.states.get(life.server_id)
        if state is None or state.vanished_at is not None:
            return
        if life.born_ms is None or not life.is_before(state.life):
            state.vanished_at = now

    def forget_vanished(self, now: float) -> None:
        """Drop servers that vanished and run nothing of this gateway any more."""
        for state in list(self.states.values()):
            gone = state.vanished_at is not None and now - state.vanished_at > VANISHED_SECONDS
            if gone and not state.running:
                self._end_life(state, None)

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
        wish: Wish,
    ) -> Choice | None:
        """Return the server with the least expected time; None if there is none."""
        states = self.candidates(service, tried, now)
        if not states:
            return None
        usual = usual_pace(states, now)
        # A server that started again holds nothing of the turn before.
        lives = {state.life_text: state.server.server_id for state in states}
        wish = wish._replace(last_server=lives.get(wish.last_server, ""))
        reading = self._reading(states, wish)
        costs = {
            state.server.server_id: self._cost(state, bool(wish.prompt), usual, now)
            + self._preference(state, wish)
            + reading[state.server.server_id] / PREFILL_TOKENS_PER_SECOND
            for state in states
        }
        best = min(states, key=lambda state: costs[state.server.server_id])
        server_id = best.server.server_id
        cached = wish.tokens - reading[server_id]
        return Choice(best.server, costs[server_id], cached, len(states), self.load(best, now))

    def _preference(self, state: ServerState, wish: Wish) -> float:
        """Return the seconds by which a server is less wanted, load and memory apart.

        All gateways of a zone agree on it, so the requests of one program meet at one
        server, whichever gateways they come through.
        """
        is_near = state.server.zone == self.zone
        if wish.last_server:
            return 0.0 if is_near else OTHER_ZONE_SECONDS
        share = fraction(wish.affinity, state.server.server_id)
        if wish.prompt:
            far_s = 0.0 if is_near else OTHER_ZONE_FIRST_SECONDS
            return far_s + STREAM_SPREAD_SECONDS * share
        return (0.0 if is_near else OTHER_ZONE_SECONDS) + LOOKUP_SPREAD_SECONDS * share

    def _reading(self, states: Sequence[ServerState], wish: Wish) -> dict[str, int]:
        """Return the tokens that each server would have to read of a prompt."""
        prompt = wish.prompt
        found = {
            state.server.server_id: wish.tokens - state.belief.cached_tokens(prompt)
            for state in states
        }
        if len(prompt) < LEAST_SHARED_PARTS:
            return found
        shared = prompt[0].tokens
        own = wish.tokens - shared
        self._shared.note(prompt[0])
        if self._shared.fit_into(min(state.belief.capacity for state in states)):
            # Every server soon holds what all programs share.
            found = {server_id: min(missing, own) for server_id, missing in found.items()}
        if wish.last_server:
            found[wish.last_server] = min(found[wish.last_server], NEW_TOKENS)
        elif min(found.values()) >= own:
            # Nothing of this program went through this gateway yet. If others saw it,
            # they sent it where it is wanted most.
            home = min(states, key=lambda state: self._preference(state, wish))
            found[home.server.server_id] -= own
        return found

    def _cost(self, state: ServerState, is_stream: bool, usual: float, now: float) -> float:
        """Return the seconds that a server's load and pace are expected to cost."""
        load = self.load(state, now)
        seconds = load * (STREAM_LOAD_SECONDS if is_stream else LOOKUP_LOAD_SECONDS)
        ahead = load + 1 - FREE_SHARE * state.server.slots
        if ahead > 0:
            held = STREAM_SECONDS if is_stream else LOOKUP_SECONDS
            seconds += ahead * held / state.server.slots
        pace = believed_pace(state, now)
        if pace is not None:
            # Paces differ by load and luck; only a server far off the others is slow.
            excess = max(0.0, pace - SLOW_FACTOR * usual)
            seconds += excess * (EVENTS_PER_STREAM if is_stream else 1.0)
        return seconds

    def load(self, state: ServerState, now: float) -> int:
        """Return the requests under way at a server, of all gateways as far as known."""
        is_known = now - self._told_at < LOAD_MEMORY_SECONDS
        return state.running + (state.elsewhere if is_known else 0)

    def loads_age_s(self, now: float) -> float:
        """Return the seconds since other gateways' requests were told."""
        return now - self._told_at

    # Observations

    def running(self) -> dict[str, int]:
        """Return this gateway's requests under way by the text of the server's life."""
        return {state.life_text: state.running for state in self.states.values() if state.running}

    def take_loads(self, elsewhere: Mapping[str, int], now: float) -> None:
        """Take in what all other gateways have under way, by the text of the server's life."""
        self._told_at = now
        for state in self.states.values():
            state.elsewhere = elsewhere.get(state.life_text, 0)

    def state_of(self, life: ServerLife) -> ServerState | None:
        """Return what is known of a life; None once it is over."""
        state = self.states.get(life.server_id)
        return state if state is not None and state.life == life else None

    def note_heard(self, life: ServerLife, now: float) -> None:
        """Note that bytes came from a server."""
        state = self.state_of(life)
        if state is not None:
            state.heard_at = now

    def last_heard(self, life: ServerLife) -> float:
        """Return when a server was last heard of on any connection of this gateway."""
        state = self.state_of(life)
        return state.heard_at if state is not None else 0.0

    def started(self, life: ServerLife) -> ServerState | None:
        """Note that a request was sent to a server.

        :returns: where its end is to be noted, whatever lives the server has meanwhile; None if
            this one is over already.
        """
        state = self.state_of(life)
        if state is not None:
            state.running += 1
        return state

    def note_pace(self, life: ServerLife, seconds: float, now: float) -> None:
        """Note how long a server took for one event or one lookup."""
        state = self.state_of(life)
        if state is None:
            return
        known = believed_pace(state, now)
        state.pace = seconds if known is None else known + PACE_WEIGHT * (seconds - known)
        state.pace_at = now
        state.failures = 0

    def note_failure(self, life: ServerLife, now: float) -> None:
        """Pass a server over for a while after it failed."""
        state = self.state_of(life)
        if state is None:
            return
        pause = doubled_s(SUSPENSION_SECONDS, MOST_SUSPENSION_SECONDS, state.failures)
        state.failures += 1
        state.suspended_until = now + pause

    def note_full(self, life: ServerLife, now: float) -> None:
        """Pass a server over for a moment after it said that it is full."""
        state = self.state_of(life)
        if state is not None:
            state.suspended_until = max(state.suspended_until, now + 0.1)


def _cache_tokens(server: Server, services: dict[str, Service]) -> int:
    service = services.get(server.service)
    return service.engine.cache_tokens if service is not None and service.engine else 0


def believed_pace(state: ServerState, now: float) -> float | None:
    """Return the observed pace if it is fresh enough to be believed."""
    return state.pace if now - state.pace_at < PACE_MEMORY_SECONDS else None


def usual_pace(states: Iterable[ServerState], now: float) -> float:
    """Return the median of the paces that are believed; 0 if there is none."""
    paces = [pace for state in states if (pace := believed_pace(state, now)) is not None]
    return median(paces) if paces else 0.0


def _may_still_serve(state: ServerState, now: float) -> bool:
    """Return whether a leaving server may serve for want of any other."""
    since = state.vanished_at if state.vanished_at is not None else state.draining_at
    return since is None or now - since < VANISHED_SECONDS
