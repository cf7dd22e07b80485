"""Selection of routes by host and longest path prefix, and of services by weight."""

from collections import defaultdict

from yarrowwall.messages.quotas import TenantLimit
from yarrowwall.model import Configuration, Route, ServiceShare, Tenant


class RouteTable:
    """The routes of one configuration version.

    Services of a route with several shares are chosen by smooth weighted round-robin, so that
    even short sequences of requests follow the weights closely.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = defaultdict(list)
        for route in configuration.routes:
            self._by_host[route.host.lower()].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._weight_credit: dict[tuple[str, str], float] = defaultdict(float)
        self._by_key = {
            key: tenant for tenant in configuration.tenants or () for key in tenant.api_keys
        }

    @property
    def needs_keys(self) -> bool:
        """Return whether callers need a key, except on public routes."""
        return self.configuration.tenants is not None

    def tenant_of(self, api_key: str | None) -> Tenant | None:
        """Return the tenant that a key belongs to; None if there is none."""
        return self._by_key.get(api_key) if api_key else None

    def limit_of(self, tenant: Tenant) -> TenantLimit | None:
        """Return a tenant's rate limit; None if it has none."""
        if tenant.rate_per_s <= 0.0:
            return None
        return TenantLimit(self.configuration.version, tenant.rate_per_s, tenant.burst)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path; None without one."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.rpartition(":")[0], [])
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = 0.0
        best: ServiceShare | None = None
        for share in route.shares:
            key = (route.name, share.service)
            self._weight_credit[key] += share.weight
            total += share.weight
            if (
                best is None
                or self._weight_credit[key] > self._weight_credit[(route.name, best.service)]
            ):
                best = share
        if best is None:
            return ""
        self._weight_credit[(route.name, best.service)] -= total
        return best.service
