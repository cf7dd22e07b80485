"""Objects of the store in messages between machines."""

import json
from collections.abc import Iterable

from yarrowwall.messages.objects import RelayedObject
from yarrowwall.relay.object_store import Change, StoredObject


def relayed(item: StoredObject, is_gone: bool = False) -> RelayedObject:
    """Return an object as it travels."""
    content = json.dumps([item.spec, item.status], separators=(",", ":"))
    return RelayedObject(item.name, item.revision, content, is_gone)


def stored(found: RelayedObject) -> StoredObject:
    """Return an object that travelled.

    :raises ValueError: if its content cannot be read.
    """
    spec, status = json.loads(found.content)
    return StoredObject(found.name, found.revision, spec, status)


def changes(found: Iterable[RelayedObject]) -> list[Change]:
    """Return changes that travelled.

    :raises ValueError: if the content of one cannot be read.
    """
    return [Change(stored(one), one.is_gone) for one in found]
