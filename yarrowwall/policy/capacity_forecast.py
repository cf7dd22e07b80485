"""Room for new programs at a service, as a forecast from what is under way. No I/O."""

from typing import NamedTuple

from yarrowwall.messages.capacity import Scarce

#: Part of the places of sound servers that programs under way may take. A program is wanted within
#: about twice its time on idle servers, and up to four fifths of its places an engine is slower
#: by less than that; above, turns queue, and a late program keeps its memory for longer. It also
#: covers what gateways admit within the age of the sums and the unevenness of placement.
SLOTS_SHARE = 0.8
#: The same where memory is ample: turns may wait a little.
LARGE_CACHE_SLOTS_SHARE = 1.25
#: Times the memory that a program in each place keeps, from which memory is ample.
LARGE_CACHE_FACTOR = 4.0
#: Part of all places that must be taken before a program is refused: under half of them some
#: server is free, whatever the forecast says.
REFUSAL_SHARE = 0.5
#: Part of the engines' memory that prompts of programs' own may take. The rest is for parts that
#: all programs share, for what is made, and for engines that get more than the mean; beyond it
#: prompts push one another out and are read again, which takes the time that others need.
MEMORY_SHARE = 0.75


def free_slots(places: float, taken: float, memory_tokens: int = 0, tokens: int = 0) -> float:
    """Return the places that more programs may take.

    :param places: of sound servers.
    :param taken: requests under way there.
    :param memory_tokens: that their engines hold.
    :param tokens: that programs are usually expected to keep; 0 if untold.
    """
    is_ample = tokens > 0 and memory_tokens >= LARGE_CACHE_FACTOR * places * tokens
    return (LARGE_CACHE_SLOTS_SHARE if is_ample else SLOTS_SHARE) * places - taken


class ServiceCapacity(NamedTuple):
    """The servers of a service as one gateway sees them.

    :param requests: requests under way at sound servers, of all gateways as far as known.
    :param slots: of sound servers; slower ones count for as much less.
    :param listed_requests: requests under way at all servers, sound or not.
    :param listed_slots: of all servers.
    :param memory_tokens: that their engines hold.
    :param age_s: how old the sums of other gateways are.
    """

    requests: int
    slots: int
    listed_requests: int
    listed_slots: int
    memory_tokens: int
    age_s: float

    @property
    def is_open(self) -> bool:
        """Return whether so much is free that no program may be refused."""
        return self.listed_requests < REFUSAL_SHARE * self.listed_slots


class ReportedPrograms(NamedTuple):
    """What all gateways told of their programs at a service.

    :param between: programs between two turns that are likely to go on.
    :param tokens: of prompts of their own that engines keep for programs under way.
    """

    between: int = 0
    tokens: int = 0


class CapacityForecast(NamedTuple):
    """How many programs there is room for, and what is scarcer."""

    programs: float
    scarce: Scarce


def forecast(
    free: float, memory_tokens: int, under_way: ReportedPrograms, begun: int, tokens: int
) -> CapacityForecast:
    """Return how many more programs there is room for.

    :param free: places that more programs may take.
    :param begun: programs that were admitted lately and aren't in the sums yet.
    :param tokens: that one program is expected to keep.
    """
    places = free - begun
    kept = max(tokens, 1)
    memory = (MEMORY_SHARE * memory_tokens - under_way.tokens) / kept - begun
    if memory < places and memory_tokens:
        return CapacityForecast(memory, Scarce.MEMORY)
    return CapacityForecast(places, Scarce.PLACES)
