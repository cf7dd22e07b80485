"""Telling a replica what this gateway has under way, and learning what all others have.

Without it a gateway sees only its own requests, and all gateways together fill one
server while another stands idle. All report to the same replica as long as it
answers, so its sums are whole.

Sums that are older than a turn lasts are worse than none: all gateways choose the same
idle engine by them. So each turn asks for them while its reservation is made, and tells of
its start and end at once; in between, gateways report now and then.
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

#: Seconds that a replica may take to answer a report.
REPORT_TIMEOUT_SECONDS = 0.15
#: Seconds that a new program waits to be told whether there is room for it; after that its gateway
#: decides alone. Answers take a way to and fro, 5 ms where machines are not slow.
ADMISSION_TIMEOUT_SECONDS = 0.06
#: Seconds that a turn waits for the answer beyond its reservation, which takes as many ways
#: to and fro. Old sums are not worth more.
LOADS_TIMEOUT_SECONDS = 0.02
#: Seconds for which a replica that did not answer is passed over.
REPLICA_SUSPENSION_SECONDS = 5.0
#: Seconds between looks for something to report while nothing is under way. Each is a
#: wake-up of a process that has nothing else to do.
IDLE_POLL_SECONDS = 0.2


class _Exchange(PendingLoads):
    """A report whose answer is under way.

    :param take: called with the answer.
    """

    def __init__(self, take: Callable[[LoadReply], None]) -> None:
        self._take = take
        self._arrived = Event()

    def complete(self, reply: object | None) -> None:
        """Take in the answer; None if there is none."""
        if isinstance(reply, LoadReply):
            self._take(reply)
        if not self._arrived.ready():
            self._arrived.send(reply)

    def wait(self) -> None:
        """Wait for the answer, no longer than it is worth."""
        self._arrived.wait(LOADS_TIMEOUT_SECONDS)


class LoadReporter(LoadSource):
    """Exchanges loads with a replica, again and again.

    :param node_id: name of this gateway.
    :param now: the monotonic clock.
    :param programs: this gateway's programs.
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
        self._passed_over_until: dict[str, float] = {}
        self._has_reported = False

    def start(self) -> None:
        """Begin to report."""
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
        """Report once and take in the answer.

        :returns: the seconds after which to report again.
        """
        member = self._board()
        if member is None:
            return MIN_INTERVAL_SECONDS
        report = self._report(running)
        try:
            reply = self._links.get(member.address).call(report, REPORT_TIMEOUT_SECONDS)
        except LinkDownError:
            self._passed_over_until[member.disk_id] = self._now() + REPLICA_SUSPENSION_SECONDS
            return MIN_INTERVAL_SECONDS
        if not isinstance(reply, LoadReply):
            return MIN_INTERVAL_SECONDS
        self._take(reply)
        return reply.interval_s

    def request_loads(self) -> PendingLoads:
        """Begin to ask what all others have under way; the directory takes the answer in."""
        member = self._board()
        if member is None:
            return NoPendingLoads()
        exchange = _Exchange(self._take)
        link = self._links.get(member.address)
        number = link.post(
            self._report(self._directory.running_by_incarnation()), exchange.complete
        )
        # A late answer is still news; one that never comes must not be kept for ever.
        eventlet.spawn_after(REPORT_TIMEOUT_SECONDS, link.forget, number, is_late=True)
        return exchange

    def report_loads(self) -> None:
        """Tell what this gateway has under way now."""
        member = self._board()
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

    def query_admission(self, question: AskRoom) -> RoomReply | None:
        """Return whether a new program may begin; None if no replica says so in time."""
        member = self._board()
        if member is None:
            return None
        try:
            reply = self._links.get(member.address).call(question, ADMISSION_TIMEOUT_SECONDS)
        except LinkDownError:
            return None
        return reply if isinstance(reply, RoomReply) else None

    def send_cancellation(self, told: ReturnRoom) -> None:
        """Tell that a program which was admitted did not begin."""
        member = self._board()
        if member is not None:
            self._links.get(member.address).send_one_way(told)

    def _take(self, reply: LoadReply) -> None:
        self.reporters = reply.reporters
        elsewhere = dict(zip(reply.servers, reply.running, strict=True))
        self._directory.update_loads(elsewhere, self._now())

    def _board(self) -> Member | None:
        """Return the replica that takes the reports of all gateways."""
        now_s = self._now()
        for member in self._views.report_replicas():
            if self._passed_over_until.get(member.disk_id, 0.0) <= now_s:
                return member
        return None
