"""Changes of the shard map: joint majorities, copying, then the new replicas alone.

While a map names next replicas, every decision needs a majority of the old and
of the new group. Each old replica lists the logs that it had when it learnt of the
change, asks their owners to copy them to the new replicas, and is done when
all are copied. Once a majority of every old group is done, no chosen entry can
be missing from the new group, and the change is finished.
"""

import json
from collections.abc import Callable

from yarrowwall.messages.journal import AskCopied, CopyProgram, ProgramCopied, ReplicaCopied
from yarrowwall.messages.peers import Document
from yarrowwall.messages.records import DocumentKept
from yarrowwall.quorum import has_quorum
from yarrowwall.standalone.core.configuration.models import SHARD_MAP, ShardMap, ShardReplica
from yarrowwall.standalone.core.configuration.plans import append_operation
from yarrowwall.standalone.core.configuration.transactions import (
    TransactionResult,
    TransactionTable,
)
from yarrowwall.standalone.core.effects import PersistThenSend, SendToPeer
from yarrowwall.standalone.core.exceptions import ConfigurationError
from yarrowwall.standalone.core.journal.placement import all_groups
from yarrowwall.standalone.core.outbox import Outbox

#: Number of logs that a replica requests to be copied in one round.
COPIES_AT_A_TIME = 100


def joint_map(shard_map: ShardMap, old_replica_id: str, new: ShardReplica) -> ShardMap:
    """Return the map with joint majorities that starts the replacement of a replica.

    :raises ConfigurationError: if a change is in progress, the old replica is not in the
        map or the new one already is.
    """
    if shard_map.next_replicas:
        raise ConfigurationError("another change of the shard map is under way")
    kept = [item for item in shard_map.replicas if item.replica_id != old_replica_id]
    if len(kept) == len(shard_map.replicas):
        raise ConfigurationError(f"replica {old_replica_id} is not in the shard map")
    if any(item.replica_id == new.replica_id for item in kept):
        raise ConfigurationError(f"replica {new.replica_id} is in the shard map")
    return shard_map.model_copy(update={"next_replicas": [*kept, new]})


def final_map(shard_map: ShardMap) -> ShardMap:
    """Return the map after a change, which has only the next replicas."""
    return shard_map.model_copy(update={"replicas": shard_map.next_replicas, "next_replicas": []})


def with_operation(shard_map: ShardMap, operation_id: str) -> bytes:
    """Return the body of a map with an operation id appended."""
    operations = append_operation(shard_map.operations, operation_id)
    return shard_map.model_copy(update={"operations": operations}).model_dump_json().encode()


class LogCopier:
    """Requests copies of a replica's logs during a change of the map.

    :param owner_of: returns the node that owns a program.
    """

    def __init__(
        self, replica_id: str, outbox: Outbox, owner_of: Callable[[str], str | None]
    ) -> None:
        self._replica_id = replica_id
        self._outbox = outbox
        self._owner_of = owner_of
        self._map_version = 0
        self._remaining: dict[str, None] = {}

    def begin(self, map_version: int, program_ids: list[str]) -> None:
        """Set the logs that must be copied before this replica is done."""
        self._map_version = map_version
        self._remaining = dict.fromkeys(program_ids)

    def stop(self) -> None:
        """Stop requesting copies, after the end of the change."""
        self._remaining = {}

    def ask_owners(self) -> None:
        """Request some of the remaining copies; repeated until they are confirmed."""
        for program_id in list(self._remaining)[:COPIES_AT_A_TIME]:
            owner = self._owner_of(program_id)
            if owner is not None:
                self._outbox.emit(SendToPeer(owner, CopyProgram(program_id, self._map_version)))

    def handle_copied(self, message: ProgramCopied) -> None:
        """Handle the confirmation of a copy."""
        if message.map_version >= self._map_version:
            self._remaining.pop(message.program_id, None)

    def handle_ask(self, sender: str, message: AskCopied, map_document: Document | None) -> None:
        """Answer a coordinator if all logs are copied.

        The map is made durable before the answer is sent, because this replica must
        refuse owners with an older map even after a restart.
        """
        done = message.map_version == self._map_version and not self._remaining
        if done and map_document is not None:
            answer = ReplicaCopied(self._replica_id, self._map_version)
            self._outbox.emit(PersistThenSend(DocumentKept(map_document), sender, answer))


class MapChangeCoordinator:
    """Finishes a change once enough old replicas are done; runs on watching nodes.

    Several nodes may do so concurrently, since the write is a compare-and-swap.
    """

    def __init__(self, node_id: str, transactions: TransactionTable, outbox: Outbox) -> None:
        self._node_id = node_id
        self._transactions = transactions
        self._outbox = outbox
        self._map_version = 0
        self._done: set[str] = set()
        self._attempts = 0

    def poll(self, now: float, shard_map: ShardMap, map_version: int) -> None:
        """Ask the old replicas whether they are done, or finish the change."""
        if not shard_map.next_replicas:
            return
        if self._map_version != map_version:
            self._map_version = map_version
            self._done = set()
        if all(has_quorum([group], self._done) for group in all_groups(shard_map.replicas)):
            self._finish(now)
            return
        for replica in shard_map.replicas:
            if replica.replica_id not in self._done:
                self._outbox.emit(SendToPeer(replica.node_id, AskCopied(map_version)))

    def handle_copied(self, message: ReplicaCopied) -> None:
        """Record a replica that is done."""
        if message.map_version == self._map_version:
            self._done.add(message.replica_id)

    def _finish(self, now: float) -> None:
        self._attempts += 1
        operation_id = f"map/{self._node_id}/{self._map_version}/{self._attempts}"
        expected_version = document_version(self._map_version)

        def change(document: Document | None) -> bytes | None:
            if document is None or document.version != expected_version:
                raise ConfigurationError("the shard map has moved on")
            return with_operation(final_map(parse_map(document)), operation_id)

        def done(result: TransactionResult) -> None:
            """Do nothing: every node learns of the new map by its watch or by gossip."""

        self._transactions.begin(
            now,
            operation_id,
            SHARD_MAP,
            change,
            lambda body: operation_id in json.loads(body)["operations"],
            done,
        )


def parse_map(document: Document) -> ShardMap:
    """Return the shard map in a document."""
    return ShardMap.model_validate_json(document.body)


def map_version_of(document: Document | None) -> int:
    """Return the version of the shard map in a document; the settings' map has version 1."""
    return 1 + (document.version if document else 0)


def document_version(map_version: int) -> int:
    """Return the document version of a version of the map."""
    return map_version - 1
