"""Serves a node's journal replica and finds programs without an active owner."""

import yarrowwall.messages.all_messages  # noqa: F401
from yarrowwall.hashing import fraction
from yarrowwall.messages.codec import decode
from yarrowwall.messages.journal import Append, Prepare, ShardMapStale
from yarrowwall.messages.peers import FetchDocuments, FetchedDocuments, StoreDocument
from yarrowwall.standalone.core.effects import PersistThenSend, SendToPeer
from yarrowwall.standalone.core.journal.replica import JournalReplica, ReplicaResult
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.program.state import ProgramState
from yarrowwall.standalone.core.timers import Timers


class JournalService:
    """Drives a :class:`JournalReplica` within a node.

    It also finds programs whose owner died with unfinished work: some time after
    a log last changed, it checks whether the program is complete, and if not has
    the current owner load the program.
    """

    def __init__(self, replica: JournalReplica, limits: Limits, outbox: Outbox) -> None:
        self.replica = replica
        self._limits = limits
        self._outbox = outbox
        self.sweeps: Timers[str] = Timers()

    def start(self, now: float) -> None:
        """Schedule a check of every log, spread over one interval."""
        for program_id in self.replica.program_ids():
            delay = self._limits.sweep_interval * (1.0 + fraction("sweep", program_id))
            self.sweeps.set(program_id, now + delay)

    def handle_prepare(self, sender: str, request: Prepare, map_version: int) -> None:
        """Answer a prepare request."""
        if not self._is_stale(sender, request, map_version):
            self._answer(sender, self.replica.handle_prepare(request))

    def handle_append(self, now: float, sender: str, request: Append, map_version: int) -> None:
        """Answer an append request."""
        if self._is_stale(sender, request, map_version):
            return
        self._answer(sender, self.replica.handle_append(request))
        self.sweeps.set(request.program_id, now + self._limits.sweep_interval)

    def _is_stale(self, sender: str, request: Prepare | Append, map_version: int) -> bool:
        """Refuse a request of an owner whose shard map is older than this node's."""
        if request.map_version >= map_version:
            return False
        stale = ShardMapStale(request.program_id, self.replica.replica_id, map_version)
        self._outbox.emit(SendToPeer(sender, stale))
        return True

    def handle_store(self, sender: str, request: StoreDocument) -> None:
        """Store a document."""
        self._answer(sender, self.replica.handle_store_document(request))

    def handle_fetch(self, request: FetchDocuments) -> None:
        """Send the stored documents to the requester."""
        answer = FetchedDocuments(self.replica.replica_id, self.replica.documents())
        self._outbox.emit(SendToPeer(request.requester, answer))

    def _answer(self, sender: str, result: ReplicaResult) -> None:
        if result.record is None:
            self._outbox.emit(SendToPeer(sender, result.answer))
        else:
            self._outbox.emit(PersistThenSend(result.record, sender, result.answer))

    def due(self, now: float) -> list[str]:
        """Return the programs that their owners should load now."""
        return [
            program_id for program_id in self.sweeps.due(now) if self._needs_owner(now, program_id)
        ]

    def _needs_owner(self, now: float, program_id: str) -> bool:
        """Check one log and schedule its next check; drop the log of a program long complete."""
        state = ProgramState(program_id)
        for body in self.replica.log(program_id).entries:
            state.apply(decode(body))
        if state.opened is None:
            return False
        if state.ended is not None and state.is_complete():
            self._drop_after_retention(
                now, program_id, state.ended.ended_at + self._limits.retention
            )
            return False
        idle_at = state.last_activity + self._limits.idle_limit
        unfinished = state.ended is not None or state.unsettled_call() is not None
        overdue = unfinished or now >= idle_at
        next_check = now + self._limits.sweep_interval if overdue else idle_at
        self.sweeps.set(program_id, next_check)
        return overdue

    def _drop_after_retention(self, now: float, program_id: str, at: float) -> None:
        """Drop a complete program's log after the retention time.

        By then all requests for its answers have expired. The records on disk are
        removed by the next compaction; a restart before that restores the log, and
        it is dropped again.
        """
        if now < at:
            self.sweeps.set(program_id, at)
        else:
            self.replica.forget(program_id)
