"""Makes changes of folders durable."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Make the creation, renaming and removal of files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder and its missing parents durably, unless it exists.

    :raises OSError: if the disk fails.
    """
    missing = [one for one in (folder, *folder.parents) if not one.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for one in missing:
        sync_folder(one.parent)
