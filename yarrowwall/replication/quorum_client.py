"""Reads and writes of records through quorums of a group's replicas."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from yarrowwall.core.hashing import score
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
from yarrowwall.replication.rpc import Link
from yarrowwall.replication.views import all_members, is_read, is_written

#: Seconds that an operation waits for its quorum.
OPERATION_SECONDS = 0.6
#: Seconds that the nearest replica has to answer alone before all are asked.
NEAREST_SECONDS = 0.08
#: Seconds before an operation that met another view is tried again.
RETRY_SECONDS = 0.01
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


#: Tells whether disks make up a quorum of a view.
Quorum = Callable[[GroupView, Collection[str]], bool]


@dataclass(frozen=True)
class Amount:
    """What a record counts for."""

    version: int
    tokens: int


class OwnerReading(NamedTuple):
    """What is recorded for an owner.

    :param amounts: by key of the record.
    :param note: a hint, which may be older than the newest record.
    :param is_sure: whether every complete record is among the amounts.
    """

    amounts: dict[str, Amount]
    note: str
    is_sure: bool


@dataclass
class _Round:
    """The replies to one request of several replicas.

    :param silent: disks of those that were asked and have not replied.
    """

    acknowledged: set[str] = field(default_factory=set)
    readers: set[str] = field(default_factory=set)
    records: dict[str, StoredRecord] = field(default_factory=dict)
    amounts: dict[str, Amount] = field(default_factory=dict)
    note: str = ""
    is_read_quorum: bool = False
    answered: int = 0
    met_other_view: bool = False
    is_enough: bool = False
    silent: set[str] = field(default_factory=set)
    posted: list[tuple[Link, int]] = field(default_factory=list)
    _wakeup: Event = field(default_factory=Event)

    def wait(self, timeout_s: float) -> None:
        """Wait until the replies suffice or nobody is left who could reply."""
        if self.is_enough or not self.silent or timeout_s <= 0.0:
            return
        self._wakeup = Event()
        self._wakeup.wait(timeout_s)

    def wake(self) -> None:
        """End the wait if there is nothing more to wait for."""
        if (self.is_enough or not self.silent) and not self._wakeup.ready():
            self._wakeup.send()

    def close(self) -> None:
        """Take no more replies."""
        for link, number in self.posted:
            link.forget(number)

    def merge(self, records: Sequence[StoredRecord]) -> None:
        """Take in records; the higher version of a key wins."""
        for record in records:
            held = self.records.get(record.key)
            if held is None or held.version < record.version:
                self.records[record.key] = record

    def merge_amounts(self, reply: KeysReply) -> None:
        """Take in amounts; the higher version of a key wins."""
        self.note = reply.note or self.note
        for key, version, tokens in zip(reply.keys, reply.versions, reply.amounts, strict=True):
            held = self.amounts.get(key)
            if held is None or held.version < version:
                self.amounts[key] = Amount(version, tokens)


class GroupViews:
    """The newest known view of each group.

    :param changed: called with each newer view.
    """

    def __init__(self, changed: Callable[[GroupView], None] = lambda view: None) -> None:
        self._views: dict[int, GroupView] = {}
        self._changed = changed

    def take(self, view: GroupView) -> None:
        """Take in a view unless a newer one is known."""
        known = self._views.get(view.group)
        if known is None or known.epoch < view.epoch:
            self._views[view.group] = view
            self._changed(view)

    def get(self, group: int) -> GroupView | None:
        """Return a group's newest view."""
        return self._views.get(group)

    @property
    def count(self) -> int:
        """Return how many groups there are."""
        return len(self._views)


class LinkTable:
    """Links by address."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._links: dict[str, Link] = {}

    def get(self, address: str) -> Link:
        """Return the link to an address."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address, self._now)
        return link


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
        self._operate(
            group,
            lambda view, member: WriteRecords(group, view.epoch, member.disk_id, records),
            lambda view, found: is_written(view, found.acknowledged),
            timeout,
            records[0].key,
            is_written,
        )

    def read_amounts(
        self, group: int, owner: str, timeout: float = OPERATION_SECONDS
    ) -> OwnerReading:
        """Return the amounts of all complete records of an owner, and its newest note.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        found = self._operate(
            group,
            lambda view, member: ReadOwner(group, view.epoch, member.disk_id, owner),
            lambda view, found: is_read(view, found.readers),
            timeout,
            owner,
            is_read,
        )
        return OwnerReading(found.amounts, found.note, is_sure=True)

    def reserve(
        self, group: int, record: StoredRecord, timeout: float = OPERATION_SECONDS
    ) -> OwnerReading:
        """Store a record on a write quorum; return what its replicas hold of its owner.

        Any other reservation, complete before this one was sent, is among the amounts
        if the reading is sure. Of two that cross, at least one finds the other.

        :raises NoQuorumError: if the quorum does not answer in time.
        """
        found = self._operate(
            group,
            lambda view, member: ReserveRecord(group, view.epoch, member.disk_id, record),
            lambda view, found: is_written(view, found.acknowledged),
            timeout,
            record.owner,
            is_written,
        )
        return OwnerReading(found.amounts, found.note, found.is_read_quorum)

    def read_chain(
        self, group: int, key: str, known: list[str], timeout: float = OPERATION_SECONDS
    ) -> dict[str, StoredRecord]:
        """Return a record and those it goes on from, as far as replicas have them.

        The nearest replica is asked alone first. If a record is not found, no
        complete write of it exists.

        :raises NoQuorumError: if the quorum does not answer in time.
        """

        def request(view: GroupView, member: Member) -> object:
            return ReadChain(group, view.epoch, member.disk_id, key, known)

        stop = set(known)

        def is_whole(view: GroupView, found: _Round) -> bool:
            return _reaches_root(found.records, key, stop)

        try:
            nearest = self._operate(
                group, request, is_whole, NEAREST_SECONDS, key, is_read, only_nearest=True
            )
            return nearest.records
        except NoQuorumError:
            pass
        return self._operate(
            group,
            request,
            lambda view, found: is_whole(view, found) or is_read(view, found.readers),
            timeout,
            key,
            is_read,
        ).records

    def _operate(
        self,
        group: int,
        request: Callable[[GroupView, Member], object],
        is_enough: Callable[[GroupView, _Round], bool],
        timeout: float,
        key: str,
        quorum: Quorum,
        only_nearest: bool = False,
    ) -> _Round:
        end = self._now() + timeout
        while True:
            view = self._views.get(group)
            if view is None:
                raise NoQuorumError(f"no view of group {group} is known")
            members = self._nearest(view) if only_nearest else self._order(view, key)
            needed = 1 if only_nearest else _needed(view, members, quorum)
            found = self._round(view, members, needed, request, is_enough, end)
            if is_enough(view, found):
                found.is_read_quorum = not view.joining and is_read(view, found.readers)
                self._failing_since = None
                return found
            newer = self._views.get(group) is not view or found.met_other_view
            if only_nearest or not newer or self._now() + RETRY_SECONDS >= end:
                if not only_nearest and self._failing_since is None:
                    self._failing_since = self._now()
                raise NoQuorumError(f"group {group}: {found.answered} of {len(members)} answered")
            eventlet.sleep(RETRY_SECONDS)

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
        self,
        view: GroupView,
        members: list[Member],
        needed: int,
        request: Callable[[GroupView, Member], object],
        is_enough: Callable[[GroupView, _Round], bool],
        end: float,
    ) -> _Round:
        """Ask as many members as are needed; all others too if those do not suffice soon.

        :param needed: how many of the members, the first ones, make up a quorum.
        """
        found = _Round()
        begun = self._now()
        self._ask(members[:needed], view, request, is_enough, found)
        has_rest = needed < len(members)
        found.wait(min(self._slow_s(), end - begun) if has_rest else end - begun)
        if found.is_enough:
            self._usual_s += USUAL_WEIGHT * (self._now() - begun - self._usual_s)
        elif has_rest:
            self._note_slow(found.silent)
            self._ask(members[needed:], view, request, is_enough, found)
            found.wait(end - self._now())
        found.close()
        return found

    def _slow_s(self) -> float:
        """Return the seconds after which replies are held to be late."""
        return min(max(SLOW_FACTOR * self._usual_s, LEAST_SLOW_SECONDS), MOST_SLOW_SECONDS)

    def _ask(
        self,
        members: list[Member],
        view: GroupView,
        request: Callable[[GroupView, Member], object],
        is_enough: Callable[[GroupView, _Round], bool],
        found: _Round,
    ) -> None:
        """Send a request to members; what they reply goes into a round."""

        def take(member: Member, reply: object | None) -> None:
            found.silent.discard(member.disk_id)
            found.answered += 1
            if reply is None:
                self._note_slow([member.disk_id])
            if isinstance(reply, RecordsReply | KeysReply):
                self._take_reply(view, member, reply, found)
            found.is_enough = is_enough(view, found)
            found.wake()

        found.silent |= {member.disk_id for member in members}
        for member in members:
            link = self._links.get(member.address)
            number = link.post(request(view, member), partial(take, member))
            found.posted.append((link, number))

    def _note_slow(self, disks: Collection[str]) -> None:
        until = self._now() + ASKED_LAST_SECONDS
        for disk_id in disks:
            self._asked_last_until[disk_id] = until

    def _take_reply(
        self, view: GroupView, member: Member, reply: RecordsReply | KeysReply, found: _Round
    ) -> None:
        if reply.status is ReplyStatus.OK:
            found.acknowledged.add(member.disk_id)
            if reply.is_reader:
                found.readers.add(member.disk_id)
            if isinstance(reply, RecordsReply):
                found.merge(reply.records)
            else:
                found.merge_amounts(reply)
        elif reply.status is ReplyStatus.BEHIND:
            found.met_other_view = True
            self._links.get(member.address).post(InstallView(view), lambda reply: None)
        elif reply.status is ReplyStatus.STALE:
            found.met_other_view = True
            if reply.view is not None:
                self._views.take(reply.view)


def _needed(view: GroupView, members: Sequence[Member], quorum: Quorum) -> int:
    """Return how many of the members, the first ones, make up a quorum."""
    disks = [member.disk_id for member in members]
    for count in range(1, len(disks)):
        if quorum(view, disks[:count]):
            return count
    return len(disks)


def _reaches_root(records: dict[str, StoredRecord], key: str, stop: set[str]) -> bool:
    """Return whether records link a key to a first one or to a known one."""
    while key and key not in stop:
        record = records.get(key)
        if record is None:
            return False
        key = record.link
    return True
