"""Reads and writes records through quorums of a group's replicas."""

import contextlib
from collections.abc import Callable, Collection
from typing import NamedTuple

import eventlet

from yarrowwall.hashing import score
from yarrowwall.messages.replicated import (
    GroupView,
    InstallView,
    KeysReply,
    LifetimesReply,
    Member,
    ReadChain,
    ReadLifetimes,
    ReadOwner,
    RecordsReply,
    ReplyStatus,
    ReserveRecord,
    StoredRecord,
    WriteRecords,
)
from yarrowwall.replication.exceptions import NoQuorumError, NoRoomError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.losses import loss_reason
from yarrowwall.replication.operations import (
    KEPT_BY_WRITE_QUORUM,
    NO_QUORUM,
    READ_QUORUM,
    READ_WRITE_QUORUM,
    WRITE_QUORUM,
    Operation,
    is_behind,
    kept_by_write_quorum_s,
    needed_members,
    reaches_root,
)
from yarrowwall.replication.rounds import Amount, Posted, Round
from yarrowwall.replication.rpc import RECONNECT_DELAY_SECONDS, LinkTable
from yarrowwall.replication.views import all_members, has_read_quorum

#: Default timeout of an operation in seconds.
OPERATION_SECONDS = 0.6
#: Seconds that the nearest replica may take to answer alone before the others are asked.
NEAREST_SECONDS = 0.08
#: Seconds before an operation is retried in another view.
RETRY_SECONDS = 0.01
#: Seconds before a replica whose connection failed is asked again: half of the time during which
#: its link fails requests at once.
UNREACHED_RETRY_SECONDS = 0.5 * RECONNECT_DELAY_SECONDS
#: An operation first asks as many replicas as it needs. It asks all others after this multiple of
#: the typical time to completion, within these bounds in seconds: a reply takes a round trip
#: (3 ms between zones), a sync (1 ms) and the replica's queue.
SLOW_FACTOR = 3.0
MIN_SLOW_SECONDS = 0.008
MAX_SLOW_SECONDS = 0.08
#: Initial value in seconds of the typical time to completion, and the weight of each new sample
#: in its moving average.
INITIAL_TYPICAL_SECONDS = 0.01
TYPICAL_WEIGHT = 0.1
#: Seconds for which a replica that was too slow is asked last.
DEPRIORITISED_SECONDS = 1.0


class OwnerReading(NamedTuple):
    """The amounts that are recorded for an owner.

    :param amounts: amounts by key of the record.
    :param note: value of a recent record of the owner as text; it may not be the newest one's.
    :param is_complete: whether every complete record is among the amounts.
    """

    amounts: dict[str, Amount]
    note: str
    is_complete: bool


class QuorumClient:
    """Runs operations on records.

    :param zone: this gateway's zone; its replicas are asked first.
    :param now: the monotonic clock.
    """

    def __init__(
        self, zone: str, views: GroupViews, links: LinkTable, now: Callable[[], float]
    ) -> None:
        self._zone = zone
        self._views = views
        self._links = links
        self._now = now
        self._failing_since: float | None = None
        self._typical_s = INITIAL_TYPICAL_SECONDS
        self._deprioritised_until: dict[str, float] = {}
        #: Returns whether a group is known to have lost all copies of its records.
        self.has_lost: Callable[[int], bool] = lambda group: False
        #: Called with a view if other disks replied in place of all of its disks.
        self.on_all_replaced: Callable[[GroupView], None] = lambda view: None

    @property
    def failing_seconds(self) -> float:
        """Return for how many seconds operations have failed; 0 if the last one succeeded."""
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
            WRITE_QUORUM,
            lambda view, member: WriteRecords(group, view.epoch, member.disk_id, records),
        )
        self._run(operation, timeout)

    def read_amounts(
        self,
        group: int,
        owner: str,
        timeout: float = OPERATION_SECONDS,
        proves_absence: bool = False,
    ) -> OwnerReading:
        """Return the amounts of all complete records of an owner, and its newest note.

        :param proves_absence: whether a record that is not among them must have no complete write,
            as in :meth:`read_chain`; else a replica that was not told of a change may lack it.
        :raises NoQuorumError: if the quorum does not answer in time.
        """
        operation = Operation(
            group,
            owner,
            READ_WRITE_QUORUM if proves_absence else READ_QUORUM,
            lambda view, member: ReadOwner(group, view.epoch, member.disk_id, owner),
        )
        found = self._run(operation, timeout)
        return OwnerReading(found.amounts, found.note, is_complete=True)

    def check(self, group: int, timeout: float) -> None:
        """Check that a group can be read and written now.

        :raises NoQuorumError: if the quorum for reads or for writes does not answer in time.
        """
        operation = Operation(
            group,
            "",
            READ_WRITE_QUORUM,
            lambda view, member: ReadOwner(group, view.epoch, member.disk_id, ""),
        )
        self._run(operation, timeout)

    def reserve(
        self, group: int, record: StoredRecord, timeout: float = OPERATION_SECONDS
    ) -> OwnerReading:
        """Store a record on a write quorum; return the amounts that it holds of the owner.

        If the reading is complete, it contains every reservation that was complete before this
        one was sent. Of two concurrent reservations, at least one sees the other.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        operation = Operation(
            group,
            record.owner,
            WRITE_QUORUM,
            lambda view, member: ReserveRecord(group, view.epoch, member.disk_id, record),
        )
        found = self._run(operation, timeout)
        return OwnerReading(found.amounts, found.note, found.is_read_quorum)

    def read_chain(
        self, group: int, key: str, known: list[str], timeout: float = OPERATION_SECONDS
    ) -> dict[str, StoredRecord]:
        """Return by key a record and its predecessors that replicas have.

        The nearest replica is asked alone first. A record that is not among them has no complete
        write: besides a read quorum, as many replicas as a write needs are still in the view, and
        whoever ends a change has told a read quorum of it, so no later view is in use.

        :param known: keys at which the chain may stop.
        :raises NoQuorumError: if the quorum does not answer in time.
        """

        stop = set(known)
        chain = Operation(
            group,
            key,
            NO_QUORUM,
            lambda view, member: ReadChain(group, view.epoch, member.disk_id, key, known),
            lambda found: reaches_root(found.records, key, stop),
        )
        with contextlib.suppress(NoQuorumError):
            return self._ask_nearest(chain).records
        return self._run(chain._replace(quorum=READ_WRITE_QUORUM), timeout).records

    def owners_left_s(
        self, group: int, owners: list[str], timeout: float = OPERATION_SECONDS
    ) -> list[float]:
        """Return for how many seconds the group keeps the records of each owner.

        Every write that is complete by now is taken into account.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        operation = Operation(
            group,
            "",
            READ_QUORUM,
            lambda view, member: ReadLifetimes(group, view.epoch, member.disk_id, owners, []),
        )
        found = self._run(operation, timeout)
        return [max(left_s) for left_s in zip(*found.owners_left_s.values(), strict=True)]

    def kept_s(self, group: int, key: str, timeout: float = OPERATION_SECONDS) -> float:
        """Return for how many seconds a write quorum keeps a record.

        No replica drops a record in that time. The result is 0 if the write of the record was not
        complete, or if too few replicas answer.

        :raises NoQuorumError: if the group is unknown, or has lost its records.
        """
        operation = Operation(
            group,
            key,
            KEPT_BY_WRITE_QUORUM,
            lambda view, member: ReadLifetimes(group, view.epoch, member.disk_id, [], [key]),
        )
        view = self._view(group)
        members = self._ordered_members(view, key)
        found = self._run_round(view, members, operation, self._now() + timeout)
        return kept_by_write_quorum_s(view, found.keys_left_s)

    def _ask_nearest(self, operation: Operation) -> Round:
        """Run an operation on the nearest replica alone.

        :raises NoQuorumError: if it lacks records or does not answer in time.
        """
        view = self._view(operation.group)
        deadline = self._now() + NEAREST_SECONDS
        found = self._run_round(view, self._nearest(view), operation, deadline)
        if not found.is_complete:
            raise NoQuorumError(f"group {operation.group}: not at the nearest replica")
        self._failing_since = None
        return found

    def _run(self, operation: Operation, timeout: float) -> Round:
        deadline = self._now() + timeout
        while True:
            view = self._view(operation.group)
            members = self._ordered_members(view, operation.key)
            found = self._run_round(view, members, operation, deadline)
            if found.is_complete:
                found.is_read_quorum = not view.joining and has_read_quorum(
                    view, found.read_responders
                )
                self._failing_since = None
                return found
            newer = self._views.get(operation.group) is not view or found.saw_other_view
            if not newer or self._now() + RETRY_SECONDS >= deadline:
                if found.without_room:
                    raise NoRoomError(f"group {operation.group}: no room for new programs")
                self._note_failed()
                if len(found.replaced) == len(members):
                    self.on_all_replaced(view)
                answered = f"{found.answered} of {len(members)} answered"
                raise NoQuorumError(f"group {operation.group}: {answered}")
            eventlet.sleep(RETRY_SECONDS)

    def _note_failed(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._now()

    def loss(self, group: int) -> str:
        """Return the message to callers if a group has lost its records; otherwise empty."""
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

    def _ordered_members(self, view: GroupView, key: str) -> list[Member]:
        """Return all members in the order to ask them for a key.

        Members of this zone come first, which saves traffic between zones; replicas that were
        slow recently come last. Otherwise the key determines the order, which spreads the load
        and sends operations on the same key to the same replicas.
        """
        now = self._now()

        def sort_key(member: Member) -> tuple[bool, bool, int]:
            is_slow = self._deprioritised_until.get(member.disk_id, 0.0) > now
            return is_slow, member.zone != self._zone, score(key, member.disk_id)

        return sorted(all_members(view), key=sort_key)

    def _run_round(
        self, view: GroupView, members: list[Member], operation: Operation, deadline: float
    ) -> Round:
        """Ask as many members as a quorum needs, and the others too if those are late.

        :param members: the members in the order to ask them.
        """
        needed = needed_members(view, members, operation.quorum)
        found = Round()
        begun = self._now()
        self._send(members[:needed], view, operation, found)
        has_rest = needed < len(members)
        wait_s = min(self._late_after_s(), deadline - begun) if has_rest else deadline - begun
        found.wait(wait_s, for_unreached=not has_rest)
        if found.is_complete:
            self._typical_s += TYPICAL_WEIGHT * (self._now() - begun - self._typical_s)
        elif has_rest and not found.is_superseded:
            self._note_slow(found.silent)
            self._send(members[needed:], view, operation, found)
            found.wait(deadline - self._now(), for_unreached=True)
        found.close()
        return found

    def _late_after_s(self) -> float:
        """Return the seconds after which replies count as late."""
        return min(max(SLOW_FACTOR * self._typical_s, MIN_SLOW_SECONDS), MAX_SLOW_SECONDS)

    def _send(
        self, members: list[Member], view: GroupView, operation: Operation, found: Round
    ) -> None:
        """Send a request to members and collect their replies in a round."""
        found.silent |= {member.disk_id for member in members}
        for member in members:
            self._post(member, view, operation, found, knows_view=False)

    def _post(
        self,
        member: Member,
        view: GroupView,
        operation: Operation,
        found: Round,
        knows_view: bool,
    ) -> None:
        """Send a request to a member; send it again if the view was unknown or the link failed.

        :param knows_view: whether the view was sent to the member before.
        """

        def handle_reply(reply: object | None) -> None:
            if is_behind(reply) and not knows_view:
                found.saw_other_view = True
                link.post(InstallView(view), lambda reply: post_again(knows_view=True))
                return
            if reply is None:
                eventlet.spawn_after(UNREACHED_RETRY_SECONDS, post_again, knows_view=knows_view)
            self._handle_reply(reply, member, view, operation, found)

        def post_again(knows_view: bool) -> None:
            if not found.is_closed:
                self._post(member, view, operation, found, knows_view=knows_view)

        link = self._links.get(member.address)
        number = link.post(operation.request(view, member), handle_reply)
        found.posted.append(Posted(link, number, member.disk_id))

    def _handle_reply(
        self,
        reply: object | None,
        member: Member,
        view: GroupView,
        operation: Operation,
        found: Round,
    ) -> None:
        """Add a member's reply to a round; None if the connection failed."""
        found.silent.discard(member.disk_id)
        if reply is None:
            found.unreached.add(member.disk_id)
            self._note_slow([member.disk_id])
        else:
            found.unreached.discard(member.disk_id)
            found.answered += 1
        if isinstance(reply, RecordsReply | KeysReply | LifetimesReply):
            self._merge_reply(member, reply, found)
        found.is_complete = operation.is_complete(view, found)
        found.wake()

    def _note_slow(self, disks: Collection[str]) -> None:
        until = self._now() + DEPRIORITISED_SECONDS
        for disk_id in disks:
            self._deprioritised_until[disk_id] = until

    def _merge_reply(
        self, member: Member, reply: RecordsReply | KeysReply | LifetimesReply, found: Round
    ) -> None:
        if reply.status is ReplyStatus.OK:
            found.acknowledged.add(member.disk_id)
            if reply.is_reader:
                found.read_responders.add(member.disk_id)
            if isinstance(reply, RecordsReply):
                found.merge(reply.records)
            elif isinstance(reply, LifetimesReply):
                found.merge_lifetimes(member.disk_id, reply)
            else:
                found.merge_amounts(reply)
        elif reply.status is ReplyStatus.DISK_REFUSED and reply.is_reader:
            found.without_room.add(member.disk_id)
        elif reply.status is ReplyStatus.OTHER_DISK:
            found.replaced.add(member.disk_id)
        elif reply.status is ReplyStatus.BEHIND:
            found.saw_other_view = True
        elif reply.status is ReplyStatus.STALE:
            found.saw_other_view = found.is_superseded = True
            if reply.view is not None:
                self._views.update(reply.view)
