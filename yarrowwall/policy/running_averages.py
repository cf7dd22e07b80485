"""Running averages over the admission requests of one service. No I/O.

Capacity is shared. If the size of a single program or the view of a single gateway decided how much
is free, those with the lowest requirement would always be admitted before the others.
"""

from yarrowwall.messages.capacity import AskRoom

#: Minimum weight of the newest program in the averages over programs.
PROGRAM_WEIGHT = 0.02
#: Limit on a program's size, as a multiple of the average, so that one program changes it little.
MAX_SIZE_FACTOR = 4.0
#: Seconds that a program has to finish, assumed before the first one is known.
INITIAL_FINISH_SECONDS = 4.0
#: Weight of the newest request in the average capacity.
CAPACITY_WEIGHT = 0.1
#: Seconds without a request after which the average capacity starts anew.
CAPACITY_EXPIRY_SECONDS = 1.0


class TypicalProgram:
    """Averages over programs.

    :ivar finish_in_s: seconds that a program has left when it requests admission.
    :ivar tokens: cache tokens that admitted programs are expected to need; 0 before the first.
    """

    def __init__(self) -> None:
        self.finish_in_s = INITIAL_FINISH_SECONDS
        self.tokens = 0.0
        self._admitted = 0

    def note_asked(self, finish_in_s: float) -> None:
        """Include the seconds that a program has left; 0 if unknown."""
        if finish_in_s > 0.0:
            self.finish_in_s += PROGRAM_WEIGHT * (finish_in_s - self.finish_in_s)

    def note_admitted(self, tokens: int) -> None:
        """Include the cache tokens that an admitted program is expected to need."""
        self._admitted += 1
        weight = max(1.0 / self._admitted, PROGRAM_WEIGHT)
        size = min(float(tokens), MAX_SIZE_FACTOR * self.tokens) if self.tokens else float(tokens)
        self.tokens += weight * (size - self.tokens)


class AverageCapacity:
    """The capacity of a service's servers, averaged over the gateways that asked recently.

    :ivar slots: slots of healthy servers.
    :ivar memory_tokens: token capacity of their engines' caches.
    """

    def __init__(self) -> None:
        self.slots = 0.0
        self.memory_tokens = 0.0
        self._asked_at_s = float("-inf")

    def note_asked(self, ask: AskRoom, now_s: float) -> None:
        """Include the capacity that a gateway sent with its request."""
        weight = CAPACITY_WEIGHT if now_s - self._asked_at_s <= CAPACITY_EXPIRY_SECONDS else 1.0
        self._asked_at_s = now_s
        self.slots += weight * (ask.places - self.slots)
        self.memory_tokens += weight * (ask.memory_tokens - self.memory_tokens)
