"""Append-only segment files with checksums and group commit.

A record is a header (length and checksum) and the encoded message. A torn
record at the end of the last segment is what a crash during a write leaves:
it was never acknowledged and is cut. A bad checksum anywhere else stops the
replica, since acknowledged records are lost.
"""

import os
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import xxhash

from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.records import Record
from yarrowwall.storage.exceptions import CorruptSegmentError, StorageError

#: A new segment is begun past this size.
SEGMENT_BYTES = 64 * 1024 * 1024

_HEADER = struct.Struct(">IQ")
_SUFFIX = ".segment"
_TEMPORARY_SUFFIX = ".temporary"


def _frame(record: Record) -> bytes:
    body = encode(record)
    return _HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def _sync_folder(folder: Path) -> None:
    """Make created, renamed and removed files durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class SegmentStore:
    """The records of one replica, in the order they were written.

    :param folder: the data folder; made if it is missing.
    :raises StorageError: if the folder cannot be used.
    """

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise StorageError(f"cannot use the data folder: {error}") from error
        self._number = max((self._number_of(path) for path in self._paths()), default=0)
        self._file: BinaryIO | None = None

    def _paths(self) -> list[Path]:
        return sorted(self._folder.glob(f"*{_SUFFIX}"))

    @staticmethod
    def _number_of(path: Path) -> int:
        return int(path.name.removesuffix(_SUFFIX))

    def _path(self, number: int) -> Path:
        return self._folder / f"{number:012d}{_SUFFIX}"

    def read(self) -> Iterator[Record]:
        """Return all records, oldest first; cut a torn end.

        :raises CorruptSegmentError: if a record before the end is damaged.
        """
        paths = self._paths()
        for path in paths:
            yield from self._read_segment(path, is_last=path == paths[-1])

    def _read_segment(self, path: Path, is_last: bool) -> Iterator[Record]:
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            body = self._body_at(data, offset)
            if body is None:
                if not is_last or not self._is_torn(data, offset):
                    raise CorruptSegmentError(f"{path.name}: damaged record at byte {offset}")
                os.truncate(path, offset)
                return
            yield decode(body)
            offset += _HEADER.size + len(body)

    @staticmethod
    def _body_at(data: bytes, offset: int) -> bytes | None:
        """Return the record body at an offset; None if it is torn or damaged."""
        start = offset + _HEADER.size
        if start > len(data):
            return None
        length, checksum = _HEADER.unpack_from(data, offset)
        body = data[start : start + length]
        intact = len(body) == length and xxhash.xxh3_64_intdigest(body) == checksum
        return body if intact else None

    @staticmethod
    def _is_torn(data: bytes, offset: int) -> bool:
        """Return whether the damaged record reaches the end of the file."""
        start = offset + _HEADER.size
        if start > len(data):
            return True
        length, _ = _HEADER.unpack_from(data, offset)
        return start + length >= len(data)

    def append(self, records: Iterable[Record]) -> None:
        """Write records and make them durable with one fsync.

        :raises StorageError: if the disk refuses; the replica must then stop.
        """
        try:
            file = self._open_file()
            file.write(b"".join(_frame(record) for record in records))
            file.flush()
            os.fsync(file.fileno())
            if file.tell() >= self._segment_bytes:
                self._close_file()
                self._number += 1
        except OSError as error:
            raise StorageError(f"cannot write the journal: {error}") from error

    def _open_file(self) -> BinaryIO:
        if self._file is None:
            self._number = max(self._number, 1)
            self._file = self._path(self._number).open("ab")
            _sync_folder(self._folder)
        return self._file

    def _close_file(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

    def segment_count(self) -> int:
        """Return how many segment files there are."""
        return len(self._paths())

    def compact(self, records: Iterable[Record]) -> None:
        """Replace all segments by one that holds ``records``.

        The new segment is durable before the old ones go; a crash in between
        leaves both, and reading both gives the same state.
        """
        old = self._paths()
        self._close_file()
        self._number = max(self._number, 1) + 1
        target = self._path(self._number)
        temporary = target.with_suffix(_TEMPORARY_SUFFIX)
        with temporary.open("wb") as file:
            for record in records:
                file.write(_frame(record))
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(target)
        _sync_folder(self._folder)
        for path in old:
            path.unlink()
        _sync_folder(self._folder)

    def close(self) -> None:
        """Close the open segment."""
        self._close_file()
