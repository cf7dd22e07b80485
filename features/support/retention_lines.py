"""Lines of turns without faults but those that a test names, on a virtual clock.

Built like :mod:`features.support.retention_model`, with the retention that deployments have.
"""

from collections import Counter
from dataclasses import dataclass

import eventlet

from features.support.virtual_time import now_s
from features.support.zone_model import (
    TOKENS_PER_EVENT,
    ZONES,
    Gateway,
    Machine,
    ZoneWorld,
)
from yarrowwall.event_stream import Event
from yarrowwall.messages.codec import encode
from yarrowwall.messages.replicated import FetchRecords, InstallView, ListKeys, RecordsKept
from yarrowwall.model import Attempt, ProgramContext, RequestKind, Route

RETENTION_S = 60.0
DEADLINE_S = 5.0
MAX_TOKENS = 100
_BETWEEN_REPLICAS = (FetchRecords, InstallView, ListKeys)
ROUTE = Route(
    "talk", "host", "/talk/", RequestKind.STREAM, (), 5.0, 2, 1, True, RETENTION_S, False, False
)


@dataclass
class Line:
    """A line of turns.

    :param turns: ids of the answered turns.
    :param conversation: the inputs and outputs of all of them.
    """

    program_id: str
    turns: list[str]
    conversation: bytes = b""

    def branch(self) -> "Line":
        """Return a line that goes on from the same turns."""
        return Line(self.program_id, list(self.turns), self.conversation)


class LineWorld(ZoneWorld):
    """A system whose lines and faults are those of a test.

    :param machines: storage machines in each zone. With two or more there are two common groups
        and a group for each zone.
    """

    loss = 0.0

    def __init__(self, machines: int = 1) -> None:
        self.machines_per_zone = machines
        super().__init__(0)
        self.messages: Counter[str] = Counter()
        self._attempt_count = 0

    def line(self, program_id: str) -> Line:
        """Return a new line of a program."""
        return Line(program_id, [])

    def turn(
        self,
        line: Line,
        zone: str,
        budget: int | None = None,
        tokens: int = 2 * TOKENS_PER_EVENT,
        gateway: Gateway | None = None,
    ) -> None:
        """Run the next turn of a line at a gateway of a zone, the first one unless it is given.

        :raises AssertionError: if its server gets another body than the whole line.
        :raises YarrowwallError: if it is refused.
        """
        self._attempt_count += 1
        attempt_id = f"t{self._attempt_count}"
        previous = line.turns[-1] if line.turns else None
        program = ProgramContext(line.program_id, budget, MAX_TOKENS, previous, None)
        body = f"input of {attempt_id};".encode()
        attempt = Attempt(
            attempt_id, "POST", "/talk/x", "host", [], body, now_s(), now_s() + DEADLINE_S, program
        )
        end_s = now_s() + DEADLINE_S
        chosen = gateway or self.gateways[zone][0]
        grant = chosen.ledger.open_turn(attempt, ROUTE, TOKENS_PER_EVENT, lambda: end_s)
        try:
            assert grant.body == line.conversation + body, grant.body
            events = [
                Event(f"data: {attempt_id}.{number}\n\n".encode(), str(number))
                for number in range(tokens // TOKENS_PER_EVENT)
            ]
            eventlet.sleep(0.2)
            grant.complete([], events, "server")
        finally:
            grant.close(events, "server")
        line.turns.append(attempt_id)
        line.conversation += body + b"".join(event.data + b"\n" for event in events)

    def new_gateway(self, zone: str) -> Gateway:
        """Start another gateway in a zone."""
        self.gateways[zone].append(Gateway(self, zone))
        return self.gateways[zone][-1]

    def run_turns(self, line: Line, count: int, interval_s: float = 1.0) -> None:
        """Run turns of a line, each through the next zone."""
        for number in range(count):
            self.turn(line, ZONES[number % len(ZONES)])
            eventlet.sleep(interval_s)

    def check_goes_on(self, line: Line) -> None:
        """Check that the next turn of a line runs at a new gateway of each zone."""
        for zone in ZONES:
            self.turn(line.branch(), zone, gateway=self.new_gateway(zone))

    def records(self) -> dict[str, int]:
        """Return the number of records of each machine's replica of a common group."""
        return {
            name: len(machine.disks[False].replica.table) for name, machine in self.machines.items()
        }

    def note_posted(self, message: object) -> None:
        """Count a request and its bytes."""
        if not isinstance(message, _BETWEEN_REPLICAS):
            self.messages[type(message).__name__] += 1
            self.messages["bytes"] += len(encode(message))

    def run(self) -> None:
        """Do nothing by itself."""


def stop_machine(machine: Machine, seconds: float) -> None:
    """Kill a machine's process; it starts again later, in the background."""

    def start_again() -> None:
        machine.lose_power()
        machine.is_down = False

    machine.is_down = True
    eventlet.spawn_after(seconds, start_again)


def forget_times(machine: Machine) -> None:
    """Rewrite a machine's logs as earlier releases wrote them, without times."""
    for disk in machine.disks.values():
        disk.log[:] = [
            RecordsKept(record.records) if isinstance(record, RecordsKept) else record
            for record in disk.log
        ]
