"""Follows all objects of one kind through lists and watches."""

from collections.abc import Callable
from typing import Any

import eventlet

from yarrowwall import decisions
from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.decisions import DecisionLog
from yarrowwall.hashing import fraction
from yarrowwall.ports.object_store import (
    Change,
    HistoryExpiredError,
    ObjectStoreError,
    ReadableStore,
    StoredObject,
    WatchInterruptedError,
)
from yarrowwall.watching.object_refusals import ObjectRefusals

#: Seconds before a failed read is retried, doubled up to the maximum.
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0
#: The maximum before the first list, without which the process cannot work.
MAX_FIRST_RETRY_SECONDS = 0.3
#: Timeout of a list in seconds, doubled up to the maximum after each failure. A call that was lost
#: in an outage is never answered, so the first timeouts are short. The later ones are long enough
#: for a slow store (answers that took 0.4 s have been seen).
LIST_SECONDS = 0.3
MAX_LIST_SECONDS = 2.4
#: Seconds between the changes of a kind that changes in bursts and the next watch, so that changes
#: are coalesced: each watch is a billed call.
COALESCE_SECONDS = 0.4
#: Seconds that a watch waits for a change. A watch that was lost in an outage returns nothing until
#: its wait is over. Watches of the configuration are therefore short; once one of them fails, all
#: other watches are restarted too, so those may wait long.
WATCH_SECONDS = 5.0
LONG_WATCH_SECONDS = 25.0
#: The same for the first watch after one that failed. The store may be dropping its history, and a
#: watch that starts while it does can miss earlier changes.
CAUTIOUS_WATCH_SECONDS = 0.4


class KindFollower:
    """Lists and watches the objects of a kind; lists them again if the history has expired.

    :param on_list: called with all objects after each list.
    :param on_change: called with each change after that.
    :param on_read: called with the revision after each list and each answer to a watch.
    :param on_verified: called after those with the time by the monotonic clock, if known, at which
        nothing newer had been acknowledged.
    :param pause_s: seconds between received changes and the next watch.
    :param watch_s: the longest wait of a watch in seconds.
    :param max_retry_s: the longest pause before a failed read is retried.
    :param allow_stale: whether lists may be some seconds old.
    :ivar has_listed: whether the objects have been listed at least once.
    """

    def __init__(
        self,
        store: ReadableStore,
        kind: str,
        on_list: Callable[[list[StoredObject]], None],
        on_change: Callable[[Change], None],
        log: DecisionLog,
        on_read: Callable[[int], None] = lambda revision: None,
        pause_s: float = 0.0,
        watch_s: float = WATCH_SECONDS,
        max_retry_s: float = MAX_RETRY_SECONDS,
        allow_stale: bool = False,
        on_verified: Callable[[float], None] = lambda verified_at_s: None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._log = log
        self._on_read = on_read
        self._pause_s = pause_s
        self._watch_s = watch_s
        self._max_retry_s = max_retry_s
        self._allow_stale = allow_stale
        self._on_verified = on_verified
        self._refusals = ObjectRefusals(kind, log)
        self._running: Any = None
        self._is_next_watch_short = False
        self._must_relist = False
        self._failures = 0
        self.has_listed = False

    def start(self) -> None:
        """Start following."""
        self._running = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop following."""
        if self._running is not None:
            self._running.kill()

    def shorten_next_watch(self) -> None:
        """Give the next watch a short wait, since the store may be dropping its history."""
        self._is_next_watch_short = True

    def relist(self) -> None:
        """Interrupt the watch, which missed a known change, and list the objects again."""
        self._must_relist = True
        self._store.interrupt_watches(kind=self._kind)

    def _run(self) -> None:
        revision: int | None = None
        while True:
            if self._must_relist:
                self._must_relist = False
                revision = None
            try:
                revision = self._list() if revision is None else self._watch(revision)
                self._note_up()
            except HistoryExpiredError:
                revision = None
            except WatchInterruptedError:
                # The history still holds the changes that the interrupted watch missed.
                self._is_next_watch_short = True
                eventlet.sleep(0)
            except ObjectStoreError as error:
                # The history still holds the changes that the failed watch missed; only an expired
                # history needs a list.
                self._is_next_watch_short = True
                self._note_down(error)
                self._store.wait_for_recovery(self._retry_pause_s())
            except Exception as error:
                # Whatever an answer holds, it must not end the following of all later ones.
                revision = None
                self._note_down(error)
                eventlet.sleep(self._retry_pause_s())

    def _list(self) -> int:
        timeout_s = exponential_backoff_s(LIST_SECONDS, MAX_LIST_SECONDS, self._failures)
        listing = self._store.list(self._kind, timeout_s, self._allow_stale)
        for item in listing.items:
            self._note_readable(item)
        self._on_list(listing.items)
        self.has_listed = True
        self._on_read(listing.revision)
        if listing.verified_at_s is not None:
            self._on_verified(listing.verified_at_s)
        return listing.revision

    def _watch(self, revision: int) -> int:
        wait_s = (
            min(CAUTIOUS_WATCH_SECONDS, self._watch_s)
            if self._is_next_watch_short
            else self._watch_s
        )
        found = self._store.watch(self._kind, revision, wait_s)
        self._is_next_watch_short = False
        for change in found.changes:
            self._apply(change)
        self._on_read(found.revision)
        if found.verified_at_s is not None:
            self._on_verified(found.verified_at_s)
        if found.changes:
            eventlet.sleep(self._pause_s)
        return found.revision

    def _apply(self, change: Change) -> None:
        """Pass a change on; one that cannot be applied costs no other."""
        if not change.is_gone:
            self._note_readable(change.item)
        try:
            self._on_change(change)
        except Exception as error:
            self._refusals.note(change.item.name, repr(error))

    def _note_readable(self, item: StoredObject) -> None:
        """Log an object whose content cannot be read."""
        if item.is_readable:
            self._refusals.clear(item.name)
        else:
            self._refusals.note(item.name, "its content cannot be read")

    def _retry_pause_s(self) -> float:
        max_s = self._max_retry_s if self.has_listed else MAX_FIRST_RETRY_SECONDS
        pause = exponential_backoff_s(RETRY_SECONDS, max_s, self._failures - 1)
        jitter = 0.75 + 0.5 * fraction(self._kind, str(self._failures))
        return pause * jitter

    def _note_up(self) -> None:
        if self._failures:
            self._failures = 0
            self._log.write(decisions.DependencyChanged(f"store/{self._kind}", True, ""))

    def _note_down(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.write(decisions.DependencyChanged(f"store/{self._kind}", False, repr(error)))
