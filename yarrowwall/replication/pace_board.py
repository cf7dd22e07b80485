"""How fast each server is against others of its service, from all gateways. No I/O.

Gateways tell how long things took, by kind; against the mean of the kind over all servers each
observation is a ratio. Servers differ for good (hardware), for seconds (an engine turns slow) and
for moments; so a longer and a shorter memory are kept, and the shorter one counts once it has
seen enough and is far from the longer one.
"""

import math
from collections.abc import Iterable, Mapping

from yarrowwall.messages.replicated import ToldPace
from yarrowwall.relay.paces import PaceKey, PaceSum

#: Half-lives in seconds: of differences that last, and of a server that turns slow. A server
#: that is slow for some seconds has to be left within one; speeds that last are known the better
#: the longer they are remembered.
LONG_HALF_LIFE_S = 15.0
SHORT_HALF_LIFE_S = 0.35
#: Observations by which an estimate is drawn towards the usual. Times of single calls are spread
#: by a factor of e to either side, so that eight of them tell a speed to a factor of 1.4.
SHRINK_COUNT = 8.0
#: Observations in the shorter memory before it may count, and the factor to the longer one
#: beyond which it does: calls that are spread by a factor of e stay within it mostly, and a server
#: that takes five times as long is known after eight calls, ten a second.
LEAST_RECENT = 3.0
LEAST_TURN = 2.5
#: Factors this near to the usual are not told.
LEAST_FACTOR = 1.15
#: Bounds of a factor.
MOST_FACTOR = 8.0
#: Bound on the mean ratio of what one gateway tells at once: one call that hung for long says
#: little of a server's speed.
MOST_RATIO = 16.0
#: Observations of a kind before it is known what is usual; they are spread over many servers.
LEAST_OF_KIND = 20.0
#: Seconds between two times that a gateway is told, and between two makings of the list. Turns ask
#: for loads some times a second; speeds change more slowly, and the list costs bytes and time.
TELL_AGAIN_S = 0.5
MAKE_AGAIN_S = 0.1
#: Observations below which a server or a kind is forgotten.
FORGOTTEN_COUNT = 0.05

_LEAST_LOG = math.log(LEAST_FACTOR)
_MOST_LOG = math.log(MOST_FACTOR)
_TURN_LOG = math.log(LEAST_TURN)
_RATIO_LOG = math.log(MOST_RATIO)


class _Memory:
    """Observations that lose their weight with time."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._at_s = 0.0
        self._log_sum = 0.0
        self.count = 0.0

    def fade(self, now_s: float) -> None:
        """Let weights go down to what they are now."""
        left = 0.5 ** (max(0.0, now_s - self._at_s) / self._half_life_s)
        self._at_s = max(now_s, self._at_s)
        self.count *= left
        self._log_sum *= left

    def add(self, found: PaceSum) -> None:
        """Take observations in."""
        self.count += found.seen
        self._log_sum += found.log_s

    def log_factor(self) -> float:
        """Return the logarithm of the factor, drawn towards the usual."""
        return self._log_sum / (self.count + SHRINK_COUNT)

    def mean_log(self) -> float:
        """Return the mean logarithm as it was observed."""
        return self._log_sum / self.count if self.count else 0.0


class _Pace:
    """What is known of one server."""

    def __init__(self) -> None:
        self.long = _Memory(LONG_HALF_LIFE_S)
        self.short = _Memory(SHORT_HALF_LIFE_S)

    def fade(self, now_s: float) -> None:
        """Let weights go down to what they are now."""
        self.long.fade(now_s)
        self.short.fade(now_s)

    def add(self, found: PaceSum) -> None:
        """Take observations in."""
        self.long.add(found)
        self.short.add(found)

    def log_factor(self) -> float:
        """Return the logarithm of how many times as long as usual the server takes."""
        has_turned = abs(self.short.mean_log() - self.long.log_factor()) > _TURN_LOG
        is_recent = self.short.count >= LEAST_RECENT
        log = self.short.mean_log() if has_turned and is_recent else self.long.log_factor()
        return min(max(log, -_MOST_LOG), _MOST_LOG)


class PaceBoard:
    """Adds up what gateways tell of servers."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._kinds: dict[str, _Memory] = {}
        self._told_at_s: dict[str, float] = {}
        self._made_at_s = -MAKE_AGAIN_S
        self._factors: dict[str, float] = {}

    def take(self, sums: Mapping[PaceKey, PaceSum], now_s: float) -> None:
        """Take in what a gateway saw since it told last."""
        for key, found in sums.items():
            usual = self._kinds.setdefault(key.kind, _Memory(LONG_HALF_LIFE_S))
            usual.fade(now_s)
            usual.add(found)
            if usual.count >= LEAST_OF_KIND:
                self._compare(key.server_id, found, usual.mean_log(), now_s)

    def _compare(self, server_id: str, found: PaceSum, usual_log_s: float, now_s: float) -> None:
        """Take in observations as ratios to the usual."""
        ratio_log = found.log_s / found.seen - usual_log_s
        bounded = min(max(ratio_log, -_RATIO_LOG), _RATIO_LOG)
        pace = self._paces.setdefault(server_id, _Pace())
        pace.fade(now_s)
        pace.add(PaceSum(found.seen, found.seen * bounded))

    def news_for(self, node_id: str, now_s: float) -> dict[str, float] | None:
        """Return the factors; None if a gateway was told of them a moment ago."""
        if now_s - self._told_at_s.get(node_id, -TELL_AGAIN_S) < TELL_AGAIN_S:
            return None
        self._told_at_s[node_id] = now_s
        if now_s - self._made_at_s >= MAKE_AGAIN_S:
            self._made_at_s = now_s
            self._factors = self.factors(now_s)
            since_s = now_s - TELL_AGAIN_S
            self._told_at_s = {node: at for node, at in self._told_at_s.items() if at > since_s}
        return self._factors

    def factors(self, now_s: float) -> dict[str, float]:
        """Return how many times as long as usual servers take, of those that differ."""
        found = {}
        for server_id, pace in list(self._paces.items()):
            pace.fade(now_s)
            if pace.long.count < FORGOTTEN_COUNT:
                del self._paces[server_id]
                continue
            log = pace.log_factor()
            if abs(log) > _LEAST_LOG:
                found[server_id] = round(math.exp(log), 2)
        return found


def read_paces(told: Iterable[ToldPace]) -> dict[PaceKey, PaceSum]:
    """Return what a gateway told, without figures that cannot be."""
    return {
        PaceKey(pace.kind, pace.server_id): PaceSum(pace.count, pace.log_s)
        for pace in told
        if pace.count > 0 and math.isfinite(pace.log_s)
    }
