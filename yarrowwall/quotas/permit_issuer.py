"""Issues permits from one replica's share of each tenant's limit. No I/O.

A permit counts from before the gateway may use it until the last window in which its request can
arrive is over. So the requests that arrive at servers within any window never exceed the permits
issued within a slightly longer one, which never exceed the share.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from yarrowwall.clocks import Clock
from yarrowwall.messages.quotas import (
    QuotaLent,
    QuotaReply,
    QuotaStatus,
    ReturnQuota,
    TakeQuota,
    TenantLimit,
)
from yarrowwall.quotas.quota_rules import QuotaRules
from yarrowwall.quotas.window import SlidingWindow

NOT_ENTITLED = QuotaReply(QuotaStatus.NOT_ENTITLED, 0, 0, 0, 0.0)


class Outcome(NamedTuple):
    """The outcome of a request for permits.

    :param reply: The reply to send once ``persist`` is on disk.
    :param persist: The record to write first, if any.
    """

    reply: QuotaReply
    persist: QuotaLent | None = None


def _exhausted_reply(after_s: float) -> QuotaReply:
    return QuotaReply(QuotaStatus.NO_ROOM, 0, 0, 0, after_s)


class _TenantState:
    """The limit of one tenant and what was issued of it.

    :ivar issued: Permits that still count.
    :ivar program_requests: Requests that recently admitted programs are expected to make.
    """

    def __init__(self, rules: QuotaRules) -> None:
        self.limit = TenantLimit(0, 0.0, 0.0)
        self.issued = SlidingWindow(rules.counted_s)
        self.program_requests = SlidingWindow(rules.window_s)

    def update_limit(self, received: TenantLimit) -> None:
        """Store a limit unless it is older than the current one."""
        if received.version >= self.limit.version:
            self.limit = received


class PermitIssuer:
    """Issues one replica's share of all tenants' limits.

    :param issuers: Number of issuers among which each limit is divided.
    :param rank_of: Returns the rank of this issuer for a tenant, given the monotonic time.
    """

    def __init__(
        self, rules: QuotaRules, issuers: int, rank_of: Callable[[str, float], int]
    ) -> None:
        self._rules = rules
        self._issuers = issuers
        self._rank_of = rank_of
        self._states: dict[str, _TenantState] = {}

    def issue(self, request: TakeQuota, clock: Clock) -> Outcome:
        """Issue permits, as far as the share allows, and admit a program if asked to."""
        state = self._state(request.tenant)
        state.update_limit(request.limit)
        now_s = clock.steady_s
        if request.program_size > 0.0:
            admitted_after_s = self._admit_program(state, request.program_size, now_s)
            if admitted_after_s > 0.0:
                return Outcome(_exhausted_reply(admitted_after_s))
        if not request.count:
            return Outcome(QuotaReply(QuotaStatus.GRANTED, 0, 0, 0, 0.0))
        rank = self._rank_of(request.tenant, now_s)
        share = self._rules.share(state.limit, self._issuers, rank)
        available = math.floor(share - state.issued.total(now_s))
        if available < 1:
            return Outcome(_exhausted_reply(state.issued.free_after_s(1, share, now_s)))
        granted = min(request.count, available)
        ticket = state.issued.add(granted, now_s)
        reply = QuotaReply(QuotaStatus.GRANTED, granted, ticket, available - granted, 0.0)
        return Outcome(reply, self._record(request.tenant, state, granted, 0.0, clock))

    def _admit_program(self, state: _TenantState, size: float, now_s: float) -> float:
        """Admit a program; return 0, or the seconds until it could be admitted.

        A program is always admitted while no other counts, however large it is expected to be.
        """
        limit = max(self._rules.agreed_requests(state.limit), size)
        wait_s = state.program_requests.free_after_s(size, limit, now_s)
        if wait_s <= 0.0:
            state.program_requests.add(size, now_s)
        return wait_s

    def return_permit(self, request: ReturnQuota) -> None:
        """Take back an unused permit.

        Its record on disk still counts it after a restart, which cannot exceed the limit.
        """
        state = self._states.get(request.tenant)
        if state is not None:
            state.issued.remove_one(request.ticket)

    def _state(self, tenant: str) -> _TenantState:
        state = self._states.get(tenant)
        if state is None:
            state = self._states[tenant] = _TenantState(self._rules)
        return state

    def drop_idle(self, now_s: float) -> None:
        """Drop tenants without permits or programs that still count."""
        for tenant, state in list(self._states.items()):
            if not state.issued.entries(now_s) and not state.program_requests.entries(now_s):
                del self._states[tenant]

    # Records on disk

    @staticmethod
    def _record(
        tenant: str, state: _TenantState, count: float, age_s: float, clock: Clock
    ) -> QuotaLent:
        wall_s, steady_s = clock.wall_s - age_s, clock.steady_s - age_s
        return QuotaLent(tenant, state.limit, count, wall_s, steady_s)

    def restore(self, record: QuotaLent, clock: Clock) -> None:
        """Restore a record from disk."""
        age_s = clock.age_s(record.wall_s, record.steady_s)
        if age_s > self._rules.counted_s:
            return
        state = self._state(record.tenant)
        state.update_limit(record.limit)
        state.issued.add(record.count, clock.steady_s - age_s)

    def snapshot(self, clock: Clock) -> list[QuotaLent]:
        """Return records of all permits that still count."""
        return [
            self._record(tenant, state, count, age_s, clock)
            for tenant, state in self._states.items()
            for age_s, count in state.issued.entries(clock.steady_s)
        ]

    def issued_by_tenant(self, now_s: float) -> dict[str, int]:
        """Return the number of issued permits that still count, by tenant."""
        return {tenant: int(state.issued.total(now_s)) for tenant, state in self._states.items()}
