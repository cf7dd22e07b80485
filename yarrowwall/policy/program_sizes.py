"""Estimates how many requests a program makes from those that ran before. No I/O."""

from collections import defaultdict

#: Requests assumed per program before the first, and the number of programs that this counts for.
#: A program of a few turns with one or two lookups after each makes about eight requests.
INITIAL_SIZE = 8.0
INITIAL_PROGRAMS = 3.0
#: Programs of a route after which an older one has lost half of its weight: one to two minutes of
#: traffic at a gateway where one program starts per second.
HALF_LIFE_PROGRAMS = 100.0

_DECAY = 0.5 ** (1.0 / HALF_LIFE_PROGRAMS)


class _RouteCounts:
    """Decayed counts of programs that began on a route, and of its turns."""

    def __init__(self) -> None:
        self.programs = INITIAL_PROGRAMS
        self.turns = INITIAL_PROGRAMS * INITIAL_SIZE / 2.0


class ProgramSizes:
    """Estimates turns per program by route, and lookups per turn over all routes.

    A gateway need not see every request of a program, since the ratios are taken over many.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCounts] = defaultdict(_RouteCounts)
        self._turns = INITIAL_PROGRAMS * INITIAL_SIZE / 2.0
        self._lookups = self._turns

    def note_turn(self, route: str, begins_program: bool) -> None:
        """Count a turn."""
        counts = self._routes[route]
        if begins_program:
            counts.programs = counts.programs * _DECAY + 1.0
            counts.turns *= _DECAY
            self._turns *= _DECAY
            self._lookups *= _DECAY
        counts.turns += 1.0
        self._turns += 1.0

    def note_lookup(self) -> None:
        """Count a lookup of any program."""
        self._lookups += 1.0

    def expected_requests(self, route: str) -> float:
        """Return the expected number of requests of a program that begins on a route."""
        counts = self._routes[route]
        return counts.turns / counts.programs * (1.0 + self._lookups / self._turns)

    def expected_turns(self, route: str) -> float:
        """Return the expected number of turns of a program that begins on a route."""
        counts = self._routes[route]
        return counts.turns / counts.programs
