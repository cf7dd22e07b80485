"""Machines as processes in three zones, and engines whose streams last seconds."""

import random
import shutil
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Self

from features.soak.planned.content import ENGINES, LOOKUP, Content
from features.soak.planned.cuts import Timeouts, WrittenTimeouts, timeouts_in_force
from features.soak.planned.store import StoreProcess
from features.soak.promises import Record, events_of
from features.support.platform_world import (
    Arrival,
    PlatformWorld,
    QuietHandler,
    begin_stream,
    event,
    own_headers,
    send_chunk,
)
from features.support.zoned_world import ZONES

STORAGE_MACHINES = 8
#: Seconds that a machine has to exit after SIGTERM.
STOP_S = 8.0
_SERVERS_PER_ENGINE_SERVICE = 4
_LOOKUP_SERVERS = 2
#: Shares of the requests that servers reject or abort.
_REJECTED_SHARE = 0.02
_BROKEN_OFF_SHARE = 0.01
#: Range of the duration of streams in seconds.
SHORTEST_S, LONGEST_S = 0.3, 3.5
_LOOKUP_S = 0.02


def stream_duration_s(attempt: str) -> float:
    """Return the duration of a stream, which its attempt id determines."""
    return random.Random(attempt).uniform(SHORTEST_S, LONGEST_S)


class PlannedWorld(PlatformWorld):
    """Test servers, store and machines; a context manager that stops them all.

    :ivar written: the timeouts of the routes in each version of the configuration.
    """

    stop_s = STOP_S
    machines_lost_at_once = 2

    def __init__(self, record: Record, seed: int, gateways: int) -> None:
        self._record = record
        self._rng = random.Random(f"{seed}/servers")
        self._rng_lock = threading.Lock()
        self._publish_lock = threading.Lock()
        self.content = Content(random.Random(f"{seed}/content"))
        self.written: list[WrittenTimeouts] = []
        self.gateways = [f"edge-{number}" for number in range(gateways)]
        self.replicas = [f"storage-{number}" for number in range(STORAGE_MACHINES)]
        super().__init__(gateways, STORAGE_MACHINES, ZONES)

    def __enter__(self) -> Self:
        for service in ENGINES:
            for _ in range(_SERVERS_PER_ENGINE_SERVICE):
                self.add_server(service, self._run_stream)
        for _ in range(_LOOKUP_SERVERS):
            self.add_server(LOOKUP, self._look_up)
        self.wait_ready()
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def make_store(self) -> StoreProcess:
        """Return the platform store."""
        return StoreProcess(STORAGE_MACHINES)

    def store_address(self, name: str) -> str:
        """Return the address at which a machine reaches the store."""
        return self.store.address

    def publish(self) -> int:
        """Write the configuration; return its version."""
        with self.edited_content():
            pass
        return self.version

    @contextmanager
    def edited_content(self) -> Iterator[Content]:
        """Yield the configuration for changes and publish it at the end of the context."""
        with self._publish_lock:
            yield self.content
            self.version += 3
            timeouts_s = self.content.timeouts_s
            self.store.put("config", "main", {"version": self.version, **self.content.spec})
            self.written.append(WrittenTimeouts(self.version, time.monotonic(), timeouts_s))

    # Servers

    def _chance(self) -> float:
        with self._rng_lock:
            return self._rng.random()

    def _run_stream(self, call: QuietHandler, arrival: Arrival) -> bool:
        if self._rejects(call, arrival):
            return True
        attempt = arrival.attempt_id
        count = events_of(attempt)
        broken_at = int(self._chance() * count) if self._chance() < _BROKEN_OFF_SHARE else None
        if broken_at is not None:
            self._record.note_broken_off(attempt)
        try:
            begin_stream(call, arrival)
            for number in range(1, count + 1):
                if number - 1 == broken_at:
                    call.close_connection = True
                    return True
                send_chunk(call, event(number))
                time.sleep(stream_duration_s(attempt) / count)
            call.wfile.write(b"0\r\n\r\n")
        except OSError:
            # The gateway cancelled it; the check uses what the caller received.
            call.close_connection = True
        return True

    def _look_up(self, call: QuietHandler, arrival: Arrival) -> bool:
        if not self._rejects(call, arrival):
            time.sleep(_LOOKUP_S)
            call.answer(200, arrival.attempt_id.encode(), own_headers(arrival))
        return True

    def _rejects(self, call: QuietHandler, arrival: Arrival) -> bool:
        self._record.note_reached(arrival.attempt_id)
        if self._chance() < _REJECTED_SHARE:
            call.answer(503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": arrival.attempt_id})
            return True
        self._record.note_started(arrival.attempt_id, arrival.body)
        return False

    # Machines

    def check_all_running(self) -> None:
        """Record a violation for each machine whose process exited unexpectedly."""
        for name in [*self.replicas, *self.gateways]:
            code = self.processes[name].poll()
            if code is not None:
                self._record.note_violation(f"ENDED: {name} ended by itself, exit code {code}")

    def listens(self, name: str) -> bool:
        """Return whether other machines can connect to a machine."""
        host, _, port = self.addresses[name]["peer"].partition(":")
        try:
            socket.create_connection((host, int(port)), timeout=1.0).close()
        except OSError:
            return False
        return True

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of all machines."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob("*.log"):
            shutil.copy(path, folder)

    def timeouts_at(self, gateway: str, at: float) -> Timeouts:
        """Return the timeouts of the routes by when they were in force at a gateway's process.

        :param at: time of the monotonic clock at which the process ran.
        """
        # The machines of this class have the same wall clock as this process.
        ahead_s = time.time() - time.monotonic()
        in_force: dict[int, float] = {}
        for line in self.log(gateway):
            line_at = line["time"] - ahead_s
            if line["kind"] == "ProcessChanged" and line["change"] == "started":
                if line_at > at:
                    break
                in_force.clear()
            elif line["kind"] == "ConfigurationInForce":
                in_force.setdefault(line["version"], line_at)
        return timeouts_in_force(self.written, in_force)

    def gateway_lines(self, kinds: tuple[str, ...]) -> list[dict[str, Any]]:
        """Return the log lines of the given kinds of all gateways."""
        return [line for name in self.gateways for line in self.log(name) if line["kind"] in kinds]
