"""Programs before engines with little memory, on a virtual clock, without I/O.

Admission is the product's; engines, callers and the ways between are modelled. An engine computes
steps: each makes one token of every running turn whose prompt is read, and reads a piece of the
others' prompts, which holds all of them up. What it read stays until memory is wanted for something
newer. A caller comes back as :mod:`yarrowwall.policy.retry_queue` takes for granted.
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
PLACES = 16
#: An engine keeps what programs of one tenant share, and tenants are many, so each counts in full.
MEMORY_TOKENS = 127_000
SHARED_TOKENS = 2560
STEP_SECONDS = 0.0056
READ_TOKENS_PER_SECOND = 42_600.0
PIECE_TOKENS = 4096
TURN_TOKENS = 34
#: Programs a second, those of the longer kind among them, and the tenants they come from.
PROGRAMS_PER_SECOND = 34.0
LONG_SHARE = 0.3
TENANTS = 20
DEADLINE_SECONDS = 5.0
#: Gateways count programs for a while that have ended or go on through others.
COUNTED_TOKENS = 1.3
#: Attempts of a turn: it is sent three times, and once more each time after a refusal.
MOST_ATTEMPTS = 6
TOOL_SECONDS = 0.15
AIM_FACTOR = 2.1
REPORT_SECONDS = 0.1
END_S = 40.0


class Day(NamedTuple):
    """What comes.

    :param burst: times the usual programs between the third and the ninth second.
    :param hot: times its usual that the first tenant sends in that time.
    :param age_s: how old the sums of what is under way are at most.
    :param slow_share: part of the engines that are four times slower in seconds 5 to 10.
    :param continued_share: part of the programs that go on from an answered turn.
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

    :ivar needs_s: the time that it takes on idle engines.
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
    def aim_s(self) -> float:
        """Return when it is late."""
        return self.begun_s + AIM_FACTOR * self.needs_s + (0.4 if self.is_long else 0.2)

    @property
    def is_in_time(self) -> bool:
        """Return whether it ended in time."""
        return self.ended_s is not None and self.ended_s <= self.aim_s


@dataclass(eq=False)
class Turn:
    """A turn at an engine."""

    program: Program
    arrived_s: float
    unread: int = 0
    made: int = 0
    is_over: bool = False


@dataclass(eq=False)
class Engine:
    """An engine; ``kept`` has the tokens by program, used longest ago first."""

    slowness: float = 1.0
    running: list[Turn] = field(default_factory=list)
    waiting: list[Turn] = field(default_factory=list)
    kept: OrderedDict[int, int] = field(default_factory=OrderedDict)
    is_stepping: bool = False

    @property
    def load(self) -> int:
        """Return the turns there."""
        return len(self.running) + len(self.waiting)


class Verdict(NamedTuple):
    """Whether a program may begin, or when it should come back."""

    is_admitted: bool
    retry_after_s: float = 0.0


class Way(ABC):
    """A way to admit programs."""

    @abstractmethod
    def decide(self, ask: AskRoom, under_way: ReportedPrograms, now_s: float) -> Verdict:
        """Return whether a program may begin."""


class LetIn(Way):
    """Every program begins at once."""

    def decide(self, ask: AskRoom, under_way: ReportedPrograms, now_s: float) -> Verdict:
        """Return that it may."""
        return Verdict(True)


class OwnShares(Way):
    """Each gateway decides alone within its part of what is free; whoever is refused comes soon."""

    def __init__(self, gateways: int) -> None:
        self._shares = [LocalAdmission() for _ in range(gateways)]

    def decide(self, ask: AskRoom, under_way: ReportedPrograms, now_s: float) -> Verdict:
        """Return whether a gateway's part holds one more."""
        age_s = now_s % REPORT_SECONDS
        listed = ENGINES * PLACES
        room = ServiceCapacity(ask.taken, ask.places, ask.taken, listed, ask.memory_tokens, age_s)
        share = self._shares[ask.program % len(self._shares)]
        return Verdict(share.admits(room, 0, len(self._shares), now_s), 0.15)


class OneDecides(Way):
    """The product's way: one replica decides for all gateways."""

    def __init__(self) -> None:
        self._admission = ProgramAdmission()

    def decide(self, ask: AskRoom, under_way: ReportedPrograms, now_s: float) -> Verdict:
        """Return what the replica says, which is asked only while it is not calm."""
        if ask.taken < REFUSAL_SHARE * ENGINES * PLACES:
            return Verdict(True)
        reply = self._admission.decide(ask, under_way, now_s)
        return Verdict(reply.is_admitted, reply.retry_after_s)


class RoomModel:
    """One run of a day."""

    def __init__(self, day: Day, way: Way, seed: int = 1) -> None:
        self._day = day
        self._way = way
        self._rng = random.Random(seed)
        self._continued_rng = random.Random(f"{seed}/continued")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now_s = 0.0
        self._engines = [Engine() for _ in range(ENGINES)]
        self._pausing: set[int] = set()
        self._told = 0
        self._told_at_s = -1.0
        self._begun: dict[int, Program] = {}
        self.programs: list[Program] = []
        self.read_tokens = 0
        self.put_back = 0
        #: Refusals while under half of the places were taken.
        self.refused_free = 0

    def run(self) -> "RoomModel":
        """Play the day."""
        self._draw_programs()
        for engine in self._engines[: round(ENGINES * self._day.slow_share)]:
            self._at(5.0, lambda engine=engine: setattr(engine, "slowness", 4.0))
            self._at(10.0, lambda engine=engine: setattr(engine, "slowness", 1.0))
        while self._events and self._events[0][0] < END_S:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._count), action))

    def _draw_programs(self) -> None:
        at_s, day = 0.0, self._day
        per_s = PROGRAMS_PER_SECOND / TENANTS
        for tenant in range(TENANTS):
            at_s = 0.0
            while at_s < 25.0:
                is_burst = day.from_s < at_s < day.to_s
                factor = (day.hot if tenant == 0 else day.burst) if is_burst else 1.0
                long_factor = factor if day.burst_of_long else 1.0
                at_s += self._rng.expovariate(per_s * factor)
                long_share = (
                    LONG_SHARE * long_factor / (1.0 - LONG_SHARE + LONG_SHARE * long_factor)
                )
                self._draw_program(at_s, tenant, self._rng.random() < long_share)

    def _draw_program(self, at_s: float, tenant: int, is_long: bool) -> None:
        mean, tokens, pause_s = (11.0, 514, 0.02) if is_long else (3.0, 1030, 0.15)
        turns = max(1, round(self._rng.gauss(mean, 0.3 * mean)))
        own = max(100, round(tokens * self._rng.lognormvariate(-0.2, 0.6)))
        turn_s = TURN_TOKENS * STEP_SECONDS + own / READ_TOKENS_PER_SECOND
        needs_s = turns * (turn_s + TOOL_SECONDS + pause_s + 0.025)
        number = next(self._count)
        program = Program(number, f"t{tenant}", is_long, at_s, turns, own, needs_s)
        # Drawn apart, so that days without conversations stay as they are.
        program.is_continued = self._continued_rng.random() < self._day.continued_share
        self.programs.append(program)
        self._at(at_s, lambda: self._ask(program))

    # Callers and gateways

    def _ask(self, program: Program) -> None:
        self._pausing.discard(program.number)
        if not program.is_begun:
            verdict = self._way.decide(self._question(program), self._under_way(), self._now_s)
            if not verdict.is_admitted:
                self._refused(program, verdict.retry_after_s)
                return
            program.is_begun = True
            self._begun[program.number] = program
        engine = min(self._engines, key=lambda one: (one.load * one.slowness, self._rng.random()))
        last = program.engine
        if last is not None and last.load < PLACES and last.slowness == engine.slowness:
            engine = last
        program.engine = engine
        turn = Turn(program, self._now_s)
        engine.waiting.append(turn)
        self._wake(engine)
        self._at(self._now_s + DEADLINE_SECONDS, lambda: self._give_up(engine, turn))

    def _question(self, program: Program) -> AskRoom:
        places = sum(PLACES / engine.slowness for engine in self._engines)
        if self._now_s - self._told_at_s >= self._day.age_s:
            self._told_at_s = self._now_s
            self._told = sum(engine.load for engine in self._engines)
        turns = 11.0 if program.is_long else 3.0
        return AskRoom(
            "models",
            program.tenant,
            program.number,
            1.0,
            round(SHARED_TOKENS + program.new_tokens * (1.0 + turns) / 2.0),
            self._told,
            self._now_s - self._told_at_s,
            round(places),
            self._day.memory_tokens * ENGINES,
            program.aim_s - self._now_s,
            DEADLINE_SECONDS / 3.0,
            program.is_continued,
        )

    def _under_way(self) -> ReportedPrograms:
        tokens = sum(program.tokens for program in self._begun.values())
        return ReportedPrograms(len(self._pausing), round(COUNTED_TOKENS * tokens))

    def _refused(self, program: Program, retry_after_s: float) -> None:
        if sum(engine.load for engine in self._engines) < REFUSAL_SHARE * ENGINES * PLACES:
            self.refused_free += 1
        program.refusals += 1
        # A client tries each request once more when it was told to; then its turn goes out anew.
        is_told = program.attempts % 2 == 0
        self._try_again(program, retry_after_s if is_told else self._rng.uniform(0.1, 0.4))

    def _try_again(self, program: Program, after_s: float) -> None:
        program.attempts += 1
        if program.attempts >= MOST_ATTEMPTS:
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
        self._try_again(turn.program, self._rng.uniform(0.1, 0.4))

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
        makers = [turn for turn in engine.running if not turn.unread]
        piece = left = min(PIECE_TOKENS, sum(turn.unread for turn in engine.running))
        for turn in engine.running:
            read = min(turn.unread, left)
            turn.unread -= read
            left -= read
        self.read_tokens += piece
        lasts_s = (STEP_SECONDS + piece / READ_TOKENS_PER_SECOND) * engine.slowness
        self._at(self._now_s + lasts_s, lambda: self._end_step(engine, makers))

    def _end_step(self, engine: Engine, makers: list[Turn]) -> None:
        for turn in makers:
            turn.made += 1
            if turn.made >= TURN_TOKENS and turn in engine.running:
                engine.running.remove(turn)
                turn.is_over = True
                self._end_turn(turn.program)
        self._step(engine)

    def _start_waiting(self, engine: Engine) -> None:
        engine.waiting.sort(key=lambda turn: (self._rank(turn.program), turn.arrived_s))
        while engine.waiting and len(engine.running) < PLACES:
            turn = engine.waiting.pop(0)
            program = turn.program
            prompt = program.tokens + program.new_tokens
            turn.unread = prompt - min(engine.kept.pop(program.number, 0), prompt)
            turn.made = 0
            engine.kept[program.number] = prompt + TURN_TOKENS
            engine.running.append(turn)
            if not self._make_room(engine):
                return

    def _make_room(self, engine: Engine) -> bool:
        """Drop what was used longest ago; if all of it runs, put the newest turn back.

        :returns: whether all that runs fits.
        """
        running = {turn.program.number for turn in engine.running}
        excess = sum(engine.kept.values()) - self._day.memory_tokens
        for number in [number for number in engine.kept if number not in running]:
            if excess <= 0:
                return True
            excess -= engine.kept.pop(number)
        if excess <= 0 or len(engine.running) < 2:
            return True
        turn = engine.running.pop()
        engine.kept.pop(turn.program.number)
        engine.waiting.append(turn)
        self.put_back += 1
        return False

    def _rank(self, program: Program) -> int:
        left_s = program.aim_s - self._now_s
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
