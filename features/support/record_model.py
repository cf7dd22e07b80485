"""Random schedules of the record store: gateways, replicas, changes of the group, losses.

Messages are lost, late and reordered, replicas lose power (and all that was not on disk) or their
disks, and the group changes. Gateways reserve tokens like the ledger, by the same quorum rules.
The model checks that granted reservations never exceed the budget and that every complete record
can be read.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from typing import NamedTuple

from yarrowwall.clocks import Clock
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
MAX_STEPS = 250
#: Steps without faults at the end of a schedule with compaction.
RECOVERY_STEPS = 200
#: Limit of the steps between the grant of a turn and its settlement.
MAX_TURN_STEPS = 40
#: Least copies with which the loss of one is survived.
MIN_COPIES = 2
#: Versions of a reservation's record.
RESERVED = 0
SETTLED = 1


def member(disk_id: str) -> Member:
    """Return a member whose node id is the first letter of the disk id."""
    return Member(disk_id[0], disk_id, f"10.0.0.{ord(disk_id[0])}:1", f"zone-{disk_id[0]}")


@dataclass
class Machine:
    """A replica and its disk."""

    replica: RecordReplica
    disk: list[LogRecord] = field(default_factory=list)
    waiting: list[tuple[LogRecord, Callable[[], None]]] = field(default_factory=list)

    def persist(self, records: list[LogRecord], done: Callable[[], None]) -> None:
        """Queue log records; ``done`` is called once the last one is written."""
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

    def compact(self) -> None:
        """Replace the log by a snapshot; records that wait follow it."""
        self.disk = list(self.replica.snapshot(0.0))

    def lose_power(self) -> None:
        """Restart with the state that is on disk."""
        self.waiting.clear()
        replica = RecordReplica(self.replica.node_id, self.replica.disk_id)
        replica.restore(self.disk, Clock(0.0, 0.0))
        self.replica = replica


@dataclass
class Call:
    """A request in flight to one machine, with the handler of its reply."""

    node_id: str
    request: object
    take: Callable[[object], None]


class OwnerReplies:
    """Collects replicas' replies about an owner."""

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.responders: set[str] = set()
        self._amounts: dict[str, Amount] = {}

    def handler_for(self, target: Member) -> Callable[[object], None]:
        """Return the handler of one machine's reply."""

        def take(reply: object) -> None:
            if not isinstance(reply, KeysReply) or reply.status is not ReplyStatus.OK:
                return
            self.acknowledged.add(target.disk_id)
            if reply.is_reader:
                self.responders.add(target.disk_id)
            held = zip(reply.keys, reply.versions, reply.amounts, strict=True)
            amounts = {key: Amount(version, tokens) for key, version, tokens in held}
            self._amounts = merged(self._amounts, amounts)

        return take

    def others(self, key: str) -> dict[str, Amount]:
        """Return all amounts except that of one key."""
        return {other: amount for other, amount in self._amounts.items() if other != key}


class RecordSchedule:
    """One random schedule.

    :param seed: seed of all random choices.
    :param duplicates: whether requests of gateways may arrive twice, the second time at any later
        moment, as if they were sent directly and through a neighbour.
    :param with_retirements: whether machines are retired, removed with their disks, and return
        with empty ones.
    :param with_compaction: whether logs are compacted, and all machines restart at once.
    :cvar REPLY_STEPS: steps after which a replica that copies asks the next one; None for no bound.
    """

    REPLY_STEPS: int | None = None

    def __init__(
        self,
        seed: int,
        duplicates: bool = False,
        with_retirements: bool = False,
        with_compaction: bool = False,
    ) -> None:
        self._with_compaction = with_compaction
        self._duplicates = duplicates
        self._with_retirements = with_retirements
        self.random = random.Random(seed)
        self.machines = {name: self._machine(name + "1") for name in "abcd"}
        self.view = GroupView(0, planner_first_epoch(), [member(x) for x in ("a1", "b1", "c1")], [])
        for name in "abc":
            self._install(name, self.view)
        self.calls: list[Call] = []
        #: Tokens of each granted reservation, or the amount to which it was settled.
        self.granted: dict[str, int] = {}
        self.complete: set[str] = set()
        self.tasks: list[Iterator[None]] = []
        self.disks_lost = 0
        #: Whether a disk was lost and the group has not had two copies again since.
        self._lacks_copies = False
        self.retiring: set[str] = set()
        #: Machines whose processes are about to end.
        self.leaving: set[str] = set()
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
        may_be_duplicated = isinstance(call.request, ReserveRecord | WriteRecords | ReadOwner)
        if self._duplicates and may_be_duplicated and self.random.random() < 0.4:
            self.calls.append(call)
        machine = self.machines[call.node_id]
        outcome = machine.replica.handle(call.request, 0.0)
        machine.persist(list(outcome.persist), lambda: call.take(outcome.reply))

    # Gateways

    def reservation(self, name: str) -> Iterator[None]:
        """Reserve one token as the ledger does, and settle it some time later."""
        record = StoredRecord(f"budget/{name}", RESERVED, PROGRAM, "", 60.0, 1, b"")
        view = self.view
        first_replies = OwnerReplies()
        for target in all_members(view):
            request = ReserveRecord(view.group, view.epoch, target.disk_id, record)
            self.send(target, request, first_replies.handler_for(target))
        while not has_write_quorum(view, first_replies.acknowledged):
            yield
        self.complete.add(record.key)
        is_complete = not view.joining and has_read_quorum(view, first_replies.responders)
        others = first_replies.others(record.key)
        if not (is_complete and self.is_alone(others)):
            later_replies = OwnerReplies()
            view = self.view
            for target in all_members(view):
                request = ReadOwner(view.group, view.epoch, target.disk_id, PROGRAM)
                self.send(target, request, later_replies.handler_for(target))
            while not has_read_quorum(view, later_replies.responders):
                yield
            others = merged(others, later_replies.others(record.key))
        if not self.may_grant(others):
            return
        self.granted[name] = record.amount
        for _ in range(self.random.randrange(MAX_TURN_STEPS)):
            yield
        emitted = self.random.choice((0, 1))
        self.granted[name] = emitted
        settled = StoredRecord(record.key, SETTLED, PROGRAM, "", 60.0, emitted, b"")
        for target in all_members(self.view):
            request = WriteRecords(self.view.group, self.view.epoch, target.disk_id, [settled])
            self.send(target, request, lambda reply: None)

    @staticmethod
    def is_alone(others: dict[str, Amount]) -> bool:
        """Return whether every other turn that was found is settled."""
        return all(other.version == SETTLED for other in others.values())

    @staticmethod
    def may_grant(others: dict[str, Amount]) -> bool:
        """Return whether the budget allows one more token than the others reserved."""
        return sum(other.tokens for other in others.values()) + 1 <= BUDGET

    # Replicas

    def synchronisation(self, name: str) -> Iterator[None]:
        """Copy records to a machine as the synchroniser does."""
        machine = self.machines[name]
        replica, view = machine.replica, machine.replica.view
        if view is None or not replica.needs_synchronisation:
            return
        responders = {replica.disk_id} if replica.counts_for_reads else set()
        for source in view.members:
            if source.disk_id == replica.disk_id or has_read_quorum(view, responders):
                continue
            replies: list[object] = []
            self.send(source, InstallView(view), replies.append)
            yield from self._reply(replies)
            if not replies:
                continue
            replies.clear()
            self.send(source, ListKeys(view.group, view.epoch, source.disk_id), replies.append)
            yield from self._reply(replies)
            listed = replies.pop() if replies else None
            if not isinstance(listed, KeysReply) or not listed.is_reader:
                continue
            keys = replica.missing(listed.keys, listed.versions)
            fetch = FetchRecords(view.group, view.epoch, source.disk_id, keys)
            self.send(source, fetch, replies.append)
            yield from self._reply(replies)
            fetched = replies.pop() if replies else None
            if not isinstance(fetched, RecordsReply) or fetched.status is not ReplyStatus.OK:
                continue
            if machine.replica is not replica:
                return
            written: list[bool] = []
            left_s = dict(zip(listed.keys, listed.left_s, strict=True))
            machine.persist(
                replica.store_copied(fetched.records, left_s, 0.0),
                lambda w=written: w.append(True),
            )
            while not written:
                yield
            responders.add(source.disk_id)
        mark = replica.synchronisation_mark(view) if has_read_quorum(view, responders) else None
        if mark is not None and machine.replica is replica:
            machine.persist([mark], lambda: None)

    def _reply(self, replies: list[object]) -> Iterator[None]:
        """Wait for a reply, for ``REPLY_STEPS`` at most if there is such a bound."""
        steps = 0
        while not replies and (self.REPLY_STEPS is None or steps < self.REPLY_STEPS):
            steps += 1
            yield

    # The group

    def change_group(self) -> None:
        """Begin or end a change as the coordinator does."""
        registered = self.registered()
        statuses = {
            machine.replica.disk_id: machine.replica.status()
            for machine in self.present_machines().values()
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
        retiring = self.retiring | self.leaving
        found = planner.next_view(
            self.view, registered, self.alive(), retiring, busy, self.size, self.absent()
        )
        if found is not None:
            self.view = found

    def registered(self) -> dict[str, Member]:
        """Return the machines' newest registrations."""
        present = self.present_machines()
        return {name: member(machine.replica.disk_id) for name, machine in present.items()}

    def absent(self) -> set[str]:
        """Return the machines that count as absent; none here, see ``replacement_schedules``."""
        return set()

    def alive(self) -> set[str]:
        """Return the machines that answered the proposer of a change."""
        return set(self.present_machines()) - {self.random.choice(sorted(self.machines))}

    def present_machines(self) -> dict[str, Machine]:
        """Return the machines that are not removed."""
        return {name: one for name, one in self.machines.items() if name not in self.removed}

    @property
    def size(self) -> int:
        """Return the target number of replicas."""
        return 3

    @property
    def is_healthy(self) -> bool:
        """Return whether the group is settled and each member holds every complete record."""
        healthy = [
            known
            for known in self.view.members
            if self.machines[known.node_id].replica.disk_id == known.disk_id
            and self.machines[known.node_id].replica.counts_for_reads
        ]
        return not self.view.joining and len(healthy) == len(self.view.members)

    def lose_disk(self) -> None:
        """Give one machine an empty disk, if the group tolerates that now.

        With retirements a lost copy may not be recoverable (see ``check_copies``). A group that a
        lost disk left with one copy therefore loses no other disk until it has two copies again.
        A group that a retirement left with one copy must survive the loss.
        """
        is_last = self._lacks_copies and len(self.view.members) < MIN_COPIES
        if not self.is_healthy or (self._with_retirements and is_last):
            return
        self._lacks_copies = True
        self._replace_disk(self.random.choice(self.view.members).node_id)

    def _replace_disk(self, name: str) -> None:
        self.disks_lost += 1
        self.machines[name] = self._machine(f"{name}{self.disks_lost + 1}")

    # Retirements

    def is_retired(self, name: str) -> bool:
        """Return whether a retiring machine may be removed with its disk."""
        own = member(self.machines[name].replica.disk_id)
        return planner.is_released([self.view], own, "")

    def remove_retired(self) -> None:
        """Remove machines whose retirement is complete."""
        for name in sorted(self.retiring):
            if self.is_retired(name):
                self.retiring.discard(name)
                self.removed.add(name)
                self.retired += 1
                self._replace_disk(name)

    def change_machines(self) -> None:
        """Begin to retire a machine, or let a removed one return with an empty disk."""
        if self.removed and self.random.random() < 0.4:
            self.removed.discard(self.random.choice(sorted(self.removed)))
        else:
            self.retiring.add(self.random.choice(sorted(self.present_machines())))

    def deliver_view(self, machine: Machine) -> None:
        """Install the newest view from the store in a machine."""
        if member_of(self.view, machine.replica.disk_id) or machine.replica.view:
            machine.persist(machine.replica.install_view(self.view), lambda: None)

    # The schedule

    def _begin_reservations(self, count: int) -> None:
        """Begin several turns at the same time, as sub-agents do."""
        for _ in range(count):
            self.reservations += 1
            self.tasks.append(self.reservation(str(self.reservations)))

    def step(self) -> None:
        """Run one random step."""
        chance = self.random.random()
        names = sorted(self.machines)
        for _ in range(3):
            if self.calls:
                self._deliver()
            self.machines[self.random.choice(names)].sync()
        if self._with_compaction:
            self._compact_or_restart(names)
        if chance < 0.3:
            pass
        elif chance < 0.7:
            name = self.random.choice(names)
            self.deliver_view(self.machines[name])
            self.tasks.append(self.synchronisation(name))
        elif chance < 0.85:
            self.change_group()
        elif chance < 0.88:
            self.machines[self.random.choice(names)].lose_power()
        elif chance < 0.9:
            self.lose_disk()
        elif self._with_retirements and chance < 0.93:
            self.change_machines()
        else:
            self._begin_reservations(self.random.choice((1, 3)))
        for task in list(self.tasks):
            if next(task, "over") == "over":
                self.tasks.remove(task)
        self.remove_retired()
        if self.is_healthy and len(self.view.members) >= MIN_COPIES:
            self._lacks_copies = False
        for machine in self.machines.values():
            machine.replica.validate_state()

    def _compact_or_restart(self, names: list[str]) -> None:
        chance = self.random.random()
        if chance < 0.2:
            self.machines[self.random.choice(names)].compact()
        elif chance < 0.23:
            for machine in self.machines.values():
                machine.lose_power()

    def recover(self) -> None:
        """Let what is under way end, without faults.

        :raises AssertionError: if the group has no read quorum then.
        """
        for _ in range(RECOVERY_STEPS):
            for name, machine in self.machines.items():
                self.deliver_view(machine)
                self.tasks.append(self.synchronisation(name))
            for _ in range(8):
                if self.calls:
                    self._deliver()
            for machine in self.machines.values():
                machine.sync()
            self.tasks = [task for task in self.tasks if next(task, "over") != "over"]
            self.change_group()
        responders = [
            known.disk_id
            for known in self.view.members
            if self.machines[known.node_id].replica.disk_id == known.disk_id
            and self.machines[known.node_id].replica.counts_for_reads
        ]
        assert has_read_quorum(self.view, responders), f"{responders} of {self.view}"

    def check(self) -> None:
        """Raise AssertionError if the granted tokens exceed the budget."""
        assert sum(self.granted.values()) <= BUDGET, f"granted {self.granted} of {BUDGET}"

    def check_copies(self) -> None:
        """Raise AssertionError if no disk of the group holds a complete record any more."""
        held = {
            record.key
            for known in all_members(self.view)
            if self.machines[known.node_id].replica.disk_id == known.disk_id
            for record in self.machines[known.node_id].replica.table.all()
        }
        assert self.complete <= held, f"no copy is left of {self.complete - held}"

    def check_records(self) -> None:
        """Raise AssertionError if any current read quorum lacks a complete record."""
        view = self.view
        replicas = {machine.replica.disk_id: machine.replica for machine in self.machines.values()}
        responders = [
            known.disk_id
            for known in view.members
            if known.disk_id in replicas
            and replicas[known.disk_id].counts_for_reads
            and replicas[known.disk_id].epoch == view.epoch
        ]
        for quorum in combinations(responders, read_quorum(view.group, len(view.members))):
            held = {record.key for disk in quorum for record in replicas[disk].table.all()}
            assert self.complete <= held, f"lost {self.complete - held}"


def planner_first_epoch() -> int:
    """Return the epoch of a group's first view."""
    return 1


class Totals(NamedTuple):
    """Numbers of granted reservations and completed retirements."""

    granted: int
    retired: int


def run_record_schedules(
    count: int,
    duplicates: bool = False,
    with_retirements: bool = False,
    with_compaction: bool = False,
) -> Totals:
    """Run schedules; return their totals.

    :raises AssertionError: if a check failed; the text names the seed.
    """
    granted = retired = 0
    for seed in range(count):
        schedule = RecordSchedule(seed, duplicates, with_retirements, with_compaction)
        for step in range(MAX_STEPS):
            schedule.step()
            try:
                schedule.check()
                schedule.check_records()
                if with_retirements:
                    schedule.check_copies()
                if with_compaction and step == MAX_STEPS - 1:
                    schedule.recover()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error
        granted += len(schedule.granted)
        retired += schedule.retired
    return Totals(granted, retired)
