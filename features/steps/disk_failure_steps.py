"""Steps about disks whose calls fail."""

import os
from pathlib import Path
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.support.disk_mutants import MUTANTS
from features.support.disk_schedules import run_disk_schedules
from yarrowwall.storage.exceptions import StorageError
from yarrowwall.storage.segments import SegmentStore


def _refuse(*args: Any, **kwargs: Any) -> None:
    raise OSError("the disk refuses the call")


REFUSED_CALLS = {"sync": (os, "fsync"), "open": (Path, "open")}


@given('the log\'s mutant "{name}"')
def use_mutant(context: Context, name: str) -> None:
    patcher = MUTANTS[name]()
    patcher.start()
    context.add_cleanup(patcher.stop)


@then("over {count:d} random schedules of a failing disk no acknowledged record is lost")
def nothing_lost(context: Context, count: int) -> None:
    totals = run_disk_schedules(count)
    assert totals.acknowledged > 10 * count, totals
    assert totals.failed_calls > count, totals


@then("some of {count:d} random schedules of a failing disk break a promise")
def some_break(context: Context, count: int) -> None:
    try:
        run_disk_schedules(count)
    except AssertionError as error:
        print(error)
        return
    raise AssertionError("no schedule broke a promise")


@when("a process that has just started cannot append for a failed {call}")
def append_refused(context: Context, call: str) -> None:
    store = SegmentStore(context.folder)
    records = list(store.read())
    with patch.object(*REFUSED_CALLS[call], _refuse):
        try:
            store.append(records[:1])
        except StorageError:
            return
    raise AssertionError("the append was acknowledged")


@when("{count:d} compactions are refused")
def compactions_refused(context: Context, count: int) -> None:
    store = SegmentStore(context.folder)
    for _ in range(count):
        with patch.object(os, "fsync", _refuse):
            try:
                store.compact(list(store.read()))
            except StorageError:
                continue
        raise AssertionError("the compaction was acknowledged")


@then("the log's folder has segments alone")
def segments_alone(context: Context) -> None:
    assert {path.suffix for path in context.folder.iterdir()} == {".segment"}
