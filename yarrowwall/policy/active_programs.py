"""The programs that a gateway has under way, in a turn or between two. No I/O."""

from collections import OrderedDict
from typing import NamedTuple

#: What is held to be usual between two turns before the first was seen, in seconds: a tool call.
INITIAL_PAUSE_SECONDS = 0.2
#: Weight of the newest pause in what is usual.
PAUSE_WEIGHT = 0.05
#: Times the usual pause for which a program is likely to go on here. Beyond it, it has ended, or
#: its next turns come through another gateway, which counts it then.
CONTINUATION_FACTOR = 2.0
MAX_CONTINUATION_SECONDS = 1.0
#: Programs that are remembered; beyond it the one seen longest ago is forgotten.
MAX_PROGRAMS = 5000


class _Program:
    """A program.

    :ivar turns: under way now; sub-agents run side by side.
    :ivar tokens: of its longest prompt, without what it shares with others.
    """

    __slots__ = ("seen_s", "service", "tokens", "turns")

    def __init__(self, service: str) -> None:
        self.service = service
        self.turns = 0
        self.tokens = 0
        self.seen_s = 0.0


class GatewayPrograms(NamedTuple):
    """A gateway's programs at one service."""

    service: str
    between: int
    tokens: int


class _Sums:
    """What counts at one service.

    :ivar programs: that count, in a turn or between two.
    :ivar between: of them, those between two turns.
    :ivar tokens: of all of them.
    """

    __slots__ = ("between", "programs", "tokens")

    def __init__(self) -> None:
        self.programs = 0
        self.between = 0
        self.tokens = 0


class ActivePrograms:
    """Counts the programs of one gateway that are likely to go on.

    The sums are kept: they are asked for by each start and end of a turn, and adding up the
    programs anew costs a gateway with 300 of them some 0.1 ms each time.
    """

    def __init__(self) -> None:
        # Each in the order in which their programs were last seen. Those that count are in a turn,
        # or between two and likely to go on.
        self._in_turns: OrderedDict[int, _Program] = OrderedDict()
        self._likely: OrderedDict[int, _Program] = OrderedDict()
        self._paused: OrderedDict[int, _Program] = OrderedDict()
        self._sums: dict[str, _Sums] = {}
        self._usual_pause_s = INITIAL_PAUSE_SECONDS

    @property
    def likely_s(self) -> float:
        """Return for how many seconds after a turn the next one is likely to come."""
        return min(CONTINUATION_FACTOR * self._usual_pause_s, MAX_CONTINUATION_SECONDS)

    def begin_turn(self, program: int, service: str, tokens: int, now_s: float) -> None:
        """Take in that a turn begins.

        :param tokens: of its prompt, without the part that it shares with other programs.
        """
        known = self._forget(program)
        if known is not None and not known.turns:
            pause_s = now_s - known.seen_s
            self._usual_pause_s += PAUSE_WEIGHT * (pause_s - self._usual_pause_s)
        known = known or _Program(service)
        known.turns += 1
        known.tokens = max(known.tokens, tokens)
        known.seen_s = now_s
        self._in_turns[program] = known
        self._count(known, 1)
        if len(self._in_turns) + len(self._likely) + len(self._paused) > MAX_PROGRAMS:
            self._forget_oldest()

    def end_turn(self, program: int, now_s: float) -> None:
        """Take in that a turn is over."""
        known = self._in_turns.get(program)
        if known is None:
            return
        self._forget(program)
        known.turns -= 1
        known.seen_s = now_s
        (self._in_turns if known.turns else self._likely)[program] = known
        self._count(known, 1)

    def by_service(self, now_s: float) -> list[GatewayPrograms]:
        """Return the sums by service, and forget the programs that are not likely to go on."""
        self._sort_out(now_s)
        return [
            GatewayPrograms(service, sums.between, sums.tokens)
            for service, sums in self._sums.items()
        ]

    def _sort_out(self, now_s: float) -> None:
        """Count those between two turns for as long as they are likely to go on."""
        since_s = now_s - self.likely_s
        while self._likely and (first := next(iter(self._likely.values()))).seen_s < since_s:
            self._count(first, -1)
            program, _ = self._likely.popitem(last=False)
            self._paused[program] = first
        # What is usual may have grown meanwhile.
        while self._paused and (last := next(reversed(self._paused.values()))).seen_s >= since_s:
            program, _ = self._paused.popitem()
            self._likely[program] = last
            self._likely.move_to_end(program, last=False)
            self._count(last, 1)
        # One that pauses for longer teaches what is usual only if it is still known.
        oldest_s = now_s - MAX_CONTINUATION_SECONDS
        while self._paused and next(iter(self._paused.values())).seen_s < oldest_s:
            self._paused.popitem(last=False)

    def _forget(self, program: int) -> _Program | None:
        """Remove a program and return it; None if it is not known."""
        known = self._in_turns.pop(program, None) or self._likely.pop(program, None)
        if known is None:
            return self._paused.pop(program, None)
        self._count(known, -1)
        return known

    def _forget_oldest(self) -> None:
        """Forget the program seen longest ago."""
        firsts = [
            next(iter(programs.items()))
            for programs in (self._paused, self._likely, self._in_turns)
            if programs
        ]
        program, _ = min(firsts, key=lambda first: first[1].seen_s)
        self._forget(program)

    def _count(self, program: _Program, sign: int) -> None:
        """Count a program, or count it no more."""
        sums = self._sums.get(program.service)
        if sums is None:
            sums = self._sums[program.service] = _Sums()
        sums.programs += sign
        sums.between += sign * (not program.turns)
        sums.tokens += sign * program.tokens
        if not sums.programs:
            del self._sums[program.service]
