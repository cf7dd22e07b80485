"""What the answers of readers tell. No I/O."""

from collections.abc import Sequence

from yarrowwall.messages.objects import ObjectsReply, ObjectsStatus
from yarrowwall.ports.object_store import Changes, HistoryForgottenError, Listing, StoredObject
from yarrowwall.watching.wire import changes, stored


def is_out_of_contact(reply: ObjectsReply | None) -> bool:
    """Return whether a reader said that it hears nothing from the store."""
    return reply is not None and reply.status is ObjectsStatus.OUT_OF_CONTACT


def told_listing(reply: ObjectsReply, sent_at_s: float) -> Listing:
    """Return the list that a reader told."""
    items = [stored(item) for item in reply.objects]
    return Listing(items, reply.revision, _proved_if_whole(reply, items, sent_at_s))


def told_changes(reply: ObjectsReply, sent_at_s: float, way: str) -> Changes:
    """Return the changes that a reader told.

    :raises HistoryForgottenError: if it does not know them any more.
    """
    if reply.status is ObjectsStatus.FORGOTTEN:
        raise HistoryForgottenError(way)
    found = changes(reply.objects)
    items = [change.item for change in found]
    return Changes(found, reply.revision, _proved_if_whole(reply, items, sent_at_s))


def _proved_if_whole(
    reply: ObjectsReply, items: Sequence[StoredObject], sent_at_s: float
) -> float | None:
    """Return the moment for which a reader vouches; None if not all it told could be read."""
    is_whole = all(item.is_readable for item in items)
    return proved_at_s(reply, sent_at_s) if is_whole else None


def proved_at_s(reply: ObjectsReply, sent_at_s: float) -> float | None:
    """Return the moment of this machine's clock for which a reader vouches.

    The reader counts it from the question's arrival, which was never before its sending.
    """
    return sent_at_s + reply.proved_after_s if reply.proved_after_s is not None else None
