"""Chooses the server with the lowest expected time for a request. No I/O.

The time depends on the server's load and service time, the part of the prompt that it must prefill,
and the network latency. Given the same loads, all gateways of a zone choose the same server, so the
requests of one program reach one server without coordination among gateways. All costs are seconds.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from yarrowwall.hashing import fraction
from yarrowwall.model import Attempt, PromptPart, Route, Server
from yarrowwall.policy.prefix_cache import SharedPrefixes
from yarrowwall.policy.servers import (
    SLOW_FACTOR,
    ServerDirectory,
    ServerState,
    median_service_time_s,
    recent_service_time_s,
)

#: Prompt tokens that an engine prefills per second. Prefill delays all other requests of the
#: engine, so this is half the rate for a single request.
PREFILL_TOKENS_PER_SECOND = 130_000.0
#: Assumed cost of a round trip to another zone, in seconds.
OTHER_ZONE_SECONDS = 0.004
#: The same for the first turn of a program, whose later prompts all take the same path. It exceeds
#: the tiebreak seconds, so programs begin in their own zone while it has free slots.
OTHER_ZONE_FIRST_SECONDS = 0.04
#: Seconds that each stream, or each lookup, at a server adds to the next one.
STREAM_LOAD_SECONDS = 0.0005
LOOKUP_LOAD_SECONDS = 0.002
#: Share of a server's slots up to which no request is queued, even if the loads reported by other
#: gateways are slightly out of date.
UNQUEUED_SHARE = 0.75
#: Seconds for which a stream, and a lookup, is assumed to occupy its slot.
STREAM_SECONDS = 0.4
LOOKUP_SECONDS = 0.04
#: Events that a stream is assumed to have when service times are compared.
EVENTS_PER_STREAM = 10.0
#: Differences in seconds up to which hashing decides, so that gateways agree without coordination:
#: for lookups, which are faster where their object was used recently, and for streams, whose prompt
#: must be prefilled where it is not cached.
LOOKUP_TIEBREAK_SECONDS = 0.004
STREAM_TIEBREAK_SECONDS = 0.03
#: Assumed cost of recording that a stream runs at other software than was expected, in seconds.
SOFTWARE_CHANGE_SECONDS = 0.004
#: Maximum number of tokens that the server of the previous turn is assumed to prefill.
NEW_TOKENS = 1000
#: Minimum number of parts of a prompt for its first part to be shared among programs.
MIN_SHARED_PARTS = 2


def placement_affinity(attempt: Attempt, route: Route) -> str:
    """Return the hash key of a request; requests of one program have the same."""
    affinity = (attempt.affinity or "") if route.is_sticky else ""
    if attempt.program is not None and (attempt.prompt or not affinity):
        return attempt.program.program_id
    return affinity


class PlacementRequest(NamedTuple):
    """The properties of a request that matter for the choice of a server.

    :param affinity: hash key, equal for all requests that should reach the same server.
    :param last_server: incarnation of the server that ran the program's previous turn, as
        :attr:`Incarnation.text`; empty if unknown.
    :param expected_software: software that the request is recorded to run at; empty for none.
    :param software: the only software that may take it; None for any.
    """

    prompt: Sequence[PromptPart]
    affinity: str
    last_server: str
    expected_software: str = ""
    software: str | None = None

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompt."""
        return sum(part.tokens for part in self.prompt)


@dataclass
class Choice:
    """The chosen server, and the inputs of the choice for the decision log."""

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
        """Return the server with the lowest expected time; None without candidates."""
        states = self._directory.candidates(service, tried, now, request.software)
        if not states:
            return None
        median_s = median_service_time_s(states, now)
        # A restarted server has nothing cached of the previous turn.
        incarnations = {state.incarnation_text: state.server.server_id for state in states}
        request = request._replace(last_server=incarnations.get(request.last_server, ""))
        prefill = self._prefill_tokens(states, request)
        costs = {
            state.server.server_id: self._cost(state, bool(request.prompt), median_s, now)
            + self._preference(state, request)
            + prefill[state.server.server_id] / PREFILL_TOKENS_PER_SECOND
            for state in states
        }
        if request.expected_software:
            for state in states:
                if state.server.software_id != request.expected_software:
                    costs[state.server.server_id] += SOFTWARE_CHANGE_SECONDS
        best = min(states, key=lambda state: costs[state.server.server_id])
        server_id = best.server.server_id
        cached = request.tokens - prefill[server_id]
        return Choice(
            best.server, costs[server_id], cached, len(states), self._directory.load(best, now)
        )

    def _preference(self, state: ServerState, request: PlacementRequest) -> float:
        """Return the cost of a server by zone and hash, without its load and cache.

        It is the same at all gateways of a zone, so the requests of one program reach the same
        server through any of them.
        """
        is_near = state.server.zone == self._directory.zone
        if request.last_server:
            return 0.0 if is_near else OTHER_ZONE_SECONDS
        share = fraction(request.affinity, state.server.server_id)
        if request.prompt:
            far_s = 0.0 if is_near else OTHER_ZONE_FIRST_SECONDS
            return far_s + STREAM_TIEBREAK_SECONDS * share
        return (0.0 if is_near else OTHER_ZONE_SECONDS) + LOOKUP_TIEBREAK_SECONDS * share

    def _prefill_tokens(
        self, states: Sequence[ServerState], request: PlacementRequest
    ) -> dict[str, int]:
        """Return the tokens of a prompt that each server would have to prefill."""
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
            # Every server soon has all shared prefixes cached.
            found = {server_id: min(missing, own) for server_id, missing in found.items()}
        if request.last_server:
            found[request.last_server] = min(found[request.last_server], NEW_TOKENS)
        elif min(found.values()) >= own:
            # This gateway has sent nothing of this program yet. Other gateways would have sent it
            # to the preferred server.
            home = min(states, key=lambda state: self._preference(state, request))
            found[home.server.server_id] -= own
        return found

    def _cost(self, state: ServerState, is_stream: bool, median_s: float, now: float) -> float:
        """Return the expected cost of a server's load and service time in seconds."""
        load = self._directory.load(state, now)
        seconds = load * (STREAM_LOAD_SECONDS if is_stream else LOOKUP_LOAD_SECONDS)
        queued = load + 1 - UNQUEUED_SHARE * state.server.slots
        if queued > 0:
            held_s = STREAM_SECONDS if is_stream else LOOKUP_SECONDS
            seconds += queued * held_s / state.server.slots
        service_time_s = recent_service_time_s(state, now)
        if service_time_s is not None:
            # Service times vary with load and chance; only a server far above the others is slow.
            excess = max(0.0, service_time_s - SLOW_FACTOR * median_s)
            seconds += excess * (EVENTS_PER_STREAM if is_stream else 1.0)
        return seconds
