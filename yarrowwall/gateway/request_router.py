"""Finds the route and the tenant of requests, or the reason to refuse them. No I/O."""

from collections.abc import Callable
from http import HTTPStatus

from yarrowwall.gateway.keys import fingerprint
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.model import Attempt, Route, Service
from yarrowwall.policy.freshness import TOO_OLD, Freshness
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS, after_outage_s
from yarrowwall.refusals import Refusal, RefusedError, unavailable


class RequestRouter:
    """Finds the route and the tenant of attempts in the current configuration.

    :param now: the monotonic clock.
    :ivar table: current routes and keys; None before the first configuration.
    """

    def __init__(self, freshness: Freshness, now: Callable[[], float]) -> None:
        self._freshness = freshness
        self._now = now
        self.table: RouteTable | None = None

    def match(self, attempt: Attempt) -> Route:
        """Return an attempt's route, and set the attempt's tenant, priority and rate limit.

        :raises RefusedError: if no configuration is known, no route matches, the key belongs to
            no tenant, or the configuration is too old to decide.
        """
        if self.table is None:
            raise unavailable("no configuration is known", SHORTAGE_SECONDS)
        route = self.table.match(attempt.host, attempt.path)
        if route is None:
            raise self._denial(attempt, Refusal(HTTPStatus.NOT_FOUND, "no route"))
        self._set_tenant(attempt, route, self.table)
        return route

    def service_for(self, route: Route) -> str:
        """Return the service for the next request of a route; empty before a configuration."""
        return self.table.choose_service(route) if self.table is not None else ""

    def main_service(self, route: Route) -> Service | None:
        """Return the service of a route's first share; None if it is not configured."""
        return self.services.get(route.shares[0].service) if route.shares else None

    @property
    def services(self) -> dict[str, Service]:
        """Return the services by name; empty before the first configuration."""
        return self.table.configuration.services if self.table is not None else {}

    def _set_tenant(self, attempt: Attempt, route: Route, table: RouteTable) -> None:
        """Set an attempt's tenant, priority and rate limit."""
        attempt.priority = route.priority
        if not table.needs_keys:
            return
        tenant = table.tenant_of(attempt.api_key)
        if tenant is not None:
            if not route.is_public and not self._freshness.may_serve_keys(attempt.arrived_at):
                raise self._outdated(attempt)
            attempt.tenant = tenant.name
            attempt.limit = table.limit_of(tenant)
            if tenant.priority is not None:
                attempt.priority = tenant.priority
        elif not route.is_public:
            reason = _unknown_key_reason(attempt.api_key)
            raise self._denial(attempt, Refusal(HTTPStatus.UNAUTHORIZED, reason))

    def _denial(self, attempt: Attempt, refusal: Refusal) -> RefusedError:
        """Return a denial, or a temporary refusal if the configuration is too old to deny."""
        if self._freshness.may_deny(attempt.arrived_at):
            return RefusedError(refusal)
        return self._outdated(attempt)

    def _outdated(self, attempt: Attempt) -> RefusedError:
        now = self._now()
        reason = f"{TOO_OLD} {self._freshness.age_s(now):.2f} s ago"
        expired_for_s = self._freshness.expired_for_s(now)
        return unavailable(reason, after_outage_s(expired_for_s, attempt.attempt_id))


def _unknown_key_reason(api_key: str | None) -> str:
    """Return why no tenant was found for a key."""
    if api_key is None:
        return "there is no key, or more than one"
    return f"no tenant holds the key {fingerprint(api_key)}"
