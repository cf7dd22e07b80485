"""Encoding of messages: a two-byte type code, then Avro's binary form.

The schemas are read from the committed ``schemas`` folder; they are made from
the dataclasses by :mod:`yarrowwall.messages.generate`.

Releases run side by side during an upgrade. A released message changes only by fields that
:func:`yarrowwall.messages.registry.added_field` declares, behind all others: earlier releases pass
over them, and a body that ends before them has their defaults.

A class is known once its module is imported; a program imports those whose messages it
sends or takes, and :mod:`yarrowwall.messages.all_messages` imports every one.
"""

import dataclasses
import io
import json
import struct
import types
import typing
from collections.abc import Callable
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Any

import fastavro

from yarrowwall.messages.exceptions import MalformedMessageError, UnknownMessageError
from yarrowwall.messages.registry import CLASSES_BY_CODE, CODES_BY_CLASS, added_defaults

SCHEMA_FOLDER = Path(__file__).parent / "schemas"

_TYPE_CODE = struct.Struct(">H")
_Converter = Callable[[Any], Any]
#: What reading a body that does not follow its schema raises.
_MALFORMED = (ValueError, EOFError, IndexError, KeyError, StopIteration, MemoryError)


def schema_path(code: int) -> Path:
    """Return the file that holds the schema of a type code."""
    return SCHEMA_FOLDER / f"{code:03d}_{CLASSES_BY_CODE[code].__name__}.avsc"


@cache
def _schema(code: int) -> Any:
    """Parse the committed schema of a type code once."""
    return fastavro.parse_schema(json.loads(schema_path(code).read_text()))


@cache
def _schema_before_additions(code: int) -> Any:
    """Parse the schema of a type code as it was released first."""
    schema = json.loads(schema_path(code).read_text())
    added = added_defaults(CLASSES_BY_CODE[code])
    schema["fields"] = [field for field in schema["fields"] if field["name"] not in added]
    return fastavro.parse_schema(schema)


def _read_fields(code: int, cls: type, body: bytes) -> dict[str, Any]:
    """Return the Avro record of a body, which may come from a release without the added fields."""
    try:
        fields = fastavro.schemaless_reader(io.BytesIO(body), _schema(code), None)
    except _MALFORMED:
        added = added_defaults(cls)
        if not added:
            raise
        earlier = _schema_before_additions(code)
        fields = fastavro.schemaless_reader(io.BytesIO(body), earlier, None)
        fields = {**typing.cast(dict[str, Any], fields), **added}
    return typing.cast(dict[str, Any], fields)


def _field_converters(cls: type, leaf: Callable[[Any], _Converter | None]) -> dict[str, _Converter]:
    """Return converters for those fields whose Avro value is not their Python value.

    :param leaf: returns the converter for a type that is no list and no union.
    """
    hints = typing.get_type_hints(cls)
    found = {field.name: _converter(hints[field.name], leaf) for field in dataclasses.fields(cls)}
    return {name: converter for name, converter in found.items() if converter is not None}


def _converter(hint: Any, leaf: Callable[[Any], _Converter | None]) -> _Converter | None:
    """Return the converter of a type hint; None if nothing is to be converted."""
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        inner = _converter(typing.get_args(hint)[0], leaf)
        return None if inner is None else lambda value: None if value is None else inner(value)
    if origin is list:
        element = _converter(typing.get_args(hint)[0], leaf)
        return None if element is None else lambda values: [element(value) for value in values]
    return leaf(hint)


@cache
def _from_plain_fields(cls: type) -> dict[str, _Converter]:
    """Return the converters of a class from Avro's values."""
    return _field_converters(cls, _from_plain)


def _from_plain(hint: Any) -> _Converter | None:
    if dataclasses.is_dataclass(hint):
        return lambda value: _build(typing.cast(type, hint), value)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return hint
    return None


@cache
def _to_plain_fields(cls: type) -> dict[str, _Converter]:
    """Return the converters of a class to Avro's values."""
    return _field_converters(cls, _to_plain)


def _to_plain(hint: Any) -> _Converter | None:
    return _fields_of if dataclasses.is_dataclass(hint) else None


def _build(cls: Any, fields: dict[str, Any]) -> Any:
    """Make a frozen dataclass from decoded fields without its slow constructor."""
    for name, converter in _from_plain_fields(cls).items():
        fields[name] = converter(fields[name])
    instance = cls.__new__(cls)
    instance.__dict__.update(fields)
    return instance


def _fields_of(message: Any) -> dict[str, Any]:
    """Return the Avro record of a message or a part of one."""
    converters = _to_plain_fields(typing.cast(type, type(message)))
    if not converters:
        return vars(message)
    fields = dict(vars(message))
    for name, converter in converters.items():
        fields[name] = converter(fields[name])
    return fields


def encode(message: Any) -> bytes:
    """Encode a message with its type code.

    :raises MalformedMessageError: if a field does not fit the schema.
    """
    code = CODES_BY_CLASS[type(message)]
    buffer = io.BytesIO()
    buffer.write(_TYPE_CODE.pack(code))
    try:
        fastavro.schemaless_writer(buffer, _schema(code), _fields_of(message))
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise MalformedMessageError(f"{type(message).__name__}: {error}") from error
    return buffer.getvalue()


def decode(data: bytes) -> Any:
    """Decode a message.

    :raises UnknownMessageError: if no message has the type code.
    :raises MalformedMessageError: if the body does not follow the schema.
    """
    if len(data) < _TYPE_CODE.size:
        raise MalformedMessageError("shorter than a type code")
    (code,) = _TYPE_CODE.unpack_from(data)
    cls = CLASSES_BY_CODE.get(code)
    if cls is None:
        raise UnknownMessageError(f"type code {code}")
    try:
        return _build(cls, _read_fields(code, cls, data[_TYPE_CODE.size :]))
    except _MALFORMED as error:
        raise MalformedMessageError(f"{cls.__name__}: {error!r}") from error
