"""The objects of one kind as a reader knows them, and how they came about. No I/O."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from yarrowwall.ports.object_store import Change, Changes, Listing, StoredObject

#: Batches of changes that are remembered. The kinds that change often do so about twice a
#: second (the pause between two questions is 0.4 s), so this is some twenty seconds.
MAX_BATCHES = 64


class Batch(NamedTuple):
    """Changes that came together.

    :param revision: the store's revision that they lead to.
    """

    changes: Sequence[Change]
    revision: int


class ObjectCache:
    """All objects of a kind, and the latest changes of them.

    :ivar oldest_revision: the revision since which every change is remembered.
    :ivar revision: the newest revision that is known; 0 before the first list.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredObject] = {}
        self._batches: deque[Batch] = deque()
        self.oldest_revision = 0
        self.revision = 0

    def replace_all(self, items: Sequence[StoredObject], revision: int) -> None:
        """Take in a list; what changed before it is forgotten."""
        self._items = {item.name: item for item in items}
        self._batches.clear()
        self.oldest_revision = self.revision = revision

    def take(self, changes: Sequence[Change], revision: int) -> None:
        """Take in the changes that lead from the newest known revision to another one."""
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
        """Return the revision of an object's last change; 0 if there is no such object."""
        item = self._items.get(name)
        return item.revision if item is not None else 0

    def listing(self) -> Listing:
        """Return all objects."""
        return Listing(list(self._items.values()), self.revision)

    def changes_since(self, revision: int) -> Changes | None:
        """Return what changed after a revision; None if that is forgotten.

        The first changes may be some that the asker knows already, for a batch is given whole.
        Taken in their order they lead to the same state all the same.
        """
        if revision < self.oldest_revision:
            return None
        found = [
            change
            for batch in self._batches
            if batch.revision > revision
            for change in batch.changes
        ]
        # An asker may have come further elsewhere, in a kind that has not changed since.
        return Changes(found, max(self.revision, revision))
