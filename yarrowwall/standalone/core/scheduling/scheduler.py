"""Queue of calls that wait for an engine, and their placement."""

from dataclasses import dataclass

from yarrowwall.hashing import rank
from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.events import (
    AttemptKey,
    CacheBlocksChanged,
    EngineCompleted,
    EngineFault,
    EngineLoadReported,
)
from yarrowwall.standalone.core.scheduling.engines import AVOID_SECONDS, EngineView
from yarrowwall.standalone.core.scheduling.policies import Policy
from yarrowwall.standalone.core.scheduling.types import EngineMachine, Placement, WaitingCall

#: Limit of engines that one node uses and polls, selected by rendezvous hashing.
ENGINES_PER_NODE = 16


@dataclass(frozen=True)
class SchedulerSettings:
    """Settings of the queue.

    :param starvation_wait: seconds after which a waiting call goes first, even before
        urgent ones, so that routine calls don't starve.
    """

    starvation_wait: float = 10.0


class Scheduler:
    """Places waiting calls on the engines that this node uses."""

    def __init__(self, node_id: str, policy: Policy, settings: SchedulerSettings) -> None:
        self._node_id = node_id
        self._policy = policy
        self._settings = settings
        self._engines: dict[str, EngineView] = {}
        self._waiting: dict[str, WaitingCall] = {}
        self._engine_by_attempt: dict[AttemptKey, str] = {}
        self._has_changed = False

    # Engines

    def set_machines(self, machines: list[EngineMachine]) -> None:
        """Update the engines from a newer machine list."""
        ids = rank(self._node_id, [machine.engine_id for machine in machines])[:ENGINES_PER_NODE]
        chosen = {machine.engine_id: machine for machine in machines if machine.engine_id in ids}
        for engine_id in list(self._engines):
            if engine_id not in chosen:
                del self._engines[engine_id]
        for engine_id, machine in sorted(chosen.items()):
            view = self._engines.get(engine_id)
            if view is None:
                self._engines[engine_id] = EngineView(machine)
            else:
                view.machine = machine

    def engines(self) -> dict[str, EngineView]:
        """Return the engines that this node uses, by id."""
        return self._engines

    def handle_report(self, report: EngineLoadReported) -> None:
        """Record an engine's load report."""
        view = self._engines.get(report.engine_id)
        if view is not None:
            view.note_report(report)
            self._has_changed = True

    def handle_cache_event(self, event: CacheBlocksChanged) -> None:
        """Correct the cache estimate of an engine."""
        view = self._engines.get(event.engine_id)
        if view is not None:
            view.cache_estimate.correct(event)

    def avoid(self, engine_id: str, now: float) -> None:
        """Place no new calls on an engine that did not answer, for a while."""
        view = self._engines.get(engine_id)
        if view is not None:
            view.avoid_until = now + AVOID_SECONDS

    # Calls

    def enqueue(self, call: WaitingCall) -> None:
        """Add a call to the queue; a program has at most one there."""
        self._waiting[call.program_id] = call
        self._has_changed = True

    def withdraw(self, program_id: str) -> None:
        """Remove a program's waiting call, if any."""
        self._waiting.pop(program_id, None)

    def waiting_count(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    def place(self, now: float) -> list[Placement]:
        """Remove the calls that an engine can run now from the queue and return them.

        The queue may be long, so it is examined only if a call, a load report or the
        end of an attempt has arrived since the last time; if all engines are full,
        only urgent calls are considered.
        """
        if not self._has_changed:
            return []
        self._has_changed = False
        placements = []
        for call in self._in_order(now):
            if call.priority is Priority.ROUTINE and not self._has_capacity():
                continue
            engines = self._usable_engines(call, now)
            if not engines:
                continue
            engine = self._policy.choose(call, engines, now)
            if engine is None:
                continue
            del self._waiting[call.program_id]
            placements.append(self._placement(call, engine))
            # Counts this call for the next choice already, before its dispatch is chosen.
            provisional = AttemptKey(call.program_id, call.call_number, 0)
            engine.note_sent(provisional, call, now)
        return placements

    def _has_capacity(self) -> bool:
        return not all(self._policy.is_full(view) for view in self._engines.values())

    def _in_order(self, now: float) -> list[WaitingCall]:
        if not self._policy.orders_calls:
            return list(self._waiting.values())
        return sorted(self._waiting.values(), key=lambda call: self._order_key(call, now))

    def _order_key(self, call: WaitingCall, now: float) -> tuple[int, float, float, str]:
        """Return the sort key: starving calls, then urgent ones, then those of older programs."""
        starving = now - call.enqueued_at >= self._settings.starvation_wait
        if starving:
            return (0, call.enqueued_at, 0.0, call.program_id)
        rank_of_class = 1 if call.priority is Priority.URGENT else 2
        return (rank_of_class, call.program_started_at, call.enqueued_at, call.program_id)

    def _usable_engines(self, call: WaitingCall, now: float) -> list[EngineView]:
        usable = [view for view in self._engines.values() if view.is_usable(now, call.model)]
        preferred = [view for view in usable if view.machine.engine_id not in call.excluded]
        return preferred or usable

    def _placement(self, call: WaitingCall, engine: EngineView) -> Placement:
        hold = self._policy.holds(call)
        return Placement(call, engine.machine.engine_id, engine.machine.address, hold)

    def note_dispatched(self, key: AttemptKey, engine_id: str) -> None:
        """Record the attempt that runs a placed call."""
        view = self._engines.get(engine_id)
        if view is None:
            return
        provisional = AttemptKey(key.program_id, key.call_number, 0)
        own = view.own.pop(provisional, None)
        if own is not None:
            view.own[key] = own
        self._engine_by_attempt[key] = engine_id

    def attempt_ended(
        self, key: AttemptKey, outcome: EngineCompleted | EngineFault, now: float
    ) -> None:
        """Record that an attempt has ended at its engine."""
        engine_id = self._engine_by_attempt.pop(key, None)
        view = self._engines.get(engine_id) if engine_id is not None else None
        if view is None:
            return
        view.note_ended(key, now)
        self._has_changed = True
        if isinstance(outcome, EngineFault):
            view.avoid_until = now + AVOID_SECONDS
            view.cache_estimate.clear()
