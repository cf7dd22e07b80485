"""Random schedules of a zone group: cuts from the store, and as many disks lost as it bears.

The replicas, the reservations and the copying are those of the record store's schedules. While
the zone is cut, no change of the group is proposed and nobody hears of one from the store; the
replicas and gateways of the zone go on among themselves.
"""

from features.support.record_model import (
    MOST_STEPS,
    Machine,
    RecordSchedule,
    member,
)
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.replication.replica import FIRST_EPOCH
from yarrowwall.replication.views import ZONE_GROUPS_FROM, write_quorum

#: Part of the steps at which a cut begins, and of those in a cut at which it ends.
CUT_CHANCE = 0.04
HEAL_CHANCE = 0.06
#: Part of the looks at a group at which no machine is silent.
ALL_ALIVE_CHANCE = 0.5
#: Steps without cuts and losses in which a group has to be whole again.
MOST_RECOVERY_STEPS = 600


class ZoneGroupSchedule(RecordSchedule):
    """One random schedule of a zone group.

    :param replicas: how many machines the zone has.
    :param losses: how many disks are lost at once.
    """

    def __init__(self, seed: int, replicas: int, losses: int) -> None:
        self._losses = losses
        self._is_cut = False
        self._is_over = False
        super().__init__(seed)
        self.machines = {name: self._machine(name + "1") for name in "abcd"[:replicas]}
        group = ZONE_GROUPS_FROM * (losses + 1)
        members = [member(machine.replica.disk_id) for machine in self.machines.values()]
        self.view = GroupView(group, FIRST_EPOCH, members, [])
        for name in self.machines:
            self._install(name, self.view)

    @property
    def size(self) -> int:
        """Return how many replicas are wanted."""
        return len(self.machines)

    def alive(self) -> set[str]:
        """Return the machines that answered whoever proposes a change: all, or all but one."""
        is_whole = self._is_over or self.random.random() < ALL_ALIVE_CHANCE
        return set(self.machines) if is_whole else super().alive()

    def change_group(self) -> None:
        """Change the group unless the zone is cut from the store."""
        if not self._is_cut:
            super().change_group()

    def tell_view(self, machine: Machine) -> None:
        """Let a machine hear of the newest view unless the zone is cut from the store."""
        if not self._is_cut:
            super().tell_view(machine)

    def lose_disk(self) -> None:
        """Give as many machines an empty disk as the group bears, if all of it is sound."""
        if self._is_over:
            return
        for known in self._to_lose():
            self.disks_lost += 1
            name = known.node_id
            self.machines[name] = self._machine(f"{name}{self.disks_lost + 1}")

    def _to_lose(self) -> list[Member]:
        if not self.is_sound:
            # A disk that joins holds nothing that others don't.
            new = [one for one in self.view.joining if one not in self.view.members]
            return self.random.sample(new, 1) if new else []
        borne = write_quorum(self.view.group, len(self.view.members)) - 1
        return self.random.sample(self.view.members, min(self._losses, borne))

    def step(self) -> None:
        """Do one random thing, and let cuts begin and end."""
        chance = self.random.random()
        self._is_cut = chance >= HEAL_CHANCE if self._is_cut else chance < CUT_CHANCE
        self._is_cut = self._is_cut and not self._is_over
        super().step()

    def recover(self) -> None:
        """Raise AssertionError if the group is not whole once cuts and losses are over."""
        self._is_over = True
        for _ in range(MOST_RECOVERY_STEPS):
            self.step()
            if self.is_sound and len(self.view.members) == self.size:
                self.check_records()
                return
        raise AssertionError(f"not whole again: {self.view}")

    @property
    def was_changed(self) -> bool:
        """Return whether the group has changed."""
        return self.view.epoch > FIRST_EPOCH


def run_zone_group_schedules(count: int, replicas: int, losses: int) -> tuple[int, int]:
    """Run schedules; return the reservations granted and the groups that changed.

    :raises AssertionError: naming the seed, if a promise was broken.
    """
    granted = changed = 0
    for seed in range(count):
        schedule = ZoneGroupSchedule(seed, replicas, losses)
        try:
            for _ in range(MOST_STEPS):
                schedule.step()
                schedule.check()
                schedule.check_records()
            schedule.recover()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        granted += len(schedule.granted)
        changed += schedule.was_changed
    return granted, changed
