"""Which groups of replicas are out of reach, and when they are back.

A turn must not wait for a group that was found silent a moment ago; callers pay for each
wait. One greenthread for each such group asks whether it is back.
"""

import math
from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.replication.exceptions import NoQuorumError

#: Seconds between two questions whether a group is back. A question is one small read that waits
#: for 0.3 s, so a gateway asks twice a second while the group is silent.
PROBE_SECONDS = 0.2
#: Seconds for which an answer proves that a group is in reach; housekeeping asks anew in less.
PROVED_SECONDS = 2.0


class GroupReachability:
    """The groups that are out of reach.

    :param probe: asks a group for a quorum's answer; raises NoQuorumError if there is none.
    :param now: the monotonic clock.
    """

    def __init__(
        self, probe: Callable[[int], None], log: DecisionLog, now: Callable[[], float]
    ) -> None:
        self._probe = probe
        self._log = log
        self._now = now
        self._out_since: dict[int, float] = {}
        self._reached_at: dict[int, float] = {}
        self._checked: set[int] = set()
        #: Called with each group that fell out of reach.
        self.on_unreachable: Callable[[int], None] = lambda group: None

    def is_unreachable(self, group: int) -> bool:
        """Return whether a group was out of reach when it was asked last."""
        return group in self._out_since

    def unreachable_seconds(self, group: int) -> float:
        """Return for how many seconds a group has been out of reach; 0 if it is not."""
        return self._now() - self._out_since.get(group, self._now())

    def seconds_since_answer(self, group: int) -> float:
        """Return the seconds since a quorum of a group was known to answer; endless if never."""
        return self._now() - self._reached_at.get(group, -math.inf)

    def note_reached(self, group: int) -> None:
        """Note that a quorum of a group has just answered."""
        self._reached_at[group] = self._now()

    def has_answered_recently(self, group: int | None) -> bool:
        """Return whether a group answered when it was asked last, a moment ago at most."""
        if group is None or self.is_unreachable(group):
            return False
        return self.seconds_since_answer(group) < PROVED_SECONDS

    def check(self, group: int) -> None:
        """Ask a group now, unless that is being done."""
        if group in self._out_since or group in self._checked:
            return
        self._checked.add(group)
        try:
            self._probe(group)
        except NoQuorumError:
            self.note_failed(group)
        else:
            self.note_reached(group)
        finally:
            self._checked.discard(group)

    def note_failed(self, group: int) -> None:
        """Note that a group did not answer in time; begin to ask whether it is back."""
        if group in self._out_since:
            return
        self._out_since[group] = self._now()
        self._log.write(decisions.GroupReachChanged(group, False, 0.0))
        eventlet.spawn_n(self._ask_until_back, group)
        self.on_unreachable(group)

    def _ask_until_back(self, group: int) -> None:
        while True:
            try:
                self._probe(group)
            except NoQuorumError:
                eventlet.sleep(PROBE_SECONDS)
                continue
            seconds = self._now() - self._out_since.pop(group)
            self.note_reached(group)
            self._log.write(decisions.GroupReachChanged(group, True, seconds))
            return
