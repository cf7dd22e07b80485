"""Estimates which prompt prefixes each server has cached. No I/O.

The estimate is based on what this gateway has sent. Servers evict the least recently
used parts when their memory is full, and the estimate does the same.
"""

from collections import OrderedDict
from collections.abc import Sequence

from yarrowwall.model import PromptPart

#: Share of an engine's memory that is assumed to hold parts sent by this gateway; the
#: rest holds running requests and the prompts of other gateways.
CACHE_SHARE = 0.7
#: Share of that which shared prefixes may fill so that every server can cache all of them.
SHARED_PREFIX_SHARE = 0.4
#: Maximum number of parts that a server is assumed to cache: clients choose the tokens of each.
MAX_PARTS = 8192
#: Maximum number of known shared prefixes; beyond it the least recently seen is dropped.
MAX_SHARED_PREFIXES = 1000


class PrefixCacheEstimate:
    """Estimate of the prompt parts that one server has cached.

    :param capacity: tokens of the server's memory.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * CACHE_SHARE)
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    @property
    def capacity(self) -> int:
        """Return the number of tokens that the server is assumed to cache at most."""
        return self._capacity

    def resize(self, capacity: int) -> None:
        """Change the size of the server's memory.

        :param capacity: tokens of the server's memory.
        """
        self._capacity = int(capacity * CACHE_SHARE)
        self._evict()

    def cached_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that need no prefill."""
        found = 0
        for part in prompt:
            kept = self._parts.get(part.part_id, 0)
            found += min(kept, part.tokens)
            if kept < part.tokens:
                break
        return found

    def note_sent(self, prompt: Sequence[PromptPart]) -> None:
        """Record that a prompt was sent to the server."""
        # Later parts are useless without earlier ones, so the first part must be evicted last.
        for part in reversed(prompt):
            self._tokens -= self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._tokens += part.tokens
        self._evict()

    def _evict(self) -> None:
        while self._is_over_limit and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    @property
    def _is_over_limit(self) -> bool:
        return self._tokens > self._capacity or len(self._parts) > MAX_PARTS


class SharedPrefixes:
    """The first parts of prompts, which many programs share."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def note(self, part: PromptPart) -> None:
        """Record the first part of a prompt."""
        self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
        self._parts[part.part_id] = part.tokens
        if len(self._parts) > MAX_SHARED_PREFIXES:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def fit_into(self, capacity: int) -> bool:
        """Return whether a server can cache all shared prefixes.

        :param capacity: tokens that the server is assumed to cache.
        """
        return self._tokens <= SHARED_PREFIX_SHARE * capacity
