"""Which content of an object of the platform's store can be used. No I/O.

Other programs write objects too. Content is decoded, logged, and encoded again for other machines,
each of which fails for values nested deeper than the interpreter's stack, or for text that has no
encoding. So what is used is bounded here, for objects read from the store and from other machines.
"""

from typing import Any

#: Most levels of lists and maps in the content of one object.
MAX_DEPTH = 64


def is_usable(content: object) -> bool:
    """Return whether content is not nested too deeply and all of its text can be encoded."""
    level = [content]
    for _ in range(MAX_DEPTH + 1):
        level = [inner for value in level for inner in _inner(value)]
        if not level:
            return True
        if not all(is_encodable(value) for value in level if isinstance(value, str)):
            return False
    return False


def _inner(value: object) -> list[Any]:
    """Return the values, and keys, that a list or map contains."""
    if isinstance(value, dict):
        return [*value, *value.values()]
    return value if isinstance(value, list) else []


def is_encodable(text: str) -> bool:
    """Return whether text has an encoding; a lone surrogate has none."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
