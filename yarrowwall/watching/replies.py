"""What the answers of readers tell. No I/O."""

from collections.abc import Sequence

from yarrowwall.messages.objects import ObjectsReply, ObjectsStatus
from yarrowwall.ports.object_store import Changes, HistoryExpiredError, Listing, StoredObject
from yarrowwall.watching.wire import decode_changes, decode_object


def is_out_of_contact(reply: ObjectsReply | None) -> bool:
    """Return whether a reader said that it hears nothing from the store."""
    return reply is not None and reply.status is ObjectsStatus.OUT_OF_CONTACT


def listing_from_reply(reply: ObjectsReply, sent_at_s: float) -> Listing:
    """Return the list that a reader told."""
    items = [decode_object(item) for item in reply.objects]
    return Listing(items, reply.revision, _proved_if_whole(reply, items, sent_at_s))


def changes_from_reply(reply: ObjectsReply, sent_at_s: float, way: str) -> Changes:
    """Return the changes that a reader told.

    :raises HistoryExpiredError: if it does not know them any more.
    """
    if reply.status is ObjectsStatus.FORGOTTEN:
        raise HistoryExpiredError(way)
    found = decode_changes(reply.objects)
    items = [change.item for change in found]
    return Changes(found, reply.revision, _proved_if_whole(reply, items, sent_at_s))


def _proved_if_whole(
    reply: ObjectsReply, items: Sequence[StoredObject], sent_at_s: float
) -> float | None:
    """Return the moment for which a reader vouches; None if not all it told could be read."""
    is_whole = all(item.is_readable for item in items)
    return verified_at_s(reply, sent_at_s) if is_whole else None


def verified_at_s(reply: ObjectsReply, sent_at_s: float) -> float | None:
    """Return the moment of this machine's clock for which a reader vouches.

    The reader counts it from the question's arrival, which was never before its sending.
    """
    return sent_at_s + reply.proved_after_s if reply.proved_after_s is not None else None
