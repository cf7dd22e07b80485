"""What is usual among the programs and gateways that ask for room at a service. No I/O.

Places are shared, so neither the size of one program nor what one gateway believes of the servers
may decide how many can be taken: whoever had the lower bound would find room only when nobody
else wants it.
"""

from yarrowwall.messages.capacity import AskRoom

#: Least weight of the newest program in what is usual of programs.
PROGRAM_WEIGHT = 0.02
#: Times the usual size that a program counts for at most, so that a single one changes little.
MAX_SIZE_FACTOR = 4.0
#: What is held to be the usual time that programs have, before the first.
INITIAL_FINISH_SECONDS = 4.0
#: Weight of the newest question in what gateways believe of the servers.
CAPACITY_WEIGHT = 0.1
#: Seconds after which what gateways believed before counts no more.
CAPACITY_EXPIRY_SECONDS = 1.0


class TypicalProgram:
    """What is usual among programs.

    :ivar finish_in_s: seconds that they have when they ask.
    :ivar tokens: of the engines' memory that admitted ones are expected to keep; 0 before the
        first.
    """

    def __init__(self) -> None:
        self.finish_in_s = INITIAL_FINISH_SECONDS
        self.tokens = 0.0
        self._admitted = 0

    def note_asked(self, finish_in_s: float) -> None:
        """Take in the time that a program has; 0 if untold."""
        if finish_in_s > 0.0:
            self.finish_in_s += PROGRAM_WEIGHT * (finish_in_s - self.finish_in_s)

    def note_admitted(self, tokens: int) -> None:
        """Take in what an admitted program is expected to keep."""
        self._admitted += 1
        weight = max(1.0 / self._admitted, PROGRAM_WEIGHT)
        size = min(float(tokens), MAX_SIZE_FACTOR * self.tokens) if self.tokens else float(tokens)
        self.tokens += weight * (size - self.tokens)


class AverageCapacity:
    """The servers of a service, as the gateways that asked lately believe on average.

    :ivar slots: that sound ones offer.
    :ivar memory_tokens: that their engines hold.
    """

    def __init__(self) -> None:
        self.slots = 0.0
        self.memory_tokens = 0.0
        self._asked_at_s = float("-inf")

    def note_asked(self, ask: AskRoom, now_s: float) -> None:
        """Take in what the gateway that asks believes."""
        weight = CAPACITY_WEIGHT if now_s - self._asked_at_s <= CAPACITY_EXPIRY_SECONDS else 1.0
        self._asked_at_s = now_s
        self.slots += weight * (ask.places - self.slots)
        self.memory_tokens += weight * (ask.memory_tokens - self.memory_tokens)
