"""Messages between a program's owner and the journal replicas."""

from dataclasses import dataclass

from yarrowwall.messages.registry import message


@dataclass(frozen=True, order=True)
class Ballot:
    """The right to append to one program's log; higher ballots win.

    :param counter: increased by every owner that takes over.
    :param holder: the owner's node id and incarnation, which break ties.
    """

    counter: int
    holder: str


#: Lower than every ballot of an owner.
ZERO_BALLOT = Ballot(0, "")


@message(1)
class Prepare:
    """Ask a replica to promise a ballot and to return its log."""

    program_id: str
    ballot: Ballot
    map_version: int


@message(2)
class Promise:
    """A replica promised the ballot.

    :param accepted_ballot: the ballot under which the log was last accepted.
    :param chosen: length of the prefix that the replica knows to be chosen by a majority.
    :param entries: the replica's complete log of the program.
    """

    program_id: str
    ballot: Ballot
    replica_id: str
    accepted_ballot: Ballot
    chosen: int
    entries: list[bytes]


@message(3)
class Append:
    """Ask a replica to accept entries from position ``start`` on.

    :param chosen: length of the prefix that the owner knows to be chosen by a majority.
    """

    program_id: str
    ballot: Ballot
    start: int
    entries: list[bytes]
    chosen: int
    map_version: int


@message(4)
class Appended:
    """A replica has accepted the first ``length`` entries of the owner's log."""

    program_id: str
    ballot: Ballot
    replica_id: str
    length: int


@message(5)
class BallotRefused:
    """A replica refused a ballot, since it has promised a higher one."""

    program_id: str
    ballot: Ballot
    replica_id: str
    promised: Ballot


@message(6)
class ReplicaBehind:
    """An append starts beyond the replica's matching prefix; resend from ``length`` on."""

    program_id: str
    ballot: Ballot
    replica_id: str
    length: int


@message(7)
class ShardMapStale:
    """A request was refused, since its shard map is older than the replica's."""

    program_id: str
    replica_id: str
    map_version: int


@message(8)
class SweepProgram:
    """Ask a program's owner to load the program and finish its pending work."""

    program_id: str


@message(9)
class CopyProgram:
    """Ask a program's owner to copy its log to the replicas of a newer shard map."""

    program_id: str
    map_version: int


@message(14)
class ProgramCopied:
    """A program's log is on a quorum of the replicas of a shard map."""

    program_id: str
    map_version: int


@message(15)
class AskCopied:
    """Ask a replica whether all its logs are on a quorum of the replicas of a shard map."""

    map_version: int


@message(16)
class ReplicaCopied:
    """All logs of a replica are on a quorum of the replicas of a shard map."""

    replica_id: str
    map_version: int
