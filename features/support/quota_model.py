"""Random schedules of issuers and gateways, with kills, partitions, pauses and changes of members.

Issuers and their leases are production code. Their environment is simulated: clocks that drift,
messages that are lost or delayed by seconds, disks that lose unsynced records. The model counts
the requests that arrive at servers, and no window may contain more than the limit.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from yarrowwall.clocks import Clock
from yarrowwall.messages.quotas import (
    LendingBegun,
    QuotaLent,
    QuotaReply,
    ReturnQuota,
    TakeQuota,
    TenantLimit,
)
from yarrowwall.messages.replicated import GroupView, Member
from yarrowwall.quorum import majority
from yarrowwall.quotas import quota_rules
from yarrowwall.quotas.issuer_lease import IssuerLease, ViewConfirmation
from yarrowwall.quotas.permit_issuer import PermitIssuer
from yarrowwall.quotas.permit_service import PermitService
from yarrowwall.quotas.quota_rules import QuotaRules
from yarrowwall.replication.views import disk_ids

END_S = 45.0
ISSUERS = 5
SPARES = 2
GATEWAYS = 6
TENANT = "alloy"
#: Three shares of five requests and two of six add up to the limit, so one more breaks it.
RULES = QuotaRules(5.0, 0.1, 3.0)
LIMIT = TenantLimit(1, 4.0, 2.0)
LOWERED = TenantLimit(2, 1.0, 1.0)
#: Seconds between two requests of a gateway. All together request many times the limit.
REQUEST_INTERVAL_S = 0.12
HEARTBEAT_INTERVAL_S = 0.4
ANSWER_TIMEOUT_S = 1.6
#: Largest relative drift of a clock.
DRIFT = 0.002


@dataclass
class ModelDisk:
    """The state of an issuer as restored from its disk."""

    replica: Any
    issuer: PermitIssuer
    lease: IssuerLease
    persist: Callable[..., None]


@dataclass
class _Replica:
    """The part of a record replica that the permit service uses."""

    disk_id: str
    epoch: int = 0


class _Log:
    """A decision log that discards everything."""

    def write(self, decision: object) -> None:
        """Discard a decision."""


class _Peers:
    """The confirmations that a machine has received."""

    def __init__(self) -> None:
        self.known: dict[str, ViewConfirmation] = {}

    def confirmations(self) -> dict[str, ViewConfirmation]:
        """Return the latest confirmation of each other machine."""
        return self.known


@dataclass
class Machine:
    """The machine of one issuer."""

    disk_id: str
    steady_offset_s: float
    rate: float
    wall_offset_s: float = 0.0
    log: list[Any] = field(default_factory=list)
    is_up: bool = True
    is_partitioned: bool = False
    incarnation: int = 0
    frozen_until_s: float = 0.0
    permits: PermitService | None = None
    disk: ModelDisk | None = None
    peers: _Peers = field(default_factory=_Peers)


class World:
    """A schedule and its outcome.

    :ivar arrived_s: Times at which requests arrived at servers.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.arrived_s: list[float] = []
        self.lowered_at_s = float("inf")
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        names = [f"d{number}" for number in range(ISSUERS + SPARES)]
        self.machines = {name: self._machine(name) for name in names}
        members = [Member(name, name, "127.0.0.1:1", "z") for name in names]
        self.by_disk = {member.disk_id: member for member in members}
        self.view = GroupView(0, 1, members[:ISSUERS], [])
        self.installed: dict[str, int] = dict.fromkeys(names, 0)
        for machine in self.machines.values():
            self.start(machine)
            self._install_view(machine, self.view)
        self.is_late = self.rng.random() < 0.5

    def _machine(self, name: str) -> Machine:
        drift = self.rng.uniform(-DRIFT, DRIFT)
        return Machine(name, self.rng.uniform(0.0, 1000.0), 1.0 + drift)

    # Time

    def at(self, delay_s: float, step: Callable[[], None]) -> None:
        """Schedule a step after some seconds."""
        self._number += 1
        heapq.heappush(self._steps, (self.now_s + delay_s, self._number, step))

    def run(self) -> None:
        """Run the schedule."""
        for machine in self.machines.values():
            self.at(self.rng.uniform(0.0, 0.4), lambda machine=machine: self._heartbeat(machine))
        for number in range(GATEWAYS):
            self.at(
                self.rng.uniform(0.0, REQUEST_INTERVAL_S),
                lambda number=number: self._gateway(number),
            )
        self._schedule_faults()
        while self._steps and self._steps[0][0] < END_S:
            self.now_s, _, step = heapq.heappop(self._steps)
            step()

    def clock(self, machine: Machine) -> Clock:
        """Return the time on a machine's clocks."""
        steady_s = machine.steady_offset_s + self.now_s * machine.rate
        return Clock(1_000_000.0 + self.now_s + machine.wall_offset_s, steady_s)

    def delay_s(self) -> float:
        """Return the delay of a message in seconds."""
        if self.is_late and self.rng.random() < 0.2:
            return self.rng.uniform(0.2, 2.0)
        return self.rng.uniform(0.0005, 0.004)

    def deliver(self, machine: Machine, step: Callable[[], None]) -> None:
        """Deliver a message to a machine unless it is lost; a frozen one receives it later."""
        if self.rng.random() < 0.01:
            return
        self.at(self.delay_s(), lambda: self._arrive(machine, step))

    def _arrive(self, machine: Machine, step: Callable[[], None]) -> None:
        if not machine.is_up:
            return
        if self.now_s < machine.frozen_until_s:
            self.at(machine.frozen_until_s - self.now_s, lambda: self._arrive(machine, step))
            return
        step()

    # Machines

    def start(self, machine: Machine) -> None:
        """Start an issuer's process from its disk."""
        machine.incarnation += 1
        machine.is_up = True
        replica = _Replica(machine.disk_id)
        lease = IssuerLease(machine.disk_id, RULES.counted_s)
        issuer = PermitIssuer(RULES, ISSUERS, lease.rank)
        machine.peers = _Peers()
        machine.disk = ModelDisk(
            replica,
            issuer,
            lease,
            lambda records, done=lambda: None, refused=lambda: None: self.persist(
                machine, records, done
            ),
        )
        machine.permits = PermitService(
            machine.disk, machine.peers, _Log(), lambda: self.clock(machine)
        )
        clock = self.clock(machine)
        for record in machine.log:
            restore(machine.disk, record, clock)

    def persist(self, machine: Machine, records: list[Any], done: Callable[[], None]) -> None:
        """Write records, which are durable once they are synced."""
        incarnation = machine.incarnation

        def synced() -> None:
            if machine.incarnation == incarnation and machine.is_up:
                machine.log += records
                done()

        self.at(self.rng.uniform(0.001, 0.01), synced)

    def _install_view(self, machine: Machine, view: GroupView) -> None:
        if view.epoch <= self.installed[machine.disk_id] or not machine.is_up:
            return
        self.installed[machine.disk_id] = view.epoch
        machine.log.append(view)
        machine.disk.replica.epoch = view.epoch
        machine.disk.lease.install_view(view, self.clock(machine).steady_s)

    def _heartbeat(self, machine: Machine) -> None:
        self.at(HEARTBEAT_INTERVAL_S, lambda: self._heartbeat(machine))
        if not machine.is_up or self.now_s < machine.frozen_until_s:
            return
        machine.permits.record_begun()
        for other in self.machines.values():
            if other is not machine and not (machine.is_partitioned or other.is_partitioned):
                self._request_confirmation(machine, other)

    def _request_confirmation(self, machine: Machine, other: Machine) -> None:
        sent_at_s = self.clock(machine).steady_s
        sent_s, incarnation = self.now_s, machine.incarnation

        def answer() -> None:
            epoch = self.installed[other.disk_id]
            self.deliver(machine, lambda: answered(epoch))

        def answered(epoch: int) -> None:
            if machine.incarnation == incarnation and self.now_s - sent_s < ANSWER_TIMEOUT_S:
                machine.peers.known[other.disk_id] = ViewConfirmation(epoch, sent_at_s)

        self.deliver(other, answer)

    # Faults

    def _schedule_faults(self) -> None:
        rng = self.rng
        for _ in range(rng.randrange(1, 6)):
            kinds = [self._kill, self._kill_all, self._freeze, self._jump_clock, self._partition]
            kind = rng.choice([*kinds, self._replace, self._replace])
            self.at(rng.uniform(1.0, END_S - 12.0), kind)
        if rng.random() < 0.3:
            self.at(rng.uniform(5.0, 25.0), self._lower_limit)

    def _kill(self, machine: Machine | None = None) -> None:
        machine = machine or self.rng.choice(list(self.machines.values()))
        machine.is_up = False
        is_reboot = self.rng.random() < 0.5
        if is_reboot:
            machine.steady_offset_s = -self.now_s * machine.rate
        self.at(self.rng.uniform(0.1, 2.0), lambda: machine.is_up or self.start(machine))

    def _kill_all(self) -> None:
        for machine in self.machines.values():
            self._kill(machine)

    def _freeze(self) -> None:
        machine = self.rng.choice(list(self.machines.values()))
        machine.frozen_until_s = self.now_s + self.rng.uniform(0.5, 8.0)

    def _jump_clock(self) -> None:
        """Let a machine's time of day jump, and restart its process in half of the cases."""
        machine = self.rng.choice(list(self.machines.values()))
        machine.wall_offset_s += self.rng.uniform(-20.0, 20.0)
        if self.rng.random() < 0.5:
            machine.is_up = False
            self.at(0.2, lambda: machine.is_up or self.start(machine))

    def _partition(self) -> None:
        machine = self.rng.choice(list(self.machines.values()))
        machine.is_partitioned = True
        self.at(self.rng.uniform(0.5, 10.0), lambda: setattr(machine, "is_partitioned", False))

    def _replace(self) -> None:
        """Replace a member that the others cannot reach but gateways may."""
        if self.view.joining:
            return
        members = disk_ids(self.view.members)
        spare = [disk for disk in self.machines if disk not in members]
        leaving = self.rng.choice(members)
        self.machines[leaving].is_partitioned = True
        self.at(self.rng.uniform(2.0, 20.0), lambda: self._reconnect(leaving))
        joining = [disk for disk in members if disk != leaving] + [self.rng.choice(spare)]
        self.at(1.6, lambda: self._propose(joining))

    def _reconnect(self, disk_id: str) -> None:
        self.machines[disk_id].is_partitioned = False

    def _propose(self, joining: list[str]) -> None:
        view = self.view
        if view.joining:
            return
        joining_members = [self.by_disk[disk] for disk in joining]
        self.view = GroupView(0, view.epoch + 1, view.members, joining_members)
        self._publish()
        self.at(0.3, self._settle)

    def _settle(self) -> None:
        """End a change once majorities of the old and of the new members know of it."""
        view = self.view
        for group in (view.members, view.joining):
            heard = sum(self.installed[disk] >= view.epoch for disk in disk_ids(group))
            if heard < majority(len(group)):
                self.at(0.3, self._settle)
                return
        self.view = GroupView(0, view.epoch + 1, view.joining, [])
        self._publish()

    def _publish(self) -> None:
        """Send the newest view to all machines repeatedly."""
        view = self.view
        for machine in self.machines.values():
            if not machine.is_partitioned:
                self.deliver(machine, lambda machine=machine: self._install_view(machine, view))
        if self.now_s < END_S - 1.0 and view is self.view:
            self.at(0.5, lambda: self._publish() if view is self.view else None)

    def _lower_limit(self) -> None:
        self.lowered_at_s = self.now_s

    # Gateways

    def _gateway(self, number: int) -> None:
        self.at(self.rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S, lambda: self._gateway(number))
        # A gateway may know an older view, or ask a replica that has just joined.
        machine = self.rng.choice(list(self.machines.values()))
        # Gateways receive a new limit within a second.
        is_lowered = self.now_s > self.lowered_at_s + self.rng.uniform(0.0, 1.0)
        limit = LOWERED if is_lowered else LIMIT
        request = TakeQuota(0, machine.disk_id, TENANT, limit, self.rng.choice([1, 2]), 0.0)
        asked_s = self.now_s

        def ask() -> None:
            incarnation = machine.incarnation

            def reply(answer: QuotaReply) -> None:
                if machine.incarnation == incarnation:
                    self.at(
                        self.delay_s(), lambda: self._granted(machine, request, answer, asked_s)
                    )

            machine.permits.issue(request, reply)

        self.deliver(machine, ask)

    def _granted(
        self, machine: Machine, request: TakeQuota, answer: QuotaReply, asked_s: float
    ) -> None:
        for _ in range(answer.granted):
            self._use_permit(machine, request, answer, asked_s)

    def _use_permit(
        self, machine: Machine, request: TakeQuota, answer: QuotaReply, asked_s: float
    ) -> None:
        left_s = permit_left_s(self, asked_s)
        if left_s <= 0.0:
            return
        if self.rng.random() < 0.1:
            returned = ReturnQuota(0, request.disk_id, TENANT, answer.ticket)
            self.deliver(machine, lambda: machine.permits.return_permit(returned))
            return
        delivery_s = self.rng.uniform(0.0, quota_rules.DELIVERY_SECONDS)
        wait_s = self.rng.choice([0.0, self.rng.uniform(0.0, left_s)])
        self.at(wait_s + delivery_s, lambda: self.arrived_s.append(self.now_s))

    # The invariant

    def excess(self) -> float:
        """Return the largest excess of any window over the limit; 0 if none exceeds it."""
        worst = 0.0
        arrived = sorted(self.arrived_s)
        first = 0
        for last, at_s in enumerate(arrived):
            while arrived[first] < at_s - RULES.window_s:
                first += 1
            # A lowered limit applies one window after every gateway knows of it.
            is_low = arrived[first] > self.lowered_at_s + 1.5 + RULES.counted_s
            limit = LOWERED if is_low else LIMIT
            worst = max(worst, last - first + 1 - RULES.max_requests(limit))
        return worst


def restore(disk: ModelDisk, record: Any, clock: Clock) -> None:
    """Restore a record as :class:`yarrowwall.quotas.replica_disk.ReplicaDisk` does."""
    if isinstance(record, QuotaLent):
        disk.issuer.restore(record, clock)
    elif isinstance(record, LendingBegun):
        disk.lease.restore_begun(clock.steady_s)
    else:
        disk.replica.epoch = record.epoch
        disk.lease.install_view(record, clock.steady_s)


def permit_left_s(world: World, asked_s: float) -> float:
    """Return the seconds for which a gateway may still use a permit."""
    return asked_s + quota_rules.PERMIT_SECONDS - world.now_s


def played(seed: int) -> World:
    """Return the outcome of a schedule."""
    world = World(seed)
    world.run()
    return world
