"""The platform's machines known to a node, and the engines that it polls."""

from yarrowwall.standalone.core.configuration.models import Machine, MachineList
from yarrowwall.standalone.core.effects import PollEngine
from yarrowwall.standalone.core.lookups import LookupDispatcher
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.core.scheduling.scheduler import Scheduler
from yarrowwall.standalone.core.scheduling.types import EngineMachine

_ENGINE = "engine"
_LEAVING = "leaving"


class MachineTable:
    """Passes the current machine list to the scheduler and the lookups.

    :param outbox: receives the effects that start and stop the polling of engines.
    """

    def __init__(self, scheduler: Scheduler, lookups: LookupDispatcher, outbox: Outbox) -> None:
        self._scheduler = scheduler
        self._lookups = lookups
        self._outbox = outbox
        self._polled: dict[str, str] = {}
        self.machines: list[Machine] = []

    def engines(self) -> list[EngineMachine]:
        """Return the machines that are engines."""
        return [
            EngineMachine(item.machine_id, item.zone, item.address, item.state == _LEAVING)
            for item in self.machines
            if item.kind == _ENGINE
        ]

    def update(self, found: MachineList) -> None:
        """Use a newer machine list."""
        self.machines = found.machines
        self._scheduler.set_machines(self.engines())
        self._lookups.set_machines(self.machines)
        self._poll_used()

    def _poll_used(self) -> None:
        """Poll the engines that the scheduler uses, at their current addresses."""
        used = {
            engine_id: view.machine.address for engine_id, view in self._scheduler.engines().items()
        }
        for engine_id, address in self._polled.items():
            if used.get(engine_id) != address:
                self._outbox.emit(PollEngine(engine_id, address, False))
        for engine_id, address in used.items():
            if self._polled.get(engine_id) != address:
                self._outbox.emit(PollEngine(engine_id, address, True))
        self._polled = used
