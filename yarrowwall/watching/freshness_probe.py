"""A gateway's own questions for the configuration, where no reader vouches for its age."""

from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.backoff import exponential_backoff_s
from yarrowwall.decisions import DecisionLog
from yarrowwall.hashing import fraction
from yarrowwall.policy.freshness import Freshness
from yarrowwall.ports.object_store import (
    ObjectName,
    ObjectStoreError,
    ReadableStore,
    StoredObject,
    WatchInterruptedError,
)

#: Seconds between looks at the age.
AGE_CHECK_SECONDS = 0.25
#: Seconds that an answer may take.
ANSWER_SECONDS = 0.8
#: Seconds between own questions, doubled up to the most while none is answered: in an outage
#: all gateways ask, and calls are limited and paid for. The next one is sent beside those that
#: wait, for they may have been lost: so a gateway that no reader tells anything knows of a
#: store that is back 1.6 s later at most, not after a time-out and a look more (2.9 s).
PAUSE_SECONDS = 0.4
MAX_PAUSE_SECONDS = 1.6


class FreshnessProbe:
    """Asks the store once the age of the configuration is beyond what readers explain.

    :param take: called with the configuration's object before its proof counts.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        node_id: str,
        store: ReadableStore,
        target: ObjectName,
        freshness: Freshness,
        take: Callable[[StoredObject], None],
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._target = target
        self._freshness = freshness
        self._take = take
        self._log = log
        self._now = now
        self._unanswered = 0
        self._is_known_down = False
        # All gateways lose their readers at the same moment.
        self._own_look_s = AGE_CHECK_SECONDS * (1.0 + fraction("probe", node_id))

    def start(self) -> None:
        """Begin to look at the age."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(self._own_look_s)
            while self._freshness.should_query_store(self._now()):
                self._unanswered += 1
                eventlet.spawn_n(self._ask)
                pause_s = exponential_backoff_s(
                    PAUSE_SECONDS, MAX_PAUSE_SECONDS, self._unanswered - 1
                )
                eventlet.sleep(pause_s)

    def _ask(self) -> None:
        sent_at_s = self._now()
        try:
            item = self._store.get(*self._target, ANSWER_SECONDS)
        except WatchInterruptedError:
            return
        except ObjectStoreError as error:
            self._note_down(error)
            return
        self._unanswered = 0
        self._note_up()
        if item is not None:
            self._take(item)
            self._freshness.note_proved(sent_at_s)

    def _note_down(self, error: ObjectStoreError) -> None:
        if not self._is_known_down:
            self._is_known_down = True
            self._note(is_up=False, reason=str(error))

    def _note_up(self) -> None:
        if self._is_known_down:
            self._is_known_down = False
            self._note(is_up=True, reason="")

    def _note(self, is_up: bool, reason: str) -> None:
        self._log.write(decisions.DependencyChanged(f"proof/{self._target.kind}", is_up, reason))
