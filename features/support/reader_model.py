"""Random histories of the objects of one kind, followed through two readers without any I/O."""

import random
from dataclasses import dataclass, field

from yarrowwall.ports.object_store import Change, Changes, StoredObject
from yarrowwall.watching.object_cache import ObjectCache

NAMES = ("a", "b", "c", "d")
STEPS = 60


@dataclass
class StoreModel:
    """The store: its objects and every change of them."""

    revision: int = 1
    items: dict[str, StoredObject] = field(default_factory=dict)
    history: list[tuple[int, Change]] = field(default_factory=list)

    def change(self, rng: random.Random) -> None:
        """Write or delete one object."""
        name = rng.choice(NAMES)
        self.revision += 1
        if name in self.items and rng.random() < 0.4:
            item = self.items.pop(name)
            self.history.append((self.revision, Change(item, True)))
            return
        item = StoredObject(name, self.revision, {"value": self.revision}, {})
        self.items[name] = item
        self.history.append((self.revision, Change(item, False)))

    def since(self, revision: int) -> list[Change]:
        """Return the changes after a revision."""
        return [change for at, change in self.history if at > revision]


class Receiver:
    """A machine that follows the kind through the reader that a step names."""

    def __init__(self) -> None:
        self.items: dict[str, StoredObject] = {}
        self.revision = 0

    def ask(self, cache: ObjectCache) -> None:
        """Apply the changes or the list of a reader, as a follower does."""
        found: Changes | None = None
        if self.revision:
            found = cache.changes_since(self.revision)
        if found is None:
            listing = cache.listing()
            if listing.revision < self.revision:
                return
            self.items = {item.name: item for item in listing.items}
            self.revision = listing.revision
            return
        for change in found.changes:
            if change.is_gone:
                self.items.pop(change.item.name, None)
            else:
                self.items[change.item.name] = change.item
        self.revision = found.revision


def ends_in_state(seed: int) -> bool:
    """Play a random history; return whether the receiver ends in the store's state.

    Readers sometimes list all objects again, as they do after the store has dropped its history.
    """
    rng = random.Random(seed)
    store = StoreModel()
    caches = [ObjectCache(), ObjectCache()]
    for cache in caches:
        cache.replace_all([], store.revision)
    receiver = Receiver()
    for _ in range(STEPS):
        action = rng.random()
        cache = rng.choice(caches)
        if action < 0.45:
            store.change(rng)
        elif action < 0.7:
            cache.apply(store.since(cache.revision), store.revision)
        elif action < 0.76:
            cache.replace_all(list(store.items.values()), store.revision)
        else:
            receiver.ask(cache)
    for cache in caches:
        cache.apply(store.since(cache.revision), store.revision)
    receiver.ask(rng.choice(caches))
    return receiver.items == store.items and receiver.revision == store.revision
