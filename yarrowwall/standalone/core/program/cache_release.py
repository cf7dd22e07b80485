"""Releases the prompt caches that engines hold for a program."""

from yarrowwall.messages.entries import (
    CacheReleased,
)
from yarrowwall.standalone.core.effects import (
    ReleaseCache,
)
from yarrowwall.standalone.core.program.requests import ProgramRequests

#: Value of ``through_call`` that releases all calls, used when a program ends.
ALL_CALLS = 2**31 - 1
#: Timer key of the next check whether all caches are released.
RELEASE = "release"


class CacheReleaser(ProgramRequests):
    """Releases caches on engines that a program no longer uses; all of them when it ends."""

    def _release_moved(self, now: float, number: int, engine_id: str) -> None:
        """Release caches on every engine except the one that now runs the call."""
        for held_id, address in list(self.state.held_engines.items()):
            if held_id != engine_id:
                effect = ReleaseCache(self.program_id, held_id, address, number - 1)
                self.after_chosen(effect)
                self.timers.set(RELEASE, now + self._limits.resume_interval)

    def _release_all(self, now: float) -> None:
        """Release the caches on all engines; repeated until every engine has confirmed."""
        for engine_id, address in list(self.state.held_engines.items()):
            effect = ReleaseCache(self.program_id, engine_id, address, ALL_CALLS)
            self.after_chosen(effect)
            self.timers.set(RELEASE, now + 2 * self._limits.resume_interval)

    def handle_released(self, now: float, engine_id: str) -> None:
        """Journal an engine's confirmation, unless the program uses that engine again."""
        if not self.is_leading() or engine_id not in self.state.held_engines:
            return
        call = self.state.calls.get(len(self.state.calls))
        is_current = call is not None and call.engine_id == engine_id
        if self.state.ended is not None or not is_current:
            self.propose(now, [CacheReleased(self.program_id, engine_id)])

    def _retry_releases(self, now: float) -> None:
        if self.state.ended is not None:
            self._release_all(now)
        elif self.state.calls:
            last = self.state.calls[len(self.state.calls)]
            self._release_moved(now, last.accepted.call_number, last.engine_id)
