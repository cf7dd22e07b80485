"""Simulated engines, record servers and platform."""

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import simpy

from yarrowwall.messages.peers import Document
from yarrowwall.standalone.core.effects import (
    CancelAttempt,
    OrderEngine,
    ReadPlatform,
    ReleaseCache,
    SendLookup,
    StartAttempt,
    WritePlatform,
)
from yarrowwall.standalone.core.events import (
    AttemptKey,
    CacheBlocksChanged,
    EngineCompleted,
    EngineFailed,
    EngineFault,
    EngineLoadReported,
    EngineOrdered,
    EngineReleased,
    EngineUnreachable,
    LookupAnswered,
    PlatformDocument,
    PlatformRead,
    PlatformWritten,
    WriteOutcome,
)
from yarrowwall.standalone.core.program.prompts import prompt_blocks
from yarrowwall.standalone.models.engine import (
    Admission,
    EngineModel,
    EngineOutput,
    EngineOutputKind,
    EngineParameters,
    EngineRequest,
    LoadReport,
    Progress,
)
from yarrowwall.standalone.models.platform import PlatformModel
from yarrowwall.standalone.simulation.network import Network

if TYPE_CHECKING:
    from yarrowwall.standalone.simulation.nodes import SimulatedNode
    from yarrowwall.standalone.simulation.observer import Observer

POLL_SECONDS = 0.5
#: Age of the engines' load reports.
REPORT_LAG_SECONDS = 0.7
CONNECT_TIMEOUT_SECONDS = 2.0
#: Time without data after which a node considers a connection broken.
SILENCE_SECONDS = 3.0
RECORD_SECONDS = 0.008
#: Cache events whose sequence number is a multiple of this aren't published.
EVENT_GAP = 7


@dataclass(frozen=True)
class _Connection:
    """Connection from a node process, which ends with the process."""

    node: "SimulatedNode"
    incarnation: int

    def post(self, event: object) -> None:
        """Post an event to the node if its process hasn't been restarted."""
        if self.node.incarnation == self.incarnation:
            self.node.post(event)


class SimulatedEngine:
    """A simulated model engine."""

    def __init__(
        self,
        engine_id: str,
        zone: str,
        parameters: EngineParameters,
        models: tuple[str, ...],
        env: simpy.Environment,
        network: Network,
        observer: "Observer",
    ) -> None:
        self.engine_id = engine_id
        self.zone = zone
        self.leaving_at: float | None = None
        self._leaves = 0
        self._parameters = parameters
        self._models = models
        self._env = env
        self._network = network
        self._observer = observer
        self.model = EngineModel(parameters, models, env.now)
        self.is_up = True
        self._connections: dict[str, list[_Connection]] = {}
        self._timer_at: float | None = None
        self._reports: deque[tuple[float, LoadReport]] = deque()

    # The model's time

    def _run(self) -> None:
        """Advance the model to the current time and handle its outputs."""
        for output in self.model.advance(self._env.now):
            self._handle_output(output)

    def _set_timer(self) -> None:
        at = self.model.next_event()
        if at is None or (self._timer_at is not None and self._timer_at <= at):
            return
        self._timer_at = at
        model = self.model
        self._network.after(max(0.0, at - self._env.now), lambda: self._wake(model, at))

    def _wake(self, model: EngineModel, at: float) -> None:
        if model is not self.model or self._timer_at != at:
            return
        self._timer_at = None
        self._run()
        self._set_timer()

    def _handle_output(self, output: EngineOutput) -> None:
        progress = output.progress
        if output.kind is EngineOutputKind.FIRST_TOKEN:
            self._observer.engine_computed(self.engine_id, progress)
            return
        self._observer.engine_finished(self.engine_id, progress)
        for connection in self._connections.pop(progress.request.request_id, []):
            self._send_result(connection, progress)

    def _send_result(self, connection: _Connection, progress: Progress) -> None:
        key = attempt_key(progress.request.request_id)
        event: object = EngineCompleted(
            key,
            progress.text,
            "stop",
            progress.prompt_tokens(),
            progress.cached_tokens,
            progress.output_tokens,
        )
        delay = self._network.latency(self.zone, connection.node.zone)
        if not self._network.is_connected(self.zone, connection.node.zone):
            event = EngineFailed(key, EngineFault.BROKEN)
            delay = SILENCE_SECONDS
        self._network.after(delay, lambda: connection.post(event))

    # Requests of nodes

    def start(self, node: "SimulatedNode", effect: StartAttempt) -> None:
        """Send an attempt from a node to this engine."""
        connection = _Connection(node, node.incarnation)
        if not self._network.is_connected(node.zone, self.zone):
            fault = EngineFault.BROKEN if effect.resume else EngineFault.NOT_STARTED
            self._fail_later(connection, effect.key, fault, CONNECT_TIMEOUT_SECONDS)
            return
        delay = self._network.latency(node.zone, self.zone)
        self._network.after(delay, lambda: self._arrive(connection, effect))

    def _fail_later(
        self, connection: _Connection, key: AttemptKey, fault: EngineFault, delay: float
    ) -> None:
        self._network.after(delay, lambda: connection.post(EngineFailed(key, fault)))

    def _arrive(self, connection: _Connection, effect: StartAttempt) -> None:
        delay = self._network.latency(self.zone, connection.node.zone)
        if not self.is_up:
            fault = EngineFault.BROKEN if effect.resume else EngineFault.NOT_STARTED
            self._fail_later(connection, effect.key, fault, delay)
            return
        self._run()
        if effect.resume:
            self._resume(connection, effect, delay)
        else:
            self._submit(connection, effect, delay)
        self._set_timer()

    def _submit(self, connection: _Connection, effect: StartAttempt, delay: float) -> None:
        request = EngineRequest(
            str(effect.key),
            effect.key.program_id,
            effect.key.call_number,
            effect.model,
            prompt_blocks(list(effect.prompt)),
            effect.max_tokens,
            effect.priority,
            effect.hold,
        )
        admission = self.model.submit(self._env.now, request)
        self._observer.engine_asked(self, effect, admission is Admission.ACCEPTED)
        if admission is Admission.ACCEPTED:
            self._connections.setdefault(request.request_id, []).append(connection)
        elif admission is Admission.DUPLICATE:
            self._fail_later(connection, effect.key, EngineFault.BROKEN, delay)
        else:
            self._fail_later(connection, effect.key, EngineFault.NOT_STARTED, delay)

    def _resume(self, connection: _Connection, effect: StartAttempt, delay: float) -> None:
        progress = self.model.resume(str(effect.key))
        if progress is None or progress.cancelled:
            self._fail_later(connection, effect.key, EngineFault.UNKNOWN_REQUEST, delay)
        elif progress.finished_at is not None:
            self._send_result(connection, progress)
        else:
            self._connections.setdefault(str(effect.key), []).append(connection)

    def _deliver(self, node: "SimulatedNode", action: object) -> None:
        """Deliver a control request if the engine is reachable."""
        if not self._network.is_connected(node.zone, self.zone):
            return
        delay = self._network.latency(node.zone, self.zone)
        self._network.after(delay, lambda: self._control(action))  # type: ignore[arg-type]

    def _control(self, action) -> None:
        if self.is_up:
            self._run()
            action()
            self._set_timer()

    def _answer(self, node: "SimulatedNode", event: object) -> None:
        connection = _Connection(node, node.incarnation)
        delay = self._network.latency(self.zone, node.zone)
        if not self._network.is_cut(self.zone, node.zone):
            self._network.after(delay, lambda: connection.post(event))

    def cancel(self, node: "SimulatedNode", effect: CancelAttempt) -> None:
        """Cancel an attempt."""
        self._deliver(node, lambda: self._cancel(str(effect.key)))

    def _cancel(self, request_id: str) -> None:
        self.model.cancel(request_id)
        for connection in self._connections.pop(request_id, []):
            connection.post(EngineFailed(attempt_key(request_id), EngineFault.UNKNOWN_REQUEST))

    def release(self, node: "SimulatedNode", effect: ReleaseCache) -> None:
        """Release a program's cache."""

        def act() -> None:
            self.model.release(effect.program_id, effect.through_call)
            self._answer(node, EngineReleased(effect.program_id, self.engine_id))

        self._deliver(node, act)

    def order(self, node: "SimulatedNode", effect: OrderEngine) -> None:
        """Order the engine to serve models."""

        def act() -> None:
            accepted = self.model.order(effect.term, effect.models)
            self._observer.engine_ordered(self.engine_id, effect.term, accepted)
            self._answer(node, EngineOrdered(self.engine_id, effect.term, effect.models, accepted))

        self._deliver(node, act)

    # Reports

    def snapshot(self) -> None:
        """Record the current load for delayed reports."""
        if not self.is_up:
            return
        self._run()
        self._set_timer()
        self._reports.append((self._env.now, self.model.load()))
        while len(self._reports) > 1 and self._reports[1][0] <= self._env.now - REPORT_LAG_SECONDS:
            self._reports.popleft()

    def poll(self, node: "SimulatedNode", sequence: int) -> int:
        """Report to a node; return the sequence number of the last cache event considered."""
        if not self.is_up or not self._network.is_connected(node.zone, self.zone):
            node.post(EngineUnreachable(self.engine_id))
            return sequence
        if not self._reports:
            return sequence
        made_at, report = self._reports[0]
        current = self.model.load()
        node.post(
            EngineLoadReported(
                self.engine_id,
                report.running,
                report.queued,
                report.queued_prompt_tokens,
                report.capacity,
                current.models,
                current.orders_term,
                made_at,
                current.leaving,
            )
        )
        for event in self.model.cache.events_after(sequence):
            sequence = event.sequence
            if event.sequence % EVENT_GAP:
                changed = CacheBlocksChanged(
                    self.engine_id, event.sequence, event.stored, event.evicted
                )
                node.post(changed)
        return sequence

    # Failures

    def crash(self) -> None:
        """Stop the engine, lose its memory and break its streams."""
        self._run()
        self.is_up = False
        self._observer.engine_crashed(self.engine_id)
        for request_id, connections in self._connections.items():
            for connection in connections:
                self._fail_later(connection, attempt_key(request_id), EngineFault.BROKEN, 0.01)
        self._connections = {}
        self._reports.clear()

    def restart(self) -> None:
        """Restart with empty memory; the leaving state persists."""
        self.model = EngineModel(self._parameters, self._models, self._env.now)
        self.model.is_leaving = self.leaving_at is not None
        self._timer_at = None
        self.is_up = True

    def leave(self) -> None:
        """Refuse new requests; running ones continue."""
        self._leaves += 1
        self.model.is_leaving = True
        if self.leaving_at is None:
            self.leaving_at = self._env.now

    def stay(self) -> None:
        """Undo one :meth:`leave`; accept requests again once all are undone."""
        self._leaves -= 1
        if self._leaves == 0:
            self.model.is_leaving = False
            self.leaving_at = None


def attempt_key(request_id: str) -> AttemptKey:
    """Parse the key of an attempt from an engine's request id."""
    program_id, call_number, attempt = request_id.rsplit("/", 2)
    return AttemptKey(program_id, int(call_number), int(attempt))


class SimulatedRecords:
    """A simulated record server."""

    def __init__(self, zone: str, network: Network) -> None:
        self.zone = zone
        self.is_up = True
        self._network = network

    def send(self, node: "SimulatedNode", effect: SendLookup) -> None:
        """Answer a lookup, or fail it if the server is unreachable."""
        connection = _Connection(node, node.incarnation)
        request = effect.request
        works = self.is_up and self._network.is_connected(node.zone, self.zone)
        body = f"{request.kind}/{request.key}".encode() if works else None
        delay = RECORD_SECONDS if works else CONNECT_TIMEOUT_SECONDS
        delay += 2 * self._network.latency(node.zone, self.zone)
        answer = LookupAnswered(request.request_id, body)
        self._network.after(delay, lambda: connection.post(answer))


class SimulatedPlatform:
    """The simulated platform's object service and its failures.

    :ivar lose_answers: Number of next writes whose answers are lost.
    """

    def __init__(self, network: Network) -> None:
        self.model = PlatformModel()
        self._network = network
        self.is_down = False
        self.slow_seconds = 0.0
        self.lose_answers = 0
        self._watchers: dict[str, SimulatedNode] = {}

    def _answer(self, node: "SimulatedNode", event: object, delay: float) -> None:
        connection = _Connection(node, node.incarnation)
        self._network.after(delay, lambda: connection.post(event))

    def _round_trip(self) -> float:
        return 0.004 + self.slow_seconds

    def read(self, node: "SimulatedNode", effect: ReadPlatform) -> None:
        """Answer a read."""
        if self.is_down:
            event = PlatformRead(effect.operation_id, effect.name, False, None)
            self._answer(node, event, CONNECT_TIMEOUT_SECONDS)
            return
        document = self.model.read(effect.name)
        event = PlatformRead(effect.operation_id, effect.name, True, document)
        self._answer(node, event, self._round_trip())

    def write(self, node: "SimulatedNode", effect: WritePlatform) -> None:
        """Apply a write; its answer may be lost."""
        if self.is_down:
            event = PlatformWritten(effect.operation_id, WriteOutcome.UNKNOWN, None)
            self._answer(node, event, CONNECT_TIMEOUT_SECONDS)
            return
        self._network.after(self._round_trip() / 2, lambda: self._apply(node, effect))

    def _apply(self, node: "SimulatedNode", effect: WritePlatform) -> None:
        result = self.model.write(effect.name, effect.expected_version, effect.body)
        if result.applied and result.document is not None:
            self._announce(result.document)
        outcome = WriteOutcome.DONE if result.applied else WriteOutcome.CONFLICT
        delay = self._round_trip() / 2
        if self.lose_answers > 0:
            self.lose_answers -= 1
            outcome, delay = WriteOutcome.UNKNOWN, CONNECT_TIMEOUT_SECONDS
        document = result.document if outcome is WriteOutcome.DONE else None
        self._answer(node, PlatformWritten(effect.operation_id, outcome, document), delay)

    def set_object(self, name: str, body: bytes) -> None:
        """Write an object regardless of its version, as the platform itself does."""
        current = self.model.read(name)
        version = current.version if current else 0
        result = self.model.write(name, version, body)
        assert result.document is not None
        self._announce(result.document)

    def _announce(self, document: Document) -> None:
        if not self.is_down:
            for node in list(self._watchers.values()):
                self._answer(node, PlatformDocument(document), self._round_trip())

    def watch(self, node: "SimulatedNode", enabled: bool) -> None:
        """Start or end a node's watch; a new watch first sends all objects."""
        self._watchers.pop(node.node_id, None)
        if enabled:
            self._watchers[node.node_id] = node
            self.send_all_objects(node)

    def send_all_objects(self, node: "SimulatedNode") -> None:
        """Send all objects to a watcher, as after a reconnect."""
        if self.is_down:
            return
        for document in self.model.objects():
            self._answer(node, PlatformDocument(document), self._round_trip())

    def end_outage(self) -> None:
        """End an outage and reconnect the watchers."""
        self.is_down = False
        for node in list(self._watchers.values()):
            self.send_all_objects(node)

    def forget(self, node_id: str) -> None:
        """Remove the watch of a stopped node."""
        self._watchers.pop(node_id, None)
