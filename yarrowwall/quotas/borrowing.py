"""The gateway's side of limits: borrows leave before requests are sent.

Leave holds for a short time on this gateway's own clock, counted from before its question was
sent, which is no later than the moment from which the lender counts it.
"""

from collections.abc import Callable
from typing import NamedTuple

import xxhash
from eventlet.event import Event

from yarrowwall.messages.quotas import (
    LimitTold,
    QuotaReply,
    QuotaStatus,
    ReturnQuota,
    TakeQuota,
)
from yarrowwall.messages.replicated import Member
from yarrowwall.quotas.order import LenderOrder
from yarrowwall.quotas.terms import CREDIT_SECONDS
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.model import Attempt, Configuration, Refusal, Tenant
from yarrowwall.relay.offer import RETRY_AFTER_SECONDS, RefusedError
from yarrowwall.relay.quotas import Allowance, QuotaSource, Unlimited
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.rpc import Link, LinkTable

#: Seconds that a lender may take to answer before the next one is asked: the way between
#: zones, a sync of its disk and its queue take 5 ms.
ANSWER_SECONDS = 0.08
#: Bounds of the seconds after which callers that were refused should come back.
LEAST_RETRY_SECONDS = 0.05
MOST_RETRY_SECONDS = 2.0

_TOO_MANY = 429
_UNAVAILABLE = 503


class Credit(NamedTuple):
    """Leave for one sending.

    :param ticket: by which the lender takes it back.
    """

    lender: Member
    ticket: int
    expires_at_s: float


class _Question:
    """A question to one lender that is under way."""

    def __init__(self, lender: Member, link: Link, request: TakeQuota, now_s: float) -> None:
        self.lender = lender
        self.asked_at_s = now_s
        self._arrived = Event()
        self._is_given_up = False
        self._link = link
        self._request = request
        self._number = link.post(request, self._complete)

    def _complete(self, reply: object | None) -> None:
        if self._is_given_up:
            self._give_back(reply)
        elif not self._arrived.ready():
            self._arrived.send(reply)

    def wait(self, timeout_s: float) -> QuotaReply | None:
        """Return the reply; None if none comes in time."""
        reply = self._arrived.wait(timeout_s)
        if isinstance(reply, QuotaReply):
            return reply
        self.give_up()
        return None

    def give_up(self) -> None:
        """Give back whatever is granted, now or later."""
        if self._is_given_up:
            return
        self._is_given_up = True
        if self._arrived.ready():
            self._give_back(self._arrived.wait())

    def _give_back(self, reply: object | None) -> None:
        if isinstance(reply, QuotaReply) and reply.status is QuotaStatus.GRANTED:
            request = self._request
            self._link.tell(
                ReturnQuota(request.group, request.disk_id, request.tenant, reply.ticket)
            )


class QuotaBorrower(QuotaSource):
    """Borrows from the replicas of a tenant's group.

    :param now: the monotonic clock.
    """

    def __init__(
        self,
        zone: str,
        views: GroupViews,
        links: LinkTable,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self.views = views
        self.links = links
        self.log = log
        self.now = now
        self.order = LenderOrder(zone)

    def allowance(self, attempt: Attempt, configuration: Configuration | None) -> Allowance:
        """Return the leave that an attempt needs."""
        if configuration is None or not attempt.tenant:
            return Unlimited()
        tenant = configuration.tenant(attempt.tenant)
        if tenant is None or tenant.rate_per_s <= 0.0:
            return Unlimited()
        return BorrowedAllowance(self, attempt, tenant, configuration.version)

    def forget_past(self) -> None:
        """Forget which lenders had no room a while ago."""
        self.order.forget_past(self.now())


class BorrowedAllowance(Allowance):
    """Leave that lenders give, one request at a time."""

    def __init__(
        self, borrower: QuotaBorrower, attempt: Attempt, tenant: Tenant, version: int
    ) -> None:
        self._borrower = borrower
        self._attempt = attempt
        self._tenant = tenant
        self._limit = LimitTold(version, tenant.rate_per_s, tenant.burst)
        self._question: _Question | None = None
        self._credit: Credit | None = None
        self._spent: Credit | None = None

    # What the relay asks

    def begin(self) -> None:
        """Begin to ask the first lender."""
        lenders = self._lenders()
        if lenders:
            self._question = self._ask(lenders[0], 1, 0.0)

    def begin_program(self, expected_requests: float) -> None:
        """Ask whether a new program is welcome; whoever cannot be asked welcomes it.

        :raises RefusedError: if it does not fit the tenant's limit now.
        """
        now_s = self._borrower.now()
        members = self._members()
        for lender in self._borrower.order.home(members, self._tenant.name, now_s):
            question = self._ask(lender, 0, expected_requests)
            reply = question.wait(ANSWER_SECONDS)
            if reply is None or reply.status is QuotaStatus.NOT_ENTITLED:
                self._borrower.order.note_silent(lender, self._borrower.now())
                continue
            if reply.status is QuotaStatus.NO_ROOM:
                raise self._refused(1, reply.retry_after_s, begins=True)
            return

    def spend(self) -> None:
        """Use leave for a sending that happens right now, waiting for it if need be.

        :raises RefusedError: if there is none.
        """
        credit, self._credit = self._credit, None
        if credit is None or credit.expires_at_s <= self._borrower.now():
            credit = self._borrow()
        self._spent = credit

    def not_run(self) -> None:
        """Note that the last sending surely did not run: its leave serves the next one."""
        self._credit, self._spent = self._spent, None

    def close(self) -> None:
        """Give back what was not used."""
        if self._question is not None:
            self._question.give_up()
            self._question = None
        if self._credit is not None:
            lender = self._credit.lender
            message = ReturnQuota(
                self._group(), lender.disk_id, self._tenant.name, self._credit.ticket
            )
            self._borrower.links.get(lender.address).tell(message)
            self._credit = None

    # Lenders

    def _group(self) -> int:
        count = self._borrower.views.count
        return xxhash.xxh3_64_intdigest(self._tenant.name.encode()) % count if count else 0

    def _members(self) -> list[Member]:
        view = self._borrower.views.get(self._group())
        return list(view.members) if view is not None else []

    def _lenders(self) -> list[Member]:
        now_s = self._borrower.now()
        return self._borrower.order.candidates(self._members(), self._tenant.name, now_s)

    def _ask(self, lender: Member, count: int, program_size: float) -> _Question:
        request = TakeQuota(
            self._group(), lender.disk_id, self._tenant.name, self._limit, count, program_size
        )
        link = self._borrower.links.get(lender.address)
        return _Question(lender, link, request, self._borrower.now())

    def _borrow(self) -> Credit:
        """Return leave from whichever lender has room.

        :raises RefusedError: if none has, or none answers.
        """
        retry_after_s: float | None = None
        asked: set[str] = set()
        while (question := self._next_question(asked)) is not None:
            asked.add(question.lender.disk_id)
            reply = question.wait(ANSWER_SECONDS)
            now_s = self._borrower.now()
            if reply is None or reply.status is QuotaStatus.NOT_ENTITLED:
                self._borrower.order.note_silent(question.lender, now_s)
                continue
            if reply.status is QuotaStatus.NO_ROOM:
                self._note_exhausted(question.lender, reply.retry_after_s, now_s)
                retry_after_s = min(retry_after_s or reply.retry_after_s, reply.retry_after_s)
                continue
            if not reply.room:
                self._note_exhausted(question.lender, ANSWER_SECONDS, now_s)
            expires_at_s = question.asked_at_s + CREDIT_SECONDS
            if expires_at_s > now_s:
                return Credit(question.lender, reply.ticket, expires_at_s)
        if retry_after_s is None:
            reason = f"no replica lends of the limit of {self._tenant.name}"
            raise RefusedError(Refusal(_UNAVAILABLE, reason, RETRY_AFTER_SECONDS))
        raise self._refused(len(asked), retry_after_s, begins=False)

    def _next_question(self, asked: set[str]) -> _Question | None:
        question, self._question = self._question, None
        if question is not None:
            return question
        left = [lender for lender in self._lenders() if lender.disk_id not in asked]
        return self._ask(left[0], 1, 0.0) if left else None

    def _note_exhausted(self, lender: Member, after_s: float, now_s: float) -> None:
        self._borrower.order.note_exhausted(lender, self._tenant.name, after_s, now_s)

    def _refused(self, asked: int, retry_after_s: float, begins: bool) -> RefusedError:
        retry_after_s = min(max(retry_after_s, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS)
        self._borrower.log.write(
            decisions.QuotaRefused(
                self._attempt.attempt_id, self._tenant.name, asked, begins, retry_after_s
            )
        )
        reason = f"the limit of {self._tenant.name} is used up"
        return RefusedError(Refusal(_TOO_MANY, reason, retry_after_s))
