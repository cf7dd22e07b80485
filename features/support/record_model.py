"""Random schedules of the record store: gateways, replicas, changes of the group, losses.

Messages are lost, late and reordered; replicas lose power (what was not on disk is
gone) or their disks; the group changes meanwhile. Gateways reserve tokens the way the
ledger does, by the same quorum rules, and the model checks from outside that granted
reservations never exceed the budget and that complete records are always found.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from typing import NamedTuple

from yarrowwall.messages.replicated import (
    FetchRecords,
    GroupView,
    InstallView,
    KeysReply,
    ListKeys,
    Member,
    ReadOwner,
    RecordsReply,
    ReplyStatus,
    ReserveRecord,
    StoredRecord,
    WriteRecords,
)
from yarrowwall.replication import planner
from yarrowwall.replication.replica import LogRecord, RecordReplica
from yarrowwall.replication.rounds import Amount, merged
from yarrowwall.replication.views import (
    all_members,
    has_read_quorum,
    has_write_quorum,
    member_of,
    read_quorum,
)

BUDGET = 2
PROGRAM = "program"
MOST_STEPS = 250
#: Steps that a granted turn may take until it is settled.
MOST_TURN_STEPS = 40
#: Copies of which one may be lost.
LEAST_COPIES = 2
#: Versions of a reservation's record.
RESERVED = 0
SETTLED = 1


def member(disk_id: str) -> Member:
    """Return a member whose node has the disk's first letter."""
    return Member(disk_id[0], disk_id, f"10.0.0.{ord(disk_id[0])}:1", f"zone-{disk_id[0]}")


@dataclass
class Machine:
    """A replica and its disk."""

    replica: RecordReplica
    disk: list[LogRecord] = field(default_factory=list)
    waiting: list[tuple[LogRecord, Callable[[], None]]] = field(default_factory=list)

    def persist(self, records: list[LogRecord], done: Callable[[], None]) -> None:
        """Queue log records; ``done`` follows the last one."""
        if not records:
            done()
            return
        for record in records[:-1]:
            self.waiting.append((record, lambda: None))
        self.waiting.append((records[-1], done))

    def sync(self) -> None:
        """Write the oldest queued record."""
        if self.waiting:
            record, done = self.waiting.pop(0)
            self.disk.append(record)
            self.replica.mark_durable(record)
            done()

    def lose_power(self) -> None:
        """Start again from what is on disk."""
        self.waiting.clear()
        replica = RecordReplica(self.replica.node_id, self.replica.disk_id)
        replica.restore(self.disk, 0.0)
        self.replica = replica


@dataclass
class Call:
    """A request on its way to one machine, and what takes its reply."""

    node_id: str
    request: object
    take: Callable[[object], None]


class Reading:
    """What the replies of replicas tell of an owner."""

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.readers: set[str] = set()
        self._amounts: dict[str, Amount] = {}

    def taking(self, target: Member) -> Callable[[object], None]:
        """Return what takes in one machine's reply."""

        def take(reply: object) -> None:
            if not isinstance(reply, KeysReply) or reply.status is not ReplyStatus.OK:
                return
            self.acknowledged.add(target.disk_id)
            if reply.is_reader:
                self.readers.add(target.disk_id)
            held = zip(reply.keys, reply.versions, reply.amounts, strict=True)
            news = {key: Amount(version, tokens) for key, version, tokens in held}
            self._amounts = merged(self._amounts, news)

        return take

    def others(self, key: str) -> dict[str, Amount]:
        """Return all amounts but that of one key."""
        return {other: amount for other, amount in self._amounts.items() if other != key}


class RecordSchedule:
    """One random schedule.

    :param seed: fixes every choice.
    :param doubles: whether requests of gateways may arrive twice, the second time at any moment
        later, as they do that go directly and through a neighbour.
    :param retires: whether machines are emptied, removed with their disks and come back with
        empty ones.
    """

    def __init__(self, seed: int, doubles: bool = False, retires: bool = False) -> None:
        self._doubles = doubles
        self._retires = retires
        self.random = random.Random(seed)
        self.machines = {name: self._machine(name + "1") for name in "abcd"}
        self.view = GroupView(0, planner_first_epoch(), [member(x) for x in ("a1", "b1", "c1")], [])
        for name in "abc":
            self._install(name, self.view)
        self.calls: list[Call] = []
        #: What each granted reservation counts for: its token, or what it was settled to.
        self.granted: dict[str, int] = {}
        self.complete: set[str] = set()
        self.tasks: list[Iterator[None]] = []
        self.disks_lost = 0
        #: Whether the group has had too few copies to lose another one since a disk was lost.
        self._is_short = False
        self.retiring: set[str] = set()
        self.removed: set[str] = set()
        self.retired = 0
        self.reservations = 0
        self._begin_reservations(3)

    @staticmethod
    def _machine(disk_id: str) -> Machine:
        return Machine(RecordReplica(disk_id[0], disk_id))

    def _install(self, name: str, view: GroupView) -> None:
        machine = self.machines[name]
        machine.persist(machine.replica.install_view(view), lambda: None)
        while machine.waiting:
            machine.sync()

    # Messages

    def send(self, target: Member, request: object, take: Callable[[object], None]) -> None:
        """Send a request; its reply may come late or never."""
        self.calls.append(Call(target.node_id, request, take))

    def _deliver(self) -> None:
        call = self.calls.pop(self.random.randrange(len(self.calls)))
        if self.random.random() < 0.1 or call.node_id in self.removed:
            return
        is_doubled = isinstance(call.request, ReserveRecord | WriteRecords | ReadOwner)
        if self._doubles and is_doubled and self.random.random() < 0.4:
            self.calls.append(call)
        machine = self.machines[call.node_id]
        outcome = machine.replica.handle(call.request, 0.0)
        machine.persist(list(outcome.persist), lambda: call.take(outcome.reply))

    # Gateways

    def reservation(self, name: str) -> Iterator[None]:
        """Reserve one token the way the ledger does, and settle it some time later."""
        record = StoredRecord(f"budget/{name}", RESERVED, PROGRAM, "", 60.0, 1, b"")
        view = self.view
        met = Reading()
        for target in all_members(view):
            request = ReserveRecord(view.group, view.epoch, target.disk_id, record)
            self.send(target, request, met.taking(target))
        while not has_write_quorum(view, met.acknowledged):
            yield
        self.complete.add(record.key)
        is_sure = not view.joining and has_read_quorum(view, met.readers)
        others = met.others(record.key)
        if not (is_sure and self.is_alone(others)):
            later = Reading()
            view = self.view
            for target in all_members(view):
                request = ReadOwner(view.group, view.epoch, target.disk_id, PROGRAM)
                self.send(target, request, later.taking(target))
            while not has_read_quorum(view, later.readers):
                yield
            others = merged(others, later.others(record.key))
        if not self.may_grant(others):
            return
        self.granted[name] = record.amount
        for _ in range(self.random.randrange(MOST_TURN_STEPS)):
            yield
        emitted = self.random.choice((0, 1))
        self.granted[name] = emitted
        settled = StoredRecord(record.key, SETTLED, PROGRAM, "", 60.0, emitted, b"")
        for target in all_members(self.view):
            request = WriteRecords(self.view.group, self.view.epoch, target.disk_id, [settled])
            self.send(target, request, lambda reply: None)

    @staticmethod
    def is_alone(others: dict[str, Amount]) -> bool:
        """Return whether every other turn that was met is settled."""
        return all(other.version == SETTLED for other in others.values())

    @staticmethod
    def may_grant(others: dict[str, Amount]) -> bool:
        """Return whether the budget holds one token more than what others reserved."""
        return sum(other.tokens for other in others.values()) + 1 <= BUDGET

    # Replicas

    def synchronisation(self, name: str) -> Iterator[None]:
        """Copy to a machine the way the synchroniser does."""
        machine = self.machines[name]
        replica, view = machine.replica, machine.replica.view
        if view is None or not replica.needs_synchronisation:
            return
        readers = {replica.disk_id} if replica.counts_for_reads else set()
        for source in view.members:
            if source.disk_id == replica.disk_id or has_read_quorum(view, readers):
                continue
            replies: list[object] = []
            self.send(source, InstallView(view), replies.append)
            while not replies:
                yield
            replies.clear()
            self.send(source, ListKeys(view.group, view.epoch, source.disk_id), replies.append)
            while not replies:
                yield
            listed = replies.pop()
            if not isinstance(listed, KeysReply) or not listed.is_reader:
                continue
            keys = replica.missing(listed.keys, listed.versions)
            fetch = FetchRecords(view.group, view.epoch, source.disk_id, keys)
            self.send(source, fetch, replies.append)
            while not replies:
                yield
            fetched = replies.pop()
            if not isinstance(fetched, RecordsReply) or fetched.status is not ReplyStatus.OK:
                continue
            if machine.replica is not replica:
                return
            written: list[bool] = []
            machine.persist(
                replica.store_copied(fetched.records, 0.0), lambda w=written: w.append(True)
            )
            while not written:
                yield
            readers.add(source.disk_id)
        mark = replica.synchronisation_mark(view) if has_read_quorum(view, readers) else None
        if mark is not None and machine.replica is replica:
            machine.persist([mark], lambda: None)

    # The group

    def change_group(self) -> None:
        """Begin or end a change the way the coordinator does."""
        registered = {
            name: member(machine.replica.disk_id) for name, machine in self.there().items()
        }
        statuses = {
            machine.replica.disk_id: machine.replica.status() for machine in self.there().values()
        }
        if self.view.joining and (settled := planner.settled_view(self.view, statuses)) is not None:
            self.view = settled
            return
        if not planner.is_ready_to_change(self.view, statuses):
            return
        if self.view.joining:
            self.view = planner.revised_view(self.view, registered) or self.view
            return
        busy = {known.disk_id for known in all_members(self.view)}
        found = planner.next_view(
            self.view, registered, self.alive(), self.retiring, busy, self.size
        )
        if found is not None:
            self.view = found

    def alive(self) -> set[str]:
        """Return the machines that answered whoever proposes a change."""
        return set(self.there()) - {self.random.choice(sorted(self.machines))}

    def there(self) -> dict[str, Machine]:
        """Return the machines that are not removed."""
        return {name: one for name, one in self.machines.items() if name not in self.removed}

    @property
    def size(self) -> int:
        """Return how many replicas are wanted."""
        return 3

    @property
    def is_sound(self) -> bool:
        """Return whether the group is settled and each member holds what was complete."""
        sound = [
            known
            for known in self.view.members
            if self.machines[known.node_id].replica.disk_id == known.disk_id
            and self.machines[known.node_id].replica.counts_for_reads
        ]
        return not self.view.joining and len(sound) == len(self.view.members)

    def lose_disk(self) -> None:
        """Give one machine an empty disk, if the group bears that now.

        Beside retirements no copy may be lost for good (see ``check_kept``), so a group that a lost
        disk left with one copy bears no other loss until it has two again; one that a retirement
        left so has to.
        """
        is_last = self._is_short and len(self.view.members) < LEAST_COPIES
        if not self.is_sound or (self._retires and is_last):
            return
        self._is_short = True
        self._replace_disk(self.random.choice(self.view.members).node_id)

    def _replace_disk(self, name: str) -> None:
        self.disks_lost += 1
        self.machines[name] = self._machine(f"{name}{self.disks_lost + 1}")

    # Retirements

    def is_emptied(self, name: str) -> bool:
        """Return whether a machine that is to be emptied may be removed with its disk."""
        return member_of(self.view, self.machines[name].replica.disk_id) is None

    def remove_emptied(self) -> None:
        """Remove machines whose retirement is complete."""
        for name in sorted(self.retiring):
            if self.is_emptied(name):
                self.retiring.discard(name)
                self.removed.add(name)
                self.retired += 1
                self._replace_disk(name)

    def change_machines(self) -> None:
        """Begin to empty a machine, or let a removed one come back with an empty disk."""
        if self.removed and self.random.random() < 0.4:
            self.removed.discard(self.random.choice(sorted(self.removed)))
        else:
            self.retiring.add(self.random.choice(sorted(self.there())))

    def tell_view(self, machine: Machine) -> None:
        """Let a machine hear of the newest view from the store."""
        if member_of(self.view, machine.replica.disk_id) or machine.replica.view:
            machine.persist(machine.replica.install_view(self.view), lambda: None)

    # The schedule

    def _begin_reservations(self, count: int) -> None:
        """Begin turns at once, as sub-agents do."""
        for _ in range(count):
            self.reservations += 1
            self.tasks.append(self.reservation(str(self.reservations)))

    def step(self) -> None:
        """Do one random thing."""
        chance = self.random.random()
        names = sorted(self.machines)
        for _ in range(3):
            if self.calls:
                self._deliver()
            self.machines[self.random.choice(names)].sync()
        if chance < 0.3:
            pass
        elif chance < 0.7:
            name = self.random.choice(names)
            self.tell_view(self.machines[name])
            self.tasks.append(self.synchronisation(name))
        elif chance < 0.85:
            self.change_group()
        elif chance < 0.88:
            self.machines[self.random.choice(names)].lose_power()
        elif chance < 0.9:
            self.lose_disk()
        elif self._retires and chance < 0.93:
            self.change_machines()
        else:
            self._begin_reservations(self.random.choice((1, 3)))
        for task in list(self.tasks):
            if next(task, "over") == "over":
                self.tasks.remove(task)
        self.remove_emptied()
        if self.is_sound and len(self.view.members) >= LEAST_COPIES:
            self._is_short = False
        for machine in self.machines.values():
            machine.replica.validate_state()

    def check(self) -> None:
        """Raise AssertionError if more was granted than the budget holds."""
        assert sum(self.granted.values()) <= BUDGET, f"granted {self.granted} of {BUDGET}"

    def check_kept(self) -> None:
        """Raise AssertionError if a complete record is on no disk of the group any more."""
        held = {
            record.key
            for known in all_members(self.view)
            if self.machines[known.node_id].replica.disk_id == known.disk_id
            for record in self.machines[known.node_id].replica.table.all()
        }
        assert self.complete <= held, f"no copy is left of {self.complete - held}"

    def check_records(self) -> None:
        """Raise AssertionError if any read quorum of today lacks a complete record."""
        view = self.view
        replicas = {machine.replica.disk_id: machine.replica for machine in self.machines.values()}
        readers = [
            known.disk_id
            for known in view.members
            if known.disk_id in replicas
            and replicas[known.disk_id].counts_for_reads
            and replicas[known.disk_id].epoch == view.epoch
        ]
        for quorum in combinations(readers, read_quorum(view.group, len(view.members))):
            held = {record.key for disk in quorum for record in replicas[disk].table.all()}
            assert self.complete <= held, f"lost {self.complete - held}"


def planner_first_epoch() -> int:
    """Return the epoch of a group's first view."""
    return 1


class Totals(NamedTuple):
    """What happened in schedules."""

    granted: int
    retired: int


def run_record_schedules(count: int, doubles: bool = False, retires: bool = False) -> Totals:
    """Run schedules; return what happened in all of them.

    :raises AssertionError: naming the seed, if a promise was broken.
    """
    granted = retired = 0
    for seed in range(count):
        schedule = RecordSchedule(seed, doubles, retires)
        for _ in range(MOST_STEPS):
            schedule.step()
            try:
                schedule.check()
                schedule.check_records()
                if retires:
                    schedule.check_kept()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error
        granted += len(schedule.granted)
        retired += schedule.retired
    return Totals(granted, retired)
