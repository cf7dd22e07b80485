"""Gateways and replicas in zones that are partitioned from one another, on a virtual clock.

The ledger, the quorum client, the replicas and their synchronisation are production code. Links,
disks and the coordinator of groups are simulated. Zones are partitioned in both directions or one,
gateways are killed, replicas lose power or their disks, groups change, and partitions heal. The
answers that callers got are checked from outside.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet.event import Event as Signal

from features.support.virtual_time import now_s, run_virtually
from yarrowwall import decisions
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.clocks import Clock
from yarrowwall.event_stream import Event
from yarrowwall.exceptions import BudgetExhaustedError, StoreUncertainError, TurnUnknownError
from yarrowwall.messages.replicated import GroupView, InstallView, Member, RecordsKept
from yarrowwall.model import Attempt, HeaderBlock, ProgramContext, RequestKind, Route
from yarrowwall.replication import planner
from yarrowwall.replication.exceptions import LinkDownError
from yarrowwall.replication.expiry import EXPIRY_SECONDS, RecordExpiry
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.replica import RecordReplica, with_time
from yarrowwall.replication.synchroniser import Synchroniser
from yarrowwall.replication.views import all_members, disk_ids, is_zone_group, zone_of

ZONES = ("a", "b", "c")
MACHINES_PER_ZONE = 2
#: Replicas of a group that tolerates the loss of one machine.
GROUP_SIZE = 3
LATENCY_S = 0.002
SYNC_S = 0.001
LOSS = 0.01
#: Seconds with programs and faults, and seconds without faults after them for recovery.
ACTIVE_S = 14.0
RECOVERY_S = 6.0
HOUSEKEEPING_INTERVAL_S = 0.4
TOKENS_PER_EVENT = 2
MAX_TOKENS = 12
BUDGETS = (30, 50, 100)
#: Number of concurrent programs, and the most seconds that one lasts.
CALLERS = 5
PROGRAM_S = 4.0


class ModelDisk:
    """A replica and its disk."""

    def __init__(self, replica: RecordReplica, log: list[Any]) -> None:
        self.replica = replica
        self.log = log
        self.is_lost = False

    def persist(self, records: list[Any], done: Callable[[], None], refused: Any = None) -> None:
        """Write log records after a short time, unless the machine loses power before."""
        eventlet.spawn_after(SYNC_S, self._write, records, done)

    def _write(self, records: list[Any], done: Callable[[], None]) -> None:
        if self.is_lost:
            return
        for record in records:
            self.log.append(with_time(record, Clock(now_s(), now_s())))
            self.replica.mark_durable(record)
        done()


class Machine:
    """A storage machine with two replicas, one for a common group and one for its zone's group."""

    def __init__(self, world: "ZoneWorld", node_id: str, zone: str) -> None:
        self.world = world
        self.node_id = node_id
        self.zone = zone
        self.disks_lost = 0
        #: Whether it neither gets nor answers requests.
        self.is_down = False
        self.views = GroupViews()
        self.disks: dict[bool, ModelDisk] = {}
        self.synchronisers: dict[bool, Synchroniser] = {}
        for of_zone in (False, True):
            self._begin(of_zone, RecordReplica(node_id, self._disk_id(of_zone)), [])

    def _disk_id(self, of_zone: bool) -> str:
        return f"{self.node_id}-{'zone' if of_zone else 'common'}-{self.disks_lost}"

    def _begin(self, of_zone: bool, replica: RecordReplica, log: list[Any]) -> None:
        disk = self.disks[of_zone] = ModelDisk(replica, log)
        links: Any = ModelLinks(self.world, self.zone)
        decision_log: Any = self.world
        self.synchronisers[of_zone] = Synchroniser(disk, links, decision_log, now_s)  # type: ignore[arg-type]
        self.synchronisers[of_zone].start()
        client = QuorumClient(self.zone, self.views, links, now_s)
        expiry = RecordExpiry(replica, client, self.views, decision_log, now_s)
        eventlet.spawn_n(self._expire, disk, expiry)

    def _expire(self, disk: ModelDisk, expiry: RecordExpiry) -> None:
        """Drop expired records until the process ends."""
        eventlet.sleep(self.world.random.uniform(0.0, EXPIRY_SECONDS))
        while not disk.is_lost:
            eventlet.sleep(EXPIRY_SECONDS)
            if not self.is_down:
                expiry.expire()

    def member(self, of_zone: bool) -> Member:
        """Return the machine as a member of a group."""
        disk_id = self.disks[of_zone].replica.disk_id
        return Member(self.node_id, disk_id, self.node_id, self.zone)

    def lose_power(self) -> None:
        """Restart from the logs on the disks."""
        for of_zone, disk in list(self.disks.items()):
            disk.is_lost = True
            replica = RecordReplica(self.node_id, disk.replica.disk_id)
            replica.restore(disk.log, Clock(now_s(), now_s()))
            self._begin(of_zone, replica, disk.log)

    def lose_disk(self) -> None:
        """Restart with empty disks."""
        self.disks_lost += 1
        for of_zone, disk in list(self.disks.items()):
            disk.is_lost = True
            self._begin(of_zone, RecordReplica(self.node_id, self._disk_id(of_zone)), [])

    def forget(self, key: str) -> None:
        """Restart its replicas without a record, as if its write had not arrived."""
        for disk in self.disks.values():
            disk.log[:] = [
                record
                for record in disk.log
                if not isinstance(record, RecordsKept) or record.records[0].key != key
            ]
        self.lose_power()

    def handle(self, request: Any, reply: Callable[[object], None]) -> None:
        """Answer a request once its records are on disk."""
        group = request.view.group if isinstance(request, InstallView) else request.group
        disk = self.disks[is_zone_group(group)]
        outcome = disk.replica.handle(request, now_s())
        if outcome.persist:
            disk.persist(list(outcome.persist), lambda: reply(outcome.reply))
        else:
            reply(outcome.reply)

    def take_view(self, view: GroupView) -> None:
        """Install a view from the platform's store."""
        self.views.update(view)
        disk = self.disks[is_zone_group(view.group)]
        known = disk.replica.view
        if disk.replica.disk_id in disk_ids(all_members(view)) or (
            known is not None and known.group == view.group
        ):
            found = disk.replica.install_view(view)
            if found:
                disk.persist(found, lambda: None)


class ModelLink:
    """A link from a zone to a machine, which loses messages across a partition."""

    def __init__(self, links: "ModelLinks", node_id: str) -> None:
        self._links = links
        self._world = links.world
        self._node_id = node_id
        self._number = 0
        self._waiting: dict[int, Callable[[object | None], None]] = {}

    def post(self, message: object, completion: Callable[[object | None], None]) -> int:
        """Send a request."""
        self._world.note_posted(message)
        self._number += 1
        self._waiting[self._number] = completion
        eventlet.spawn_after(self._latency_s(), self._arrive, self._number, message)
        return self._number

    def _latency_s(self) -> float:
        return LATENCY_S * self._world.random.uniform(0.5, 3.0)

    def _arrive(self, number: int, message: object) -> None:
        machine = self._world.machines[self._node_id]
        if (
            machine.is_down
            or self._links.is_dead
            or not self._world.is_delivered(self._links.zone, machine.zone)
        ):
            return
        machine.handle(message, lambda reply: self._answer(number, machine.zone, reply))

    def _answer(self, number: int, zone: str, reply: object) -> None:
        eventlet.spawn_after(self._latency_s(), self._return_reply, number, zone, reply)

    def _return_reply(self, number: int, zone: str, reply: object) -> None:
        if self._links.is_dead or not self._world.is_delivered(zone, self._links.zone):
            return
        completion = self._waiting.pop(number, None)
        if completion is not None:
            completion(reply)

    def forget(self, number: int, is_late: bool = False) -> None:
        """Stop waiting for a reply."""
        self._waiting.pop(number, None)

    def note_late(self, number: int) -> None:
        """Do nothing, since late replies do not matter here."""

    def call(self, message: object, timeout: float) -> object:
        """Send a request and return its reply."""
        arrived = Signal()
        number = self.post(message, arrived.send)
        reply = arrived.wait(timeout)
        self.forget(number)
        if reply is None:
            raise LinkDownError(self._node_id)
        return reply


class ModelLinks:
    """Links of one process.

    :param zone: The zone of the process.
    """

    def __init__(self, world: "ZoneWorld", zone: str) -> None:
        self.world = world
        self.zone = zone
        self.is_dead = False
        self._links: dict[str, ModelLink] = {}

    def get(self, address: str) -> ModelLink:
        """Return the link to a machine."""
        if address not in self._links:
            self._links[address] = ModelLink(self, address)
        return self._links[address]


class Gateway:
    """A gateway's ledger."""

    def __init__(self, world: "ZoneWorld", zone: str) -> None:
        self.world = world
        self.zone = zone
        self.links = ModelLinks(world, zone)
        self.views = GroupViews()
        links: Any = self.links
        log: Any = world
        self.client = QuorumClient(zone, self.views, links, now_s)
        self.ledger = ReplicatedLedger(zone, self.views, self.client, log, now_s)
        self.install_views()
        eventlet.spawn_n(self._run_housekeeping)

    @property
    def is_dead(self) -> bool:
        """Return whether the gateway was killed."""
        return self.links.is_dead

    def install_views(self) -> None:
        """Install the views from the platform's store."""
        for view in self.world.views.values():
            self.views.update(view)

    def _run_housekeeping(self) -> None:
        while not self.is_dead:
            eventlet.sleep(HOUSEKEEPING_INTERVAL_S)
            if self.world.reaches_store(self.zone):
                self.install_views()
            self.ledger.probe()


@dataclass
class Turn:
    """One turn as seen from outside.

    :param max_tokens: The most tokens that it may count for until its settlement is recorded.
    :param relayed: Tokens that its caller got.
    """

    attempt_id: str
    program_id: str
    max_tokens: int
    relayed: int = 0
    recorded_at: float | None = None


@dataclass
class Program:
    """A program as seen by its callers."""

    program_id: str
    budget: int
    turns: list[Turn] = field(default_factory=list)
    #: The whole conversation up to and including each answered turn.
    conversations: dict[str, bytes] = field(default_factory=dict)

    @property
    def relayed(self) -> int:
        """Return the tokens that its callers got."""
        return sum(turn.relayed for turn in self.turns)


class ZoneWorld:
    """One random schedule.

    :param seed: Determines every random choice.
    :cvar active_s: Seconds with programs and faults.
    :cvar recovery_s: Seconds without faults after them.
    :cvar change_interval_s: Seconds between two checks of the groups.
    :cvar machines_per_zone: A zone with one machine has no group of its own.
    :cvar loss: Share of the messages that are lost while there are faults.
    """

    machines_per_zone = MACHINES_PER_ZONE
    loss = LOSS
    active_s = ACTIVE_S
    recovery_s = RECOVERY_S
    change_interval_s = 0.2

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.cuts: set[tuple[str, str]] = set()
        self.store_in_cut = self.random.random() < 0.5
        self.machines: dict[str, Machine] = {}
        for zone in ZONES:
            for number in range(self.machines_per_zone):
                self.machines[f"{zone}{number}"] = Machine(self, f"{zone}{number}", zone)
        self.views: dict[int, GroupView] = {}
        common = [machine.member(False) for machine in self.machines.values()]
        of_zones = [machine.member(True) for machine in self.machines.values()]
        for view in [
            *planner.first_views(common, GROUP_SIZE),
            *planner.first_zone_views(of_zones, GROUP_SIZE),
        ]:
            self.views[view.group] = view
        self._publish_views()
        self.gateways = {zone: [Gateway(self, zone), Gateway(self, zone)] for zone in ZONES}
        self.programs: list[Program] = []
        self._attempts = 0
        self.violations: list[str] = []

    def note_posted(self, message: object) -> None:
        """Do nothing with a request that a process sends to a machine."""

    def write(self, decision: decisions.Decision) -> None:
        """Count logged decisions."""
        name = type(decision).__name__
        self.counts[name] += 1
        if isinstance(decision, decisions.PartsAsked):
            self.counts[f"parts {decision.verdict}"] += 1
            self.counts["zone alone"] += decision.is_alone and decision.zone_tokens > 0

    # Links, groups and disks

    def is_delivered(self, source: str, target: str) -> bool:
        """Return whether a message from one zone to another is delivered now."""
        is_lost = now_s() < self.active_s and self.random.random() < self.loss
        return (source, target) not in self.cuts and not is_lost

    def reaches_store(self, zone: str) -> bool:
        """Return whether a zone reaches the platform's store."""
        return self.store_in_cut or all(source != zone for source, _ in self.cuts)

    def cut(self, zone: str) -> None:
        """Partition a zone from the others, in both directions or one."""
        directions = self.random.choice(("both", "both", "in", "out"))
        for other in ZONES:
            if other != zone and directions != "in":
                self.cuts.add((zone, other))
            if other != zone and directions != "out":
                self.cuts.add((other, zone))

    def _publish_views(self) -> None:
        for machine in self.machines.values():
            if self.reaches_store(machine.zone) and not machine.is_down:
                for view in self.views.values():
                    machine.take_view(view)

    def change_groups(self) -> None:
        """Begin or end changes of groups like the coordinator."""
        reached = {
            name: machine
            for name, machine in self.machines.items()
            if not machine.is_down
            and self.reaches_store(machine.zone)
            and all(cut[0] != machine.zone for cut in self.cuts)
        }
        for group, view in list(self.views.items()):
            of_zone = is_zone_group(group)
            available = {
                name: machine
                for name, machine in reached.items()
                if not of_zone or machine.zone == zone_of(view)
            }
            found = self._changed(view, available, of_zone)
            if found is not None:
                self.views[group] = found
        self._publish_views()

    def _changed(
        self, view: GroupView, available: dict[str, Machine], of_zone: bool
    ) -> GroupView | None:
        replicas = [machine.disks[of_zone].replica for machine in available.values()]
        if view.joining:
            statuses = {replica.disk_id: replica.status() for replica in replicas}
            return planner.settled_view(view, statuses)
        registered = {name: machine.member(of_zone) for name, machine in available.items()}
        busy = {
            disk
            for other in self.views.values()
            if is_zone_group(other.group) == of_zone
            for disk in disk_ids(all_members(other))
        }
        return planner.next_view(view, registered, set(available), set(), busy, GROUP_SIZE)

    def lose_disk(self) -> None:
        """Give one machine empty disks, if all groups are complete."""
        for view in self.views.values():
            of_zone = is_zone_group(view.group)
            for member in view.members:
                replica = self.machines[member.node_id].disks[of_zone].replica
                is_sound = replica.disk_id == member.disk_id and replica.counts_for_reads
                if view.joining or not is_sound:
                    return
        self.machines[self.random.choice(sorted(self.machines))].lose_disk()
        self.counts["disks lost"] += 1

    # The schedule

    def run(self) -> None:
        """Run programs and faults, then let all recover and check the invariants."""
        for _ in range(CALLERS):
            eventlet.spawn_n(self._run_programs)
        eventlet.spawn_n(self._change)
        eventlet.spawn_n(self._cut_zones)
        while now_s() < self.active_s:
            self._inject_fault()
        self.cuts.clear()
        eventlet.sleep(self.recovery_s)
        self._check_conversations()

    def _change(self) -> None:
        while True:
            eventlet.sleep(self.change_interval_s)
            self.change_groups()

    def _cut_zones(self) -> None:
        while now_s() < self.active_s:
            eventlet.sleep(self.random.uniform(0.5, 3.0))
            self.cut(self.random.choice(ZONES))
            if self.random.random() < 0.2:
                self.cut(self.random.choice(ZONES))
            eventlet.sleep(self.random.uniform(0.3, 3.5))
            self.cuts.clear()

    def _inject_fault(self) -> None:
        eventlet.sleep(self.random.expovariate(1.5))
        chance = self.random.random()
        if chance < 0.2:
            self.machines[self.random.choice(sorted(self.machines))].lose_power()
        elif chance < 0.4:
            self.lose_disk()
        elif chance < 0.5:
            zone = self.random.choice(ZONES)
            self.gateways[zone][0].links.is_dead = True
            self.gateways[zone] = [self.gateways[zone][1], Gateway(self, zone)]

    def _run_programs(self) -> None:
        """Run one program after another."""
        while now_s() < self.active_s:
            program = Program(f"p{len(self.programs)}", self.random.choice(BUDGETS))
            self.programs.append(program)
            end_s = now_s() + self.random.uniform(1.0, PROGRAM_S)
            while now_s() < min(end_s, self.active_s):
                self._begin_turns(program)
                eventlet.sleep(self.random.expovariate(2.5))

    def _begin_turns(self, program: Program) -> None:
        """Begin a turn, or several at once like sub-agents."""
        home = self.random.choice(ZONES)
        for _ in range(self.random.choice((1, 1, 1, 3))):
            zone = home if self.random.random() < 0.7 else self.random.choice(ZONES)
            eventlet.spawn_n(self._run_turn, program, self.random.choice(self.gateways[zone]))

    def _run_turn(self, program: Program, gateway: Gateway) -> None:
        self._attempts += 1
        turn = Turn(f"t{self._attempts}", program.program_id, MAX_TOKENS)
        program.turns.append(turn)
        previous = (
            self.random.choice([None, *program.conversations]) if program.conversations else None
        )
        started_at = now_s()
        attempt = _attempt(program, turn.attempt_id, previous)
        try:
            grant = gateway.ledger.open_turn(
                attempt, ROUTE, TOKENS_PER_EVENT, lambda: started_at + 5.0
            )
        except BudgetExhaustedError:
            self.counts["402"] += 1
            self._check_exhausted(program, turn, started_at)
        except TurnUnknownError:
            self._note_violation(f"404 for {previous}")
        except StoreUncertainError:
            self.counts["503"] += 1
        else:
            expected = program.conversations.get(previous or "", b"") + attempt.body
            self._check_first(program, grant.is_first, started_at)
            if grant.body != expected:
                self._note_violation(f"the prompt of {turn.attempt_id} is {grant.body!r}")
            self._relay_turn(program, gateway, turn, grant, expected)
        self._await_record(gateway, turn)

    def _relay_turn(
        self, program: Program, gateway: Gateway, turn: Turn, grant: Any, prompt: bytes
    ) -> None:
        events: list[Event] = []
        try:
            for number in range(self.random.randint(1, MAX_TOKENS // TOKENS_PER_EVENT)):
                eventlet.sleep(self.random.uniform(0.0, 0.05))
                data = f"{turn.attempt_id}.{number}"
                events.append(Event(f"data: {data}\n\n".encode(), str(number)))
                grant.ensure_granted(events)
                if gateway.is_dead:
                    return
                turn.relayed += TOKENS_PER_EVENT
                if program.relayed > program.budget:
                    self._note_violation(f"{program.relayed} of {program.budget} tokens relayed")
            grant.complete([], events, "server")
            if not gateway.is_dead:
                output = b"".join(event.data + b"\n" for event in events)
                program.conversations[turn.attempt_id] = prompt + output
                self.counts["answered"] += 1
        except StoreUncertainError:
            self.counts["broken off"] += 1
        finally:
            grant.close(events, "server")

    def _await_record(self, gateway: Gateway, turn: Turn) -> None:
        """Note when all queued records of a turn are written."""
        while not gateway.is_dead and now_s() < self.active_s + self.recovery_s:
            if not gateway.ledger.has_unsettled:
                turn.recorded_at = now_s()
                return
            eventlet.sleep(0.05)

    # Invariants

    def _note_violation(self, text: str) -> None:
        self.violations.append(f"at {now_s():.3f}: {text}")

    def _check_exhausted(self, program: Program, turn: Turn, started_at: float) -> None:
        """Check that a turn refused with 402 does not fit along with all that may still count."""
        used = 0
        for other in program.turns:
            if other is turn:
                continue
            is_recorded = other.recorded_at is not None and other.recorded_at < started_at
            used += other.relayed if is_recorded else other.max_tokens
        if used + turn.max_tokens <= program.budget:
            self._note_violation(f"402 for {turn.attempt_id}, {used} of {program.budget} are used")

    def _check_first(self, program: Program, is_first: bool, started_at: float) -> None:
        """Check that a turn is not granted as the first if another one's tokens are recorded."""
        for other in program.turns:
            is_recorded = other.recorded_at is not None and other.recorded_at < started_at
            if is_first and is_recorded and other.relayed:
                self._note_violation(f"{program.program_id} counts as new after {other.attempt_id}")

    def _check_conversations(self) -> None:
        """Check that new gateways in every zone find every answered turn."""
        for zone in ZONES:
            gateway = Gateway(self, zone)
            for program in self.programs:
                for attempt_id, prompt in program.conversations.items():
                    self._check_found(gateway, program, attempt_id, prompt)

    def _check_found(
        self, gateway: Gateway, program: Program, attempt_id: str, prompt: bytes
    ) -> None:
        unbounded = Program(f"later-{program.program_id}", 10**6)
        attempt = _attempt(unbounded, f"check-{attempt_id}", attempt_id)
        end_s = now_s() + 5.0
        try:
            grant = gateway.ledger.open_turn(attempt, ROUTE, TOKENS_PER_EVENT, lambda: end_s)
        except (TurnUnknownError, StoreUncertainError) as error:
            self._note_violation(f"{attempt_id} is not found at the end: {error!r}")
            return
        if grant.body != prompt + attempt.body:
            self._note_violation(f"{attempt_id} has another history at the end")
        grant.close([], "server")


ROUTE = Route(
    "talk", "host", "/talk/", RequestKind.STREAM, (), 5.0, 2, 1, True, 600.0, False, False
)


def _attempt(program: Program, attempt_id: str, previous: str | None) -> Attempt:
    context = ProgramContext(program.program_id, program.budget, MAX_TOKENS, previous, None)
    body = f"input of {attempt_id};".encode()
    return Attempt(
        attempt_id, "POST", "/talk/x", "host", HeaderBlock(), body, now_s(), now_s() + 5.0, context
    )


def run_zone_schedules(
    count: int, first: int = 0, make_world: Callable[[int], ZoneWorld] = ZoneWorld
) -> Counter[str]:
    """Run schedules and return the counts of their events.

    :param make_world: returns the world of a seed.
    :raises AssertionError: With the seed, if an invariant was violated.
    """
    counts: Counter[str] = Counter()
    for seed in range(first, first + count):
        counts += run_virtually(lambda seed=seed: _run_schedule(make_world(seed), seed))
    return counts


def _run_schedule(world: ZoneWorld, seed: int) -> Counter[str]:
    world.run()
    assert not world.violations, f"seed {seed}: {world.violations[:3]}"
    return world.counts
