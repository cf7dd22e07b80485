"""Model of programs on engines with little cache memory, on a virtual clock, without I/O.

The admission code is the real one; engines, callers and the network are modelled. An engine
computes steps: each generates one token of every running turn whose prompt is prefilled, and
prefills a chunk of the others' prompts, which delays all of them. Prompts stay cached until they
are evicted for newer ones. Callers retry as :mod:`yarrowwall.policy.retry_queue` expects.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from yarrowwall.messages.capacity import AskRoom
from yarrowwall.policy.capacity_forecast import REFUSAL_SHARE, ReportedPrograms, ServiceCapacity
from yarrowwall.policy.local_admission import LocalAdmission
from yarrowwall.policy.program_admission import ProgramAdmission
from yarrowwall.policy.urgency import LATE_RANK, RANK_SECONDS

ENGINES = 29
SLOTS = 16
#: Programs share prompts only within a tenant, and there are many tenants, so each counts in full.
MEMORY_TOKENS = 127_000
SHARED_TOKENS = 2560
STEP_SECONDS = 0.0056
PREFILL_TOKENS_PER_SECOND = 42_600.0
CHUNK_TOKENS = 4096
TURN_TOKENS = 34
#: Programs per second, the share of long ones among them, and the number of tenants.
PROGRAMS_PER_SECOND = 34.0
LONG_SHARE = 0.3
TENANTS = 20
DEADLINE_SECONDS = 5.0
#: Factor by which gateways overcount: for a time they count programs that have ended or continue
#: through other gateways.
COUNTED_TOKENS = 1.3
#: Attempts of a turn: it is sent three times, each with one retry after a refusal.
MAX_ATTEMPTS = 6
TOOL_SECONDS = 0.15
TARGET_FACTOR = 2.1
REPORT_SECONDS = 0.1
END_S = 40.0


class Load(NamedTuple):
    """The load of a run.

    :param burst: multiple of the normal rate between the third and the ninth second.
    :param hot: the same for the first tenant.
    :param slow_share: share of the engines that are four times slower in seconds 5 to 10.
    :param burst_of_long: whether the burst raises the rate of long programs only.
    :param continued_share: share of the programs that continue from an answered turn.
    :param age_s: maximum age of the load reports.
    :param from_s: start of the burst.
    :param to_s: end of the burst.
    """

    burst: float = 1.0
    hot: float = 1.0
    slow_share: float = 0.0
    burst_of_long: bool = False
    continued_share: float = 0.0
    gateways: int = 78
    memory_tokens: int = MEMORY_TOKENS
    age_s: float = 0.0
    from_s: float = 3.0
    to_s: float = 9.0


@dataclass(eq=False)
class Program:
    """A program.

    :ivar needs_s: seconds that it takes on idle engines.
    """

    number: int
    tenant: str
    is_long: bool
    begun_s: float
    turns_left: int
    new_tokens: int
    needs_s: float
    tokens: int = SHARED_TOKENS
    attempts: int = 0
    refusals: int = 0
    is_begun: bool = False
    is_continued: bool = False
    engine: "Engine | None" = None
    ended_s: float | None = None
    is_lost: bool = False

    @property
    def target_s(self) -> float:
        """Return the time after which it is late."""
        return self.begun_s + TARGET_FACTOR * self.needs_s + (0.4 if self.is_long else 0.2)

    @property
    def is_in_time(self) -> bool:
        """Return whether it finished in time."""
        return self.ended_s is not None and self.ended_s <= self.target_s


@dataclass(eq=False)
class Turn:
    """A turn at an engine.

    :ivar unprefilled: prompt tokens that are not prefilled yet.
    :ivar generated: generated tokens.
    """

    program: Program
    arrived_s: float
    unprefilled: int = 0
    generated: int = 0
    is_over: bool = False


@dataclass(eq=False)
class Engine:
    """An engine; ``cached`` maps programs to cached tokens, least recently used first."""

    slowness: float = 1.0
    running: list[Turn] = field(default_factory=list)
    waiting: list[Turn] = field(default_factory=list)
    cached: OrderedDict[int, int] = field(default_factory=OrderedDict)
    is_stepping: bool = False

    @property
    def load(self) -> int:
        """Return the number of turns at the engine."""
        return len(self.running) + len(self.waiting)


class AdmissionResult(NamedTuple):
    """Whether a program may begin, or when it should retry."""

    is_admitted: bool
    retry_after_s: float = 0.0


class Strategy(ABC):
    """Base class of the admission strategies."""

    @abstractmethod
    def decide(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> AdmissionResult:
        """Return whether a program may begin."""


class AdmitAll(Strategy):
    """Admits every program at once."""

    def decide(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> AdmissionResult:
        """Admit the program."""
        return AdmissionResult(True)


class GatewaysDecide(Strategy):
    """Each gateway decides within its share of the free capacity; refused programs retry soon."""

    def __init__(self, gateways: int) -> None:
        self._shares = [LocalAdmission() for _ in range(gateways)]

    def decide(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> AdmissionResult:
        """Return whether a gateway's share has capacity for one more program."""
        age_s = now_s % REPORT_SECONDS
        listed = ENGINES * SLOTS
        capacity = ServiceCapacity(
            ask.taken, ask.places, ask.taken, listed, ask.memory_tokens, age_s
        )
        share = self._shares[ask.program % len(self._shares)]
        return AdmissionResult(share.admits(capacity, 0, len(self._shares), now_s), 0.15)


class ReplicaDecides(Strategy):
    """One replica decides for all gateways, as in production."""

    def __init__(self) -> None:
        self._admission = ProgramAdmission()

    def decide(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> AdmissionResult:
        """Return the replica's decision; it is asked only while enough slots are in use."""
        if ask.taken < REFUSAL_SHARE * ENGINES * SLOTS:
            return AdmissionResult(True)
        reply = self._admission.decide(ask, reported, now_s)
        return AdmissionResult(reply.is_admitted, reply.retry_after_s)


class AdmissionModel:
    """One run of a load with an admission strategy."""

    def __init__(self, load: Load, strategy: Strategy, seed: int = 1) -> None:
        self._load = load
        self._strategy = strategy
        self._rng = random.Random(seed)
        self._continued_rng = random.Random(f"{seed}/continued")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now_s = 0.0
        self._engines = [Engine() for _ in range(ENGINES)]
        self._pausing: set[int] = set()
        self._reported_load = 0
        self._reported_at_s = -1.0
        self._begun: dict[int, Program] = {}
        self.programs: list[Program] = []
        self.prefilled_tokens = 0
        self.preempted = 0
        #: Refusals while less than half of the slots were in use.
        self.refused_free = 0

    def run(self) -> "AdmissionModel":
        """Run the load."""
        self._draw_programs()
        for engine in self._engines[: round(ENGINES * self._load.slow_share)]:
            self._at(5.0, lambda engine=engine: setattr(engine, "slowness", 4.0))
            self._at(10.0, lambda engine=engine: setattr(engine, "slowness", 1.0))
        while self._events and self._events[0][0] < END_S:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._count), action))

    def _draw_programs(self) -> None:
        at_s, load = 0.0, self._load
        per_s = PROGRAMS_PER_SECOND / TENANTS
        for tenant in range(TENANTS):
            at_s = 0.0
            while at_s < 25.0:
                is_burst = load.from_s < at_s < load.to_s
                factor = (load.hot if tenant == 0 else load.burst) if is_burst else 1.0
                long_factor = factor if load.burst_of_long else 1.0
                at_s += self._rng.expovariate(per_s * factor)
                long_share = (
                    LONG_SHARE * long_factor / (1.0 - LONG_SHARE + LONG_SHARE * long_factor)
                )
                self._draw_program(at_s, tenant, self._rng.random() < long_share)

    def _draw_program(self, at_s: float, tenant: int, is_long: bool) -> None:
        mean, tokens, pause_s = (11.0, 514, 0.02) if is_long else (3.0, 1030, 0.15)
        turns = max(1, round(self._rng.gauss(mean, 0.3 * mean)))
        own = max(100, round(tokens * self._rng.lognormvariate(-0.2, 0.6)))
        turn_s = TURN_TOKENS * STEP_SECONDS + own / PREFILL_TOKENS_PER_SECOND
        needs_s = turns * (turn_s + TOOL_SECONDS + pause_s + 0.025)
        number = next(self._count)
        program = Program(number, f"t{tenant}", is_long, at_s, turns, own, needs_s)
        # A separate random source, so that loads without conversations do not change.
        program.is_continued = self._continued_rng.random() < self._load.continued_share
        self.programs.append(program)
        self._at(at_s, lambda: self._ask(program))

    # Callers and gateways

    def _ask(self, program: Program) -> None:
        self._pausing.discard(program.number)
        if not program.is_begun:
            result = self._strategy.decide(
                self._request(program), self._reported_programs(), self._now_s
            )
            if not result.is_admitted:
                self._refused(program, result.retry_after_s)
                return
            program.is_begun = True
            self._begun[program.number] = program
        engine = min(self._engines, key=lambda one: (one.load * one.slowness, self._rng.random()))
        last = program.engine
        if last is not None and last.load < SLOTS and last.slowness == engine.slowness:
            engine = last
        program.engine = engine
        turn = Turn(program, self._now_s)
        engine.waiting.append(turn)
        self._wake(engine)
        self._at(self._now_s + DEADLINE_SECONDS, lambda: self._give_up(engine, turn))

    def _request(self, program: Program) -> AskRoom:
        slots = sum(SLOTS / engine.slowness for engine in self._engines)
        if self._now_s - self._reported_at_s >= self._load.age_s:
            self._reported_at_s = self._now_s
            self._reported_load = sum(engine.load for engine in self._engines)
        turns = 11.0 if program.is_long else 3.0
        return AskRoom(
            "models",
            program.tenant,
            program.number,
            1.0,
            round(SHARED_TOKENS + program.new_tokens * (1.0 + turns) / 2.0),
            self._reported_load,
            self._now_s - self._reported_at_s,
            round(slots),
            self._load.memory_tokens * ENGINES,
            program.target_s - self._now_s,
            DEADLINE_SECONDS / 3.0,
            program.is_continued,
        )

    def _reported_programs(self) -> ReportedPrograms:
        tokens = sum(program.tokens for program in self._begun.values())
        return ReportedPrograms(len(self._pausing), round(COUNTED_TOKENS * tokens))

    def _refused(self, program: Program, retry_after_s: float) -> None:
        if sum(engine.load for engine in self._engines) < REFUSAL_SHARE * ENGINES * SLOTS:
            self.refused_free += 1
        program.refusals += 1
        # A client retries each request once after ``Retry-After``, then sends its turn again.
        is_retry_after = program.attempts % 2 == 0
        self._retry(program, retry_after_s if is_retry_after else self._rng.uniform(0.1, 0.4))

    def _retry(self, program: Program, after_s: float) -> None:
        program.attempts += 1
        if program.attempts >= MAX_ATTEMPTS:
            program.is_lost = True
            self._begun.pop(program.number, None)
            return
        self._at(self._now_s + after_s, lambda: self._ask(program))

    def _give_up(self, engine: Engine, turn: Turn) -> None:
        if turn.is_over:
            return
        turn.is_over = True
        for turns in (engine.running, engine.waiting):
            if turn in turns:
                turns.remove(turn)
        turn.program.attempts += 1
        self._retry(turn.program, self._rng.uniform(0.1, 0.4))

    # Engines

    def _wake(self, engine: Engine) -> None:
        if not engine.is_stepping:
            engine.is_stepping = True
            self._at(self._now_s, lambda: self._step(engine))

    def _step(self, engine: Engine) -> None:
        self._start_waiting(engine)
        if not engine.running:
            engine.is_stepping = False
            return
        generating = [turn for turn in engine.running if not turn.unprefilled]
        chunk = left = min(CHUNK_TOKENS, sum(turn.unprefilled for turn in engine.running))
        for turn in engine.running:
            prefilled = min(turn.unprefilled, left)
            turn.unprefilled -= prefilled
            left -= prefilled
        self.prefilled_tokens += chunk
        duration_s = (STEP_SECONDS + chunk / PREFILL_TOKENS_PER_SECOND) * engine.slowness
        self._at(self._now_s + duration_s, lambda: self._end_step(engine, generating))

    def _end_step(self, engine: Engine, generating: list[Turn]) -> None:
        for turn in generating:
            turn.generated += 1
            if turn.generated >= TURN_TOKENS and turn in engine.running:
                engine.running.remove(turn)
                turn.is_over = True
                self._end_turn(turn.program)
        self._step(engine)

    def _start_waiting(self, engine: Engine) -> None:
        engine.waiting.sort(key=lambda turn: (self._rank(turn.program), turn.arrived_s))
        while engine.waiting and len(engine.running) < SLOTS:
            turn = engine.waiting.pop(0)
            program = turn.program
            prompt = program.tokens + program.new_tokens
            turn.unprefilled = prompt - min(engine.cached.pop(program.number, 0), prompt)
            turn.generated = 0
            engine.cached[program.number] = prompt + TURN_TOKENS
            engine.running.append(turn)
            if not self._evict(engine):
                return

    def _evict(self, engine: Engine) -> bool:
        """Evict the least recently used programs; if all are running, preempt the newest turn.

        :returns: whether all running turns fit into the cache.
        """
        running = {turn.program.number for turn in engine.running}
        excess = sum(engine.cached.values()) - self._load.memory_tokens
        for number in [number for number in engine.cached if number not in running]:
            if excess <= 0:
                return True
            excess -= engine.cached.pop(number)
        if excess <= 0 or len(engine.running) < 2:
            return True
        turn = engine.running.pop()
        engine.cached.pop(turn.program.number)
        engine.waiting.append(turn)
        self.preempted += 1
        return False

    def _rank(self, program: Program) -> int:
        left_s = program.target_s - self._now_s
        return LATE_RANK if left_s < 0.0 else sum(left_s >= limit_s for limit_s in RANK_SECONDS)

    def _end_turn(self, program: Program) -> None:
        program.tokens += program.new_tokens + TURN_TOKENS
        program.turns_left -= 1
        program.attempts = 0
        if not program.turns_left:
            program.ended_s = self._now_s
            del self._begun[program.number]
            return
        self._pausing.add(program.number)
        pause_s = TOOL_SECONDS + (0.02 if program.is_long else 0.15) * self._rng.uniform(0.3, 1.7)
        self._at(self._now_s + pause_s, lambda: self._ask(program))
