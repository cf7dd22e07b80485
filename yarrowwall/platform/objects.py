"""Lenient parsing of objects from the platform store.

Other programs write objects too. Fields that cannot be read are left empty, so that one invalid
object does not discard the others of its list or batch.
"""

import json
from typing import Any

from yarrowwall.ports.object_store import StoredObject

#: Maximum number of digits that are read as an integer, so that it fits 64 bits as in messages
#: between machines. Python refuses to parse integers of some thousand digits.
_MAX_DIGITS = 18


def read_json(data: bytes) -> Any:
    """Return the value of a JSON body.

    Invalid UTF-8, control characters and huge numbers affect a single object, so they are
    accepted rather than the whole body refused.

    :raises ValueError: if the body is not JSON.
    """
    text = data.decode("utf-8", errors="replace")
    return json.loads(text, strict=False, parse_int=_parse_int)


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


def read_object(document: object) -> StoredObject:
    """Return an object of the store; its name is empty if it can't be read."""
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
    """Return a name; empty if it can't be encoded, for example because of a lone surrogate."""
    if not isinstance(value, str):
        return ""
    return value if value.isascii() or _is_encodable(value) else ""


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
