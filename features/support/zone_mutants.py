"""Mutants of budgets and turns in a partitioned zone, each to be detected by the schedules."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.budgets import budget_requests, reservations
from yarrowwall.budgets.budget_requests import Reservation
from yarrowwall.budgets.chain_lookup import ChainLookup, FoundTurns
from yarrowwall.budgets.ledger import ReplicatedLedger
from yarrowwall.budgets.ledger_grant import LedgerGrant
from yarrowwall.budgets.reservations import Reservations
from yarrowwall.budgets.turn_reservations import TurnReservations
from yarrowwall.budgets.turn_store import TurnStore
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.policy import budget_parts
from yarrowwall.policy.budget_parts import BudgetParts, ClaimState, PartReading, Verdict
from yarrowwall.replication import quorum_client
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.operations import Quorum
from yarrowwall.replication.views import is_zone_group

_divide = budget_parts.divide_budget
_judge = budget_parts.decide_grant
_record = Reservations._record
_find_turns = ChainLookup._find_turns
_WRITE_QUORUM = quorum_client.WRITE_QUORUM


def _release_all(pieces: Mapping[int, int], tokens: int) -> dict[int, int]:
    return {group: 0 if is_zone_group(group) else held for group, held in pieces.items()}


def _share_to_each_zone(budget: int, zones: int) -> BudgetParts:
    parts = _divide(budget, zones)
    return BudgetParts(parts.common, budget - parts.common)


def _common_grants_all(budget: int, zones: int) -> BudgetParts:
    return BudgetParts(budget, _divide(budget, zones).per_zone)


def _ignore_running_turns(self: PartReading) -> int:
    settled = [claim for claim in self.others.values() if claim.version == ClaimState.SETTLED]
    return max(0, min(self.asked, self.size - sum(claim.tokens for claim in settled)))


def _lower_too_far(
    self: Reservations,
    group: int,
    reservation: Any,
    state: ClaimState,
    amount: int,
    server: str = "",
) -> StoredRecord:
    lowered = 0 if state is ClaimState.GRANTED else amount
    return _record(self, group, reservation, state, lowered, server)


def _treat_all_as_asked(
    readings: Mapping[int, PartReading], key: str, wanted: int, unread: int
) -> Verdict:
    return _judge(readings, key, wanted, 0)


def _ask_common_group_only(
    self: ChainLookup, key: str, stop: list[str], retention_s: float
) -> FoundTurns:
    group = self._group_of(key)
    try:
        return FoundTurns(self._read_from(group, key, stop), [])
    except NoQuorumError as error:
        return FoundTurns([], [group], str(error))


def _treat_silence_as_missing(
    self: ChainLookup, key: str, stop: list[str], retention_s: float
) -> FoundTurns:
    found = _find_turns(self, key, stop, retention_s)
    return found._replace(unanswered=[])


def _reserve_without_claim(
    self: ReplicatedLedger, held: TurnReservations, budget: int, needed: int, end: Any
) -> None:
    claim = held.next_claim(held.missing_tokens)
    tokens = {claim.common_group: claim.tokens}
    held.add(Reservation(claim, tokens, claim.tokens, "", False, [], {}))


def _store_in_memory(self: TurnStore, pending: Any, own: int, timeout_s: float) -> None:
    self._copier.add([pending.turn], pending.retention_s, is_urgent=False)


def _one_disk_is_enough(view: Any, disks: Any) -> bool:
    return (
        bool(disks) if is_zone_group(view.group) else _WRITE_QUORUM.is_reached_by_disks(view, disks)
    )


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "releases tokens that were spent": lambda: patch.object(
        reservations, "allocate_spent", _release_all
    ),
    "grants the zones' whole share to each of them": lambda: patch.object(
        reservations, "divide_budget", _share_to_each_zone
    ),
    "lets the common group grant the zones' parts": lambda: patch.object(
        reservations, "divide_budget", _common_grants_all
    ),
    "grants tokens twice while their turn runs": lambda: patch.object(
        PartReading, "free", property(_ignore_running_turns)
    ),
    "records less than a turn may emit": lambda: patch.object(
        Reservations, "_record", _lower_too_far
    ),
    "relays more than was granted": lambda: patch.object(
        LedgerGrant, "ensure_granted", lambda self, passed: None
    ),
    "continues beyond a short grant without a claim": lambda: patch.object(
        ReplicatedLedger, "reserve_more", _reserve_without_claim
    ),
    "answers 402 although a zone was not asked": lambda: patch.object(
        reservations, "decide_grant", _treat_all_as_asked
    ),
    "answers 404 without asking the zones": lambda: patch.object(
        ChainLookup, "_find_turns", _ask_common_group_only
    ),
    "answers 404 although a group was not asked": lambda: patch.object(
        ChainLookup, "_find_turns", _treat_silence_as_missing
    ),
    "treats a turn as stored that waits to be copied": lambda: patch.object(
        TurnStore, "_store_in_zone", _store_in_memory
    ),
    "leaves no record of turns that a zone served": lambda: patch.object(
        budget_requests.GroupState, "is_unused", property(lambda self: self.tokens == 0)
    ),
    "treats one disk of the zone as a quorum": lambda: patch.object(
        quorum_client,
        "WRITE_QUORUM",
        Quorum(
            _one_disk_is_enough,
            lambda view, found: _one_disk_is_enough(view, found.acknowledged),
        ),
    ),
}
