"""Obtains permits for a gateway before it sends requests of tenants with a limit.

A permit is valid for a short time on this gateway's clock, counted from before its request was
sent. The issuer counts it from that time or later.
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

#: An answer is late, and the next issuer is asked as well, after this many times the average
#: response time, within these bounds in seconds. Network latency between zones, an issuer's disk
#: sync and its queue take 5 ms. The wait grows with the average because asking every issuer for
#: each request while all are slow would make them slower.
LATE_FACTOR = 4.0
MIN_LATE_SECONDS = 0.08
MAX_LATE_SECONDS = 0.3
#: Response time in seconds that is assumed before the first answer, and the weight of a new one in
#: the moving average.
INITIAL_RESPONSE_SECONDS = 0.01
RESPONSE_TIME_WEIGHT = 0.1
#: Longest time in seconds to wait for a permit. All replicas may be slow at once, and a refusal may
#: end a program. The reservation of a turn may take as long.
MAX_WAIT_SECONDS = 0.6


class PermitClient(QuotaSource):
    """Requests permits from the replicas of a tenant's group.

    :param zone: The gateway's zone.
    :param now: Returns the monotonic time in seconds.
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
        self.pool = PermitPool(links, now)
        self._mean_response_s = INITIAL_RESPONSE_SECONDS

    @property
    def late_after_s(self) -> float:
        """Return the seconds after which an answer counts as late."""
        return min(max(LATE_FACTOR * self._mean_response_s, MIN_LATE_SECONDS), MAX_LATE_SECONDS)

    def note_answered(self, request: PermitRequest) -> None:
        """Update the average response time, unless the issuer failed or may not issue."""
        if request.reply is None or request.reply.status is QuotaStatus.NOT_ENTITLED:
            return
        self.order.note_answered(request.issuer)
        took_s = self.now() - request.sent_at_s
        self._mean_response_s += RESPONSE_TIME_WEIGHT * (took_s - self._mean_response_s)

    def allowance(self, attempt: Attempt) -> Allowance:
        """Return the allowance of an attempt."""
        if attempt.limit is None:
            return UnlimitedAllowance()
        return LimitedAllowance(self, attempt, attempt.limit)

    def drop_expired(self) -> None:
        """Return expired permits, and drop outdated notes about exhausted issuers."""
        self.pool.drop_expired()
        self.order.drop_expired(self.now())


class LimitedAllowance(Allowance):
    """The allowance of an attempt of a tenant with a limit."""

    def __init__(self, client: PermitClient, attempt: Attempt, limit: TenantLimit) -> None:
        self._client = client
        self._attempt_id = attempt.attempt_id
        self._tenant = attempt.tenant
        self._limit = limit
        self._requests = PermitRequests(client.note_answered)
        self._asked_disks: set[str] = set()
        self._permit: Permit | None = None
        self._used: Permit | None = None

    # Interface for the gateway

    def prefetch(self) -> None:
        """Take a permit from the pool, or request one without waiting for the answer."""
        self._permit = self._client.pool.acquire(self._tenant)
        if self._permit is None:
            self._request_from_next()

    def admit_program(self, expected_requests: float) -> None:
        """Ask the first available issuer to admit a new program; admit it if none answers.

        :raises RefusedError: If it does not fit the tenant's limit now.
        """
        now_s = self._client.now()
        members = self._members()
        for issuer in self._client.order.for_new_program(members, self._tenant, now_s):
            requests = PermitRequests(self._client.note_answered)
            self._request_from(requests, issuer, 0, expected_requests)
            request = requests.next_answered(self._client.late_after_s)
            requests.close()
            reply = request.reply if request is not None else None
            if reply is None or reply.status is QuotaStatus.NOT_ENTITLED:
                self._note_unavailable(issuer)
                continue
            if reply.status is QuotaStatus.NO_ROOM:
                raise self._refused(1, reply.retry_after_s, begins=True)
            return

    def use_permit(self) -> None:
        """Use a permit for a request that is sent immediately, waiting for one if necessary.

        :raises RefusedError: If none is available.
        """
        permit, self._permit = self._permit, None
        if permit is not None and permit.expires_at_s <= self._client.now():
            self._client.pool.return_to_issuer(permit)
            permit = None
        if permit is None:
            permit = self._request_permit()
        self._used = permit

    def note_not_run(self) -> None:
        """Note that the last request certainly did not run, so its permit can be used again."""
        self._permit, self._used = self._used, None

    def close(self) -> None:
        """Cancel pending requests, and put an unused permit into the pool."""
        self._requests.close()
        if self._permit is not None:
            self._client.pool.add(self._permit)
            self._permit = None

    # Requests to issuers

    @property
    def _group(self) -> int:
        """Return the tenant's group, or 0, which has no members while no group is known."""
        return self._client.views.group_of(self._tenant) or 0

    def _members(self) -> list[Member]:
        view = self._client.views.get(self._group)
        return view.members if view is not None else []

    def _issuers(self) -> list[Member]:
        now_s = self._client.now()
        return self._client.order.candidates(self._members(), self._tenant, now_s)

    def _request_from(
        self, requests: PermitRequests, issuer: Member, count: int, program_size: float
    ) -> None:
        message = TakeQuota(
            self._group, issuer.disk_id, self._tenant, self._limit, count, program_size
        )
        link = self._client.links.get(issuer.address)
        requests.add(issuer, link, message, self._client.now())

    def _request_from_next(self) -> bool:
        """Send a request to the next issuer; return whether there was one left."""
        candidates = [
            issuer for issuer in self._issuers() if issuer.disk_id not in self._asked_disks
        ]
        if not candidates:
            return False
        self._asked_disks.add(candidates[0].disk_id)
        count = self._client.pool.next_batch_size(self._tenant)
        self._request_from(self._requests, candidates[0], count, 0.0)
        return True

    def _request_permit(self) -> Permit:
        """Return a permit from the first issuer that grants one.

        If an answer is late, its request stays pending and the next issuer is asked as well, since
        all issuers may be slow at once.

        :raises RefusedError: If no issuer has permits left, or none answers.
        """
        end_s = self._client.now() + self._max_wait_s()
        free_in_s: float | None = None
        while self._requests.pending or self._request_from_next():
            request = self._next_answer(end_s)
            if request is None:
                break
            reply = request.reply
            if reply is None or reply.status is QuotaStatus.NOT_ENTITLED:
                self._note_unavailable(request.issuer)
            elif reply.status is QuotaStatus.NO_ROOM:
                self._note_exhausted(request.issuer, reply.retry_after_s)
                free_in_s = min(free_in_s or reply.retry_after_s, reply.retry_after_s)
            else:
                permit = self._accept(request, reply)
                if permit is not None:
                    return permit
        asked = len(self._asked_disks)
        self._reset()
        if free_in_s is None:
            reason = f"no replica lends of the limit of {self._tenant}"
            raise unavailable(reason, after_outage_s(0.0, self._attempt_id))
        raise self._refused(asked, free_in_s, begins=False)

    def _max_wait_s(self) -> float:
        """Return the seconds to wait for a permit: fewer if no issuer is likely to answer."""
        is_unavailable = self._client.order.are_all_unavailable(self._members(), self._client.now())
        return MIN_LATE_SECONDS if is_unavailable else MAX_WAIT_SECONDS

    def _next_answer(self, end_s: float) -> PermitRequest | None:
        """Return the next answered request, asking one more issuer each time that it is late."""
        while (left_s := end_s - self._client.now()) > 0.0:
            request = self._requests.next_answered(min(self._client.late_after_s, left_s))
            if request is not None:
                return request
            for overdue in self._requests.pending:
                overdue.note_late()
                self._note_unavailable(overdue.issuer)
            if not self._request_from_next():
                return self._requests.next_answered(end_s - self._client.now())
        return None

    def _accept(self, request: PermitRequest, reply: QuotaReply) -> Permit | None:
        """Put the granted permits into the pool, except the first; return that if still valid."""
        if not reply.room:
            self._note_exhausted(request.issuer, MIN_LATE_SECONDS)
        first, *others = request.take_permits()
        for permit in others:
            self._client.pool.add(permit)
        if first.expires_at_s <= self._client.now():
            self._client.pool.return_to_issuer(first)
            return None
        self._reset()
        return first

    def _reset(self) -> None:
        """Cancel pending requests, so that later calls may ask every issuer again."""
        self._requests.close()
        self._asked_disks.clear()

    def _note_unavailable(self, issuer: Member) -> None:
        self._client.order.note_unavailable(issuer, self._client.now())

    def _note_exhausted(self, issuer: Member, after_s: float) -> None:
        now_s = self._client.now()
        self._client.order.note_exhausted(issuer, self._tenant, after_s, now_s)

    def _refused(self, asked: int, free_in_s: float, begins: bool) -> RefusedError:
        retry_after_s = after_limit_s(free_in_s)
        self._client.log.write(
            decisions.QuotaRefused(self._attempt_id, self._tenant, asked, begins, retry_after_s)
        )
        reason = f"the limit of {self._tenant} is used up"
        return RefusedError(Refusal(HTTPStatus.TOO_MANY_REQUESTS, reason, retry_after_s))
