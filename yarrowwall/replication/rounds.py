"""The replies to one request of several replicas, and the wait for them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol, TypeVar

import eventlet
from eventlet.event import Event

from yarrowwall.messages.replicated import KeysReply, StoredRecord
from yarrowwall.replication.rpc import Link


class _Versioned(Protocol):
    """Anything of which a higher version replaces a lower one."""

    @property
    def version(self) -> int:
        """Return the version."""


_V = TypeVar("_V", bound=_Versioned)


@dataclass(frozen=True)
class Amount:
    """What a record counts for."""

    version: int
    tokens: int


def _keep_newest(held: dict[str, _V], key: str, value: _V) -> None:
    """Take a value in unless as high a version is held."""
    known = held.get(key)
    if known is None or known.version < value.version:
        held[key] = value


def merged(one: Mapping[str, Amount], other: Mapping[str, Amount]) -> dict[str, Amount]:
    """Return the amounts of two readings; the higher version of a key wins."""
    found = dict(one)
    for key, amount in other.items():
        _keep_newest(found, key, amount)
    return found


class Posted(NamedTuple):
    """A request that was sent.

    :param number: by which the link forgets it.
    """

    link: Link
    number: int
    disk_id: str


@dataclass
class Round:
    """The replies to one request of several replicas.

    :param met_other_view: whether a replica knows an earlier or a later view.
    :param is_superseded: whether a later view is known, in which the request is to be made anew.
    :param unreached: disks of replicas whose connection failed; they are asked again.
    :param silent: disks of those that were asked and have not replied.
    :param gone: disks in whose place another one replied.
    :param is_closed: whether no more replies are taken.
    """

    acknowledged: set[str] = field(default_factory=set)
    read_responders: set[str] = field(default_factory=set)
    records: dict[str, StoredRecord] = field(default_factory=dict)
    amounts: dict[str, Amount] = field(default_factory=dict)
    note: str = ""
    is_read_quorum: bool = False
    answered: int = 0
    met_other_view: bool = False
    is_superseded: bool = False
    unreached: set[str] = field(default_factory=set)
    is_complete: bool = False
    is_closed: bool = False
    silent: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    posted: list[Posted] = field(default_factory=list)
    _wakeup: Event = field(default_factory=Event)
    _waits_for_unreached: bool = False

    def wait(self, timeout_s: float, for_unreached: bool) -> None:
        """Wait until the replies suffice or no reply that is still to come matters.

        :param for_unreached: whether replicas matter that are to be asked again.
        """
        self._waits_for_unreached = for_unreached
        if self._is_over or timeout_s <= 0.0:
            return
        self._wakeup = Event()
        self._wakeup.wait(timeout_s)
        if not self._is_over:
            # Lets replies be read that came while the process was held up.
            eventlet.sleep(0)

    def wake(self) -> None:
        """End the wait if there is nothing more to wait for."""
        if self._is_over and not self._wakeup.ready():
            self._wakeup.send()

    @property
    def _is_over(self) -> bool:
        is_awaited = self.silent or (self._waits_for_unreached and self.unreached)
        return self.is_complete or self.is_superseded or not is_awaited

    def close(self) -> None:
        """Take no more replies."""
        self.is_closed = True
        for one in self.posted:
            one.link.forget(one.number, is_late=one.disk_id in self.silent)

    def merge(self, records: Sequence[StoredRecord]) -> None:
        """Take in records; the higher version of a key wins."""
        for record in records:
            _keep_newest(self.records, record.key, record)

    def merge_amounts(self, reply: KeysReply) -> None:
        """Take in amounts; the higher version of a key wins."""
        self.note = reply.note or self.note
        for key, version, tokens in zip(reply.keys, reply.versions, reply.amounts, strict=True):
            _keep_newest(self.amounts, key, Amount(version, tokens))
