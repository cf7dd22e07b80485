"""Interprets the replies of store readers. No I/O."""

from collections.abc import Sequence

from yarrowwall.messages.objects import ObjectsReply, ObjectsStatus
from yarrowwall.ports.object_store import Changes, HistoryExpiredError, Listing, StoredObject
from yarrowwall.watching.wire import decode_changes, decode_object


def is_out_of_contact(reply: ObjectsReply | None) -> bool:
    """Return whether a reader replied that it cannot reach the store."""
    return reply is not None and reply.status is ObjectsStatus.OUT_OF_CONTACT


def listing_from_reply(reply: ObjectsReply, sent_at_s: float) -> Listing:
    """Return the listing in a reader's reply.

    :param sent_at_s: when the request was sent, by the monotonic clock of this machine.
    """
    items = [decode_object(item) for item in reply.objects]
    return Listing(items, reply.revision, _verified_if_readable(reply, items, sent_at_s))


def changes_from_reply(reply: ObjectsReply, sent_at_s: float, source: str) -> Changes:
    """Return the changes in a reader's reply.

    :param sent_at_s: when the request was sent, by the monotonic clock of this machine.
    :param source: text that names the reader in the error.
    :raises HistoryExpiredError: if the reader no longer keeps them.
    """
    if reply.status is ObjectsStatus.FORGOTTEN:
        raise HistoryExpiredError(source)
    found = decode_changes(reply.objects)
    items = [change.item for change in found]
    return Changes(found, reply.revision, _verified_if_readable(reply, items, sent_at_s))


def _verified_if_readable(
    reply: ObjectsReply, items: Sequence[StoredObject], sent_at_s: float
) -> float | None:
    """Return the time as of which a reply is verified; None if an object is unreadable."""
    all_readable = all(item.is_readable for item in items)
    return verified_at_s(reply, sent_at_s) if all_readable else None


def verified_at_s(reply: ObjectsReply, sent_at_s: float) -> float | None:
    """Return the time as of which a reply is verified, by this machine's clock; None if unknown.

    The reader gives it relative to the arrival of the request. This machine adds it to the time of
    sending, which is never later, so the result never makes a state look newer than it is.
    """
    return sent_at_s + reply.proved_after_s if reply.proved_after_s is not None else None
