"""Asks the store for one object again and again, to know until when its state was the newest."""

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

#: Seconds from one question to the next. Each answer is passed on at once to all who wait for
#: a change (a question of theirs waits 1 s), so what they know is proved about 0.9 s ago at most
#: while all is well. Asking more often costs calls and refuses no fewer callers for age.
VERIFY_SECONDS = 0.9
#: Seconds that an answer may take: several times what a slow store takes.
ANSWER_SECONDS = 1.0
#: Seconds without an answer after which the next question is sent beside those that wait. The
#: first one that comes back ends an outage for a whole zone, so no time-out is waited for; it is
#: half of the time in which callers' tries are to find a proof again.
RESEND_SECONDS = 0.15
#: Seconds within which a watch has to tell of a change that an answer has shown. It is told at
#: the moment of the change, so a watch that says nothing by then is lost: waiting for its end
#: would take 3.5 s, and a configuration has 2 s to be in force everywhere.
WATCH_LAG_SECONDS = 0.1
#: Questions without an answer, one after the other, after which the log says so.
LOST_ANSWERS = 2


class ObjectVerifier:
    """Keeps the proof of one object's state.

    :param now: the monotonic clock.
    :param on_verified: called once a newer moment is proved.
    :param on_stale: called if the watches do not tell soon of what was just read.
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
        self._on_proved = on_verified
        self._on_stale = on_stale
        self._failures = 0
        self._running: Any = None
        self._next = Event()
        self.state = VerifiedState()

    def start(self) -> None:
        """Begin to ask."""
        self._running = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ask no more."""
        if self._running is not None:
            self._running.kill()

    def ask_soon(self) -> None:
        """Ask at once: something else was not answered."""
        if not self._next.ready():
            self._next.send()

    def _run(self) -> None:
        while True:
            next_s = self._now() + VERIFY_SECONDS
            answered = Event()
            eventlet.spawn_n(self._ask, answered)
            answered.wait(RESEND_SECONDS)
            if answered.ready() and not self._failures:
                self._next.wait(max(next_s - self._now(), 0.0))
            elif answered.ready():
                eventlet.sleep(RESEND_SECONDS)
            self._next = Event()

    def _ask(self, answered: Event) -> None:
        sent_at_s = self._now()
        try:
            self._take_answer(sent_at_s)
        finally:
            answered.send()

    def _take_answer(self, sent_at_s: float) -> None:
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
            self._on_proved()

    def _expect_change(self) -> None:
        """Let the watches be given up unless they tell soon of what was just read."""
        eventlet.sleep(WATCH_LAG_SECONDS)
        if self.state.is_stale:
            self._on_stale()

    def _note_answered(self) -> None:
        if self._failures >= LOST_ANSWERS:
            self._log.write(decisions.DependencyChanged(self._dependency, True, ""))
        self._failures = 0

    def _note_failed(self, error: ObjectStoreError) -> None:
        self._failures += 1
        if self._failures == LOST_ANSWERS:
            self._log.write(decisions.DependencyChanged(self._dependency, False, str(error)))

    @property
    def _dependency(self) -> str:
        return f"store/{self.target.kind}/{self.target.name}"
