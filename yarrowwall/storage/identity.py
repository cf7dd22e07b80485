"""The replica id, made with the data folder."""

from pathlib import Path
from uuid import uuid4

from yarrowwall.storage.exceptions import FolderNotInitialisedError, StorageError

_FILE_NAME = "replica-id"


def initialise(folder: Path, replica_id: str | None = None) -> str:
    """Give a data folder its replica id; an id it has stays.

    :param replica_id: the id for a fresh folder; a random one if None.
    :raises StorageError: if the folder cannot be written.
    """
    try:
        return read(folder)
    except FolderNotInitialisedError:
        pass
    chosen = replica_id or uuid4().hex
    try:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / _FILE_NAME).write_text(chosen + "\n")
    except OSError as error:
        raise StorageError(f"cannot initialise the data folder: {error}") from error
    return chosen


def read(folder: Path) -> str:
    """Return a data folder's replica id.

    :raises FolderNotInitialisedError: if it has none.
    """
    try:
        return (folder / _FILE_NAME).read_text().strip()
    except FileNotFoundError as error:
        raise FolderNotInitialisedError(f"{folder} holds no replica id") from error
