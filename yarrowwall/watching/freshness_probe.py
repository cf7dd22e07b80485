"""Queries the store for a gateway's configuration when no reader can verify its age."""

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

#: Seconds between checks of the age.
AGE_CHECK_SECONDS = 0.25
#: Timeout of a query in seconds.
ANSWER_SECONDS = 0.8
#: Seconds between two queries, doubled up to the maximum while none is answered: in an outage all
#: gateways query the store, and calls are rate-limited and billed. Queries don't wait for earlier
#: ones, which may have been lost: a gateway without a reader notices the recovery of the store
#: within 1.6 s, instead of the 2.9 s that a timeout and another check would take.
PAUSE_SECONDS = 0.4
MAX_PAUSE_SECONDS = 1.6


class FreshnessProbe:
    """Queries the store once the configuration is older than working readers would leave it.

    :param on_configuration: called with the configuration's object before its age is updated.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        node_id: str,
        store: ReadableStore,
        target: ObjectName,
        freshness: Freshness,
        on_configuration: Callable[[StoredObject], None],
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._target = target
        self._freshness = freshness
        self._on_configuration = on_configuration
        self._log = log
        self._now = now
        self._unanswered = 0
        self._is_down_logged = False
        # Spreads the queries of gateways that lose their readers at the same time.
        self._check_interval_s = AGE_CHECK_SECONDS * (1.0 + fraction("probe", node_id))

    def start(self) -> None:
        """Start checking the age."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(self._check_interval_s)
            while self._freshness.should_query_store(self._now()):
                self._unanswered += 1
                eventlet.spawn_n(self._query)
                pause_s = exponential_backoff_s(
                    PAUSE_SECONDS, MAX_PAUSE_SECONDS, self._unanswered - 1
                )
                eventlet.sleep(pause_s)

    def _query(self) -> None:
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
            self._on_configuration(item)
            self._freshness.note_proved(sent_at_s)

    def _note_down(self, error: ObjectStoreError) -> None:
        if not self._is_down_logged:
            self._is_down_logged = True
            self._log_change(is_up=False, reason=str(error))

    def _note_up(self) -> None:
        if self._is_down_logged:
            self._is_down_logged = False
            self._log_change(is_up=True, reason="")

    def _log_change(self, is_up: bool, reason: str) -> None:
        self._log.write(decisions.DependencyChanged(f"proof/{self._target.kind}", is_up, reason))
