"""Storage of conversation turns in the record store.

A turn is stored in its common group. While that is unreachable, the turn is stored in the group of
the gateway's zone, provided that this group survives the required number of lost disks, and is
copied to its common group later. A turn never changes, so any copy of it is valid, and a turn is
missing only if the common group and all zone groups say so.

A turn that is in the common groups, or in a zone's group, has its whole chain there. If the gateway
does not know that the chain is kept until the turn is stored, it stores the chain again.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.record_names import RecordName
from yarrowwall.budgets.settlements import SettlementQueues
from yarrowwall.budgets.turn_cache import TurnCache
from yarrowwall.budgets.turn_copier import TurnCopier
from yarrowwall.budgets.turns import Turn, turn_key, turn_record
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import OPERATION_SECONDS

#: Timeout in seconds of the first write to each group if the zone's group may store the turn too.
#: Otherwise the common group has as long as any operation. The timeout doubles with each round. An
#: answer takes milliseconds, and callers wait for the end of each turn.
FIRST_STORE_TIMEOUT_SECONDS = 0.3
#: Seconds between two rounds, since writes to replicas with closed connections fail at once.
STORE_RETRY_SECONDS = 0.1
#: Smallest timeout in seconds of a write, even beyond the request's deadline. Most groups store a
#: turn in a few milliseconds.
MIN_STORE_TIMEOUT_SECONDS = 0.1
#: Seconds before a request's deadline that are reserved for sending the end of its answer.
END_MARGIN_SECONDS = 0.03
#: Seconds after which storing a turn is logged as late.
LATE_STORE_SECONDS = 0.25
#: Most bytes of turns in one write.
MAX_WRITE_BYTES = 4 * 1024 * 1024

#: A group and a record to write to it.
PlacedRecord = tuple[int, StoredRecord]


@dataclass
class _PendingTurn:
    """A turn to be stored.

    :param chain: The earlier turns, oldest first.
    :param settlement_records: Settlements of its reservations, with their groups.
    :param started_s: Monotonic time of the first write.
    :param failures: Why the last write to a group failed, by group.
    """

    turn: Turn
    chain: Sequence[Turn]
    record: StoredRecord
    retention_s: float
    settlement_records: list[PlacedRecord]
    started_s: float
    tries: int = 0
    failures: dict[int, str] = field(default_factory=dict)

    def failure(self, now: float) -> str:
        """Return why the turn was not stored."""
        reasons = "; ".join(self.failures.values())
        return f"turn not kept in {now - self.started_s:.2f} s, {self.tries} tries: {reasons}"


class TurnStore:
    """Stores turns.

    :param cache: The gateway's turns.
    :param now: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        groups: RecordGroups,
        cache: TurnCache,
        copier: TurnCopier,
        queues: SettlementQueues,
        now: Callable[[], float],
    ) -> None:
        self._client = groups.client
        self._group_of = groups.group_of
        self._zones = groups.zones
        self._reachability = groups.reachability
        self._log = groups.log
        self._cache = cache
        self._copier = copier
        self._queues = queues
        self._now = now

    def check_storable(self, attempt_id: RecordName) -> None:
        """Check that a turn can probably be stored when it ends.

        :raises StoreUncertainError: If its group is unreachable and the zone cannot store turns.
        """
        group = self._group_of(turn_key(attempt_id))
        if self._reachability.is_unreachable(group) and not self._can_fall_back:
            reason = f"group {group} is out of reach, and the zone keeps no turns"
            raise StoreUncertainError(self._client.loss(group) or reason)

    @property
    def _can_fall_back(self) -> bool:
        own = self._zones.own_group
        return (
            own is not None
            and self._zones.stores_turns
            and not self._reachability.is_unreachable(own)
        )

    # Storing

    def store(
        self,
        turn: Turn,
        chain: Sequence[Turn],
        retention_s: float,
        settlement_records: list[PlacedRecord],
        deadline: Callable[[], float],
    ) -> None:
        """Store a turn, and retry with its groups until one of them has stored it.

        The answer has already begun, so writes are retried until the request's deadline, and each
        group is tried once even if it has passed. Repeated writes are idempotent.

        :param chain: The earlier turns, oldest first.
        :param settlement_records: Settlements of its reservations, written with it if they belong
            to the same group.
        :param deadline: Returns the monotonic time at which the request's time is over.

        :raises StoreUncertainError: If no quorum stored it in time.
        """
        pending = _PendingTurn(
            turn,
            chain,
            turn_record(turn, retention_s),
            retention_s,
            settlement_records,
            self._now(),
        )
        timeout_s = FIRST_STORE_TIMEOUT_SECONDS if self._zones.stores_turns else OPERATION_SECONDS
        while True:
            for group in self._target_groups(pending):
                left_s = deadline() - self._now()
                if left_s <= 0.0 and group in pending.failures:
                    raise StoreUncertainError(pending.failure(self._now()))
                usable_s = max(left_s - END_MARGIN_SECONDS, MIN_STORE_TIMEOUT_SECONDS)
                if self._try_store(pending, group, min(timeout_s, usable_s)):
                    self._note_stored(pending, group)
                    return
            eventlet.sleep(STORE_RETRY_SECONDS)
            timeout_s *= 2.0

    def _target_groups(self, pending: _PendingTurn) -> list[int]:
        """Return the groups that may store a turn, reachable ones first."""
        found = [self._group_of(pending.record.key)]
        own = self._zones.own_group
        if own is not None and self._zones.stores_turns:
            found.append(own)
        return sorted(found, key=self._reachability.is_unreachable)

    def _try_store(self, pending: _PendingTurn, group: int, timeout_s: float) -> bool:
        """Write a turn to a group; return whether it was stored within the timeout."""
        pending.tries += 1
        try:
            if group == self._zones.own_group:
                self._store_in_zone(pending, group, timeout_s)
            else:
                self._write(pending, group, timeout_s)
        except NoQuorumError as error:
            pending.failures[group] = str(error)
            # With a shorter timeout than others get, a failure does not prove it unreachable.
            if self._zones.part_count and timeout_s >= FIRST_STORE_TIMEOUT_SECONDS:
                self._reachability.note_failed(group)
            return False
        return True

    def _store_in_zone(self, pending: _PendingTurn, own: int, timeout_s: float) -> None:
        """Store a turn in the group of the gateway's zone, and queue it for copying.

        :raises NoQuorumError: If the zone's group does not store it in time.
        """
        self._write(pending, own, timeout_s)
        self._log.write(decisions.TurnKeptInZone(pending.turn.attempt_id, own))
        self._copier.add([*pending.chain, pending.turn], pending.retention_s, is_urgent=False)

    def _write(self, pending: _PendingTurn, group: int, timeout_s: float) -> None:
        """Write a turn to a group with the settlements for that group, and queue the others.

        :raises NoQuorumError: If the group does not store it in time.
        """
        self._ensure_chain_kept(pending, group, timeout_s)
        settlements = [
            settlement for target, settlement in pending.settlement_records if target == group
        ]
        self._client.write(group, [pending.record, *settlements], timeout=timeout_s)
        for target, settlement in pending.settlement_records:
            if target != group:
                self._queues.add(target, settlement)

    def _ensure_chain_kept(self, pending: _PendingTurn, group: int, timeout_s: float) -> None:
        """Store the earlier turns again unless they are kept until the turn itself is stored.

        :param group: The group that the turn is written to.
        :raises NoQuorumError: If a group does not store them in time.
        """
        previous, in_zone = pending.turn.previous, group == self._zones.own_group
        if not previous or self._cache.is_kept(previous, self._now() + timeout_s, in_zone):
            return
        started_s = self._now()
        records: dict[int, list[StoredRecord]] = defaultdict(list)
        for turn in pending.chain:
            target = group if in_zone else self._group_of(turn_key(turn.attempt_id))
            records[target].append(turn_record(turn, pending.retention_s))
        for target, of_target in records.items():
            for batch in _batches(of_target):
                self._client.write(target, batch, timeout=timeout_s)
        for turn in pending.chain:
            self._cache.put(turn)
        self._cache.note_kept(previous, started_s + pending.retention_s, in_zone)
        turns = len(pending.chain)
        self._log.write(decisions.ChainStoredAgain(pending.turn.attempt_id, group, turns))

    def _note_stored(self, pending: _PendingTurn, group: int) -> None:
        attempt_id, in_zone = pending.turn.attempt_id, group == self._zones.own_group
        self._cache.put(pending.turn)
        self._cache.note_kept(attempt_id, pending.started_s + pending.retention_s, in_zone)
        seconds = self._now() - pending.started_s
        if seconds >= LATE_STORE_SECONDS:
            self._log.write(decisions.TurnKeptLate(attempt_id, group, seconds, pending.tries))


def _batches(records: Sequence[StoredRecord]) -> Iterator[list[StoredRecord]]:
    """Divide records into writes of a limited size."""
    batch: list[StoredRecord] = []
    size = 0
    for record in records:
        if batch and size + len(record.value) > MAX_WRITE_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record.value)
    if batch:
        yield batch
