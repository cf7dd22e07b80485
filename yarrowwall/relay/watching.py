"""Following all objects of one kind through lists and watches."""

from collections.abc import Callable

import eventlet

from yarrowwall.core.hashing import fraction
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.object_store import (
    Change,
    HistoryForgottenError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
)

#: Seconds before a failed read is tried again, doubled up to the most.
RETRY_SECONDS = 0.15
MOST_RETRY_SECONDS = 1.0


class KindFollower:
    """Keeps up with the objects of a kind; lists anew whenever the history is lost.

    :param on_list: called with all objects after each list.
    :param on_change: called with each change after that.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        on_list: Callable[[list[StoredObject]], None],
        on_change: Callable[[Change], None],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._log = log
        self._failures = 0
        self.has_listed = False

    def start(self) -> None:
        """Begin to follow."""
        eventlet.spawn(self._run)

    def _run(self) -> None:
        revision: int | None = None
        while True:
            try:
                revision = self._list() if revision is None else self._watch(revision)
                self._note_up()
            except HistoryForgottenError:
                revision = None
            except ObjectStoreError as error:
                # A watch that ended badly may have missed changes that the history
                # still has; only a forgotten history needs a list.
                self._note_down(error)
                self._pause()
            except (KeyError, TypeError, ValueError) as error:
                # An object that cannot be read must not end the following of all others.
                revision = None
                self._note_down(error)
                self._pause()

    def _list(self) -> int:
        listing = self._store.list(self._kind)
        self._on_list(listing.items)
        self.has_listed = True
        return listing.revision

    def _watch(self, revision: int) -> int:
        found = self._store.watch(self._kind, revision)
        for change in found.changes:
            self._on_change(change)
        return found.revision

    def _pause(self) -> None:
        pause = min(RETRY_SECONDS * 2 ** (self._failures - 1), MOST_RETRY_SECONDS)
        eventlet.sleep(pause * (0.75 + 0.5 * fraction(self._kind, str(self._failures))))

    def _note_up(self) -> None:
        if self._failures:
            self._failures = 0
            self._log.write(decisions.DependencyChanged(f"store/{self._kind}", True, ""))

    def _note_down(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.write(decisions.DependencyChanged(f"store/{self._kind}", False, repr(error)))
