"""How many requests a program is expected to make, learned from those that ran. No I/O."""

from collections import defaultdict

#: What is held to be usual before the first program, and for how many programs that counts.
#: A program of a few turns with a lookup or two behind each makes some eight requests.
INITIAL_SIZE = 8.0
INITIAL_PROGRAMS = 3.0
#: Programs of a route after which the oldest have lost half of their weight: a minute or two of
#: traffic at a gateway where one begins each second.
HALF_LIFE_PROGRAMS = 100.0

_DECAY = 0.5 ** (1.0 / HALF_LIFE_PROGRAMS)


class _RouteCounts:
    """Programs that began with a route, and its turns."""

    def __init__(self) -> None:
        self.programs = INITIAL_PROGRAMS
        self.turns = INITIAL_PROGRAMS * INITIAL_SIZE / 2.0


class ProgramSizes:
    """Counts turns against programs by route, and lookups against turns over all routes.

    A gateway need not see all of a program: both are counted over many.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteCounts] = defaultdict(_RouteCounts)
        self._turns = INITIAL_PROGRAMS * INITIAL_SIZE / 2.0
        self._lookups = self._turns

    def note_turn(self, route: str, begins_program: bool) -> None:
        """Take in a turn."""
        counts = self._routes[route]
        if begins_program:
            counts.programs = counts.programs * _DECAY + 1.0
            counts.turns *= _DECAY
            self._turns *= _DECAY
            self._lookups *= _DECAY
        counts.turns += 1.0
        self._turns += 1.0

    def note_lookup(self) -> None:
        """Take in a lookup of any program."""
        self._lookups += 1.0

    def expected_requests(self, route: str) -> float:
        """Return the requests that a program beginning on a route is expected to make."""
        counts = self._routes[route]
        return counts.turns / counts.programs * (1.0 + self._lookups / self._turns)

    def expected_turns(self, route: str) -> float:
        """Return the turns that a program beginning on a route is expected to have."""
        counts = self._routes[route]
        return counts.turns / counts.programs
