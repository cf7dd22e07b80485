"""Turns of conversations in the record store: chains of them, and where a new one is kept.

A turn belongs into its common group. While that is out of reach it is kept in the own
zone's group, if that outlives as many lost disks as must be borne; it is copied to its
common group later. A turn never changes, so any copy of it is right, and one is missing
only if the common group and all zones' groups say so.
"""

from collections.abc import Callable
from typing import NamedTuple

from yarrowwall import decisions
from yarrowwall.budgets.group_reach import GroupReach
from yarrowwall.budgets.settlements import SettlementQueues
from yarrowwall.budgets.turn_copies import TurnCopies
from yarrowwall.budgets.turns import Turn, TurnCache, read_turn, turn_key, turn_record
from yarrowwall.budgets.zone_groups import ZoneGroups
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import StoreUncertainError, TurnUnknownError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import OPERATION_SECONDS, QuorumClient

#: Seconds that the end of an answer waits for its turn to be stored.
KEEP_SECONDS = 2.0
#: Seconds of these that the common group has if the own zone's group can keep the turn. An
#: answer takes milliseconds, and callers wait for the end of each turn.
KEEP_COMMON_SECONDS = 0.3
#: Seconds that a turn looks for earlier ones in a group if another one may have them.
LOOK_SECONDS = 0.25
#: Seconds that the members in reach have if their group as a whole is known to be out of it:
#: one of them may hold the chain, and it stands in the same zone.
LOOK_AT_REST_SECONDS = 0.03

#: A record, and the group that it is written to.
Placed = tuple[int, StoredRecord]


class _Found(NamedTuple):
    """Turns that were found, newest first.

    :param unasked: groups that could not tell.
    :param reason: why the last one could not.
    """

    turns: list[Turn]
    unasked: list[int]
    reason: str = ""


class TurnStore:
    """Finds and keeps turns.

    :param group_of: returns the common group of a key; raises StoreUncertainError if there is none.
    """

    def __init__(
        self,
        client: QuorumClient,
        group_of: Callable[[str], int],
        zones: ZoneGroups,
        reach: GroupReach,
        queues: SettlementQueues,
        log: DecisionLog,
    ) -> None:
        self._client = client
        self._group_of = group_of
        self._zones = zones
        self._reach = reach
        self._queues = queues
        self._log = log
        self._cache = TurnCache()
        self._copies = TurnCopies(client, group_of, reach, log)

    def check_keepable(self, attempt_id: str) -> None:
        """Refuse a turn that surely could not be kept at its end.

        :raises StoreUncertainError: if its group is out of reach and the zone keeps no turns.
        """
        group = self._group_of(turn_key(attempt_id))
        if self._reach.is_out(group) and not self._can_fall_back:
            reason = f"group {group} is out of reach, and the zone keeps no turns"
            raise StoreUncertainError(self._client.loss(group) or reason)

    @property
    def _can_fall_back(self) -> bool:
        own = self._zones.own
        return own is not None and self._zones.keeps_turns and not self._reach.is_out(own)

    # Chains

    def chain(self, attempt_id: str, previous: str, retention: float) -> list[Turn]:
        """Return the turns up to ``previous``, oldest first.

        :raises TurnUnknownError: if it surely does not exist.
        :raises StoreUncertainError: if that cannot be told.
        """
        turns, missing = self._cache.chain(previous)
        fetched = 0
        while missing:
            more = self._fetch(attempt_id, missing, retention, is_first=not turns)
            fetched += len(more)
            turns += more
            missing = turns[-1].previous
        outcome = "fetched" if fetched else "cached"
        self._log.write(decisions.ChainLookedUp(attempt_id, previous, outcome, len(turns)))
        return turns[::-1]

    def _fetch(self, attempt_id: str, missing: str, retention: float, is_first: bool) -> list[Turn]:
        """Return a turn and those before it as far as one group has them, newest first."""
        found = self._look_everywhere(turn_key(missing), retention)
        if found.turns:
            return found.turns
        if found.unasked:
            self._log.write(decisions.ChainLookedUp(attempt_id, missing, "uncertain", 0))
            raise StoreUncertainError(found.reason)
        self._log.write(decisions.ChainLookedUp(attempt_id, missing, "unknown", 0))
        if is_first:
            raise TurnUnknownError(f"no turn {missing}")
        raise StoreUncertainError(f"turn {missing} of the chain is missing")

    def _look_everywhere(self, key: str, retention: float) -> _Found:
        """Look for a turn in its common group, then in the groups of all zones."""
        common = self._group_of(key)
        unasked = []
        reason = ""
        for group in self._zones.beside(common):
            try:
                turns = self._look(group, key)
            except NoQuorumError as error:
                unasked.append(group)
                reason = str(error)
                continue
            if turns and group != common:
                self._copies.add(turns, retention, is_needed=True)
            if turns:
                return _Found(turns, unasked)
        return _Found([], unasked, reason)

    def _look(self, group: int, key: str) -> list[Turn]:
        """Return a turn and those before it that one group has.

        :raises NoQuorumError: if it cannot tell.
        """
        is_out = self._reach.is_out(group)
        try:
            records = self._client.read_chain(group, key, [], timeout=self._look_s(is_out))
        except NoQuorumError:
            if self._zones.parts and not is_out:
                self._reach.note_failed(group)
            raise
        found = []
        while (record := records.get(key)) is not None:
            turn = read_turn(record.key, record.link, record.value)
            self._cache.put(turn)
            found.append(turn)
            key = record.link
        return found

    def _look_s(self, is_out: bool) -> float:
        if not self._zones.parts:
            return OPERATION_SECONDS
        return LOOK_AT_REST_SECONDS if is_out else LOOK_SECONDS

    # Keeping

    def keep(self, turn: Turn, retention: float, settled: list[Placed]) -> None:
        """Store a turn.

        :param settled: the settlement of its reservation, stored with it where it can be.

        :raises StoreUncertainError: if no quorum took it in time.
        """
        record = turn_record(turn, retention)
        group = self._group_of(record.key)
        can_fall_back = self._can_fall_back
        if not self._reach.is_out(group):
            try:
                self._write(group, record, settled, is_last=not can_fall_back)
            except NoQuorumError as error:
                if self._zones.parts:
                    self._reach.note_failed(group)
                if not can_fall_back:
                    raise StoreUncertainError(str(error)) from error
            else:
                self._cache.put(turn)
                return
        self._keep_in_zone(turn, record, retention, settled)

    def _keep_in_zone(
        self, turn: Turn, record: StoredRecord, retention: float, settled: list[Placed]
    ) -> None:
        own = self._zones.own
        if own is None or not self._can_fall_back:
            raise StoreUncertainError("neither the turn's group nor the zone's can keep it")
        try:
            self._write(own, record, settled, is_last=True)
        except NoQuorumError as error:
            self._reach.note_failed(own)
            raise StoreUncertainError(str(error)) from error
        self._log.write(decisions.TurnKeptInZone(turn.attempt_id, own))
        self._cache.put(turn)
        self._copies.add([turn], retention, is_needed=False)

    def _write(
        self, group: int, record: StoredRecord, settled: list[Placed], is_last: bool
    ) -> None:
        """Write a turn to a group, with the settlements that belong there."""
        beside = [other for at, other in settled if at == group]
        timeout = KEEP_SECONDS if is_last else KEEP_COMMON_SECONDS
        self._client.write(group, [record, *beside], timeout=timeout)
        for at, other in settled:
            if at != group:
                self._queues.add(at, other)
