"""Which server gets a request: the one with the least expected time. No I/O.

The time is made up of the load and the pace of a server, what it would have to read of the prompt,
and the way to it. All gateways of a zone come to the same answer from the same loads, so the
requests of one program meet at one server without talk among gateways. All costs are seconds.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from yarrowwall.hashing import fraction
from yarrowwall.model import PromptPart, Server
from yarrowwall.policy.prefix_cache import SharedPrefixes
from yarrowwall.policy.servers import (
    SLOW_FACTOR,
    ServerDirectory,
    ServerState,
    median_service_time_s,
    recent_service_time_s,
)

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
UNQUEUED_SHARE = 0.75
#: Seconds that a request is held to keep its place: a stream, and a lookup.
STREAM_SECONDS = 0.4
LOOKUP_SECONDS = 0.04
#: Events that a stream is held to have when paces are compared.
EVENTS_PER_STREAM = 10.0
#: Seconds of difference that hashing may decide, so that gateways agree without talking:
#: for lookups, which run faster where their object was seen lately, and for streams, whose
#: program is read anew where it was not seen.
LOOKUP_TIEBREAK_SECONDS = 0.004
STREAM_TIEBREAK_SECONDS = 0.03
#: Tokens that a server which ran the turn before is held to read at most.
NEW_TOKENS = 1000
#: Parts of a prompt of which the first is shared among programs.
MIN_SHARED_PARTS = 2


class PlacementRequest(NamedTuple):
    """What speaks for one server or another.

    :param affinity: what all requests that should meet at one server have in common.
    :param last_server: the incarnation of the server where the program's turn before ran, as
        :attr:`Incarnation.text`; empty if unknown.
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


class ServerChooser:
    """Chooses among the servers of a directory."""

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._shared = SharedPrefixes()

    def choose(
        self,
        service: str,
        tried: Collection[str],
        now: float,
        request: PlacementRequest,
    ) -> Choice | None:
        """Return the server with the least expected time; None if there is none."""
        states = self._directory.candidates(service, tried, now)
        if not states:
            return None
        usual = median_service_time_s(states, now)
        # A server that started again holds nothing of the turn before.
        incarnations = {state.incarnation_text: state.server.server_id for state in states}
        request = request._replace(last_server=incarnations.get(request.last_server, ""))
        reading = self._reading(states, request)
        costs = {
            state.server.server_id: self._cost(state, bool(request.prompt), usual, now)
            + self._preference(state, request)
            + reading[state.server.server_id] / PREFILL_TOKENS_PER_SECOND
            for state in states
        }
        best = min(states, key=lambda state: costs[state.server.server_id])
        server_id = best.server.server_id
        cached = request.tokens - reading[server_id]
        return Choice(
            best.server, costs[server_id], cached, len(states), self._directory.load(best, now)
        )

    def _preference(self, state: ServerState, request: PlacementRequest) -> float:
        """Return the seconds by which a server is less wanted, load and memory apart.

        All gateways of a zone agree on it, so the requests of one program meet at one
        server, whichever gateways they come through.
        """
        is_near = state.server.zone == self._directory.zone
        if request.last_server:
            return 0.0 if is_near else OTHER_ZONE_SECONDS
        share = fraction(request.affinity, state.server.server_id)
        if request.prompt:
            far_s = 0.0 if is_near else OTHER_ZONE_FIRST_SECONDS
            return far_s + STREAM_TIEBREAK_SECONDS * share
        return (0.0 if is_near else OTHER_ZONE_SECONDS) + LOOKUP_TIEBREAK_SECONDS * share

    def _reading(self, states: Sequence[ServerState], request: PlacementRequest) -> dict[str, int]:
        """Return the tokens that each server would have to read of a prompt."""
        prompt = request.prompt
        found = {
            state.server.server_id: request.tokens - state.prefix_cache.cached_tokens(prompt)
            for state in states
        }
        if len(prompt) < MIN_SHARED_PARTS:
            return found
        shared = prompt[0].tokens
        own = request.tokens - shared
        self._shared.note(prompt[0])
        if self._shared.fit_into(min(state.prefix_cache.capacity for state in states)):
            # Every server soon holds what all programs share.
            found = {server_id: min(missing, own) for server_id, missing in found.items()}
        if request.last_server:
            found[request.last_server] = min(found[request.last_server], NEW_TOKENS)
        elif min(found.values()) >= own:
            # Nothing of this program went through this gateway yet. If others saw it,
            # they sent it where it is wanted most.
            home = min(states, key=lambda state: self._preference(state, request))
            found[home.server.server_id] -= own
        return found

    def _cost(self, state: ServerState, is_stream: bool, usual: float, now: float) -> float:
        """Return the seconds that a server's load and pace are expected to cost."""
        load = self._directory.load(state, now)
        seconds = load * (STREAM_LOAD_SECONDS if is_stream else LOOKUP_LOAD_SECONDS)
        ahead = load + 1 - UNQUEUED_SHARE * state.server.slots
        if ahead > 0:
            held = STREAM_SECONDS if is_stream else LOOKUP_SECONDS
            seconds += ahead * held / state.server.slots
        pace = recent_service_time_s(state, now)
        if pace is not None:
            # Paces differ by load and luck; only a server far off the others is slow.
            excess = max(0.0, pace - SLOW_FACTOR * usual)
            seconds += excess * (EVENTS_PER_STREAM if is_stream else 1.0)
        return seconds
