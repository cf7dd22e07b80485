"""Encoding of messages: a two-byte type code, then Avro's binary encoding.

The schemas are read from the committed ``schemas`` folder;
:mod:`yarrowwall.messages.generate` writes them from the dataclasses.

During an upgrade, machines of different releases exchange messages. A released message may only
gain fields, which :func:`yarrowwall.messages.registry.added_field` declares after all others:
earlier releases ignore them, and they have their defaults if a body ends before them.

A class is registered when its module is imported. A process imports the modules of the messages
that it sends or receives; :mod:`yarrowwall.messages.all_messages` imports all of them.
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
#: Exceptions raised by reading a body that does not match its schema.
_MALFORMED = (ValueError, EOFError, IndexError, KeyError, StopIteration, MemoryError)


def schema_path(code: int) -> Path:
    """Return the path of the schema of a type code."""
    return SCHEMA_FOLDER / f"{code:03d}_{CLASSES_BY_CODE[code].__name__}.avsc"


@cache
def _schema(code: int) -> Any:
    """Return the parsed schema of a type code."""
    return fastavro.parse_schema(json.loads(schema_path(code).read_text()))


@cache
def _schema_before_additions(code: int) -> Any:
    """Return the parsed schema of a type code as it was first released."""
    schema = json.loads(schema_path(code).read_text())
    added = added_defaults(CLASSES_BY_CODE[code])
    schema["fields"] = [field for field in schema["fields"] if field["name"] not in added]
    return fastavro.parse_schema(schema)


def _read_fields(code: int, cls: type, body: bytes) -> dict[str, Any]:
    """Return the fields of a body, which an earlier release may have sent without added fields."""
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
    """Return converters for the fields whose Avro values differ from their Python values.

    :param leaf: returns the converter for a type that is neither a list nor a union.
    """
    hints = typing.get_type_hints(cls)
    found = {field.name: _converter(hints[field.name], leaf) for field in dataclasses.fields(cls)}
    return {name: converter for name, converter in found.items() if converter is not None}


def _converter(hint: Any, leaf: Callable[[Any], _Converter | None]) -> _Converter | None:
    """Return the converter of a type hint; None if no conversion is needed."""
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
    """Return the converters from Avro values to the values of a class."""
    return _field_converters(cls, _from_plain)


def _from_plain(hint: Any) -> _Converter | None:
    if dataclasses.is_dataclass(hint):
        return lambda value: _build(typing.cast(type, hint), value)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return hint
    return None


@cache
def _to_plain_fields(cls: type) -> dict[str, _Converter]:
    """Return the converters from the values of a class to Avro values."""
    return _field_converters(cls, _to_plain)


def _to_plain(hint: Any) -> _Converter | None:
    return _fields_of if dataclasses.is_dataclass(hint) else None


def _build(cls: Any, fields: dict[str, Any]) -> Any:
    """Return a frozen dataclass with decoded fields, bypassing its slow constructor."""
    for name, converter in _from_plain_fields(cls).items():
        fields[name] = converter(fields[name])
    instance = cls.__new__(cls)
    instance.__dict__.update(fields)
    return instance


def _fields_of(message: Any) -> dict[str, Any]:
    """Return the Avro record of a message or of a dataclass in one."""
    converters = _to_plain_fields(typing.cast(type, type(message)))
    if not converters:
        return vars(message)
    fields = dict(vars(message))
    for name, converter in converters.items():
        fields[name] = converter(fields[name])
    return fields


def encode(message: Any) -> bytes:
    """Return the encoding of a message, including its type code.

    :raises MalformedMessageError: if a field does not match the schema.
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
    """Return a decoded message.

    :raises UnknownMessageError: if no message has the type code.
    :raises MalformedMessageError: if the body does not match the schema.
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
