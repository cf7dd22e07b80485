"""What prompt prefixes each server is believed to keep in memory.

The belief comes from this gateway's own sends. A server drops the parts unused
longest once its memory is full; the belief does the same.
"""

from collections import OrderedDict
from collections.abc import Sequence

from yarrowwall.model import PromptPart

#: Part of an engine's memory that is believed to hold cached parts; running
#: requests and other gateways' prompts fill the rest.
CACHE_SHARE = 0.7
#: Part of what is believed to be kept that shared parts may take if every server is to
#: keep all of them.
SHARED_PREFIX_SHARE = 0.4
#: Shared parts that are remembered; beyond it the one unseen longest is forgotten.
MAX_SHARED_PREFIXES = 1000


class PrefixCacheEstimate:
    """The parts that one server is believed to keep.

    :param capacity: tokens of memory.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * CACHE_SHARE)
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    @property
    def capacity(self) -> int:
        """Return the tokens that the server is believed to keep at most."""
        return self._capacity

    def resize(self, capacity: int) -> None:
        """Take in another size of the server's memory.

        :param capacity: tokens of memory.
        """
        self._capacity = int(capacity * CACHE_SHARE)
        self._forget_beyond()

    def cached_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that need not be read again."""
        found = 0
        for part in prompt:
            kept = self._parts.get(part.part_id, 0)
            found += min(kept, part.tokens)
            if kept < part.tokens:
                break
        return found

    def note_sent(self, prompt: Sequence[PromptPart]) -> None:
        """Take in that the server read a prompt."""
        # Later parts are useless without earlier ones, so the first part is the newest.
        for part in reversed(prompt):
            self._tokens -= self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._tokens += part.tokens
        self._forget_beyond()

    def _forget_beyond(self) -> None:
        while self._tokens > self._capacity and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


class SharedPrefixes:
    """The first parts of all prompts, which many programs share."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def note(self, part: PromptPart) -> None:
        """Take in the first part of a prompt."""
        self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
        self._parts[part.part_id] = part.tokens
        if len(self._parts) > MAX_SHARED_PREFIXES:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def fit_into(self, capacity: int) -> bool:
        """Return whether a server of a capacity in tokens can keep all of them."""
        return self._tokens <= SHARED_PREFIX_SHARE * capacity
