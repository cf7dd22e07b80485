"""Cache of the objects of one kind and of their latest changes. No I/O."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from yarrowwall.ports.object_store import Change, Changes, Listing, StoredObject

#: Number of batches of changes that are kept. Kinds that change often yield about two batches a
#: second, since there are 0.4 s between two watches, so this covers some twenty seconds.
MAX_BATCHES = 64


class Batch(NamedTuple):
    """Changes that one answer of the store contained.

    :param revision: the store's revision after them.
    """

    changes: Sequence[Change]
    revision: int


class ObjectCache:
    """The objects of one kind, and their latest changes.

    :ivar oldest_revision: the revision after which all changes are kept.
    :ivar revision: the newest cached revision; 0 before the first list.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredObject] = {}
        self._batches: deque[Batch] = deque()
        self.oldest_revision = 0
        self.revision = 0

    def replace_all(self, items: Sequence[StoredObject], revision: int) -> None:
        """Replace all objects and drop the changes before them."""
        self._items = {item.name: item for item in items}
        self._batches.clear()
        self.oldest_revision = self.revision = revision

    def apply(self, changes: Sequence[Change], revision: int) -> None:
        """Apply the changes from the newest cached revision to another one."""
        for change in changes:
            if change.is_gone:
                self._items.pop(change.item.name, None)
            else:
                self._items[change.item.name] = change.item
        if changes:
            self._batches.append(Batch(changes, revision))
        if len(self._batches) > MAX_BATCHES:
            self.oldest_revision = self._batches.popleft().revision
        self.revision = max(self.revision, revision)

    def revision_of(self, name: str) -> int:
        """Return the revision of an object's last change; 0 if it does not exist."""
        item = self._items.get(name)
        return item.revision if item is not None else 0

    def listing(self) -> Listing:
        """Return all objects."""
        return Listing(list(self._items.values()), self.revision)

    def changes_since(self, revision: int) -> Changes | None:
        """Return the changes after a revision; None if they are no longer kept.

        Batches are returned whole, so the first changes may be known to the client already.
        Applied in order they lead to the same state.
        """
        if revision < self.oldest_revision:
            return None
        found = [
            change
            for batch in self._batches
            if batch.revision > revision
            for change in batch.changes
        ]
        # The client may have read a later revision elsewhere, if the kind has not changed since.
        return Changes(found, max(self.revision, revision))
