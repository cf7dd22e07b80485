"""Distribution of documents: stored on a majority of replicas, put in force, gossiped.

A document read from the platform is first stored on a majority of the journal
replicas and only then put in force on any node. A node that starts while the
platform is down reads the highest version of a majority of replicas, so it
never gets an older document than any node had in force before.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from yarrowwall.messages.peers import (
    Document,
    DocumentPull,
    DocumentPush,
    DocumentStored,
    DocumentVersion,
    FetchDocuments,
    FetchedDocuments,
    StoreDocument,
)
from yarrowwall.standalone.core.configuration.models import DISTRIBUTED_DOCUMENTS
from yarrowwall.standalone.core.effects import SendToPeer
from yarrowwall.standalone.core.journal.proposer import ReplicaGroups
from yarrowwall.standalone.core.outbox import Outbox


@dataclass
class _Replication:
    document: Document
    stored_on: set[str] = field(default_factory=set)


class DocumentTable:
    """Documents in force on this node, and documents being stored on replicas.

    :param groups: returns the replicas of the shard map in force.
    :param on_change: called with each document that is put in force.
    """

    def __init__(
        self,
        node_id: str,
        outbox: Outbox,
        groups: Callable[[], ReplicaGroups],
        on_change: Callable[[Document], None],
    ) -> None:
        self._node_id = node_id
        self._outbox = outbox
        self._groups = groups
        self._on_change = on_change
        self._in_force: dict[str, Document] = {}
        self._replications: dict[str, _Replication] = {}
        self._fetched_from: set[str] = set()
        self._fetched: dict[str, Document] = {}
        self._has_fetched = False

    @property
    def is_ready(self) -> bool:
        """Whether all documents that a majority of replicas had at the start are in force."""
        return self._has_fetched and all(
            self.version(document.name) >= document.version for document in self._fetched.values()
        )

    def in_force(self, name: str) -> Document | None:
        """Return a document in force; None without one."""
        return self._in_force.get(name)

    def version(self, name: str) -> int:
        """Return the version in force; 0 without one."""
        document = self._in_force.get(name)
        return document.version if document else 0

    def versions(self) -> list[DocumentVersion]:
        """Return the names and versions to send with gossip."""
        return [DocumentVersion(name, doc.version) for name, doc in sorted(self._in_force.items())]

    def apply(self, document: Document) -> None:
        """Put a replicated document in force unless an equally new one is."""
        if document.version <= self.version(document.name):
            return
        self._in_force[document.name] = document
        replication = self._replications.get(document.name)
        if replication is not None and replication.document.version <= document.version:
            del self._replications[document.name]
        self._on_change(document)

    # Start

    def fetch(self) -> None:
        """Request the stored documents from replicas; repeated until a majority has answered."""
        for replica in self._groups().replicas():
            if replica.replica_id not in self._fetched_from:
                self._outbox.emit(SendToPeer(replica.node_id, FetchDocuments(self._node_id)))

    def handle_fetched(self, answer: FetchedDocuments) -> None:
        """Collect a replica's documents; with a majority, replicate the newest of each."""
        if self._has_fetched:
            return
        self._fetched_from.add(answer.replica_id)
        for document in answer.documents:
            known = self._fetched.get(document.name)
            if known is None or known.version < document.version:
                self._fetched[document.name] = document
        if self._groups().is_quorum(self._fetched_from):
            self._has_fetched = True
            for document in self._fetched.values():
                # The newest version may be on less than a majority of replicas.
                self.replicate(document)

    # Replication

    def replicate(self, document: Document) -> None:
        """Store a document on a majority of replicas, then put it in force."""
        if document.name not in DISTRIBUTED_DOCUMENTS or document.version <= self.version(
            document.name
        ):
            return
        replication = self._replications.get(document.name)
        if replication is not None and replication.document.version >= document.version:
            return
        self._replications[document.name] = _Replication(document)
        self._send_store(document, set())

    def _send_store(self, document: Document, skip: set[str]) -> None:
        for replica in self._groups().replicas():
            if replica.replica_id not in skip:
                self._outbox.emit(SendToPeer(replica.node_id, StoreDocument(document)))

    def handle_stored(self, answer: DocumentStored) -> None:
        """Count a replica that stored a document; with a majority put the document in force."""
        replication = self._replications.get(answer.name)
        if replication is None or answer.version < replication.document.version:
            return
        replication.stored_on.add(answer.replica_id)
        if self._groups().is_quorum(replication.stored_on):
            self.apply(replication.document)

    def retry(self) -> None:
        """Resend the requests that have not been answered."""
        if not self._has_fetched:
            self.fetch()
        for replication in self._replications.values():
            self._send_store(replication.document, replication.stored_on)

    def has_unfinished(self) -> bool:
        """Return whether :meth:`retry` would send anything."""
        return not self._has_fetched or bool(self._replications)

    # Gossip

    def handle_digest(self, sender: str, versions: list[DocumentVersion]) -> None:
        """Push newer documents to the sender, and pull the sender's newer ones."""
        theirs = {entry.name: entry.version for entry in versions}
        for name, document in self._in_force.items():
            if theirs.get(name, 0) < document.version:
                self._outbox.emit(SendToPeer(sender, DocumentPush(document)))
        for name, version in theirs.items():
            if version > self.version(name):
                self._outbox.emit(SendToPeer(sender, DocumentPull(self._node_id, name)))

    def handle_pull(self, requester: str, name: str) -> None:
        """Send a requested document."""
        document = self._in_force.get(name)
        if document is not None:
            self._outbox.emit(SendToPeer(requester, DocumentPush(document)))
