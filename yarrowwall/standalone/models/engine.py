"""A model engine: continuous batching, prefill and decode times, prefix cache.

All decoding sequences advance at the same rate, which falls with the size of
the batch; one prompt is prefilled at a time and slows decoding meanwhile. The
model is advanced from event to event and costs nothing in between.
"""

import heapq
from dataclasses import dataclass, field
from enum import StrEnum

from yarrowwall.hashing import PrefixBlock, chain, digest, fraction
from yarrowwall.messages.entries import Priority
from yarrowwall.standalone.core.program.state import BYTES_PER_TOKEN, TOKENS_PER_MESSAGE
from yarrowwall.standalone.models.prefix_cache import PrefixCache

#: Relative decoding speed while a prompt is prefilled.
DECODE_SHARE_DURING_PREFILL = 0.6


@dataclass(frozen=True)
class EngineParameters:
    """An engine's size and speeds.

    :param max_batch: most sequences in the batch.
    :param max_queue: most requests that wait; more are refused.
    :param decode_base_seconds: time of one decoding step for an empty batch.
    :param decode_sequence_seconds: what every sequence adds to a step.
    :param hold_seconds: a hold expires after this time.
    """

    max_batch: int = 16
    max_queue: int = 256
    prefill_tokens_per_second: float = 8000.0
    decode_base_seconds: float = 0.012
    decode_sequence_seconds: float = 0.0008
    cache_tokens: int = 200_000
    hold_seconds: float = 600.0


@dataclass(frozen=True)
class EngineRequest:
    """A request as an engine gets it.

    :param request_id: the engine runs an id at most once.
    :param prompt: blocks of the whole prompt.
    """

    request_id: str
    program_id: str
    call_number: int
    model: str
    prompt: tuple[PrefixBlock, ...]
    max_tokens: int
    priority: Priority
    hold: bool


class Admission(StrEnum):
    """Whether a request was taken."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    LEAVING = "leaving"
    NO_MODEL = "no_model"
    FULL = "full"
    FENCED = "fenced"


@dataclass
class Progress:
    """A request as the engine knows it.

    :ivar text: the whole answer; the first ``tokens_out`` tokens are produced.
    :ivar computed: blocks that had to be prefilled.
    """

    request: EngineRequest
    text: str
    output_tokens: int
    started_at: float = 0.0
    first_token_at: float | None = None
    finished_at: float | None = None
    cancelled: bool = False
    cached_tokens: int = 0
    computed: tuple[PrefixBlock, ...] = ()
    finish_mark: float = 0.0

    def prompt_tokens(self) -> int:
        """Return the length of the prompt."""
        return sum(block.tokens for block in self.request.prompt)

    def is_over(self) -> bool:
        """Return whether nothing more is produced."""
        return self.finished_at is not None or self.cancelled


class EngineOutputKind(StrEnum):
    """What happened to a request."""

    FIRST_TOKEN = "first_token"
    FINISHED = "finished"


@dataclass(frozen=True)
class EngineOutput:
    """Something an engine produced."""

    kind: EngineOutputKind
    progress: Progress


@dataclass(frozen=True)
class LoadReport:
    """What an engine reports of itself."""

    running: int
    queued: int
    queued_prompt_tokens: int
    capacity: int
    models: tuple[str, ...]
    orders_term: int
    leaving: bool


def answer_text(prompt: tuple[PrefixBlock, ...], output_tokens: int) -> str:
    """Return the text a model would answer; fixed by the prompt."""
    seed = prompt[-1].key if prompt else ""
    pattern = f"{digest(seed)[:15]} "
    repeats = output_tokens * BYTES_PER_TOKEN // len(pattern) + 1
    return (pattern * repeats)[: output_tokens * BYTES_PER_TOKEN]


def answer_tokens(prompt: tuple[PrefixBlock, ...], max_tokens: int) -> int:
    """Return the length of the answer to a prompt: half to all of what is allowed."""
    seed = prompt[-1].key if prompt else ""
    return max(1, int(max_tokens * (0.5 + 0.5 * fraction("answer", seed))))


def _queue_rank(priority: Priority) -> int:
    return 0 if priority is Priority.URGENT else 1


@dataclass(order=True)
class _Queued:
    rank: int
    sequence: int
    progress: Progress = field(compare=False)


class EngineModel:
    """One engine."""

    def __init__(self, parameters: EngineParameters, models: tuple[str, ...], now: float) -> None:
        self._parameters = parameters
        self._models = models
        self._now = now
        self.cache = PrefixCache(parameters.cache_tokens)
        self.requests: dict[str, Progress] = {}
        self._queue: list[_Queued] = []
        self._sequence = 0
        self._prefill_queue: list[_Queued] = []
        self._prefilling: Progress | None = None
        self._prefill_left = 0.0
        self._decoding: list[tuple[float, int, Progress]] = []
        self._decode_mark = 0.0
        self._running = 0
        self._released_through: dict[str, int] = {}
        self._fenced: set[str] = set()
        self._orders_term = 0
        self.is_leaving = False

    # Requests

    def submit(self, now: float, request: EngineRequest) -> Admission:
        """Take a request, unless the engine must not or cannot run it."""
        if request.request_id in self.requests:
            return Admission.DUPLICATE
        if request.request_id in self._fenced:
            return Admission.FENCED
        if self.is_leaving:
            return Admission.LEAVING
        if request.model not in self._models:
            return Admission.NO_MODEL
        if len(self._queue) >= self._parameters.max_queue:
            return Admission.FULL
        tokens = answer_tokens(request.prompt, request.max_tokens)
        progress = Progress(request, answer_text(request.prompt, tokens), tokens, now)
        self.requests[request.request_id] = progress
        heapq.heappush(self._queue, self._queued(progress))
        self._fill_batch()
        return Admission.ACCEPTED

    def _queued(self, progress: Progress) -> _Queued:
        self._sequence += 1
        return _Queued(_queue_rank(progress.request.priority), self._sequence, progress)

    def _fill_batch(self) -> None:
        while self._queue and self._running < self._parameters.max_batch:
            progress = heapq.heappop(self._queue).progress
            if progress.cancelled:
                continue
            self._running += 1
            heapq.heappush(self._prefill_queue, self._queued(progress))
        self._start_prefill()

    def _start_prefill(self) -> None:
        while self._prefilling is None and self._prefill_queue:
            progress = heapq.heappop(self._prefill_queue).progress
            if progress.cancelled:
                self._running -= 1
                continue
            prompt = progress.request.prompt
            cached = self.cache.cached_blocks(prompt)
            progress.cached_tokens = sum(block.tokens for block in prompt[:cached])
            progress.computed = prompt[cached:]
            self.cache.pin(prompt)
            self.cache.touch(prompt)
            self._prefilling = progress
            # At least the last token is computed to get the first one out.
            self._prefill_left = max(1.0, float(sum(block.tokens for block in progress.computed)))

    def cancel(self, request_id: str) -> None:
        """Stop a request; its place in the batch is free at once."""
        progress = self.requests.get(request_id)
        if progress is None or progress.is_over():
            return
        progress.cancelled = True
        if self._prefilling is progress:
            self._prefilling = None
            self._leave_batch(progress)
        elif progress.first_token_at is not None:
            self._decoding = [item for item in self._decoding if item[2] is not progress]
            heapq.heapify(self._decoding)
            self._leave_batch(progress)
        self._fill_batch()

    def resume(self, request_id: str) -> Progress | None:
        """Return a request to stream it again from its start.

        A request that was never seen is fenced: should it arrive later, from
        a sender that was paused, it is refused.
        """
        progress = self.requests.get(request_id)
        if progress is None:
            self._fenced.add(request_id)
        return progress

    def _leave_batch(self, progress: Progress) -> None:
        self._running -= 1
        self.cache.unpin(progress.request.prompt)

    # Time

    def _decode_rate(self) -> float:
        """Return tokens a second of every decoding sequence."""
        if not self._decoding:
            return 0.0
        parameters = self._parameters
        step = parameters.decode_base_seconds + parameters.decode_sequence_seconds * len(
            self._decoding
        )
        share = DECODE_SHARE_DURING_PREFILL if self._prefilling is not None else 1.0
        return share / step

    def next_event(self) -> float | None:
        """Return when the next request gets its first token or finishes."""
        times = []
        if self._prefilling is not None:
            seconds = self._prefill_left / self._parameters.prefill_tokens_per_second
            times.append(self._now + seconds)
        if self._decoding:
            tokens = max(0.0, self._decoding[0][0] - self._decode_mark)
            times.append(self._now + tokens / self._decode_rate())
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineOutput]:
        """Run up to a time.

        :returns: what was produced on the way, in order.
        """
        outputs: list[EngineOutput] = []
        while True:
            event_at = self.next_event()
            if event_at is None or event_at > now:
                break
            self._progress_to(event_at)
            outputs += self._complete_prefill()
            outputs += self._complete_decoding()
            self._fill_batch()
        self._progress_to(now)
        self.cache.expire_holds(now)
        return outputs

    def _progress_to(self, now: float) -> None:
        elapsed = max(0.0, now - self._now)
        self._decode_mark += elapsed * self._decode_rate()
        if self._prefilling is not None:
            self._prefill_left -= elapsed * self._parameters.prefill_tokens_per_second
        self._now = max(self._now, now)

    def _complete_prefill(self) -> list[EngineOutput]:
        progress = self._prefilling
        if progress is None or self._prefill_left > 1e-6:
            return []
        self._prefilling = None
        progress.first_token_at = self._now
        progress.finish_mark = self._decode_mark + progress.output_tokens
        self.cache.store(progress.request.prompt)
        self._sequence += 1
        heapq.heappush(self._decoding, (progress.finish_mark, self._sequence, progress))
        return [EngineOutput(EngineOutputKind.FIRST_TOKEN, progress)]

    def _complete_decoding(self) -> list[EngineOutput]:
        outputs = []
        while self._decoding and self._decoding[0][0] <= self._decode_mark + 1e-6:
            progress = heapq.heappop(self._decoding)[2]
            progress.finished_at = self._now
            self._keep_cache(progress)
            self._leave_batch(progress)
            outputs.append(EngineOutput(EngineOutputKind.FINISHED, progress))
        return outputs

    def _keep_cache(self, progress: Progress) -> None:
        """Store the prompt with its answer, and hold it if that was asked for."""
        request = progress.request
        whole = (*request.prompt, self._answer_block(progress))
        self.cache.store(whole)
        released = self._released_through.get(request.program_id, 0)
        if request.hold and request.call_number > released:
            expires_at = self._now + self._parameters.hold_seconds
            self.cache.hold(request.program_id, whole, expires_at)

    @staticmethod
    def _answer_block(progress: Progress) -> PrefixBlock:
        content = digest("assistant", progress.text)
        tokens = progress.output_tokens + TOKENS_PER_MESSAGE
        last = progress.request.prompt[-1].key if progress.request.prompt else ""
        return chain([(content, tokens)], last)[0]

    def tokens_out(self, progress: Progress) -> int:
        """Return how many tokens of an answer are produced."""
        if progress.finished_at is not None:
            return progress.output_tokens
        if progress.first_token_at is None or progress.cancelled:
            return 0
        left = max(0.0, progress.finish_mark - self._decode_mark)
        return max(1, min(progress.output_tokens - 1, int(progress.output_tokens - left)))

    # Control

    def release(self, program_id: str, through_call: int) -> None:
        """Hold nothing for a program, nor for a late start of a call up to ``through_call``."""
        known = self._released_through.get(program_id, 0)
        self._released_through[program_id] = max(known, through_call)
        self.cache.release(program_id)

    def order(self, term: int, models: tuple[str, ...]) -> bool:
        """Serve other models, unless a higher term has ordered before.

        :returns: whether the order is obeyed.
        """
        if term < self._orders_term:
            return False
        self._orders_term = term
        self._models = models
        return True

    def load(self) -> LoadReport:
        """Return the load now."""
        queued = [item.progress for item in self._queue if not item.progress.cancelled]
        waiting = queued + [item.progress for item in self._prefill_queue]
        return LoadReport(
            self._running,
            len(queued),
            sum(progress.prompt_tokens() for progress in waiting),
            self._parameters.max_batch,
            self._models,
            self._orders_term,
            self.is_leaving,
        )
