"""Queues of records to write to the groups of replicas, such as settlements and grants."""

import eventlet
from eventlet.event import Event

from yarrowwall.budgets.group_reachability import GroupReachability
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError
from yarrowwall.replication.quorum_client import QuorumClient

#: Seconds for which records are collected before they are written together.
BATCH_SECONDS = 0.03
#: Seconds before records that found no quorum are written again.
RETRY_SECONDS = 0.25
#: Largest number of records in one write. After a partition there may be thousands, and a replica
#: that writes them all at once delays turns.
MAX_BATCH_RECORDS = 256


class _GroupQueue:
    """Writes records to one group, and retries until a quorum has stored them.

    Each group has a separate queue, so that an unreachable group does not delay the others.
    """

    def __init__(self, group: int, client: QuorumClient, reachability: GroupReachability) -> None:
        self._group = group
        self._client = client
        self._reachability = reachability
        self._waiting: list[StoredRecord] = []
        self._is_writing = False
        self._wakeup = Event()
        eventlet.spawn_n(self._run)

    @property
    def is_busy(self) -> bool:
        """Return whether any records are still unwritten."""
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
            eventlet.sleep(BATCH_SECONDS)
            if self._reachability.is_unreachable(self._group):
                eventlet.sleep(RETRY_SECONDS)
                continue
            batch, self._waiting = (
                self._waiting[:MAX_BATCH_RECORDS],
                self._waiting[MAX_BATCH_RECORDS:],
            )
            self._is_writing = True
            try:
                self._client.write(self._group, batch)
            except NoQuorumError:
                self._waiting = batch + self._waiting
                eventlet.sleep(RETRY_SECONDS)
            finally:
                self._is_writing = False


class SettlementQueues:
    """Records waiting to be written, by group."""

    def __init__(self, client: QuorumClient, reachability: GroupReachability) -> None:
        self._client = client
        self._reachability = reachability
        self._queues: dict[int, _GroupQueue] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether any records are still unwritten."""
        return any(queue.is_busy for queue in self._queues.values())

    def add(self, group: int, record: StoredRecord) -> None:
        """Queue a record for a group."""
        queue = self._queues.get(group)
        if queue is None:
            queue = self._queues[group] = _GroupQueue(group, self._client, self._reachability)
        queue.add(record)
