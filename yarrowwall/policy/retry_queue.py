"""The order in which refused programs are admitted when they retry. No I/O.

Programs that continue from an answered turn come before new ones, ordered by their first refusal.
New programs that can still finish in time come before those that cannot: admitting a late one first
would make another one late. Late programs are not starved, see
:data:`yarrowwall.policy.program_admission.ON_TIME_PER_LATE`. Programs of tenants that exceed their
share come after those of other tenants.
"""

from collections import Counter
from typing import NamedTuple

#: Seconds after the announced retry time for which a program is kept in the queue. They cover a
#: round trip and, if its request has no tries left, the pause before the next request.
GRACE_SECONDS = 0.6
#: Maximum number of programs in the queue; programs refused beyond it are new when they retry.
#: Every decision iterates over all of them. 500 are the programs that 200 slots can start within
#: some seconds.
MAX_WAITING = 500
#: A program can no longer finish in time if less than this share of the time that it had at first
#: is left. Programs should finish within about twice their time on idle servers. On servers
#: filled up to the limit they take up to 1.3 times that.
ON_TIME_SHARE = 0.6
#: Seconds after which a program counts as late in any case. Long programs have more time left and
#: would otherwise come before all short ones. It is about the longest that callers wait for one
#: retry.
MAX_ON_TIME_SECONDS = 1.5


class QueuePosition(NamedTuple):
    """A program's position in the order of admission; the lowest comes first.

    :param is_new: whether it does not continue from an answered turn.
    :param is_over_share: whether its tenant exceeds its share.
    :param is_late: whether it is new and can no longer finish in time.
    :param number: position by first refusal.
    """

    is_new: bool
    is_over_share: bool
    is_late: bool
    number: int


class _WaitingProgram(NamedTuple):
    """A program that was refused.

    :param number: position by first refusal.
    :param late_from_s: time from which it can no longer finish in time.
    :param due_s: time at which it was asked to retry.
    """

    tenant: str
    is_new: bool
    number: int
    late_from_s: float
    due_s: float


class ProgramsAhead(NamedTuple):
    """Counts of the waiting programs that come before a given one.

    :param all: all of them.
    :param due: those that should have retried by now or are about to.
    :param due_continued: due programs that continue from an answered turn.
    :param is_late_due: whether any late program of a tenant within its share is due, whether before
        or after the given one.
    """

    all: int
    due: int
    due_continued: int
    is_late_due: bool


class RetryQueue:
    """The programs that were refused, until they are admitted or their retry is overdue."""

    def __init__(self) -> None:
        self._waiting: dict[int, _WaitingProgram] = {}
        self._next_number = 0
        self.by_tenant: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of waiting programs."""
        return len(self._waiting)

    def drop_expired(self, now_s: float) -> None:
        """Remove the programs whose retry is overdue."""
        expired = [
            program
            for program, waiting in self._waiting.items()
            if waiting.due_s + GRACE_SECONDS < now_s
        ]
        for program in expired:
            self.remove(program)

    def remove(self, program: int) -> None:
        """Remove a program that was admitted or whose retry is overdue."""
        waiting = self._waiting.pop(program, None)
        if waiting is None:
            return
        self.by_tenant[waiting.tenant] -= 1
        if not self.by_tenant[waiting.tenant]:
            del self.by_tenant[waiting.tenant]

    def position(
        self, program: int, is_new: bool, is_over_share: bool, now_s: float
    ) -> QueuePosition:
        """Return the position of a program, whether or not it was refused before."""
        waiting = self._waiting.get(program)
        if waiting is None:
            return QueuePosition(is_new, is_over_share, False, self._next_number)
        return QueuePosition(is_new, is_over_share, now_s >= waiting.late_from_s, waiting.number)

    def late_from_s(self, program: int, is_new: bool, finish_in_s: float, now_s: float) -> float:
        """Return the time from which a program counts as late.

        Infinite if its time is unknown, or if it continues from an answered turn.
        """
        waiting = self._waiting.get(program)
        if waiting is not None:
            return waiting.late_from_s
        if finish_in_s <= 0.0 or not is_new:
            return float("inf")
        return now_s + min((1.0 - ON_TIME_SHARE) * finish_in_s, MAX_ON_TIME_SECONDS)

    def ahead(
        self, program: int, position: QueuePosition, over: set[str], due_by_s: float, now_s: float
    ) -> ProgramsAhead:
        """Return how many waiting programs come before a given one.

        Runs for each admission request, so it creates no objects for the waiting programs.

        :param over: tenants that exceed their share.
        :param due_by_s: programs to retry by this time are due.
        """
        count = due = due_continued = 0
        is_late_due = False
        for name, waiting in self._waiting.items():
            if name == program:
                continue
            is_due = waiting.due_s <= due_by_s
            is_late = now_s >= waiting.late_from_s
            is_over_share = waiting.tenant in over
            is_late_due = is_late_due or (is_due and is_late and not is_over_share)
            if waiting.is_new != position.is_new:
                comes_before = position.is_new
            elif is_over_share != position.is_over_share:
                comes_before = position.is_over_share
            elif is_late != position.is_late:
                comes_before = position.is_late
            else:
                comes_before = waiting.number < position.number
            if comes_before:
                count += 1
                due += is_due
                due_continued += is_due and not waiting.is_new
        return ProgramsAhead(count, due, due_continued, is_late_due)

    def note_refused(
        self, program: int, tenant: str, is_new: bool, late_from_s: float, due_s: float
    ) -> None:
        """Record that a program was refused.

        :param due_s: time at which it was asked to retry.
        """
        waiting = self._waiting.get(program)
        if waiting is not None:
            self._waiting[program] = waiting._replace(due_s=due_s)
            return
        if len(self._waiting) >= MAX_WAITING:
            return
        self._waiting[program] = _WaitingProgram(
            tenant, is_new, self._next_number, late_from_s, due_s
        )
        self._next_number += 1
        self.by_tenant[tenant] += 1
