"""Stand-ins for the platform on loopback: object store, servers, and machines as processes.

Everything except the processes under test runs in threads of the test process, so that tests can
inspect which requests arrived where. The names are the platform's.
"""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from features.support.processes import free_addresses, wait_until

HOST = "desk.example"
ROOT = Path(__file__).parent.parent.parent
MAJOR = 3
ANSWER_SECONDS = 10.0
#: Pseudo-status of an answer that is never sent; its connection ends after ``LOST_SECONDS``.
LOST = 0
#: Pseudo-status of a connection that is closed at once without an answer.
CUT = 1
LOST_SECONDS = 40.0
#: Number of lines of each machine's log that are shown when a scenario has failed.
SHOWN_LINES = 40


class QuietHandler(BaseHTTPRequestHandler):
    """An HTTP/1.1 handler that logs nothing."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *arguments: Any) -> None:
        """Log nothing."""

    def body(self) -> bytes:
        """Return the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a complete answer."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StandInServer(ThreadingHTTPServer):
    """A server whose backlog holds more connections than a test opens at once.

    The library's default backlog is five; the kernel drops the SYN packet of a sixth connection,
    which is resent only after a second.
    """

    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print an error unless the peer has disconnected, which tests often do."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


def serve(handler: type[BaseHTTPRequestHandler], address: str = "127.0.0.1:0") -> Any:
    """Serve a handler class in a new thread; return the server."""
    host, _, port = address.partition(":")
    server = StandInServer((host, int(port)), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def address_of(server: Any) -> str:
    """Return ``IP:port`` of a server."""
    return f"127.0.0.1:{server.server_address[1]}"


class ObjectStore:
    """A stand-in for the platform store: objects, revisions, watches, conditional changes."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.oldest = 0
        self.is_down = False
        #: Whether reads of a single object get no answer; watches and lists do.
        self.loses_gets = False
        #: Delay in seconds of every answer to a list.
        self.list_delay_s = 0.0
        #: Number of further lists that never get an answer.
        self.lists_to_lose = 0
        self._silent_until = 0.0
        self._outages = 0
        self._cuts = 0
        self._deaf_until = 0.0
        store = self

        class Handler(QuietHandler):
            """Answers one call."""

            def _run(self) -> None:
                store.handle(self)

            do_GET = do_POST = do_PUT = do_DELETE = _run

        self._handler = Handler
        self.server = serve(Handler)
        self.address = address_of(self.server)
        #: HTTP servers of this store that each serve a single machine, by machine.
        self._own_servers: dict[str, Any] = {}
        self._turned_away: set[str] = set()
        #: What stands in answers for a text, as JSON that the stand-in itself couldn't write.
        self.replaced_texts: dict[str, str] = {}
        #: Number of waiting watches, by machine and kind.
        self.watching: Counter[tuple[str, str]] = Counter()

    def address_for(self, machine: str) -> str:
        """Return the store's address for one machine."""
        if machine not in self._own_servers:
            self._own_servers[machine] = serve(self._handler)
        return address_of(self._own_servers[machine])

    def turn_away(self, machine: str) -> None:
        """Stop answering a machine, and end its watches."""
        with self.lock:
            self._turned_away.add(machine)
            self.lock.notify_all()

    def answer_all(self) -> None:
        """Answer all machines again."""
        with self.lock:
            self._turned_away.clear()

    def stop(self) -> None:
        """Stop serving."""
        for server in (self.server, *self._own_servers.values()):
            server.shutdown()
            server.server_close()

    def _machine(self, call: QuietHandler) -> str:
        """Return the machine that made a call; empty if unknown."""
        for machine, server in self._own_servers.items():
            if server is call.server:
                return machine
        return ""

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object, as operators or servers do."""
        with self.lock:
            self._change(kind, name, spec, None)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.lock:
            self._gone(kind, name)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object."""
        with self.lock:
            return self.objects.get((kind, name))

    def lose_watches(self, seconds: float) -> None:
        """Never answer the watches that wait now or start within some seconds."""
        with self.lock:
            self._outages += 1
            self._silent_until = time.monotonic() + seconds
            self.lock.notify_all()

    def drop_history_slowly(self, seconds: float) -> None:
        """End every watch; those that start within some seconds get no changes, then a 410."""
        with self.lock:
            self._cuts += 1
            self._deaf_until = time.monotonic() + seconds
            self.lock.notify_all()

    def forget_history(self) -> None:
        """Drop the history; watches from earlier revisions get a 410."""
        with self.lock:
            self.history.clear()
            self.oldest = self.revision
            self.lock.notify_all()

    def _change(self, kind: str, name: str, spec: Any, status: Any) -> dict[str, Any]:
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "made": 1, "finalizers": []}
        item = {"meta": {**meta, "deleting": False}, "spec": spec, "status": status}
        self.objects[(kind, name)] = item
        self.history.append((self.revision, kind, item, False))
        self.lock.notify_all()
        return item

    def _gone(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self.history.append((self.revision, kind, item, True))
            self.lock.notify_all()

    def handle(self, call: QuietHandler) -> None:
        """Answer one call."""
        parts = urlsplit(call.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        names = parts.path.strip("/").split("/")[1:]
        body = json.loads(call.body() or b"{}")
        machine = self._machine(call)
        if self.is_down or machine in self._turned_away:
            call.close_connection = True
            return
        if call.command == "GET" and len(names) > 1 and self.loses_gets:
            time.sleep(ANSWER_SECONDS)
            call.close_connection = True
            return
        if call.command == "GET" and "watch" not in query:
            if self._loses_list():
                time.sleep(ANSWER_SECONDS)
                call.close_connection = True
                return
            time.sleep(self.list_delay_s)
        status, document = self._answer(call.command, names, query, body, machine)
        if status in (LOST, CUT):
            time.sleep(LOST_SECONDS if status == LOST else 0.0)
            call.close_connection = True
            return
        text = json.dumps(document)
        for name, replacement in self.replaced_texts.items():
            text = text.replace(json.dumps(name), replacement)
        call.answer(status, text.encode(), {"Content-Type": "application/json"})

    def _loses_list(self) -> bool:
        with self.lock:
            is_lost = self.lists_to_lose > 0
            self.lists_to_lose -= is_lost
            return is_lost

    def _answer(
        self,
        method: str,
        names: list[str],
        query: dict[str, str],
        body: dict[str, Any],
        machine: str,
    ) -> tuple[int, dict[str, Any]]:
        with self.lock:
            if method == "GET" and "watch" in query:
                revision, wait_ms = int(query["watch"]), int(query["wait_ms"])
                self.watching[(machine, names[0])] += 1
                try:
                    return self._watch(names[0], revision, wait_ms, machine)
                finally:
                    self.watching[(machine, names[0])] -= 1
            if method == "GET" and len(names) > 1:
                found = self.objects.get((names[0], names[1]))
                return (200, found) if found is not None else (404, {})
            if method == "GET":
                items = [item for (kind, _), item in self.objects.items() if kind == names[0]]
                return 200, {"items": items, "more": False, "at": self.revision}
            return self._write(method, names, body)

    def _watch(
        self, kind: str, revision: int, wait_ms: int, machine: str
    ) -> tuple[int, dict[str, Any]]:
        end = time.monotonic() + wait_ms / 1000.0
        outages = self._outages
        cuts = self._cuts
        is_deaf = time.monotonic() < self._deaf_until
        while True:
            if self._cuts != cuts or machine in self._turned_away:
                return CUT, {}
            if is_deaf and time.monotonic() < end:
                self.lock.wait(end - time.monotonic())
                continue
            if is_deaf:
                return 410, {}
            if self._outages != outages or time.monotonic() < self._silent_until:
                return LOST, {}
            if revision < self.oldest:
                return 410, {}
            events = [
                {"object": item, "gone": gone}
                for at, of, item, gone in self.history
                if at > revision and of == kind
            ]
            if events or time.monotonic() >= end or self.is_down:
                return 200, {"events": events, "at": self.revision}
            self.lock.wait(end - time.monotonic())

    def _write(
        self, method: str, names: list[str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        kind = names[0]
        name = names[1] if len(names) > 1 else body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return 409, known
            return 200, self._change(kind, name, body.get("spec"), None)
        if known is None:
            return 404, {}
        if method == "DELETE":
            self._gone(kind, name)
            return 200, {}
        wanted = (body.get("meta") or {}).get("revision")
        if wanted is not None and wanted != known["meta"]["revision"]:
            return 409, known
        if len(names) == MAJOR:
            return 200, self._change(kind, name, known["spec"], body["status"])
        return 200, self._change(kind, name, body["spec"], known["status"])


@dataclass
class Arrival:
    """One request that a server received."""

    attempt_id: str
    path: str
    body: bytes
    headers: dict[str, str]


@dataclass
class Server:
    """A server that answers by a script.

    :param script: called for each request with the handler and the arrival; returns whether it
        sent an answer.
    :param start_ms: Unix time of its start, as listed; None to list none.
    :param version: version of its software, as listed; None to list none.
    """

    server_id: str
    script: Callable[[QuietHandler, Arrival], bool] = lambda handler, arrival: False
    arrivals: list[Arrival] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    start_ms: int | None = None
    version: str | None = None
    is_draining: bool = False
    has_ended: bool = False
    connections: set[socket.socket] = field(default_factory=set)

    def start(self) -> str:
        """Start serving; return the address."""
        server = self

        class Handler(QuietHandler):
            """Answers one request."""

            def setup(self) -> None:
                super().setup()
                server.connections.add(self.connection)

            def finish(self) -> None:
                server.connections.discard(self.connection)
                super().finish()

            def _run(self) -> None:
                server.handle(self)

            do_GET = do_POST = _run

        self.listener = serve(Handler)
        return address_of(self.listener)

    def crash(self) -> None:
        """Stop listening and end all connections at once, as when the process ends."""
        self.has_ended = True
        self.listener.socket.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.listener.shutdown, daemon=True).start()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                # It may have been closed just now.
                connection.shutdown(socket.SHUT_RDWR)

    def handle(self, call: QuietHandler) -> None:
        """Answer one request by the script, or else with the standard headers and a body."""
        headers = dict(call.headers.items())
        arrival = Arrival(headers.get("X-Attempt-Id", ""), call.path, call.body(), headers)
        if headers.get("X-Expect-Instance") != self.server_id:
            call.answer(421, b"", {"X-Instance-Id": self.server_id})
            return
        self.arrivals.append(arrival)
        if not self.script(call, arrival):
            call.answer(200, b"record", own_headers(arrival))


def own_headers(arrival: Arrival) -> dict[str, str]:
    """Return the standard headers of servers' answers: the attempt's id and a seal."""
    return {"X-Attempt-Id": arrival.attempt_id, "X-Server-Seal": "seal." + arrival.attempt_id}


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def begin_stream(call: QuietHandler, arrival: Arrival) -> None:
    """Send the head of a stream's answer."""
    call.send_response(200)
    for name, value in own_headers(arrival).items():
        call.send_header(name, value)
    call.send_header("Content-Type", "text/event-stream")
    call.send_header("Transfer-Encoding", "chunked")
    call.end_headers()


def send_chunk(call: QuietHandler, data: bytes) -> None:
    """Send one piece of a stream's answer."""
    call.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
    call.wfile.flush()


def stream(
    call: QuietHandler,
    arrival: Arrival,
    events: range,
    pause: float = 0.0,
    is_whole: bool = True,
    make_event: Callable[[int], bytes] = event,
) -> bool:
    """Answer with a stream of events, which breaks off within an event if it is not whole."""
    begin_stream(call, arrival)
    for number in events:
        send_chunk(call, make_event(number))
        time.sleep(pause)
    if is_whole:
        call.wfile.write(b"0\r\n\r\n")
    else:
        call.wfile.write(b"3f\r\nid: 99\nda")
        call.wfile.flush()
        with contextlib.suppress(OSError):
            # The gateway may have closed the connection already.
            call.connection.shutdown(socket.SHUT_RDWR)
        call.close_connection = True
    return True


@dataclass
class Answer:
    """The response that a client received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    seconds: float


class PlatformWorld:
    """Stand-ins and machines.

    :cvar machines_lost_at_once: machine losses that the deployment must tolerate; None for the
        default.
    :cvar memory_mb: memory in MB of machines that are started from now on; None for the default.
    :cvar max_fds: descriptors of each machine; None for the default.
    :param gateways: number of gateways.
    :param replicas: number of storage machines.
    :param zones: zones that the machines of each kind are assigned to in turn.
    """

    #: Seconds that a machine may take to end after SIGTERM.
    stop_s = 6.0
    machines_lost_at_once: int | None = None
    memory_mb: int | None = None
    max_fds: int | None = None

    def __init__(
        self, gateways: int = 2, replicas: int = 3, zones: Sequence[str] = ("zone-a",)
    ) -> None:
        #: Zones of the machines, in turn by number; a change applies at a machine's next start.
        self.zones = zones
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = self.make_store()
        self.servers: dict[str, Server] = {}
        self.service_of: dict[str, str] = {}
        self._server_count = 0
        self.routes: list[dict[str, Any]] = []
        #: The limits of the configuration for callers.
        self.limits = {"idle_timeout_ms": 15000, "max_body_bytes": 65536, "header_timeout_ms": 3000}
        #: The tenants of the configuration; None if it has none.
        self.tenants: list[dict[str, Any]] | None = None
        self.version = 1
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self._attempts = 0
        for number in range(replicas):
            self.start_machine(f"storage-{number}", is_gateway=False, is_first=True)
        for number in range(gateways):
            self.start_machine(f"edge-{number}", is_gateway=True, is_first=True)
        # Nothing is ready before the first configuration is known.
        self.publish()

    def make_store(self) -> ObjectStore:
        """Return the platform's store."""
        return ObjectStore()

    # The operators

    def add_route(self, name: str, kind: str, **fields: Any) -> None:
        """Add a route of a kind, with a service of the same name."""
        route = {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "type": kind,
            "service": name,
            "timeout_ms": 3000,
            "slo_ms": 200,
            "attempts": 2,
            "priority": 1,
            "stateful": False,
            "retain_s": 60.0,
            "resumable": False,
        }
        self.routes.append({**route, **fields})

    def publish(self) -> int:
        """Write the configuration; return its version."""
        self.version += 3
        engine = {"slots": 16, "kv_capacity": 500_000, "chunk_tokens": 10}
        names = {route["service"] for route in self.routes}
        services = [{"name": name, "max_conns": 100, "engine": engine} for name in sorted(names)]
        spec: dict[str, Any] = {"routes": self.routes, "services": services, "limits": self.limits}
        if self.tenants is not None:
            spec["tenants"] = self.tenants
        self.store.put("config", "main", {"version": self.version, **spec})
        return self.version

    def add_server(
        self,
        service: str,
        script: Callable[[QuietHandler, Arrival], bool] | None = None,
        version: str | None = None,
    ) -> Server:
        """Start a server and list it."""
        self._server_count += 1
        server = Server(f"i-{self._server_count - 1}", version=version)
        if script is not None:
            server.script = script
        address = server.start()
        self.service_of[server.server_id] = service
        self.servers[server.server_id] = server
        self._list(server, service, address, "ready")
        return server

    def listed_address(self, server_id: str, address: str) -> str:
        """Return the address under which a server is listed."""
        return address

    def _list(self, server: Server, service: str, address: str, state: str) -> None:
        listed = self.listed_address(server.server_id, address)
        spec = {"service": service, "address": listed, "zone": "zone-a", "slots": 16}
        if server.start_ms is not None:
            spec["born"] = server.start_ms
        if server.version is not None:
            spec["version"] = server.version
        self.store.put("servers", server.server_id, {**spec, "state": state, "seq": 1})

    def list_again(self, server: Server, service: str) -> None:
        """Write a server's entry again, unchanged."""
        self._list(server, service, address_of(server.listener), "ready")

    def list_restarted(self, server: Server, service: str, start_ms: int) -> None:
        """Write a server's entry as after a restart at the same address."""
        server.start_ms = start_ms
        self.list_again(server, service)

    def drain(self, server: Server, service: str) -> None:
        """Write a server's entry as draining."""
        self._list(server, service, address_of(server.listener), "draining")

    # Machines

    def start_machine(
        self, name: str, is_gateway: bool, is_first: bool = False, output: int | None = None
    ) -> None:
        """Start a machine's process; it keeps its addresses over restarts.

        :param output: descriptor for its log instead of the log file.
        """
        if name not in self.addresses:
            keys = ("http", "readiness", "peer", "metrics")
            self.addresses[name] = dict(zip(keys, free_addresses(len(keys)), strict=True))
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, is_gateway, is_first))
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            self.command(name),
            cwd=ROOT,
            env={**os.environ, "YARROWWALL_BOOT": str(path)},
            stdout=log if output is None else output,
            stderr=log,
        )

    def command(self, name: str) -> list[str]:
        """Return the command that runs a machine."""
        return [sys.executable, "-m", "yarrowwall.platform"]

    def store_address(self, name: str) -> str:
        """Return the store's address in a machine's settings."""
        return self.store.address_for(name)

    def zone_of(self, name: str) -> str:
        """Return the zone of a machine, by the number in its name."""
        return self.zones[int(name.rpartition("-")[2]) % len(self.zones)]

    def _settings(self, name: str, is_gateway: bool, is_first: bool) -> str:
        own = self.addresses[name]
        losses = self.machines_lost_at_once
        port = {key: address.rpartition(":")[2] for key, address in own.items()}
        lines = [
            f'node_id = "{name}"',
            f'zone = "{self.zone_of(name)}"',
            'ip = "127.0.0.1"',
            f"first_peer_port = {port['peer']}",
            f"last_peer_port = {port['metrics']}",
            f'platform_address = "{self.store_address(name)}"',
            f"is_first_start = {str(is_first).lower()}",
            *([f"memory_mb = {self.memory_mb}"] if self.memory_mb is not None else []),
            *([f"max_fds = {self.max_fds}"] if self.max_fds is not None else []),
            *([f"machines_lost_at_once = {losses}"] if losses is not None else []),
            "[bounds]",
            f"stop = {self.stop_s}",
            "revocation_ms = 5000",
            "configuration_ms = 3000",
            "quota_window_s = 5",
            "quota_overage = 0.1",
            "quota_slack = 5",
        ]
        if is_gateway:
            lines += [
                "[gateway]",
                f'http_address = "{own["http"]}"',
                f'readiness_address = "{own["readiness"]}"',
            ]
        else:
            lines += ["[replica]", f'data_folder = "{self.folder / name}"']
        return "\n".join(lines) + "\n"

    def kill(self, name: str, number: int = signal.SIGKILL) -> subprocess.Popen:
        """Send a signal to a machine's process."""
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
        return process

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the decisions that a machine has logged."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def log_tails(self) -> str:
        """Return the last log lines of each machine, and its exit code if it has ended."""
        found: list[str] = []
        for name, process in sorted(self.processes.items()):
            lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
            found += [f"{name}, exit code {process.poll()}:", *lines[-SHOWN_LINES:]]
        return "\n".join(found)

    def wait_ready(self) -> None:
        """Wait until every gateway is ready and the record store has its group."""
        for name in self.processes:
            if name.startswith("edge"):
                wait_until(lambda name=name: self.is_ready(name), f"{name} is ready")
        wait_until(
            lambda: self.store.get("yarrowwall-groups", "all") is not None, "the first group"
        )

    def is_ready(self, name: str) -> bool:
        """Return whether a gateway reports that it is ready."""
        host, _, port = self.addresses[name]["readiness"].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    # Clients

    def next_attempt(self) -> str:
        """Return a new attempt id."""
        self._attempts += 1
        return f"attempt-{self._attempts}"

    def connect(self, gateway: int = 0) -> http.client.HTTPConnection:
        """Return a connection to a gateway."""
        host, _, port = self.addresses[f"edge-{gateway}"]["http"].partition(":")
        return http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)

    def ask(
        self,
        route: str,
        body: bytes | None = None,
        gateway: int = 0,
        connection: http.client.HTTPConnection | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request as a client and return the response."""
        own = connection is None
        used = connection or self.connect(gateway)
        sent = {"Host": HOST, "X-Attempt-Id": self.next_attempt(), "X-Deadline-Ms": "3000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        started = time.monotonic()
        used.request("GET" if body is None else "POST", f"/{route}/x?q=1", body, sent)
        answer = read_answer(used, started)
        if own:
            used.close()
        return answer

    def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.store.stop()
        for server in self.servers.values():
            server.listener.shutdown()
            server.listener.server_close()
        self._folder.cleanup()


def memory_peak_mb(pid: int) -> float:
    """Return the most memory that a process has had, in MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    peaks = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(peaks[0].split()[1]) / 1024.0 if peaks else 0.0


def read_answer(connection: http.client.HTTPConnection, started: float) -> Answer:
    """Return the response on a connection, complete or not."""
    return read_rest(connection.getresponse(), started)


def read_rest(response: http.client.HTTPResponse, started: float) -> Answer:
    """Return a response that may have been read in part, with the rest as its body."""
    body = bytearray()
    is_whole = True
    try:
        while data := response.read1(65536):
            body += data
        is_whole = response.length in (None, 0)
        response.close()
    except (http.client.IncompleteRead, http.client.HTTPException, OSError, ValueError):
        is_whole = False
    seconds = time.monotonic() - started
    return Answer(response.status, dict(response.headers.items()), bytes(body), is_whole, seconds)
