"""Requests of a gateway to permit issuers, which may be outstanding at several at once."""

from collections import deque
from collections.abc import Callable

from eventlet.event import Event

from yarrowwall.messages.quotas import QuotaReply, TakeQuota
from yarrowwall.messages.replicated import Member
from yarrowwall.quotas.permits import Permit
from yarrowwall.quotas.quota_rules import PERMIT_SECONDS
from yarrowwall.replication.rpc import Link


class PermitRequest:
    """A request to one issuer.

    :param on_arrived: Called with the request when its answer arrives, unless it was cancelled.
    :param on_answered: Called with the request when its answer arrives, even after cancelling.
    """

    def __init__(
        self,
        issuer: Member,
        link: Link,
        message: TakeQuota,
        now_s: float,
        on_arrived: Callable[["PermitRequest"], None],
        on_answered: Callable[["PermitRequest"], None],
    ) -> None:
        self.issuer = issuer
        self.sent_at_s = now_s
        self.reply: QuotaReply | None = None
        self._on_arrived = on_arrived
        self._on_answered = on_answered
        self._is_cancelled = False
        self._link = link
        self._message = message
        self._number = link.post(message, self._complete)

    def _complete(self, reply: object | None) -> None:
        self.reply = reply if isinstance(reply, QuotaReply) else None
        self._on_answered(self)
        if self._is_cancelled:
            self._return_permits()
        else:
            self._on_arrived(self)

    def note_late(self) -> None:
        """Tell the link that the answer is overdue."""
        self._link.note_late(self._number)

    def cancel(self) -> None:
        """Return all permits that the answer brings, now or later."""
        self._is_cancelled = True
        self._return_permits()

    def take_permits(self) -> list[Permit]:
        """Return the permits in the answer; a second call returns none."""
        reply, self.reply = self.reply, None
        if reply is None:
            return []
        expires_at_s = self.sent_at_s + PERMIT_SECONDS
        return [Permit(self.issuer, self._message, reply.ticket, expires_at_s)] * reply.granted

    def _return_permits(self) -> None:
        for permit in self.take_permits():
            self._link.send_one_way(permit.return_message())


class PermitRequests:
    """The requests of one attempt to several issuers, in the order in which answers arrive.

    :param on_answered: Called with each request that was answered, even if late.
    """

    def __init__(self, on_answered: Callable[[PermitRequest], None]) -> None:
        self._on_answered = on_answered
        self.pending: list[PermitRequest] = []
        self._arrived: deque[PermitRequest] = deque()
        self._wakeup = Event()

    def add(self, issuer: Member, link: Link, message: TakeQuota, now_s: float) -> None:
        """Send a request to an issuer."""
        request = PermitRequest(issuer, link, message, now_s, self._note_arrived, self._on_answered)
        self.pending.append(request)

    def _note_arrived(self, request: PermitRequest) -> None:
        self._arrived.append(request)
        if not self._wakeup.ready():
            self._wakeup.send()

    def next_answered(self, timeout_s: float) -> PermitRequest | None:
        """Wait for the next answer and return its request; None if none arrives in time."""
        if not self._arrived and timeout_s > 0.0:
            self._wakeup = Event()
            self._wakeup.wait(timeout_s)
        if not self._arrived:
            return None
        request = self._arrived.popleft()
        self.pending.remove(request)
        return request

    def close(self) -> None:
        """Cancel all pending requests and return their permits."""
        for request in self.pending:
            request.cancel()
        self.pending.clear()
        self._arrived.clear()
