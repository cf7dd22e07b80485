"""A gateway's state: the configuration in force, whether callers are welcome, its stop."""

from typing import Protocol

from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.gateway.components import GatewayComponents
from yarrowwall.gateway.keys import key_changes
from yarrowwall.gateway.request_router import RequestRouter
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.model import Configuration

#: Seconds after a stop was asked for in which every request is taken: clients still come.
STOP_WELCOME_SECONDS = 3.0
#: Seconds from a process's start in which a request waits for the first reading of the
#: platform's store. The reading takes 0.02 s if the store answers at once; beyond this the
#: store is slow or away, and callers are better told to come back.
START_HOLD_SECONDS = 0.4


class ActiveRequest(Protocol):
    """A request under way."""

    def apply_routes(self, table: RouteTable) -> None:
        """Take in the routes that are in force from now on."""

    def note_process_ended(self) -> None:
        """Log that the end of the process ends the request."""


class GatewayState:
    """What a gateway knows, and whether it takes requests.

    :ivar active_requests: requests whose answers are not written to their end.
    """

    def __init__(self, components: GatewayComponents) -> None:
        self.components = components
        self._now = components.dispatch.now
        self.router = RequestRouter(components.freshness, self._now)
        self.active_requests: set[ActiveRequest] = set()
        self._stops_at: float | None = None
        self._refuses_from = 0.0
        self._holds_until = self._now() + START_HOLD_SECONDS
        self._initial_load = Event()

    def note_initial_load(self) -> None:
        """Note that configuration, servers and replicas were read for the first time."""
        if not self._initial_load.ready():
            self._initial_load.send()

    def wait_for_initial_load(self) -> None:
        """Hold a request that came before the first reading, for a moment at most.

        Right after a start callers may have tried once already, and a refusal would end
        their programs.
        """
        left = self._holds_until - self._now()
        if left > 0.0 and not self._initial_load.ready():
            self._initial_load.wait(left)

    @property
    def table(self) -> RouteTable | None:
        """Return the routes and keys in force; None before the first configuration."""
        return self.router.table

    @property
    def is_stopping(self) -> bool:
        """Return whether the process was asked to stop."""
        return self._stops_at is not None

    @property
    def should_close_connections(self) -> bool:
        """Return whether callers had better come back through another gateway.

        One that is out of the replicas' reach can run no turn, one whose configuration is
        too old serves no key, and callers stay with a connection for as long as it is kept.
        """
        is_able = self.components.programs.is_reachable and self.serves_keys
        return self.is_stopping or not is_able

    @property
    def configuration_age_s(self) -> float:
        """Return the seconds since the configuration in force was proved to be the newest."""
        return self.components.freshness.age_s(self._now())

    @property
    def serves_keys(self) -> bool:
        """Return whether the configuration is fresh enough for callers with keys, if any."""
        needs_keys = self.table is not None and self.table.needs_keys
        return not needs_keys or self.components.freshness.may_serve_keys(self._now())

    def stop(self, now: float, stops_at: float) -> None:
        """Close connections behind their answers; later take only what ends in time.

        :param stops_at: when the process ends, whatever runs then.
        """
        self._stops_at = stops_at
        self._refuses_from = now + STOP_WELCOME_SECONDS

    @property
    def running(self) -> int:
        """Return how many requests are under way."""
        return len(self.active_requests)

    def note_process_ended(self) -> None:
        """Log which requests the end of the process ends."""
        for request in self.active_requests:
            request.note_process_ended()

    def has_time_for(self, now: float, end: float) -> bool:
        """Return whether a request that may last until ``end`` is still taken."""
        is_welcome = self._stops_at is None or now < self._refuses_from
        return is_welcome or end <= (self._stops_at or end)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Take a configuration unless it is older than the one in force."""
        if self.table is not None and configuration.version <= self.table.configuration.version:
            return False
        before = self.table.configuration if self.table is not None else None
        self.router.table = RouteTable(configuration)
        for request in self.active_requests:
            request.apply_routes(self.router.table)
        self.components.limits.current = configuration.limits
        log = self.components.dispatch.decisions
        log.write(
            decisions.ConfigurationInForce(
                configuration.version, len(configuration.routes), len(configuration.services)
            )
        )
        for change in key_changes(before, configuration):
            log.write(decisions.KeysChanged(configuration.version, *change))
        return True
