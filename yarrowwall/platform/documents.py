"""Conversion of the platform's objects to the types of this project."""

import time
from collections.abc import Callable
from typing import Any

from yarrowwall.exceptions import EntryFault, UnusableEntryError
from yarrowwall.model import (
    CallerLimits,
    Configuration,
    EngineTraits,
    Incarnation,
    RequestKind,
    Route,
    Server,
    Service,
    ServiceShare,
    Tenant,
)
from yarrowwall.platform import names
from yarrowwall.platform.server_entries import read_incarnation, read_server
from yarrowwall.ports.object_store import StoredObject

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "mutating": RequestKind.MUTATING,
    "streaming": RequestKind.STREAM,
}


class PlatformDocuments:
    """Converts the platform's objects.

    :param wall_clock: returns the Unix time in seconds; starts of servers far ahead of it are
        invalid.
    """

    servers_kind = names.SERVERS
    configuration_kind = names.CONFIGURATION
    configuration_name = names.NEWEST_CONFIGURATION
    retirements_kind = names.RETIREMENTS

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock

    def server(self, item: StoredObject) -> Server:
        """Return the server of an entry.

        :raises UnusableEntryError: if the entry describes no usable server.
        """
        if not item.is_readable:
            raise UnusableEntryError(EntryFault.UNREADABLE, "spec")
        return read_server(item.name, item.spec, self._wall_clock())

    def server_incarnation(self, item: StoredObject) -> Incarnation:
        """Return the incarnation of an entry; without a start time if that can't be read."""
        return read_incarnation(item.name, item.spec, self._wall_clock())

    def configuration(self, item: StoredObject) -> Configuration | None:
        """Return the operators' configuration; None if the object is a different one."""
        if item.name != names.NEWEST_CONFIGURATION:
            return None
        spec = item.spec
        return Configuration(
            int(spec["version"]),
            tuple(_route(route) for route in spec.get("routes", [])),
            {service["name"]: _service(service) for service in spec.get("services", [])},
            _limits(spec.get("limits") or {}),
            _tenants(spec["tenants"]) if spec.get("tenants") is not None else None,
        )

    def retirement_status(self, is_complete: bool) -> dict[str, Any]:
        """Return the status to store for a storage machine that is being retired."""
        return {"state": "complete" if is_complete else "running"}


def _route(spec: dict[str, Any]) -> Route:
    shares = [
        ServiceShare(part["service"], float(part["weight"])) for part in spec.get("split") or []
    ]
    if not shares:
        shares = [ServiceShare(spec["service"], 1.0)]
    timeout_ms = float(spec.get("timeout_ms") or 30_000)
    return Route(
        name=spec.get("name", ""),
        host=spec["host"],
        prefix=spec.get("path_prefix", "/"),
        kind=_KINDS.get(spec.get("type", ""), RequestKind.MUTATING),
        shares=tuple(shares),
        timeout_s=timeout_ms / 1000.0,
        attempts=max(1, int(spec.get("attempts") or 1)),
        priority=int(spec.get("priority") or 0),
        is_stateful=bool(spec.get("stateful")),
        retention_s=float(spec.get("retain_s") or 0.0),
        is_sticky=bool(spec.get("sticky")),
        is_resumable=bool(spec.get("resumable")),
        is_public=bool(spec.get("public")),
    )


def _tenants(specs: list[dict[str, Any]]) -> tuple[Tenant, ...]:
    """Return the tenants of a configuration.

    :raises ValueError: if two tenants share a name or a key, or a tenant is invalid.
    """
    tenants = tuple(_tenant(spec) for spec in specs)
    seen_names: set[str] = set()
    holders: dict[str, str] = {}
    for tenant in tenants:
        if tenant.name in seen_names:
            raise ValueError(f"tenant {tenant.name!r} is defined twice")
        seen_names.add(tenant.name)
        for key in tenant.api_keys:
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                raise ValueError(f"tenants {holder!r} and {tenant.name!r} hold the same key")
    return tenants


def _tenant(spec: dict[str, Any]) -> Tenant:
    priority = spec.get("priority")
    tenant = Tenant(
        spec["name"],
        tuple(spec.get("api_keys") or ()),
        int(priority) if priority is not None else None,
        float(spec.get("rate_per_s") or 0.0),
        float(spec.get("burst") or 0.0),
    )
    if not tenant.name:
        raise ValueError("a tenant has no name")
    for limit in ("rate_per_s", "burst"):
        if getattr(tenant, limit) < 0.0:
            raise ValueError(f"tenant {tenant.name!r}: {limit} is negative")
    return tenant


def _service(spec: dict[str, Any]) -> Service:
    engine = spec.get("engine")
    traits = None
    if engine:
        traits = EngineTraits(
            int(engine.get("slots") or 1),
            int(engine.get("kv_capacity") or 0),
            int(engine.get("chunk_tokens") or 1),
        )
    return Service(spec["name"], traits)


def _limits(spec: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(spec.get("max_header_bytes") or defaults.header_bytes),
        int(spec.get("max_body_bytes") or defaults.body_bytes),
        float(spec.get("header_timeout_ms") or defaults.header_seconds * 1000) / 1000.0,
        float(spec.get("idle_timeout_ms") or defaults.idle_seconds * 1000) / 1000.0,
    )
