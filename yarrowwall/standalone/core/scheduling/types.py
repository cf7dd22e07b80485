"""What the scheduler is told and what it decides."""

from dataclasses import dataclass

from yarrowwall.hashing import PrefixBlock
from yarrowwall.messages.entries import Priority


@dataclass(frozen=True)
class WaitingCall:
    """A call that waits for an engine.

    :param prompt: blocks of the whole prompt, for the cache belief.
    :param new_tokens: prompt tokens that no engine can have computed before.
    :param attained: service the program has had so far, in tokens.
    :param program_started_at: when the program was opened.
    :param last_engine: engine of the program's previous call; empty at first.
    :param excluded: engines that refused this call.
    """

    program_id: str
    call_number: int
    model: str
    priority: Priority
    prompt: tuple[PrefixBlock, ...]
    max_tokens: int
    attained: int
    program_started_at: float
    last_engine: str
    enqueued_at: float
    single: bool
    excluded: frozenset[str] = frozenset()

    def prompt_tokens(self) -> int:
        """Return the length of the whole prompt."""
        return sum(block.tokens for block in self.prompt)


@dataclass(frozen=True)
class Placement:
    """The scheduler's decision for one call.

    :param hold: whether the engine is to keep the prefix after the answer.
    """

    call: WaitingCall
    engine_id: str
    engine_address: str
    hold: bool


@dataclass(frozen=True)
class EngineMachine:
    """An engine as the machine list names it."""

    engine_id: str
    zone: str
    address: str
    leaving: bool
