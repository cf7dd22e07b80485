"""The platform's store, with whether it answers: what was begun before an outage ends with it."""

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
    """Reads the store, and knows whether it answers.

    :param direct: the store itself.
    :param now: the monotonic clock.
    :param on_lost: called once a failure shows that the store does not answer.
    :param on_back: called once it answers again.
    """

    def __init__(
        self,
        direct: ReadableStore,
        now: Callable[[], float],
        on_lost: Callable[[], None] = lambda: None,
        on_back: Callable[[], None] = lambda: None,
    ) -> None:
        self._direct = direct
        self._now = now
        self._on_lost = on_lost
        self._on_back = on_back
        self._contact = StoreAvailability()
        self._back = Event()

    @property
    def is_out(self) -> bool:
        """Return whether the store has been lost for more than a moment."""
        return self._contact.is_out(self._now())

    def wait_for_recovery(self, seconds: float) -> None:
        """Pause; until the store answers again at the longest, if it is lost."""
        self._back.wait(seconds)

    @contextmanager
    def _asking(self) -> Iterator[None]:
        """Take in what becomes of the question that is asked within.

        :raises WatchInterruptedError: instead of a silence that is no news.
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
            self._note_silence(sent_at_s, error)
            raise
        except ObjectStoreError:
            self._note_failed()
            raise
        self._note_answered(sent_at_s)

    def _note_answered(self, sent_at_s: float) -> None:
        if not self._contact.note_answered(sent_at_s):
            return
        self._end_doubted(sent_at_s)
        back, self._back = self._back, Event()
        back.send()
        self._on_back()

    def _note_silence(self, sent_at_s: float, error: StoreTimeoutError) -> None:
        # Connections may fall silent for good while new ones work.
        self._end_doubted(sent_at_s)
        if self._contact.is_overtaken(sent_at_s):
            raise WatchInterruptedError(f"overtaken: {error}") from error
        self._note_failed()

    def _end_doubted(self, opened_before_s: float) -> None:
        """End watches that may be lost: they would say nothing until their waits are over."""
        self._direct.interrupt_watches(opened_before_s)

    def _note_failed(self) -> None:
        if self._contact.note_failed(self._now()):
            self._on_lost()

    # The store's own

    def list(self, kind: str, timeout_s: float, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        with self._asking():
            return self._direct.list(kind, timeout_s, allow_stale)

    def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; none if nothing happened for a while."""
        with self._asking():
            return self._direct.watch(kind, revision, wait_s)

    def interrupt_watches(
        self, opened_before_s: float = float("inf"), kind: str | None = None
    ) -> None:
        """End waiting watches."""
        self._direct.interrupt_watches(opened_before_s, kind)

    def get(self, kind: str, name: str, timeout_s: float) -> StoredObject | None:
        """Return an object as it stands now; None if there is none."""
        with self._asking():
            return self._direct.get(kind, name, timeout_s)
