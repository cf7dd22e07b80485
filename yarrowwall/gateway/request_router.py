"""Which requests are let in: their route, their tenant, and whether that can be told. No I/O."""

from collections.abc import Callable
from http import HTTPStatus

from yarrowwall.gateway.keys import fingerprint
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.model import Attempt, Route, Service
from yarrowwall.policy.freshness import TOO_OLD, Freshness
from yarrowwall.policy.retry_after import SHORTAGE_SECONDS, after_outage_s
from yarrowwall.refusals import Refusal, RefusedError, unavailable


class RequestRouter:
    """Finds route and tenant of attempts by the configuration in force.

    :param now: the monotonic clock.
    :ivar table: routes and keys in force; None before the first configuration.
    """

    def __init__(self, freshness: Freshness, now: Callable[[], float]) -> None:
        self._freshness = freshness
        self._now = now
        self.table: RouteTable | None = None

    def match(self, attempt: Attempt) -> Route:
        """Return an attempt's route, and note its tenant in the attempt.

        :raises RefusedError: if there is none, no configuration is known, nobody holds the
            attempt's key, or the configuration is too old to tell.
        """
        if self.table is None:
            raise unavailable("no configuration is known", SHORTAGE_SECONDS)
        route = self.table.match(attempt.host, attempt.path)
        if route is None:
            raise self._denied(attempt, Refusal(HTTPStatus.NOT_FOUND, "no route"))
        self._identify(attempt, route, self.table)
        return route

    def service_for(self, route: Route) -> str:
        """Return the service that the next request of a route goes to; empty if none is known."""
        return self.table.choose_service(route) if self.table is not None else ""

    def main_service(self, route: Route) -> Service | None:
        """Return the service that gets most of a route's requests, as it is configured."""
        return self.services.get(route.shares[0].service) if route.shares else None

    @property
    def services(self) -> dict[str, Service]:
        """Return the services by name; none before the first configuration."""
        return self.table.configuration.services if self.table is not None else {}

    def _identify(self, attempt: Attempt, route: Route, table: RouteTable) -> None:
        """Note whose attempt it is, and so how urgent and how limited."""
        attempt.priority = route.priority
        if not table.needs_keys:
            return
        tenant = table.tenant_of(attempt.api_key)
        if tenant is not None:
            if not route.is_public and not self._freshness.may_serve_keys(attempt.arrived_at):
                raise self._too_old(attempt)
            attempt.tenant = tenant.name
            attempt.limit = table.limit_of(tenant)
            if tenant.priority is not None:
                attempt.priority = tenant.priority
        elif not route.is_public:
            reason = _unknown_key(attempt.api_key)
            raise self._denied(attempt, Refusal(HTTPStatus.UNAUTHORIZED, reason))

    def _denied(self, attempt: Attempt, refusal: Refusal) -> RefusedError:
        """Return a denial, if the configuration is fresh enough to tell."""
        if self._freshness.may_deny(attempt.arrived_at):
            return RefusedError(refusal)
        return self._too_old(attempt)

    def _too_old(self, attempt: Attempt) -> RefusedError:
        now = self._now()
        reason = f"{TOO_OLD} {self._freshness.age_s(now):.2f} s ago"
        expired_for_s = self._freshness.expired_for_s(now)
        return unavailable(reason, after_outage_s(expired_for_s, attempt.attempt_id))


def _unknown_key(api_key: str | None) -> str:
    """Return why a caller is not known."""
    if api_key is None:
        return "there is no key, or more than one"
    return f"no tenant holds the key {fingerprint(api_key)}"
