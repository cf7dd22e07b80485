"""Dispatches requests of other machines to a machine with disks, by their types."""

import time
from collections.abc import Callable
from typing import NamedTuple, cast

from yarrowwall import decisions
from yarrowwall.capacity.admission_board import AdmissionBoard
from yarrowwall.capacity.load_board import LoadBoard
from yarrowwall.decisions import DecisionLog
from yarrowwall.messages.capacity import AskRoom, ReturnRoom
from yarrowwall.messages.objects import ListObjects, WatchObjects
from yarrowwall.messages.quotas import ReturnQuota, TakeQuota
from yarrowwall.messages.relaying import AskNeighbours, NeighboursReply
from yarrowwall.messages.replicated import (
    AskStatuses,
    InstallView,
    KeysReply,
    LoadReply,
    RecordsReply,
    ReplyStatus,
    ReportLoad,
    StatusesReply,
    StatusReply,
    TellLoad,
)
from yarrowwall.messages.suspects import (
    FollowSuspects,
    ReleaseSend,
    ReportSuspects,
    ReserveSend,
)
from yarrowwall.policy.record_room import RecordRoom
from yarrowwall.quotas.permit_service import PermitService
from yarrowwall.replication.disk import RecordDisk
from yarrowwall.replication.neighbours import NeighbourRegistry
from yarrowwall.replication.replica import Request
from yarrowwall.replication.rpc import Replier
from yarrowwall.replication.synchroniser import Synchroniser
from yarrowwall.replication.views import is_zone_group
from yarrowwall.suspects.board import SuspectBoard
from yarrowwall.watching.reader import StoreReader

Reply = Callable[[object], None]


class LocalReplica(NamedTuple):
    """A replica on this machine: its disk, and the synchroniser that copies missing records."""

    disk: RecordDisk
    synchroniser: Synchroniser


class ReplicaRequests:
    """Answers the requests of other machines.

    :param common: the replica of a common group.
    :param zone: the replica of the zone's own group.
    :param room: counts the records of both.
    """

    def __init__(
        self,
        common: LocalReplica,
        zone: LocalReplica,
        permits: PermitService,
        reader: StoreReader,
        room: RecordRoom,
        log: DecisionLog,
    ) -> None:
        self._room = room
        self._log = log
        self._common = common
        self._zone = zone
        self._permits = permits
        self._reader = reader
        self._loads = LoadBoard()
        self._admission = AdmissionBoard()
        self._neighbours = NeighbourRegistry()
        self._suspects = SuspectBoard(time.monotonic)

    def handle(self, request: object, reply: Replier) -> None:
        """Answer a request; the reply may follow later, or not at all."""
        match request:
            case ReportLoad():
                reply(self._reply_loads(request))
            case TellLoad():
                self._record_loads(request)
            case AskRoom():
                reply(self._admission.decide(request, self._loads, time.monotonic()))
            case ReturnRoom():
                self._admission.cancel(request)
            case TakeQuota():
                self._permits.issue(request, reply)
            case ReturnQuota():
                self._permits.return_permit(request)
            case AskNeighbours():
                neighbours = self._neighbours.register(request.gateway, time.monotonic())
                reply(NeighboursReply(neighbours))
            case ListObjects() | WatchObjects():
                self._reader.ask(request, reply)
            case FollowSuspects() | ReportSuspects() | ReserveSend() | ReleaseSend():
                self._suspects.handle(request, reply)
            case AskStatuses():
                reply(StatusesReply(self._status(self._common), self._status(self._zone)))
            case _:
                self._pass_to_replica(cast(Request, request), reply)

    def _log_refusal(self, reply: object, group: int) -> None:
        if isinstance(reply, KeysReply | RecordsReply) and reply.status is ReplyStatus.DISK_REFUSED:
            self._log.write(decisions.RecordsRefused(group, self._room.used, self._room.limit or 0))

    def replica_of(self, group: int) -> LocalReplica:
        """Return the replica of this machine that serves a group."""
        return self._zone if is_zone_group(group) else self._common

    @staticmethod
    def _status(replica: LocalReplica) -> StatusReply:
        return replica.disk.replica.status()

    def _pass_to_replica(self, request: Request, reply: Reply) -> None:
        """Pass a request to the replica of its group; reply once its records are on disk."""
        group = request.view.group if isinstance(request, InstallView) else request.group
        replica = self.replica_of(group)
        outcome = replica.disk.replica.handle(request, time.monotonic())
        if not outcome.persist:
            reply(outcome.reply)
            self._log_refusal(outcome.reply, group)
            return
        replica.disk.persist(
            list(outcome.persist),
            lambda: reply(self._reply_after_persist(replica, outcome.reply)),
            lambda: reply(RecordsReply(ReplyStatus.DISK_REFUSED, False, [], None)),
        )

    def _reply_after_persist(self, replica: LocalReplica, reply: object) -> object:
        replica.synchroniser.check_now()
        return self._status(replica) if isinstance(reply, StatusReply) else reply

    # Loads

    def _reply_loads(self, report: ReportLoad) -> LoadReply:
        self._record_loads(report)
        others = self._loads.loads_of_others(report.node_id)
        interval_s, reporters = self._loads.interval_s, self._loads.reporters
        return LoadReply(list(others), list(others.values()), interval_s, reporters)

    def _record_loads(self, report: ReportLoad | TellLoad) -> None:
        running = dict(zip(report.servers, report.running, strict=True))
        self._loads.record_report(report.node_id, running, time.monotonic(), report.services)
