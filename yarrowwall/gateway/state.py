"""State of a gateway: current configuration, active requests, and its shutdown."""

from typing import Protocol

from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.gateway.components import GatewayComponents
from yarrowwall.gateway.keys import key_changes
from yarrowwall.gateway.request_router import RequestRouter
from yarrowwall.gateway.routing import RouteTable
from yarrowwall.model import Configuration

#: Seconds after the start of a shutdown for which every request is accepted, since clients keep
#: sending new ones.
STOP_GRACE_SECONDS = 3.0
#: Seconds after the start of the process for which requests wait for the first read of the
#: platform store. The read takes 0.02 s if the store answers at once; if it takes longer, the
#: store is slow or unreachable, and callers are refused with a time to retry after.
START_HOLD_SECONDS = 0.4


class ActiveRequest(Protocol):
    """A request that is being processed."""

    def apply_routes(self, table: RouteTable) -> None:
        """Update the request's time limit from a new route table."""

    @property
    def is_unanswered(self) -> bool:
        """Return whether no response has started."""

    def end_unanswered(self) -> None:
        """Give the caller a final response now if none has started."""

    def note_process_ended(self) -> None:
        """Log that the request ends because the process does."""


class GatewayState:
    """Configuration and active requests of a gateway, and whether it accepts new ones.

    :ivar active_requests: requests whose responses are not completely written.
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
        """Note that configuration, servers and replicas have been read once."""
        if not self._initial_load.ready():
            self._initial_load.send()

    def wait_for_initial_load(self) -> None:
        """Wait for the first read of the store, until ``START_HOLD_SECONDS`` after the start.

        Right after a restart, callers may have failed once already and would end their programs
        at a second refusal.
        """
        left = self._holds_until - self._now()
        if left > 0.0 and not self._initial_load.ready():
            self._initial_load.wait(left)

    @property
    def table(self) -> RouteTable | None:
        """Return the current routes and keys; None before the first configuration."""
        return self.router.table

    @property
    def is_stopping(self) -> bool:
        """Return whether the gateway is shutting down."""
        return self._stops_at is not None

    @property
    def should_close_connections(self) -> bool:
        """Return whether callers should reconnect to another gateway.

        That is so during shutdown, while the replicas are unreachable and no turn can run, and
        while the configuration is too old to accept keys. Callers keep using a connection until
        it is closed.
        """
        can_serve = self.components.programs.is_reachable and self.serves_keys
        return self.is_stopping or not can_serve

    @property
    def configuration_age_s(self) -> float:
        """Return the seconds since the current configuration was last verified to be the newest."""
        return self.components.freshness.age_s(self._now())

    @property
    def serves_keys(self) -> bool:
        """Return whether no keys are needed or the configuration is fresh enough for them."""
        needs_keys = self.table is not None and self.table.needs_keys
        return not needs_keys or self.components.freshness.may_serve_keys(self._now())

    def stop(self, now: float, stops_at: float) -> None:
        """Start the shutdown.

        Connections are closed after their responses. After ``STOP_GRACE_SECONDS`` only requests
        that end before the process does are accepted.

        :param stops_at: when the process ends, even if requests are active then.
        """
        self._stops_at = stops_at
        self._refuses_from = now + STOP_GRACE_SECONDS

    def refuse_all(self) -> None:
        """Refuse all further requests, whenever they would end."""
        self._stops_at = self._refuses_from = self._now()

    @property
    def active_count(self) -> int:
        """Return the number of active requests."""
        return len(self.active_requests)

    @property
    def unanswered_count(self) -> int:
        """Return the number of active requests whose responses have not started."""
        return sum(request.is_unanswered for request in self.active_requests)

    def end_unanswered(self) -> None:
        """Give every request whose response has not started its final one."""
        for request in self.active_requests:
            request.end_unanswered()

    def note_process_ended(self) -> None:
        """Log the requests that end because the process does."""
        for request in self.active_requests:
            request.note_process_ended()

    def has_time_for(self, now: float, end: float) -> bool:
        """Return whether a request that may last until ``end`` is accepted.

        Streams may last until their caller's deadline, other requests until their route's timeout:
        they get a final response if it is raised.
        """
        accepts_all = self._stops_at is None or now < self._refuses_from
        return accepts_all or end <= (self._stops_at or end)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it is."""
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
