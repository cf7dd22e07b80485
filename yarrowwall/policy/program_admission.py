"""Admission of programs at one service, over all gateways, while it is nearly full. No I/O.

A replica decides, since gateways that decide alone admit the same free place hundreds of times.
Its memory is a hint like the loads: a replica that takes over knows the sums within a report, and
lets programs in as they come until it has refused some itself.
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

#: Seconds from an admission until its first turn is in the sums that others are told.
REPORT_DELAY_SECONDS = 0.1
#: Seconds for which an admitted program may come again, since its first turn failed, and is let in.
ADMISSION_MEMORY_SECONDS = 10.0
#: Admitted programs that are remembered.
MAX_ADMITTED = 5000
#: Seconds within which a program that was refused and goes first is due: its place is kept.
DUE_SECONDS = 0.2
#: Part of the places kept free of tenants with more than their share, so that the others, who
#: come by ones and twos, find room at once.
HEADROOM_SHARE = 0.08
#: Programs in time that may go before one that cannot be: it is worth less, and not nothing.
ON_TIME_PER_LATE = 3
#: Seconds of admissions from which the rate is told, and that must have passed since the first
#: refusal; before, programs are held to end once in the time that they have.
RATE_WINDOW_SECONDS = 1.0
MIN_RATE_PER_S = 2.0


class ProgramAdmission:
    """Decides which programs may begin at a service."""

    def __init__(self) -> None:
        self._shares = TenantShares()
        self._returns = RetryQueue()
        self._admitted: OrderedDict[int, float] = OrderedDict()
        self._overtaking = 0
        self._contended_since_s: float | None = None
        self._usual = TypicalProgram()
        self._servers = AverageCapacity()

    def decide(self, ask: AskRoom, under_way: ReportedPrograms, now_s: float) -> RoomReply:
        """Return whether a program may begin, or when it should come back.

        :param under_way: what all gateways told.
        """
        self._forget_past(now_s)
        if ask.program in self._admitted:
            return self._reply(True, 0.0, CapacityForecast(0.0, Scarce.NOTHING), 0)
        self._usual.note_asked(ask.finish_in_s)
        self._servers.note_asked(ask, now_s)
        room = self._forecast(ask, under_way, now_s)
        over = self._shares.tenants_over(self._returns.by_tenant)
        is_over, is_new = ask.tenant in over, not ask.is_continued
        standing = self._returns.standing(ask.program, is_new, is_over, now_s)
        due_by_s = now_s + DUE_SECONDS
        ahead = self._returns.ahead(ask.program, standing, over, due_by_s, now_s)
        if room.programs >= self._needed(ask, standing, ahead):
            self._count_overtaking(standing, ahead)
            self._admit(ask, now_s)
            return self._reply(True, 0.0, room, ahead.all)
        if room.programs >= 1.0:
            room = CapacityForecast(room.programs, Scarce.TURN)
        retry_after_s = self._refuse(ask, under_way, ahead, now_s)
        return self._reply(False, retry_after_s, room, ahead.all)

    def cancel(self, program: int, tenant: str) -> None:
        """Take in that an admitted program did not begin, since its tenant's limit had no room."""
        if self._admitted.pop(program, None) is not None:
            self._shares.remove_admission(tenant)

    def _forecast(
        self, ask: AskRoom, under_way: ReportedPrograms, now_s: float
    ) -> CapacityForecast:
        begun = self._shares.since(now_s - ask.age_s - REPORT_DELAY_SECONDS)
        servers = self._servers
        usual_tokens = round(self._usual.tokens) or ask.tokens
        memory_tokens = round(servers.memory_tokens)
        free = free_slots(servers.slots, ask.taken, memory_tokens, usual_tokens)
        return forecast(free, memory_tokens, under_way, begun, ask.tokens)

    def _needed(self, ask: AskRoom, standing: QueuePosition, ahead: ProgramsAhead) -> float:
        """Return how many programs there must be room for, so that this one may begin."""
        needed = 1.0 + ahead.due
        if not standing.is_new:
            return needed
        if standing.is_over:
            return needed + HEADROOM_SHARE * ask.places
        if standing.is_late and self._overtaking >= ON_TIME_PER_LATE:
            return 1.0 + ahead.due_continued
        if ahead.is_late_due and not standing.is_late and self._overtaking >= ON_TIME_PER_LATE:
            needed += 1.0
        return needed

    def _count_overtaking(self, standing: QueuePosition, ahead: ProgramsAhead) -> None:
        if standing.is_late:
            self._overtaking = 0
        elif standing.is_new and ahead.is_late_due:
            self._overtaking += 1

    def _admit(self, ask: AskRoom, now_s: float) -> None:
        self._returns.remove(ask.program)
        self._usual.note_admitted(ask.tokens)
        self._shares.note_admitted(ask.tenant, ask.weight, now_s)
        self._admitted[ask.program] = now_s
        if len(self._admitted) > MAX_ADMITTED:
            self._admitted.popitem(last=False)

    def _refuse(
        self, ask: AskRoom, under_way: ReportedPrograms, ahead: ProgramsAhead, now_s: float
    ) -> float:
        """Note a refusal; return the seconds until it should be the program's turn."""
        if self._contended_since_s is None:
            self._contended_since_s = now_s
        is_new = not ask.is_continued
        late_from_s = self._returns.late_from_s(ask.program, is_new, ask.finish_in_s, now_s)
        rate_per_s = self._rate_per_s(ask, under_way, now_s)
        wait_s = (ahead.all + 1) / rate_per_s
        if now_s + wait_s >= late_from_s:
            # It will be late and go behind all that are in time.
            wait_s = (len(self._returns) + 1) / rate_per_s
        wait_s = after_queue_wait_s(wait_s, ask.patience_s, ask.program)
        due_s = now_s + wait_s
        self._returns.note_refused(ask.program, ask.tenant, is_new, late_from_s, due_s)
        return wait_s

    def _rate_per_s(self, ask: AskRoom, under_way: ReportedPrograms, now_s: float) -> float:
        """Return how many programs are expected to be admitted in a second."""
        since_s = self._contended_since_s
        if since_s is not None and now_s - since_s >= RATE_WINDOW_SECONDS:
            rate_per_s = self._shares.since(now_s - RATE_WINDOW_SECONDS) / RATE_WINDOW_SECONDS
        else:
            rate_per_s = (ask.taken + under_way.between) / self._usual.finish_in_s
        return max(rate_per_s, MIN_RATE_PER_S)

    def _forget_past(self, now_s: float) -> None:
        self._shares.forget_past(now_s)
        self._returns.forget_past(now_s)
        if not len(self._returns):
            self._contended_since_s = None
            self._overtaking = 0
        while self._admitted:
            program, at_s = next(iter(self._admitted.items()))
            if at_s >= now_s - ADMISSION_MEMORY_SECONDS:
                break
            del self._admitted[program]

    def _reply(
        self, is_admitted: bool, retry_after_s: float, room: CapacityForecast, ahead: int
    ) -> RoomReply:
        holder = self._shares.holder
        return RoomReply(
            is_admitted,
            retry_after_s,
            Scarce.NOTHING if is_admitted else room.scarce,
            room.programs,
            len(self._returns),
            ahead,
            holder.tenant,
            holder.share,
        )
