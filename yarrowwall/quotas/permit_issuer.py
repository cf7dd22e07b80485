"""Lends a fixed part of each tenant's limit. No I/O.

What is lent counts from before the gateway may use it until the window in which it could be
used is over, so the requests that arrive at servers within any window are no more than what
was lent within a slightly longer one, which is no more than the part.
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
    """What a question leads to.

    :param reply: to be sent once ``persist`` is on disk.
    """

    reply: QuotaReply
    persist: QuotaLent | None = None


def _no_room(after_s: float) -> QuotaReply:
    return QuotaReply(QuotaStatus.NO_ROOM, 0, 0, 0, after_s)


class _Book:
    """What is known and lent of one tenant.

    :ivar lent: requests that gateways got credits for.
    :ivar begun: requests that the programs begun lately are expected to make.
    """

    def __init__(self, rules: QuotaRules) -> None:
        self.limit = TenantLimit(0, 0.0, 0.0)
        self.lent = SlidingWindow(rules.counted_s)
        self.begun = SlidingWindow(rules.window_s)

    def take_limit(self, told: TenantLimit) -> None:
        """Take in a limit unless it is older than the one that is known."""
        if told.version >= self.limit.version:
            self.limit = told


class PermitIssuer:
    """One replica's part of all tenants' limits.

    :param lenders: into how many parts each limit is divided.
    :param rank_of: returns this lender's place among them for a tenant, at a moment of the
        monotonic clock.
    """

    def __init__(
        self, rules: QuotaRules, issuers: int, rank_of: Callable[[str, float], int]
    ) -> None:
        self._rules = rules
        self._issuers = issuers
        self._rank_of = rank_of
        self._books: dict[str, _Book] = {}

    def issue(self, request: TakeQuota, clock: Clock) -> Outcome:
        """Lend, if there is room."""
        book = self._book(request.tenant)
        book.take_limit(request.limit)
        now_s = clock.steady_s
        if request.program_size > 0.0:
            welcome_after_s = self._begin_program(book, request.program_size, now_s)
            if welcome_after_s > 0.0:
                return Outcome(_no_room(welcome_after_s))
        if not request.count:
            return Outcome(QuotaReply(QuotaStatus.GRANTED, 0, 0, 0, 0.0))
        rank = self._rank_of(request.tenant, now_s)
        share = self._rules.share(book.limit, self._issuers, rank)
        room = math.floor(share - book.lent.total(now_s))
        if room < 1:
            return Outcome(_no_room(book.lent.room_after_s(1, share, now_s)))
        granted = min(request.count, room)
        ticket = book.lent.add(granted, now_s)
        reply = QuotaReply(QuotaStatus.GRANTED, granted, ticket, room - granted, 0.0)
        return Outcome(reply, self._record(request.tenant, book, granted, 0.0, clock))

    def _begin_program(self, book: _Book, size: float, now_s: float) -> float:
        """Note that a program begins; return 0, or the seconds after which it would be welcome.

        One program is always welcome, however large it is expected to be.
        """
        most = max(self._rules.agreed(book.limit), size)
        wait_s = book.begun.room_after_s(size, most, now_s)
        if wait_s <= 0.0:
            book.begun.add(size, now_s)
        return wait_s

    def return_permit(self, request: ReturnQuota) -> None:
        """Take back what was not used. The disk still counts it, which errs to the safe side."""
        book = self._books.get(request.tenant)
        if book is not None:
            book.lent.take_back(request.ticket)

    def _book(self, tenant: str) -> _Book:
        book = self._books.get(tenant)
        if book is None:
            book = self._books[tenant] = _Book(self._rules)
        return book

    def drop_idle(self, now_s: float) -> None:
        """Forget tenants of whom nothing counts any more."""
        for tenant, book in list(self._books.items()):
            if not book.lent.entries(now_s) and not book.begun.entries(now_s):
                del self._books[tenant]

    # The disk

    @staticmethod
    def _record(tenant: str, book: _Book, count: float, age_s: float, clock: Clock) -> QuotaLent:
        wall_s, steady_s = clock.wall_s - age_s, clock.steady_s - age_s
        return QuotaLent(tenant, book.limit, count, wall_s, steady_s)

    def restore(self, record: QuotaLent, clock: Clock) -> None:
        """Take in a record that was found on disk."""
        age_s = clock.age_s(record.wall_s, record.steady_s)
        if age_s > self._rules.counted_s:
            return
        book = self._book(record.tenant)
        book.take_limit(record.limit)
        book.lent.add(record.count, clock.steady_s - age_s)

    def snapshot(self, clock: Clock) -> list[QuotaLent]:
        """Return records that restore what still counts."""
        return [
            self._record(tenant, book, count, age_s, clock)
            for tenant, book in self._books.items()
            for age_s, count in book.lent.entries(clock.steady_s)
        ]

    def issued_by_tenant(self, now_s: float) -> dict[str, int]:
        """Return the requests that count against each tenant's part now."""
        return {tenant: int(book.lent.total(now_s)) for tenant, book in self._books.items()}
