"""The programs that a gateway has under way, in a turn or between two. No I/O."""

from collections import OrderedDict
from typing import NamedTuple

#: What is held to be usual between two turns before the first was seen, in seconds: a tool call.
FIRST_PAUSE_SECONDS = 0.2
#: Weight of the newest pause in what is usual.
PAUSE_WEIGHT = 0.05
#: Times the usual pause for which a program is likely to go on here. Beyond it, it has ended, or
#: its next turns come through another gateway, which counts it then.
LIKELY_FACTOR = 2.0
MOST_LIKELY_SECONDS = 1.0
#: Programs that are remembered; beyond it the one seen longest ago is forgotten.
MOST_PROGRAMS = 5000


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


class ProgramsUnderWay:
    """Counts the programs of one gateway that are likely to go on."""

    def __init__(self) -> None:
        # The one whose turn began or ended last stands last.
        self._programs: OrderedDict[int, _Program] = OrderedDict()
        self._usual_pause_s = FIRST_PAUSE_SECONDS

    @property
    def likely_s(self) -> float:
        """Return for how many seconds after a turn the next one is likely to come."""
        return min(LIKELY_FACTOR * self._usual_pause_s, MOST_LIKELY_SECONDS)

    def begin_turn(self, program: int, service: str, tokens: int, now_s: float) -> None:
        """Take in that a turn begins.

        :param tokens: of its prompt, without the part that it shares with other programs.
        """
        known = self._programs.pop(program, None)
        if known is not None and not known.turns:
            pause_s = now_s - known.seen_s
            self._usual_pause_s += PAUSE_WEIGHT * (pause_s - self._usual_pause_s)
        known = known or _Program(service)
        known.turns += 1
        known.tokens = max(known.tokens, tokens)
        known.seen_s = now_s
        self._programs[program] = known
        if len(self._programs) > MOST_PROGRAMS:
            self._programs.popitem(last=False)

    def end_turn(self, program: int, now_s: float) -> None:
        """Take in that a turn is over."""
        known = self._programs.get(program)
        if known is None or not known.turns:
            return
        known.turns -= 1
        known.seen_s = now_s
        self._programs.move_to_end(program)

    def by_service(self, now_s: float) -> list[GatewayPrograms]:
        """Return the sums by service, and forget the programs that are not likely to go on."""
        since_s = now_s - self.likely_s
        between: dict[str, int] = {}
        tokens: dict[str, int] = {}
        for name, program in list(self._programs.items()):
            if not program.turns and program.seen_s < since_s:
                # One that pauses for longer teaches what is usual only if it is still known.
                if program.seen_s < now_s - MOST_LIKELY_SECONDS:
                    del self._programs[name]
                continue
            between[program.service] = between.get(program.service, 0) + (not program.turns)
            tokens[program.service] = tokens.get(program.service, 0) + program.tokens
        return [
            GatewayPrograms(service, count, tokens[service]) for service, count in between.items()
        ]
