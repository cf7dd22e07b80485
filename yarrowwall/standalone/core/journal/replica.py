"""A journal replica: a Paxos acceptor for the logs of many programs.

A promise or an acceptance may be sent only after its record is durable.
Handlers therefore return the record with the answer, and the driver sends the
answer after the record is on disk.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from yarrowwall.messages.journal import (
    ZERO_BALLOT,
    Append,
    Appended,
    Ballot,
    BallotRefused,
    Prepare,
    Promise,
    ReplicaBehind,
)
from yarrowwall.messages.peers import Document, DocumentStored, StoreDocument
from yarrowwall.messages.records import (
    BallotPromised,
    DocumentKept,
    EntriesAccepted,
    LogSnapshot,
    Record,
)
from yarrowwall.standalone.core.exceptions import InvariantError

JournalAnswer = Promise | Appended | BallotRefused | ReplicaBehind | DocumentStored


@dataclass(frozen=True)
class ReplicaResult:
    """Result of a handler.

    :param record: record that must be durable before ``answer`` is sent; None if nothing changed.
    """

    record: Record | None
    answer: JournalAnswer


@dataclass
class ReplicaLog:
    """One program's log at one replica.

    Each entry depends on the entries before it, so the log is accepted and
    recovered as a whole, never position by position: the first append of a
    ballot removes the unchosen entries of an older ballot.

    :ivar promised: promised ballot; requests with lower ballots are refused.
    :ivar accepted_ballot: the ballot under which the log was last accepted.
    :ivar entries: accepted entries by position, without gaps.
    :ivar chosen: length of the prefix known to be chosen; never shrinks.
    """

    promised: Ballot = ZERO_BALLOT
    accepted_ballot: Ballot = ZERO_BALLOT
    entries: list[bytes] = field(default_factory=list)
    chosen: int = 0

    def agreed_length(self, ballot: Ballot) -> int:
        """Return the length of the prefix known to equal the log of the ballot's owner."""
        return len(self.entries) if self.accepted_ballot == ballot else self.chosen

    def accept(self, ballot: Ballot, start: int, bodies: list[bytes], chosen: int) -> None:
        """Store entries; the caller has checked the ballot and that they leave no gap.

        An append always extends to the end of its owner's log at that time, so one
        that ends before the entries stored under the same ballot is a delayed one.
        """
        self.promised = ballot
        end = start + len(bodies)
        if self.accepted_ballot != ballot or end > len(self.entries):
            self.entries[start:] = bodies
        self.accepted_ballot = ballot
        self.chosen = max(self.chosen, min(chosen, len(self.entries)))

    def validate(self) -> None:
        """Check the invariants of the log, which hold between handlers.

        :raises InvariantError: if one is violated.
        """
        if not 0 <= self.chosen <= len(self.entries):
            raise InvariantError("the chosen prefix is longer than the stored log")
        if self.accepted_ballot > self.promised:
            raise InvariantError("the accepted ballot is higher than the promised ballot")


class JournalReplica:
    """All logs and documents of one data folder.

    :param replica_id: id created with the data folder; a replaced disk is a new replica.
    """

    def __init__(self, replica_id: str) -> None:
        self.replica_id = replica_id
        self._logs: dict[str, ReplicaLog] = {}
        self._documents: dict[str, Document] = {}

    def restore(self, records: Iterable[Record]) -> None:
        """Restore the state from the records on disk, oldest first."""
        for record in records:
            self._apply(record)

    def snapshot(self) -> Iterator[Record]:
        """Return a minimal sequence of records that restores the current state."""
        for document in self._documents.values():
            yield DocumentKept(document)
        for program_id in self._logs:
            yield self.log_snapshot(program_id)

    def log_snapshot(self, program_id: str) -> LogSnapshot:
        """Return one program's log as a single record."""
        log = self._logs[program_id]
        return LogSnapshot(
            program_id, log.promised, log.accepted_ballot, log.chosen, list(log.entries)
        )

    def _apply(self, record: Record) -> None:
        match record:
            case BallotPromised(program_id, ballot):
                self._log(program_id).promised = ballot
            case EntriesAccepted(program_id, ballot, start, entries, chosen):
                self._log(program_id).accept(ballot, start, entries, chosen)
            case DocumentKept(document):
                self._documents[document.name] = document
            case LogSnapshot(program_id, promised, accepted_ballot, chosen, entries):
                self._logs[program_id] = ReplicaLog(
                    promised, accepted_ballot, list(entries), chosen
                )

    def _log(self, program_id: str) -> ReplicaLog:
        log = self._logs.get(program_id)
        if log is None:
            log = self._logs[program_id] = ReplicaLog()
        return log

    def handle_prepare(self, request: Prepare) -> ReplicaResult:
        """Promise a ballot unless a higher one has been promised."""
        log = self._log(request.program_id)
        if request.ballot < log.promised:
            return self._refusal(request.program_id, request.ballot, log)
        record = None
        if request.ballot != log.promised:
            record = BallotPromised(request.program_id, request.ballot)
            self._apply(record)
        answer = Promise(
            request.program_id,
            request.ballot,
            self.replica_id,
            log.accepted_ballot,
            log.chosen,
            list(log.entries),
        )
        return ReplicaResult(record, answer)

    def handle_append(self, request: Append) -> ReplicaResult:
        """Accept entries unless a higher ballot has been promised or they would leave a gap."""
        log = self._log(request.program_id)
        if request.ballot < log.promised:
            return self._refusal(request.program_id, request.ballot, log)
        agreed = log.agreed_length(request.ballot)
        if request.start > agreed:
            behind = ReplicaBehind(request.program_id, request.ballot, self.replica_id, agreed)
            return ReplicaResult(None, behind)
        record = EntriesAccepted(
            request.program_id, request.ballot, request.start, request.entries, request.chosen
        )
        self._apply(record)
        answer = Appended(request.program_id, request.ballot, self.replica_id, len(log.entries))
        return ReplicaResult(record, answer)

    def _refusal(self, program_id: str, ballot: Ballot, log: ReplicaLog) -> ReplicaResult:
        refused = BallotRefused(program_id, ballot, self.replica_id, log.promised)
        return ReplicaResult(None, refused)

    def handle_store_document(self, request: StoreDocument) -> ReplicaResult:
        """Store a document unless an equal or newer version is stored."""
        document = request.document
        current = self._documents.get(document.name)
        record = None
        if current is None or current.version < document.version:
            record = DocumentKept(document)
            self._apply(record)
        version = self._documents[document.name].version
        return ReplicaResult(record, DocumentStored(document.name, version, self.replica_id))

    def documents(self) -> list[Document]:
        """Return the newest stored version of each document."""
        return list(self._documents.values())

    def program_ids(self) -> list[str]:
        """Return the ids of the programs whose logs this replica holds."""
        return list(self._logs)

    def log(self, program_id: str) -> ReplicaLog:
        """Return the log of a program that this replica holds."""
        return self._logs[program_id]

    def forget(self, program_id: str) -> None:
        """Drop the log of a complete program."""
        self._logs.pop(program_id, None)

    def validate_state(self) -> None:
        """Check every log's invariants; for tests.

        :raises InvariantError: if one is violated.
        """
        for log in self._logs.values():
            log.validate()
