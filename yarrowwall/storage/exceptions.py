"""Errors of the storage layer."""

from yarrowwall.exceptions import YarrowwallError


class StorageError(YarrowwallError):
    """Base of the errors of this layer."""


class CorruptSegmentError(StorageError):
    """A segment is damaged before its end, or holds an unexpected record."""


class FolderNotInitialisedError(StorageError):
    """The data folder holds no replica id."""
