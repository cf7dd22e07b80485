"""Random schedules of one replica's log on a disk whose calls fail at any time."""

import os
import random
import tempfile
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, NamedTuple
from unittest.mock import patch

from yarrowwall.messages.replicated import RecordsKept, StoredRecord
from yarrowwall.storage.exceptions import StorageError
from yarrowwall.storage.segments import SegmentStore

STEPS = 40
SEGMENT_BYTES = 600
#: Share of the disk's calls that fail while it is faulty.
FAILURE_SHARE = 0.25


class Totals(NamedTuple):
    """What happened in a run of schedules."""

    acknowledged: int
    failed_calls: int


class _FaultyFile:
    """A file whose writes fail at times; what was written before stays."""

    def __init__(self, file: Any, disk: "_Disk") -> None:
        self._file = file
        self._disk = disk

    def write(self, data: bytes) -> int:
        half = len(data) // 2
        self._file.write(data[:half])
        self._disk.maybe_fail()
        written: int = self._file.write(data[half:])
        return half + written

    def close(self) -> None:
        self._file.close()
        self._disk.maybe_fail()

    def __enter__(self) -> "_FaultyFile":
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class _Disk:
    """Makes calls of the disk fail while it is faulty."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.is_faulty = False
        self.failed = 0

    def maybe_fail(self) -> None:
        """Raise at times.

        :raises OSError: as a faulty disk does.
        """
        if self.is_faulty and self._rng.random() < FAILURE_SHARE:
            self.failed += 1
            raise OSError("the disk refuses the call")

    def _checked(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def checked(*args: Any, **kwargs: Any) -> Any:
            self.maybe_fail()
            return call(*args, **kwargs)

        return checked

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Apply to all calls of the log."""
        opened = Path.open

        def open_file(path: Path, *args: Any, **kwargs: Any) -> _FaultyFile:
            self.maybe_fail()
            return _FaultyFile(opened(path, *args, **kwargs), self)

        with ExitStack() as stack:
            for name in ("truncate", "open"):
                checked = self._checked(getattr(os, name))
                stack.enter_context(patch.object(os, name, checked))
            # Processes restart here, but no power is lost.
            stack.enter_context(patch.object(os, "fsync", self._checked(lambda file: None)))
            for name in ("rename", "unlink", "mkdir"):
                checked = self._checked(getattr(Path, name))
                stack.enter_context(patch.object(Path, name, checked))
            stack.enter_context(patch.object(Path, "open", open_file))
            yield


class _Schedule:
    """One replica's log, written and compacted beside failures, and read after restarts.

    :ivar acknowledged: keys of the records that were acknowledged.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self.disk = _Disk(self._rng)
        self._folder = folder / "data" / "records"
        self._store = SegmentStore(self._folder, SEGMENT_BYTES)
        self._written: set[str] = set()
        self.acknowledged: set[str] = set()

    def run(self) -> None:
        """Run all steps; check what is read at the end.

        :raises AssertionError: if an acknowledged record is lost, or the disk fills with leftovers.
        """
        with self.disk.installed():
            for _ in range(STEPS):
                self.disk.is_faulty = self._rng.random() < 0.5
                self._step()
            self.disk.is_faulty = False
            self._restart()
            self._compact()
            self._restart()
        left = [path.name for path in self._folder.iterdir() if path.suffix != ".segment"]
        assert not left, f"{left} were left behind"

    def _step(self) -> None:
        chance = self._rng.random()
        if chance < 0.7:
            self._append()
        elif chance < 0.85:
            self._compact()
        else:
            self._restart()

    def _append(self) -> None:
        keys = [f"turn/{len(self._written) + part}" for part in range(self._rng.randint(1, 4))]
        self._written.update(keys)
        try:
            self._store.append([_record(key) for key in keys])
        except StorageError:
            return
        self.acknowledged.update(keys)

    def _compact(self) -> None:
        try:
            self._store.compact([_record(key) for key in sorted(self.acknowledged)])
        except StorageError:
            # The owner goes on with the old log.
            return

    def _restart(self) -> None:
        """Open the log again, as a process that starts again does until its disk lets it."""
        self.disk.is_faulty = False
        self._store = SegmentStore(self._folder, SEGMENT_BYTES)
        found = {kept.key for log in self._store.read() for kept in log.records}
        assert self.acknowledged <= found, f"{self.acknowledged - found} are lost"
        assert found <= self._written


def _record(key: str) -> RecordsKept:
    return RecordsKept([StoredRecord(key, 1, "", "", 60.0, 0, b"x" * 20)])


def run_disk_schedules(count: int) -> Totals:
    """Run schedules with the seeds from 1 on.

    :raises AssertionError: with the seed of the first schedule that broke a promise.
    """
    acknowledged = failed = 0
    for seed in range(1, count + 1):
        with tempfile.TemporaryDirectory() as folder:
            try:
                schedule = _Schedule(seed, Path(folder))
                schedule.run()
            except Exception as error:
                raise AssertionError(f"seed {seed}: {error!r}") from error
        acknowledged += len(schedule.acknowledged)
        failed += schedule.disk.failed
    return Totals(acknowledged, failed)
