"""Model of many gateways that choose engines for turns, on a virtual clock, without I/O.

The server directories and the load board are the real code; engines, programs and the network
are modelled. An engine runs as many turns as it has slots, and the more turns run, the slower
each is. It starts turns by rank. For a more urgent turn it preempts the newest of the least
urgent ones, which starts again later.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.capacity.load_board import LoadBoard
from yarrowwall.model import EngineTraits, Incarnation, PromptPart, Server, Service
from yarrowwall.policy.server_choice import PlacementRequest, ServerChooser
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.policy.urgency import RANK_SECONDS

SERVICE = "models"
ENGINES = 30
SLOTS = 6
GATEWAYS = 171
ZONES = 5
SHARED_TOKENS = 12_600
#: Seconds of a turn of nine events on an idle engine, and the increase per concurrent turn.
TURN_SECONDS = 0.1
TURN_GROWTH_SECONDS = 0.027
PREFILL_TOKENS_PER_SECOND = 270_000.0
TOOL_SECONDS = 0.06
LATE_RANK = 6
#: Programs per second, the factor and the period of the burst, and the time of the last start.
PROGRAMS_PER_SECOND = 64.0
BURST_FACTOR = 1.8
BURST_FROM_S, BURST_TO_S = 3.0, 7.0
LAST_BEGIN_S = 10.0
#: Round trip to the load board in seconds.
ROUND_TRIP_SECONDS = 0.002


@dataclass
class Program:
    """A sequence of turns.

    :param target_s: time after which it is late.
    """

    name: str
    shared: str
    turns_left: int
    target_s: float
    zone: int
    tokens: int
    last_server: str = ""


@dataclass(eq=False)
class Turn:
    """A turn at an engine.

    :param starts: number of times that it was started.
    """

    program: Program
    gateway: int
    rank: int
    arrived_s: float
    started_s: float = 0.0
    starts: int = 0


@dataclass
class Engine:
    """An engine."""

    name: str
    running: list[Turn] = field(default_factory=list)
    waiting: list[Turn] = field(default_factory=list)
    cached: set[str] = field(default_factory=set)


@dataclass
class Outcome:
    """The result of a run."""

    programs: int = 0
    late: int = 0
    preempted: int = 0


class PlacementModel:
    """One run.

    :param report_s: seconds between two reports of a gateway.
    :param is_fresh: whether turns request the loads and report their start and end.
    """

    def __init__(self, seed: int, report_s: float, is_fresh: bool) -> None:
        self._rng = random.Random(seed)
        self._report_s = report_s
        self._is_fresh = is_fresh
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now_s = 0.0
        self._board = LoadBoard()
        self._engines = {f"e{number}": Engine(f"e{number}") for number in range(ENGINES)}
        self._gateways = [self._gateway(number) for number in range(GATEWAYS)]
        self._choosers = [ServerChooser(known) for known in self._gateways]
        self.outcome = Outcome()

    def _gateway(self, number: int) -> ServerDirectory:
        directory = ServerDirectory(f"z{number % ZONES}")
        services = {SERVICE: Service(SERVICE, EngineTraits(SLOTS, 236_000, 10))}
        for index, name in enumerate(self._engines):
            server = Server(name, SERVICE, "127.0.0.1:1", f"z{index % ZONES}", SLOTS, False)
            directory.put(server, services, 0.0)
        return directory

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now_s + delay_s, next(self._count), action))

    def run(self) -> Outcome:
        """Run all programs."""
        for number in range(GATEWAYS):
            self._at(
                self._rng.random() * self._report_s, lambda number=number: self._report(number)
            )
        self._begin_programs()
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _begin_programs(self) -> None:
        at_s = 0.0
        while at_s < LAST_BEGIN_S:
            is_burst = BURST_FROM_S < at_s < BURST_TO_S
            per_s = PROGRAMS_PER_SECOND * (BURST_FACTOR if is_burst else 1.0)
            at_s += self._rng.expovariate(per_s)
            is_long = self._rng.random() < 0.29
            turns = 9 if is_long else 3
            target_s = at_s + 0.22 + (1.5 if is_long else 1.4) * turns * 0.22
            shared = f"shared-{is_long}-{self._rng.randrange(3)}"
            program = Program(
                f"p{next(self._count)}", shared, turns, target_s, self._rng.randrange(ZONES), 1200
            )
            self._at(at_s, lambda program=program: self._ask(program))

    # Gateways

    def _report(self, gateway: int) -> None:
        self._send_report(gateway)
        self._fetch_loads(gateway)
        if self._now_s < LAST_BEGIN_S:
            self._at(self._report_s, lambda: self._report(gateway))

    def _send_report(self, gateway: int) -> None:
        running = self._gateways[gateway].running_by_incarnation()
        self._board.record_report(f"g{gateway}", running, self._now_s)

    def _fetch_loads(self, gateway: int) -> None:
        others = self._board.loads_of_others(f"g{gateway}")
        self._gateways[gateway].update_loads(others, self._now_s)

    def _ask(self, program: Program) -> None:
        gateway = self._rng.randrange(GATEWAYS // ZONES) * ZONES + program.zone
        if self._is_fresh:
            self._send_report(gateway)
            self._fetch_loads(gateway)
        self._at(ROUND_TRIP_SECONDS / 2, lambda: self._place(program, gateway))

    def _place(self, program: Program, gateway: int) -> None:
        known = self._gateways[gateway]
        prompt = (
            PromptPart(program.shared, SHARED_TOKENS),
            PromptPart(program.name, program.tokens),
        )
        request = PlacementRequest(prompt, program.name, program.last_server)
        choice = self._choosers[gateway].choose(SERVICE, (), self._now_s, request)
        assert choice is not None
        name = choice.server.server_id
        known.note_started(Incarnation(name))
        known.states[name].prefix_cache.note_sent(prompt)
        program.last_server = name
        self._report_soon(gateway)
        turn = Turn(program, gateway, self._rank(program), self._now_s)
        self._arrive(self._engines[name], turn)

    def _report_soon(self, gateway: int) -> None:
        if self._is_fresh:
            self._at(ROUND_TRIP_SECONDS / 2, lambda: self._send_report(gateway))

    def _rank(self, program: Program) -> int:
        left_s = program.target_s - self._now_s
        if left_s < 0.0:
            return LATE_RANK
        return sum(left_s >= limit_s for limit_s in RANK_SECONDS)

    # Engines

    def _arrive(self, engine: Engine, turn: Turn) -> None:
        if len(engine.running) < SLOTS:
            self._start(engine, turn)
            return
        least = max(engine.running, key=lambda one: (one.rank, one.started_s))
        if turn.rank >= least.rank:
            engine.waiting.append(turn)
            return
        self.outcome.preempted += 1
        engine.running.remove(least)
        engine.waiting.append(least)
        self._start(engine, turn)

    def _start(self, engine: Engine, turn: Turn) -> None:
        turn.starts += 1
        turn.started_s = self._now_s
        engine.running.append(turn)
        parts = {turn.program.shared: SHARED_TOKENS, turn.program.name: turn.program.tokens}
        unprefilled = sum(tokens for part, tokens in parts.items() if part not in engine.cached)
        engine.cached |= set(parts)
        duration_s = TURN_SECONDS + TURN_GROWTH_SECONDS * len(engine.running)
        starts = turn.starts
        self._at(
            duration_s + unprefilled / PREFILL_TOKENS_PER_SECOND,
            lambda: self._end(engine, turn, starts),
        )

    def _end(self, engine: Engine, turn: Turn, starts: int) -> None:
        if turn.starts != starts or turn not in engine.running:
            return
        engine.running.remove(turn)
        if engine.waiting:
            first = min(engine.waiting, key=lambda one: (one.rank, one.arrived_s))
            engine.waiting.remove(first)
            self._start(engine, first)
        self._gateways[turn.gateway].states[engine.name].running -= 1
        self._report_soon(turn.gateway)
        self._end_turn(turn.program)

    def _end_turn(self, program: Program) -> None:
        program.turns_left -= 1
        program.tokens += 1000
        if program.turns_left:
            self._at(TOOL_SECONDS, lambda: self._ask(program))
            return
        self.outcome.programs += 1
        self.outcome.late += self._now_s > program.target_s
