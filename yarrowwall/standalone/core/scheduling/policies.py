"""Placement policies: the product's own, and the baselines it is measured against."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from yarrowwall.hashing import first
from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.scheduling.engines import EngineProfile, EngineView
from yarrowwall.standalone.core.scheduling.types import WaitingCall


class Policy(Protocol):
    """Chooses an engine for one call."""

    #: Whether waiting calls are ordered by priority and attained service.
    orders_calls: bool

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the engine for a call; None if the call is to wait.

        :param engines: usable engines, by id; never empty.
        """

    def is_full(self, engine: EngineView) -> bool:
        """Return whether routine calls are to wait rather than go to an engine now."""

    def holds(self, call: WaitingCall) -> bool:
        """Return whether the engine is to keep the call's prefix after the answer."""


class Baseline:
    """What the baselines share: first come, first served, and nothing held."""

    orders_calls = False

    def is_full(self, engine: EngineView) -> bool:
        """Baselines send every call at once; it queues at the engine."""
        return False

    def holds(self, call: WaitingCall) -> bool:
        """Baselines hold nothing."""
        return False


class RoundRobin(Baseline):
    """Baseline: the engines in turn."""

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the next engine in turn."""
        self._count += 1
        return engines[self._count % len(engines)]


class LeastLoaded(Baseline):
    """Baseline: the engine with the fewest calls for its capacity."""

    def choose(
        self, call: WaitingCall, engines: Sequence[EngineView], now: float
    ) -> EngineView | None:
        """Return the engine with the lowest occupancy."""
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
    """What the cost of a placement is made of.

    :param wasted_cache: weight of the seconds spent on computing a cached
        prefix again, beside their share of the latency.
    :param spill_seconds: cost of leaving the zone, in seconds.
    :param home_seconds: cost of every program that an engine is home of already,
        for the first call of a program, in seconds.
    :param overcommit: calls per engine beyond its batch that are sent ahead of time.
    """

    wasted_cache: float = 30.0
    spill_seconds: float = 0.05
    overcommit: int = 4
    home_seconds: float = 0.1


class CostBased:
    """The product's policy: the engine with the lowest estimated cost.

    The cost is the estimated wait for a place in the batch, plus the prefill of
    the part that is not cached, plus the weight of wasted cache. A routine call
    whose best engine is full waits here, so that a later urgent call or
    a call of a program with less attained service goes first.
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
        """Return whether an engine has its batch and the overcommitted calls."""
        return engine.occupancy() >= engine.capacity() + self._weights.overcommit

    def _cost(self, call: WaitingCall, engine: EngineView, now: float) -> float:
        uncached = call.prompt_tokens() - engine.cache_estimate.cached_tokens(call.prompt)
        prefill = uncached / self._profile.prefill_tokens_per_second
        pending = engine.pending_prefill() / self._profile.prefill_tokens_per_second
        spill = 0.0 if engine.machine.zone == self._zone else self._weights.spill_seconds
        wait = self._batch_wait(engine) + self._batch_slowdown(call, engine)
        return wait + pending + prefill + spill + self._lasting_cost(call, engine, prefill, now)

    def _lasting_cost(
        self, call: WaitingCall, engine: EngineView, prefill: float, now: float
    ) -> float:
        """Return what a placement costs later.

        A program's first call chooses its home: what it computes there serves
        its later calls, but many homes make an engine crowded. Any later call
        that goes elsewhere computes its program's history for nothing.
        """
        if call.call_number == 1:
            return self._weights.home_seconds * engine.home_count(now)
        return self._weights.wasted_cache * prefill

    def _batch_wait(self, engine: EngineView) -> float:
        """Estimate the wait for a place in a batch that is full."""
        excess = engine.occupancy() - engine.capacity() + 1
        if excess <= 0:
            return 0.0
        typical_call = 200 * self._profile.decode_seconds_per_token
        return excess * typical_call / engine.capacity()

    def _batch_slowdown(self, call: WaitingCall, engine: EngineView) -> float:
        """Estimate what decoding loses in a fuller batch."""
        share = min(1.0, engine.occupancy() / engine.capacity())
        return share * call.max_tokens * self._profile.decode_seconds_per_token * 0.5

    def holds(self, call: WaitingCall) -> bool:
        """Hold the prefix of every program that may go on."""
        return not call.single


#: Policy names of the command line.
POLICY_NAMES = ("yarrowwall", "round-robin", "least-loaded", "sticky")


def make_policy(name: str, zone: str, profile: EngineProfile, weights: CostWeights) -> Policy:
    """Return the policy of a name.

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
    raise ValueError(f"no policy {name!r}; one of {', '.join(POLICY_NAMES)}")
