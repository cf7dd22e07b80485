"""Encodes objects of the store in messages between machines, and decodes them."""

import json
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from yarrowwall.messages.objects import RelayedObject
from yarrowwall.ports.object_store import Change, StoredObject
from yarrowwall.watching.object_content import is_usable

#: The fastest level of zlib. It shrinks a configuration of 2,000 routes (600 KB), which is sent to
#: each machine of a zone, to less than a tenth.
COMPRESSION_LEVEL = 1


class _Encoded(NamedTuple):
    """An object and its encoding."""

    item: StoredObject
    encoded: RelayedObject


class ObjectEncoder:
    """Encodes objects, and caches the encoding of each one's last state for further clients."""

    def __init__(self) -> None:
        self._cached: dict[str, _Encoded] = {}

    def encode(self, item: StoredObject) -> RelayedObject:
        """Return the encoding of an object."""
        cached = self._cached.get(item.name)
        if cached is None or cached.item is not item:
            cached = self._cached[item.name] = _Encoded(item, _encoded(item, is_gone=False))
        return cached.encoded

    def encode_change(self, change: Change) -> RelayedObject:
        """Return the encoding of a change."""
        if not change.is_gone:
            return self.encode(change.item)
        self._cached.pop(change.item.name, None)
        return _encoded(change.item, is_gone=True)


def _encoded(item: StoredObject, is_gone: bool) -> RelayedObject:
    # An object that can't be read is unreadable for other machines too.
    spec = item.spec if item.is_readable else None
    text = json.dumps([spec, item.status], separators=(",", ":"))
    content = zlib.compress(text.encode(), COMPRESSION_LEVEL)
    return RelayedObject(item.name, item.revision, content, is_gone)


def decode_object(found: RelayedObject) -> StoredObject:
    """Return a decoded object.

    If its content can't be read, an empty object is returned with ``is_readable`` unset, so that
    one bad object does not discard the others of its list.
    """
    try:
        spec, status = json.loads(zlib.decompress(found.content))
    except (RecursionError, TypeError, ValueError, zlib.error):
        return StoredObject(found.name, found.revision, {}, {}, is_readable=False)
    if not isinstance(spec, dict) or not isinstance(status, dict) or not is_usable([spec, status]):
        return StoredObject(found.name, found.revision, {}, {}, is_readable=False)
    return StoredObject(found.name, found.revision, spec, status)


def decode_changes(found: Iterable[RelayedObject]) -> list[Change]:
    """Return decoded changes."""
    return [Change(decode_object(one), one.is_gone) for one in found]
