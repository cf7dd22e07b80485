"""The proposer of one program's log, run by the program's owner.

A proposer first prepares its ballot on a quorum. It then leads: it adopts the log
that the promises return and re-appends, under its own ballot, the entries that are
not known to be chosen. It sends new entries without waiting for earlier ones to be
acknowledged, and each replica accepts them only without gaps.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

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
from yarrowwall.quorum import has_quorum
from yarrowwall.standalone.core.exceptions import InvariantError


@dataclass(frozen=True)
class ReplicaAddress:
    """Location of a replica.

    :param replica_id: id that was created with the data folder.
    :param node_id: the node that runs the replica now.
    """

    replica_id: str
    node_id: str
    zone: str


@dataclass(frozen=True)
class ReplicaGroups:
    """The replicas of a program: one group, or the old and the new one during a change.

    :param map_version: version of the shard map that defines the groups.
    """

    map_version: int
    groups: tuple[tuple[ReplicaAddress, ...], ...]

    def replicas(self) -> tuple[ReplicaAddress, ...]:
        """Return every replica once, in the order of the groups."""
        return tuple(dict.fromkeys(replica for group in self.groups for replica in group))

    def is_quorum(self, acknowledged: Sequence[str] | set[str]) -> bool:
        """Return whether the replica ids form a majority of every group."""
        ids = [[replica.replica_id for replica in group] for group in self.groups]
        return has_quorum(ids, acknowledged)


class ProposerPhase(StrEnum):
    """Phase of a proposer."""

    PREPARING = "preparing"
    LEADING = "leading"
    DEPOSED = "deposed"


@dataclass(frozen=True)
class ReplicaMessage:
    """A message for one replica of the program."""

    node_id: str
    message: Prepare | Append


@dataclass
class ProgramLog:
    """The log of one program at its owner.

    :ivar entries: all recovered and proposed entries, by position.
    :ivar chosen: length of the prefix known to be chosen.
    :ivar recovered: length of the log that the promises returned.
    """

    program_id: str
    groups: ReplicaGroups
    ballot: Ballot
    phase: ProposerPhase = ProposerPhase.PREPARING
    entries: list[bytes] = field(default_factory=list)
    chosen: int = 0
    recovered: int = 0
    highest_seen: Ballot = ZERO_BALLOT
    _promises: dict[str, Promise] = field(default_factory=dict)
    _lengths: dict[str, int] = field(default_factory=dict)

    def prepare(self) -> list[ReplicaMessage]:
        """Return the prepare requests for replicas that have not promised yet."""
        request = Prepare(self.program_id, self.ballot, self.groups.map_version)
        return [
            ReplicaMessage(replica.node_id, request)
            for replica in self.groups.replicas()
            if replica.replica_id not in self._promises
        ]

    def handle_promise(self, promise: Promise) -> list[ReplicaMessage]:
        """Count a promise; a quorum of promises makes the proposer the leader."""
        if promise.ballot != self.ballot or self.phase is not ProposerPhase.PREPARING:
            return []
        self._promises[promise.replica_id] = promise
        if not self.groups.is_quorum(set(self._promises)):
            return []
        self._merge_promises()
        self.phase = ProposerPhase.LEADING
        # A new program has no entries to append again.
        return self._append_from(self.chosen) if self.entries else []

    def _merge_promises(self) -> None:
        """Adopt the log that was accepted under the highest ballot, as a whole.

        It contains every chosen entry, since the owner of a later ballot recovers
        the chosen entries before it appends. Mixing positions of several logs would
        put entries after other entries than those they were based on.
        """
        promises = self._promises.values()
        best = max(promises, key=lambda promise: (promise.accepted_ballot, len(promise.entries)))
        self.entries = list(best.entries)
        self.chosen = max(promise.chosen for promise in promises)
        self.recovered = len(self.entries)

    def append(self, bodies: list[bytes]) -> list[ReplicaMessage]:
        """Propose entries at the end of the log.

        :raises InvariantError: if this proposer does not lead.
        """
        if self.phase is not ProposerPhase.LEADING:
            raise InvariantError(
                f"cannot append to the log of {self.program_id} while {self.phase}"
            )
        start = len(self.entries)
        self.entries.extend(bodies)
        return self._append_from(start)

    def _append_from(self, start: int) -> list[ReplicaMessage]:
        request = self._append_request(start)
        return [ReplicaMessage(replica.node_id, request) for replica in self.groups.replicas()]

    def _append_request(self, start: int) -> Append:
        return Append(
            self.program_id,
            self.ballot,
            start,
            self.entries[start:],
            self.chosen,
            self.groups.map_version,
        )

    def handle_appended(self, answer: Appended) -> bool:
        """Count an acknowledgement.

        :returns: whether the chosen prefix has grown.
        """
        if answer.ballot != self.ballot or self.phase is not ProposerPhase.LEADING:
            return False
        previous = self._lengths.get(answer.replica_id, 0)
        self._lengths[answer.replica_id] = max(previous, answer.length)
        chosen = self._quorum_length()
        if chosen <= self.chosen:
            return False
        self.chosen = chosen
        return True

    def _quorum_length(self) -> int:
        """Return the length of the longest prefix that a quorum holds under this ballot."""
        for length in sorted(set(self._lengths.values()), reverse=True):
            holders = {replica for replica, held in self._lengths.items() if held >= length}
            if self.groups.is_quorum(holders):
                return length
        return 0

    def handle_behind(self, answer: ReplicaBehind, node_id: str) -> list[ReplicaMessage]:
        """Return the entries that a replica lacks."""
        if answer.ballot != self.ballot or self.phase is not ProposerPhase.LEADING:
            return []
        return [ReplicaMessage(node_id, self._append_request(answer.length))]

    def handle_refused(self, answer: BallotRefused) -> bool:
        """Handle a refusal of the ballot.

        :returns: whether this proposer has just been deposed.
        """
        if answer.ballot != self.ballot or self.phase is ProposerPhase.DEPOSED:
            return False
        self.highest_seen = max(self.highest_seen, answer.promised)
        self.phase = ProposerPhase.DEPOSED
        return True

    def retransmit(self) -> list[ReplicaMessage]:
        """Return the messages to resend when no answer has arrived in time."""
        if self.phase is ProposerPhase.PREPARING:
            return self.prepare()
        if self.phase is ProposerPhase.DEPOSED or self.settled():
            return []
        return [
            ReplicaMessage(replica.node_id, self._append_request(self.chosen))
            for replica in self.groups.replicas()
            if self._lengths.get(replica.replica_id, 0) < len(self.entries)
        ]

    def settled(self) -> bool:
        """Return whether all proposed entries are chosen."""
        return self.phase is ProposerPhase.LEADING and self.chosen == len(self.entries)

    def is_replicated(self) -> bool:
        """Return whether a quorum of the current groups is known to hold the whole log."""
        leads = self.phase is ProposerPhase.LEADING
        return leads and self._quorum_length() >= len(self.entries)

    def replicate_again(self) -> list[ReplicaMessage]:
        """Return the whole log for every replica that may lack entries."""
        if self.phase is not ProposerPhase.LEADING:
            return []
        return [
            ReplicaMessage(replica.node_id, self._append_request(0))
            for replica in self.groups.replicas()
            if self._lengths.get(replica.replica_id, 0) < len(self.entries)
        ]

    def change_groups(self, groups: ReplicaGroups) -> list[ReplicaMessage]:
        """Use the replica groups of a newer shard map.

        The whole log is sent to the replicas of the new groups, and no further
        entry is chosen until the new quorums hold it.
        """
        self.groups = groups
        if self.phase is ProposerPhase.PREPARING:
            return self.prepare()
        return self.replicate_again()
