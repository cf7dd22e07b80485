"""Contents of the configuration, and seeded changes of them."""

import random
from collections.abc import Callable
from typing import Any

from features.support.platform_world import HOST

CHAT, TALK, FLOW, LOOKUP = "chat", "talk", "flow", "records"
#: Routes whose streams last seconds.
STREAMS = (CHAT, TALK, FLOW)
#: Services that run streams; routes move between them.
ENGINES = ("engines-a", "engines-b")
#: API keys of the clients, valid in every version.
CLIENT_KEYS = ("key-of-one", "key-of-two", "key-of-three")
#: Number of routes that are added and removed together.
MANY_ROUTES = 1_400
DEFAULT_TIMEOUT_MS = 4_000
TIMEOUTS_MS = (2_000, 3_000, 3_800, 4_000, 4_200, 5_000, 8_000)
#: Maximum number each of routes, services and tenants that are added and removed one by one.
_MAX_SPARE = 6
_ENGINE = {"slots": 16, "kv_capacity": 500_000, "chunk_tokens": 10}


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as operators write it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeout_ms": DEFAULT_TIMEOUT_MS,
        "slo_ms": 200,
        "attempts": 2,
        "priority": 1,
        "stateful": False,
        "retain_s": 60.0,
        "resumable": False,
        **fields,
    }


class Content:
    """The operators' configuration, which is changed step by step.

    :param rng: determines the values of each change.
    :ivar changes: the kinds of changes, by name.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._added = 0
        self._stream_routes = [
            route(CHAT, "streaming", ENGINES[0], stateful=True),
            route(TALK, "streaming", ENGINES[1], stateful=True),
            route(FLOW, "streaming", ENGINES[0]),
        ]
        self._lookups = route(LOOKUP, "mutating", LOOKUP)
        self._spare_routes: list[dict[str, Any]] = []
        self._many_routes: list[dict[str, Any]] = []
        self._limits = {
            "idle_timeout_ms": 15_000,
            "max_body_bytes": 65_536,
            "max_header_bytes": 16_384,
            "header_timeout_ms": 3_000,
        }
        self._max_conns = 100
        self._spare_services: list[str] = []
        self._tenants = [_tenant(key, [key]) for key in CLIENT_KEYS]
        self._spare_tenants: list[dict[str, Any]] = []
        self.changes: dict[str, Callable[[], None]] = {
            "route added": self._add_route,
            "route removed": lambda: self._drop(self._spare_routes),
            "many routes added": self._add_many_routes,
            "many routes removed": self._many_routes.clear,
            "weights": self._split,
            "route moved": self._move,
            "timeout": self._change_timeout,
            "idle limit": lambda: self._limit("idle_timeout_ms", (300, 1_000, 3_000, 15_000)),
            "body limit": lambda: self._limit("max_body_bytes", (8_192, 65_536)),
            "header limits": self._limit_headers,
            "connections": self._change_connections,
            "objective": lambda: self._set("slo_ms", (100, 200, 400)),
            "attempts": lambda: self._set("attempts", (1, 2, 3)),
            "priority": lambda: self._set("priority", (0, 1, 2)),
            "tenant added": self._add_tenant,
            "tenant removed": lambda: self._drop(self._spare_tenants),
            "tenant's limit": self._limit_tenant,
            "service added": self._add_service,
            "service removed": lambda: self._drop(self._spare_services),
        }

    def change(self, kind: str) -> None:
        """Make one change."""
        self.changes[kind]()

    def set_stream_timeouts(self, timeout_ms: int) -> None:
        """Give all routes of streams the same timeout."""
        for one in self._stream_routes:
            one["timeout_ms"] = timeout_ms

    @property
    def spec(self) -> dict[str, Any]:
        """Return the configuration without its version."""
        services = [*ENGINES, LOOKUP, *self._spare_services]
        return {
            "routes": [dict(one) for one in self._routes],
            "services": [
                {"name": name, "max_conns": self._max_conns, "engine": _ENGINE} for name in services
            ],
            "limits": dict(self._limits),
            "tenants": [dict(one) for one in [*self._tenants, *self._spare_tenants]],
        }

    @property
    def timeouts_s(self) -> dict[str, float]:
        """Return the timeout of each route that exists in every version."""
        kept = [*self._stream_routes, self._lookups]
        return {one["name"]: one["timeout_ms"] / 1000.0 for one in kept}

    @property
    def spare_routes(self) -> list[str]:
        """Return the names of the routes that are added and removed one by one."""
        return [one["name"] for one in list(self._spare_routes)]

    @property
    def _routes(self) -> list[dict[str, Any]]:
        return [*self._stream_routes, self._lookups, *self._spare_routes, *self._many_routes]

    def _number(self) -> int:
        self._added += 1
        return self._added

    def _drop(self, items: list[Any]) -> None:
        if items:
            items.remove(self._rng.choice(items))

    def _set(self, field: str, values: tuple[int, ...]) -> None:
        self._rng.choice([*self._stream_routes, self._lookups])[field] = self._rng.choice(values)

    def _limit(self, field: str, values: tuple[int, ...]) -> None:
        self._limits[field] = self._rng.choice(values)

    def _limit_headers(self) -> None:
        self._limit("max_header_bytes", (4_096, 16_384))
        self._limit("header_timeout_ms", (1_000, 3_000))

    def _add_route(self) -> None:
        if len(self._spare_routes) < _MAX_SPARE:
            self._spare_routes.append(route(f"spare-{self._number()}", "mutating", LOOKUP))

    def _add_many_routes(self) -> None:
        first = self._number()
        self._many_routes[:] = [
            route(f"many-{first}-{number}", "idempotent", LOOKUP) for number in range(MANY_ROUTES)
        ]

    def _split(self) -> None:
        weights = [(1, 9), (5, 5), (9, 1), (1, 0)]
        self._rng.choice(self._stream_routes)["split"] = [
            {"service": service, "weight": weight}
            for service, weight in zip(ENGINES, self._rng.choice(weights), strict=True)
        ]

    def _move(self) -> None:
        moved = self._rng.choice(self._stream_routes)
        moved.pop("split", None)
        moved["service"] = ENGINES[moved["service"] == ENGINES[0]]

    def _change_timeout(self) -> None:
        edited_content = self._rng.choice(self._stream_routes)
        edited_content["timeout_ms"] = self._rng.choice(TIMEOUTS_MS)

    def _change_connections(self) -> None:
        self._max_conns = self._rng.choice((10, 30, 100))

    def _add_tenant(self) -> None:
        if len(self._spare_tenants) < _MAX_SPARE:
            name = f"spare-{self._number()}"
            self._spare_tenants.append(_tenant(name, [f"key-of-{name}"]))

    def _limit_tenant(self) -> None:
        limited = self._rng.choice(self._tenants)
        limited["rate_per_s"], limited["burst"] = self._rng.choice(((0, 0), (40, 40), (200, 100)))
        limited["api_keys"] = [limited["name"], *self._rng.choice(([], [f"more-{self._number()}"]))]

    def _add_service(self) -> None:
        if len(self._spare_services) < _MAX_SPARE:
            self._spare_services.append(f"spare-{self._number()}")


def _tenant(name: str, keys: list[str]) -> dict[str, Any]:
    return {"name": name, "api_keys": keys, "rate_per_s": 0, "burst": 0}
