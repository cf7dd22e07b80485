"""Machines as processes that reach the store and the servers through proxies."""

import json
import random
import signal
import subprocess
import sys
import threading
import time
from collections import defaultdict
from pathlib import Path
from typing import Self

from features.soak.promises import Record, events_of
from features.soak.proxy import Proxy
from features.support.platform_world import (
    Arrival,
    PlatformWorld,
    QuietHandler,
    own_headers,
    stream,
)

CHAT = "chat"
LOOKUP = "records"
#: Slots of a server and retention of turns in seconds, as in the test configuration.
SLOTS = 16
RETAIN_S = 60.0
_LOOKUP_SERVERS = 2
_CHAT_SERVERS = 3
#: Shares of the requests that servers reject, drop the response of, or abort.
_REJECTED_SHARE = 0.03
_LOST_ANSWER_SHARE = 0.02
_BROKEN_OFF_SHARE = 0.02
_EVENT_PAUSE_S = 0.01
#: Prefix of the ids of attempts that occupy a slot for long, and the pause after each event.
LONG_PREFIX = "long-"
_LONG_EVENT_PAUSE_S = 0.5
#: Starts a machine whose wall clock is offset by the seconds in the first argument.
_START = (
    "import runpy, sys, time; off = float(sys.argv.pop(1)); real = time.time;"
    " time.time = lambda: real() + off;"
    " runpy.run_module('yarrowwall.platform', run_name='__main__')"
)


class SoakWorld(PlatformWorld):
    """Test servers, store and machines; a context manager that stops them all."""

    def __init__(self, record: Record, seed: int, gateways: int = 2, replicas: int = 3) -> None:
        self._record = record
        self._rng = random.Random(f"{seed}/servers")
        self._rng_lock = threading.Lock()
        self._clock_rng = random.Random(f"{seed}/clocks")
        self._publish_lock = threading.Lock()
        #: Number of turns that the servers are running.
        self.active_turns = 0
        #: Offset in each machine's log at which its current process began.
        self._log_offsets: defaultdict[str, int] = defaultdict(int)
        self.store_proxies: dict[str, Proxy] = {}
        self.server_proxies: dict[str, Proxy] = {}
        super().__init__(gateways, replicas)
        self.gateways = [f"edge-{number}" for number in range(gateways)]
        self.replicas = [f"storage-{number}" for number in range(replicas)]

    def __enter__(self) -> Self:
        self.add_route(CHAT, "streaming", stateful=True, attempts=2)
        self.add_route(LOOKUP, "mutating", attempts=2)
        for _ in range(_CHAT_SERVERS):
            self.add_server(CHAT, self._chat)
        for _ in range(_LOOKUP_SERVERS):
            self.add_server(LOOKUP, self._look_up)
        self.publish()
        self.wait_ready()
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()
        for proxy in [*self.store_proxies.values(), *self.server_proxies.values()]:
            proxy.close()

    # Proxies

    def store_address(self, name: str) -> str:
        """Return the address at which a machine reaches the store, that of its proxy."""
        if name not in self.store_proxies:
            self.store_proxies[name] = Proxy(lambda: self.store.address)
        return self.store_proxies[name].address

    def listed_address(self, server_id: str, address: str) -> str:
        """Return the address that is listed for a server, that of its proxy."""
        if server_id not in self.server_proxies:
            self.server_proxies[server_id] = Proxy(lambda: address)
        return self.server_proxies[server_id].address

    def publish(self) -> int:
        """Write the configuration; return its version."""
        with self._publish_lock:
            return super().publish()

    def command(self, name: str) -> list[str]:
        """Return the command of a machine; its wall clock is offset by up to 2 s."""
        off_s = self._clock_rng.uniform(-2.0, 2.0)
        return [sys.executable, "-c", _START, f"{off_s:.3f}"]

    # Servers

    def _chance(self) -> float:
        with self._rng_lock:
            return self._rng.random()

    def _chat(self, call: QuietHandler, arrival: Arrival) -> bool:
        if self._rejects(call, arrival):
            return True
        events = range(1, events_of(arrival.attempt_id) + 1)
        is_whole = self._chance() >= _BROKEN_OFF_SHARE
        if not is_whole:
            self._record.note_broken_off(arrival.attempt_id)
        pause_s = (
            _LONG_EVENT_PAUSE_S if arrival.attempt_id.startswith(LONG_PREFIX) else _EVENT_PAUSE_S
        )
        self._change_active_turns(1)
        try:
            return stream(call, arrival, events, pause=pause_s, is_whole=is_whole)
        finally:
            self._change_active_turns(-1)

    def _change_active_turns(self, change: int) -> None:
        with self._rng_lock:
            self.active_turns += change

    @property
    def total_slots(self) -> int:
        """Return the total number of slots of the servers for turns."""
        return _CHAT_SERVERS * SLOTS

    def _look_up(self, call: QuietHandler, arrival: Arrival) -> bool:
        if self._rejects(call, arrival):
            return True
        time.sleep(0.02)
        if self._chance() < _LOST_ANSWER_SHARE:
            self._record.note_broken_off(arrival.attempt_id)
            call.close_connection = True
            return True
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

    @property
    def machines(self) -> list[str]:
        """Return the names of all machines."""
        return [*self.replicas, *self.gateways]

    def kill(self, name: str, number: int = signal.SIGKILL) -> subprocess.Popen:
        """Send a signal to a machine's process, which must still be running."""
        self._check_running(name)
        return super().kill(name, number)

    def kill_all(self, names: list[str]) -> None:
        """Kill several machines at once."""
        for name in names:
            self._check_running(name)
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.processes[name].wait()

    def check_all_running(self) -> None:
        """Record a violation for each machine whose process exited unexpectedly."""
        for name in self.machines:
            self._check_running(name)

    def _check_running(self, name: str) -> None:
        code = self.processes[name].poll()
        if code is not None:
            self._record.note_violation(f"ENDED: {name} ended by itself, exit code {code}")

    def admitted_attempts(self) -> set[str]:
        """Return the attempts that gateways logged as admitted, their body read completely."""
        found = set()
        for name in self.gateways:
            for line in self._log_path(name).read_text(errors="replace").splitlines():
                if line.startswith("{") and '"AttemptAdmitted"' in line:
                    found.add(json.loads(line)["attempt"])
        return found

    def restart(self, name: str) -> subprocess.Popen:
        """Start a machine's process again."""
        self._log_offsets[name] = self._log_path(name).stat().st_size
        self.start_machine(name, is_gateway=name in self.gateways)
        return self.processes[name]

    def has_started(self, name: str) -> bool:
        """Return whether a machine's current process has logged that it has started."""
        with self._log_path(name).open("rb") as log:
            log.seek(self._log_offsets[name])
            return b'"change":"started"' in log.read()

    def _log_path(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def disk(self, name: str) -> Path:
        """Return the data folder of a replica."""
        return self.folder / name

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of all machines."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob("*.log"):
            (folder / path.name).write_bytes(path.read_bytes())
