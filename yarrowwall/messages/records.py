"""Log records that replicas write to their disks and read back at a start."""

from yarrowwall.messages.journal import Ballot
from yarrowwall.messages.peers import Document
from yarrowwall.messages.quotas import LendingBegun, QuotaLent
from yarrowwall.messages.registry import message
from yarrowwall.messages.replicated import RecordsKept, SynchronisationKept, ViewKept


@message(80)
class BallotPromised:
    """The replica promised a ballot for a program."""

    program_id: str
    ballot: Ballot


@message(81)
class EntriesAccepted:
    """The replica accepted entries from position ``start`` on."""

    program_id: str
    ballot: Ballot
    start: int
    entries: list[bytes]
    chosen: int


@message(82)
class DocumentKept:
    """The replica stored a document of the platform."""

    document: Document


@message(83)
class LogSnapshot:
    """A program's complete log in one record, which replaces its earlier records."""

    program_id: str
    promised: Ballot
    accepted_ballot: Ballot
    chosen: int
    entries: list[bytes]


Record = (
    BallotPromised
    | EntriesAccepted
    | DocumentKept
    | LogSnapshot
    | RecordsKept
    | ViewKept
    | SynchronisationKept
    | QuotaLent
    | LendingBegun
)
