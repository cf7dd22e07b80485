"""Room for new programs at a service, as a forecast from what is under way. No I/O."""

from typing import NamedTuple

from yarrowwall.messages.capacity import Scarce

#: Part of the places of sound servers that programs under way may take. A program is wanted within
#: about twice its time on idle servers, and up to four fifths of its places an engine is slower
#: by less than that; above, turns queue, and a late program keeps its memory for longer. It also
#: covers what gateways admit within the age of the sums and the unevenness of placement.
PLACES_SHARE = 0.8
#: The same where memory is ample: turns may wait a little.
AMPLE_PLACES_SHARE = 1.25
#: Times the memory that a program in each place keeps, from which memory is ample.
AMPLE_FACTOR = 4.0
#: Part of all places that must be taken before a program is refused: under half of them some
#: server is free, whatever the forecast says.
REFUSE_FROM_SHARE = 0.5
#: Part of the engines' memory that prompts of programs' own may take. The rest is for parts that
#: all programs share, for what is made, and for engines that get more than the mean; beyond it
#: prompts push one another out and are read again, which takes the time that others need.
MEMORY_SHARE = 0.75


def free_places(places: float, taken: float, memory_tokens: int = 0, tokens: int = 0) -> float:
    """Return the places that more programs may take.

    :param places: of sound servers.
    :param taken: requests under way there.
    :param memory_tokens: that their engines hold.
    :param tokens: that programs are usually expected to keep; 0 if untold.
    """
    is_ample = tokens > 0 and memory_tokens >= AMPLE_FACTOR * places * tokens
    return (AMPLE_PLACES_SHARE if is_ample else PLACES_SHARE) * places - taken


class ServiceRoom(NamedTuple):
    """The servers of a service as one gateway sees them.

    :param taken: requests under way at sound servers, of all gateways as far as known.
    :param places: of sound servers; slower ones count for as much less.
    :param listed_taken: requests under way at all servers, sound or not.
    :param listed_places: of all servers.
    :param memory_tokens: that their engines hold.
    :param age_s: how old the sums of other gateways are.
    """

    taken: int
    places: int
    listed_taken: int
    listed_places: int
    memory_tokens: int
    age_s: float

    @property
    def is_open(self) -> bool:
        """Return whether so much is free that no program may be refused."""
        return self.listed_taken < REFUSE_FROM_SHARE * self.listed_places


class UnderWay(NamedTuple):
    """What all gateways told of their programs at a service.

    :param between: programs between two turns that are likely to go on.
    :param tokens: of prompts of their own that engines keep for programs under way.
    """

    between: int = 0
    tokens: int = 0


class Forecast(NamedTuple):
    """How many programs there is room for, and what is scarcer."""

    programs: float
    scarce: Scarce


def forecast(
    free: float, memory_tokens: int, under_way: UnderWay, begun: int, tokens: int
) -> Forecast:
    """Return how many more programs there is room for.

    :param free: places that more programs may take.
    :param begun: programs that were admitted lately and aren't in the sums yet.
    :param tokens: that one program is expected to keep.
    """
    places = free - begun
    kept = max(tokens, 1)
    memory = (MEMORY_SHARE * memory_tokens - under_way.tokens) / kept - begun
    if memory < places and memory_tokens:
        return Forecast(memory, Scarce.MEMORY)
    return Forecast(places, Scarce.PLACES)
