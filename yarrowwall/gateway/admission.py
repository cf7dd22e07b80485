"""Which requests are let in: their route, their tenant, and whether that can be told. No I/O."""

from collections.abc import Callable

from yarrowwall.dispatch.offer import RETRY_AFTER_SECONDS
from yarrowwall.gateway.keys import fingerprint
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.model import Attempt, Route
from yarrowwall.policy.freshness import TOO_OLD, Freshness
from yarrowwall.policy.retry_after import return_after_s
from yarrowwall.refusals import Refusal, RefusedError

_KEY_UNKNOWN = 401
_NOT_FOUND = 404
_UNAVAILABLE = 503


class Admission:
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
            raise RefusedError(
                Refusal(_UNAVAILABLE, "no configuration is known", RETRY_AFTER_SECONDS)
            )
        route = self.table.match(attempt.host, attempt.path)
        if route is None:
            raise self._denied(attempt, Refusal(_NOT_FOUND, "no route"))
        self._identify(attempt, route, self.table)
        return route

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
            raise self._denied(attempt, Refusal(_KEY_UNKNOWN, _unknown_key(attempt.api_key)))

    def _denied(self, attempt: Attempt, refusal: Refusal) -> RefusedError:
        """Return a denial, if the configuration is fresh enough to tell."""
        if self._freshness.may_deny(attempt.arrived_at):
            return RefusedError(refusal)
        return self._too_old(attempt)

    def _too_old(self, attempt: Attempt) -> RefusedError:
        now = self._now()
        reason = f"{TOO_OLD} {self._freshness.age_s(now):.2f} s ago"
        after_s = return_after_s(self._freshness.unserved_s(now), attempt.attempt_id)
        return RefusedError(Refusal(_UNAVAILABLE, reason, after_s))


def _unknown_key(api_key: str | None) -> str:
    """Return why a caller is not known."""
    if api_key is None:
        return "there is no key, or more than one"
    return f"no tenant holds the key {fingerprint(api_key)}"
