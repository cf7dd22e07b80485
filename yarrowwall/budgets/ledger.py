"""Budgets and turns in the replicated record store, as a gateway's requests use them."""

import contextlib
from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.budget_requests import Reservation, claim_for
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.reservations import Reservations
from yarrowwall.budgets.settlements import SettlementQueues
from yarrowwall.budgets.turn_reservations import TurnReservations
from yarrowwall.budgets.turn_store import END_MARGIN_SECONDS, PlacedRecord, TurnStore
from yarrowwall.budgets.turns import Turn, output_of, prompt_body
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import DecisionLog
from yarrowwall.event_stream import Event
from yarrowwall.exceptions import BudgetExhaustedError, StoreUncertainError
from yarrowwall.model import Attempt, ProgramContext, Route
from yarrowwall.ports.programs import TurnGrant
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import OPERATION_SECONDS, QuorumClient

#: Seconds without a quorum after which the store counts as out of reach.
UNREACHABLE_SECONDS = 0.8
#: Seconds without a turn after which a group is asked whether it answers: a gateway grants from
#: its zone's part alone only if it knows since when the common group is silent. A quarter of
#: what it may then go on for; a gateway with a turn every few seconds asks nothing.
PROOF_SECONDS = 15.0
#: The same while some operations fail, for readiness hangs on the answer. Groups that turns reach
#: are not asked, so a gateway beside a cut asks hardly anything.
FAILING_PROOF_SECONDS = 1.0
#: Seconds before a turn that was granted less than its most asks the same groups again.
MORE_AGAIN_SECONDS = 1.0
#: Seconds between its looks whether more groups are in reach.
MORE_LOOK_SECONDS = 0.05
#: Seconds that the question whether a group answers may take, if turns fall back on others.
PROBE_WAIT_SECONDS = 0.3


def _scoped(tenant: str, name: str) -> str:
    """Return a name that callers chose as one of its tenant's alone."""
    # No caller can make up another tenant's name: the length in front tells where it ends.
    return f"{len(tenant)}:{tenant}:{name}" if tenant and name else name


class ReplicatedLedger:
    """Grants turns by what the record store holds.

    :param zone: the gateway's own zone.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        zone: str,
        views: GroupViews,
        client: QuorumClient,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._views = views
        self._client = client
        self._log = log
        self._now = now
        self._zones = ZoneGroups(zone, views)
        self._reach = GroupReachability(self._ask, log, now)
        self._reach.on_unreachable = self._check_others
        self._queues = SettlementQueues(client, self._reach)
        self._reservations = Reservations(client, self._zones, self._reach, self._queues, log)
        self._turns = TurnStore(
            client, self.group_of, self._zones, self._reach, self._queues, log, now
        )

    @property
    def has_unsettled(self) -> bool:
        """Return whether settlements are still to be written."""
        return self._queues.is_busy

    @property
    def is_reachable(self) -> bool:
        """Return whether operations find their quorum, or did a moment ago.

        A gateway whose zone is cut off serves from its zone's part, and its callers have no
        better one.
        """
        if self._client.failing_seconds < UNREACHABLE_SECONDS:
            return True
        groups = [*range(self._views.common_group_count), self._zones.own]
        return any(self._reach.has_answered_recently(group) for group in groups)

    @property
    def unreachable_s(self) -> float:
        """Return for how many seconds no operation has found its quorum."""
        return self._client.failing_seconds

    def probe(self) -> None:
        """If operations fail, find out whether they still do."""
        if self._zones.part_count:
            self._probe_groups()
        elif self._client.failing_seconds and self._views.common_group_count:
            with contextlib.suppress(NoQuorumError):
                self._ask(0)

    def _probe_groups(self) -> None:
        """Keep the proofs that service from the zone's part and readiness depend on."""
        is_failing = self._client.failing_seconds > 0.0
        most_s = FAILING_PROOF_SECONDS if is_failing else PROOF_SECONDS
        groups = list(range(self._views.common_group_count))
        own = self._zones.own
        if is_failing and own is not None:
            groups.append(own)
        for group in groups:
            if self._reach.seconds_since_answer(group) > most_s:
                self._reach.check(group)

    def _check_others(self, out: int) -> None:
        """Ask all other groups at once: what cut one off may have cut others off."""
        for group in [*range(self._views.common_group_count), *self._zones.own_first]:
            if group != out:
                eventlet.spawn_n(self._reach.check, group)

    def _ask(self, group: int) -> None:
        """Ask whether a group can be read and written.

        :raises NoQuorumError: if it can not.
        """
        wait_s = PROBE_WAIT_SECONDS if self._zones.part_count else OPERATION_SECONDS
        self._client.check(group, wait_s)

    def group_of(self, key: str) -> int:
        """Return the common group that keeps a key.

        :raises StoreUncertainError: if no group is known yet.
        """
        group = self._views.group_of(key)
        if group is None:
            raise StoreUncertainError("no replica group is known")
        return group

    def open_turn(
        self, attempt: Attempt, route: Route, tokens_per_event: int, end: Callable[[], float]
    ) -> TurnGrant:
        """Return the leave to run a turn.

        :raises BudgetExhaustedError: if the budget does not hold it.
        :raises TurnUnknownError: if the turn it goes on from is surely unknown.
        :raises StoreUncertainError: if the store cannot tell now.
        """
        body = attempt.body
        program = attempt.program
        if route.is_stateful and program is not None:
            self._turns.check_keepable(_scoped(attempt.tenant, attempt.attempt_id))
            body = self._prompt(attempt, program, route)
        reserved = None
        if program is not None and program.budget is not None:
            reserved = self._reserve(attempt, program, program.budget, route)
        return LedgerGrant(self, attempt, route, body, reserved, tokens_per_event, end)

    def _prompt(self, attempt: Attempt, program: ProgramContext, route: Route) -> bytes:
        """Return what the server is to get: all earlier turns and the new input."""
        if not program.previous_turn:
            return attempt.body
        previous = _scoped(attempt.tenant, program.previous_turn)
        turns = self._turns.chain(attempt.attempt_id, previous, route.retention_s)
        return prompt_body(turns, attempt.body)

    def _reserve(
        self, attempt: Attempt, program: ProgramContext, budget: int, route: Route
    ) -> Reservation:
        """Return a granted reservation.

        :raises BudgetExhaustedError: if the budget does not hold it.
        """
        program_id = _scoped(attempt.tenant, program.program_id)
        common = self.group_of(program_id)
        wanted = claim_for(program_id, program, attempt.attempt_id, route.retention_s, common)
        return self._reservations.reserve(wanted, budget)

    def reserve_more(
        self, held: TurnReservations, budget: int, needed: int, end: Callable[[], float]
    ) -> None:
        """Reserve what a turn lacks; ask again once more groups are in reach.

        :param needed: tokens that it needs at once.
        :param end: tells when the request's time is over, on the monotonic clock.
        :raises StoreUncertainError: if none grants any in that time, or the budget is used up.
        """
        while True:
            in_reach = self._in_reach(held.wanted.common)
            try:
                held.add(self._reserve_rest(held, budget, needed))
                return
            except (BudgetExhaustedError, StoreUncertainError) as error:
                reason = f"{held.granted} tokens were granted; {error}"
                if isinstance(error, BudgetExhaustedError) or not self._is_worth_asking(
                    held, in_reach, end
                ):
                    raise StoreUncertainError(reason) from error

    def _reserve_rest(self, held: TurnReservations, budget: int, needed: int) -> Reservation:
        """Reserve all that a turn lacks, or what it needs at once if no more is to be had.

        :raises BudgetExhaustedError: if the budget does not hold that either.
        :raises StoreUncertainError: if too few groups could be asked.
        """
        if not held.is_rest_refused:
            try:
                return self._reservations.reserve(held.next_claim(held.lacked), budget)
            except BudgetExhaustedError:
                held.is_rest_refused = True
            except StoreUncertainError:
                # The groups in reach may hold what it needs at once all the same.
                pass
        return self._reservations.reserve(held.next_claim(needed), budget)

    def _is_worth_asking(
        self, held: TurnReservations, asked: set[int], end: Callable[[], float]
    ) -> bool:
        """Wait until a turn may ask again; return False once its time is over.

        Each claim that is given up leaves a record, so it asks only if that may help.
        """
        # One that fell out of reach under the claim is worth asking once it is back.
        asked = asked & self._in_reach(held.wanted.common)
        again_at = self._now() + MORE_AGAIN_SECONDS
        while self._now() < end() - END_MARGIN_SECONDS:
            if self._now() >= again_at or self._in_reach(held.wanted.common) - asked:
                return True
            eventlet.sleep(MORE_LOOK_SECONDS)
        return False

    def _in_reach(self, common: int) -> set[int]:
        """Return the groups that a turn may ask now."""
        groups = self._zones.common_first(common)
        return {group for group in groups if not self._reach.is_unreachable(group)}

    def settle(self, held: TurnReservations, tokens: int, server_id: str) -> None:
        """Replace a turn's reservations by what was emitted, soon."""
        for reserved, spent in held.spread(tokens):
            self._reservations.settle(reserved, spent, server_id)
        wanted = held.wanted
        self._log.write(decisions.BudgetSettled(wanted.attempt_id, wanted.program_id, tokens))

    def keep_turn(
        self,
        turn: Turn,
        route: Route,
        held: TurnReservations | None,
        tokens: int,
        server_id: str,
        end: Callable[[], float],
    ) -> None:
        """Store a turn and the settlement of its reservations, if it has any.

        :param end: tells when the request's time is over, on the monotonic clock.
        :raises StoreUncertainError: if no quorum took it in time.
        """
        settled: list[PlacedRecord] = []
        for reserved, spent in held.spread(tokens) if held is not None else ():
            settled += self._reservations.settled(reserved, spent, server_id)
        self._turns.keep(turn, route.retention_s, settled, end)


class LedgerGrant(TurnGrant):
    """The leave to run one turn, with what is to be stored behind it.

    :param end: tells when the request's time is over, on the monotonic clock.
    """

    def __init__(
        self,
        ledger: ReplicatedLedger,
        attempt: Attempt,
        route: Route,
        body: bytes,
        reserved: Reservation | None,
        tokens_per_event: int,
        end: Callable[[], float],
    ) -> None:
        program = attempt.program
        is_continued = route.is_stateful and program is not None and bool(program.previous_turn)
        if reserved is not None:
            super().__init__(body, reserved.last_server, reserved.is_first, is_continued)
        else:
            super().__init__(body, is_continued=is_continued)
        self._ledger = ledger
        self._attempt = attempt
        self._route = route
        self._held = TurnReservations(reserved) if reserved is not None else None
        self._tokens_per_event = tokens_per_event
        self._end = end
        self._is_settled = False

    def ensure_granted(self, passed: list[Event]) -> None:
        """Reserve what events take beyond what was granted, before they are passed on.

        :raises StoreUncertainError: if less than the turn's most was granted, they exceed it, and
            no group grants more while the request has time left.
        """
        held, program = self._held, self._attempt.program
        if held is None or program is None or program.budget is None:
            return
        tokens = len(passed) * self._tokens_per_event
        while held.is_short and tokens > held.granted:
            needed = min(tokens, held.wanted.tokens) - held.granted
            self._ledger.reserve_more(held, program.budget, needed, self._end)

    def complete(self, passed: list[Event], server_id: str) -> None:
        """Store the turn before the end of the answer is passed on.

        :raises StoreUncertainError: if that cannot be done.
        """
        program = self._attempt.program
        if not self._route.is_stateful or program is None:
            return
        tenant = self._attempt.tenant
        turn = Turn(
            _scoped(tenant, self._attempt.attempt_id),
            _scoped(tenant, program.previous_turn or ""),
            self._attempt.body,
            output_of(passed),
        )
        tokens = self._tokens(passed)
        self._ledger.keep_turn(turn, self._route, self._held, tokens, server_id, self._end)
        self._is_settled = True

    def close(self, passed: list[Event], server_id: str) -> None:
        """Settle the turn, however it ended."""
        if self._held is not None and not self._is_settled:
            self._is_settled = True
            self._ledger.settle(self._held, self._tokens(passed), server_id)

    def _tokens(self, passed: list[Event]) -> int:
        """Return the tokens that callers got."""
        tokens = len(passed) * self._tokens_per_event
        held = self._held
        if held is not None and held.is_short:
            # What was beyond the grant was not passed on.
            most = held.granted - held.granted % self._tokens_per_event
            return min(tokens, most)
        return tokens
