"""Forecast of how many more programs a service has capacity for. No I/O."""

from typing import NamedTuple

from yarrowwall.messages.capacity import Scarce

#: Share of the slots of healthy servers that active programs may use. Programs should finish within
#: about twice their time on idle servers. An engine stays within that up to four fifths of its
#: slots; above, turns queue and late programs keep their cache memory for longer. The rest also
#: covers what gateways admit between two load reports, and uneven placement.
SLOTS_SHARE = 0.8
#: The same while cache memory is plentiful, so that turns may queue for a short time.
LARGE_CACHE_SLOTS_SHARE = 1.25
#: Cache memory is plentiful if it holds this many typical programs for each slot.
LARGE_CACHE_FACTOR = 4.0
#: Share of all slots that must be in use before a program is refused. Below half, some server is
#: free, whatever the forecast says.
REFUSAL_SHARE = 0.5
#: Share of the engines' cache memory for prompts that belong to single programs. The rest holds
#: prefixes that programs share and generated tokens, and covers engines with more than their even
#: share. Above it, prompts evict one another and must be prefilled again.
MEMORY_SHARE = 0.75


def free_slots(slots: float, requests: float, memory_tokens: int = 0, tokens: int = 0) -> float:
    """Return the slots that more programs may use; negative if too many are in use.

    :param slots: slots of healthy servers.
    :param requests: requests in progress at these servers.
    :param memory_tokens: token capacity of their engines' caches.
    :param tokens: cache tokens that a typical program needs; 0 if unknown.
    """
    is_cache_large = tokens > 0 and memory_tokens >= LARGE_CACHE_FACTOR * slots * tokens
    return (LARGE_CACHE_SLOTS_SHARE if is_cache_large else SLOTS_SHARE) * slots - requests


class ServiceCapacity(NamedTuple):
    """Slots, load and cache memory of a service, as known to one gateway.

    :param requests: requests of all gateways in progress at healthy servers, by the last report.
    :param slots: slots of healthy servers; slow servers count for proportionally fewer.
    :param listed_requests: requests in progress at all listed servers, healthy or not.
    :param listed_slots: slots of all listed servers.
    :param memory_tokens: token capacity of the caches of healthy servers' engines.
    :param age_s: seconds since the other gateways' loads were received.
    """

    requests: int
    slots: int
    listed_requests: int
    listed_slots: int
    memory_tokens: int
    age_s: float

    @property
    def is_open(self) -> bool:
        """Return whether so many slots are free that no program may be refused."""
        return self.listed_requests < REFUSAL_SHARE * self.listed_slots


class ReportedPrograms(NamedTuple):
    """Active programs at a service, as reported by all gateways.

    :param between: programs between two turns that are likely to continue.
    :param tokens: cache tokens that active programs use, without prefixes shared among them.
    """

    between: int = 0
    tokens: int = 0


class CapacityForecast(NamedTuple):
    """The number of programs that there is capacity for, and the scarcer resource."""

    programs: float
    scarce: Scarce


def forecast(
    free: float, memory_tokens: int, reported: ReportedPrograms, begun: int, tokens: int
) -> CapacityForecast:
    """Return how many more programs the service has capacity for.

    :param free: slots that more programs may use.
    :param memory_tokens: token capacity of the engines' caches.
    :param begun: programs that were admitted too recently to be included in the reports.
    :param tokens: cache tokens that one program is expected to need.
    """
    by_slots = free - begun
    needed = max(tokens, 1)
    by_memory = (MEMORY_SHARE * memory_tokens - reported.tokens) / needed - begun
    if by_memory < by_slots and memory_tokens:
        return CapacityForecast(by_memory, Scarce.MEMORY)
    return CapacityForecast(by_slots, Scarce.PLACES)
