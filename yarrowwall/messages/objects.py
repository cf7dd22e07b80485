"""Messages between readers of the platform's store and the machines that they read it for."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class ObjectsStatus(StrEnum):
    """The outcome of a request to a reader."""

    OK = "ok"
    #: The reader no longer knows the changes since the revision; the client must list again.
    FORGOTTEN = "forgotten"
    #: The reader gets no answers from the store, or its data is too old for the request.
    OUT_OF_CONTACT = "out_of_contact"


@dataclass(frozen=True)
class RelayedObject:
    """An object of the store, or its deletion.

    :param revision: the store's revision at its last change.
    :param content: its specification and status as JSON, compressed with zlib.
    :param is_gone: whether it was deleted.
    """

    name: str
    revision: int
    content: bytes
    is_gone: bool


@message(130)
class ListObjects:
    """Request all objects of a kind.

    :param least_revision: the lowest revision that the list may have.
    """

    kind: str
    least_revision: int


@message(131)
class WatchObjects:
    """Request the changes after a revision; the reply is sent as soon as there are any.

    :param wait_s: seconds after which a reply is sent even without changes.
    :param is_look: whether this is a health check, sent to find a reader: a reader that gets
        answers from the store replies at once; one that gets none waits for the store to
        recover, for at most ``wait_s``.
    """

    kind: str
    revision: int
    wait_s: float
    is_look: bool = False


@message(132)
class ObjectsReply:
    """Answer to :class:`ListObjects` and :class:`WatchObjects`.

    :param revision: the store's revision that the receiver has after applying the objects.
    :param proved_after_s: the time as of which the state is verified to be the newest, in seconds
        after the arrival of the request, negative if before it; None if it was not verified. The
        client adds it to the time at which it sent the request, which is never later than the
        arrival.
    """

    status: ObjectsStatus
    objects: list[RelayedObject]
    revision: int
    proved_after_s: float | None
