"""Operations on a group's replicas: the requests and the replies that complete them. No I/O."""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from yarrowwall.messages.replicated import (
    GroupView,
    KeysReply,
    LifetimesReply,
    Member,
    RecordsReply,
    ReplyStatus,
    StoredRecord,
)
from yarrowwall.replication.rounds import Round
from yarrowwall.replication.views import disk_ids, has_read_quorum, has_write_quorum


class Quorum(NamedTuple):
    """Which replicas complete an operation.

    :param is_reached_by_disks: returns whether replies from these disks would suffice in a view.
    :param is_reached_by_replies: returns whether the replies of a round suffice in a view.
    """

    is_reached_by_disks: Callable[[GroupView, Collection[str]], bool]
    is_reached_by_replies: Callable[[GroupView, Round], bool]


WRITE_QUORUM = Quorum(
    has_write_quorum, lambda view, found: has_write_quorum(view, found.acknowledged)
)
READ_QUORUM = Quorum(
    has_read_quorum, lambda view, found: has_read_quorum(view, found.read_responders)
)
READ_WRITE_QUORUM = Quorum(
    lambda view, disks: has_write_quorum(view, disks) and has_read_quorum(view, disks),
    lambda view, found: (
        WRITE_QUORUM.is_reached_by_replies(view, found)
        and READ_QUORUM.is_reached_by_replies(view, found)
    ),
)
#: For operations that are complete only by the content of replies, see
#: :attr:`Operation.is_sufficient`.
NO_QUORUM = Quorum(lambda view, disks: False, lambda view, found: False)


#: For a single key of :class:`ReadLifetimes`: complete once a write quorum keeps it.
KEPT_BY_WRITE_QUORUM = Quorum(
    has_write_quorum, lambda view, found: kept_by_write_quorum_s(view, found.keys_left_s) > 0.0
)


def kept_by_write_quorum_s(view: GroupView, left_s: Mapping[str, Sequence[float]]) -> float:
    """Return for how many seconds a write quorum keeps a record; 0 if it is on no write quorum.

    :param left_s: by disk, for how many seconds it is kept there, in a list of one.
    """
    disks: list[str] = []
    for disk, (seconds,) in sorted(left_s.items(), key=lambda item: -item[1][0]):
        disks.append(disk)
        if has_write_quorum(view, disks):
            return seconds
    return 0.0


class Operation(NamedTuple):
    """A request to the replicas of a group and the condition that completes it.

    :param key: determines which replicas are asked first.
    :param request: returns the request for a member.
    :param is_sufficient: returns whether the replies suffice even without a quorum.
    """

    group: int
    key: str
    quorum: Quorum
    request: Callable[[GroupView, Member], object]
    is_sufficient: Callable[[Round], bool] = lambda found: False

    def is_complete(self, view: GroupView, found: Round) -> bool:
        """Return whether the replies suffice."""
        return self.is_sufficient(found) or self.quorum.is_reached_by_replies(view, found)


def needed_members(view: GroupView, members: Sequence[Member], quorum: Quorum) -> int:
    """Return how many of the first members make up a quorum; all if no fewer do."""
    disks = disk_ids(members)
    for count in range(1, len(disks)):
        if quorum.is_reached_by_disks(view, disks[:count]):
            return count
    return len(disks)


def is_behind(reply: object | None) -> bool:
    """Return whether a replica replied that it does not know the request's view."""
    replies = RecordsReply | KeysReply | LifetimesReply
    return isinstance(reply, replies) and reply.status is ReplyStatus.BEHIND


def reaches_root(records: dict[str, StoredRecord], key: str, stop: set[str]) -> bool:
    """Return whether the links from a key lead to a record without a link, or to a key in ``stop``.

    A record that is missing on the way makes the chain incomplete.
    """
    while key and key not in stop:
        record = records.get(key)
        if record is None:
            return False
        key = record.link
    return True
