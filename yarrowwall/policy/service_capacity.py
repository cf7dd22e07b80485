"""The capacity of a service, computed from what a gateway knows of its servers. No I/O."""

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
    """Return the slots of a service's servers and the load on them."""
    listed = [
        state
        for state in directory.states.values()
        if state.server.service == service.name and state.vanished_at is None
    ]
    healthy = directory.candidates(service.name, (), now_s)
    cache_tokens = service.engine.cache_tokens if service.engine is not None else 0
    return ServiceCapacity(
        sum(directory.load(state, now_s) for state in healthy),
        round(_effective_slots(healthy, now_s)),
        sum(directory.load(state, now_s) for state in listed),
        sum(state.server.slots for state in listed),
        cache_tokens * len(healthy),
        directory.loads_age_s(now_s),
    )


def _effective_slots(states: list[ServerState], now_s: float) -> float:
    """Return the slots of servers; those of a slow server count for proportionally less."""
    median_s = median_service_time_s(states, now_s)
    slots = 0.0
    for state in states:
        service_time_s = recent_service_time_s(state, now_s)
        is_slow = service_time_s is not None and service_time_s > SLOW_FACTOR * median_s
        factor = median_s / service_time_s if is_slow and service_time_s else 1.0
        slots += state.server.slots * factor
    return slots
