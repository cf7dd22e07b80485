"""Starts nodes and test servers as separate processes on loopback."""

import fcntl
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import urllib3

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL = "assistant"
WAIT_SECONDS = 60.0


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait for a condition; the bound only ends a hung test."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"gave up waiting: {what}"
        time.sleep(0.02)


#: Ports of the machines that scenarios start. The kernel uses ports from 32768 on for outgoing
#: connections, so a free one there may be taken before the machine listens on it.
FIRST_PORT, LAST_PORT = 10_000, 32_000
#: Environment variable with the number of the preferred port range of this process, and the size
#: of a range. Processes that run scenarios concurrently use different ranges.
PORT_RANGE_VARIABLE = "YARROWWALL_TEST_PLACE"
PORTS_PER_RANGE = 1_000
_RANGE_COUNT = (LAST_PORT - FIRST_PORT) // PORTS_PER_RANGE


def _acquire_port_range(first: int) -> int:
    """Reserve the first port range from a given one on that no other process uses.

    A locked file reserves it for the lifetime of this process, so that concurrent runs of several
    checkouts share no ports.
    """
    for port_range in range(first, first + _RANGE_COUNT):
        lock = Path(tempfile.gettempdir()) / f"yarrowwall-test-place-{port_range % _RANGE_COUNT}"
        descriptor = os.open(lock, os.O_CREAT | os.O_RDWR, 0o666)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
        else:
            return port_range % _RANGE_COUNT
    raise AssertionError("all port ranges are in use")


def _ports() -> Iterator[int]:
    """Yield the ports of this process in an endless cycle."""
    port_range = _acquire_port_range(
        int(os.environ.get(PORT_RANGE_VARIABLE, os.getpid())) % _RANGE_COUNT
    )
    first = FIRST_PORT + port_range * PORTS_PER_RANGE
    yield from itertools.cycle(range(first, first + PORTS_PER_RANGE))


_own_ports = _ports()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses without a listener; a port recurs only after its whole range."""
    found: list[str] = []
    while len(found) < count:
        port = next(_own_ports)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        found.append(f"127.0.0.1:{port}")
    return found


class System:
    """Platform, engines, record servers, tool server and nodes, each as a process."""

    def __init__(self, engine_speed: float = 4.0, nodes: int = 3, engines: int = 3) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)
        self.engine_addresses = [
            self._start_standin(f"engine-{number}", "engine", "--speed", str(engine_speed))
            for number in range(engines)
        ]
        self.record_addresses = [
            self._start_standin(f"records-{number}", "records") for number in range(2)
        ]
        self.tool_address = self._start_standin("tool", "tool")
        self.platform_address = self._start_platform()
        self._write_settings(nodes)
        for number in range(nodes):
            self.start_node(number)
        wait_until(lambda: all(self.is_ready(n) for n in range(nodes)), "nodes ready")

    def _start(self, name: str, *arguments: str) -> subprocess.Popen:
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", "yarrowwall", *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            cwd=Path(__file__).parent.parent.parent,
        )
        self.processes[name] = process
        return process

    def _start_standin(self, name: str, *arguments: str) -> str:
        process = self._start(
            name, "standin", arguments[0], "--listen", "127.0.0.1:0", *arguments[1:]
        )
        line = process.stdout.readline().decode()
        assert line.startswith("listening on "), f"{name} did not start: {line!r}"
        return line.split()[-1]

    def _start_platform(self) -> str:
        machines = [
            self._machine(f"engine-{number}", "engine", number, address)
            for number, address in enumerate(self.engine_addresses)
        ]
        machines += [
            self._machine(f"records-{number}", "records", number, address)
            for number, address in enumerate(self.record_addresses)
        ]
        objects = self.folder / "objects.json"
        objects.write_text(json.dumps({"machines": {"machines": machines}}))
        return self._start_standin("platform", "platform", "--objects", str(objects))

    @staticmethod
    def _machine(machine_id: str, kind: str, number: int, address: str) -> dict:
        zone = ZONES[number % len(ZONES)]
        return {"machine_id": machine_id, "kind": kind, "zone": zone, "address": address}

    def _write_settings(self, nodes: int) -> None:
        addresses = free_addresses(2 * nodes)
        self.peer_addresses, self.http_addresses = addresses[:nodes], addresses[nodes:]
        lines = []
        for number in range(nodes):
            zone = ZONES[number % len(ZONES)]
            lines.append("[[peers]]")
            lines.append(f'node_id = "node-{number}"\nzone = "{zone}"')
            lines.append(f'address = "{self.peer_addresses[number]}"')
            lines.append("[[replicas]]")
            lines.append(f'replica_id = "replica-{number}"\nnode_id = "node-{number}"')
            lines.append(f'zone = "{zone}"')
        for number in range(nodes):
            head = [
                f'node_id = "node-{number}"',
                f'zone = "{ZONES[number % len(ZONES)]}"',
                f'peer_address = "{self.peer_addresses[number]}"',
                f'http_address = "{self.http_addresses[number]}"',
                f'platform_address = "{self.platform_address}"',
                f'data_folder = "{self.folder / f"data-{number}"}"',
            ]
            self.settings_path(number).write_text("\n".join(head + lines) + "\n")
            folder = self.folder / f"data-{number}"
            folder.mkdir()
            (folder / "replica-id").write_text(f"replica-{number}\n")

    def settings_path(self, number: int) -> Path:
        """Return the settings file of a node."""
        return self.folder / f"node-{number}.toml"

    def start_node(self, number: int) -> None:
        """Start a node's process."""
        self._start(f"node-{number}", "node", "--settings", str(self.settings_path(number)))

    def signal_node(self, number: int, which: signal.Signals) -> subprocess.Popen:
        """Send a signal to a node's process."""
        process = self.processes[f"node-{number}"]
        os.kill(process.pid, which)
        return process

    def url(self, number: int) -> str:
        """Return a node's base URL."""
        return f"http://{self.http_addresses[number]}"

    def is_ready(self, number: int) -> bool:
        """Return whether a node is healthy and knows the models of every engine."""
        try:
            status = self.pool.request("GET", self.url(number) + "/v1/operator/status").json()
            health = self.pool.request("GET", self.url(number) + "/healthz")
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        engines = status["engines"]
        return health.status == 200 and bool(engines) and all(e["models"] for e in engines)

    def request(
        self, node: int, method: str, path: str, body: object = None, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a node; header names get the prefix ``Yarrowwall-``."""
        named = {f"Yarrowwall-{name.capitalize()}": value for name, value in headers.items()}
        return self.pool.request(method, self.url(node) + path, json=body, headers=named)

    def open_program(self, node: int, **body: object) -> str:
        """Open a program; return its id."""
        body = {"tenant": "alloy", "desk": "sourcing", **body}
        response = self.request(node, "POST", "/v1/programs", body)
        assert response.status == 201, response.data
        return response.json()["id"]

    def call(
        self, node: int, program: str, number: int, text: str, max_tokens: int = 16, **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Run a call of a program."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
        }
        return self.request(
            node, "POST", "/v1/chat/completions", body, program=program, call=str(number), **headers
        )

    def engine_state(self) -> list[dict]:
        """Return the state of every engine."""
        return [
            self.pool.request("GET", f"http://{address}/state").json()
            for address in self.engine_addresses
        ]

    def starts(self, program: str) -> list[str]:
        """Return every attempt of a program that an engine started."""
        found = [start for state in self.engine_state() for start in state["starts"]]
        return sorted(start for start in found if start.startswith(program + "/"))

    def stop(self) -> None:
        """Kill all processes of this system."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self._folder.cleanup()
