"""Mutants of the log's storage, each of which removes one protection against failing disks."""

import contextlib
import os
from collections.abc import Callable, Iterable
from typing import Any
from unittest.mock import patch

from yarrowwall.storage.segments import SegmentStore

_open_file = SegmentStore._open_file
_compact = SegmentStore.compact


def _truncate_if_not_opened(self: SegmentStore) -> Any:
    try:
        return _open_file(self)
    except OSError:
        with contextlib.suppress(FileNotFoundError):
            os.truncate(self._path(self._number), 0)
        raise


def _delete_first(self: SegmentStore, records: Iterable[Any]) -> None:
    for path in self._paths():
        with contextlib.suppress(OSError):
            path.unlink()
    _compact(self, records)


MUTANTS: dict[str, Callable[[], Any]] = {
    "truncates after a failed open": lambda: patch.object(
        SegmentStore, "_open_file", _truncate_if_not_opened
    ),
    "keeps the rest of a failed write": lambda: patch.object(
        SegmentStore, "_discard_failed_write", lambda self, durable_bytes: None
    ),
    "deletes segments before the new one": lambda: patch.object(
        SegmentStore, "compact", _delete_first
    ),
    "leaves temporary files": lambda: patch.object(
        SegmentStore, "_remove_temporary", lambda self, path: None
    ),
}
