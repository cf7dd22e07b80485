"""Reports this gateway's load to a replica and fetches the loads of all others.

Without it a gateway would know only its own requests, and the gateways together would
fill one server while another is idle. All report to the same replica as long as it
answers, so its sums are complete.

Sums that are older than the duration of a turn are worse than none, since all gateways then
choose the same idle engine. So each turn requests them while its reservation is made, and
reports its start and end at once. In between, gateways report at intervals.
"""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from yarrowwall.capacity.load_board import MIN_INTERVAL_SECONDS
from yarrowwall.messages.capacity import AskRoom, ReturnRoom, RoomReply, ServiceUnderWay
from yarrowwall.messages.replicated import LoadReply, Member, ReportLoad, TellLoad
from yarrowwall.policy.active_programs import ActivePrograms
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.loads import LoadSource, NoPendingLoads, PendingLoads
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.rpc import LinkTable

#: Timeout of a report in seconds.
REPORT_TIMEOUT_SECONDS = 0.15
#: Seconds that a new program waits for an admission decision; after that its gateway decides alone.
#: An answer takes one round trip, 5 ms unless machines are slow.
ADMISSION_TIMEOUT_SECONDS = 0.06
#: Seconds that a turn waits for the loads after its reservation is made, which takes as many round
#: trips. A longer wait would cost more than choosing by old sums.
LOADS_TIMEOUT_SECONDS = 0.02
#: Seconds for which a replica that did not answer is skipped.
REPLICA_SUSPENSION_SECONDS = 5.0
#: Seconds between checks for a load to report while no request is in progress. Each check
#: wakes an otherwise idle process.
IDLE_POLL_SECONDS = 0.2


class _PendingReport(PendingLoads):
    """A report whose answer is pending.

    :param on_reply: called with the answer.
    """

    def __init__(self, on_reply: Callable[[LoadReply], None]) -> None:
        self._on_reply = on_reply
        self._arrived = Event()

    def complete(self, reply: object | None) -> None:
        """Process the answer; None if there is none."""
        if isinstance(reply, LoadReply):
            self._on_reply(reply)
        if not self._arrived.ready():
            self._arrived.send(reply)

    def wait(self) -> None:
        """Wait for the answer for at most ``LOADS_TIMEOUT_SECONDS``."""
        self._arrived.wait(LOADS_TIMEOUT_SECONDS)


class LoadReporter(LoadSource):
    """Exchanges loads with a replica at intervals.

    :param node_id: name of this gateway.
    :param now: the monotonic clock.
    :param programs: this gateway's active programs.
    :ivar reporters: number of gateways that report, by the last answer.
    """

    def __init__(
        self,
        node_id: str,
        directory: ServerDirectory,
        views: GroupViews,
        links: LinkTable,
        now: Callable[[], float],
        programs: ActivePrograms,
    ) -> None:
        self.reporters = 0
        self._programs = programs
        self._node_id = node_id
        self._directory = directory
        self._views = views
        self._links = links
        self._now = now
        self._suspended_until: dict[str, float] = {}
        self._has_reported = False

    def start(self) -> None:
        """Start reporting."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while True:
            running = self._directory.running_by_incarnation()
            if not running and not self._has_reported:
                eventlet.sleep(IDLE_POLL_SECONDS)
                continue
            self._has_reported = bool(running)
            eventlet.sleep(self.exchange(running))

    def exchange(self, running: dict[str, int]) -> float:
        """Report once and record the loads in the answer.

        :returns: seconds after which to report again.
        """
        member = self._board_member()
        if member is None:
            return MIN_INTERVAL_SECONDS
        report = self._report(running)
        try:
            reply = self._links.get(member.address).call(report, REPORT_TIMEOUT_SECONDS)
        except LinkDownError:
            self._suspended_until[member.disk_id] = self._now() + REPLICA_SUSPENSION_SECONDS
            return MIN_INTERVAL_SECONDS
        if not isinstance(reply, LoadReply):
            return MIN_INTERVAL_SECONDS
        self._record_loads(reply)
        return reply.interval_s

    def request_loads(self) -> PendingLoads:
        """Request the loads of all other gateways, to be recorded in the directory."""
        member = self._board_member()
        if member is None:
            return NoPendingLoads()
        pending = _PendingReport(self._record_loads)
        link = self._links.get(member.address)
        number = link.post(self._report(self._directory.running_by_incarnation()), pending.complete)
        # A late answer is still recorded; the callback must not be kept if none arrives.
        eventlet.spawn_after(REPORT_TIMEOUT_SECONDS, link.forget, number, is_late=True)
        return pending

    def report_loads(self) -> None:
        """Report this gateway's current load without waiting for an answer."""
        member = self._board_member()
        if member is None:
            return
        running = self._directory.running_by_incarnation()
        services = self._services()
        message = TellLoad(self._node_id, list(running), list(running.values()), services)
        self._links.get(member.address).send_one_way(message)

    def _report(self, running: dict[str, int]) -> ReportLoad:
        services = self._services()
        return ReportLoad(self._node_id, list(running), list(running.values()), services)

    def _services(self) -> list[ServiceUnderWay]:
        return [ServiceUnderWay(*own) for own in self._programs.by_service(self._now())]

    def query_admission(self, request: AskRoom) -> RoomReply | None:
        """Return the decision on a new program; None if no replica answers in time."""
        member = self._board_member()
        if member is None:
            return None
        try:
            reply = self._links.get(member.address).call(request, ADMISSION_TIMEOUT_SECONDS)
        except LinkDownError:
            return None
        return reply if isinstance(reply, RoomReply) else None

    def send_cancellation(self, message: ReturnRoom) -> None:
        """Report that an admitted program did not begin."""
        member = self._board_member()
        if member is not None:
            self._links.get(member.address).send_one_way(message)

    def _record_loads(self, reply: LoadReply) -> None:
        self.reporters = reply.reporters
        running_elsewhere = dict(zip(reply.servers, reply.running, strict=True))
        self._directory.update_loads(running_elsewhere, self._now())

    def _board_member(self) -> Member | None:
        """Return the replica that all gateways report to; None if all are suspended."""
        now_s = self._now()
        for member in self._views.report_replicas():
            if self._suspended_until.get(member.disk_id, 0.0) <= now_s:
                return member
        return None
