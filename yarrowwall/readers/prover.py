"""Asks the store for one object again and again, to know until when its state was the newest."""

from collections.abc import Callable
from typing import Any

import eventlet

from yarrowwall.readers.proof import StateProof
from yarrowwall.relay import decisions
from yarrowwall.relay.decisions import DecisionLog
from yarrowwall.relay.object_store import ObjectName, ObjectStore, ObjectStoreError

#: Seconds between two questions. A machine asks its reader about once a second, so what it
#: knows is proved 2 s ago at most while all is well: less than half of the 5 s in which a key
#: that was taken away may still be served. Every 0.5 s costs 117 calls to the store more in
#: 30 s (57 gateways, three readers) and refuses no fewer callers for age.
PROOF_SECONDS = 1.0
#: Seconds that an answer may take. A slow store (0.24 s an answer was seen) still proves.
ANSWER_SECONDS = 1.0
#: Seconds within which a watch has to tell of a change that an answer has shown. It is told at
#: the moment of the change, so a watch that says nothing by then is lost: waiting for its end
#: would take 3.5 s, and a configuration has 3 s to be in force everywhere.
BEHIND_SECONDS = 0.1
#: Questions without an answer, one after the other, that show that the store is out of reach.
LOST_ANSWERS = 2


class ObjectProver:
    """Keeps the proof of one object's state.

    :param now: the monotonic clock.
    :param on_lost: called once the store no longer answers.
    """

    def __init__(
        self,
        store: ObjectStore,
        target: ObjectName,
        log: DecisionLog,
        now: Callable[[], float],
        on_lost: Callable[[], None],
    ) -> None:
        self._store = store
        self.target = target
        self._log = log
        self._now = now
        self._on_lost = on_lost
        self._failures = 0
        self._running: Any = None
        self.proof = StateProof()

    def start(self) -> None:
        """Begin to ask."""
        self._running = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ask no more."""
        if self._running is not None:
            self._running.kill()

    def _run(self) -> None:
        while True:
            self._ask()
            eventlet.sleep(PROOF_SECONDS)

    def _ask(self) -> None:
        sent_at_s = self._now()
        try:
            item = self._store.get(*self.target, ANSWER_SECONDS)
        except ObjectStoreError as error:
            self._note_failed(error)
            return
        self._note_answered()
        self.proof.note_answer(item.revision if item is not None else 0, sent_at_s)
        if self.proof.is_behind:
            self._expect_change()

    def _expect_change(self) -> None:
        """Begin the watches anew unless they tell soon of what was just read."""
        eventlet.sleep(BEHIND_SECONDS)
        if self.proof.is_behind:
            self._store.interrupt_watches()

    def _note_answered(self) -> None:
        if self._failures >= LOST_ANSWERS:
            self._log.write(decisions.DependencyChanged(self._dependency, True, ""))
        self._failures = 0

    def _note_failed(self, error: ObjectStoreError) -> None:
        self._failures += 1
        if self._failures == LOST_ANSWERS:
            self._log.write(decisions.DependencyChanged(self._dependency, False, str(error)))
            self._store.interrupt_watches()
            self._on_lost()

    @property
    def _dependency(self) -> str:
        return f"store/{self.target.kind}/{self.target.name}"
