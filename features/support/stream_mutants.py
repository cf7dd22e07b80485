"""Mutants of the records of streams, each to be detected by the schedules."""

from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from yarrowwall.budgets import stream_keys, stream_records
from yarrowwall.budgets.stream_records import StreamRecord, StreamRecords
from yarrowwall.exceptions import StoreUncertainError
from yarrowwall.messages.replicated import StoredRecord
from yarrowwall.replication.exceptions import NoQuorumError

_ensure = StreamRecord.ensure
_write = StreamRecords.write
_find = StreamRecords._find
_recorded = stream_keys.recorded_software


def _ignore_change(self: StreamRecord, software: str) -> None:
    """Record nothing."""


def _ignore_failure(self: StreamRecord, software: str) -> None:
    try:
        _ensure(self, software)
    except StoreUncertainError:
        self._possible = {software}


def _write_to_any(self: StreamRecords, groups: Iterable[int], record: StoredRecord) -> None:
    for group in groups:
        try:
            _write(self, [group], record)
        except NoQuorumError:
            continue
        return
    raise NoQuorumError("no group")


def _find_in_answers(self: StreamRecords, *asked: Any) -> tuple[str | None, list[int]]:
    return _find(self, *asked)[0], []


def _find_in_common(
    self: StreamRecords, attempt_id: str | None, owner: str, common_group: int, known: Any
) -> tuple[str | None, list[int]]:
    keys = known.get(common_group)
    keys = self._read(common_group, owner) if keys is None else keys
    if keys is None:
        return None, [common_group]
    return _recorded(keys, owner, attempt_id or ""), []


def _oldest(keys: Iterable[str], owner: str, attempt_id: str) -> str | None:
    return next(
        (found for key in keys if (found := _recorded([key], owner, attempt_id)) is not None), None
    )


def _go_on_anywhere(self: StreamRecords, *asked: Any) -> str:
    return "aaaaaaaa"


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "resumes at any software": lambda: patch.object(
        StreamRecords, "resumed_software", _go_on_anywhere
    ),
    "records no change of the software": lambda: patch.object(
        StreamRecord, "ensure", _ignore_change
    ),
    "runs software that it could not record": lambda: patch.object(
        StreamRecord, "ensure", _ignore_failure
    ),
    "records a change in any one of the groups": lambda: patch.object(
        StreamRecords, "write", _write_to_any
    ),
    "looks for records in the common group alone": lambda: patch.object(
        StreamRecords, "_find", _find_in_common
    ),
    "takes a group without an answer as one without a record": lambda: patch.object(
        StreamRecords, "_find", _find_in_answers
    ),
    "takes the oldest record": lambda: patch.object(stream_records, "recorded_software", _oldest),
}
