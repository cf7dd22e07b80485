"""Mutants of the records' lifetimes, each to be detected by the schedules of retentions."""

from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.budgets.chain_lookup import ChainLookup
from yarrowwall.budgets.turn_copier import TurnCopier
from yarrowwall.budgets.turn_store import TurnStore
from yarrowwall.messages.replicated import ReadLifetimes
from yarrowwall.replication import quorum_client, table
from yarrowwall.replication.expiry import RecordExpiry
from yarrowwall.replication.operations import Operation, Quorum
from yarrowwall.replication.quorum_client import OPERATION_SECONDS, QuorumClient
from yarrowwall.replication.table import RecordTable

_ensure_chain_kept = TurnStore._ensure_chain_kept


def _drop_at_once(self: RecordExpiry, owners: list[str], groups: list[int]) -> int:
    return self._replica.table.drop(owners, self._now())


def _ask_one_replica(self: QuorumClient, group: int, owners: list[str]) -> list[float]:
    operation = Operation(
        group,
        "",
        Quorum(lambda view, disks: bool(disks), lambda view, found: bool(found.owners_left_s)),
        lambda view, member: ReadLifetimes(group, view.epoch, member.disk_id, owners, []),
    )
    (left_s,) = self._run(operation, OPERATION_SECONDS).owners_left_s.values()
    return left_s


def _store_chain_in_common_groups_only(
    self: TurnStore, pending: Any, group: int, timeout_s: float
) -> None:
    if group != self._zones.own_group:
        _ensure_chain_kept(self, pending, group, timeout_s)


def _longest_s(view: Any, left_s: dict[str, Sequence[float]]) -> float:
    return max((seconds for (seconds,) in left_s.values()), default=0.0)


def _copy_in_any_order(self: TurnCopier) -> bool:
    for key, queued in reversed(self._queue.items()):
        if not self._reachability.is_unreachable(self._group_of(key)):
            return self._copy(self._group_of(key), key, queued)
    return False


def _trust_what_was_found(self: ChainLookup, query: Any, turns: list[Any]) -> None:
    self._cache.note_kept(query.previous, query.end)


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "drops records without asking other replicas": lambda: patch.object(
        RecordExpiry, "_expire_batch", _drop_at_once
    ),
    "asks its own group alone about a chain": lambda: patch.object(
        RecordExpiry, "_chain_groups", RecordExpiry._own_group
    ),
    "takes one answer for a read quorum": lambda: patch.object(
        QuorumClient, "owners_left_s", _ask_one_replica
    ),
    "keeps each record by its own age": lambda: patch.object(
        table, "owner_of", lambda record: record.key
    ),
    "ignores lifetimes that others know": lambda: patch.object(
        RecordTable, "extend", lambda self, owner, until: self._kept_until.setdefault(owner, until)
    ),
    "stores a turn although its chain may be over": lambda: patch.object(
        TurnStore, "_ensure_chain_kept", lambda self, pending, group, timeout_s: None
    ),
    "trusts a chain that one replica has": lambda: patch.object(
        ChainLookup, "_confirm_kept", _trust_what_was_found
    ),
    "takes one replica for a write quorum": lambda: patch.object(
        quorum_client, "kept_by_write_quorum_s", _longest_s
    ),
    "stores a turn in its zone without its chain": lambda: patch.object(
        TurnStore, "_ensure_chain_kept", _store_chain_in_common_groups_only
    ),
    "copies a turn before the earlier ones": lambda: patch.object(
        TurnCopier, "_copy_next", _copy_in_any_order
    ),
    "drops nothing": lambda: patch.object(RecordTable, "drop", lambda self, owners, now: 0),
}
