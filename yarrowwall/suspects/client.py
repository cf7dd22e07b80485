"""The suspects as one gateway knows them, and its reports of further ones."""

import contextlib
import itertools
from collections.abc import Callable, Collection, Iterable
from http import HTTPStatus

import eventlet
from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.hashing import fraction
from yarrowwall.messages.suspects import (
    FollowSuspects,
    PendingSend,
    ReleaseSend,
    ReportSuspects,
    ReserveSend,
    ReserveSendReply,
    Suspect,
    Suspects,
)
from yarrowwall.model import Attempt, Server
from yarrowwall.policy.crash_suspects import MAX_ENDED_SERVERS, CrashSuspects, UnresolvedSends
from yarrowwall.policy.request_identity import request_identity
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS
from yarrowwall.ports.suspects import SuspectControl, SuspectSend
from yarrowwall.refusals import Refusal, RefusedError, unavailable
from yarrowwall.replication.exceptions import LinkDownError, NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.relayed_links import RelayedLink, RelayedLinkTable
from yarrowwall.replication.rpc import Completion
from yarrowwall.suspects.records import SuspectRecords

#: Seconds between two requests to follow a replica, for the case that it has started again.
FOLLOW_INTERVAL_SECONDS = 5.0
#: The same until a replica is known, and while this gateway reaches replicas only through
#: neighbours, which pass no notices on.
FIRST_FOLLOW_INTERVAL_SECONDS = 0.05
RELAYED_FOLLOW_INTERVAL_SECONDS = 0.5
#: Seconds between two tries of a gateway that starts to read the records.
READ_INTERVAL_SECONDS = 0.1
#: Seconds after the start in which requests wait for the records.
START_SECONDS = 2.0
#: Seconds that a caller waits for the replicas' replies. An answer takes a round trip.
REPLY_TIMEOUT_SECONDS = 0.06
RELAYED_REPLY_TIMEOUT_SECONDS = 0.2
#: The same for a second question, if none of them replied to the first one.
LATE_REPLY_TIMEOUT_SECONDS = 0.3
#: Seconds for which a suspect is kept: longer than a caller repeats a turn.
RETENTION_SECONDS = 120.0
#: Seconds after which the reservation of a send is released whose outcome stays unknown.
UNRESOLVED_SECONDS = 1.0
#: Checks whether other tries of a request are settled, and seconds between them.
SETTLEMENT_CHECKS = 4
SETTLEMENT_INTERVAL_SECONDS = 0.05
#: Precedes the attempt's id in the id of a send.
_ATTEMPT_SEPARATOR = "/"


class SuspectClient(SuspectControl):
    """Knows the suspects of all gateways through the replicas.

    :param node_id: this gateway.
    :param links: links to the replicas. Only direct connections are used unless this gateway is cut
        off: replicas of earlier releases do not reply, which says nothing about the path to them.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        node_id: str,
        views: GroupViews,
        links: RelayedLinkTable,
        records: SuspectRecords,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._views = views
        self._links = links
        self._records = records
        self._log = log
        self._now = now
        self._suspects = CrashSuspects()
        self._unresolved = UnresolvedSends()
        # Ids of earlier runs of this gateway's process must not be used again.
        self._send_prefix = f"{node_id}-{now():.6f}"
        self._send_numbers = itertools.count(1)
        self._started_at = now()
        self._has_read = Event()

    # Following

    def start(self) -> None:
        """Start following the replicas, and read what was recorded earlier."""
        eventlet.spawn_n(self._run)
        eventlet.spawn_n(self._read_records)

    def _read_records(self) -> None:
        while True:
            with contextlib.suppress(NoQuorumError):
                # The group may be starting too.
                self._suspects.merge(self._records.read(RETENTION_SECONDS), self._now())
                self._has_read.send()
                return
            eventlet.sleep(READ_INTERVAL_SECONDS)

    def _run(self) -> None:
        spread = 0.75 + 0.5 * fraction("suspects", self._node_id)
        while True:
            links = self._replica_links()
            for link in links:
                link.on_notice = self._note_message
                link.on_opened = lambda link=link: self._follow(link)
                self._follow(link)
            eventlet.sleep(self._follow_interval_s(links) * spread)

    def _follow_interval_s(self, links: list[RelayedLink]) -> float:
        if not links:
            return FIRST_FOLLOW_INTERVAL_SECONDS
        return RELAYED_FOLLOW_INTERVAL_SECONDS if self._is_relayed else FOLLOW_INTERVAL_SECONDS

    def _follow(self, link: RelayedLink) -> None:
        request = FollowSuspects(self._node_id, self._suspects.all(self._now()))
        forget = self._post(link, request, self._note_message)
        eventlet.spawn_after(FOLLOW_INTERVAL_SECONDS, forget)

    def _post(
        self, link: RelayedLink, message: object, completion: Completion
    ) -> Callable[[], None]:
        """Send a request to a replica; return a function that stops waiting for the reply."""
        if self._is_relayed:
            relayed = link.post(message, completion)
            return lambda: link.forget(relayed)
        number = link.post_directly(message, completion)
        return lambda: link.forget_direct(number)

    def _replica_links(self) -> list[RelayedLink]:
        return [self._links.get(member.address) for member in self._views.report_replicas()]

    def _note_message(self, message: object | None) -> None:
        if isinstance(message, Suspects):
            self._suspects.merge(message.suspects, self._now())

    # Sending

    def check(self, attempt: Attempt) -> None:
        """Check whether an attempt may be sent at all."""
        left_s = self._started_at + START_SECONDS - self._now()
        if left_s > 0.0 and not self._has_read.ready():
            self._has_read.wait(left_s)
        if self._is_relayed:
            self._refresh()
        if self._suspects:
            self._check_ended(self._suspects.ended(request_identity(attempt), self._now()))

    def _refresh(self) -> None:
        """Ask a replica for all suspects, since notices do not reach this gateway."""
        request = FollowSuspects(self._node_id, self._suspects.all(self._now()))
        for link in self._replica_links()[:1]:
            # Without a reply the attempt goes on with what this gateway knows.
            with contextlib.suppress(LinkDownError):
                self._note_message(link.call(request, RELAYED_REPLY_TIMEOUT_SECONDS))

    @property
    def _is_relayed(self) -> bool:
        """Return whether this gateway reaches replicas only through neighbours."""
        return self._links.paths.has_working_neighbour(self._now())

    @staticmethod
    def _check_ended(ended: Iterable[str]) -> None:
        servers = sorted(ended)
        if len(servers) >= MAX_ENDED_SERVERS:
            reason = f"{len(servers)} servers ended while they ran this request"
            # No later try would be sent, so there is no time to come back at.
            status = HTTPStatus.SERVICE_UNAVAILABLE
            raise RefusedError(Refusal(status, f"{reason}: {', '.join(servers)}"))

    def reserve(
        self,
        attempt: Attempt,
        server: Server,
        left_s: float,
        open_tries: Callable[[], Collection[str]],
    ) -> SuspectSend | None:
        """Reserve a send; return None if no server has ended under the request."""
        if not self._suspects:
            return None
        request = request_identity(attempt)
        ended = self._suspects.ended(request, self._now())
        if not ended:
            return None
        self._check_ended(ended)
        number = next(self._send_numbers)
        send_id = f"{self._send_prefix}-{number}{_ATTEMPT_SEPARATOR}{attempt.attempt_id}"
        send = _ReservedSend(self, request, send_id, left_s + UNRESOLVED_SECONDS)
        try:
            self._check_pending(request, send.reserve_surely(server), open_tries)
        except BaseException:
            send.release(is_resolved=True)
            raise
        return send

    def _check_pending(
        self, request: str, pending: Collection[str], open_tries: Callable[[], Collection[str]]
    ) -> None:
        """Check that one more send leaves at most the allowed number of ended servers.

        A try that has just ended is settled a moment later.

        :param pending: ids of the request's other sends whose outcome is unknown.
        :raises RefusedError: if it might leave more.
        """
        attempts = {send_id.partition(_ATTEMPT_SEPARATOR)[2] for send_id in pending}
        unresolved = len(pending)
        for check in range(SETTLEMENT_CHECKS):
            if check:
                eventlet.sleep(SETTLEMENT_INTERVAL_SECONDS)
            ended = self._suspects.ended(request, self._now())
            self._check_ended(ended)
            if len(ended) + len(pending) >= MAX_ENDED_SERVERS:
                break
            unresolved = len(pending) + len(set(open_tries()) - attempts)
            if len(ended) + unresolved < MAX_ENDED_SERVERS:
                return
        reason = f"{len(ended)} servers ended while they ran this request, {unresolved} may run it"
        raise unavailable(reason, SHORTAGE_SECONDS)

    def note_unresolved(self, attempt: Attempt, server: Server) -> None:
        """Note that a send ended without an answer, while its server may live or not."""
        request = request_identity(attempt)
        self._unresolved.note(request, server.incarnation_text, self._now())

    def report_ended(self, server: Server, attempt: Attempt | None) -> None:
        """Report that a server has ended, and wait until other gateways have been told."""
        requests = set(self._unresolved.take(server.incarnation_text, self._now()))
        if attempt is not None:
            requests.add(request_identity(attempt))
        if not requests:
            return
        suspects = [
            Suspect(request, [server.incarnation_text], RETENTION_SECONDS)
            for request in sorted(requests)
        ]
        self._suspects.merge(suspects, self._now())
        recording = eventlet.spawn(self._record, suspects)
        replies = self.ask_all(ReportSuspects(suspects))
        is_recorded = recording.wait()
        for suspect in suspects:
            count = len(self._suspects.ended(suspect.request, self._now()))
            self._log.write(
                decisions.ServerEndedUnderRequest(
                    attempt.attempt_id if attempt is not None else "",
                    suspect.request,
                    server.server_id,
                    count,
                    len(replies),
                    is_recorded,
                )
            )

    def _record(self, suspects: list[Suspect]) -> bool:
        """Write suspects to the record store; return whether a quorum has them."""
        try:
            self._records.write(suspects)
        except NoQuorumError:
            # The caller logs it; the boards may have them all the same.
            return False
        return True

    # Replicas

    def merge_ended(self, request: str, ended: list[str]) -> None:
        """Add ended servers that a replica knows of."""
        if ended:
            suspect = Suspect(request, ended, RETENTION_SECONDS)
            self._suspects.merge([suspect], self._now())

    def ask_all(self, message: object, timeout: float | None = None) -> list[object]:
        """Send a request to all replicas; return the replies that come in time.

        :param timeout: seconds to wait; by default what a reply usually takes at most.
        """
        if timeout is None:
            timeout = RELAYED_REPLY_TIMEOUT_SECONDS if self._is_relayed else REPLY_TIMEOUT_SECONDS
        links = self._replica_links()
        replies: list[object] = []
        done = Event()
        left = len(links)

        def note(reply: object | None) -> None:
            nonlocal left
            left -= 1
            if reply is not None:
                replies.append(reply)
            if left == 0 and not done.ready():
                done.send()

        forgets = [self._post(link, message, note) for link in links]
        if links:
            done.wait(timeout)
        for forget in forgets:
            forget()
        return list(replies)

    def post_all(self, message: object) -> None:
        """Send a message without a reply to all replicas."""
        for link in self._replica_links():
            link.send_one_way(message)


class _ReservedSend(SuspectSend):
    """A send that the replicas know of.

    :param request: identity of the request.
    :param left_s: seconds until its attempt's time is over.
    """

    def __init__(self, client: SuspectClient, request: str, send_id: str, left_s: float) -> None:
        self._client = client
        self._request = request
        self._send_id = send_id
        self._left_s = left_s
        self._is_released = False

    def reserve_surely(self, server: Server) -> set[str]:
        """Reserve it at one replica at least; return the ids of the request's other sends.

        :raises RefusedError: if no replica replies: other servers may have ended under the request
            at other gateways.
        """
        for timeout in (None, LATE_REPLY_TIMEOUT_SECONDS):
            pending = self._reserve(server, timeout)
            if pending is not None:
                return pending
        reason = "a server ended while it ran this request, and no replica tells of others"
        raise unavailable(reason, SHORTAGE_SECONDS)

    def _reserve(self, server: Server, timeout: float | None = None) -> set[str] | None:
        """Reserve it at all replicas; return the ids of other sends, None if none replies.

        :param timeout: see :meth:`SuspectClient.ask_all`.
        """
        send = PendingSend(self._send_id, server.incarnation_text, self._left_s)
        message = ReserveSend(self._request, send)
        pending: set[str] = set()
        occupied: set[str] = set()
        has_replied = False
        for reply in self._client.ask_all(message, timeout):
            if isinstance(reply, ReserveSendReply):
                has_replied = True
                self._client.merge_ended(self._request, reply.ended)
                pending |= {
                    other.send_id for other in reply.pending if other.server not in reply.ended
                }
                occupied |= set(reply.occupied)
        self.occupied = frozenset(occupied)
        return pending if has_replied else None

    def move(self, server: Server) -> None:
        """Note that it goes to another server."""
        self._reserve(server)

    def release(self, is_resolved: bool) -> None:
        """End the reservation; an unresolved one counts for a while."""
        if self._is_released:
            return
        self._is_released = True
        message = ReleaseSend(self._request, self._send_id)
        if is_resolved:
            self._client.post_all(message)
        else:
            eventlet.spawn_after(UNRESOLVED_SECONDS, self._client.post_all, message)
