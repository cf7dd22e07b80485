"""Reads one object periodically to verify that its known state is the newest."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.ports.object_store import (
    ObjectName,
    ObjectStoreError,
    ReadableStore,
    WatchInterruptedError,
)
from yarrowwall.watching.verified_state import VerifiedState

#: Seconds between two reads. Each answer is passed on at once to all clients that wait for a change
#: (for up to 1 s), so in normal operation their state was verified at most about 0.9 s ago. Shorter
#: intervals cost more calls and do not reduce the number of callers refused for age.
VERIFY_SECONDS = 0.9
#: Timeout of a read in seconds: several times what a slow store takes.
ANSWER_SECONDS = 1.0
#: Seconds without an answer after which another read is sent concurrently. The first answer ends an
#: outage for a whole zone, so reads don't wait for timeouts. It is half of the time within which
#: callers' retries should find a verified configuration again.
RESEND_SECONDS = 0.15
#: Seconds within which a watch must return a change that a read has shown. Watches return changes
#: immediately, so a watch that is later than this is lost. Waiting for its end would take 3.5 s,
#: but a configuration must take effect everywhere within 2 s.
WATCH_LAG_SECONDS = 0.1
#: Consecutive failed reads after which the failure is logged.
FAILURES_LOGGED = 2


class ObjectVerifier:
    """Verifies the known state of one object by reading it periodically.

    :param now: the monotonic clock.
    :param on_verified: called after each answer that verifies the known state.
    :param on_stale: called if the watches don't return a state soon after it was read.
    :ivar state: the known state; the owner reports the revisions that its watches return.
    """

    def __init__(
        self,
        store: ReadableStore,
        target: ObjectName,
        log: DecisionLog,
        now: Callable[[], float],
        on_verified: Callable[[], None],
        on_stale: Callable[[], None],
    ) -> None:
        self._store = store
        self.target = target
        self._log = log
        self._now = now
        self._on_verified = on_verified
        self._on_stale = on_stale
        self._failures = 0
        self._running: Any = None
        self._read_now = Event()
        self.state = VerifiedState()

    def start(self) -> None:
        """Start reading periodically."""
        self._running = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop reading."""
        if self._running is not None:
            self._running.kill()

    def read_now(self) -> None:
        """Read at once, because another request got no answer."""
        if not self._read_now.ready():
            self._read_now.send()

    def _run(self) -> None:
        while True:
            next_s = self._now() + VERIFY_SECONDS
            answered = Event()
            eventlet.spawn_n(self._run_read, answered)
            answered.wait(RESEND_SECONDS)
            if answered.ready() and not self._failures:
                self._read_now.wait(max(next_s - self._now(), 0.0))
            elif answered.ready():
                eventlet.sleep(RESEND_SECONDS)
            self._read_now = Event()

    def _run_read(self, answered: Event) -> None:
        sent_at_s = self._now()
        try:
            self._read_and_compare(sent_at_s)
        finally:
            answered.send()

    def _read_and_compare(self, sent_at_s: float) -> None:
        try:
            item = self._store.get(*self.target, ANSWER_SECONDS)
        except WatchInterruptedError:
            return
        except ObjectStoreError as error:
            self._note_failed(error)
            return
        self._note_answered()
        self.state.note_answer(item.revision if item is not None else 0, sent_at_s)
        if self.state.is_stale:
            self._expect_change()
        else:
            self._on_verified()

    def _expect_change(self) -> None:
        """Report the watches as stale unless they return the state that was read soon."""
        eventlet.sleep(WATCH_LAG_SECONDS)
        if self.state.is_stale:
            self._on_stale()

    def _note_answered(self) -> None:
        if self._failures >= FAILURES_LOGGED:
            self._log.write(decisions.DependencyChanged(self._dependency, True, ""))
        self._failures = 0

    def _note_failed(self, error: ObjectStoreError) -> None:
        self._failures += 1
        if self._failures == FAILURES_LOGGED:
            self._log.write(decisions.DependencyChanged(self._dependency, False, str(error)))

    @property
    def _dependency(self) -> str:
        return f"store/{self.target.kind}/{self.target.name}"
