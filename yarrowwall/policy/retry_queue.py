"""The order in which refused programs are admitted when they retry. No I/O.

Programs that continue from an answered turn come before new ones, ordered by their first refusal.
New programs that can still finish in time come before those that cannot: admitting a late one first
would make another one late. Late programs are not starved, see
:data:`yarrowwall.policy.program_admission.ON_TIME_PER_LATE`. Programs of tenants that exceed their
share come after those of other tenants.
"""

from collections import Counter
from typing import NamedTuple

#: Seconds beyond the time at which a caller was told to come back for which it is waited for. It
#: is a way to and fro and, if its request is out of tries, a pause before it is sent anew.
GRACE_SECONDS = 0.6
#: Programs that are remembered. Beyond it whoever is refused is told when to come back and comes
#: as a new one. Each decision goes through all of them; it holds those that two hundred places
#: free in some seconds.
MAX_WAITING = 500
#: Part of the time that a program had when it first came, below which it can no longer be in time.
#: Programs are wanted within about twice their time on idle servers; at the most that servers
#: are filled to, they take up to 1.3 times that.
ON_TIME_SHARE = 0.6
#: Seconds after which a program goes behind in any case. Long programs have time for more, and
#: would pass all short ones by. It is about the longest that a caller waits at once.
MAX_ON_TIME_SECONDS = 1.5


class QueuePosition(NamedTuple):
    """A program's place in the order; the least goes first.

    :param is_new: whether it goes on from no answered turn.
    :param is_over: whether its tenant has more than its share.
    :param is_late: whether it is new and can no longer be in time.
    """

    is_new: bool
    is_over: bool
    is_late: bool
    number: int


class _Waiting(NamedTuple):
    """A program that was refused.

    :param number: rises with each program's first refusal.
    :param late_from_s: when it can no longer be in time.
    """

    tenant: str
    is_new: bool
    number: int
    late_from_s: float
    due_s: float


class ProgramsAhead(NamedTuple):
    """The programs that go before one.

    :param due: those of them that should be back by now, or are any moment.
    :param due_continued: those of these that go on from an answered turn.
    :param is_late_due: whether one that can no longer be in time, of a tenant within its share, is
        due, before it or behind.
    """

    all: int
    due: int
    due_continued: int
    is_late_due: bool


class RetryQueue:
    """The programs that were refused, until they are admitted or given up."""

    def __init__(self) -> None:
        self._waiting: dict[int, _Waiting] = {}
        self._next_number = 0
        self.by_tenant: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return how many programs are waited for."""
        return len(self._waiting)

    def forget_past(self, now_s: float) -> None:
        """Wait no more for programs that should have come back long ago."""
        past = [
            program
            for program, known in self._waiting.items()
            if known.due_s + GRACE_SECONDS < now_s
        ]
        for program in past:
            self.remove(program)

    def remove(self, program: int) -> None:
        """Take in that a program was admitted or is given up."""
        known = self._waiting.pop(program, None)
        if known is None:
            return
        self.by_tenant[known.tenant] -= 1
        if not self.by_tenant[known.tenant]:
            del self.by_tenant[known.tenant]

    def standing(self, program: int, is_new: bool, is_over: bool, now_s: float) -> QueuePosition:
        """Return the place of a program, which may not have been refused before."""
        known = self._waiting.get(program)
        if known is None:
            return QueuePosition(is_new, is_over, False, self._next_number)
        return QueuePosition(is_new, is_over, now_s >= known.late_from_s, known.number)

    def late_from_s(self, program: int, is_new: bool, finish_in_s: float, now_s: float) -> float:
        """Return when a program is held to be late.

        Infinite if its time is untold, or if it goes on from an answered turn.
        """
        known = self._waiting.get(program)
        if known is not None:
            return known.late_from_s
        if finish_in_s <= 0.0 or not is_new:
            return float("inf")
        return now_s + min((1.0 - ON_TIME_SHARE) * finish_in_s, MAX_ON_TIME_SECONDS)

    def ahead(
        self, program: int, standing: QueuePosition, over: set[str], due_by_s: float, now_s: float
    ) -> ProgramsAhead:
        """Return the programs that go before one.

        This is gone through for each question, so it makes no values of its own on the way.

        :param over: tenants with more than their share.
        """
        count = due = due_continued = 0
        is_late_due = False
        for name, known in self._waiting.items():
            if name == program:
                continue
            is_due = known.due_s <= due_by_s
            is_late = now_s >= known.late_from_s
            is_over = known.tenant in over
            is_late_due = is_late_due or (is_due and is_late and not is_over)
            if known.is_new != standing.is_new:
                goes_before = standing.is_new
            elif is_over != standing.is_over:
                goes_before = standing.is_over
            elif is_late != standing.is_late:
                goes_before = standing.is_late
            else:
                goes_before = known.number < standing.number
            if goes_before:
                count += 1
                due += is_due
                due_continued += is_due and not known.is_new
        return ProgramsAhead(count, due, due_continued, is_late_due)

    def note_refused(
        self, program: int, tenant: str, is_new: bool, late_from_s: float, due_s: float
    ) -> None:
        """Take in that a program was told to come back at a time."""
        known = self._waiting.get(program)
        if known is not None:
            self._waiting[program] = known._replace(due_s=due_s)
            return
        if len(self._waiting) >= MAX_WAITING:
            return
        self._waiting[program] = _Waiting(tenant, is_new, self._next_number, late_from_s, due_s)
        self._next_number += 1
        self.by_tenant[tenant] += 1
