"""A gateway's own questions for the configuration, where no reader vouches for its age."""

from collections.abc import Callable

import eventlet

from yarrowwall.core.hashing import fraction
from yarrowwall.relay.freshness import Freshness
from yarrowwall.relay.object_store import ObjectName, ObjectStore, ObjectStoreError, StoredObject

#: Seconds between looks at the age.
LOOK_SECONDS = 0.25
#: Seconds that an answer may take.
ANSWER_SECONDS = 0.8
#: Seconds between own questions, doubled up to the most while none is answered: in an outage
#: all gateways ask, and calls are limited and paid for.
PAUSE_SECONDS = 0.4
MOST_PAUSE_SECONDS = 1.6


class FreshnessProbe:
    """Asks the store once the age of the configuration is beyond what readers explain.

    :param take: called with the configuration's object before its proof counts.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        node_id: str,
        store: ObjectStore,
        target: ObjectName,
        freshness: Freshness,
        take: Callable[[StoredObject], None],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._target = target
        self._freshness = freshness
        self._take = take
        self._now = now
        # All gateways lose their readers at the same moment.
        self._own_look_s = LOOK_SECONDS * (1.0 + fraction("probe", node_id))

    def start(self) -> None:
        """Begin to look at the age."""
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        failures = 0
        while True:
            eventlet.sleep(self._own_look_s)
            if not self._freshness.is_worth_asking(self._now()):
                continue
            failures = 0 if self._ask() else failures + 1
            if failures:
                eventlet.sleep(min(PAUSE_SECONDS * 2 ** (failures - 1), MOST_PAUSE_SECONDS))

    def _ask(self) -> bool:
        """Return whether the store answered."""
        sent_at_s = self._now()
        try:
            item = self._store.get(*self._target, ANSWER_SECONDS)
        except ObjectStoreError:
            # The followers of the store log that it is out of reach.
            return False
        if item is not None:
            self._take(item)
            self._freshness.note_proved(sent_at_s)
        return True
