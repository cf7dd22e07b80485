"""Copies of turns that zones' groups keep, into the common groups once these are in reach.

Nothing that is promised hangs on them: whoever does not find a turn in its common group asks
the zones' groups. A copy saves that, and lets the turn go on through another cut.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from yarrowwall import decisions
from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.budgets.turns import Turn, turn_key, turn_record
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import QuorumClient

#: Seconds between two copies, so that the gateways of a zone that is back leave its replicas to
#: the turns that run: 20 a second from each.
PAUSE_SECONDS = 0.05
#: Seconds before a copy that found no quorum is tried again.
RETRY_SECONDS = 0.5
#: Bytes of turns that wait to be copied; those least asked for beyond that stay where they are.
MOST_BYTES = 16 * 1024 * 1024


class _Waiting(NamedTuple):
    """A turn that is to be copied."""

    turn: Turn
    retention: float

    @property
    def size(self) -> int:
        """Return its bytes."""
        return len(self.turn.body) + len(self.turn.output)


class TurnCopier:
    """Turns that wait to be copied, those first that were asked for."""

    def __init__(
        self,
        client: QuorumClient,
        group_of: Callable[[str], int],
        reach: GroupReachability,
        log: DecisionLog,
    ) -> None:
        self._client = client
        self._group_of = group_of
        self._reach = reach
        self._log = log
        self._waiting: OrderedDict[str, _Waiting] = OrderedDict()
        self._bytes = 0
        self._is_running = False

    def add(self, turns: list[Turn], retention: float, is_needed: bool) -> None:
        """Queue turns.

        :param is_needed: whether a caller goes on from them now; such ones are copied first.
        """
        for turn in turns:
            self._put(_Waiting(turn, retention), is_needed)
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)

    def _put(self, waiting: _Waiting, is_needed: bool) -> None:
        key = waiting.turn.attempt_id
        if key not in self._waiting:
            self._bytes += waiting.size
        self._waiting[key] = waiting
        if is_needed:
            self._waiting.move_to_end(key, last=False)
        while self._bytes > MOST_BYTES:
            _, dropped = self._waiting.popitem()
            self._bytes -= dropped.size

    def _run(self) -> None:
        while self._waiting:
            is_copied = self._copy_next()
            eventlet.sleep(PAUSE_SECONDS if is_copied else RETRY_SECONDS)
        self._is_running = False

    def _copy_next(self) -> bool:
        """Copy the first turn whose group is in reach; return whether that went."""
        for key, waiting in self._waiting.items():
            try:
                group = self._group_of(turn_key(key))
            except StoreUncertainError:
                return False
            if not self._reach.is_unreachable(group):
                return self._copy(group, key, waiting)
        return False

    def _copy(self, group: int, key: str, waiting: _Waiting) -> bool:
        try:
            self._client.write(group, [turn_record(waiting.turn, waiting.retention)])
        except NoQuorumError:
            self._reach.note_failed(group)
            return False
        self._log.write(decisions.TurnCopied(key, group))
        # It may have been dropped meanwhile.
        if self._waiting.pop(key, None) is not None:
            self._bytes -= waiting.size
        return True
