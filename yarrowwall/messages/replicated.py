"""Messages of the replicated record store: between gateways and replicas, and among replicas.

A record has a single writer; a higher version of it replaces a lower one. Every
request names the epoch of the group that its sender knows and the disk that it is
meant for; a replica answers only in its own epoch.
"""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.capacity import ServiceUnderWay
from yarrowwall.messages.registry import message


class ReplyStatus(StrEnum):
    """How a replica took a request."""

    OK = "ok"
    #: The sender's epoch is older than the replica's; the reply has the newer view.
    STALE = "stale"
    #: The replica does not know the sender's epoch yet.
    BEHIND = "behind"
    #: The replica has another disk than the one that was meant.
    OTHER_DISK = "other_disk"
    #: The disk refused the write.
    DISK_REFUSED = "disk_refused"


@dataclass(frozen=True)
class Member:
    """A replica of a group.

    :param disk_id: made with the data folder; a replica that lost its disk is another one.
    :param address: ``IP:port`` where it takes requests.
    """

    node_id: str
    disk_id: str
    address: str
    zone: str


@dataclass(frozen=True)
class GroupView:
    """The replicas of a group as of an epoch.

    :param joining: while the group changes, the members it will have; empty otherwise.
    """

    group: int
    epoch: int
    members: list[Member]
    joining: list[Member]


@dataclass(frozen=True)
class StoredRecord:
    """A record.

    :param owner: what the record is counted for, a program; empty for none.
    :param link: key of the record that this one goes on from; empty for none.
    :param retention: seconds that the record is kept after it or one that goes on from
        it was written.
    """

    key: str
    version: int
    owner: str
    link: str
    retention: float
    amount: int
    value: bytes


@message(100)
class WriteRecords:
    """Store records."""

    group: int
    epoch: int
    disk_id: str
    records: list[StoredRecord]


@message(101)
class ReadOwner:
    """Return keys, versions and amounts of all records of an owner."""

    group: int
    epoch: int
    disk_id: str
    owner: str


@message(102)
class ReadChain:
    """Return a record and those it goes on from, up to one that the sender has."""

    group: int
    epoch: int
    disk_id: str
    key: str
    known: list[str]


@message(103)
class ListKeys:
    """Return keys and versions of all records."""

    group: int
    epoch: int
    disk_id: str


@message(104)
class FetchRecords:
    """Return records by key."""

    group: int
    epoch: int
    disk_id: str
    keys: list[str]


@message(105)
class AskStatus:
    """Return the replica's state."""

    group: int


@message(106)
class InstallView:
    """Take a newer view of the group."""

    view: GroupView


@message(107)
class ReportLoad:
    """Take what a gateway has under way; return the sum of all others.

    :param running: requests by server; runs parallel to ``servers``.
    :param services: programs and what they keep, by service with engines.
    """

    node_id: str
    servers: list[str]
    running: list[int]
    services: list[ServiceUnderWay]


@message(108)
class ReserveRecord:
    """Store a record and return what is held of its owner, itself included."""

    group: int
    epoch: int
    disk_id: str
    record: StoredRecord


@message(109)
class TellLoad:
    """Take what a gateway has under way; there is no reply.

    :param running: requests by server; runs parallel to ``servers``.
    :param services: programs and what they keep, by service with engines.
    """

    node_id: str
    servers: list[str]
    running: list[int]
    services: list[ServiceUnderWay]


@message(110)
class RecordsReply:
    """Answer to requests about records.

    :param is_reader: whether the replica counts for a read quorum.
    :param view: the replica's view if the epochs differ.
    """

    status: ReplyStatus
    is_reader: bool
    records: list[StoredRecord]
    view: GroupView | None


@message(111)
class KeysReply:
    """Answer to requests for keys, versions and amounts; the lists run in parallel.

    :param note: value of the owner's newest record that has one, as text; empty for none.
    """

    status: ReplyStatus
    is_reader: bool
    keys: list[str]
    versions: list[int]
    amounts: list[int]
    note: str
    view: GroupView | None


@message(112)
class StatusReply:
    """Answer to :class:`AskStatus` and :class:`InstallView`.

    :param synchronised_epoch: the last epoch in which it copied all that was complete.
    """

    node_id: str
    disk_id: str
    epoch: int
    is_reader: bool
    synchronised_epoch: int


@message(113)
class LoadReply:
    """Answer to :class:`ReportLoad`.

    :param running: requests of all other gateways by server; runs parallel to ``servers``.
    :param interval_s: seconds after which the gateway should report again.
    :param reporters: gateways that report, this one included.
    """

    servers: list[str]
    running: list[int]
    interval_s: float
    reporters: int


@message(117)
class AskStatuses:
    """Return the states of both replicas of a machine: that of a common group, then its zone's."""


@message(118)
class StatusesReply:
    """Answer to :class:`AskStatuses`."""

    common: StatusReply
    zone: StatusReply


@message(120)
class RecordsKept:
    """Log record: records that the replica acknowledged."""

    records: list[StoredRecord]


@message(121)
class ViewKept:
    """Log record: a view that the replica took."""

    view: GroupView


@message(122)
class SynchronisationKept:
    """Log record: the replica holds all that was complete before an epoch.

    :param is_reader: whether it counts for a read quorum from now on.
    """

    epoch: int
    is_reader: bool
