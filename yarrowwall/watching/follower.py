"""Following all objects of one kind through lists and watches."""

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

#: Seconds before a failed read is tried again, doubled up to the most.
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0
#: The same until the first list, without which the process is of no use.
MAX_FIRST_RETRY_SECONDS = 0.3
#: Seconds that a list may take, doubled up to the most after each that was not answered. A
#: call that was lost in an outage is never answered, so the first are short; a slow store
#: (0.4 s an answer was seen) is reached by the later ones.
LIST_SECONDS = 0.3
MAX_LIST_SECONDS = 2.4
#: Seconds between the changes of a kind of which many come together and the next question
#: for more, so that they are coalesced: each question is a call that is paid for.
COALESCE_SECONDS = 0.4
#: Seconds that a watch waits for a change. A watch that was lost in an outage says nothing
#: until its wait is over, so one kind, the configuration, is asked for again often; once
#: that fails, all other watches are begun anew too, so they may wait long.
WATCH_SECONDS = 5.0
LONG_WATCH_SECONDS = 25.0
#: The same for the first watch after one that ended badly. The store may just be dropping
#: its history, and a watch that begins in that moment can miss what came before it.
CAUTIOUS_WATCH_SECONDS = 0.4


class KindFollower:
    """Keeps up with the objects of a kind; lists anew whenever the history is lost.

    :param on_list: called with all objects after each list.
    :param on_change: called with each change after that.
    :param on_read: called with the revision after each list and each answer to a watch.
    :param on_verified: called after those with the moment of the monotonic clock, if one is
        known, at which nothing newer had been acknowledged.
    :param pause_s: seconds to wait after changes before the next ones are asked for.
    :param watch_s: the longest that one watch waits.
    :param max_retry_s: the longest pause before a failed read is tried again.
    :param allow_stale: whether lists may be some seconds old.
    :ivar has_listed: whether the objects were listed once.
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
        self._on_proved = on_verified
        self._running: Any = None
        self._is_cautious = False
        self._must_list = False
        self._failures = 0
        self.has_listed = False

    def start(self) -> None:
        """Begin to follow."""
        self._running = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Follow no more."""
        if self._running is not None:
            self._running.kill()

    def shorten_next_watch(self) -> None:
        """Let the next watch wait shortly, for the store may be dropping its history."""
        self._is_cautious = True

    def relist(self) -> None:
        """Trust the watch no more: it told nothing of a change that is known to have been."""
        self._must_list = True
        self._store.interrupt_watches(kind=self._kind)

    def _run(self) -> None:
        revision: int | None = None
        while True:
            if self._must_list:
                self._must_list = False
                revision = None
            try:
                revision = self._list() if revision is None else self._watch(revision)
                self._note_up()
            except HistoryExpiredError:
                revision = None
            except WatchInterruptedError:
                # The history still has what a watch missed that was lost meanwhile.
                self._is_cautious = True
                eventlet.sleep(0)
            except ObjectStoreError as error:
                # A watch that ended badly may have missed changes that the history
                # still has; only a forgotten history needs a list.
                self._is_cautious = True
                self._note_down(error)
                self._store.wait_for_recovery(self._retry_pause_s())
            except (AttributeError, LookupError, RecursionError, TypeError, ValueError) as error:
                # An object that cannot be read must not end the following of all others.
                revision = None
                self._note_down(error)
                eventlet.sleep(self._retry_pause_s())

    def _list(self) -> int:
        timeout_s = exponential_backoff_s(LIST_SECONDS, MAX_LIST_SECONDS, self._failures)
        listing = self._store.list(self._kind, timeout_s, self._allow_stale)
        self._on_list(listing.items)
        self.has_listed = True
        self._on_read(listing.revision)
        if listing.verified_at_s is not None:
            self._on_proved(listing.verified_at_s)
        return listing.revision

    def _watch(self, revision: int) -> int:
        wait_s = min(CAUTIOUS_WATCH_SECONDS, self._watch_s) if self._is_cautious else self._watch_s
        found = self._store.watch(self._kind, revision, wait_s)
        self._is_cautious = False
        for change in found.changes:
            self._on_change(change)
        self._on_read(found.revision)
        if found.verified_at_s is not None:
            self._on_proved(found.verified_at_s)
        if found.changes:
            eventlet.sleep(self._pause_s)
        return found.revision

    def _retry_pause_s(self) -> float:
        most_s = self._max_retry_s if self.has_listed else MAX_FIRST_RETRY_SECONDS
        pause = exponential_backoff_s(RETRY_SECONDS, most_s, self._failures - 1)
        spread = 0.75 + 0.5 * fraction(self._kind, str(self._failures))
        return pause * spread

    def _note_up(self) -> None:
        if self._failures:
            self._failures = 0
            self._log.write(decisions.DependencyChanged(f"store/{self._kind}", True, ""))

    def _note_down(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.write(decisions.DependencyChanged(f"store/{self._kind}", False, repr(error)))
