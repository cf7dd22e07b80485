"""What is still to be written to the groups of replicas: settlements, grants and traces."""

import eventlet
from eventlet.event import Event

from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import QuorumClient

#: Seconds that settlements are collected before they are written together.
SETTLE_SECONDS = 0.03
#: Seconds before a settlement that found no quorum is written again.
SETTLE_RETRY_SECONDS = 0.25
#: Most records of one write: after a cut there may be thousands, and a replica that writes them
#: all at once holds turns up meanwhile.
MOST_RECORDS = 256


class _GroupQueue:
    """Writes records to one group, again and again until a quorum has them.

    Groups have queues of their own, so that one out of reach holds up no other.
    """

    def __init__(self, group: int, client: QuorumClient, reach: GroupReachability) -> None:
        self._group = group
        self._client = client
        self._reach = reach
        self._waiting: list[StoredRecord] = []
        self._is_writing = False
        self._wakeup = Event()
        eventlet.spawn_n(self._run)

    @property
    def is_busy(self) -> bool:
        """Return whether a record is still to be written."""
        return bool(self._waiting) or self._is_writing

    def add(self, record: StoredRecord) -> None:
        """Queue a record."""
        self._waiting.append(record)
        if not self._wakeup.ready():
            self._wakeup.send()

    def _run(self) -> None:
        while True:
            while not self._waiting:
                self._wakeup.wait()
                self._wakeup = Event()
            eventlet.sleep(SETTLE_SECONDS)
            if self._reach.is_unreachable(self._group):
                eventlet.sleep(SETTLE_RETRY_SECONDS)
                continue
            batch, self._waiting = self._waiting[:MOST_RECORDS], self._waiting[MOST_RECORDS:]
            self._is_writing = True
            try:
                self._client.write(self._group, batch)
            except NoQuorumError:
                self._waiting = batch + self._waiting
                eventlet.sleep(SETTLE_RETRY_SECONDS)
            finally:
                self._is_writing = False


class SettlementQueues:
    """Records that wait to be written, by group."""

    def __init__(self, client: QuorumClient, reach: GroupReachability) -> None:
        self._client = client
        self._reach = reach
        self._queues: dict[int, _GroupQueue] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether a record is still to be written."""
        return any(queue.is_busy for queue in self._queues.values())

    def add(self, group: int, record: StoredRecord) -> None:
        """Queue a record for a group."""
        queue = self._queues.get(group)
        if queue is None:
            queue = self._queues[group] = _GroupQueue(group, self._client, self._reach)
        queue.add(record)
