"""Storage and lookup of conversation turns in the record store.

A turn is stored in its common group. While that is unreachable, the turn is stored in the group of
the gateway's zone, provided that this group survives the required number of lost disks, and is
copied to its common group later. A turn never changes, so any copy of it is valid, and a turn is
missing only if the common group and all zone groups say so.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.settlements import SettlementQueues
from yarrowwall.budgets.turn_copier import TurnCopier
from yarrowwall.budgets.turns import Turn, TurnCache, read_turn, turn_key, turn_record
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import StoreUncertainError, TurnUnknownError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import OPERATION_SECONDS, QuorumClient

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
#: Timeout in seconds of looking up earlier turns in a group if other groups may have them too.
LOOKUP_TIMEOUT_SECONDS = 0.25
#: The same for a group that is unreachable as a whole. A member that still answers may hold the
#: chain, and is in the gateway's zone, so its answer takes little time.
UNREACHABLE_LOOKUP_TIMEOUT_SECONDS = 0.03

#: A group and a record to write to it.
PlacedRecord = tuple[int, StoredRecord]


class _ChainLookup(NamedTuple):
    """The result of looking up a turn and the earlier ones.

    :param turns: The turns that were found, newest first.
    :param unanswered: Groups that could not answer.
    :param reason: Why the last of these could not.
    """

    turns: list[Turn]
    unanswered: list[int]
    reason: str = ""


@dataclass
class _PendingTurn:
    """A turn to be stored.

    :param settlement_records: Settlements of its reservations, with their groups.
    :param started_s: Monotonic time of the first write.
    :param failures: Why the last write to a group failed, by group.
    """

    turn: Turn
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
    """Looks up and stores turns.

    :param group_of: Returns the common group of a key; raises StoreUncertainError if there is none.
    :param now: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        client: QuorumClient,
        group_of: Callable[[str], int],
        zones: ZoneGroups,
        reachability: GroupReachability,
        queues: SettlementQueues,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._now = now
        self._client = client
        self._group_of = group_of
        self._zones = zones
        self._reachability = reachability
        self._queues = queues
        self._log = log
        self._cache = TurnCache()
        self._copier = TurnCopier(client, group_of, reachability, log)

    def check_storable(self, attempt_id: str) -> None:
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

    # Chains

    def chain(self, attempt_id: str, previous: str, retention_s: float) -> list[Turn]:
        """Return the turns up to ``previous``, oldest first.

        :param retention_s: Seconds for which copies of turns found in zone groups are kept.
        :raises TurnUnknownError: If ``previous`` certainly does not exist.
        :raises StoreUncertainError: If that cannot be decided, or an earlier turn is missing.
        """
        turns, missing = self._cache.chain(previous)
        fetched_count = 0
        while missing:
            more = self._fetch(attempt_id, missing, retention_s, is_first=not turns)
            fetched_count += len(more)
            turns += more
            missing = turns[-1].previous
        outcome = "fetched" if fetched_count else "cached"
        self._log.write(decisions.ChainLookedUp(attempt_id, previous, outcome, len(turns)))
        return turns[::-1]

    def _fetch(
        self, attempt_id: str, missing: str, retention_s: float, is_first: bool
    ) -> list[Turn]:
        """Return a turn and the earlier ones that the same group has, newest first."""
        found = self._find_turns(turn_key(missing), retention_s)
        if found.turns:
            return found.turns
        if found.unanswered:
            self._log.write(decisions.ChainLookedUp(attempt_id, missing, "uncertain", 0))
            raise StoreUncertainError(found.reason)
        self._log.write(decisions.ChainLookedUp(attempt_id, missing, "unknown", 0))
        if is_first:
            raise TurnUnknownError(f"no turn {missing}")
        raise StoreUncertainError(f"turn {missing} of the chain is missing")

    def _find_turns(self, key: str, retention_s: float) -> _ChainLookup:
        """Look for a turn in its common group, then in the groups of all zones."""
        common_group = self._group_of(key)
        unanswered = []
        reason = ""
        for group in self._zones.common_first(common_group):
            try:
                turns = self._read_from(group, key)
            except NoQuorumError as error:
                unanswered.append(group)
                reason = str(error)
                continue
            if turns and group != common_group:
                self._copier.add(turns, retention_s, is_urgent=True)
            if turns:
                return _ChainLookup(turns, unanswered)
        return _ChainLookup([], unanswered, reason)

    def _read_from(self, group: int, key: str) -> list[Turn]:
        """Return a turn and the earlier ones that a group has, newest first.

        :raises NoQuorumError: If the group cannot answer.
        """
        is_unreachable = self._reachability.is_unreachable(group)
        try:
            records = self._client.read_chain(
                group, key, [], timeout=self._lookup_timeout_s(is_unreachable)
            )
        except NoQuorumError:
            if self._zones.part_count and not is_unreachable:
                self._reachability.note_failed(group)
            raise
        found = []
        while (record := records.get(key)) is not None:
            turn = read_turn(record.key, record.link, record.value)
            self._cache.put(turn)
            found.append(turn)
            key = record.link
        return found

    def _lookup_timeout_s(self, is_unreachable: bool) -> float:
        if not self._zones.part_count:
            return OPERATION_SECONDS
        return UNREACHABLE_LOOKUP_TIMEOUT_SECONDS if is_unreachable else LOOKUP_TIMEOUT_SECONDS

    # Storing

    def store(
        self,
        turn: Turn,
        retention_s: float,
        settlement_records: list[PlacedRecord],
        deadline: Callable[[], float],
    ) -> None:
        """Store a turn, and retry with its groups until one of them has stored it.

        The answer has already begun, so writes are retried until the request's deadline. Repeated
        writes are idempotent.

        :param settlement_records: Settlements of its reservations, written with it if they belong
            to the same group.
        :param deadline: Returns the monotonic time at which the request's time is over.

        :raises StoreUncertainError: If no quorum stored it in time.
        """
        pending = _PendingTurn(
            turn, turn_record(turn, retention_s), retention_s, settlement_records, self._now()
        )
        timeout_s = FIRST_STORE_TIMEOUT_SECONDS if self._zones.stores_turns else OPERATION_SECONDS
        while True:
            for group in self._target_groups(pending):
                left_s = deadline() - END_MARGIN_SECONDS - self._now()
                if left_s <= 0.0 and pending.tries:
                    raise StoreUncertainError(pending.failure(self._now()))
                if self._try_store(
                    pending, group, min(timeout_s, max(left_s, MIN_STORE_TIMEOUT_SECONDS))
                ):
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
        self._copier.add([pending.turn], pending.retention_s, is_urgent=False)

    def _write(self, pending: _PendingTurn, group: int, timeout_s: float) -> None:
        """Write a turn to a group with the settlements for that group, and queue the others.

        :raises NoQuorumError: If the group does not store it in time.
        """
        settlements = [
            settlement for target, settlement in pending.settlement_records if target == group
        ]
        self._client.write(group, [pending.record, *settlements], timeout=timeout_s)
        for target, settlement in pending.settlement_records:
            if target != group:
                self._queues.add(target, settlement)

    def _note_stored(self, pending: _PendingTurn, group: int) -> None:
        self._cache.put(pending.turn)
        seconds = self._now() - pending.started_s
        if seconds >= LATE_STORE_SECONDS:
            attempt_id = pending.turn.attempt_id
            self._log.write(decisions.TurnKeptLate(attempt_id, group, seconds, pending.tries))
