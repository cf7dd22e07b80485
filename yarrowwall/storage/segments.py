"""Append-only segment files with checksums and group commit.

One commit is one frame: a header (length and checksum) and the encoded messages, each with its
length. A power failure may leave the last frame torn in any way; it was never acknowledged and is
truncated. A damaged frame followed by an intact one means that acknowledged records are lost,
which is an error.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

import xxhash

from yarrowwall.messages.codec import decode, encode
from yarrowwall.storage.exceptions import CorruptSegmentError, StorageError
from yarrowwall.storage.folders import make_folder, sync_folder

if TYPE_CHECKING:
    # The record types of both kinds of replicas; a process imports only those that it stores.
    from yarrowwall.messages.records import Record

#: Size above which a new segment is begun.
SEGMENT_BYTES = 64 * 1024 * 1024

_HEADER = struct.Struct(">IQ")
_RECORD_LENGTH = struct.Struct(">I")
_SUFFIX = ".segment"
_TEMPORARY_SUFFIX = ".temporary"


def _encode_frame(records: Iterable[Record]) -> bytes:
    """Return the frame of one commit."""
    encoded = [encode(record) for record in records]
    body = b"".join(_RECORD_LENGTH.pack(len(record)) + record for record in encoded)
    return _HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def _decode_frame(body: bytes) -> Iterator[Record]:
    """Return the records of a frame's body."""
    offset = 0
    while offset < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, offset)
        offset += _RECORD_LENGTH.size
        yield decode(body[offset : offset + length])
        offset += length


class SegmentStore:
    """The records of one replica, in the order in which they were written.

    :param folder: the folder of the segments; created if it is missing.
    :param segment_bytes: size above which a new segment is begun.
    :raises StorageError: if the folder cannot be created.
    """

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        try:
            make_folder(folder)
        except OSError as error:
            raise StorageError(f"cannot use the data folder: {error}") from error
        for path in folder.glob(f"*{_TEMPORARY_SUFFIX}"):
            self._remove_temporary(path)
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
        """Yield all records, oldest first, and truncate a torn frame at the end of a segment.

        :raises CorruptSegmentError: if a frame before an intact one is damaged.
        """
        for path in self._paths():
            yield from self._read_segment(path)

    def _read_segment(self, path: Path) -> Iterator[Record]:
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            body = self._body_at(data, offset)
            if body is None:
                if not self._is_torn(data, offset):
                    raise CorruptSegmentError(f"{path.name}: damaged record at byte {offset}")
                os.truncate(path, offset)
                return
            yield from _decode_frame(body)
            offset += _HEADER.size + len(body)

    @staticmethod
    def _body_at(data: bytes, offset: int) -> bytes | None:
        """Return the body of the frame at an offset; None if it is torn or damaged."""
        start = offset + _HEADER.size
        if start > len(data):
            return None
        length, checksum = _HEADER.unpack_from(data, offset)
        body = data[start : start + length]
        intact = len(body) == length and xxhash.xxh3_64_intdigest(body) == checksum
        return body if intact else None

    @classmethod
    def _is_torn(cls, data: bytes, offset: int) -> bool:
        """Return whether no intact frame follows the damaged one."""
        if offset + _HEADER.size > len(data):
            return True
        length, _ = _HEADER.unpack_from(data, offset)
        following = offset + _HEADER.size + length
        return length == 0 or following >= len(data) or not cls._body_at(data, following)

    def append(self, records: Iterable[Record]) -> None:
        """Write records as one frame and make them durable with one fsync.

        :raises StorageError: if the write fails; none of the records count then.
        """
        try:
            file = self._open_file()
        except OSError as error:
            raise StorageError(f"cannot open the journal: {error}") from error
        durable_bytes = file.tell()
        try:
            file.write(_encode_frame(records))
            file.flush()
            os.fsync(file.fileno())
            if file.tell() >= self._segment_bytes:
                self._close_file()
                self._number += 1
        except OSError as error:
            self._discard_failed_write(durable_bytes)
            raise StorageError(f"cannot write the journal: {error}") from error

    def _discard_failed_write(self, durable_bytes: int) -> None:
        """Truncate the rest of a failed write, so that later frames follow an intact one.

        If that fails too, a new segment is begun. Reading treats the damaged end of the earlier
        segment as a torn frame, since no frame follows it there.

        :param durable_bytes: length of the open segment before the write.
        """
        path = self._path(self._number)
        # An error of the same write is already reported.
        with contextlib.suppress(OSError):
            self._close_file()
        try:
            os.truncate(path, durable_bytes)
        except OSError:
            self._number += 1

    def _open_file(self) -> BinaryIO:
        if self._file is None:
            self._number = max(self._number, 1)
            file = self._path(self._number).open("ab")
            try:
                sync_folder(self._folder)
            except OSError:
                file.close()
                raise
            self._file = file
        return self._file

    def _close_file(self) -> None:
        file, self._file = self._file, None
        if file is not None:
            file.close()

    def segment_count(self) -> int:
        """Return the number of segment files."""
        return len(self._paths())

    def compact(self, records: Iterable[Record]) -> None:
        """Replace all segments by one that holds ``records``.

        The new segment is durable before the old ones are deleted. A crash in between leaves
        both, and reading both gives the same state.

        :raises StorageError: if the disk fails; the old segments stay then.
        """
        old = self._paths()
        self._number = max(self._number, 1) + 1
        target = self._path(self._number)
        temporary = target.with_suffix(_TEMPORARY_SUFFIX)
        try:
            self._close_file()
            with temporary.open("wb") as file:
                for record in records:
                    file.write(_encode_frame([record]))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(target)
            sync_folder(self._folder)
            for path in old:
                path.unlink()
            sync_folder(self._folder)
        except OSError as error:
            self._remove_temporary(temporary)
            raise StorageError(f"cannot rewrite the journal: {error}") from error

    def _remove_temporary(self, path: Path) -> None:
        """Remove the file of a compaction that was not completed, if there is one."""
        # What a faulty disk keeps of it is removed at the next start; it is never read.
        with contextlib.suppress(OSError):
            path.unlink(missing_ok=True)

    def close(self) -> None:
        """Close the open segment."""
        self._close_file()
