"""What the relay needs from the platform's store of objects; the adapter implements it."""

from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from yarrowwall.exceptions import RelayError


class ObjectStoreError(RelayError):
    """The store gave no usable answer; a change may or may not have been made."""


class StoreTimeoutError(ObjectStoreError):
    """No answer came in time: the question may have been lost when it was sent."""


class HistoryExpiredError(ObjectStoreError):
    """The store no longer knows the changes since a revision; read anew."""


class WatchInterruptedError(ObjectStoreError):
    """A question was ended from within this process, or overtaken by others; ask again at once."""


class ConflictError(ObjectStoreError):
    """An object exists already or has another revision than the one named."""


class ObjectName(NamedTuple):
    """Where an object of the store is found."""

    kind: str
    name: str


@dataclass(frozen=True)
class StoredObject:
    """One object of the store.

    :param revision: the store's revision at its last change.
    :param is_readable: whether its content could be read; it is empty otherwise.
    """

    name: str
    revision: int
    spec: dict[str, Any]
    status: dict[str, Any]
    is_readable: bool = True


@dataclass(frozen=True)
class Listing:
    """All objects of a kind as they stood at a revision.

    :param verified_at_s: a moment of this machine's monotonic clock at which nothing newer had
        been acknowledged; None if none is known.
    """

    items: list[StoredObject]
    revision: int
    verified_at_s: float | None = None


@dataclass(frozen=True)
class Change:
    """One change of an object."""

    item: StoredObject
    is_gone: bool


@dataclass(frozen=True)
class Changes:
    """The changes after a revision, up to another one.

    :param verified_at_s: as in :class:`Listing`, once the changes are taken in.
    """

    changes: list[Change]
    revision: int
    verified_at_s: float | None = None


class ReadableStore(Protocol):
    """Reads and watches objects by kind and name.

    Every method raises :class:`ObjectStoreError` if the store gives no usable answer.
    """

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind.

        :param timeout_s: the longest that each page of it may take.
        :param allow_stale: whether the list may be some seconds old, which costs the store less;
            a watch from its revision catches up.
        """

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; none if nothing happened for a while.

        :param wait_s: the longest wait.
        :raises HistoryExpiredError: if the revision is too old.
        :raises WatchInterruptedError: if :meth:`interrupt_watches` ended it.
        """

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """End waiting watches of this process.

        :param opened_before_s: those on connections opened before a moment of the monotonic
            clock, for these are in doubt; none of them is used any more.
        :param kind: those of one kind; of all without it.
        """

    def wait_for_recovery(self, seconds: float) -> None:
        """Pause; until the store answers again at the longest, if it is lost."""

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return an object as it stands now; None if there is none.

        Whatever was acknowledged before the call was sent is in the answer.
        """


class ObjectStore(ReadableStore, Protocol):
    """Reads, watches and changes objects; its own methods raise the same."""

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> StoredObject:
        """Make an object.

        :raises ConflictError: if it exists.
        """

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], revision: int | None
    ) -> StoredObject:
        """Replace an object's content if it still has a revision.

        :raises ConflictError: if it does not.
        """

    def set_status(self, kind: str, name: str, status: dict[str, Any]) -> None:
        """Replace an object's status."""
