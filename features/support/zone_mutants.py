"""Ways to break budgets and turns in a zone that is cut off; the schedules have to find each."""

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.budgets import budget_requests, reservations
from yarrowwall.budgets.budget_requests import Reservation
from yarrowwall.budgets.ledger import LedgerGrant, ReplicatedLedger
from yarrowwall.budgets.reservations import Reservations
from yarrowwall.budgets.turn_reservations import TurnReservations
from yarrowwall.budgets.turn_store import TurnStore, _Found
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
_look_everywhere = TurnStore._look_everywhere
_WRITERS = quorum_client.WRITERS


def _hands_all_back(pieces: Mapping[int, int], tokens: int) -> dict[int, int]:
    return {group: 0 if is_zone_group(group) else held for group, held in pieces.items()}


def _whole_rest_to_each(budget: int, zones: int) -> BudgetParts:
    parts = _divide(budget, zones)
    return BudgetParts(parts.common, budget - parts.common)


def _common_grants_all(budget: int, zones: int) -> BudgetParts:
    return BudgetParts(budget, _divide(budget, zones).per_zone)


def _overlooks_running(self: PartReading) -> int:
    settled = [claim for claim in self.others.values() if claim.version == ClaimState.SETTLED]
    return max(0, min(self.asked, self.size - sum(claim.tokens for claim in settled)))


def _lowers_too_far(
    self: Reservations,
    group: int,
    reservation: Any,
    state: ClaimState,
    amount: int,
    server: str = "",
) -> StoredRecord:
    lowered = 0 if state is ClaimState.GRANTED else amount
    return _record(self, group, reservation, state, lowered, server)


def _everyone_was_asked(
    readings: Mapping[int, PartReading], key: str, wanted: int, unread: int
) -> Verdict:
    return _judge(readings, key, wanted, 0)


def _common_alone(self: TurnStore, key: str, retention: float) -> _Found:
    group = self._group_of(key)
    try:
        return _Found(self._look(group, key), [])
    except NoQuorumError as error:
        return _Found([], [group], str(error))


def _silence_is_no(self: TurnStore, key: str, retention: float) -> _Found:
    found = _look_everywhere(self, key, retention)
    return found._replace(unasked=[])


def _more_without_a_claim(
    self: ReplicatedLedger, held: TurnReservations, budget: int, needed: int, end: Any
) -> None:
    claim = held.next_claim(held.lacked)
    held.add(Reservation(claim, {claim.common: claim.tokens}, claim.tokens, "", False))


def _kept_in_memory(self: TurnStore, keeping: Any, own: int, wait_s: float) -> None:
    self._copies.add([keeping.turn], keeping.retention, is_needed=False)


def _one_disk_of_the_zone(view: Any, disks: Any) -> bool:
    return bool(disks) if is_zone_group(view.group) else _WRITERS.is_made_by(view, disks)


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "hands a piece back that was spent": lambda: patch.object(
        reservations, "allocate_spent", _hands_all_back
    ),
    "gives what zones share to each of them": lambda: patch.object(
        reservations, "divide_budget", _whole_rest_to_each
    ),
    "lets the common group grant what zones hold": lambda: patch.object(
        reservations, "divide_budget", _common_grants_all
    ),
    "grants a piece twice while its turn runs": lambda: patch.object(
        PartReading, "free", property(_overlooks_running)
    ),
    "records less than a turn may take": lambda: patch.object(
        Reservations, "_record", _lowers_too_far
    ),
    "passes on more than was granted": lambda: patch.object(
        LedgerGrant, "ensure_granted", lambda self, passed: None
    ),
    "goes on beyond a short grant without a claim": lambda: patch.object(
        ReplicatedLedger, "reserve_more", _more_without_a_claim
    ),
    "says 402 although a zone was not asked": lambda: patch.object(
        reservations, "decide_grant", _everyone_was_asked
    ),
    "says 404 without asking the zones": lambda: patch.object(
        TurnStore, "_look_everywhere", _common_alone
    ),
    "says 404 although a group was not asked": lambda: patch.object(
        TurnStore, "_look_everywhere", _silence_is_no
    ),
    "takes a turn for kept that waits to be copied": lambda: patch.object(
        TurnStore, "_keep_in_zone", _kept_in_memory
    ),
    "leaves no trace of turns that a zone served": lambda: patch.object(
        budget_requests.GroupState, "is_blank", property(lambda self: self.tokens == 0)
    ),
    "takes one disk of the zone for enough": lambda: patch.object(
        quorum_client,
        "WRITERS",
        Quorum(
            _one_disk_of_the_zone,
            lambda view, found: _one_disk_of_the_zone(view, found.acknowledged),
        ),
    ),
}
