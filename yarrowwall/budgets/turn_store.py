"""Turns of conversations in the record store: chains of them, and where a new one is kept.

A turn belongs into its common group. While that is out of reach it is kept in the own
zone's group, if that outlives as many lost disks as must be borne; it is copied to its
common group later. A turn never changes, so any copy of it is right, and one is missing
only if the common group and all zones' groups say so.
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

#: Seconds that each group has at first to take a turn if the own zone's group may keep it too; else
#: the common one has as long as any operation. Twice as many at each further try. An answer takes
#: milliseconds, and callers wait for the end of each turn.
FIRST_STORE_TIMEOUT_SECONDS = 0.3
#: Seconds between two tries: replicas whose connections end fail at once.
STORE_RETRY_SECONDS = 0.1
#: Seconds that a group has at least, also behind the request's time: most take a turn in a few
#: milliseconds.
MIN_STORE_TIMEOUT_SECONDS = 0.1
#: Seconds of a request's time that are left for the end of its answer to reach the caller.
END_MARGIN_SECONDS = 0.03
#: Seconds that an end waited for its turn to be stored, from which on this is told.
LATE_STORE_SECONDS = 0.25
#: Seconds that a turn looks for earlier ones in a group if another one may have them.
LOOKUP_TIMEOUT_SECONDS = 0.25
#: Seconds that the members in reach have if their group as a whole is known to be out of it:
#: one of them may hold the chain, and it stands in the same zone.
UNREACHABLE_LOOKUP_TIMEOUT_SECONDS = 0.03

#: A record, and the group that it is written to.
PlacedRecord = tuple[int, StoredRecord]


class _ChainLookup(NamedTuple):
    """Turns that were found, newest first.

    :param unasked: groups that could not tell.
    :param reason: why the last one could not.
    """

    turns: list[Turn]
    unanswered: list[int]
    reason: str = ""


@dataclass
class _PendingTurn:
    """A turn that is to be stored.

    :param begun: when that began, on the monotonic clock.
    :param failures: why a group did not take it the last time, by group.
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
    """Finds and keeps turns.

    :param group_of: returns the common group of a key; raises StoreUncertainError if there is none.
    :param now: the monotonic clock.
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
        """Refuse a turn that surely could not be kept at its end.

        :raises StoreUncertainError: if its group is out of reach and the zone keeps no turns.
        """
        group = self._group_of(turn_key(attempt_id))
        if self._reachability.is_unreachable(group) and not self._can_fall_back:
            reason = f"group {group} is out of reach, and the zone keeps no turns"
            raise StoreUncertainError(self._client.loss(group) or reason)

    @property
    def _can_fall_back(self) -> bool:
        own = self._zones.own
        return (
            own is not None
            and self._zones.stores_turns
            and not self._reachability.is_unreachable(own)
        )

    # Chains

    def chain(self, attempt_id: str, previous: str, retention_s: float) -> list[Turn]:
        """Return the turns up to ``previous``, oldest first.

        :raises TurnUnknownError: if it surely does not exist.
        :raises StoreUncertainError: if that cannot be told.
        """
        turns, missing = self._cache.chain(previous)
        fetched = 0
        while missing:
            more = self._fetch(attempt_id, missing, retention_s, is_first=not turns)
            fetched += len(more)
            turns += more
            missing = turns[-1].previous
        outcome = "fetched" if fetched else "cached"
        self._log.write(decisions.ChainLookedUp(attempt_id, previous, outcome, len(turns)))
        return turns[::-1]

    def _fetch(
        self, attempt_id: str, missing: str, retention_s: float, is_first: bool
    ) -> list[Turn]:
        """Return a turn and those before it as far as one group has them, newest first."""
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
        """Return a turn and those before it that one group has.

        :raises NoQuorumError: if it cannot tell.
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

    # Keeping

    def store(
        self,
        turn: Turn,
        retention_s: float,
        settlement_records: list[PlacedRecord],
        deadline: Callable[[], float],
    ) -> None:
        """Store a turn; ask its groups again until one takes it.

        Its answer has begun, so a group that is out of reach or late is no reason to give up
        while the request has time left. What is written twice is the same record.

        :param settled: the settlement of its reservation, stored with it where it can be.
        :param end: tells when the request's time is over, on the monotonic clock.

        :raises StoreUncertainError: if no quorum took it in time.
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
        """Return the groups that may keep a turn, those first that are in reach."""
        found = [self._group_of(pending.record.key)]
        own = self._zones.own
        if own is not None and self._zones.stores_turns:
            found.append(own)
        return sorted(found, key=self._reachability.is_unreachable)

    def _try_store(self, pending: _PendingTurn, group: int, timeout_s: float) -> bool:
        """Return whether a group takes a turn within so many seconds."""
        pending.tries += 1
        try:
            if group == self._zones.own:
                self._store_in_zone(pending, group, timeout_s)
            else:
                self._write(pending, group, timeout_s)
        except NoQuorumError as error:
            pending.failures[group] = str(error)
            # A group that had less time than others get may be in reach all the same.
            if self._zones.part_count and timeout_s >= FIRST_STORE_TIMEOUT_SECONDS:
                self._reachability.note_failed(group)
            return False
        return True

    def _store_in_zone(self, pending: _PendingTurn, own: int, timeout_s: float) -> None:
        """Store a turn in the own zone's group, to be copied to its common group later.

        :raises NoQuorumError: if the zone's group does not take it in time.
        """
        self._write(pending, own, timeout_s)
        self._log.write(decisions.TurnKeptInZone(pending.turn.attempt_id, own))
        self._copier.add([pending.turn], pending.retention_s, is_urgent=False)

    def _write(self, pending: _PendingTurn, group: int, timeout_s: float) -> None:
        """Write a turn to a group, with the settlements that belong there.

        :raises NoQuorumError: if the group does not take it in time.
        """
        settlements = [record for target, record in pending.settlement_records if target == group]
        self._client.write(group, [pending.record, *settlements], timeout=timeout_s)
        for target, record in pending.settlement_records:
            if target != group:
                self._queues.add(target, record)

    def _note_stored(self, pending: _PendingTurn, group: int) -> None:
        self._cache.put(pending.turn)
        seconds = self._now() - pending.started_s
        if seconds >= LATE_STORE_SECONDS:
            attempt_id = pending.turn.attempt_id
            self._log.write(decisions.TurnKeptLate(attempt_id, group, seconds, pending.tries))
