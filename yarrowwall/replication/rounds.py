"""Collects the replies of several replicas to one request."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, TypeVar

import eventlet
from eventlet.event import Event

from yarrowwall.messages.replicated import KeysReply, LifetimesReply, StoredRecord
from yarrowwall.replication.rpc import Link


class _Versioned(Protocol):
    """A value with a version; the higher version replaces the lower one."""

    @property
    def version(self) -> int:
        """Return the version."""


_V = TypeVar("_V", bound=_Versioned)


@dataclass(frozen=True)
class Amount:
    """The tokens that a record accounts for."""

    version: int
    tokens: int


def _keep_newest(held: dict[str, _V], key: str, value: _V) -> None:
    """Store a value unless the held one has the same or a higher version."""
    held_value = held.get(key)
    if held_value is None or held_value.version < value.version:
        held[key] = value


def merged(one: Mapping[str, Amount], other: Mapping[str, Amount]) -> dict[str, Amount]:
    """Merge the amounts of two readings; the higher version of a key wins."""
    found = dict(one)
    for key, amount in other.items():
        _keep_newest(found, key, amount)
    return found


class Posted(NamedTuple):
    """A request that was sent to a replica.

    :param number: the request's number at the link.
    :param disk_id: the replica's disk.
    """

    link: Link
    number: int
    disk_id: str


@dataclass
class Round:
    """The replies of several replicas to one request.

    :param acknowledged: disks of replicas that carried out the request.
    :param read_responders: those of them that count for a read quorum.
    :param records: the newest version of each record in the replies.
    :param amounts: the newest version of each amount in the replies.
    :param owners_left_s: for how many seconds the requested owners' records are kept, by disk.
    :param keys_left_s: the same for the requested keys.
    :param note: the owner's note from the last reply that has one.
    :param is_read_quorum: whether the replies contain every complete record.
    :param answered: number of replies, including refusals.
    :param saw_other_view: whether a replica knows an earlier or a later view.
    :param is_superseded: whether a later view is known, in which the request must be repeated.
    :param unreached: disks of replicas whose connection failed; they are asked again.
    :param is_complete: whether the replies complete the operation.
    :param is_closed: whether the round is over.
    :param silent: disks of replicas that were asked and have not replied.
    :param replaced: disks in whose place another one replied.
    :param without_room: disks of replicas that have no room for the records.
    :param posted: the requests that were sent.
    """

    acknowledged: set[str] = field(default_factory=set)
    read_responders: set[str] = field(default_factory=set)
    records: dict[str, StoredRecord] = field(default_factory=dict)
    amounts: dict[str, Amount] = field(default_factory=dict)
    owners_left_s: dict[str, list[float]] = field(default_factory=dict)
    keys_left_s: dict[str, list[float]] = field(default_factory=dict)
    note: str = ""
    is_read_quorum: bool = False
    answered: int = 0
    saw_other_view: bool = False
    is_superseded: bool = False
    unreached: set[str] = field(default_factory=set)
    is_complete: bool = False
    is_closed: bool = False
    silent: set[str] = field(default_factory=set)
    replaced: set[str] = field(default_factory=set)
    without_room: set[str] = field(default_factory=set)
    posted: list[Posted] = field(default_factory=list)
    _wakeup: Event = field(default_factory=Event)
    _waits_for_unreached: bool = False

    def wait(self, timeout_s: float, for_unreached: bool) -> None:
        """Wait until the operation is complete or superseded, or no more replies are awaited.

        :param for_unreached: whether replicas whose connection failed are awaited too.
        """
        self._waits_for_unreached = for_unreached
        if self._is_finished or timeout_s <= 0.0:
            return
        self._wakeup = Event()
        self._wakeup.wait(timeout_s)
        if not self._is_finished:
            # Gives replies that arrived while the process was delayed a chance to be read.
            eventlet.sleep(0)

    def wake(self) -> None:
        """End the wait if no more replies are awaited."""
        if self._is_finished and not self._wakeup.ready():
            self._wakeup.send()

    @property
    def _is_finished(self) -> bool:
        is_awaited = self.silent or (self._waits_for_unreached and self.unreached)
        return self.is_complete or self.is_superseded or not is_awaited

    def close(self) -> None:
        """Stop waiting for replies."""
        self.is_closed = True
        for one in self.posted:
            one.link.forget(one.number, is_late=one.disk_id in self.silent)

    def merge(self, records: Sequence[StoredRecord]) -> None:
        """Merge records; the higher version of a key wins."""
        for record in records:
            _keep_newest(self.records, record.key, record)

    def merge_lifetimes(self, disk_id: str, reply: LifetimesReply) -> None:
        """Add the lifetimes that a replica reported."""
        self.owners_left_s[disk_id] = reply.owners_left_s
        self.keys_left_s[disk_id] = reply.keys_left_s

    def merge_amounts(self, reply: KeysReply) -> None:
        """Merge a reply's amounts and note; the higher version of a key wins."""
        self.note = reply.note or self.note
        for key, version, tokens in zip(reply.keys, reply.versions, reply.amounts, strict=True):
            _keep_newest(self.amounts, key, Amount(version, tokens))
