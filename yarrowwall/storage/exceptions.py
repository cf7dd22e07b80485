"""Errors of the storage layer."""

from yarrowwall.exceptions import YarrowwallError


class StorageError(YarrowwallError):
    """Base of the errors of this layer."""


class CorruptSegmentError(StorageError):
    """A record inside a segment fails its checksum; the replica must not start."""


class FolderNotInitialisedError(StorageError):
    """The data folder holds no replica id."""
