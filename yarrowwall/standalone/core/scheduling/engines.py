"""A node's view of an engine: load reports, own calls and a cache estimate."""

from collections import OrderedDict
from dataclasses import dataclass, field

from yarrowwall.hashing import PrefixBlock
from yarrowwall.standalone.core.events import AttemptKey, CacheBlocksChanged, EngineLoadReported
from yarrowwall.standalone.core.scheduling.types import EngineMachine, WaitingCall

#: Limit of blocks kept per engine; the least recently used are dropped first.
ESTIMATE_BLOCKS = 20_000
#: Seconds without a call after which a program is not expected to return to its engine.
HOME_SECONDS = 30.0
#: Age at which a load report is stale and its engine gets no new calls until it reports
#: again: the engine may have left since, or this node may have been paused.
REPORT_VALID_SECONDS = 2.5
#: Seconds for which an engine gets no new calls after it refused or did not answer.
AVOID_SECONDS = 2.0


@dataclass(frozen=True)
class EngineProfile:
    """Speeds used to estimate the duration of work on an engine.

    :param prefill_tokens_per_second: prefill speed for a single prompt.
    :param decode_seconds_per_token: decode time of one sequence in a typical batch.
    """

    prefill_tokens_per_second: float = 8000.0
    decode_seconds_per_token: float = 0.025


@dataclass
class OwnCall:
    """A call that this node has sent to an engine and that has not ended."""

    call: WaitingCall
    sent_at: float
    uncached_tokens: int


class CacheEstimate:
    """Estimate of the prompt blocks that an engine has cached."""

    def __init__(self) -> None:
        self._blocks: OrderedDict[str, int] = OrderedDict()
        self._sequence: int | None = None

    def cached_tokens(self, prompt: tuple[PrefixBlock, ...]) -> int:
        """Return the number of tokens in the longest prefix of a prompt estimated as cached."""
        cached = 0
        for block in prompt:
            if block.key not in self._blocks:
                break
            cached += block.tokens
        return cached

    def note_prompt(self, prompt: tuple[PrefixBlock, ...]) -> None:
        """Assume that a prompt is cached, after its call was sent."""
        for block in reversed(prompt):
            self._blocks[block.key] = block.tokens
            self._blocks.move_to_end(block.key)
        while len(self._blocks) > ESTIMATE_BLOCKS:
            self._blocks.popitem(last=False)

    def correct(self, event: CacheBlocksChanged) -> None:
        """Remove evicted blocks; a lost event only makes the estimate less exact."""
        if self._sequence is not None and event.sequence <= self._sequence:
            return
        self._sequence = event.sequence
        for key in event.evicted:
            self._blocks.pop(key, None)

    def clear(self) -> None:
        """Clear the estimate, since the engine may have restarted."""
        self._blocks.clear()
        self._sequence = None


@dataclass
class EngineView:
    """One engine as this node sees it.

    :ivar own: calls that this node has in progress at the engine.
    :ivar ended_at: end times of own calls that ended after the last report was made.
    :ivar avoid_until: time before which no new call is placed here.
    :ivar home_of: time of the latest call sent here, by program id.
    """

    machine: EngineMachine
    cache_estimate: CacheEstimate = field(default_factory=CacheEstimate)
    own: dict[AttemptKey, OwnCall] = field(default_factory=dict)
    report: EngineLoadReported | None = None
    ended_at: list[float] = field(default_factory=list)
    avoid_until: float = 0.0
    home_of: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def is_usable(self, now: float, model: str) -> bool:
        """Return whether a new call for a model may be placed here."""
        if self.machine.leaving or now < self.avoid_until or self.report is None:
            return False
        is_fresh = now - self.report.reported_at <= REPORT_VALID_SECONDS
        return is_fresh and not self.report.leaving and model in self.report.models

    def occupancy(self) -> int:
        """Return the estimated number of calls running or queued at the engine.

        Reports lag: own calls sent since the report are added and own calls that
        ended since are subtracted. Own calls in flight are a lower bound.
        """
        if self.report is None:
            return len(self.own)
        made_at = self.report.reported_at
        sent_since = sum(own.sent_at > made_at for own in self.own.values())
        ended_since = sum(ended > made_at for ended in self.ended_at)
        reported = self.report.running + self.report.queued
        return max(len(self.own), reported + sent_since - ended_since)

    def capacity(self) -> int:
        """Return the maximum number of calls in the engine's batch."""
        return self.report.capacity if self.report else 1

    def pending_prefill(self) -> int:
        """Return the estimated number of prompt tokens that wait for prefill."""
        if self.report is None:
            return 0
        made_at = self.report.reported_at
        own = sum(own.uncached_tokens for own in self.own.values() if own.sent_at > made_at)
        return own + self.report.queued_prompt_tokens

    def note_sent(self, key: AttemptKey, call: WaitingCall, now: float) -> None:
        """Record a call that is sent to the engine."""
        uncached = call.prompt_tokens() - self.cache_estimate.cached_tokens(call.prompt)
        self.own[key] = OwnCall(call, now, uncached)
        self.home_of[call.program_id] = now
        self.home_of.move_to_end(call.program_id)
        self.cache_estimate.note_prompt(call.prompt)

    def home_count(self, now: float) -> int:
        """Return the number of programs that are likely to return here."""
        while self.home_of and now - next(iter(self.home_of.values())) > HOME_SECONDS:
            self.home_of.popitem(last=False)
        return len(self.home_of)

    def note_ended(self, key: AttemptKey, now: float) -> None:
        """Record that a call has ended at the engine."""
        if self.own.pop(key, None) is not None:
            self.ended_at.append(now)

    def note_report(self, report: EngineLoadReported) -> None:
        """Store a load report unless a newer one is known."""
        if self.report is not None and report.reported_at < self.report.reported_at:
            return
        self.report = report
        self.ended_at = [ended for ended in self.ended_at if ended > report.reported_at]
