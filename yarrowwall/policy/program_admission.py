"""Admission of programs to one service, over all gateways, while it is nearly full. No I/O.

A replica decides: gateways that decided independently would give the same free slot to hundreds of
programs. The replica's state is not stored. One that takes over has all load reports after one
report interval, and admits programs in the order of their requests until it has refused some.
"""

from collections import OrderedDict

from yarrowwall.messages.capacity import AskRoom, RoomReply, Scarce
from yarrowwall.policy.capacity_forecast import (
    CapacityForecast,
    ReportedPrograms,
    forecast,
    free_slots,
)
from yarrowwall.policy.retry_after import after_queue_wait_s
from yarrowwall.policy.retry_queue import ProgramsAhead, QueuePosition, RetryQueue
from yarrowwall.policy.running_averages import AverageCapacity, TypicalProgram
from yarrowwall.policy.tenant_shares import TenantShares

#: Seconds from an admission until the program's first turn is included in the load reports.
REPORT_DELAY_SECONDS = 0.1
#: Seconds for which an admitted program may ask again and is admitted at once. It does so if its
#: first turn failed.
ADMISSION_MEMORY_SECONDS = 10.0
#: Maximum number of admitted programs that are remembered.
MAX_ADMITTED = 5000
#: A refused program is due, and capacity is kept for it, if it should retry within these seconds.
DUE_SECONDS = 0.2
#: Share of the slots that is kept free of tenants that exceed their share, so that programs of
#: other tenants, which arrive one or two at a time, are admitted at once.
HEADROOM_SHARE = 0.08
#: Programs that can finish in time and may be admitted before one that cannot. A late program is
#: worth less, but must not starve.
ON_TIME_PER_LATE = 3
#: Seconds over which the rate of admissions is measured. Until this long after the first refusal,
#: every program is assumed to finish once within the time that programs typically have left.
RATE_WINDOW_SECONDS = 1.0
MIN_RATE_PER_S = 2.0


class ProgramAdmission:
    """Decides which programs may begin at a service."""

    def __init__(self) -> None:
        self._shares = TenantShares()
        self._queue = RetryQueue()
        self._admitted: OrderedDict[int, float] = OrderedDict()
        # On-time programs admitted in sequence while a late one was due.
        self._before_late = 0
        self._contended_since_s: float | None = None
        self._typical = TypicalProgram()
        self._capacity = AverageCapacity()

    def decide(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> RoomReply:
        """Return whether a program may begin, or when it should retry.

        :param reported: active programs at the service, as reported by all gateways.
        """
        self._drop_expired(now_s)
        if ask.program in self._admitted:
            return self._reply(True, 0.0, CapacityForecast(0.0, Scarce.NOTHING), 0)
        self._typical.note_asked(ask.finish_in_s)
        self._capacity.note_asked(ask, now_s)
        capacity = self._forecast(ask, reported, now_s)
        over = self._shares.tenants_over_share(self._queue.by_tenant)
        is_over_share, is_new = ask.tenant in over, not ask.is_continued
        position = self._queue.position(ask.program, is_new, is_over_share, now_s)
        due_by_s = now_s + DUE_SECONDS
        ahead = self._queue.ahead(ask.program, position, over, due_by_s, now_s)
        if capacity.programs >= self._needed(ask, position, ahead):
            self._count_before_late(position, ahead)
            self._admit(ask, now_s)
            return self._reply(True, 0.0, capacity, ahead.all)
        if capacity.programs >= 1.0:
            capacity = CapacityForecast(capacity.programs, Scarce.TURN)
        retry_after_s = self._refuse(ask, reported, ahead, now_s)
        return self._reply(False, retry_after_s, capacity, ahead.all)

    def cancel(self, program: int, tenant: str) -> None:
        """Withdraw the admission of a program that its tenant's limit refused."""
        if self._admitted.pop(program, None) is not None:
            self._shares.remove_admission(tenant)

    def _forecast(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> CapacityForecast:
        begun = self._shares.admitted_since(now_s - ask.age_s - REPORT_DELAY_SECONDS)
        average = self._capacity
        typical_tokens = round(self._typical.tokens) or ask.tokens
        memory_tokens = round(average.memory_tokens)
        free = free_slots(average.slots, ask.taken, memory_tokens, typical_tokens)
        return forecast(free, memory_tokens, reported, begun, ask.tokens)

    def _needed(self, ask: AskRoom, position: QueuePosition, ahead: ProgramsAhead) -> float:
        """Return how many programs there must be capacity for before this one may begin."""
        needed = 1.0 + ahead.due
        if not position.is_new:
            return needed
        if position.is_over_share:
            return needed + HEADROOM_SHARE * ask.places
        if position.is_late and self._before_late >= ON_TIME_PER_LATE:
            return 1.0 + ahead.due_continued
        if ahead.is_late_due and not position.is_late and self._before_late >= ON_TIME_PER_LATE:
            needed += 1.0
        return needed

    def _count_before_late(self, position: QueuePosition, ahead: ProgramsAhead) -> None:
        if position.is_late:
            self._before_late = 0
        elif position.is_new and ahead.is_late_due:
            self._before_late += 1

    def _admit(self, ask: AskRoom, now_s: float) -> None:
        self._queue.remove(ask.program)
        self._typical.note_admitted(ask.tokens)
        self._shares.note_admitted(ask.tenant, ask.weight, now_s)
        self._admitted[ask.program] = now_s
        if len(self._admitted) > MAX_ADMITTED:
            self._admitted.popitem(last=False)

    def _refuse(
        self, ask: AskRoom, reported: ReportedPrograms, ahead: ProgramsAhead, now_s: float
    ) -> float:
        """Record a refusal; return the seconds after which the program should retry."""
        if self._contended_since_s is None:
            self._contended_since_s = now_s
        is_new = not ask.is_continued
        late_from_s = self._queue.late_from_s(ask.program, is_new, ask.finish_in_s, now_s)
        rate_per_s = self._rate_per_s(ask, reported, now_s)
        wait_s = (ahead.all + 1) / rate_per_s
        if now_s + wait_s >= late_from_s:
            # It will be late by then and come after all programs that can finish in time.
            wait_s = (len(self._queue) + 1) / rate_per_s
        wait_s = after_queue_wait_s(wait_s, ask.patience_s, ask.program)
        due_s = now_s + wait_s
        self._queue.note_refused(ask.program, ask.tenant, is_new, late_from_s, due_s)
        return wait_s

    def _rate_per_s(self, ask: AskRoom, reported: ReportedPrograms, now_s: float) -> float:
        """Return how many programs are expected to be admitted per second."""
        since_s = self._contended_since_s
        if since_s is not None and now_s - since_s >= RATE_WINDOW_SECONDS:
            rate_per_s = (
                self._shares.admitted_since(now_s - RATE_WINDOW_SECONDS) / RATE_WINDOW_SECONDS
            )
        else:
            rate_per_s = (ask.taken + reported.between) / self._typical.finish_in_s
        return max(rate_per_s, MIN_RATE_PER_S)

    def _drop_expired(self, now_s: float) -> None:
        self._shares.drop_expired(now_s)
        self._queue.drop_expired(now_s)
        if not len(self._queue):
            self._contended_since_s = None
            self._before_late = 0
        while self._admitted:
            program, at_s = next(iter(self._admitted.items()))
            if at_s >= now_s - ADMISSION_MEMORY_SECONDS:
                break
            del self._admitted[program]

    def _reply(
        self, is_admitted: bool, retry_after_s: float, capacity: CapacityForecast, ahead: int
    ) -> RoomReply:
        holder = self._shares.holder
        return RoomReply(
            is_admitted,
            retry_after_s,
            Scarce.NOTHING if is_admitted else capacity.scarce,
            capacity.programs,
            len(self._queue),
            ahead,
            holder.tenant,
            holder.share,
        )
