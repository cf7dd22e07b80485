"""The active programs of a gateway, in a turn or between two turns. No I/O."""

from collections import OrderedDict
from typing import NamedTuple

#: Seconds between two turns, assumed before the first pause was seen: a tool call.
INITIAL_PAUSE_SECONDS = 0.2
#: Weight of the newest pause in the average.
PAUSE_WEIGHT = 0.05
#: A program counts as active for this multiple of the average pause after a turn. After that it has
#: ended, or its next turns come through another gateway, which then counts it.
CONTINUATION_FACTOR = 2.0
MAX_CONTINUATION_SECONDS = 1.0
#: Maximum number of known programs; beyond it the least recently seen is dropped.
MAX_PROGRAMS = 5000


class _Program:
    """A program.

    :ivar turns: turns in progress; sub-agents run concurrently.
    :ivar tokens: tokens of its longest prompt, without the prefix that it shares with others.
    """

    __slots__ = ("seen_s", "service", "tokens", "turns")

    def __init__(self, service: str) -> None:
        self.service = service
        self.turns = 0
        self.tokens = 0
        self.seen_s = 0.0


class GatewayPrograms(NamedTuple):
    """The active programs of one gateway at a service.

    :param between: programs between two turns.
    :param tokens: tokens of all active programs.
    """

    service: str
    between: int
    tokens: int


class _Sums:
    """Sums over the active programs at one service.

    :ivar programs: programs in a turn or between two turns.
    :ivar between: programs between two turns.
    :ivar tokens: tokens of all these programs.
    """

    __slots__ = ("between", "programs", "tokens")

    def __init__(self) -> None:
        self.programs = 0
        self.between = 0
        self.tokens = 0


class ActivePrograms:
    """Counts the programs of one gateway that are likely to continue.

    The sums are updated incrementally: they are read at each start and end of a turn, and adding up
    300 programs takes about 0.1 ms.
    """

    def __init__(self) -> None:
        # Each is ordered by when its programs were last seen. Only programs in a turn and those
        # between turns that are likely to continue are included in the sums.
        self._in_turns: OrderedDict[int, _Program] = OrderedDict()
        self._likely: OrderedDict[int, _Program] = OrderedDict()
        self._paused: OrderedDict[int, _Program] = OrderedDict()
        self._sums: dict[str, _Sums] = {}
        self._average_pause_s = INITIAL_PAUSE_SECONDS

    @property
    def continuation_window_s(self) -> float:
        """Return the seconds after a turn within which the next one is likely to start."""
        return min(CONTINUATION_FACTOR * self._average_pause_s, MAX_CONTINUATION_SECONDS)

    def begin_turn(self, program: int, service: str, tokens: int, now_s: float) -> None:
        """Record the start of a turn.

        :param tokens: tokens of its prompt, without the prefix shared with other programs.
        """
        known = self._remove(program)
        if known is not None and not known.turns:
            pause_s = now_s - known.seen_s
            self._average_pause_s += PAUSE_WEIGHT * (pause_s - self._average_pause_s)
        known = known or _Program(service)
        known.turns += 1
        known.tokens = max(known.tokens, tokens)
        known.seen_s = now_s
        self._in_turns[program] = known
        self._count(known, 1)
        if len(self._in_turns) + len(self._likely) + len(self._paused) > MAX_PROGRAMS:
            self._drop_oldest()

    def end_turn(self, program: int, now_s: float) -> None:
        """Record the end of a turn."""
        known = self._in_turns.get(program)
        if known is None:
            return
        self._remove(program)
        known.turns -= 1
        known.seen_s = now_s
        (self._in_turns if known.turns else self._likely)[program] = known
        self._count(known, 1)

    def by_service(self, now_s: float) -> list[GatewayPrograms]:
        """Return the sums by service, without programs that are unlikely to continue."""
        self._update_likely(now_s)
        return [
            GatewayPrograms(service, sums.between, sums.tokens)
            for service, sums in self._sums.items()
        ]

    def _update_likely(self, now_s: float) -> None:
        """Move programs between turns into or out of the sums by their age."""
        since_s = now_s - self.continuation_window_s
        while self._likely and (first := next(iter(self._likely.values()))).seen_s < since_s:
            self._count(first, -1)
            program, _ = self._likely.popitem(last=False)
            self._paused[program] = first
        # The average pause may have grown since, which extends the window.
        while self._paused and (last := next(reversed(self._paused.values()))).seen_s >= since_s:
            program, _ = self._paused.popitem()
            self._likely[program] = last
            self._likely.move_to_end(program, last=False)
            self._count(last, 1)
        # A longer pause updates the average only if the program is still known when it ends.
        oldest_s = now_s - MAX_CONTINUATION_SECONDS
        while self._paused and next(iter(self._paused.values())).seen_s < oldest_s:
            self._paused.popitem(last=False)

    def _remove(self, program: int) -> _Program | None:
        """Remove a program and return it; None if it is not known."""
        known = self._in_turns.pop(program, None) or self._likely.pop(program, None)
        if known is None:
            return self._paused.pop(program, None)
        self._count(known, -1)
        return known

    def _drop_oldest(self) -> None:
        """Drop the least recently seen program."""
        firsts = [
            next(iter(programs.items()))
            for programs in (self._paused, self._likely, self._in_turns)
            if programs
        ]
        program, _ = min(firsts, key=lambda first: first[1].seen_s)
        self._remove(program)

    def _count(self, program: _Program, sign: int) -> None:
        """Add a program to the sums of its service, or subtract it.

        :param sign: 1 to add, -1 to subtract.
        """
        sums = self._sums.get(program.service)
        if sums is None:
            sums = self._sums[program.service] = _Sums()
        sums.programs += sign
        sums.between += sign * (not program.turns)
        sums.tokens += sign * program.tokens
        if not sums.programs:
            del self._sums[program.service]
