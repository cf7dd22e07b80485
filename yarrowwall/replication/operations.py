"""What an operation asks of a group's replicas, and which replies complete it. No I/O."""

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from yarrowwall.messages.replicated import (
    GroupView,
    KeysReply,
    Member,
    RecordsReply,
    ReplyStatus,
    StoredRecord,
)
from yarrowwall.replication.rounds import Round
from yarrowwall.replication.views import disk_ids, has_read_quorum, has_write_quorum


class Quorum(NamedTuple):
    """Which replicas complete an operation.

    :param is_made_by: tells whether disks suffice in a view.
    :param is_found: tells whether the replies suffice in a view.
    """

    is_made_by: Callable[[GroupView, Collection[str]], bool]
    is_found: Callable[[GroupView, Round], bool]


WRITERS = Quorum(has_write_quorum, lambda view, found: has_write_quorum(view, found.acknowledged))
READERS = Quorum(has_read_quorum, lambda view, found: has_read_quorum(view, found.read_responders))
READERS_AND_WRITERS = Quorum(
    lambda view, disks: has_write_quorum(view, disks) and has_read_quorum(view, disks),
    lambda view, found: WRITERS.is_found(view, found) and READERS.is_found(view, found),
)
#: For operations that are complete by what was found, whoever has replied.
NOBODY = Quorum(lambda view, disks: False, lambda view, found: False)


class Operation(NamedTuple):
    """What is asked of the replicas of a group.

    :param key: decides which replicas are asked first.
    :param request: returns the request for a member.
    :param is_whole: tells whether the replies suffice although they are no quorum.
    """

    group: int
    key: str
    quorum: Quorum
    request: Callable[[GroupView, Member], object]
    is_whole: Callable[[Round], bool] = lambda found: False

    def is_complete(self, view: GroupView, found: Round) -> bool:
        """Return whether the replies suffice."""
        return self.is_whole(found) or self.quorum.is_found(view, found)


def needed_members(view: GroupView, members: Sequence[Member], quorum: Quorum) -> int:
    """Return how many of the members, the first ones, make up a quorum."""
    disks = disk_ids(members)
    for count in range(1, len(disks)):
        if quorum.is_made_by(view, disks[:count]):
            return count
    return len(disks)


def is_behind(reply: object | None) -> bool:
    """Return whether a replica does not know the view in which it was asked."""
    return isinstance(reply, RecordsReply | KeysReply) and reply.status is ReplyStatus.BEHIND


def reaches_root(records: dict[str, StoredRecord], key: str, stop: set[str]) -> bool:
    """Return whether records link a key to a first one or to a known one."""
    while key and key not in stop:
        record = records.get(key)
        if record is None:
            return False
        key = record.link
    return True
