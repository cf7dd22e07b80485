"""Reservations of a program's tokens in the record store, across all parts of its budget.

A claim is first written to a write quorum, whose replies list the other claims of the program in
that group. If all of those are settled, the replies suffice for the decision. Otherwise all claims
of the program are then read from a read quorum. Among any claims granted in a group, one has seen
all the others (see docs/design/0004-platform.md), so their sum never exceeds the group's part,
without a leader or an order among gateways. A reservation that is never settled because its gateway
crashed counts in full.

The common group is asked first, and no other while it is reachable and its part is large enough for
the turn. Missing tokens are claimed from the zone groups, starting with the gateway's zone.
"""

from collections.abc import Sequence

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.budget_requests import (
    ZONE_TURN_PREFIX,
    BudgetRequest,
    GroupState,
    Reservation,
    TokenClaim,
    group_state,
)
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.open_tries import open_claim_value
from yarrowwall.budgets.record_names import joined
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

#: Decisions tried for concurrent turns of a program, and seconds between them.
CONTENTION_ATTEMPTS = 5
CONTENTION_INTERVAL_SECONDS = 0.05
#: Timeout in seconds for a group if another one can serve the turn. An answer takes milliseconds,
#: and a member that does not answer is skipped within 0.08 s. The last resort, which is the group
#: of the gateway's zone if the common one is unreachable, has as long as any operation.
FALLBACK_TIMEOUT_SECONDS = 0.25
#: Seconds between checks whether unreachable groups that a turn needs tokens from have recovered.
RECOVERY_CHECK_SECONDS = 0.05
#: Least seconds for which a turn waits for them before it starts with too few tokens. A restart of
#: a process, or a change of a group's members, takes about a second; most groups recover sooner.
MIN_RECOVERY_WAIT_SECONDS = 0.5
#: Length of an outage in seconds after which a group is no longer waited for.
BRIEF_OUTAGE_SECONDS = 2.0
#: Seconds without the common group for which a zone grants from its part alone. The common group
#: must not expire a program's records while the program continues in its zone, so records there are
#: kept longer by this time. Twice the route's retention covers programs that pause both before and
#: after the partition. At 300 turns a second this takes about 5 MB on each replica.
ZONE_ONLY_SECONDS = 60.0
#: Seconds for which records in a zone group are kept. A program's turns renew its records in the
#: common group but not those in its zone, so this must exceed the lifetime of programs.
ZONE_RETENTION_SECONDS = 86400.0


class Reservations:
    """Reserves tokens of programs' budgets in the record store."""

    def __init__(
        self,
        client: QuorumClient,
        zones: ZoneGroups,
        reachability: GroupReachability,
        queues: SettlementQueues,
        log: DecisionLog,
    ) -> None:
        self._client = client
        self._zones = zones
        self._reachability = reachability
        self._queues = queues
        self._log = log

    def reserve(
        self,
        claim: TokenClaim,
        budget: int,
        recovery_wait_s: float = MIN_RECOVERY_WAIT_SECONDS,
    ) -> Reservation:
        """Reserve the claimed tokens, or fewer if some group is unreachable.

        :param recovery_wait_s: Seconds to wait for groups in a brief outage before granting fewer.
        :raises BudgetExhaustedError: If too few tokens of the budget are left.
        :raises StoreUncertainError: If too few groups could be asked.
        """
        request = BudgetRequest(
            claim, divide_budget(budget, self._zones.part_count), self._zones.zone_count
        )
        try:
            verdict = self._claim_from_groups(request)
            if verdict is Verdict.SHORT:
                verdict = self._retry_recovered_groups(request, recovery_wait_s)
        except BaseException:
            # The caller has disconnected. A claim that is never settled would count in full.
            self._release_claims(request)
            raise
        self._note_decided(request, budget, verdict)
        if verdict in (Verdict.GRANTED, Verdict.SHORT):
            return self._grant(request)
        self._release_claims(request)
        if verdict is Verdict.EXHAUSTED:
            self._mark_exhausted(request)
            raise BudgetExhaustedError(
                f"{request.used_tokens} of {budget} tokens are used,"
                f" {request.unsettled_tokens} of them by turns that have not ended",
                request.is_finally_exhausted,
            )
        raise StoreUncertainError(request.failure or _uncertainty_reason(request.unreachable))

    def _release_claims(self, request: BudgetRequest) -> None:
        """Settle all claims of a turn that was not granted at zero tokens."""
        for group in request.claimed:
            self._queues.add(group, self._record(group, request.claim, ClaimState.SETTLED, 0))

    def _mark_exhausted(self, request: BudgetRequest) -> None:
        """Record in the common group that no such turn of the program can ever be granted."""
        key = request.exhausted_marker
        if key is not None:
            claim = request.claim
            self._queues.add(claim.common_group, self._marker_record(claim, key, ""))

    def settle(self, reservation: Reservation, tokens: int, server_id: str) -> None:
        """Queue the records that settle a reservation at the emitted tokens."""
        for group, record in self.settlement_records(reservation, tokens, server_id):
            self._queues.add(group, record)

    def settlement_records(
        self, reservation: Reservation, tokens: int, server_id: str
    ) -> list[tuple[int, StoredRecord]]:
        """Return the records that settle a reservation at the emitted tokens, with their groups."""
        claim = reservation.claim
        spent = allocate_spent(reservation.tokens_by_group, tokens)
        records = [
            (group, self._record(group, claim, ClaimState.SETTLED, amount, server_id))
            for group, amount in spent.items()
        ]
        if tokens and not spent.get(claim.common_group):
            records.append((claim.common_group, self._zone_turn_record(claim, server_id)))
        return records

    # Records

    def _record(
        self,
        group: int,
        claim: TokenClaim,
        state: ClaimState,
        amount: int,
        server_id: str = "",
    ) -> StoredRecord:
        """Return a record of the tokens that a turn holds in a group.

        :param server_id: The server where the turn ran, which the program's next turn prefers.
        """
        retention_s = self._retention_s(group, claim.retention_s)
        owner = claim.program_id
        is_open = state is not ClaimState.SETTLED
        value = open_claim_value(claim.request) if is_open else server_id.encode()
        return StoredRecord(claim.key, state, owner, "", retention_s, amount, value)

    def _zone_turn_record(self, claim: TokenClaim, server_id: str) -> StoredRecord:
        """Return the record for the common group of a turn that used no tokens of it."""
        key = ZONE_TURN_PREFIX + joined(claim.program_id, claim.attempt_id)
        return self._marker_record(claim, key, server_id)

    def _marker_record(self, claim: TokenClaim, key: str, server_id: str) -> StoredRecord:
        """Return a record without tokens for a program's common group."""
        retention_s = self._retention_s(claim.common_group, claim.retention_s)
        owner = claim.program_id
        return StoredRecord(key, ClaimState.SETTLED, owner, "", retention_s, 0, server_id.encode())

    def _retention_s(self, group: int, route_retention_s: float) -> float:
        """Return the seconds for which a group keeps a record, given its route's retention."""
        if not self._zones.part_count:
            return route_retention_s
        if self._zones.is_zone_group(group):
            return max(route_retention_s, ZONE_RETENTION_SECONDS)
        return 2.0 * route_retention_s + ZONE_ONLY_SECONDS

    # Claims

    def _claim_from_groups(self, request: BudgetRequest) -> Verdict:
        """Claim tokens from one group after another until the turn has all it needs."""
        for group in self._zones.common_first(request.common_group):
            if self._reachability.is_unreachable(group) or not self._may_claim(request, group):
                request.unreachable.append(group)
                request.failure = request.failure or self._client.loss(group)
                continue
            try:
                self._claim_from(request, group)
            except NoQuorumError as error:
                self._note_failed(request, group, error)
                continue
            if request.missing_tokens <= 0:
                return Verdict.GRANTED
            if request.is_exhausted:
                return Verdict.EXHAUSTED
        return self._decide(request)

    def _retry_recovered_groups(self, request: BudgetRequest, wait_s: float) -> Verdict:
        """Claim from groups that recover quickly, before a turn starts with too few tokens."""
        verdict = Verdict.SHORT
        for _ in range(round(wait_s / RECOVERY_CHECK_SECONDS)):
            pending = [group for group in request.unreachable if self._is_brief_outage(group)]
            if not pending or verdict is not Verdict.SHORT:
                break
            eventlet.sleep(RECOVERY_CHECK_SECONDS)
            recovered = [group for group in pending if not self._reachability.is_unreachable(group)]
            for group in recovered:
                self._retry_group(request, group)
            if recovered:
                verdict = Verdict.GRANTED if request.missing_tokens <= 0 else self._decide(request)
        return verdict

    def _is_brief_outage(self, group: int) -> bool:
        return self._reachability.unreachable_seconds(group) < BRIEF_OUTAGE_SECONDS

    def _retry_group(self, request: BudgetRequest, group: int) -> None:
        request.unreachable.remove(group)
        if request.missing_tokens <= 0:
            return
        try:
            self._claim_from(request, group)
        except NoQuorumError as error:
            self._note_failed(request, group, error)

    def _may_claim(self, request: BudgetRequest, group: int) -> bool:
        """Return whether a group may grant, given when the common group last answered."""
        if group == request.common_group or request.common_group in request.states:
            return True
        return self._reachability.seconds_since_answer(request.common_group) < ZONE_ONLY_SECONDS

    def _note_failed(self, request: BudgetRequest, group: int, error: NoQuorumError) -> None:
        request.unreachable.append(group)
        request.failure = str(error)
        if self._zones.part_count:
            self._reachability.note_failed(group)

    def _claim_from(self, request: BudgetRequest, group: int) -> None:
        """Claim the missing tokens from a group, and add the group's state to the request.

        :raises NoQuorumError: If the group does not answer in time.
        """
        claim = request.claim
        missing_tokens = request.missing_tokens
        # Note the claim before writing: a write without an answer may still have arrived.
        request.claimed[group] = missing_tokens
        record = self._record(group, claim, ClaimState.RESERVED, missing_tokens)
        reading = self._client.reserve(group, record, timeout=self._timeout_s(group, request))
        state = group_state(_others(reading, claim), reading.note)
        if not (reading.is_complete and state.is_settled):
            state = self._read(request, group, state)
        self._reachability.note_answered(group)
        request.add_state(group, state)

    def _read(self, request: BudgetRequest, group: int, previous: GroupState) -> GroupState:
        """Read a group's current claims of a program.

        :raises NoQuorumError: If the group does not answer in time.
        """
        claim = request.claim
        timeout_s = self._timeout_s(group, request)
        reading = self._client.read_amounts(group, claim.program_id, timeout=timeout_s)
        # A claim seen while writing may not have reached its quorum yet, so keep it as well.
        amounts = merged(previous.amounts, _others(reading, claim))
        return group_state(amounts, reading.note)

    def _decide(self, request: BudgetRequest) -> Verdict:
        """Decide on a turn that could not get all its tokens right away.

        Concurrent turns all see one another's claims. If not all of them fit, those later in the
        order of keys give up at once, and the earlier ones read the claims again.
        """
        verdict = self._evaluate(request)
        for _ in range(CONTENTION_ATTEMPTS - 1):
            if verdict is not Verdict.CONTENDED:
                return verdict
            eventlet.sleep(CONTENTION_INTERVAL_SECONDS)
            self._read_again(request)
            verdict = self._evaluate(request)
        is_full = not fits_with_all_claims(request.readings, request.claim.tokens)
        if verdict is Verdict.CONTENDED and is_full and not request.unreachable:
            return Verdict.EXHAUSTED
        return verdict

    @staticmethod
    def _evaluate(request: BudgetRequest) -> Verdict:
        claim = request.claim
        return decide_grant(request.readings, claim.key, claim.tokens, request.unread_tokens)

    def _read_again(self, request: BudgetRequest) -> None:
        """Read the claims of all groups that answered again."""
        for group, state in list(request.states.items()):
            try:
                request.add_state(group, self._read(request, group, state))
            except NoQuorumError as error:
                request.drop_state(group)
                self._note_failed(request, group, error)

    def _timeout_s(self, group: int, request: BudgetRequest) -> float:
        """Return the timeout in seconds for an operation on a group."""
        own = self._zones.own_group
        is_last_resort = own is None or (
            group == own and request.common_group not in request.states
        )
        return OPERATION_SECONDS if is_last_resort else FALLBACK_TIMEOUT_SECONDS

    # Outcome

    def _grant(self, request: BudgetRequest) -> Reservation:
        """Return a granted turn's reservation, and release claims beyond it."""
        claim = request.claim
        tokens_by_group = {}
        is_split = len(request.states) > 1
        for group, taken in request.tokens_by_group.items():
            if taken or group == request.common_group:
                tokens_by_group[group] = taken
            if is_split or taken < request.claimed[group]:
                state = ClaimState.GRANTED if group in tokens_by_group else ClaimState.SETTLED
                self._queues.add(group, self._record(group, claim, state, taken))
        for group in request.claimed.keys() - request.states.keys():
            self._queues.add(group, self._record(group, claim, ClaimState.SETTLED, 0))
        granted = sum(tokens_by_group.values())
        return Reservation(
            claim,
            tokens_by_group,
            granted,
            request.last_server,
            request.is_first,
            list(request.claimed),
            {group: state.amounts for group, state in request.states.items()},
        )

    def _note_decided(self, request: BudgetRequest, budget: int, verdict: Verdict) -> None:
        claim = request.claim
        is_granted = verdict in (Verdict.GRANTED, Verdict.SHORT)
        if is_granted or verdict is Verdict.EXHAUSTED:
            self._log.write(
                decisions.BudgetDecided(
                    claim.attempt_id,
                    claim.program_name,
                    budget,
                    request.used_tokens,
                    claim.tokens,
                    is_granted,
                    request.unsettled_tokens,
                )
            )
        is_common_only = not request.unreachable and list(request.claimed) == [request.common_group]
        if self._zones.part_count and not is_common_only:
            tokens_by_group = request.tokens_by_group
            common_tokens = tokens_by_group.get(request.common_group, 0)
            self._log.write(
                decisions.PartsAsked(
                    claim.attempt_id,
                    verdict.name.lower(),
                    common_tokens,
                    sum(tokens_by_group.values()) - common_tokens,
                    request.unreachable,
                    request.common_group in request.unreachable,
                )
            )


def _uncertainty_reason(unreachable: Sequence[int]) -> str:
    """Return why a turn was neither granted nor refused."""
    if not unreachable:
        return "turns of the program that came at once are undecided"
    return f"out of reach: {', '.join(str(group) for group in unreachable)}"


def _others(reading: OwnerReading, claim: TokenClaim) -> dict[str, Amount]:
    """Return the other claims of the program."""
    own = {claim.key, *claim.withdrawn_keys}
    return {key: amount for key, amount in reading.amounts.items() if key not in own}
