"""Steps about messages that are exchanged with an earlier release."""

import dataclasses
import io
import json

import fastavro
from behave import given, then
from behave.runner import Context

from yarrowwall.messages.capacity import AskRoom
from yarrowwall.messages.codec import decode, encode, schema_path
from yarrowwall.messages.exceptions import MalformedMessageError
from yarrowwall.messages.generate import schema_text
from yarrowwall.messages.registry import CLASSES_BY_CODE, CODES_BY_CLASS

_CODE = CODES_BY_CLASS[AskRoom]
_CODE_BYTES = 2
_ASK = AskRoom("models", "alloy", 7, 2.0, 5000, 30, 0.01, 48, 490_000, 4.0, 0.8, True)


def earlier_schema() -> dict[str, object]:
    """Return the schema of the request as it was before the last field was added."""
    schema = json.loads(schema_path(_CODE).read_text())
    schema["fields"] = [field for field in schema["fields"] if field["name"] != "is_continued"]
    return schema


def earlier_fields() -> dict[str, object]:
    """Return the fields of the request that an earlier release knows."""
    fields = dataclasses.asdict(_ASK)
    del fields["is_continued"]
    return fields


def earlier_body() -> bytes:
    """Return the request as an earlier release writes it."""
    buffer = io.BytesIO()
    fastavro.schemaless_writer(buffer, earlier_schema(), earlier_fields())
    return _CODE.to_bytes(_CODE_BYTES, "big") + buffer.getvalue()


@given("an admission request as an earlier release writes it")
def earlier_request(context: Context) -> None:
    context.data = earlier_body()


@given("an admission request of a program that continues a turn")
def current_request(context: Context) -> None:
    context.data = encode(_ASK)


@then("it is read as one of a program that continues no turn")
def read_with_defaults(context: Context) -> None:
    assert decode(context.data) == dataclasses.replace(_ASK, is_continued=False)


@then("an earlier release reads all fields that it knows")
def read_by_earlier(context: Context) -> None:
    body = io.BytesIO(context.data[_CODE_BYTES:])
    assert fastavro.schemaless_reader(body, earlier_schema(), None) == earlier_fields()


@then("this release reads it whole")
def read_whole(context: Context) -> None:
    assert decode(context.data) == _ASK


@then("it is malformed if it ends earlier than an earlier release's does")
def malformed_if_cut(context: Context) -> None:
    for length in range(_CODE_BYTES, len(earlier_body())):
        try:
            read = decode(context.data[:length])
        except MalformedMessageError:
            continue
        raise AssertionError(f"{length} bytes are read as {read}")


@then("each message's schema is the committed one")
def schemas_committed(context: Context) -> None:
    for code in CLASSES_BY_CODE:
        assert schema_path(code).read_text() == schema_text(code), code
