"""The controller of a zone: orders engines to serve the configured models.

The controller is the node that holds a lease in the platform's object store.
Clocks of different nodes are not compared: a candidate takes the lease over when
the object has not changed for the length of a lease on the candidate's own clock.
The term rises with every new holder, and engines refuse orders of a lower term
than they have seen, so a holder that was paused past its lease does no harm.
"""

import json
from dataclasses import dataclass

from yarrowwall.messages.peers import Document
from yarrowwall.standalone.core.configuration.models import (
    CONTROLLER_LEASE,
    Configuration,
    ControllerLease,
)
from yarrowwall.standalone.core.configuration.transactions import (
    TransactionOutcome,
    TransactionResult,
    TransactionTable,
)
from yarrowwall.standalone.core.effects import OrderEngine
from yarrowwall.standalone.core.events import EngineOrdered
from yarrowwall.standalone.core.exceptions import ConfigurationError
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.scheduling.types import EngineMachine

#: Number of renewals within the length of a lease.
RENEWALS_PER_LEASE = 3


class LeaseHeldError(ConfigurationError):
    """Another node holds the lease."""


@dataclass
class _Observed:
    version: int
    since: float


def wanted_models(configuration: Configuration, zone: str) -> tuple[str, ...]:
    """Return the models that a zone's engines should serve, adapters as ``model:adapter``."""
    names = set()
    for intent in configuration.intents.serving:
        if zone in intent.zones:
            names.add(intent.model)
            if intent.adapter is not None:
                names.add(f"{intent.model}:{intent.adapter}")
    return tuple(sorted(names))


class Controller:
    """Competes for the zone's controller lease and orders the engines while holding it."""

    def __init__(
        self,
        node_id: str,
        zone: str,
        limits: Limits,
        transactions: TransactionTable,
        outbox: Outbox,
    ) -> None:
        self._node_id = node_id
        self._zone = zone
        self._limits = limits
        self._transactions = transactions
        self._outbox = outbox
        self._observed: _Observed | None = None
        self._term = 0
        self._held_until = 0.0
        self._attempts = 0
        self._confirmed_orders: dict[str, tuple[int, tuple[str, ...]]] = {}

    def holds_lease(self, now: float) -> bool:
        """Return whether this node holds the lease according to its own clock."""
        return now < self._held_until

    def renew(self, now: float) -> None:
        """Renew the lease, or take it over if its holder has not renewed it."""
        self._attempts += 1
        operation_id = f"lease/{self._node_id}/{self._attempts}"
        held_until = now + self._limits.lease

        def change(document: Document | None) -> bytes:
            return self._next_lease(now, document, operation_id).model_dump_json().encode()

        def finish(result: TransactionResult) -> None:
            if result.outcome is TransactionOutcome.DONE and result.document is not None:
                lease = ControllerLease.model_validate_json(result.document.body)
                if lease.holder == self._node_id:
                    self._term = lease.term
                    self._held_until = held_until

        self._transactions.begin(
            now,
            operation_id,
            f"{CONTROLLER_LEASE}/{self._zone}",
            change,
            lambda body: operation_id in json.loads(body)["operations"],
            finish,
        )

    def _next_lease(
        self, now: float, document: Document | None, operation_id: str
    ) -> ControllerLease:
        if document is None:
            return self._lease(1, 0, operation_id)
        lease = ControllerLease.model_validate_json(document.body)
        if lease.holder == self._node_id and self._term == lease.term:
            return self._lease(lease.term, lease.renewal + 1, operation_id)
        if self._observed is None or self._observed.version != document.version:
            self._observed = _Observed(document.version, now)
        if now - self._observed.since < self._limits.lease:
            raise LeaseHeldError(f"{lease.holder} holds the lease")
        return self._lease(lease.term + 1, 0, operation_id)

    def _lease(self, term: int, renewal: int, operation_id: str) -> ControllerLease:
        return ControllerLease(
            holder=self._node_id, term=term, renewal=renewal, operations=[operation_id]
        )

    def reconcile(
        self, now: float, configuration: Configuration, engines: list[EngineMachine]
    ) -> None:
        """Send an order to every engine that has not confirmed the wanted models."""
        models = wanted_models(configuration, self._zone)
        if not self.holds_lease(now) or not models:
            return
        for engine in engines:
            is_controlled = engine.zone == self._zone and not engine.leaving
            if is_controlled and self._confirmed_orders.get(engine.engine_id) != (
                self._term,
                models,
            ):
                self._outbox.emit(OrderEngine(engine.engine_id, engine.address, self._term, models))

    def handle_ordered(self, event: EngineOrdered) -> None:
        """Handle an engine's answer; a refusal means that another node holds the lease."""
        if event.accepted:
            self._confirmed_orders[event.engine_id] = (event.term, event.models)
        elif event.term == self._term:
            self._held_until = 0.0
