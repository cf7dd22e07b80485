"""Reservations of a program's tokens in the record store, over all parts of its budget.

A reservation is written to a quorum first, whose replies tell what else is held of the
program there. If all of that is settled, it is granted by that alone; else all
reservations of the program are read from a read quorum afterwards. Of any reservations
that were granted in a group, one sees all the others (see docs/design/0004-platform.md), so
their sum never exceeds the group's part, without a leader or an order among gateways. A
reservation that is not settled, since its gateway died, counts in full.

The common group is asked first, and alone as long as it is in reach and its part holds the
turn. What is missing is asked of the zones' groups, the own zone's first.
"""

from collections.abc import Sequence

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.budget_requests import (
    TRACE_PREFIX,
    BudgetRequest,
    GroupState,
    Reservation,
    TokenClaim,
    group_state,
)
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.settlements import SettlementQueues
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import BudgetExhaustedError, StoreUncertainError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.policy.budget_parts import (
    ClaimState,
    Verdict,
    allocate_spent,
    decide_grant,
    divide_budget,
    fits_with_all_claims,
)
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import OPERATION_SECONDS, OwnerReading, QuorumClient
from yarrowwall.replication.rounds import Amount, merged

#: Looks at the reservations of a program whose turns came at once, and seconds between.
CONTENTION_LOOKS = 5
CONTENTION_SECONDS = 0.05
#: Seconds that a turn waits for a group if another one can serve it. An answer takes
#: milliseconds, and a silent member is passed over within 0.08 s. The last resort, which is the own
#: zone's group if the common one is out of reach, has as long as any operation.
FALL_BACK_SECONDS = 0.25
#: Looks whether groups are back that a turn lacks tokens of, and seconds between. A process that
#: starts again takes a second, and most groups are back sooner.
RECOVERY_LOOKS = 10
RECOVERY_LOOK_SECONDS = 0.05
#: Seconds out of reach after which a group is not waited for.
BRIEF_OUTAGE_SECONDS = 2.0
#: Seconds without the common group in which a zone grants from its part alone. What a program
#: spent before must not be forgotten in the common group while it lives on in its zone, so
#: records there are kept that much longer, and programs that pause before and after the cut
#: twice as long. At 300 turns a second this is some 5 MB on each replica.
ALONE_SECONDS = 60.0
#: Seconds that spending from a zone's part is remembered. A program's records in the common group
#: are renewed by its turns there and those in its zone are not, so this has to outlive programs.
ZONE_RETENTION_SECONDS = 86400.0


class Reservations:
    """Grants tokens by what the record store holds."""

    def __init__(
        self,
        client: QuorumClient,
        zones: ZoneGroups,
        reach: GroupReachability,
        queues: SettlementQueues,
        log: DecisionLog,
    ) -> None:
        self._client = client
        self._zones = zones
        self._reach = reach
        self._queues = queues
        self._log = log

    def reserve(self, wanted: TokenClaim, budget: int) -> Reservation:
        """Return a granted reservation.

        :raises BudgetExhaustedError: if the budget does not hold it.
        :raises StoreUncertainError: if too few groups could be asked.
        """
        request = BudgetRequest(
            wanted, divide_budget(budget, self._zones.part_count), self._zones.zone_count
        )
        try:
            verdict = self._ask_groups(request)
            if verdict is Verdict.SHORT:
                verdict = self._ask_recovered(request)
        except BaseException:
            # The caller has left; a claim that nobody settles would count in full.
            self._hand_back(request)
            raise
        self._note_decided(request, budget, verdict)
        if verdict in (Verdict.GRANTED, Verdict.SHORT):
            return self._granted(request)
        self._hand_back(request)
        if verdict is Verdict.EXHAUSTED:
            self._mark_spent(request)
            raise BudgetExhaustedError(f"{request.used} of {budget} tokens are used")
        raise StoreUncertainError(request.failure or _uncertainty(request.unreachable))

    def _hand_back(self, request: BudgetRequest) -> None:
        """Let go of all that a turn has claimed and was not granted."""
        for group in request.asked:
            self._queues.add(group, self._record(group, request.wanted, ClaimState.SETTLED, 0))

    def _mark_spent(self, request: BudgetRequest) -> None:
        """Let the common group tell the program's next turns that none can ever fit."""
        key = request.spent_mark
        if key is not None:
            wanted = request.wanted
            self._queues.add(wanted.common, self._marker(wanted, key, ""))

    def settle(self, reserved: Reservation, tokens: int, server_id: str) -> None:
        """Replace a reservation by what was emitted, soon."""
        for group, record in self.settled(reserved, tokens, server_id):
            self._queues.add(group, record)

    def settled(
        self, reserved: Reservation, tokens: int, server_id: str
    ) -> list[tuple[int, StoredRecord]]:
        """Return the records that replace a reservation by what was emitted, with their groups."""
        wanted = reserved.wanted
        spent = allocate_spent(reserved.pieces, tokens)
        found = [
            (group, self._record(group, wanted, ClaimState.SETTLED, amount, server_id))
            for group, amount in spent.items()
        ]
        if tokens and not spent.get(wanted.common):
            found.append((wanted.common, self._trace(wanted, server_id)))
        return found

    # Records

    def _record(
        self,
        group: int,
        wanted: TokenClaim,
        state: ClaimState,
        amount: int,
        server_id: str = "",
    ) -> StoredRecord:
        """Return a record of what a turn holds of a group's part.

        :param server_id: where the turn ran; the program's next turn had better go there.
        """
        retention = self._retention(group, wanted.retention)
        owner = wanted.program_id
        return StoredRecord(wanted.key, state, owner, "", retention, amount, server_id.encode())

    def _trace(self, wanted: TokenClaim, server_id: str) -> StoredRecord:
        """Return the record that tells the common group of a turn that ran without it."""
        key = f"{TRACE_PREFIX}{wanted.program_id}/{wanted.attempt_id}"
        return self._marker(wanted, key, server_id)

    def _marker(self, wanted: TokenClaim, key: str, server_id: str) -> StoredRecord:
        """Return a record of no tokens in a program's common group."""
        retention = self._retention(wanted.common, wanted.retention)
        owner = wanted.program_id
        return StoredRecord(key, ClaimState.SETTLED, owner, "", retention, 0, server_id.encode())

    def _retention(self, group: int, wanted: float) -> float:
        """Return for how long a record is kept in a group, given its route's retention."""
        if not self._zones.part_count:
            return wanted
        if self._zones.is_zone_group(group):
            return max(wanted, ZONE_RETENTION_SECONDS)
        return 2.0 * wanted + ALONE_SECONDS

    # Asking

    def _ask_groups(self, request: BudgetRequest) -> Verdict:
        """Claim tokens of one group after the other until the turn has what it wants."""
        for group in self._zones.common_first(request.common):
            if self._reach.is_unreachable(group) or not self._may_ask(request, group):
                request.unreachable.append(group)
                request.failure = request.failure or self._client.loss(group)
                continue
            try:
                self._claim(request, group)
            except NoQuorumError as error:
                self._note_failed(request, group, error)
                continue
            if request.missing <= 0:
                return Verdict.GRANTED
            if request.is_exhausted:
                return Verdict.EXHAUSTED
        return self._decide(request)

    def _ask_recovered(self, request: BudgetRequest) -> Verdict:
        """Ask groups that are back after a moment, before a turn begins with less than it wants."""
        verdict = Verdict.SHORT
        for _ in range(RECOVERY_LOOKS):
            awaited = [group for group in request.unreachable if self._is_brief_outage(group)]
            if not awaited or verdict is not Verdict.SHORT:
                break
            eventlet.sleep(RECOVERY_LOOK_SECONDS)
            back = [group for group in awaited if not self._reach.is_unreachable(group)]
            for group in back:
                self._ask_again(request, group)
            if back:
                verdict = Verdict.GRANTED if request.missing <= 0 else self._decide(request)
        return verdict

    def _is_brief_outage(self, group: int) -> bool:
        return self._reach.unreachable_seconds(group) < BRIEF_OUTAGE_SECONDS

    def _ask_again(self, request: BudgetRequest, group: int) -> None:
        request.unreachable.remove(group)
        if request.missing <= 0:
            return
        try:
            self._claim(request, group)
        except NoQuorumError as error:
            self._note_failed(request, group, error)

    def _may_ask(self, request: BudgetRequest, group: int) -> bool:
        """Return whether a group may grant by what is known of the common one."""
        if group == request.common or request.common in request.held:
            return True
        return self._reach.seconds_since_answer(request.common) < ALONE_SECONDS

    def _note_failed(self, request: BudgetRequest, group: int, error: NoQuorumError) -> None:
        request.unreachable.append(group)
        request.failure = str(error)
        if self._zones.part_count:
            self._reach.note_failed(group)

    def _claim(self, request: BudgetRequest, group: int) -> None:
        """Write what is still missing to a group; take in what else there is of the program.

        :raises NoQuorumError: if the group does not answer in time.
        """
        wanted = request.wanted
        missing = request.missing
        # Also a write without an answer may have arrived.
        request.asked[group] = missing
        record = self._record(group, wanted, ClaimState.RESERVED, missing)
        reading = self._client.reserve(group, record, timeout=self._wait_s(group, request))
        held = group_state(_others(reading, wanted), reading.note)
        if not (reading.is_complete and held.is_settled):
            held = self._look(request, group, held)
        self._reach.note_reached(group)
        request.take(group, held)

    def _look(self, request: BudgetRequest, group: int, before: GroupState) -> GroupState:
        """Return what a group holds of a program now.

        :raises NoQuorumError: if the group does not answer in time.
        """
        wanted = request.wanted
        wait_s = self._wait_s(group, request)
        reading = self._client.read_amounts(group, wanted.program_id, timeout=wait_s)
        # A reservation that was met while writing may not be complete yet.
        amounts = merged(before.amounts, _others(reading, wanted))
        return group_state(amounts, reading.note)

    def _decide(self, request: BudgetRequest) -> Verdict:
        """Return what becomes of a turn that no group's part holds alone.

        Turns that come at once all see one another. If not all of them fit, those
        behind in the order of keys give up at once, and the ones in front look again.
        """
        verdict = self._judge(request)
        for _ in range(CONTENTION_LOOKS - 1):
            if verdict is not Verdict.CONTENDED:
                return verdict
            eventlet.sleep(CONTENTION_SECONDS)
            self._look_again(request)
            verdict = self._judge(request)
        is_full = not fits_with_all_claims(request.readings, request.wanted.tokens)
        if verdict is Verdict.CONTENDED and is_full and not request.unreachable:
            return Verdict.EXHAUSTED
        return verdict

    @staticmethod
    def _judge(request: BudgetRequest) -> Verdict:
        wanted = request.wanted
        return decide_grant(request.readings, wanted.key, wanted.tokens, request.unread)

    def _look_again(self, request: BudgetRequest) -> None:
        """Look at all parts once more."""
        for group, held in list(request.held.items()):
            try:
                request.take(group, self._look(request, group, held))
            except NoQuorumError as error:
                request.drop(group)
                self._note_failed(request, group, error)

    def _wait_s(self, group: int, request: BudgetRequest) -> float:
        """Return the seconds that a turn waits for a group."""
        own = self._zones.own
        is_last_resort = own is None or (group == own and request.common not in request.held)
        return OPERATION_SECONDS if is_last_resort else FALL_BACK_SECONDS

    # What follows

    def _granted(self, request: BudgetRequest) -> Reservation:
        """Note what a granted turn takes; hand back what it has claimed beyond that."""
        wanted = request.wanted
        pieces = {}
        is_divided = len(request.held) > 1
        for group, taken in request.pieces.items():
            if taken or group == request.common:
                pieces[group] = taken
            if is_divided or taken < request.asked[group]:
                state = ClaimState.GRANTED if group in pieces else ClaimState.SETTLED
                self._queues.add(group, self._record(group, wanted, state, taken))
        for group in request.asked.keys() - request.held.keys():
            self._queues.add(group, self._record(group, wanted, ClaimState.SETTLED, 0))
        granted = sum(pieces.values())
        return Reservation(wanted, pieces, granted, request.last_server, request.is_first)

    def _note_decided(self, request: BudgetRequest, budget: int, verdict: Verdict) -> None:
        wanted = request.wanted
        is_granted = verdict in (Verdict.GRANTED, Verdict.SHORT)
        if is_granted or verdict is Verdict.EXHAUSTED:
            self._log.write(
                decisions.BudgetDecided(
                    wanted.attempt_id,
                    wanted.program_name,
                    budget,
                    request.used,
                    wanted.tokens,
                    is_granted,
                )
            )
        is_common_alone = not request.unreachable and list(request.asked) == [request.common]
        if self._zones.part_count and not is_common_alone:
            pieces = request.pieces
            common_tokens = pieces.get(request.common, 0)
            self._log.write(
                decisions.PartsAsked(
                    wanted.attempt_id,
                    verdict.name.lower(),
                    common_tokens,
                    sum(pieces.values()) - common_tokens,
                    request.unreachable,
                    request.common in request.unreachable,
                )
            )


def _uncertainty(unreachable: Sequence[int]) -> str:
    """Return why a turn was neither granted nor refused for good."""
    if not unreachable:
        return "turns of the program that came at once are undecided"
    return f"out of reach: {', '.join(str(group) for group in unreachable)}"


def _others(reading: OwnerReading, wanted: TokenClaim) -> dict[str, Amount]:
    """Return what counts beside a claim."""
    own = {wanted.key, *wanted.given_up}
    return {key: amount for key, amount in reading.amounts.items() if key not in own}
