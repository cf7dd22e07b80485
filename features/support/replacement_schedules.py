"""Random schedules of machines that are replaced, removed or lost, and readers of older views."""

from collections.abc import Iterator
from typing import NamedTuple

from features.support.record_model import (
    MAX_STEPS,
    MIN_COPIES,
    PROGRAM,
    OwnerReplies,
    RecordSchedule,
    member,
)
from yarrowwall.messages.replicated import GroupView, Member, ReadOwner
from yarrowwall.replication.views import (
    all_members,
    has_read_quorum,
    has_write_quorum,
    member_of,
)

#: Steps for which a reader may use a view that has been replaced, and those of a lookup.
STALE_VIEWS = 4
LOOKUP_STEPS = 30
#: Rounds without faults at the end of a schedule.
RECOVERY_ROUNDS = 40
#: Steps for which a process that is to end waits for its group.
HANDOVER_STEPS = 25
_LOOKUP_SHARE = 0.3


class ReplacementTotals(NamedTuple):
    """What happened in schedules.

    :param absences: lookups of a complete record that were answered with a proof or the record.
    """

    handed_over: int
    taken_away: int
    lost: int
    small_groups: int
    absences: int


class ReplacementSchedule(RecordSchedule):
    """A schedule of two to four machines with disks.

    Machines are stopped and end after they have left their group, for good or for a restart. Within
    the tolerance of one loss at a time, others lose their disks or are taken away without notice,
    also right after a machine has ended. Readers look for complete records by views that may be
    old.
    """

    REPLY_STEPS = 15

    def __init__(self, seed: int) -> None:
        super().__init__(seed, with_retirements=True)
        self.views = [self.view]
        self.ends_at: dict[str, int] = {}
        #: The disk that each removed machine had.
        self.last_disks: dict[str, str] = {}
        self._is_recovering = False
        self.steps = self.handed_over = self.taken_away = self.lost = 0
        self.small_groups = self.absences = 0

    def step(self) -> None:
        """Run one random step."""
        self.steps += 1
        if self.complete and self.random.random() < _LOOKUP_SHARE:
            key = self.random.choice(sorted(self.complete))
            self.tasks.append(self.lookup(key))
        super().step()
        self._end_processes()

    def change_group(self) -> None:
        """Begin or end a change; remember the views."""
        super().change_group()
        if self.view != self.views[-1]:
            self.views.append(self.view)
            self.small_groups += len(self.view.members) == 2

    def registered(self) -> dict[str, Member]:
        """Return the registrations, which a removed machine leaves behind."""
        gone = {name: member(self.last_disks[name]) for name in self.removed}
        return super().registered() | gone

    def absent(self) -> set[str]:
        """Return the removed machines, and at times one that was only not heard for long."""
        if self._is_recovering:
            return self.removed
        silent = (
            {self.random.choice(sorted(self.machines))} if self.random.random() < 0.3 else set()
        )
        return self.removed | silent

    def alive(self) -> set[str]:
        """Return the machines that answered the proposer of a change, not long ago."""
        if self._is_recovering:
            return set(self.present_machines())
        return super().alive() - self.absent()

    # Machines that end

    def change_machines(self) -> None:
        """Stop a machine, or retire one, or let one return."""
        stoppable = sorted(set(self.present_machines()) - self.leaving - self.retiring)
        if stoppable and self.random.random() < 0.5:
            name = self.random.choice(stoppable)
            self.leaving.add(name)
            self.ends_at[name] = self.steps + HANDOVER_STEPS
        else:
            super().change_machines()

    def _end_processes(self) -> None:
        for name in sorted(self.leaving):
            if not self.has_handed_over(name):
                if self.steps >= self.ends_at[name]:
                    self._restart(name)
                continue
            self.handed_over += 1
            if self.random.random() < 0.5:
                self._restart(name)
                continue
            self.leaving.discard(name)
            self.removed.add(name)
            self._replace_disk(name)
            if self.random.random() < 0.5:
                self.lose_disk()

    def _restart(self, name: str) -> None:
        self.leaving.discard(name)
        self.machines[name].lose_power()

    def has_handed_over(self, name: str) -> bool:
        """Return whether a machine that ends is in no group any more."""
        return member_of(self.view, self.machines[name].replica.disk_id) is None

    def _replace_disk(self, name: str) -> None:
        self.last_disks[name] = self.machines[name].replica.disk_id
        super()._replace_disk(name)

    def lose_disk(self) -> None:
        """Lose a disk, or a machine with its disk, if the group tolerates that now."""
        intact = {known.node_id: known.disk_id for known in self.view.members}
        before = self.disks_lost
        super().lose_disk()
        if self.disks_lost == before:
            return
        self.lost += 1
        name = next(name for name in intact if self.last_disks.get(name) == intact[name])
        if len(intact) > MIN_COPIES and self.random.random() < 0.4:
            self.taken_away += 1
            self.removed.add(name)
            self.leaving.discard(name)
            self.retiring.discard(name)

    # Readers

    def lookup(self, key: str) -> Iterator[None]:
        """Look for a complete record by a view that may have been replaced.

        :raises AssertionError: if the replies prove that there is none.
        """
        view = self.random.choice(self.views[-STALE_VIEWS:])
        replies = OwnerReplies()
        for target in all_members(view):
            request = ReadOwner(view.group, view.epoch, target.disk_id, PROGRAM)
            self.send(target, request, replies.handler_for(target))
        for _ in range(LOOKUP_STEPS):
            if key in replies.others("") or self.is_proof(view, replies):
                self.absences += 1
                assert key in replies.others(""), f"{key} is unknown to a reader of {view}"
                return
            yield

    @staticmethod
    def is_proof(view: GroupView, replies: OwnerReplies) -> bool:
        """Return whether replies without a record prove that it has no complete write."""
        is_written = has_write_quorum(view, replies.acknowledged)
        return is_written and has_read_quorum(view, replies.responders)

    def recover(self) -> None:
        """Let what is under way end, without faults.

        :raises AssertionError: if the group is not whole then.
        """
        self._is_recovering = True
        for name in sorted(self.leaving):
            self._restart(name)
        for _ in range(RECOVERY_ROUNDS):
            for name, machine in self.present_machines().items():
                self.deliver_view(machine)
                self.tasks.append(self.synchronisation(name))
            for _ in range(3 * self.REPLY_STEPS):
                self.tasks = [task for task in self.tasks if next(task, "over") != "over"]
                self._deliver_all()
            self.tasks.clear()
            self.change_group()
        assert self.is_healthy, f"{self.view} of {sorted(self.present_machines())}"

    def _deliver_all(self) -> None:
        """Deliver what is under way."""
        while self.calls:
            self._deliver()
        for machine in self.machines.values():
            while machine.waiting:
                machine.sync()


def run_replacement_schedules(count: int, first: int = 0) -> ReplacementTotals:
    """Run schedules; return their totals.

    :raises AssertionError: if a check failed; the text names the seed.
    """
    totals = ReplacementTotals(0, 0, 0, 0, 0)
    for seed in range(first, first + count):
        schedule = ReplacementSchedule(seed)
        try:
            for _ in range(MAX_STEPS):
                schedule.step()
                schedule.check()
                schedule.check_records()
                schedule.check_copies()
            schedule.recover()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        own = (getattr(schedule, name) for name in ReplacementTotals._fields)
        totals = ReplacementTotals(*map(sum, zip(totals, own, strict=True)))
    return totals
