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
KEEP_FIRST_SECONDS = 0.3
#: Seconds between two tries: replicas whose connections end fail at once.
KEEP_AGAIN_SECONDS = 0.1
#: Seconds that a group has at least, also behind the request's time: most take a turn in a few
#: milliseconds.
KEEP_LEAST_SECONDS = 0.1
#: Seconds of a request's time that are left for the end of its answer to reach the caller.
END_MARGIN_SECONDS = 0.03
#: Seconds that an end waited for its turn to be stored, from which on this is told.
KEPT_LATE_SECONDS = 0.25
#: Seconds that a turn looks for earlier ones in a group if another one may have them.
LOOK_SECONDS = 0.25
#: Seconds that the members in reach have if their group as a whole is known to be out of it:
#: one of them may hold the chain, and it stands in the same zone.
LOOK_AT_REST_SECONDS = 0.03

#: A record, and the group that it is written to.
PlacedRecord = tuple[int, StoredRecord]


class _Found(NamedTuple):
    """Turns that were found, newest first.

    :param unasked: groups that could not tell.
    :param reason: why the last one could not.
    """

    turns: list[Turn]
    unasked: list[int]
    reason: str = ""


@dataclass
class _Keeping:
    """A turn that is to be stored.

    :param begun: when that began, on the monotonic clock.
    :param failures: why a group did not take it the last time, by group.
    """

    turn: Turn
    record: StoredRecord
    retention: float
    settled: list[PlacedRecord]
    begun: float
    tries: int = 0
    failures: dict[int, str] = field(default_factory=dict)

    def failure(self, now: float) -> str:
        """Return why the turn was not stored."""
        reasons = "; ".join(self.failures.values())
        return f"turn not kept in {now - self.begun:.2f} s, {self.tries} tries: {reasons}"


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
        reach: GroupReachability,
        queues: SettlementQueues,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._now = now
        self._client = client
        self._group_of = group_of
        self._zones = zones
        self._reach = reach
        self._queues = queues
        self._log = log
        self._cache = TurnCache()
        self._copies = TurnCopier(client, group_of, reach, log)

    def check_keepable(self, attempt_id: str) -> None:
        """Refuse a turn that surely could not be kept at its end.

        :raises StoreUncertainError: if its group is out of reach and the zone keeps no turns.
        """
        group = self._group_of(turn_key(attempt_id))
        if self._reach.is_unreachable(group) and not self._can_fall_back:
            reason = f"group {group} is out of reach, and the zone keeps no turns"
            raise StoreUncertainError(self._client.loss(group) or reason)

    @property
    def _can_fall_back(self) -> bool:
        own = self._zones.own
        return own is not None and self._zones.stores_turns and not self._reach.is_unreachable(own)

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
        for group in self._zones.common_first(common):
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
        is_unreachable = self._reach.is_unreachable(group)
        try:
            records = self._client.read_chain(group, key, [], timeout=self._look_s(is_unreachable))
        except NoQuorumError:
            if self._zones.part_count and not is_unreachable:
                self._reach.note_failed(group)
            raise
        found = []
        while (record := records.get(key)) is not None:
            turn = read_turn(record.key, record.link, record.value)
            self._cache.put(turn)
            found.append(turn)
            key = record.link
        return found

    def _look_s(self, is_unreachable: bool) -> float:
        if not self._zones.part_count:
            return OPERATION_SECONDS
        return LOOK_AT_REST_SECONDS if is_unreachable else LOOK_SECONDS

    # Keeping

    def keep(
        self, turn: Turn, retention: float, settled: list[PlacedRecord], end: Callable[[], float]
    ) -> None:
        """Store a turn; ask its groups again until one takes it.

        Its answer has begun, so a group that is out of reach or late is no reason to give up
        while the request has time left. What is written twice is the same record.

        :param settled: the settlement of its reservation, stored with it where it can be.
        :param end: tells when the request's time is over, on the monotonic clock.

        :raises StoreUncertainError: if no quorum took it in time.
        """
        keeping = _Keeping(turn, turn_record(turn, retention), retention, settled, self._now())
        wait_s = KEEP_FIRST_SECONDS if self._zones.stores_turns else OPERATION_SECONDS
        while True:
            for group in self._places(keeping):
                left_s = end() - END_MARGIN_SECONDS - self._now()
                if left_s <= 0.0 and keeping.tries:
                    raise StoreUncertainError(keeping.failure(self._now()))
                if self._is_kept(keeping, group, min(wait_s, max(left_s, KEEP_LEAST_SECONDS))):
                    self._note_kept(keeping, group)
                    return
            eventlet.sleep(KEEP_AGAIN_SECONDS)
            wait_s *= 2.0

    def _places(self, keeping: _Keeping) -> list[int]:
        """Return the groups that may keep a turn, those first that are in reach."""
        found = [self._group_of(keeping.record.key)]
        own = self._zones.own
        if own is not None and self._zones.stores_turns:
            found.append(own)
        return sorted(found, key=self._reach.is_unreachable)

    def _is_kept(self, keeping: _Keeping, group: int, wait_s: float) -> bool:
        """Return whether a group takes a turn within so many seconds."""
        keeping.tries += 1
        try:
            if group == self._zones.own:
                self._keep_in_zone(keeping, group, wait_s)
            else:
                self._write(keeping, group, wait_s)
        except NoQuorumError as error:
            keeping.failures[group] = str(error)
            # A group that had less time than others get may be in reach all the same.
            if self._zones.part_count and wait_s >= KEEP_FIRST_SECONDS:
                self._reach.note_failed(group)
            return False
        return True

    def _keep_in_zone(self, keeping: _Keeping, own: int, wait_s: float) -> None:
        """Store a turn in the own zone's group, to be copied to its common group later.

        :raises NoQuorumError: if the zone's group does not take it in time.
        """
        self._write(keeping, own, wait_s)
        self._log.write(decisions.TurnKeptInZone(keeping.turn.attempt_id, own))
        self._copies.add([keeping.turn], keeping.retention, is_needed=False)

    def _write(self, keeping: _Keeping, group: int, wait_s: float) -> None:
        """Write a turn to a group, with the settlements that belong there.

        :raises NoQuorumError: if the group does not take it in time.
        """
        beside = [other for at, other in keeping.settled if at == group]
        self._client.write(group, [keeping.record, *beside], timeout=wait_s)
        for at, other in keeping.settled:
            if at != group:
                self._queues.add(at, other)

    def _note_kept(self, keeping: _Keeping, group: int) -> None:
        self._cache.put(keeping.turn)
        seconds = self._now() - keeping.begun
        if seconds >= KEPT_LATE_SECONDS:
            attempt_id = keeping.turn.attempt_id
            self._log.write(decisions.TurnKeptLate(attempt_id, group, seconds, keeping.tries))
