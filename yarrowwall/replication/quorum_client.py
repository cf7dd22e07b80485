"""Reads and writes of records through quorums of a group's replicas."""

import contextlib
from collections.abc import Callable, Collection
from typing import NamedTuple

import eventlet

from yarrowwall.hashing import score
from yarrowwall.messages.replicated import (
    GroupView,
    InstallView,
    KeysReply,
    Member,
    ReadChain,
    ReadOwner,
    RecordsReply,
    ReplyStatus,
    ReserveRecord,
    StoredRecord,
    WriteRecords,
)
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.losses import loss_reason
from yarrowwall.replication.operations import (
    NOBODY,
    READERS,
    READERS_AND_WRITERS,
    WRITERS,
    Operation,
    is_behind,
    needed_members,
    reaches_root,
)
from yarrowwall.replication.rounds import Amount, Posted, Round
from yarrowwall.replication.rpc import DOWN_SECONDS, LinkTable
from yarrowwall.replication.views import all_members, has_read_quorum

#: Seconds that an operation waits for its quorum.
OPERATION_SECONDS = 0.6
#: Seconds that the nearest replica has to answer alone before all are asked.
NEAREST_SECONDS = 0.08
#: Seconds before an operation that met another view is tried again.
RETRY_SECONDS = 0.01
#: Seconds before a replica whose connection failed is asked again: half of the time in which its
#: link fails at once.
UNREACHED_RETRY_SECONDS = 0.5 * DOWN_SECONDS
#: An operation asks as many replicas as it needs, and all others once it has waited for this
#: many times what is usual, within these bounds in seconds: a reply takes a round trip
#: (3 ms between zones), a sync (1 ms) and the replica's queue.
SLOW_FACTOR = 3.0
LEAST_SLOW_SECONDS = 0.008
MOST_SLOW_SECONDS = 0.08
#: What is held to be usual before the first reply, and the weight of the newest one.
FIRST_USUAL_SECONDS = 0.01
USUAL_WEIGHT = 0.1
#: Seconds in which a replica that was too slow is asked last.
ASKED_LAST_SECONDS = 1.0


class OwnerReading(NamedTuple):
    """What is recorded for an owner.

    :param amounts: by key of the record.
    :param note: a hint, which may be older than the newest record.
    :param is_complete: whether every complete record is among the amounts.
    """

    amounts: dict[str, Amount]
    note: str
    is_complete: bool


class QuorumClient:
    """Operations on records.

    :param zone: the own zone; its replicas are asked first.
    """

    def __init__(
        self, zone: str, views: GroupViews, links: LinkTable, now: Callable[[], float]
    ) -> None:
        self._zone = zone
        self._views = views
        self._links = links
        self._now = now
        self._failing_since: float | None = None
        self._usual_s = FIRST_USUAL_SECONDS
        self._asked_last_until: dict[str, float] = {}
        #: Tells whether a group has surely lost all copies of its records.
        self.has_lost: Callable[[int], bool] = lambda group: False
        #: Called with a view instead of whose disks others replied, all of them.
        self.on_all_replaced: Callable[[GroupView], None] = lambda view: None

    @property
    def failing_seconds(self) -> float:
        """Return for how long no operation has found its quorum; 0 if the last one did."""
        return 0.0 if self._failing_since is None else self._now() - self._failing_since

    def write(
        self,
        group: int,
        records: list[StoredRecord],
        timeout: float = OPERATION_SECONDS,
    ) -> None:
        """Store records on a write quorum.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        operation = Operation(
            group,
            records[0].key,
            WRITERS,
            lambda view, member: WriteRecords(group, view.epoch, member.disk_id, records),
        )
        self._operate(operation, timeout)

    def read_amounts(
        self, group: int, owner: str, timeout: float = OPERATION_SECONDS
    ) -> OwnerReading:
        """Return the amounts of all complete records of an owner, and its newest note.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        operation = Operation(
            group,
            owner,
            READERS,
            lambda view, member: ReadOwner(group, view.epoch, member.disk_id, owner),
        )
        found = self._operate(operation, timeout)
        return OwnerReading(found.amounts, found.note, is_complete=True)

    def check(self, group: int, timeout: float) -> None:
        """Find out whether a group can be read and written now.

        :raises NoQuorumError: if the quorum for either does not answer in time.
        """
        operation = Operation(
            group,
            "",
            READERS_AND_WRITERS,
            lambda view, member: ReadOwner(group, view.epoch, member.disk_id, ""),
        )
        self._operate(operation, timeout)

    def reserve(
        self, group: int, record: StoredRecord, timeout: float = OPERATION_SECONDS
    ) -> OwnerReading:
        """Store a record on a write quorum; return what its replicas hold of its owner.

        Any other reservation, complete before this one was sent, is among the amounts
        if the reading is sure. Of two that cross, at least one finds the other.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        operation = Operation(
            group,
            record.owner,
            WRITERS,
            lambda view, member: ReserveRecord(group, view.epoch, member.disk_id, record),
        )
        found = self._operate(operation, timeout)
        return OwnerReading(found.amounts, found.note, found.is_read_quorum)

    def read_chain(
        self, group: int, key: str, known: list[str], timeout: float = OPERATION_SECONDS
    ) -> dict[str, StoredRecord]:
        """Return a record and those it goes on from, as far as replicas have them.

        The nearest replica is asked alone first. If a record is not found, no
        complete write of it exists.

        :raises NoQuorumError: if the quorum does not answer in time.
        """

        stop = set(known)
        chain = Operation(
            group,
            key,
            NOBODY,
            lambda view, member: ReadChain(group, view.epoch, member.disk_id, key, known),
            lambda found: reaches_root(found.records, key, stop),
        )
        with contextlib.suppress(NoQuorumError):
            return self._ask_nearest(chain).records
        return self._operate(chain._replace(quorum=READERS), timeout).records

    def _ask_nearest(self, operation: Operation) -> Round:
        """Ask the nearest replica alone.

        :raises NoQuorumError: if it does not know enough, or says nothing.
        """
        view = self._view(operation.group)
        end = self._now() + NEAREST_SECONDS
        found = self._round(view, self._nearest(view), operation, end)
        if not found.is_complete:
            raise NoQuorumError(f"group {operation.group}: not at the nearest replica")
        self._failing_since = None
        return found

    def _operate(self, operation: Operation, timeout: float) -> Round:
        end = self._now() + timeout
        while True:
            view = self._view(operation.group)
            members = self._order(view, operation.key)
            found = self._round(view, members, operation, end)
            if found.is_complete:
                found.is_read_quorum = not view.joining and has_read_quorum(
                    view, found.read_responders
                )
                self._failing_since = None
                return found
            newer = self._views.get(operation.group) is not view or found.met_other_view
            if not newer or self._now() + RETRY_SECONDS >= end:
                self._note_failed()
                if len(found.gone) == len(members):
                    self.on_all_replaced(view)
                answered = f"{found.answered} of {len(members)} answered"
                raise NoQuorumError(f"group {operation.group}: {answered}")
            eventlet.sleep(RETRY_SECONDS)

    def _note_failed(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._now()

    def loss(self, group: int) -> str:
        """Return what callers are told of a group that has lost its records; else nothing."""
        return loss_reason(group) if self.has_lost(group) else ""

    def _view(self, group: int) -> GroupView:
        view = self._views.get(group)
        if view is None:
            raise NoQuorumError(f"no view of group {group} is known")
        if self.has_lost(group):
            self._note_failed()
            raise NoQuorumError(loss_reason(group))
        return view

    def _nearest(self, view: GroupView) -> list[Member]:
        in_zone = [member for member in view.members if member.zone == self._zone]
        return (in_zone or view.members)[:1]

    def _order(self, view: GroupView, key: str) -> list[Member]:
        """Return all members, those first that are asked first for a key.

        The own zone comes first, which saves bytes between zones; among the others the key
        decides, so that the load is spread and its records mostly meet at one replica.
        """
        now = self._now()

        def place(member: Member) -> tuple[bool, bool, int]:
            is_slow = self._asked_last_until.get(member.disk_id, 0.0) > now
            return is_slow, member.zone != self._zone, score(key, member.disk_id)

        return sorted(all_members(view), key=place)

    def _round(
        self, view: GroupView, members: list[Member], operation: Operation, end: float
    ) -> Round:
        """Ask as many members as are needed; all others too if those do not suffice soon.

        :param members: those first that are asked first.
        """
        needed = needed_members(view, members, operation.quorum)
        found = Round()
        begun = self._now()
        self._ask(members[:needed], view, operation, found)
        has_rest = needed < len(members)
        wait_s = min(self._slow_s(), end - begun) if has_rest else end - begun
        found.wait(wait_s, for_unreached=not has_rest)
        if found.is_complete:
            self._usual_s += USUAL_WEIGHT * (self._now() - begun - self._usual_s)
        elif has_rest and not found.is_superseded:
            self._note_slow(found.silent)
            self._ask(members[needed:], view, operation, found)
            found.wait(end - self._now(), for_unreached=True)
        found.close()
        return found

    def _slow_s(self) -> float:
        """Return the seconds after which replies are held to be late."""
        return min(max(SLOW_FACTOR * self._usual_s, LEAST_SLOW_SECONDS), MOST_SLOW_SECONDS)

    def _ask(
        self, members: list[Member], view: GroupView, operation: Operation, found: Round
    ) -> None:
        """Send a request to members; what they reply goes into a round."""
        found.silent |= {member.disk_id for member in members}
        for member in members:
            self._post(member, view, operation, found, is_told=False)

    def _post(
        self,
        member: Member,
        view: GroupView,
        operation: Operation,
        found: Round,
        is_told: bool,
    ) -> None:
        """Send a request to a member, again if it did not know the view or was not reached.

        :param is_told: whether it was told of the view before.
        """

        def take(reply: object | None) -> None:
            if is_behind(reply) and not is_told:
                found.met_other_view = True
                link.post(InstallView(view), lambda reply: ask_again(is_told=True))
                return
            if reply is None:
                eventlet.spawn_after(UNREACHED_RETRY_SECONDS, ask_again, is_told=is_told)
            self._take(reply, member, view, operation, found)

        def ask_again(is_told: bool) -> None:
            if not found.is_closed:
                self._post(member, view, operation, found, is_told=is_told)

        link = self._links.get(member.address)
        number = link.post(operation.request(view, member), take)
        found.posted.append(Posted(link, number, member.disk_id))

    def _take(
        self,
        reply: object | None,
        member: Member,
        view: GroupView,
        operation: Operation,
        found: Round,
    ) -> None:
        """Take a member's last reply into a round."""
        found.silent.discard(member.disk_id)
        if reply is None:
            found.unreached.add(member.disk_id)
            self._note_slow([member.disk_id])
        else:
            found.unreached.discard(member.disk_id)
            found.answered += 1
        if isinstance(reply, RecordsReply | KeysReply):
            self._take_reply(member, reply, found)
        found.is_complete = operation.is_complete(view, found)
        found.wake()

    def _note_slow(self, disks: Collection[str]) -> None:
        until = self._now() + ASKED_LAST_SECONDS
        for disk_id in disks:
            self._asked_last_until[disk_id] = until

    def _take_reply(self, member: Member, reply: RecordsReply | KeysReply, found: Round) -> None:
        if reply.status is ReplyStatus.OK:
            found.acknowledged.add(member.disk_id)
            if reply.is_reader:
                found.read_responders.add(member.disk_id)
            if isinstance(reply, RecordsReply):
                found.merge(reply.records)
            else:
                found.merge_amounts(reply)
        elif reply.status is ReplyStatus.OTHER_DISK:
            found.gone.add(member.disk_id)
        elif reply.status is ReplyStatus.BEHIND:
            found.met_other_view = True
        elif reply.status is ReplyStatus.STALE:
            found.met_other_view = found.is_superseded = True
            if reply.view is not None:
                self._views.update(reply.view)
