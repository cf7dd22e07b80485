"""Grants turns to a gateway's requests from the replicated record store."""

import contextlib
from collections.abc import Callable, Sequence

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.budget_requests import Reservation, claim_for
from yarrowwall.budgets.chain_lookup import ChainLookup, ChainQuery
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.ledger_grant import LedgerGrant
from yarrowwall.budgets.open_tries import OpenTries
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.record_names import ambiguous_name, program_name, record_name
from yarrowwall.budgets.reservations import (
    BRIEF_OUTAGE_SECONDS,
    MIN_RECOVERY_WAIT_SECONDS,
    Reservations,
)
from yarrowwall.budgets.settlements import SettlementQueues
from yarrowwall.budgets.stream_keys import RESUMPTION
from yarrowwall.budgets.stream_records import StreamRecords, stream_retention_s
from yarrowwall.budgets.turn_cache import CACHE_BYTES, TurnCache, TurnLine
from yarrowwall.budgets.turn_copier import TurnCopier
from yarrowwall.budgets.turn_reservations import TurnReservations
from yarrowwall.budgets.turn_store import PlacedRecord, TurnStore
from yarrowwall.budgets.turns import Turn
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import BudgetExhaustedError, RelayError, StoreUncertainError
from yarrowwall.model import Attempt, ProgramContext, Route
from yarrowwall.policy.request_identity import request_identity
from yarrowwall.ports.programs import NO_EXPECTED_SOFTWARE, ExpectedSoftware, TurnGrant
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import OPERATION_SECONDS, QuorumClient

#: Seconds without a quorum after which the store counts as unreachable.
UNREACHABLE_SECONDS = 0.8
#: Seconds without an answer after which a group is checked. A gateway grants from its zone's part
#: alone only if it knows when the common group last answered. This is a quarter of the time for
#: which it may do so. A gateway with a turn every few seconds sends no checks.
IDLE_CHECK_SECONDS = 15.0
#: The same while operations fail, since readiness depends on the answer. Groups that answer turns
#: are not checked, so a gateway next to a partition sends hardly any checks.
FAILING_CHECK_SECONDS = 1.0
#: Seconds before a turn that was granted too few tokens asks the same groups again.
RESERVE_RETRY_SECONDS = 1.0
#: Seconds before it asks again if other turns hold the tokens; doubles up to the above.
FIRST_RELEASE_WAIT_SECONDS = 0.2
#: Most of a request's time for which its turn waits for groups in a brief outage before it starts
#: with too few tokens.
RECOVERY_WAIT_SHARE = 0.4
#: Seconds between its checks whether more groups are reachable.
REACHABILITY_POLL_SECONDS = 0.05
#: Timeout in seconds for checking a group if turns can fall back on other groups.
PROBE_TIMEOUT_SECONDS = 0.3


class ReplicatedLedger:
    """Grants turns based on the budgets and turns in the record store.

    :param zone: The gateway's zone.
    :param now: Returns the monotonic time in seconds.
    :param cache_bytes: Most bytes of turns that are cached.
    """

    def __init__(
        self,
        zone: str,
        views: GroupViews,
        client: QuorumClient,
        log: DecisionLog,
        now: Callable[[], float],
        cache_bytes: int = CACHE_BYTES,
    ) -> None:
        self._views = views
        self._client = client
        self._log = log
        self._now = now
        self._zones = ZoneGroups(zone, views)
        self._reachability = GroupReachability(self._check_group, log, now)
        self._reachability.on_unreachable = self._check_others
        self._queues = SettlementQueues(client, self._reachability)
        self._reservations = Reservations(
            client, self._zones, self._reachability, self._queues, log
        )
        groups = RecordGroups(client, self.group_of, self._zones, self._reachability, log)
        self._streams = StreamRecords(groups)
        cache, copier = TurnCache(cache_bytes), TurnCopier(groups)
        self._chains = ChainLookup(groups, cache, copier, now)
        self._turns = TurnStore(groups, cache, copier, self._queues, now)

    @property
    def has_unsettled(self) -> bool:
        """Return whether settlements are still to be written."""
        return self._queues.is_busy

    @property
    def is_reachable(self) -> bool:
        """Return whether some group can be reached.

        A gateway whose zone is cut off counts as reachable, since it serves from its zone's part
        and its callers can reach no better one.
        """
        if self._client.failing_seconds < UNREACHABLE_SECONDS:
            return True
        groups = [*range(self._views.common_group_count), self._zones.own_group]
        return any(self._reachability.has_answered_recently(group) for group in groups)

    @property
    def unreachable_s(self) -> float:
        """Return the seconds for which no operation has found a quorum."""
        return self._client.failing_seconds

    def probe(self) -> None:
        """Check groups that have not answered for some time."""
        if self._zones.part_count:
            self._probe_groups()
        elif self._client.failing_seconds and self._views.common_group_count:
            with contextlib.suppress(NoQuorumError):
                self._check_group(0)

    def _probe_groups(self) -> None:
        """Refresh the answer times that readiness and grants from the zone's part depend on."""
        is_failing = self._client.failing_seconds > 0.0
        max_idle_s = FAILING_CHECK_SECONDS if is_failing else IDLE_CHECK_SECONDS
        groups = list(range(self._views.common_group_count))
        own = self._zones.own_group
        if is_failing and own is not None:
            groups.append(own)
        for group in groups:
            if self._reachability.seconds_since_answer(group) > max_idle_s:
                self._reachability.check(group)

    def _check_others(self, unreachable_group: int) -> None:
        """Check all other groups at once, since the same fault may have cut them off too."""
        for group in [*range(self._views.common_group_count), *self._zones.own_first]:
            if group != unreachable_group:
                eventlet.spawn_n(self._reachability.check, group)

    def _check_group(self, group: int) -> None:
        """Check that a group can be read and written.

        :raises NoQuorumError: If it cannot.
        """
        timeout_s = PROBE_TIMEOUT_SECONDS if self._zones.part_count else OPERATION_SECONDS
        self._client.check(group, timeout_s)

    def group_of(self, key: str) -> int:
        """Return the common group responsible for a key.

        :raises StoreUncertainError: If no group is known yet.
        """
        group = self._views.group_of(key)
        if group is None:
            raise StoreUncertainError("no replica group is known")
        return group

    def open_turn(
        self,
        attempt: Attempt,
        route: Route,
        tokens_per_event: int,
        deadline: Callable[[], float],
        software: ExpectedSoftware = NO_EXPECTED_SOFTWARE,
    ) -> TurnGrant:
        """Return the grant to run a turn.

        :raises BudgetExhaustedError: If too few tokens of the budget are left.
        :raises TurnUnknownError: If the previous turn certainly does not exist.
        :raises StreamUnknownError: If no record tells which software began a resumed stream.
        :raises StoreUncertainError: If the store cannot decide now.
        """
        chain: Sequence[Turn] = ()
        program = attempt.program
        if route.is_stateful and program is not None:
            self._turns.check_storable(record_name(attempt.tenant, attempt.attempt_id))
            chain = self._chain(attempt, program, route, deadline())
        likely = ""
        if route.is_resumable:
            likely = RESUMPTION if attempt.is_resumption else software.likely
        reservation = None
        if program is not None and program.budget is not None:
            recovery_wait_s = self._recovery_wait_s(deadline())
            reservation = self._reserve(
                attempt, program, program.budget, route, likely, recovery_wait_s
            )
        grant = LedgerGrant(self, attempt, route, chain, reservation, tokens_per_event, deadline)
        if reservation is not None:
            grant.open_tries = OpenTries(self._client, reservation).attempts
        if route.is_resumable and attempt.is_resumption:
            try:
                grant.software = self._streams.resumed_software(attempt, reservation, software)
            except BaseException:
                grant.close([], "")
                raise
        elif route.is_resumable:
            grant.stream_record = self._streams.begin(attempt, reservation, likely)
            grant.expected_software = likely if reservation is not None else ""
        return grant

    def _chain(
        self, attempt: Attempt, program: ProgramContext, route: Route, end: float
    ) -> list[Turn]:
        """Return the earlier turns that a turn goes on from, oldest first."""
        if not program.previous_turn:
            return []
        query = ChainQuery(
            attempt.attempt_id,
            record_name(attempt.tenant, program.previous_turn),
            ambiguous_name(attempt.tenant, program.previous_turn),
            TurnLine(program_name(attempt.tenant, program.program_id), program.session_id),
            route.retention_s,
            end,
        )
        return self._chains.chain(query)

    def _reserve(
        self,
        attempt: Attempt,
        program: ProgramContext,
        budget: int,
        route: Route,
        software: str,
        recovery_wait_s: float,
    ) -> Reservation:
        """Reserve the most tokens that a turn may emit.

        :param software: The software that is expected to run the turn; empty for none.
        :param recovery_wait_s: Seconds to wait for groups in a brief outage before granting fewer.
        :raises BudgetExhaustedError: If too few tokens of the budget are left.
        :raises StoreUncertainError: If too few groups could be asked.
        """
        program_id = program_name(attempt.tenant, program.program_id)
        common_group = self.group_of(program_id)
        retention_s = route.retention_s
        if software:
            retention_s = max(retention_s, stream_retention_s(attempt))
        claim = claim_for(
            program_id,
            program,
            attempt.attempt_id,
            retention_s,
            common_group,
            software,
            request_identity(attempt),
        )
        return self._reservations.reserve(claim, budget, recovery_wait_s)

    def _recovery_wait_s(self, deadline: float) -> float:
        """Return how long a turn waits for groups before it starts with too few tokens.

        A turn that starts short may have to be aborted, and one that waits too long has no time.
        """
        left_s = deadline - self._now()
        return max(
            MIN_RECOVERY_WAIT_SECONDS, min(RECOVERY_WAIT_SHARE * left_s, BRIEF_OUTAGE_SECONDS)
        )

    def reserve_more(
        self,
        turn_reservations: TurnReservations,
        budget: int,
        needed: int,
        deadline: Callable[[], float],
    ) -> None:
        """Reserve a turn's missing tokens, and retry when groups or other turns may grant them.

        :param needed: Tokens that it needs immediately.
        :param deadline: Returns the monotonic time at which the request's time is over.
        :raises StoreUncertainError: If no group grants any in time, or the budget is exhausted by
            turns that have ended.
        """
        release_wait_s = FIRST_RELEASE_WAIT_SECONDS
        while True:
            reachable = self._reachable_groups(turn_reservations.first_claim.common_group)
            try:
                turn_reservations.add(self._reserve_remainder(turn_reservations, budget, needed))
                return
            except BudgetExhaustedError as error:
                if error.is_final or not self._wait(release_wait_s, deadline):
                    raise _too_few_granted(turn_reservations, error) from error
                release_wait_s = min(2.0 * release_wait_s, RESERVE_RETRY_SECONDS)
            except StoreUncertainError as error:
                if not self._wait_to_retry(turn_reservations, reachable, deadline):
                    raise _too_few_granted(turn_reservations, error) from error

    def _wait(self, seconds: float, deadline: Callable[[], float]) -> bool:
        """Wait, until the deadline at the latest; return False once it has passed."""
        eventlet.sleep(max(min(seconds, deadline() - self._now()), 0.0))
        return self._now() < deadline()

    def _reserve_remainder(
        self, turn_reservations: TurnReservations, budget: int, needed: int
    ) -> Reservation:
        """Reserve all missing tokens of a turn, or else only those that it needs immediately.

        :raises BudgetExhaustedError: If the budget is too small for those as well.
        :raises StoreUncertainError: If too few groups could be asked.
        """
        if not turn_reservations.is_remainder_refused:
            try:
                return self._reservations.reserve(
                    turn_reservations.next_claim(turn_reservations.missing_tokens), budget
                )
            except BudgetExhaustedError:
                turn_reservations.is_remainder_refused = True
            except StoreUncertainError:
                # The reachable groups may still hold the tokens that it needs immediately.
                pass
        return self._reservations.reserve(turn_reservations.next_claim(needed), budget)

    def _wait_to_retry(
        self, turn_reservations: TurnReservations, tried: set[int], deadline: Callable[[], float]
    ) -> bool:
        """Wait until a further claim may succeed; return False once the deadline has passed.

        Each withdrawn claim leaves a record, so claims are made only if they may help.
        """
        # A group that became unreachable during the claim may be asked again once it recovers.
        tried = tried & self._reachable_groups(turn_reservations.first_claim.common_group)
        retry_at = self._now() + RESERVE_RETRY_SECONDS
        while self._now() < deadline():
            if (
                self._now() >= retry_at
                or self._reachable_groups(turn_reservations.first_claim.common_group) - tried
            ):
                return True
            eventlet.sleep(REACHABILITY_POLL_SECONDS)
        return False

    def _reachable_groups(self, common_group: int) -> set[int]:
        """Return the reachable ones of the groups that a turn may claim from."""
        groups = self._zones.common_first(common_group)
        return {group for group in groups if not self._reachability.is_unreachable(group)}

    def settle(self, turn_reservations: TurnReservations, tokens: int, server_id: str) -> None:
        """Queue the records that settle a turn's reservations at the emitted tokens."""
        for reservation, spent in turn_reservations.allocate_spent(tokens):
            self._reservations.settle(reservation, spent, server_id)
        claim = turn_reservations.first_claim
        self._log.write(decisions.BudgetSettled(claim.attempt_id, claim.program_id, tokens))

    def store_turn(
        self,
        turn: Turn,
        chain: Sequence[Turn],
        route: Route,
        turn_reservations: TurnReservations | None,
        tokens: int,
        server_id: str,
        deadline: Callable[[], float],
    ) -> None:
        """Store a turn and the settlement of its reservations, if it has any.

        :param chain: The earlier turns, oldest first.
        :param deadline: Returns the monotonic time at which the request's time is over.
        :raises StoreUncertainError: If no quorum stored it in time.
        """
        settlement_records: list[PlacedRecord] = []
        for reservation, spent in (
            turn_reservations.allocate_spent(tokens) if turn_reservations is not None else ()
        ):
            settlement_records += self._reservations.settlement_records(
                reservation, spent, server_id
            )
        self._turns.store(turn, chain, route.retention_s, settlement_records, deadline)


def _too_few_granted(turn_reservations: TurnReservations, error: RelayError) -> StoreUncertainError:
    """Return the error of a turn that cannot get the tokens that it needs."""
    return StoreUncertainError(f"{turn_reservations.granted} tokens were granted; {error}")
