"""Messages of the replicated record store, between gateways and replicas and among replicas.

Each record has a single writer, and a higher version replaces a lower one. Requests for records
contain the epoch of the group that the sender knows and the id of the disk that they address. A
replica only executes requests of its own epoch.
"""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.capacity import ServiceUnderWay
from yarrowwall.messages.registry import added_field, message


class ReplyStatus(StrEnum):
    """The outcome of a request to a replica."""

    OK = "ok"
    #: The sender's epoch is older than the replica's; the reply contains the newer view.
    STALE = "stale"
    #: The replica is in another group or does not know the sender's epoch yet.
    BEHIND = "behind"
    #: The replica's disk is not the addressed one.
    OTHER_DISK = "other_disk"
    #: Writing to the disk failed. In a reply that counts for reads: there is no room for records of
    #: new owners.
    DISK_REFUSED = "disk_refused"


@dataclass(frozen=True)
class Member:
    """A replica of a group.

    :param disk_id: id created with the data folder; after the loss of its disk, a machine's replica
        counts as another one.
    :param address: ``IP:port`` where it accepts requests.
    """

    node_id: str
    disk_id: str
    address: str
    zone: str


@dataclass(frozen=True)
class GroupView:
    """The replicas of a group in one epoch.

    :param joining: the members after the change while the group changes; empty otherwise.
    """

    group: int
    epoch: int
    members: list[Member]
    joining: list[Member]


#: Begins the values of records that are no notes of their owners.
NO_NOTE = b"\0"


@dataclass(frozen=True)
class StoredRecord:
    """A record of the store.

    :param owner: the program whose records include this one, or the key of the first turn of its
        chain; empty for a turn that an earlier release stored.
    :param link: key of the record that this one continues; empty for none.
    :param retention: seconds for which all records of its owner are kept after it was stored.
    :param value: content of the record. That of an owner's newest record is the owner's note,
        unless it begins with ``NO_NOTE``.
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
    """Request the keys, versions and amounts of all records of an owner."""

    group: int
    epoch: int
    disk_id: str
    owner: str


@message(102)
class ReadChain:
    """Request a record and those it continues from, up to one that the sender has.

    :param known: keys of records that the sender has.
    """

    group: int
    epoch: int
    disk_id: str
    key: str
    known: list[str]


@message(103)
class ListKeys:
    """Request the keys and versions of all records."""

    group: int
    epoch: int
    disk_id: str


@message(104)
class FetchRecords:
    """Request records by key."""

    group: int
    epoch: int
    disk_id: str
    keys: list[str]


@message(105)
class AskStatus:
    """Request the replica's status."""

    group: int


@message(106)
class InstallView:
    """Install a newer view of the group."""

    view: GroupView


@message(107)
class ReportLoad:
    """Report a gateway's load, and request the total load of all others.

    :param running: requests in progress at each of ``servers``.
    :param services: active programs at each service with engines.
    """

    node_id: str
    servers: list[str]
    running: list[int]
    services: list[ServiceUnderWay]


@message(108)
class ReserveRecord:
    """Store a record, and request the keys, versions and amounts of its owner's records.

    The reply includes the record itself.
    """

    group: int
    epoch: int
    disk_id: str
    record: StoredRecord


@message(109)
class TellLoad:
    """Report a gateway's load; there is no reply.

    :param running: requests in progress at each of ``servers``.
    :param services: active programs at each service with engines.
    """

    node_id: str
    servers: list[str]
    running: list[int]
    services: list[ServiceUnderWay]


@message(110)
class RecordsReply:
    """Answer to requests for records.

    :param is_reader: whether the replica counts for a read quorum.
    :param view: the replica's view if the sender's epoch is older.
    """

    status: ReplyStatus
    is_reader: bool
    records: list[StoredRecord]
    view: GroupView | None


@message(111)
class KeysReply:
    """Answer to requests for keys, versions and amounts; the lists are parallel.

    :param is_reader: whether the replica counts for a read quorum.
    :param note: value, as text, of the owner's newest record that has one; empty for none.
    :param view: the replica's view if the sender's epoch is older.
    :param left_s: for how many seconds each record is kept, in the answer to :class:`ListKeys`;
        empty in other answers and from earlier releases.
    """

    status: ReplyStatus
    is_reader: bool
    keys: list[str]
    versions: list[int]
    amounts: list[int]
    note: str
    view: GroupView | None
    left_s: list[float] = added_field(default=())


@message(112)
class StatusReply:
    """Answer to :class:`AskStatus` and :class:`InstallView`.

    :param is_reader: whether the replica counts for a read quorum.
    :param synchronised_epoch: the newest epoch in which it finished copying all complete records.
    :param is_leaving: whether its process is about to end, so that it should be in no group.
    """

    node_id: str
    disk_id: str
    epoch: int
    is_reader: bool
    synchronised_epoch: int
    is_leaving: bool = added_field(default=False)


@message(113)
class LoadReply:
    """Answer to :class:`ReportLoad`.

    :param running: requests of all other gateways in progress at each of ``servers``.
    :param interval_s: seconds after which the gateway should report again.
    :param reporters: number of gateways that report, including this one.
    """

    servers: list[str]
    running: list[int]
    interval_s: float
    reporters: int


@message(117)
class AskStatuses:
    """Request the statuses of both replicas of a machine."""


@message(118)
class StatusesReply:
    """Answer to :class:`AskStatuses`.

    :param common: status of the replica of a common group.
    :param zone: status of the replica of the zone's own group.
    """

    common: StatusReply
    zone: StatusReply


@message(120)
class RecordsKept:
    """Log record: records that the replica stored.

    :param wall_s: time of day when it was written; 0 in logs of earlier releases.
    :param steady_s: monotonic time when it was written.
    :param left_s: for how many seconds each record was still kept then; empty if it was new.
    """

    records: list[StoredRecord]
    wall_s: float = added_field(default=0.0)
    steady_s: float = added_field(default=0.0)
    left_s: list[float] = added_field(default=())


@message(121)
class ViewKept:
    """Log record: a view that the replica installed."""

    view: GroupView


@message(122)
class SynchronisationKept:
    """Log record: the replica has all records that were complete before an epoch.

    :param is_reader: whether it counts for a read quorum from then on.
    :param view_epoch: in a snapshot, the epoch of the view in which that is so; 0 elsewhere and in
        snapshots of earlier releases.
    """

    epoch: int
    is_reader: bool
    view_epoch: int = added_field(default=0)


@message(125)
class ReadLifetimes:
    """Request for how long the records of owners, and single records, are kept."""

    group: int
    epoch: int
    disk_id: str
    owners: list[str]
    keys: list[str]


@message(126)
class LifetimesReply:
    """Answer to :class:`ReadLifetimes`.

    :param is_reader: whether the replica counts for a read quorum.
    :param owners_left_s: for how many seconds the records of each owner are kept; 0 if the replica
        has none.
    :param keys_left_s: the same for each single record.
    :param view: the replica's view if the sender's epoch is older.
    """

    status: ReplyStatus
    is_reader: bool
    owners_left_s: list[float]
    keys_left_s: list[float]
    view: GroupView | None
