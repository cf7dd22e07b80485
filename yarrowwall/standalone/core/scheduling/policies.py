"""Placement policies: the cost-based one, and baselines to compare it with."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from yarrowwall.hashing import first
from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.scheduling.engines import EngineProfile, EngineView
from yarrowwall.standalone.core.scheduling.types import WaitingCall


class Policy(Protocol):
    """Chooses an engine for one call."""

    #: Whether waiting calls are ordered by priority and by the age of their program.
    orders_calls: bool

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the engine for a call; None if the call should wait.

        :param engines: usable engines, by id; never empty.
        """

    def is_full(self, engine: EngineView) -> bool:
        """Return whether routine calls wait instead of being sent to an engine now."""

    def holds(self, call: WaitingCall) -> bool:
        """Return whether the engine keeps the call's prefix after the answer."""


class Baseline:
    """Base class of the baselines: first come, first served, no cache held."""

    orders_calls = False

    def is_full(self, engine: EngineView) -> bool:
        """Return False: baselines send every call at once, and it queues at the engine."""
        return False

    def holds(self, call: WaitingCall) -> bool:
        """Return False: baselines hold no cache."""
        return False


class RoundRobin(Baseline):
    """Baseline: each engine in turn."""

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the next engine in turn."""
        self._count += 1
        return engines[self._count % len(engines)]


class LeastLoaded(Baseline):
    """Baseline: the engine with the fewest calls relative to its capacity."""

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the engine with the lowest occupancy relative to its capacity."""
        return min(engines, key=lambda engine: engine.occupancy() / engine.capacity())


class Sticky(Baseline):
    """Baseline: all calls of a program go to one engine."""

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the engine that the program's id hashes to."""
        chosen = first(call.program_id, [engine.machine.engine_id for engine in engines])
        return next(engine for engine in engines if engine.machine.engine_id == chosen)


@dataclass(frozen=True)
class CostWeights:
    """Weights of the cost of a placement.

    :param wasted_cache: weight of the seconds spent on recomputing a cached
        prefix, in addition to their share of the latency.
    :param spill_seconds: cost of using an engine in another zone, in seconds.
    :param home_seconds: cost per program that already has the engine as its home,
        for the first call of a program, in seconds.
    :param overcommit: calls sent to an engine in advance beyond its batch.
    """

    wasted_cache: float = 30.0
    spill_seconds: float = 0.05
    overcommit: int = 4
    home_seconds: float = 0.1


class CostBased:
    """The default policy: the engine with the lowest estimated cost.

    The cost is the estimated wait for a batch slot, plus the prefill of the
    uncached part of the prompt, plus the weighted cost of a wasted cache. A routine
    call whose best engine is full stays in the scheduler's queue, so that a later
    urgent call or a call of an older program can go first.
    """

    orders_calls = True

    def __init__(self, zone: str, profile: EngineProfile, weights: CostWeights) -> None:
        self._zone = zone
        self._profile = profile
        self._weights = weights

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the cheapest engine; None if it is full and the call is routine."""
        best = min(engines, key=lambda engine: self._cost(call, engine, now))
        waits = call.priority is Priority.ROUTINE and self.is_full(best)
        return None if waits else best

    def is_full(self, engine: EngineView) -> bool:
        """Return whether an engine's batch and its overcommit are used up."""
        return engine.occupancy() >= engine.capacity() + self._weights.overcommit

    def _cost(self, call: WaitingCall, engine: EngineView, now: float) -> float:
        uncached = call.prompt_tokens() - engine.cache_estimate.cached_tokens(call.prompt)
        prefill = uncached / self._profile.prefill_tokens_per_second
        pending = engine.pending_prefill() / self._profile.prefill_tokens_per_second
        spill = 0.0 if engine.machine.zone == self._zone else self._weights.spill_seconds
        wait = self._batch_wait(engine) + self._batch_slowdown(call, engine)
        return wait + pending + prefill + spill + self._future_cost(call, engine, prefill, now)

    def _future_cost(
        self, call: WaitingCall, engine: EngineView, prefill: float, now: float
    ) -> float:
        """Return the cost that a placement causes for later calls.

        A program's first call chooses its home engine, whose cache serves the later
        calls; an engine with many home programs becomes overloaded. A later call
        on another engine has to recompute the program's history.
        """
        if call.call_number == 1:
            return self._weights.home_seconds * engine.home_count(now)
        return self._weights.wasted_cache * prefill

    def _batch_wait(self, engine: EngineView) -> float:
        """Estimate the wait for a slot in the batch."""
        excess = engine.occupancy() - engine.capacity() + 1
        if excess <= 0:
            return 0.0
        typical_call = 200 * self._profile.decode_seconds_per_token
        return excess * typical_call / engine.capacity()

    def _batch_slowdown(self, call: WaitingCall, engine: EngineView) -> float:
        """Estimate the slowdown of decoding in a fuller batch, in seconds."""
        share = min(1.0, engine.occupancy() / engine.capacity())
        return share * call.max_tokens * self._profile.decode_seconds_per_token * 0.5

    def holds(self, call: WaitingCall) -> bool:
        """Return whether the program may have more calls, which reuse the prefix."""
        return not call.single


#: Policy names accepted on the command line.
POLICY_NAMES = ("yarrowwall", "round-robin", "least-loaded", "sticky")


def make_policy(name: str, zone: str, profile: EngineProfile, weights: CostWeights) -> Policy:
    """Return the policy with the given name.

    :raises ValueError: if no policy has the name.
    """
    match name:
        case "yarrowwall":
            return CostBased(zone, profile, weights)
        case "round-robin":
            return RoundRobin()
        case "least-loaded":
            return LeastLoaded()
        case "sticky":
            return Sticky()
    raise ValueError(f"unknown policy {name!r}; choose from {', '.join(POLICY_NAMES)}")
