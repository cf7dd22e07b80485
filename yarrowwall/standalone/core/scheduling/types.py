"""Inputs and decisions of the scheduler."""

from dataclasses import dataclass

from yarrowwall.hashing import PrefixBlock
from yarrowwall.messages.entries import Priority


@dataclass(frozen=True)
class WaitingCall:
    """A call that waits for an engine.

    :param prompt: prefix blocks of the whole prompt, for the cache estimate.
    :param attained: tokens that the program has spent so far.
    :param program_started_at: time at which the program was opened.
    :param last_engine: engine of the program's previous call; empty for the first.
    :param excluded: engines on which an attempt of this call did not start or was lost.
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
        """Return the length of the whole prompt, in tokens."""
        return sum(block.tokens for block in self.prompt)


@dataclass(frozen=True)
class Placement:
    """The scheduler's decision for one call.

    :param hold: whether the engine keeps the prefix in its cache after the answer.
    """

    call: WaitingCall
    engine_id: str
    engine_address: str
    hold: bool


@dataclass(frozen=True)
class EngineMachine:
    """An engine in the machine list."""

    engine_id: str
    zone: str
    address: str
    leaving: bool
