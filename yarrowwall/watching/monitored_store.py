"""Tracks whether the platform store answers, and ends watches that an outage may have cut."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from eventlet.event import Event

from yarrowwall.ports.object_store import (
    Changes,
    ConflictError,
    HistoryExpiredError,
    Listing,
    ObjectStoreError,
    ReadableStore,
    StoredObject,
    StoreTimeoutError,
    WatchInterruptedError,
)
from yarrowwall.watching.availability import StoreAvailability


class MonitoredStore:
    """Reads from the store and tracks whether it answers.

    :param direct: the client of the store.
    :param now: the monotonic clock.
    :param on_lost: called at the first failure after an answer.
    :param on_recovered: called at the first answer after a failure.
    """

    def __init__(
        self,
        direct: ReadableStore,
        now: Callable[[], float],
        on_lost: Callable[[], None] = lambda: None,
        on_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        self._direct = direct
        self._now = now
        self._on_lost = on_lost
        self._on_recovered = on_recovered
        self._availability = StoreAvailability()
        self._recovered = Event()

    @property
    def is_unavailable(self) -> bool:
        """Return whether the store has been failing for longer than the grace period."""
        return self._availability.is_unavailable(self._now())

    def wait_for_recovery(self, seconds: float) -> None:
        """Pause for some seconds, or until the store answers again after a failure."""
        self._recovered.wait(seconds)

    @contextmanager
    def _tracking(self) -> Iterator[None]:
        """Record the outcome of the request that is sent within the context.

        :raises WatchInterruptedError: instead of a timeout that a later answer superseded.
        """
        sent_at_s = self._now()
        try:
            yield
        except WatchInterruptedError:
            raise
        except (HistoryExpiredError, ConflictError):
            self._note_answered(sent_at_s)
            raise
        except StoreTimeoutError as error:
            self._note_timeout(sent_at_s, error)
            raise
        except ObjectStoreError:
            self._note_failed()
            raise
        self._note_answered(sent_at_s)

    def _note_answered(self, sent_at_s: float) -> None:
        if not self._availability.note_answered(sent_at_s):
            return
        self._interrupt_older_watches(sent_at_s)
        recovered, self._recovered = self._recovered, Event()
        recovered.send()
        self._on_recovered()

    def _note_timeout(self, sent_at_s: float, error: StoreTimeoutError) -> None:
        # Established connections may be dead for good while new ones work.
        self._interrupt_older_watches(sent_at_s)
        if self._availability.is_superseded(sent_at_s):
            raise WatchInterruptedError(f"a later request was answered: {error}") from error
        self._note_failed()

    def _interrupt_older_watches(self, opened_before_s: float) -> None:
        """Interrupt watches that may be lost: they would return nothing until their waits end."""
        self._direct.interrupt_watches(opened_before_s)

    def _note_failed(self) -> None:
        if self._availability.note_failed(self._now()):
            self._on_lost()

    # Reads

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        with self._tracking():
            return self._direct.list(kind, timeout_s, allow_stale)

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; none if there was no change within the wait."""
        with self._tracking():
            return self._direct.watch(kind, revision, wait_s)

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """Interrupt watches that are waiting."""
        self._direct.interrupt_watches(opened_before_s, kind)

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return the current state of an object; None if there is none."""
        with self._tracking():
            return self._direct.get(kind, name, timeout_s)
