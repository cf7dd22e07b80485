"""The room of a service, measured from what a gateway knows of its servers. No I/O."""

from yarrowwall.model import Service
from yarrowwall.policy.capacity_forecast import ServiceCapacity
from yarrowwall.policy.servers import (
    SLOW_FACTOR,
    ServerDirectory,
    ServerState,
    median_service_time_s,
    recent_service_time_s,
)


def measure_capacity(directory: ServerDirectory, service: Service, now_s: float) -> ServiceCapacity:
    """Return a service's places and what is taken of them."""
    listed = [
        state
        for state in directory.states.values()
        if state.server.service == service.name and state.vanished_at is None
    ]
    sound = directory.candidates(service.name, (), now_s)
    cache_tokens = service.engine.cache_tokens if service.engine is not None else 0
    return ServiceCapacity(
        sum(directory.load(state, now_s) for state in sound),
        round(_places(sound, now_s)),
        sum(directory.load(state, now_s) for state in listed),
        sum(state.server.slots for state in listed),
        cache_tokens * len(sound),
        directory.loads_age_s(now_s),
    )


def _places(states: list[ServerState], now_s: float) -> float:
    """Return the places of servers; one that is slow counts for as much less."""
    usual = median_service_time_s(states, now_s)
    found = 0.0
    for state in states:
        pace = recent_service_time_s(state, now_s)
        is_slow = pace is not None and pace > SLOW_FACTOR * usual
        factor = usual / pace if is_slow and pace else 1.0
        found += state.server.slots * factor
    return found
