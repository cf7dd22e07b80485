"""The replica id, which is stored in the data folder."""

import os
from pathlib import Path
from uuid import uuid4

from yarrowwall.storage.exceptions import FolderNotInitialisedError, StorageError
from yarrowwall.storage.folders import make_folder, sync_folder

_FILE_NAME = "replica-id"


def initialise(folder: Path, replica_id: str | None = None) -> str:
    """Return a data folder's replica id; create the folder and the id if they are missing.

    :param replica_id: the id for a new folder; a random one if None.
    :raises StorageError: if the folder cannot be written.
    """
    try:
        return read(folder)
    except FolderNotInitialisedError:
        pass
    chosen = replica_id or uuid4().hex
    try:
        make_folder(folder)
        _write_durably(folder, chosen + "\n")
    except OSError as error:
        raise StorageError(f"cannot initialise the data folder: {error}") from error
    return chosen


def _write_durably(folder: Path, text: str) -> None:
    """Write the id atomically, so that a power failure leaves all of it or nothing."""
    temporary = folder / (_FILE_NAME + ".temporary")
    with temporary.open("w") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(folder / _FILE_NAME)
    sync_folder(folder)


def read(folder: Path) -> str:
    """Return a data folder's replica id.

    :raises FolderNotInitialisedError: if the folder has none.
    """
    try:
        return (folder / _FILE_NAME).read_text().strip()
    except FileNotFoundError as error:
        raise FolderNotInitialisedError(f"{folder} holds no replica id") from error


def discard(folder: Path) -> None:
    """Remove a data folder's replica id, so that it gets a new one."""
    (folder / _FILE_NAME).unlink(missing_ok=True)
    sync_folder(folder)
