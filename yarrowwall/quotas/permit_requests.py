"""Questions of a gateway to lenders, whose answers are taken as they come."""

from collections import deque
from collections.abc import Callable

from eventlet.event import Event

from yarrowwall.messages.quotas import QuotaReply, TakeQuota
from yarrowwall.messages.replicated import Member
from yarrowwall.quotas.permits import Permit
from yarrowwall.quotas.quota_rules import PERMIT_SECONDS
from yarrowwall.replication.rpc import Link


class PermitRequest:
    """A question to one lender.

    :param arrived: called with the question once its answer is there.
    :param answered: the same, even if it was given up before.
    """

    def __init__(
        self,
        issuer: Member,
        link: Link,
        request: TakeQuota,
        now_s: float,
        arrived: Callable[["PermitRequest"], None],
        answered: Callable[["PermitRequest"], None],
    ) -> None:
        self.issuer = issuer
        self.asked_at_s = now_s
        self.reply: QuotaReply | None = None
        self._arrived = arrived
        self._answered = answered
        self._is_given_up = False
        self._link = link
        self._request = request
        self._number = link.post(request, self._complete)

    def _complete(self, reply: object | None) -> None:
        self.reply = reply if isinstance(reply, QuotaReply) else None
        self._answered(self)
        if self._is_given_up:
            self._give_back()
        else:
            self._arrived(self)

    def note_late(self) -> None:
        """Note that the answer should have come by now."""
        self._link.note_late(self._number)

    def give_up(self) -> None:
        """Give back whatever is granted, now or later."""
        self._is_given_up = True
        self._give_back()

    def credits(self) -> list[Permit]:
        """Return the credits that the answer brings, once."""
        reply, self.reply = self.reply, None
        if reply is None:
            return []
        expires_at_s = self.asked_at_s + PERMIT_SECONDS
        return [Permit(self.issuer, self._request, reply.ticket, expires_at_s)] * reply.granted

    def _give_back(self) -> None:
        for credit in self.credits():
            self._link.send_one_way(credit.returned())


class PermitRequests:
    """Questions of one attempt to several lenders, whose answers are taken as they come.

    :param answered: called with each question that was answered, late as it may be.
    """

    def __init__(self, answered: Callable[[PermitRequest], None]) -> None:
        self._answered = answered
        self.open: list[PermitRequest] = []
        self._arrived: deque[PermitRequest] = deque()
        self._wakeup = Event()

    def add(self, issuer: Member, link: Link, request: TakeQuota, now_s: float) -> None:
        """Ask a lender."""
        question = PermitRequest(issuer, link, request, now_s, self._take, self._answered)
        self.open.append(question)

    def _take(self, question: PermitRequest) -> None:
        self._arrived.append(question)
        if not self._wakeup.ready():
            self._wakeup.send()

    def next(self, timeout_s: float) -> PermitRequest | None:
        """Return a question whose answer is there; None if none comes in time."""
        if not self._arrived and timeout_s > 0.0:
            self._wakeup = Event()
            self._wakeup.wait(timeout_s)
        if not self._arrived:
            return None
        question = self._arrived.popleft()
        self.open.remove(question)
        return question

    def close(self) -> None:
        """Give back whatever else is granted, now or later."""
        for question in self.open:
            question.give_up()
        self.open.clear()
        self._arrived.clear()
