"""Whether an attempt is sent again, how long a server is waited for, and when it is given up.

An attempt that may not be repeated is sent again only if the server vouches that it did not run,
or if no byte of it was sent. No I/O; times are seconds of the monotonic clock.
"""

from dataclasses import dataclass, field
from http import HTTPStatus

from yarrowwall.model import Incarnation, RequestKind, Route
from yarrowwall.policy.latency import LatencyEstimator, RetryBudget
from yarrowwall.policy.request_time import RequestTime
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.refusals import Refusal

#: Seconds left below which a request is not sent to another server: less than the shortest answer.
MIN_LEFT_SECONDS = 0.02
#: Servers that may turn an attempt away unreached before it is refused.
MAX_UNREACHED = 3
#: As long as too few answers of a route were seen, and for streams: seconds of silence of a
#: server, on all connections, after which a request that may be repeated goes on elsewhere.
#: A server that is heard of merely lets the request wait.
SILENCE_SECONDS = 0.8
#: Seconds of waiting after which it goes on elsewhere in any case. Giving up a place in a
#: queue costs more than most waits, so this is long.
MAX_WAIT_SECONDS = 1.8


@dataclass
class SendHistory:
    """What became of an attempt up to now.

    :param tried: ids of the servers that were chosen for it.
    :param sent: how often it was sent to one.
    :param unreached: servers to which no connection came up.
    :param may_have_run: whether some server may have begun to run it.
    """

    tried: list[str] = field(default_factory=list)
    sent: int = 0
    unreached: int = 0
    may_have_run: bool = False


class SendRules:
    """The rules for the sendings of one attempt.

    :param service: whose servers may take it.
    :param time: how long the attempt may take.
    :ivar history: what became of it up to now; whoever sends it keeps this.
    """

    def __init__(
        self,
        route: Route,
        service: str,
        time: RequestTime,
        directory: ServerDirectory,
        latencies: LatencyEstimator,
        retries: RetryBudget,
    ) -> None:
        self._route = route
        self._service = service
        self._time = time
        self._directory = directory
        self._latencies = latencies
        self._retries = retries
        self.history = SendHistory()

    def left_s(self, now: float) -> float:
        """Return the seconds left to the attempt."""
        return self._time.end - now

    def may_send(self, now: float) -> bool:
        """Return whether one more server may get the attempt, if it may be sent again at all."""
        has_tries = (
            self.history.sent < self._route.attempts and self.history.unreached < MAX_UNREACHED
        )
        return has_tries and self.left_s(now) > MIN_LEFT_SECONDS

    @property
    def is_failure_final(self) -> bool:
        """Return whether a failure is final since the attempt may have run, and only once."""
        return self.history.may_have_run and not self._route.is_repeatable

    def may_repeat(self, now: float) -> bool:
        """Return whether one more server may get the attempt though it may have run before."""
        return self._route.is_repeatable and self.may_send(now)

    def may_resume(self, now: float) -> bool:
        """Return whether another server may go on with a stream that broke off."""
        return self._route.is_resumable and self.may_send(now)

    def next_check_s(self, now: float) -> float:
        """Return the seconds to wait for a server before another look at it."""
        left_s = self.left_s(now)
        if not self.may_repeat(now):
            return left_s
        return min(left_s, self._late_after_s() or SILENCE_SECONDS)

    def should_keep_waiting(self, incarnation: Incarnation, since: float, now: float) -> bool:
        """Return whether to go on waiting for a server that was silent for a while.

        Without another server, giving up an answer that is late would end the request with
        seconds left in which the only one might still answer.

        :param since: when the wait began.
        """
        has_time = self.left_s(now) > 0
        if not self.may_repeat(now):
            return has_time
        late_after_s = self._late_after_s()
        if late_after_s is None:
            is_heard = now - self._directory.last_heard(incarnation) < SILENCE_SECONDS
            is_late = not is_heard or now - since >= MAX_WAIT_SECONDS
        else:
            is_late = now - since >= late_after_s
        if not is_late:
            return True
        if not self._directory.candidates(self._service, self.history.tried, now):
            return has_time
        return late_after_s is not None and not self._retries.try_withdraw(self._service)

    def _late_after_s(self) -> float | None:
        """Return the seconds after which a whole answer is late; None if not known."""
        if self._route.kind is not RequestKind.IDEMPOTENT:
            return None
        return self._latencies.late_after_s(self._route.name)

    def final_refusal(self, reason: str, now: float) -> Refusal:
        """Return the final answer of an attempt that no server answered."""
        if not self.history.may_have_run:
            return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, SHORTAGE_SECONDS)
        if self.left_s(now) <= MIN_LEFT_SECONDS:
            return Refusal(HTTPStatus.GATEWAY_TIMEOUT, reason)
        return Refusal(HTTPStatus.BAD_GATEWAY, reason)
