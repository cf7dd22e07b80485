"""Registry of message classes by their numeric type code."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar, dataclass_transform

_Message = TypeVar("_Message")

#: Message classes by the type code that precedes them in a frame.
CLASSES_BY_CODE: dict[int, type] = {}
#: The inverse of :data:`CLASSES_BY_CODE`.
CODES_BY_CLASS: dict[type, int] = {}


@dataclass_transform(frozen_default=True)
def message(code: int) -> Callable[[type[_Message]], type[_Message]]:
    """Declare a class as a frozen dataclass that travels between nodes.

    :param code: the unique type code; never reused once released.
    :returns: a class decorator.
    :raises ValueError: if the code is taken.
    """

    def register(cls: type[_Message]) -> type[_Message]:
        if code in CLASSES_BY_CODE:
            raise ValueError(f"message code {code} is taken by {CLASSES_BY_CODE[code].__name__}")
        decorated = dataclass(frozen=True)(cls)
        CLASSES_BY_CODE[code] = decorated
        CODES_BY_CLASS[decorated] = code
        return decorated

    return register
