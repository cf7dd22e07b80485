"""Write the Avro schemas of all messages: ``python -m yarrowwall.messages.generate``.

The output is committed, so neither building nor running needs this step.
"""

import dataclasses
import json
import types
import typing
from enum import StrEnum
from typing import Any

import yarrowwall.messages.all_messages  # noqa: F401
from yarrowwall.messages.codec import schema_path
from yarrowwall.messages.registry import CLASSES_BY_CODE

_NAMESPACE = "yarrowwall"
_PRIMITIVES = {str: "string", int: "long", float: "double", bool: "boolean", bytes: "bytes"}


def _avro_type(hint: Any, declared: set[str]) -> Any:
    """Return the Avro type of a field; a record is defined only at its first use."""
    origin = typing.get_origin(hint)
    if origin is list:
        return {"type": "array", "items": _avro_type(typing.get_args(hint)[0], declared)}
    if origin is types.UnionType:
        return ["null", _avro_type(typing.get_args(hint)[0], declared)]
    if dataclasses.is_dataclass(hint):
        return _record(typing.cast(type, hint), declared)
    if issubclass(hint, StrEnum):
        return "string"
    return _PRIMITIVES[hint]


def _record(cls: type, declared: set[str]) -> Any:
    """Return the record schema of a dataclass."""
    if cls.__name__ in declared:
        return f"{_NAMESPACE}.{cls.__name__}"
    declared.add(cls.__name__)
    hints = typing.get_type_hints(cls)
    fields = [
        {"name": field.name, "type": _avro_type(hints[field.name], declared)}
        for field in dataclasses.fields(cls)
    ]
    return {"type": "record", "name": cls.__name__, "namespace": _NAMESPACE, "fields": fields}


def schema_text(code: int) -> str:
    """Return the text of the schema file of a type code."""
    return json.dumps(_record(CLASSES_BY_CODE[code], set()), indent=2) + "\n"


def main() -> None:
    """Write every schema file."""
    for code in CLASSES_BY_CODE:
        schema_path(code).write_text(schema_text(code))


if __name__ == "__main__":
    main()
