"""Messages between machines that read the platform's store and those that they read it for."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.registry import message


class ObjectsStatus(StrEnum):
    """How a reader took a question."""

    OK = "ok"
    #: The reader no longer knows the changes since the revision; list anew.
    FORGOTTEN = "forgotten"
    #: The reader itself gets no answers from the store, or none that is new enough.
    OUT_OF_CONTACT = "out_of_contact"


@dataclass(frozen=True)
class RelayedObject:
    """An object of the store, or the end of one.

    :param revision: the store's revision at its last change.
    :param content: its specification and status, as JSON, compressed by zlib.
    """

    name: str
    revision: int
    content: bytes
    is_gone: bool


@message(130)
class ListObjects:
    """Return all objects of a kind.

    :param least_revision: the revision that the list has to have at least.
    """

    kind: str
    least_revision: int


@message(131)
class WatchObjects:
    """Return what changed after a revision, as soon as something did.

    :param wait_s: seconds after which the answer comes without a change.
    :param is_look: whether the asker looks for a reader: one that hears from the store answers
        at once, and one that doesn't keeps the question until it does, ``wait_s`` at most.
    """

    kind: str
    revision: int
    wait_s: float
    is_look: bool = False


@message(132)
class ObjectsReply:
    """Answer to :class:`ListObjects` and :class:`WatchObjects`.

    :param revision: the store's revision that the objects bring a receiver to.
    :param proved_after_s: a moment at which the store had acknowledged nothing newer, in
        seconds from the arrival of the question, before it if negative; None if none is
        known. Whoever asked counts it from the sending, which is never later.
    """

    status: ObjectsStatus
    objects: list[RelayedObject]
    revision: int
    proved_after_s: float | None
