"""Reachability of the groups of replicas.

A turn should not wait for a group that has just failed to answer, since that delays its caller. One
greenthread for each unreachable group probes it until it answers again.
"""

import math
from collections.abc import Callable

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.replication.exceptions import NoQuorumError

#: Seconds between two probes of an unreachable group. A probe is one small read with a timeout of
#: 0.3 s, so a gateway probes twice a second while the group does not answer.
PROBE_INTERVAL_SECONDS = 0.2
#: Seconds for which a group counts as reachable after an answer. Housekeeping checks it sooner.
RECENT_ANSWER_SECONDS = 2.0


class GroupReachability:
    """Tracks which groups are unreachable.

    :param probe: Asks a group for a quorum's answer; raises NoQuorumError if there is none.
    :param now: Returns the monotonic time in seconds.
    """

    def __init__(
        self, probe: Callable[[int], None], log: DecisionLog, now: Callable[[], float]
    ) -> None:
        self._probe = probe
        self._log = log
        self._now = now
        self._unreachable_since: dict[int, float] = {}
        self._answered_at: dict[int, float] = {}
        self._checking: set[int] = set()
        #: Called with each group that becomes unreachable.
        self.on_unreachable: Callable[[int], None] = lambda group: None

    def is_unreachable(self, group: int) -> bool:
        """Return whether a group did not answer its last request."""
        return group in self._unreachable_since

    def unreachable_seconds(self, group: int) -> float:
        """Return the seconds for which a group has been unreachable; 0 if it is reachable."""
        return self._now() - self._unreachable_since.get(group, self._now())

    def seconds_since_answer(self, group: int) -> float:
        """Return the seconds since a quorum of a group last answered; infinite if never."""
        return self._now() - self._answered_at.get(group, -math.inf)

    def note_answered(self, group: int) -> None:
        """Note that a quorum of a group has just answered."""
        self._answered_at[group] = self._now()

    def has_answered_recently(self, group: int | None) -> bool:
        """Return whether a group answered its last request, and that recently."""
        if group is None or self.is_unreachable(group):
            return False
        return self.seconds_since_answer(group) < RECENT_ANSWER_SECONDS

    def check(self, group: int) -> None:
        """Probe a group now, unless it is being probed already."""
        if group in self._unreachable_since or group in self._checking:
            return
        self._checking.add(group)
        try:
            self._probe(group)
        except NoQuorumError:
            self.note_failed(group)
        else:
            self.note_answered(group)
        finally:
            self._checking.discard(group)

    def note_failed(self, group: int) -> None:
        """Note that a group did not answer in time, and start probing it."""
        if group in self._unreachable_since:
            return
        self._unreachable_since[group] = self._now()
        self._log.write(decisions.GroupReachChanged(group, False, 0.0))
        eventlet.spawn_n(self._probe_until_reachable, group)
        self.on_unreachable(group)

    def _probe_until_reachable(self, group: int) -> None:
        while True:
            try:
                self._probe(group)
            except NoQuorumError:
                eventlet.sleep(PROBE_INTERVAL_SECONDS)
                continue
            seconds = self._now() - self._unreachable_since.pop(group)
            self.note_answered(group)
            self._log.write(decisions.GroupReachChanged(group, True, seconds))
            return
