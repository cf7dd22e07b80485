"""Copies turns from zone groups into their common groups once those are reachable.

Correctness does not depend on the copies, since turns missing in their common group are looked up
in the zone groups. A copy saves that lookup, and keeps the turn available during another partition.
"""

from collections import OrderedDict
from typing import NamedTuple

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.record_groups import RecordGroups
from yarrowwall.budgets.record_names import RecordName
from yarrowwall.budgets.turns import Turn, turn_key, turn_record
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.replication.exceptions import NoQuorumError

#: Seconds between two copies. This limits each gateway to 20 copies a second, so that replicas of a
#: zone whose partition has healed stay available for running turns.
PAUSE_SECONDS = 0.05
#: Seconds before a copy that found no quorum is tried again.
RETRY_SECONDS = 0.5
#: Most bytes of turns in the queue. Beyond that the turns at its end are dropped, and stay only in
#: their zone group.
MAX_QUEUED_BYTES = 16 * 1024 * 1024


class _QueuedTurn(NamedTuple):
    """A turn to be copied."""

    turn: Turn
    retention_s: float


class TurnCopier:
    """A queue of turns to be copied, starting with those that callers need."""

    def __init__(self, groups: RecordGroups) -> None:
        self._client = groups.client
        self._group_of = groups.group_of
        self._reachability = groups.reachability
        self._log = groups.log
        self._queue: OrderedDict[RecordName, _QueuedTurn] = OrderedDict()
        self._queued_bytes = 0
        self._is_running = False

    def add(self, turns: list[Turn], retention_s: float, is_urgent: bool) -> None:
        """Queue the turns of a chain.

        :param turns: The turns; newest first if urgent, else oldest first.
        :param retention_s: Seconds for which the copies are kept.
        :param is_urgent: Whether a caller is continuing from them; such turns are copied first.
        """
        for turn in turns:
            self._put(_QueuedTurn(turn, retention_s), is_urgent)
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)

    def _put(self, queued: _QueuedTurn, is_urgent: bool) -> None:
        key = queued.turn.attempt_id
        if key not in self._queue:
            self._queued_bytes += queued.turn.size
        self._queue[key] = queued
        if is_urgent:
            self._queue.move_to_end(key, last=False)
        while self._queued_bytes > MAX_QUEUED_BYTES:
            _, dropped = self._queue.popitem()
            self._queued_bytes -= dropped.turn.size

    def _run(self) -> None:
        while self._queue:
            is_copied = self._copy_next()
            eventlet.sleep(PAUSE_SECONDS if is_copied else RETRY_SECONDS)
        self._is_running = False

    def _copy_next(self) -> bool:
        """Copy the first turn whose group is reachable; return whether one was copied.

        A turn is copied after all earlier ones of its chain, so that it has its chain where it is.
        """
        waiting_chains: set[RecordName] = set()
        for key, queued in self._queue.items():
            try:
                group = self._group_of(turn_key(key))
            except StoreUncertainError:
                return False
            if self._reachability.is_unreachable(group):
                waiting_chains.add(queued.turn.first)
            elif queued.turn.first not in waiting_chains:
                return self._copy(group, key, queued)
        return False

    def _copy(self, group: int, key: RecordName, queued: _QueuedTurn) -> bool:
        try:
            self._client.write(group, [turn_record(queued.turn, queued.retention_s)])
        except NoQuorumError:
            self._reachability.note_failed(group)
            return False
        self._log.write(decisions.TurnCopied(key, group))
        # It may have been dropped during the write.
        if self._queue.pop(key, None) is not None:
            self._queued_bytes -= queued.turn.size
        return True
