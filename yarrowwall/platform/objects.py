"""Objects of the platform's store as they come, whoever wrote them.

An object may come from another writer. What of it can't be read is left empty, so that one such
object does not take the others of its list or batch with it.
"""

import json
from typing import Any

from yarrowwall.ports.object_store import StoredObject

#: Digits of the longest whole number that is read as one, those of 64 bits. Python refuses to
#: read numbers of some thousand digits, and messages between machines hold 64 bits.
_MAX_DIGITS = 18


def read_json(data: bytes) -> Any:
    """Return what a body says.

    Bytes that are no UTF-8, control characters and numbers beyond all use stand inside one
    object, so they are taken rather than the whole body refused.

    :raises ValueError: if it is no JSON.
    """
    text = data.decode("utf-8", errors="replace")
    return json.loads(text, strict=False, parse_int=_whole)


def _whole(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


def read_object(document: object) -> StoredObject:
    """Return an object; its name is empty if that can't be read."""
    content = _mapping(document)
    meta = _mapping(content.get("meta"))
    revision = meta.get("revision")
    return StoredObject(
        _name(meta.get("name")),
        revision if type(revision) is int else 0,
        _mapping(content.get("spec")),
        _mapping(content.get("status")),
        isinstance(content.get("spec"), dict),
    )


def _mapping(value: object) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _name(value: object) -> str:
    """Return a name that can be sent on; lone surrogates can't."""
    if not isinstance(value, str):
        return ""
    return value if value.isascii() or _is_encodable(value) else ""


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
