"""The owner's side of one program's log.

A proposer first prepares its ballot on a quorum, merges what the promises
return and appends the unchosen rest again under its own ballot; only then does
it lead. It sends entries as they are proposed, without waiting for earlier
ones, and each replica gets them without gaps.
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
    """Where a replica is.

    :param replica_id: the id made with the data folder.
    :param node_id: the node that runs it now.
    """

    replica_id: str
    node_id: str
    zone: str


@dataclass(frozen=True)
class ReplicaGroups:
    """The replicas of a program: one group, or the old and the new in a change.

    :param map_version: version of the shard map the groups come from.
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
    """Where a proposer stands."""

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
    """The log of one program as its owner drives it.

    :ivar entries: everything proposed or recovered, by position.
    :ivar chosen: length of the prefix a quorum holds under this ballot.
    :ivar recovered: length of the log the promises returned.
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
        """Return the prepare requests; sent again until a quorum promised."""
        request = Prepare(self.program_id, self.ballot, self.groups.map_version)
        return [
            ReplicaMessage(replica.node_id, request)
            for replica in self.groups.replicas()
            if replica.replica_id not in self._promises
        ]

    def handle_promise(self, promise: Promise) -> list[ReplicaMessage]:
        """Count a promise; with a quorum of them the proposer leads."""
        if promise.ballot != self.ballot or self.phase is not ProposerPhase.PREPARING:
            return []
        self._promises[promise.replica_id] = promise
        if not self.groups.is_quorum(set(self._promises)):
            return []
        self._merge_promises()
        self.phase = ProposerPhase.LEADING
        # A fresh program has nothing to append again.
        return self._append_from(self.chosen) if self.entries else []

    def _merge_promises(self) -> None:
        """Take the log that was accepted under the highest ballot, as a whole.

        A chosen entry is in it: whoever accepted a later ballot's log accepted
        what that ballot's owner had recovered. Mixing positions of several
        logs would put entries behind others than they were made for.
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
            raise InvariantError(f"append to {self.program_id} while {self.phase}")
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

        :returns: whether the chosen prefix grew.
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
        """Return the longest length that a quorum holds under this ballot."""
        for length in sorted(set(self._lengths.values()), reverse=True):
            holders = {replica for replica, held in self._lengths.items() if held >= length}
            if self.groups.is_quorum(holders):
                return length
        return 0

    def handle_behind(self, answer: ReplicaBehind, node_id: str) -> list[ReplicaMessage]:
        """Resend to a replica what it lacks."""
        if answer.ballot != self.ballot or self.phase is not ProposerPhase.LEADING:
            return []
        return [ReplicaMessage(node_id, self._append_request(answer.length))]

    def handle_refused(self, answer: BallotRefused) -> bool:
        """Note a refusal.

        :returns: whether this proposer has just been deposed.
        """
        if answer.ballot != self.ballot or self.phase is ProposerPhase.DEPOSED:
            return False
        self.highest_seen = max(self.highest_seen, answer.promised)
        self.phase = ProposerPhase.DEPOSED
        return True

    def retransmit(self) -> list[ReplicaMessage]:
        """Return what to send again after a silence."""
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
        """Return whether everything proposed is chosen."""
        return self.phase is ProposerPhase.LEADING and self.chosen == len(self.entries)

    def is_replicated(self) -> bool:
        """Return whether a quorum of the present groups is known to hold the whole log."""
        leads = self.phase is ProposerPhase.LEADING
        return leads and self._quorum_length() >= len(self.entries)

    def replicate_again(self) -> list[ReplicaMessage]:
        """Return the whole log for every replica that may lack some of it."""
        if self.phase is not ProposerPhase.LEADING:
            return []
        return [
            ReplicaMessage(replica.node_id, self._append_request(0))
            for replica in self.groups.replicas()
            if self._lengths.get(replica.replica_id, 0) < len(self.entries)
        ]

    def change_groups(self, groups: ReplicaGroups) -> list[ReplicaMessage]:
        """Use a newer shard map.

        The whole log goes to the replicas of the new groups, and nothing more
        is chosen until the new quorums hold it.
        """
        self.groups = groups
        if self.phase is ProposerPhase.PREPARING:
            return self.prepare()
        return self.replicate_again()
