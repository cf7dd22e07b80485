"""Registry of message classes by their numeric type code."""

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform

_Message = TypeVar("_Message")

#: Message classes by the type code that begins their encoding.
CLASSES_BY_CODE: dict[int, type] = {}
#: The inverse of :data:`CLASSES_BY_CODE`.
CODES_BY_CLASS: dict[type, int] = {}


_ADDED = "added"


def added_field(*, default: Any) -> Any:
    """Declare a field that was added to a message after its release.

    It must follow all fields that were released. Earlier releases ignore it, and it has its default
    in messages that they send.
    """
    return dataclasses.field(default=default, metadata={_ADDED: True})


def added_defaults(cls: type) -> dict[str, Any]:
    """Return the defaults of a message's fields that were added after its release."""
    return {
        field.name: field.default for field in dataclasses.fields(cls) if _ADDED in field.metadata
    }


@dataclass_transform(frozen_default=True, field_specifiers=(added_field,))
def message(code: int) -> Callable[[type[_Message]], type[_Message]]:
    """Declare a class as a message: a frozen dataclass that nodes exchange or write to disk.

    :param code: the unique type code, which is never reused once released.
    :returns: a class decorator.
    :raises ValueError: if another class has the code.
    """

    def register(cls: type[_Message]) -> type[_Message]:
        if code in CLASSES_BY_CODE:
            raise ValueError(f"message code {code} is taken by {CLASSES_BY_CODE[code].__name__}")
        decorated = dataclasses.dataclass(frozen=True)(cls)
        CLASSES_BY_CODE[code] = decorated
        CODES_BY_CLASS[decorated] = code
        return decorated

    return register
