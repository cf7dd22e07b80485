"""Random walks through the states of a replica, each restored from log and from snapshot."""

import random

from features.support.record_model import member
from yarrowwall.clocks import Clock
from yarrowwall.messages.replicated import (
    GroupView,
    Member,
    RecordsKept,
    StoredRecord,
    SynchronisationKept,
)
from yarrowwall.replication.replica import LogRecord, RecordReplica, with_time

OWN = "a1"
DISKS = ("a1", "b1", "c1", "d1", "e1")
STEPS = 25


class StateWalk:
    """One replica, its log, and the views of its group.

    :param seed: determines every random choice.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 1000.0
        self.replica = RecordReplica("a", OWN)
        self.log: list[LogRecord] = []
        self._records = 0
        #: Epochs of views that revised a change.
        self._revised: set[int] = set()
        self.view = GroupView(0, 1, self._members(["a1", "b1", "c1"]), [])
        self._write(self.replica.install_view(self.view))

    @staticmethod
    def _members(disks: list[str]) -> list[Member]:
        return [member(disk) for disk in disks]

    def _write(self, records: list[LogRecord]) -> None:
        for record in records:
            self.log.append(with_time(record, Clock(self.now_s, self.now_s)))
            self.replica.mark_durable(record)

    def step(self) -> None:
        """Change the state in one way."""
        self.now_s += self.random.uniform(0.0, 20.0)
        kind = self.random.choice(("change", "change", "copy", "copy", "records", "compact"))
        if kind == "change":
            self._change_group()
        elif kind == "copy":
            self._finish_copy()
        elif kind == "records":
            self._store()
        else:
            clock = Clock(self.now_s, self.now_s)
            self.log = [with_time(one, clock) for one in self.replica.snapshot(self.now_s)]

    def _change_group(self) -> None:
        """Begin, revise or end a change; the replica may miss the view."""
        epoch = self.view.epoch + 1
        if self.view.joining and self.random.random() < 0.7:
            self.view = GroupView(0, epoch, self.view.joining, [])
        else:
            if self.view.joining:
                self._revised.add(epoch)
            disks = self.random.sample(DISKS, 3)
            self.view = GroupView(0, epoch, self.view.members, self._members(disks))
        if self.random.random() < 0.85:
            self._write(self.replica.install_view(self.view))

    def _finish_copy(self) -> None:
        if self.replica.view is not None and self.replica.needs_synchronisation:
            mark = self.replica.synchronisation_mark(self.replica.view)
            self._write([mark] if mark is not None else [])

    def _store(self) -> None:
        self._records += 1
        owner = f"o{self.random.randrange(7)}"
        record = StoredRecord(f"r{self._records}", 1, owner, "", 60.0, 1, b"")
        self.replica.table.put([record], self.now_s)
        self._write([RecordsKept([record])])

    def check(self) -> None:
        """Check that the log and a snapshot restore the state that was."""
        self.now_s += self.random.uniform(0.0, 50.0)
        clock = Clock(self.now_s, self.now_s)
        snapshot = [with_time(one, clock) for one in self.replica.snapshot(self.now_s)]
        for name, log in (("log", self.log), ("snapshot", snapshot)):
            restored = RecordReplica("a", OWN)
            restored.restore(log, clock)
            found, wanted = self._state(restored), self._state(self.replica)
            assert found == wanted, f"from the {name}: {found} instead of {wanted}"

        self._check_earlier_snapshot(snapshot, clock)

    def _check_earlier_snapshot(self, snapshot: list[LogRecord], clock: Clock) -> None:
        """Check that a snapshot of an earlier release restores whether the replica counts."""
        is_revised = self.replica.epoch in self._revised
        mark = SynchronisationKept(self.replica.synchronised_epoch, self.replica.counts_for_reads)
        rest = [one for one in snapshot if not isinstance(one, SynchronisationKept)]
        restored = RecordReplica("a", OWN)
        restored.restore([*rest[:1], mark, *rest[1:]], clock)
        if not is_revised or restored.counts_for_reads:
            assert restored.counts_for_reads == self.replica.counts_for_reads, "earlier snapshot"

    def _state(self, replica: RecordReplica) -> tuple[object, ...]:
        table = replica.table
        records = sorted(record.key for record in table.all())
        left_s = [round(table.key_left_s(key, self.now_s), 3) for key in records]
        return (
            replica.view,
            replica.counts_for_reads,
            replica.synchronised_epoch,
            replica.needs_synchronisation,
            records,
            left_s,
        )


def check_walks(count: int) -> int:
    """Walk through random states; return how many of them counted for reads.

    :raises AssertionError: with the seed, if a state was not restored.
    """
    counted = 0
    for seed in range(count):
        walk = StateWalk(seed)
        for step in range(STEPS):
            walk.step()
            try:
                walk.check()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}, step {step}: {error}") from error
            counted += walk.replica.counts_for_reads
    return counted
