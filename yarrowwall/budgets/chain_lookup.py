"""Lookup of the earlier turns of a conversation.

A turn is in its common group, or in the group of a zone that was cut off from it. The nearest
replica usually has the whole chain; other replicas and groups are asked for what it lacks.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.record_names import RecordName
from yarrowwall.budgets.turn_cache import TurnCache, TurnLine
from yarrowwall.budgets.turn_copier import TurnCopier
from yarrowwall.budgets.turns import Turn, has_certain_owner, read_turn, turn_key
from yarrowwall.exceptions import StoreUncertainError, TurnUnknownError
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import OPERATION_SECONDS

#: Timeout in seconds of looking up earlier turns in a group if other groups may have them too.
LOOKUP_TIMEOUT_SECONDS = 0.25
#: The same for a group that is unreachable as a whole. A member that still answers may hold the
#: chain, and is in the gateway's zone, so its answer takes little time.
UNREACHABLE_LOOKUP_TIMEOUT_SECONDS = 0.03


class FoundTurns(NamedTuple):
    """The result of looking up a turn and the earlier ones.

    :param turns: The turns that were found, newest first.
    :param unanswered: Groups that could not answer.
    :param reason: Why the last of these could not.
    """

    turns: list[Turn]
    unanswered: list[int]
    reason: str = ""


class ChainQuery(NamedTuple):
    """A question for the turns that an attempt goes on from.

    :param previous: The newest of them.
    :param ambiguous: The name under which an earlier release may have stored the newest turn, or
        another tenant's one; None if there is no such name.
    :param line: The line of turns that the attempt belongs to.
    :param retention_s: Seconds for which copies of turns found in zone groups are kept.
    :param end: When the attempt's time is over, on the monotonic clock.
    """

    attempt_id: str
    previous: RecordName
    ambiguous: RecordName | None
    line: TurnLine
    retention_s: float
    end: float


class ChainLookup:
    """Looks up the earlier turns of conversations.

    :param cache: The gateway's turns.
    :param now: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        groups: RecordGroups,
        cache: TurnCache,
        copier: TurnCopier,
        now: Callable[[], float],
    ) -> None:
        self._client = groups.client
        self._group_of = groups.group_of
        self._zones = groups.zones
        self._reachability = groups.reachability
        self._log = groups.log
        self._cache = cache
        self._copier = copier
        self._now = now

    def chain(self, query: ChainQuery) -> list[Turn]:
        """Return the turns up to the previous one, oldest first.

        :raises TurnUnknownError: If the previous turn certainly does not exist.
        :raises StoreUncertainError: If that cannot be decided, or an earlier turn is missing.
        """
        known = self._cache.newest(query.line)
        turns, missing = self._cache.chain(query.previous)
        fetched_count = 0
        while missing:
            found = self._fetch(query, missing, known, is_first=not turns)
            fetched_count += len(found)
            turns += found
            cached, missing = self._cache.chain(turns[-1].previous)
            turns += cached
        self._cache.note_newest(query.line, query.previous)
        self._confirm_kept(query, turns)
        outcome = "fetched" if fetched_count else "cached"
        self._log.write(
            decisions.ChainLookedUp(query.attempt_id, query.previous, outcome, len(turns))
        )
        first = turns[-1].attempt_id
        return [replace(turn, first=first) if not turn.first else turn for turn in turns[::-1]]

    def _fetch(
        self, query: ChainQuery, missing: RecordName, known: RecordName, is_first: bool
    ) -> list[Turn]:
        """Return a turn and the earlier ones that the same group has, newest first.

        :param known: A cached turn at which the chain may stop; ``NO_NAME`` for none.
        """
        stop = [turn_key(known)] if known and known != missing else []
        found = self._find_turns(turn_key(missing), stop, query.retention_s)
        if found.turns:
            return found.turns
        if found.unanswered:
            self._log.write(decisions.ChainLookedUp(query.attempt_id, missing, "uncertain", 0))
            raise StoreUncertainError(found.reason)
        self._log.write(decisions.ChainLookedUp(query.attempt_id, missing, "unknown", 0))
        if is_first:
            self._check_ambiguous(query)
            raise TurnUnknownError(f"no turn {missing}")
        raise StoreUncertainError(f"turn {missing} of the chain is missing")

    def _check_ambiguous(self, query: ChainQuery) -> None:
        """Check that no record of an earlier release may be the previous turn.

        :raises StoreUncertainError: If there is one, whose owner cannot be told.
        """
        if query.ambiguous is None:
            return
        key = turn_key(query.ambiguous)
        for group in self._zones.common_first(self._group_of(key)):
            try:
                record = self._client.read_chain(
                    group, key, [], timeout=LOOKUP_TIMEOUT_SECONDS
                ).get(key)
            except NoQuorumError as error:
                raise StoreUncertainError(str(error)) from error
            if record is not None and not has_certain_owner(record):
                reason = f"the owner of turn {query.ambiguous} is not recorded"
                raise StoreUncertainError(reason)

    def _find_turns(self, key: str, stop: list[str], retention_s: float) -> FoundTurns:
        """Look for a turn in its common group, then in the groups of all zones."""
        common_group = self._group_of(key)
        unanswered = []
        reason = ""
        for group in self._zones.common_first(common_group):
            try:
                turns = self._read_from(group, key, stop)
            except NoQuorumError as error:
                unanswered.append(group)
                reason = str(error)
                continue
            if turns and group != common_group and not turns[-1].previous:
                # A part of a chain is not copied: its turns would seem to have their chain there.
                self._copier.add(turns, retention_s, is_urgent=True)
            if turns:
                return FoundTurns(turns, unanswered)
        return FoundTurns([], unanswered, reason)

    def _read_from(self, group: int, key: str, stop: list[str]) -> list[Turn]:
        """Return a turn and the earlier ones that a group has, newest first.

        :param stop: Keys at which the chain may stop.
        :raises NoQuorumError: If the group cannot answer.
        """
        is_unreachable = self._reachability.is_unreachable(group)
        try:
            records = self._client.read_chain(
                group, key, stop, timeout=self._lookup_timeout_s(is_unreachable)
            )
        except NoQuorumError:
            if self._zones.part_count and not is_unreachable:
                self._reachability.note_failed(group)
            raise
        found = []
        while (record := records.get(key)) is not None:
            turn = read_turn(record)
            self._cache.put(turn)
            found.append(turn)
            key = record.link
        return found

    def _lookup_timeout_s(self, is_unreachable: bool) -> float:
        if not self._zones.part_count:
            return OPERATION_SECONDS
        return UNREACHABLE_LOOKUP_TIMEOUT_SECONDS if is_unreachable else LOOKUP_TIMEOUT_SECONDS

    # Confirmation that a chain is kept

    def _confirm_kept(self, query: ChainQuery, turns: list[Turn]) -> None:
        """Find out in the background whether a chain is kept until its next turn is stored.

        A turn is only stored once its chain is known to be kept, so the previous turn stands for
        all earlier ones. Turns that an earlier release stored lack an owner, and are stored again.

        :param turns: The chain, newest first.
        """
        if self._cache.is_kept(query.previous, query.end):
            return
        if all(turn.first for turn in turns):
            eventlet.spawn_n(self._ask_kept, query)

    def _ask_kept(self, query: ChainQuery) -> None:
        key = turn_key(query.previous)
        asked_at = self._now()
        try:
            group = self._group_of(key)
            kept_s = self._client.kept_s(group, key, timeout=LOOKUP_TIMEOUT_SECONDS)
        except (NoQuorumError, StoreUncertainError) as error:
            self._log.write(decisions.ChainUnconfirmed(query.attempt_id, str(error)))
            return
        if kept_s:
            self._cache.note_kept(query.previous, asked_at + kept_s)
        else:
            reason = f"no write quorum of group {group} keeps {query.previous}"
            self._log.write(decisions.ChainUnconfirmed(query.attempt_id, reason))
