"""Model of an engine: continuous batching, prefill and decode times, prefix cache.

All decoding sequences advance at the same rate, which falls with the size of the batch. One
prompt is prefilled at a time and slows decoding meanwhile. The model is event-driven: it
computes only when a request gets its first token or finishes.
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
    """Size and speed of an engine.

    :param max_batch: Maximum number of sequences in the batch.
    :param max_queue: Maximum number of queued requests; further ones are refused.
    :param decode_base_seconds: Duration of a decoding step for an empty batch.
    :param decode_sequence_seconds: Time that each sequence adds to a step.
    :param cache_tokens: Size of the prefix cache in tokens.
    :param hold_seconds: Time after which a hold expires.
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
    """A request to an engine.

    :param request_id: Idempotency key: the engine runs an id at most once.
    :param prompt: Blocks of the complete prompt.
    :param hold: Whether to hold the prompt and its answer in the cache for the next call.
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
    """Whether a request was accepted, or why not."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    LEAVING = "leaving"
    NO_MODEL = "no_model"
    FULL = "full"
    FENCED = "fenced"


@dataclass
class Progress:
    """State of a request in the engine.

    :ivar text: The complete answer, of which :meth:`EngineModel.tokens_out` tokens are produced.
    :ivar computed: Blocks that weren't cached and had to be prefilled.
    :ivar finish_mark: Value of the engine's decode mark at which the answer is complete.
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
        """Return the length of the prompt in tokens."""
        return sum(block.tokens for block in self.request.prompt)

    def is_over(self) -> bool:
        """Return whether the request has finished or was cancelled."""
        return self.finished_at is not None or self.cancelled


class EngineOutputKind(StrEnum):
    """Kind of progress of a request."""

    FIRST_TOKEN = "first_token"
    FINISHED = "finished"


@dataclass(frozen=True)
class EngineOutput:
    """Progress of a request, as returned by :meth:`EngineModel.advance`."""

    kind: EngineOutputKind
    progress: Progress


@dataclass(frozen=True)
class LoadReport:
    """Load and state of an engine."""

    running: int
    queued: int
    queued_prompt_tokens: int
    capacity: int
    models: tuple[str, ...]
    orders_term: int
    leaving: bool


def answer_text(prompt: tuple[PrefixBlock, ...], output_tokens: int) -> str:
    """Return the text of an answer, which depends only on the prompt and the length."""
    seed = prompt[-1].key if prompt else ""
    pattern = f"{digest(seed)[:15]} "
    repeats = output_tokens * BYTES_PER_TOKEN // len(pattern) + 1
    return (pattern * repeats)[: output_tokens * BYTES_PER_TOKEN]


def answer_tokens(prompt: tuple[PrefixBlock, ...], max_tokens: int) -> int:
    """Return an answer's length in tokens: half to all of the maximum, fixed by the prompt."""
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
    """An engine on a clock that the caller advances."""

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
        """Queue a request, or return why the engine refuses it."""
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
            # Producing the first token takes at least the computation of the last prompt token.
            self._prefill_left = max(1.0, float(sum(block.tokens for block in progress.computed)))

    def cancel(self, request_id: str) -> None:
        """Cancel a request and free its slot in the batch."""
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
        """Return a request, to stream it again from its start.

        An unknown id is fenced: if the request arrives later, for example from
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
        """Return the tokens per second of each decoding sequence."""
        if not self._decoding:
            return 0.0
        parameters = self._parameters
        step = parameters.decode_base_seconds + parameters.decode_sequence_seconds * len(
            self._decoding
        )
        share = DECODE_SHARE_DURING_PREFILL if self._prefilling is not None else 1.0
        return share / step

    def next_event(self) -> float | None:
        """Return the time when the next request gets its first token or finishes, if any."""
        times = []
        if self._prefilling is not None:
            seconds = self._prefill_left / self._parameters.prefill_tokens_per_second
            times.append(self._now + seconds)
        if self._decoding:
            tokens = max(0.0, self._decoding[0][0] - self._decode_mark)
            times.append(self._now + tokens / self._decode_rate())
        return min(times, default=None)

    def advance(self, now: float) -> list[EngineOutput]:
        """Advance the clock to a time.

        :returns: First tokens and finished requests until then, in order.
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
        """Cache the prompt with its answer, and hold both if the request asks for it."""
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
        """Return the number of tokens of an answer that are produced."""
        if progress.finished_at is not None:
            return progress.output_tokens
        if progress.first_token_at is None or progress.cancelled:
            return 0
        left = max(0.0, progress.finish_mark - self._decode_mark)
        return max(1, min(progress.output_tokens - 1, int(progress.output_tokens - left)))

    # Control

    def release(self, program_id: str, through_call: int) -> None:
        """Release a program's hold and add none for its calls up to ``through_call``."""
        known = self._released_through.get(program_id, 0)
        self._released_through[program_id] = max(known, through_call)
        self.cache.release(program_id)

    def order(self, term: int, models: tuple[str, ...]) -> bool:
        """Serve other models, unless an order with a higher term was accepted before.

        :returns: Whether the order is accepted.
        """
        if term < self._orders_term:
            return False
        self._orders_term = term
        self._models = models
        return True

    def load(self) -> LoadReport:
        """Return the current load."""
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
