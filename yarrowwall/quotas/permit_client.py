"""The gateway's side of limits: borrows credits before requests are sent.

A credit holds for a short time on this gateway's own clock, counted from before its question was
sent, which is no later than the moment from which the lender counts it.
"""

from collections.abc import Callable
from http import HTTPStatus

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.quotas import (
    QuotaReply,
    QuotaStatus,
    TakeQuota,
    TenantLimit,
)
from yarrowwall.messages.replicated import Member
from yarrowwall.model import Attempt
from yarrowwall.policy.retry_after import after_limit_s, after_outage_s
from yarrowwall.ports.quotas import Allowance, QuotaSource, UnlimitedAllowance
from yarrowwall.quotas.issuer_order import IssuerOrder
from yarrowwall.quotas.permit_requests import PermitRequest, PermitRequests
from yarrowwall.quotas.permits import Permit, PermitPool
from yarrowwall.refusals import Refusal, RefusedError, unavailable
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.rpc import LinkTable

#: A lender is late, and the next one is asked as well, after this many times what is usual,
#: within these bounds in seconds. The way between zones, a sync of its disk and its queue take
#: 5 ms; where all are slow, asking all of them for each request would make them slower.
LATE_FACTOR = 4.0
LATE_SECONDS = 0.08
MOST_LATE_SECONDS = 0.3
#: What is held to be usual before the first answer, and the weight of the newest one.
FIRST_USUAL_SECONDS = 0.01
USUAL_WEIGHT = 0.1
#: Seconds to wait for any lender. All replicas may be slow at once, and a refusal may end a
#: program; the reservation of a turn waits as long.
MOST_WAIT_SECONDS = 0.6


class PermitClient(QuotaSource):
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
        self.order = IssuerOrder(zone)
        self.stock = PermitPool(links, now)
        self._usual_s = FIRST_USUAL_SECONDS

    @property
    def late_s(self) -> float:
        """Return the seconds after which a lender is held to be late."""
        return min(max(LATE_FACTOR * self._usual_s, LATE_SECONDS), MOST_LATE_SECONDS)

    def note_answered(self, question: PermitRequest) -> None:
        """Take in that a lender answered, and how long it took."""
        if question.reply is None or question.reply.status is QuotaStatus.NOT_ENTITLED:
            return
        self.order.note_answered(question.issuer)
        took_s = self.now() - question.asked_at_s
        self._usual_s += USUAL_WEIGHT * (took_s - self._usual_s)

    def allowance(self, attempt: Attempt) -> Allowance:
        """Return the allowance of an attempt."""
        if attempt.limit is None:
            return UnlimitedAllowance()
        return LimitedAllowance(self, attempt, attempt.limit)

    def drop_expired(self) -> None:
        """Give back what is over; forget which lenders had no room a while ago."""
        self.stock.sweep()
        self.order.forget_past(self.now())


class LimitedAllowance(Allowance):
    """The allowance of an attempt of a tenant with a limit."""

    def __init__(self, borrower: PermitClient, attempt: Attempt, limit: TenantLimit) -> None:
        self._borrower = borrower
        self._attempt_id = attempt.attempt_id
        self._tenant = attempt.tenant
        self._limit = limit
        self._questions = PermitRequests(borrower.note_answered)
        self._asked: set[str] = set()
        self._credit: Permit | None = None
        self._spent: Permit | None = None

    # What a gateway asks

    def prefetch(self) -> None:
        """Take a credit that is held, or begin to ask the first lender."""
        self._credit = self._borrower.stock.take(self._tenant)
        if self._credit is None:
            self._ask_next()

    def admit_program(self, expected_requests: float) -> None:
        """Ask whether a new program is welcome; whoever cannot be asked welcomes it.

        :raises RefusedError: if it does not fit the tenant's limit now.
        """
        now_s = self._borrower.now()
        members = self._members()
        for issuer in self._borrower.order.home(members, self._tenant, now_s):
            questions = PermitRequests(self._borrower.note_answered)
            self._ask(questions, issuer, 0, expected_requests)
            question = questions.next(self._borrower.late_s)
            questions.close()
            reply = question.reply if question is not None else None
            if reply is None or reply.status is QuotaStatus.NOT_ENTITLED:
                self._note_silent(issuer)
                continue
            if reply.status is QuotaStatus.NO_ROOM:
                raise self._refused(1, reply.retry_after_s, begins=True)
            return

    def use_permit(self) -> None:
        """Use a credit for a sending that happens right now, waiting for it if need be.

        :raises RefusedError: if there is none.
        """
        credit, self._credit = self._credit, None
        if credit is not None and credit.expires_at_s <= self._borrower.now():
            self._borrower.stock.give_back(credit)
            credit = None
        if credit is None:
            credit = self._borrow()
        self._spent = credit

    def note_not_run(self) -> None:
        """Note that the last sending surely did not run: its credit serves the next one."""
        self._credit, self._spent = self._spent, None

    def close(self) -> None:
        """Give back what was not used."""
        self._questions.close()
        if self._credit is not None:
            self._borrower.stock.put(self._credit)
            self._credit = None

    # Lenders

    @property
    def _group(self) -> int:
        """Return the tenant's group; while none is known, one that has no members yet."""
        return self._borrower.views.group_of(self._tenant) or 0

    def _members(self) -> list[Member]:
        view = self._borrower.views.get(self._group)
        return view.members if view is not None else []

    def _issuers(self) -> list[Member]:
        now_s = self._borrower.now()
        return self._borrower.order.candidates(self._members(), self._tenant, now_s)

    def _ask(
        self, questions: PermitRequests, issuer: Member, count: int, program_size: float
    ) -> None:
        request = TakeQuota(
            self._group, issuer.disk_id, self._tenant, self._limit, count, program_size
        )
        link = self._borrower.links.get(issuer.address)
        questions.add(issuer, link, request, self._borrower.now())

    def _ask_next(self) -> bool:
        """Ask the next lender; return whether there is one."""
        left = [issuer for issuer in self._issuers() if issuer.disk_id not in self._asked]
        if not left:
            return False
        self._asked.add(left[0].disk_id)
        count = self._borrower.stock.wanted(self._tenant)
        self._ask(self._questions, left[0], count, 0.0)
        return True

    def _borrow(self) -> Permit:
        """Return a credit from whichever lender has room.

        A lender that is late is not given up: the next one is asked, and whoever answers first
        counts. All of them may be slow at once.

        :raises RefusedError: if none has room, or none answers.
        """
        end_s = self._borrower.now() + self._patience_s()
        free_in_s: float | None = None
        while self._questions.open or self._ask_next():
            question = self._next_answer(end_s)
            if question is None:
                break
            reply = question.reply
            if reply is None or reply.status is QuotaStatus.NOT_ENTITLED:
                self._note_silent(question.issuer)
            elif reply.status is QuotaStatus.NO_ROOM:
                self._note_exhausted(question.issuer, reply.retry_after_s)
                free_in_s = min(free_in_s or reply.retry_after_s, reply.retry_after_s)
            else:
                credit = self._take(question, reply)
                if credit is not None:
                    return credit
        asked = len(self._asked)
        self._begin_anew()
        if free_in_s is None:
            reason = f"no replica lends of the limit of {self._tenant}"
            raise unavailable(reason, after_outage_s(0.0, self._attempt_id))
        raise self._refused(asked, free_in_s, begins=False)

    def _patience_s(self) -> float:
        """Return for how long to wait for any lender: shortly if none is held to answer."""
        is_hopeless = self._borrower.order.is_silent(self._members(), self._borrower.now())
        return LATE_SECONDS if is_hopeless else MOST_WAIT_SECONDS

    def _next_answer(self, end_s: float) -> PermitRequest | None:
        """Return the next answer, asking one lender more each time that none comes soon."""
        while (left_s := end_s - self._borrower.now()) > 0.0:
            question = self._questions.next(min(self._borrower.late_s, left_s))
            if question is not None:
                return question
            for late in self._questions.open:
                late.note_late()
                self._note_silent(late.issuer)
            if not self._ask_next():
                return self._questions.next(end_s - self._borrower.now())
        return None

    def _take(self, question: PermitRequest, reply: QuotaReply) -> Permit | None:
        """Take in what a lender granted; return a credit that may be used now."""
        if not reply.room:
            self._note_exhausted(question.issuer, LATE_SECONDS)
        first, *others = question.credits()
        for credit in others:
            self._borrower.stock.put(credit)
        if first.expires_at_s <= self._borrower.now():
            self._borrower.stock.give_back(first)
            return None
        self._begin_anew()
        return first

    def _begin_anew(self) -> None:
        """Give up what is still asked; a later sending may ask every lender again."""
        self._questions.close()
        self._asked.clear()

    def _note_silent(self, issuer: Member) -> None:
        self._borrower.order.note_silent(issuer, self._borrower.now())

    def _note_exhausted(self, issuer: Member, after_s: float) -> None:
        now_s = self._borrower.now()
        self._borrower.order.note_exhausted(issuer, self._tenant, after_s, now_s)

    def _refused(self, asked: int, free_in_s: float, begins: bool) -> RefusedError:
        retry_after_s = after_limit_s(free_in_s)
        self._borrower.log.write(
            decisions.QuotaRefused(self._attempt_id, self._tenant, asked, begins, retry_after_s)
        )
        reason = f"the limit of {self._tenant} is used up"
        return RefusedError(Refusal(HTTPStatus.TOO_MANY_REQUESTS, reason, retry_after_s))
