"""Durability of folders."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Make created, renamed and removed files durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
