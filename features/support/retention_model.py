"""Lines of turns over several retentions, on a virtual clock.

The ledger, the quorum client, the replicas and the expiry of their records are production code, as
in :mod:`features.support.zone_model`. Lines pause for up to a retention between two turns, come
through any zone, and branch. Machines are down for a while, and zones are cut off for longer than
a retention. Checked from outside is that every turn answered less than a retention ago is found
whole with its chain by any read quorum, that budgets hold, and that nothing is kept once all
programs are over.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

import eventlet

from features.support.virtual_time import now_s
from features.support.zone_model import (
    MAX_TOKENS,
    TOKENS_PER_EVENT,
    ZONES,
    Gateway,
    Machine,
    Program,
    Turn,
    ZoneWorld,
    run_zone_schedules,
)
from yarrowwall.budgets.turns import turn_key
from yarrowwall.exceptions import BudgetExhaustedError, StoreUncertainError, TurnUnknownError
from yarrowwall.messages.replicated import GroupView
from yarrowwall.model import Attempt, HeaderBlock, ProgramContext, RequestKind, Route
from yarrowwall.replication.expiry import EXPIRY_SECONDS
from yarrowwall.replication.table import RETENTION_MARGIN_SECONDS
from yarrowwall.replication.views import is_zone_group, read_quorum

RETENTION_S = 20.0
#: Seconds with lines: several times as long as a record without a successor is kept.
LINES_S = 3.0 * (RETENTION_S + RETENTION_MARGIN_SECONDS)
#: Seconds from the last answer until a turn counts as forgotten when the schedule's checks run.
CLIENT_S = 0.5
DEADLINE_S = 5.0
TRIES = 4
TRY_INTERVAL_S = 0.4
#: Shares of the answered turns that a branch or a sub-agent also goes on from.
BRANCH_SHARE = 0.08
CHECK_INTERVAL_S = 2.0
#: Seconds after the last turn until every replica has dropped its records: the longest retention
#: of a program's records where zones have groups, and some rounds of the replicas' checks.
END_S = 2.0 * RETENTION_S + 60.0 + RETENTION_MARGIN_SECONDS + 4.0 * EXPIRY_SECONDS
#: Seconds of the last tries of a turn.
LAST_TRIES_S = TRIES * (DEADLINE_S + TRY_INTERVAL_S)
ROUTE = Route(
    "talk", "host", "/talk/", RequestKind.STREAM, (), 5.0, 2, 1, True, RETENTION_S, False, False
)
BUDGET = 10 * MAX_TOKENS


@dataclass
class Answered:
    """A turn that was answered whole.

    :param chain: the ids of the turns up to this one, oldest first.
    :param prompt: the whole conversation up to and including this turn.
    """

    attempt_id: str
    chain: tuple[str, ...]
    prompt: bytes
    at_s: float

    @property
    def is_promised(self) -> bool:
        """Return whether it may be continued from now."""
        return now_s() < self.at_s + RETENTION_S


class RetentionWorld(ZoneWorld):
    """One random schedule."""

    loss = 0.03
    active_s = LINES_S
    change_interval_s = 0.5

    def __init__(self, seed: int) -> None:
        # One common group without zone groups, or two of them with zone groups.
        self.machines_per_zone = 1 + seed % 2
        super().__init__(seed)
        self.answered: list[Answered] = []
        self._programs = 0

    # Faults

    def _cut_zones(self) -> None:
        """Cut off zones, now and then for longer than a retention."""
        while now_s() < self.active_s:
            eventlet.sleep(self.random.uniform(5.0, 40.0))
            self.cut(self.random.choice(ZONES))
            self.counts["cuts"] += 1
            longest_s = self.random.choice((2.0, 2.0, 1.5 * RETENTION_S))
            eventlet.sleep(self.random.uniform(0.3, longest_s))
            self.cuts.clear()

    def _inject_fault(self) -> None:
        eventlet.sleep(self.random.expovariate(0.15))
        chance = self.random.random()
        machine = self.machines[self.random.choice(sorted(self.machines))]
        if chance < 0.35:
            eventlet.spawn_n(self._stop_for_a_while, machine)
        elif chance < 0.5:
            machine.lose_power()
        elif chance < 0.65:
            self.lose_disk()
        elif chance < 0.85:
            zone = self.random.choice(ZONES)
            self.gateways[zone][0].links.is_dead = True
            self.gateways[zone] = [self.gateways[zone][1], Gateway(self, zone)]

    def _stop_for_a_while(self, machine: Machine) -> None:
        """Stop a machine unless another one is down; its replicas start again from their logs."""
        if any(other.is_down for other in self.machines.values()):
            return
        machine.is_down = True
        self.counts["stops"] += 1
        eventlet.sleep(self.random.choice((2.6, 10.0, RETENTION_S + RETENTION_MARGIN_SECONDS)))
        machine.lose_power()
        machine.is_down = False

    # Lines of turns

    def run(self) -> None:
        """Run lines and faults, then check that nothing is left."""
        eventlet.spawn_n(self._check_regularly)
        super().run()

    def _run_programs(self) -> None:
        """Run one program after another."""
        while now_s() < self.active_s:
            self._programs += 1
            budget = self.random.choice((BUDGET, 10**6))
            program = Program(f"p{self._programs}", budget)
            self.programs.append(program)
            previous = self.random.choice(self._continuable()) if self._continuable() else None
            self._run_line(program, previous if self.random.random() < 0.1 else None)

    def _continuable(self) -> list[Answered]:
        return [turn for turn in self.answered[-50:] if turn.is_promised]

    def _run_line(self, program: Program, previous: Answered | None) -> None:
        """Run the turns of one line, with pauses of less than a retention."""
        zones = [self.random.choice(ZONES) for _ in range(self.random.choice((1, 3)))]
        for number in range(self.random.randint(2, 10)):
            if now_s() > self.active_s:
                return
            answered = self._run_next(program, previous, zones[number % len(zones)])
            if answered is None:
                return
            previous = answered
            if self.random.random() < BRANCH_SHARE:
                eventlet.spawn_n(self._run_line, program, answered)
            longest_s = self.random.choice((1.0, 1.0, RETENTION_S - CLIENT_S))
            pause_s = self.random.uniform(0.0, longest_s)
            eventlet.sleep(max(0.0, answered.at_s + pause_s - now_s()))

    def _run_next(self, program: Program, previous: Answered | None, zone: str) -> Answered | None:
        """Run a turn, with tries like a client's; return it if it was answered."""
        for _ in range(TRIES):
            gateway = self.random.choice(self.gateways[zone])
            answered = self._try_turn(program, gateway, previous)
            if answered is not None:
                return answered
            eventlet.sleep(TRY_INTERVAL_S)
        self.counts["lines given up"] += 1
        return None

    def _try_turn(
        self, program: Program, gateway: Gateway, previous: Answered | None
    ) -> Answered | None:
        self._attempts += 1
        turn = Turn(f"t{self._attempts}", program.program_id, MAX_TOKENS)
        program.turns.append(turn)
        is_promised = previous is not None and previous.is_promised
        attempt = _attempt(program, turn.attempt_id, previous)
        end_s = now_s() + DEADLINE_S
        try:
            grant = gateway.ledger.open_turn(attempt, ROUTE, TOKENS_PER_EVENT, lambda: end_s)
        except BudgetExhaustedError:
            self.counts["402"] += 1
            return None
        except (TurnUnknownError, StoreUncertainError) as error:
            self.counts["refused"] += 1
            is_lost = isinstance(error, TurnUnknownError) or "is missing" in str(error)
            if is_promised and is_lost and not gateway.is_dead:
                self._note_violation(f"{turn.attempt_id} after {previous}: {error}")
            return None
        expected = (previous.prompt if previous is not None else b"") + attempt.body
        if grant.body != expected:
            self._note_violation(f"the prompt of {turn.attempt_id} is {grant.body!r}")
        self._relay_turn(program, gateway, turn, grant, expected)
        if turn.attempt_id not in program.conversations:
            return None
        chain = (*(previous.chain if previous is not None else ()), turn.attempt_id)
        prompt = program.conversations[turn.attempt_id]
        answered = Answered(turn.attempt_id, chain, prompt, now_s())
        self.answered.append(answered)
        self.counts["late turns"] += len(chain) > 8
        return answered

    # Invariants

    def _check_regularly(self) -> None:
        while now_s() < self.active_s + RETENTION_S:
            eventlet.sleep(CHECK_INTERVAL_S)
            self._check_kept()

    def _check_kept(self) -> None:
        """Check that every read quorum has each promised turn with its chain."""
        lacking = {group: self._lacking(view) for group, view in self.views.items()}
        held = {group: any(True for _ in self._quorums(view)) for group, view in self.views.items()}
        common = [group for group in self.views if not is_zone_group(group)]
        if not all(held[group] for group in common):
            return
        for turn in self.answered[-200:]:
            if not turn.is_promised:
                continue
            self.counts["checks"] += 1
            keys = [turn_key(attempt_id) for attempt_id in turn.chain]
            in_common = all(lacking[self._group_of(key)](key) == 0 for key in keys)
            in_zone = any(
                all(lacking[group](key) == 0 for key in keys) or not held[group]
                for group in self.views
                if is_zone_group(group)
            )
            if not in_common and not in_zone:
                missing = [key for key in keys if lacking[self._group_of(key)](key)]
                self._note_violation(f"{turn.attempt_id} lacks {missing} of {len(keys)}")

    def _group_of(self, key: str) -> int:
        found = self.gateways["a"][1].views.group_of(key)
        assert found is not None
        return found

    def _quorums(self, view: GroupView) -> Iterator[list[set[str]]]:
        """Yield what the replicas of each read quorum hold."""
        responders = [
            {record.key for record in replica.table.all()}
            for member in view.members
            if (replica := self._replica_of(view, member.node_id)).disk_id == member.disk_id
            and replica.counts_for_reads
            and replica.epoch == view.epoch
        ]
        if not view.joining:
            size = read_quorum(view.group, len(view.members))
            yield from map(list, combinations(responders, size))

    def _replica_of(self, view: GroupView, node_id: str):
        return self.machines[node_id].disks[is_zone_group(view.group)].replica

    def _lacking(self, view: GroupView):
        """Return a function that counts the read quorums without a key."""
        quorums = [set().union(*quorum) for quorum in self._quorums(view)]
        return lambda key: sum(key not in quorum for quorum in quorums)

    def _check_conversations(self) -> None:
        """Check that the replicas of common groups have dropped everything in the end."""
        for machine in self.machines.values():
            machine.is_down = False
        eventlet.sleep(LAST_TRIES_S + END_S)
        for name, machine in self.machines.items():
            replica = machine.disks[False].replica
            if len(replica.table):
                left = [record.key for record in replica.table.all()][:3]
                self._note_violation(f"{name} still keeps {len(replica.table)} records: {left}")


def _attempt(program: Program, attempt_id: str, previous: Answered | None) -> Attempt:
    context = ProgramContext(
        program.program_id,
        program.budget,
        MAX_TOKENS,
        previous.attempt_id if previous is not None else None,
        None,
    )
    body = f"input of {attempt_id};".encode()
    return Attempt(
        attempt_id,
        "POST",
        "/talk/x",
        "host",
        HeaderBlock(),
        body,
        now_s(),
        now_s() + DEADLINE_S,
        context,
    )


def run_retention_schedules(count: int, first: int = 0) -> Counter[str]:
    """Run schedules and return the counts of their events.

    :raises AssertionError: with the seed, if an invariant was violated.
    """
    return run_zone_schedules(count, first, RetentionWorld)
