"""Budgets and turns in the replicated record store.

A reservation is written to a majority first, whose replies tell what else is held of
the program. If all of that is settled, it is granted by that alone; else all
reservations of the program are read from a read quorum afterwards. Of any reservations
that were granted, one sees all the others (see docs/design/0004-platform.md), so their
sum never exceeds the budget, without a leader or an order among gateways. A reservation
that is not settled, since its gateway died, counts in full.
"""

import contextlib
from dataclasses import dataclass
from typing import NamedTuple

import eventlet

from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.events import Event
from yarrowwall.relay.exceptions import StoreUncertainError, TurnUnknownError
from yarrowwall.relay.model import Attempt, ProgramContext, Route
from yarrowwall.relay.programs import BudgetExhaustedError, TurnGrant
from yarrowwall.relay.turns import Turn, TurnCache, output_of, prompt_body, read_turn, turn_key
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.group_views import GroupViews
from yarrowwall.replication.quorum_client import QuorumClient
from yarrowwall.replication.rounds import Amount, merged

#: Seconds that settlements are collected before they are written together.
SETTLE_SECONDS = 0.03
#: Seconds before a settlement that found no quorum is written again.
SETTLE_RETRY_SECONDS = 0.25
#: Seconds without a quorum after which the store counts as out of reach.
UNREACHABLE_SECONDS = 0.8
#: Looks at the reservations of a program whose turns came at once, and seconds between.
CONTENTION_LOOKS = 5
CONTENTION_SECONDS = 0.05
#: Seconds that the end of an answer waits for its turn to be stored.
KEEP_SECONDS = 2.0

_RESERVED = 0
_SETTLED = 1


def _scoped(tenant: str, name: str) -> str:
    """Return a name that callers chose as one of its tenant's alone."""
    # No caller can make up another tenant's name: the length in front tells where it ends.
    return f"{len(tenant)}:{tenant}:{name}" if tenant and name else name


@dataclass(frozen=True)
class Reservation:
    """Tokens reserved for one turn.

    :param program_id: the program, as one of its tenant's.
    """

    program_id: str
    attempt_id: str
    tokens: int
    retention: float

    @property
    def key(self) -> str:
        """Return the record's key."""
        return f"budget/{self.program_id}/{self.attempt_id}"

    def record(self, version: int, amount: int, server_id: str = "") -> StoredRecord:
        """Return the record of the reservation or of its settlement.

        :param server_id: the life of the server where the turn ran, as its text; the program's next
            turn had better go there.
        """
        note = server_id.encode()
        return StoredRecord(self.key, version, self.program_id, "", self.retention, amount, note)


class _Beside(NamedTuple):
    """What there is of a program beside one reservation.

    :param tokens: reserved and emitted.
    :param last_server: where its turn before ran; empty if unknown.
    """

    tokens: int
    last_server: str

    @property
    def is_first(self) -> bool:
        """Return whether the program has emitted nothing, and nothing of it is under way."""
        return self.tokens == 0


class Reserved(NamedTuple):
    """A granted reservation, and what it tells of its program."""

    reservation: Reservation
    last_server: str
    is_first: bool


class ReplicatedLedger:
    """Grants turns by what the record store holds."""

    def __init__(self, views: GroupViews, client: QuorumClient, log: DecisionLog) -> None:
        self._views = views
        self._client = client
        self._log = log
        self._cache = TurnCache()
        self._settlements = _SettlementQueue(self, client)

    def start(self) -> None:
        """Begin to write settlements."""
        self._settlements.start()

    @property
    def has_unsettled(self) -> bool:
        """Return whether settlements are still to be written."""
        return self._settlements.is_busy

    @property
    def is_reachable(self) -> bool:
        """Return whether operations find their quorum, or did a moment ago."""
        return self._client.failing_seconds < UNREACHABLE_SECONDS

    @property
    def unreachable_s(self) -> float:
        """Return for how many seconds no operation has found its quorum."""
        return self._client.failing_seconds

    def probe(self) -> None:
        """If operations fail, find out whether they still do."""
        if self._client.failing_seconds and self._views.count:
            with contextlib.suppress(NoQuorumError):
                self._client.read_amounts(0, "")

    def group_of(self, key: str) -> int:
        """Return the group that keeps a key.

        :raises StoreUncertainError: if no group is known yet.
        """
        group = self._views.group_of(key)
        if group is None:
            raise StoreUncertainError("no replica group is known")
        return group

    def open_turn(
        self, attempt: Attempt, route: Route, tokens_per_event: int, end: float
    ) -> TurnGrant:
        """Return the leave to run a turn.

        :raises BudgetExhaustedError: if the budget does not hold it.
        :raises TurnUnknownError: if the turn it goes on from is surely unknown.
        :raises StoreUncertainError: if the store cannot tell now.
        """
        body = attempt.body
        program = attempt.program
        if route.is_stateful and program is not None and program.previous_turn:
            previous = _scoped(attempt.tenant, program.previous_turn)
            turns = self._chain(attempt.attempt_id, previous)
            body = prompt_body(turns, attempt.body)
        reserved = None
        if program is not None and program.budget is not None:
            reserved = self._reserve(attempt, program, program.budget, route)
        return LedgerGrant(self, attempt, route, body, reserved, tokens_per_event)

    # Budgets

    def _reserve(
        self, attempt: Attempt, program: ProgramContext, budget: int, route: Route
    ) -> Reserved:
        """Return a granted reservation.

        :raises BudgetExhaustedError: if the budget does not hold it.
        """
        attempt_id = attempt.attempt_id
        program_id = _scoped(attempt.tenant, program.program_id)
        reservation = Reservation(program_id, attempt_id, program.most_tokens, route.retention)
        group = self.group_of(program_id)
        try:
            beside = self._used_beside(group, reservation, budget)
        except NoQuorumError as error:
            self.settle(reservation, 0)
            raise StoreUncertainError(str(error)) from error
        used = beside.tokens
        is_granted = used + reservation.tokens <= budget
        self._log.write(
            decisions.BudgetDecided(
                attempt_id, program.program_id, budget, used, reservation.tokens, is_granted
            )
        )
        if not is_granted:
            self.settle(reservation, 0)
            raise BudgetExhaustedError(f"{used} of {budget} tokens are used")
        return Reserved(reservation, beside.last_server, beside.is_first)

    def _used_beside(self, group: int, reservation: Reservation, budget: int) -> _Beside:
        """Write a reservation; return what else there is of its program.

        Turns that come at once all see one another. If not all of them fit, those
        behind in the order of keys give up at once, and the ones in front look again.
        """
        record = reservation.record(_RESERVED, reservation.tokens)
        reading = self._client.reserve(group, record)
        first = _others(reading.amounts, reservation)
        if reading.is_sure and all(other.version == _SETTLED for other in first.values()):
            return _Beside(sum(other.tokens for other in first.values()), reading.note)
        for _ in range(CONTENTION_LOOKS):
            reading = self._client.read_amounts(group, reservation.program_id)
            # A reservation that was met while writing may not be complete yet.
            found = merged(first, _others(reading.amounts, reservation))
            used = sum(other.tokens for other in found.values())
            if used + reservation.tokens <= budget:
                break
            behind = sum(
                other.tokens
                for key, other in found.items()
                if other.version == _RESERVED and key > reservation.key
            )
            if used - behind + reservation.tokens > budget:
                break
            eventlet.sleep(CONTENTION_SECONDS)
        return _Beside(used, reading.note)

    def settle(self, reservation: Reservation, tokens: int, server_id: str = "") -> None:
        """Replace a reservation by what was emitted, soon."""
        self._settlements.add(reservation.record(_SETTLED, tokens, server_id))
        self._log.write(
            decisions.BudgetSettled(reservation.attempt_id, reservation.program_id, tokens)
        )

    # Turns

    def _chain(self, attempt_id: str, previous: str) -> list[Turn]:
        """Return the turns up to ``previous``, oldest first."""
        turns, missing = self._cache.chain(previous)
        fetched = 0
        while missing:
            more = self._fetch_chain(attempt_id, missing, is_first=not turns)
            fetched += len(more)
            turns += more
            missing = turns[-1].previous
        outcome = "fetched" if fetched else "cached"
        self._log.write(decisions.ChainLookedUp(attempt_id, previous, outcome, len(turns)))
        return turns[::-1]

    def _fetch_chain(self, attempt_id: str, missing: str, is_first: bool) -> list[Turn]:
        """Return a turn and those before it as far as its group has them, newest first."""
        key = turn_key(missing)
        try:
            records = self._client.read_chain(self.group_of(key), key, [])
        except NoQuorumError as error:
            self._log.write(decisions.ChainLookedUp(attempt_id, missing, "uncertain", 0))
            raise StoreUncertainError(str(error)) from error
        found = []
        while (record := records.get(key)) is not None:
            turn = read_turn(record.key, record.link, record.value)
            self._cache.put(turn)
            found.append(turn)
            key = record.link
        if not found:
            self._log.write(decisions.ChainLookedUp(attempt_id, missing, "unknown", 0))
            if is_first:
                raise TurnUnknownError(f"no turn {missing}")
            raise StoreUncertainError(f"turn {missing} of the chain is missing")
        return found

    def keep_turn(self, turn: Turn, route: Route, settled: StoredRecord | None) -> None:
        """Store a turn.

        :param settled: the settlement of its reservation, stored with it.

        :raises StoreUncertainError: if no quorum took it in time.
        """
        key = turn_key(turn.attempt_id)
        records = [
            StoredRecord(
                key, _SETTLED, "", turn_key(turn.previous), route.retention, 0, turn.value()
            )
        ]
        group = self.group_of(key)
        if settled is not None:
            if self.group_of(settled.owner) == group:
                records.append(settled)
            else:
                self._settlements.add(settled)
        try:
            self._client.write(group, records, timeout=KEEP_SECONDS)
        except NoQuorumError as error:
            raise StoreUncertainError(str(error)) from error
        self._cache.put(turn)


def _others(amounts: dict[str, Amount], reservation: Reservation) -> dict[str, Amount]:
    return {key: amount for key, amount in amounts.items() if key != reservation.key}


class LedgerGrant(TurnGrant):
    """The leave to run one turn, with what is to be stored behind it."""

    def __init__(
        self,
        ledger: ReplicatedLedger,
        attempt: Attempt,
        route: Route,
        body: bytes,
        reserved: Reserved | None,
        tokens_per_event: int,
    ) -> None:
        if reserved is not None:
            super().__init__(body, reserved.last_server, reserved.is_first)
        else:
            super().__init__(body)
        self._ledger = ledger
        self._attempt = attempt
        self._route = route
        self._reservation = reserved.reservation if reserved is not None else None
        self._tokens_per_event = tokens_per_event
        self._is_settled = False

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
        settled = None
        if self._reservation is not None:
            settled = self._reservation.record(_SETTLED, self._tokens(passed), server_id)
        self._ledger.keep_turn(turn, self._route, settled)
        self._is_settled = True

    def close(self, passed: list[Event], server_id: str) -> None:
        """Settle the turn, however it ended."""
        if self._reservation is not None and not self._is_settled:
            self._is_settled = True
            self._ledger.settle(self._reservation, self._tokens(passed), server_id)

    def _tokens(self, passed: list[Event]) -> int:
        return len(passed) * self._tokens_per_event


class _SettlementQueue:
    """Writes settlements together, again and again until a quorum has them."""

    def __init__(self, ledger: ReplicatedLedger, client: QuorumClient) -> None:
        self._ledger = ledger
        self._client = client
        self._waiting: list[StoredRecord] = []
        self._is_writing = False
        self._wakeup = eventlet.event.Event()

    @property
    def is_busy(self) -> bool:
        """Return whether a settlement is still to be written."""
        return bool(self._waiting) or self._is_writing

    def start(self) -> None:
        """Begin to write."""
        eventlet.spawn_n(self._run)

    def add(self, record: StoredRecord) -> None:
        """Queue a settlement."""
        self._waiting.append(record)
        if not self._wakeup.ready():
            self._wakeup.send()

    def _run(self) -> None:
        while True:
            if not self._waiting:
                self._wakeup.wait()
                self._wakeup = eventlet.event.Event()
            eventlet.sleep(SETTLE_SECONDS)
            batch, self._waiting = self._waiting, []
            self._is_writing = True
            failed = self._write(batch)
            self._is_writing = False
            if failed:
                self._waiting = failed + self._waiting
                eventlet.sleep(SETTLE_RETRY_SECONDS)

    def _write(self, batch: list[StoredRecord]) -> list[StoredRecord]:
        """Write settlements; return those that no quorum took."""
        by_group: dict[int, list[StoredRecord]] = {}
        for record in batch:
            try:
                by_group.setdefault(self._ledger.group_of(record.owner), []).append(record)
            except StoreUncertainError:
                return batch
        failed = []
        for group, records in by_group.items():
            try:
                self._client.write(group, records)
            except NoQuorumError:
                failed += records
        return failed
