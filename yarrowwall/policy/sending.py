"""Decides whether an attempt is sent again, how long to wait for a server, and when to give up.

An attempt that may not be repeated is sent again only if the server states that it did not run, or
if no byte of it was sent. No I/O; times are seconds of the monotonic clock.
"""

from dataclasses import dataclass, field
from http import HTTPStatus

from yarrowwall.model import Incarnation, RequestKind, Route
from yarrowwall.policy.latency import LatencyEstimator, RetryBudget
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.refusals import Refusal

#: Minimum seconds left for a request to be sent to another server: no answer takes less.
MIN_LEFT_SECONDS = 0.02
#: Servers to which a connection may fail before an attempt is refused.
MAX_UNREACHED = 3
#: Seconds of silence of a server, on all connections, after which a repeatable request is sent to
#: another server. Applies to streams, and to routes with too few answers for an estimate. A server
#: that still sends data on other connections has only queued the request.
SILENCE_SECONDS = 0.8
#: Seconds of waiting after which it is sent to another server in any case. Losing a position in a
#: server's queue costs more than most waits, so this is long.
MAX_WAIT_SECONDS = 1.8


@dataclass
class SendHistory:
    """The sends of an attempt so far.

    :param tried: ids of the servers that were chosen for it.
    :param sent: number of times that it was sent to a server.
    :param unreached: number of servers to which no connection could be established.
    :param may_have_run: whether any server may have begun to run it.
    """

    tried: list[str] = field(default_factory=list)
    sent: int = 0
    unreached: int = 0
    may_have_run: bool = False


class SendRules:
    """The rules for sending one attempt.

    :param service: name of the service whose servers may take it.
    :param time: deadline of the attempt.
    :param software: the only software that may take it; None for any.
    :ivar history: its sends so far; the sender updates it.
    """

    def __init__(
        self,
        route: Route,
        service: str,
        time: RequestTime,
        directory: ServerDirectory,
        latencies: LatencyEstimator,
        retries: RetryBudget,
        software: str | None = None,
    ) -> None:
        self._route = route
        self._service = service
        self._time = time
        self._directory = directory
        self._latencies = latencies
        self._retries = retries
        self.software = software
        self.history = SendHistory()

    def left_s(self, now: float) -> float:
        """Return the seconds left to the attempt."""
        return self._time.end - now

    def may_send(self, now: float) -> bool:
        """Return whether tries and time are left to send the attempt to one more server."""
        has_tries = (
            self.history.sent < self._route.attempts and self.history.unreached < MAX_UNREACHED
        )
        return has_tries and self.left_s(now) > MIN_LEFT_SECONDS

    @property
    def is_failure_final(self) -> bool:
        """Return whether a failure is final: the attempt may have run and is not repeatable."""
        return self.history.may_have_run and not self._route.is_repeatable

    def may_repeat(self, now: float) -> bool:
        """Return whether the attempt may be sent to one more server even if it may have run."""
        return self._route.is_repeatable and self.may_send(now)

    def may_resume(self, now: float) -> bool:
        """Return whether another server may resume a stream that broke off."""
        return self._route.is_resumable and self.may_send(now)

    def next_check_s(self, now: float) -> float:
        """Return the seconds to wait for a server before :meth:`should_keep_waiting` is asked."""
        left_s = self.left_s(now)
        if not self.may_repeat(now):
            return left_s
        return min(left_s, self._late_after_s() or SILENCE_SECONDS)

    def should_keep_waiting(self, incarnation: Incarnation, since: float, now: float) -> bool:
        """Return whether to keep waiting for a server that has been silent.

        If there is no other server, a late answer is waited for until the deadline, since this
        server may still answer.

        :param since: time at which the wait began.
        """
        has_time = self.left_s(now) > 0
        if not self.may_repeat(now):
            return has_time
        late_after_s = self._late_after_s()
        if late_after_s is None:
            has_sent_data = now - self._directory.last_heard(incarnation) < SILENCE_SECONDS
            is_late = not has_sent_data or now - since >= MAX_WAIT_SECONDS
        else:
            is_late = now - since >= late_after_s
        if not is_late:
            return True
        tried = self.history.tried
        if not self._directory.candidates(self._service, tried, now, self.software):
            return has_time
        return late_after_s is not None and not self._retries.try_withdraw(self._service)

    def _late_after_s(self) -> float | None:
        """Return the seconds after which a complete answer is late; None if unknown."""
        if self._route.kind is not RequestKind.IDEMPOTENT:
            return None
        return self._latencies.late_after_s(self._route.name)

    def final_refusal(self, reason: str, now: float) -> Refusal:
        """Return the refusal for an attempt that no server answered."""
        if not self.history.may_have_run:
            return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, SHORTAGE_SECONDS)
        if self.left_s(now) <= MIN_LEFT_SECONDS:
            return Refusal(HTTPStatus.GATEWAY_TIMEOUT, reason)
        return Refusal(HTTPStatus.BAD_GATEWAY, reason)
