"""Random schedules of a zone group: partitions from the store, and all losses that it tolerates.

The replicas, the reservations and the copying are those of the record store's schedules. While
the zone is cut off, no change of the group is proposed and no view comes from the store; the
replicas and gateways of the zone still reach each other.
"""

from features.support.record_model import (
    MAX_STEPS,
    Machine,
    RecordSchedule,
    member,
)
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.replication.replica import FIRST_EPOCH
from yarrowwall.replication.views import ZONE_GROUPS_FROM, write_quorum

#: Probability of a step that a cut begins, and during a cut that it ends.
CUT_CHANCE = 0.04
HEAL_CHANCE = 0.06
#: Probability that all machines answer the proposer of a change.
ALL_ALIVE_CHANCE = 0.5
#: Most steps without cuts and losses until a group is complete again.
MAX_RECOVERY_STEPS = 600


class ZoneGroupSchedule(RecordSchedule):
    """One random schedule of a zone group.

    :param replicas: number of machines in the zone.
    :param losses: number of disks lost at once.
    """

    def __init__(self, seed: int, replicas: int, losses: int) -> None:
        self._losses = losses
        self._is_cut = False
        self._is_recovering = False
        super().__init__(seed)
        self.machines = {name: self._machine(name + "1") for name in "abcd"[:replicas]}
        group = ZONE_GROUPS_FROM * (losses + 1)
        members = [member(machine.replica.disk_id) for machine in self.machines.values()]
        self.view = GroupView(group, FIRST_EPOCH, members, [])
        for name in self.machines:
            self._install(name, self.view)

    @property
    def size(self) -> int:
        """Return the target number of replicas."""
        return len(self.machines)

    def alive(self) -> set[str]:
        """Return the machines that answered the proposer of a change: all, or all but one."""
        all_answer = self._is_recovering or self.random.random() < ALL_ALIVE_CHANCE
        return set(self.machines) if all_answer else super().alive()

    def change_group(self) -> None:
        """Change the group unless the zone is cut off from the store."""
        if not self._is_cut:
            super().change_group()

    def deliver_view(self, machine: Machine) -> None:
        """Install the newest view in a machine unless the zone is cut off from the store."""
        if not self._is_cut:
            super().deliver_view(machine)

    def lose_disk(self) -> None:
        """Give as many machines an empty disk as a healthy group tolerates."""
        if self._is_recovering:
            return
        for known in self._members_to_lose():
            self.disks_lost += 1
            name = known.node_id
            self.machines[name] = self._machine(f"{name}{self.disks_lost + 1}")

    def _members_to_lose(self) -> list[Member]:
        if not self.is_healthy:
            # A joining disk holds no record that the others lack.
            new = [one for one in self.view.joining if one not in self.view.members]
            return self.random.sample(new, 1) if new else []
        tolerated = write_quorum(self.view.group, len(self.view.members)) - 1
        return self.random.sample(self.view.members, min(self._losses, tolerated))

    def step(self) -> None:
        """Run one random step, and let cuts begin and end."""
        chance = self.random.random()
        self._is_cut = chance >= HEAL_CHANCE if self._is_cut else chance < CUT_CHANCE
        self._is_cut = self._is_cut and not self._is_recovering
        super().step()

    def recover(self) -> None:
        """Raise AssertionError if the group is not complete after cuts and losses have ended."""
        self._is_recovering = True
        for _ in range(MAX_RECOVERY_STEPS):
            self.step()
            if self.is_healthy and len(self.view.members) == self.size:
                self.check_records()
                return
        raise AssertionError(f"the group did not recover: {self.view}")

    @property
    def was_changed(self) -> bool:
        """Return whether the group has changed."""
        return self.view.epoch > FIRST_EPOCH


def run_zone_group_schedules(count: int, replicas: int, losses: int) -> tuple[int, int]:
    """Run schedules; return the numbers of granted reservations and of groups that changed.

    :raises AssertionError: if a check failed; the text names the seed.
    """
    granted = changed = 0
    for seed in range(count):
        schedule = ZoneGroupSchedule(seed, replicas, losses)
        try:
            for _ in range(MAX_STEPS):
                schedule.step()
                schedule.check()
                schedule.check_records()
            schedule.recover()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        granted += len(schedule.granted)
        changed += schedule.was_changed
    return granted, changed
