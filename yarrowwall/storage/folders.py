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
