"""Lenient parsing of objects from the platform store.

Other programs write objects too. An object that cannot be read is marked, so that it does not
discard the others of its list or batch.
"""

import json
import re
from typing import Any

from yarrowwall.ports.object_store import StoredObject
from yarrowwall.watching.object_content import MAX_DEPTH, is_encodable, is_usable

#: Maximum number of digits that are read as an integer, so that it fits 64 bits as in messages
#: between machines. Python refuses to parse integers of some thousand digits.
_MAX_DIGITS = 18
#: Levels of a page or batch that are parsed at most: those of an object's content, its own, and
#: some to tell content that is too deep from content that is as deep as allowed.
_MAX_PAGE_DEPTH = MAX_DEPTH + 16
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+', re.DOTALL)


def read_json(data: bytes) -> Any:
    """Return the value of a JSON body.

    Invalid UTF-8, control characters, huge numbers and deep nesting affect a single object, so
    they are accepted rather than the whole body refused. Values that are nested too deeply for the
    parser are replaced by null, at a depth that no usable object has.

    :raises ValueError: if the body is not JSON.
    """
    text = data.decode("utf-8", errors="replace")
    try:
        return _parse(text)
    except RecursionError:
        return _parse(_without_deep_values(text))


def _parse(text: str) -> Any:
    return json.loads(text, strict=False, parse_int=_parse_int)


def _without_deep_values(text: str) -> str:
    """Return JSON with null in place of lists and maps that are nested too deeply.

    :raises ValueError: if one of them does not end.
    """
    kept, kept_to, depth = [], 0, 0
    for token in _TOKEN.finditer(text):
        marks = token[0]
        if marks[0] in "[{":
            excess = depth + len(marks) - _MAX_PAGE_DEPTH
            if depth <= _MAX_PAGE_DEPTH and excess > 0:
                kept += [text[kept_to : token.end() - excess], "null"]
            depth += len(marks)
        elif marks[0] in "]}":
            excess = depth - _MAX_PAGE_DEPTH
            if 0 < excess <= len(marks):
                kept_to = token.start() + excess
            depth -= len(marks)
    if depth > _MAX_PAGE_DEPTH:
        raise ValueError("a nested value does not end")
    return "".join([*kept, text[kept_to:]])


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


def read_object(document: object) -> StoredObject:
    """Return an object of the store; its name is empty if it can't be read."""
    content = _mapping(document)
    meta = _mapping(content.get("meta"))
    revision = meta.get("revision")
    spec, status = content.get("spec"), content.get("status")
    is_readable = isinstance(spec, dict) and is_usable([spec, status])
    return StoredObject(
        _name(meta.get("name")),
        revision if type(revision) is int else 0,
        _mapping(spec) if is_readable else {},
        _mapping(status) if is_readable else {},
        is_readable,
    )


def _mapping(value: object) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _name(value: object) -> str:
    """Return a name; empty if it can't be encoded, for example because of a lone surrogate."""
    if not isinstance(value, str):
        return ""
    return value if is_encodable(value) else ""
