"""Stand-ins for the cases of the second review: the platform, its store, servers and clients.

They follow the pages of the platform and use only the standard library. All addresses are on
loopback; each machine has an address of its own there.
"""

import contextlib
import http.client
import json
import os
import re
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
CHUNK_TOKENS = 23
#: Bounds of the small deployments.
BOUNDS = {"grace_s": 8, "config_ms": 2000, "drain_ms": 2000, "contact_ms": 3000}


class Record:
    """Writes what happened to ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
            self._file.flush()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body, headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    request_queue_size = 128
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass


def _serve(handler, host, port=0):
    server = _Server((host, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's metadata store. Each machine reaches it at an address of its own.

    :ivar silent: machines that get no answers.
    :ivar delay_s: seconds by which answers to a machine are late.
    """

    def __init__(self, record, host):
        self._record = record
        self._host = host
        self.lock = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.history = []
        self.silent = set()
        self.delay_s = {}
        #: Seconds by which ``stale`` reads are behind.
        self.stale_s = 0.0
        self._past = [(time.monotonic(), 1, {})]
        self._servers = {}

    def address_for(self, machine):
        if machine not in self._servers:
            store = self

            class Handler(_Handler):
                def _run(self):
                    store._handle(self, machine)

                do_GET = do_POST = do_PUT = do_DELETE = _run

            self._servers[machine] = _serve(Handler, self._host)
        host, port = self._servers[machine].server_address
        return f"{host}:{port}"

    def put(self, kind, name, spec, status=None):
        with self.lock:
            return self._change(kind, name, spec, status)

    def remove(self, kind, name):
        with self.lock:
            self._remove(kind, name)

    def get(self, kind, name):
        with self.lock:
            return self.objects.get((kind, name))

    def turn_away(self, machine):
        """Say nothing more to a machine."""
        with self.lock:
            self.silent.add(machine)
            self.lock.notify_all()
        self._record.note(f"the store says nothing more to {machine}")

    def serve_again(self, machine):
        with self.lock:
            self.silent.discard(machine)
            self.lock.notify_all()
        self._record.note(f"the store answers {machine} again")

    def _change(self, kind, name, spec, status):
        known = self.objects.get((kind, name))
        if known is not None and (known["spec"], known["status"]) == (spec, status):
            return known
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "made": 1, "finalizers": []}
        item = {"meta": {**meta, "deleting": False}, "spec": spec, "status": status}
        self.objects[(kind, name)] = item
        self._log_change(kind, item, False)
        return item

    def _remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._log_change(kind, item, True)

    def _log_change(self, kind, item, gone):
        self.history.append((self.revision, kind, item, gone))
        self._past.append((time.monotonic(), self.revision, dict(self.objects)))
        if kind.startswith("yarrowwall-groups"):
            self._record.note(f"groups, revision {self.revision}: {describe_groups(item)}")
        self.lock.notify_all()

    def _handle(self, call, machine):
        parts = urlsplit(call.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        names = parts.path.strip("/").split("/")[1:]
        body = json.loads(call.body() or b"{}")
        if self._is_silent(call, machine):
            return
        time.sleep(0.004 + self.delay_s.get(machine, 0.0))
        with self.lock:
            status, document = self._answer(call.command, names, query, body, machine)
        if self._is_silent(call, machine):
            return
        call.answer(status, json.dumps(document).encode(), [("Content-Type", "application/json")])

    def _is_silent(self, call, machine):
        """Keep silent on the connection for good, if the machine is turned away."""
        if machine not in self.silent:
            return False
        with contextlib.suppress(OSError):
            while call.connection.recv(65536):
                pass
        call.close_connection = True
        return True

    def _answer(self, method, names, query, body, machine):
        if method == "GET" and "watch" in query:
            return self._watch(names[0], int(query["watch"]), int(query["wait_ms"]), machine)
        if method == "GET" and len(names) > 1:
            found = self.objects.get((names[0], names[1]))
            return (200, found) if found is not None else (404, {})
        if method == "GET":
            revision, objects = self.revision, self.objects
            if query.get("stale") and self.stale_s:
                revision, objects = self._earlier()
            items = [item for (kind, _), item in objects.items() if kind == names[0]]
            return 200, {"items": items, "more": False, "at": revision}
        return self._write(method, names, body)

    def _earlier(self):
        since = time.monotonic() - self.stale_s
        older = [entry for entry in self._past if entry[0] <= since] or self._past[:1]
        return older[-1][1], older[-1][2]

    def _watch(self, kind, revision, wait_ms, machine):
        end = time.monotonic() + wait_ms / 1000.0
        while True:
            if machine in self.silent:
                return 503, {}
            events = [
                {"object": item, "gone": gone}
                for at, of, item, gone in self.history
                if at > revision and of == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0.0:
                return 200, {"events": events, "at": self.revision}
            self.lock.wait(left)

    def _write(self, method, names, body):
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
            self._remove(kind, name)
            return 200, {}
        wanted = (body.get("meta") or {}).get("revision")
        if wanted is not None and wanted != known["meta"]["revision"]:
            return 409, known
        if len(names) == 3:
            return 200, self._change(kind, name, known["spec"], body["status"])
        return 200, self._change(kind, name, body["spec"], known["status"])

    def stop(self):
        for server in self._servers.values():
            server.shutdown()
            server.server_close()


def describe_groups(item):
    """Return the views of an object of the system's groups, shortly."""
    found = []
    for view in item["spec"].get("groups", []):
        members = ",".join(member["node_id"] for member in view["members"])
        joining = ",".join(member["node_id"] for member in view["joining"])
        found.append(f"group {view['group']} epoch {view['epoch']} [{members}] joining [{joining}]")
    return "; ".join(found)


class Engine:
    """A model server. Its answer to a body is a stream of events that depends on the body alone.

    :ivar runs: attempt id and body of each run.
    """

    def __init__(self, world, server_id, service, zone, events=6, pause_s=0.02):
        self.server_id = server_id
        self.runs = []
        self.events = events
        self.pause_s = pause_s
        self._record = world.record
        engine = self

        class Handler(_Handler):
            def _run(self):
                engine._handle(self)

            do_GET = do_POST = _run

        self._server = _serve(Handler, world.host)
        host, port = self._server.server_address
        spec = {"service": service, "address": f"{host}:{port}", "zone": zone, "version": "1.0"}
        spec |= {"slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 1}
        world.store.put("servers", server_id, spec)

    def _handle(self, call):
        attempt = call.headers.get("X-Attempt-Id", "")
        body = call.body()
        own = [("X-Attempt-Id", attempt), ("X-Server-Seal", f"{self.server_id}.{attempt}")]
        if call.headers.get("X-Expect-Instance") not in (None, self.server_id):
            call.answer(421, b"", [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")])
            return
        self.runs.append((attempt, body))
        self._record.note(f"server {self.server_id} runs {attempt}, body of {len(body)} bytes")
        call.send_response(200)
        for name, value in [*own, ("Content-Type", "text/event-stream")]:
            call.send_header(name, value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        with contextlib.suppress(OSError):
            for number in range(1, self.events + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, self.data(attempt, number).encode())
                call.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                call.wfile.flush()
                time.sleep(self.pause_s)
            call.wfile.write(b"0\r\n\r\n")

    @staticmethod
    def data(attempt, number):
        return f"piece {number} of {attempt}"

    def stop(self):
        self._server.shutdown()
        self._server.server_close()


def render(template, fields):
    """Fill a template of the deploy file as the platform does."""

    def lookup(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = lookup(match[2])
        is_given = value not in (None, False, [], {})
        return match[3] if is_given == (match[1] == "#") else ""

    def gap(match):
        value = lookup(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    filled = re.sub(r"\{\{([#^])([^}]*)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^}|#^/]*)(\|json)?\}\}", gap, filled)


class World:
    """A small deployment on loopback."""

    def __init__(self, case, losses=1):
        self.record = Record(case)
        self._folder = tempfile.mkdtemp(prefix="yarrowwall-review-")
        self.folder = Path(self._folder)
        self._network = f"127.{20 + os.getpid() // 250 % 200}.{os.getpid() % 250}"
        self.host = f"{self._network}.1"
        self._next_host = 10
        self._losses = losses
        self.store = Store(self.record, self.host)
        self.processes = {}
        self._machines = {}
        self.engines = {}
        self._version = 100
        self._attempts = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]

    # The operator

    def configure(self, routes, services, tenants=None):
        self._version += 7
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        spec = {"version": self._version, "routes": routes, "services": services, "limits": limits}
        if tenants is not None:
            spec["tenants"] = tenants
        self.store.put("config", "main", spec)

    @staticmethod
    def turn_route(**more):
        route = {"name": "chat", "host": HOST, "path_prefix": "/chat/", "type": "streaming"}
        route |= {"service": "llm", "timeout_ms": 3000, "slo_ms": 200, "gap_slo_ms": 300}
        route |= {"attempts": 2, "priority": 0, "sticky": True, "resumable": False}
        return route | {"stateful": True, "retain_s": 60.0} | more

    @staticmethod
    def engine_service():
        engine = {"slots": 16, "kv_capacity": 500_000, "chunk_tokens": CHUNK_TOKENS}
        return {"name": "llm", "max_conns": 180, "engine": engine}

    def retire(self, machine, period_s=8, taken_back_after_s=None):
        """Ask that a storage machine be emptied, and remove it with its disk once it is.

        The request is taken back so many seconds after the machine is removed; never if None.
        """
        self.record.note(f"the operator retires {machine}")
        self.store.put("retirements", machine, {"period_s": period_s}, None)

        def is_complete():
            status = (self.store.get("retirements", machine) or {}).get("status") or {}
            return status.get("state") == "complete"

        self.wait(is_complete, 30.0, f"{machine} is emptied")
        self.kill(machine)
        shutil.rmtree(self.folder / machine, ignore_errors=True)
        self.record.note(f"{machine} is complete and removed with its disk")
        if taken_back_after_s is not None:
            time.sleep(taken_back_after_s)
            self.store.remove("retirements", machine)
            self.record.note(f"the request to retire {machine} is taken back")

    # Machines

    def start(self, machine, role, zone, first=False):
        if machine not in self._machines:
            self._next_host += 1
            self._machines[machine] = (f"{self._network}.{self._next_host}", role, zone)
        ip = self._machines[machine][0]
        fields = {"node_name": machine, "zone": zone, "ip": ip, "port_range": [7380, 7395]}
        fields |= {"platform": {"address": self.store.address_for(machine)}, "bootstrap": first}
        fields |= {"limits": {"memory_mb": 260}, "fault_tolerance": {"machines": self._losses}}
        fields |= {"bounds": BOUNDS}
        if role == "gateway":
            fields["listen"] = {"http": f"{ip}:8149", "readiness": f"{ip}:8141"}
        else:
            (self.folder / machine).mkdir(exist_ok=True)
            fields["data_dir"] = str(self.folder / machine)
        settings = self.folder / f"{machine}.toml"
        settings.write_text(render((ROOT / self._roles[role]["template"]).read_text(), fields))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = (self.folder / f"{machine}.log").open("ab")
        self.processes[machine] = subprocess.Popen(
            self._roles[role]["run"].split(),
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "YARROWWALL_BOOT": str(settings),
            },
            stdout=log,
            stderr=log,
        )
        self.record.note(f"{machine} starts in {zone}")

    def kill(self, machine, number=signal.SIGKILL):
        process = self.processes[machine]
        self.record.note(f"{signal.Signals(number).name} to {machine}")
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def is_ready(self, machine):
        ip = self._machines[machine][0]
        connection = http.client.HTTPConnection(ip, 8141, timeout=1.0)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self, machines, seconds=25.0):
        for machine in machines:
            self.wait(lambda machine=machine: self.is_ready(machine), seconds, f"{machine} ready")
            self.record.note(f"{machine} is ready")

    @staticmethod
    def wait(condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"gave up waiting: {what}")
            time.sleep(0.01)

    def views(self):
        found = self.store.get("yarrowwall-groups", "all")
        return found["spec"]["groups"] if found is not None else []

    # Clients

    def next_attempt(self, name):
        self._attempts += 1
        return f"{name}{self._attempts:04d}"

    def connect(self, gateway, timeout=6.0):
        return http.client.HTTPConnection(self._machines[gateway][0], 8149, timeout=timeout)

    def turn(self, gateway, program, body, previous="", connection=None, path="/chat/x", **more):
        """Send a turn; return its attempt id, status, the data of its events, and wholeness."""
        attempt = self.next_attempt(program)
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000"}
        headers |= {"X-Program-Id": program, "X-Session-Id": f"{program}-s"}
        headers |= {"X-Finish-Ms": "60000", "X-Token-Budget": "20000", "X-Token-Count": "200,200"}
        headers |= {"X-Prompt-Prefix": "5c1e07a2:80,91bd3f06:41"}
        if previous:
            headers["X-Previous-Turn"] = previous
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        own = connection or self.connect(gateway)
        self.record.note(f"client sends {attempt} to {gateway}, previous turn {previous or '-'}")
        status, data, is_whole = 0, [], False
        try:
            own.request("POST", path, body, headers)
            response = own.getresponse()
            status = response.status
            text = b""
            while piece := response.read1(65536):
                text += piece
            is_whole = response.length in (None, 0)
            if status == 200:
                lines = text.decode().split("\n")
                data = [line[6:] for line in lines if line.startswith("data: ")]
        except (OSError, http.client.HTTPException):
            is_whole = False
        finally:
            if connection is None:
                own.close()
        reason = "" if status == 200 else f" ({text.decode().strip()})" if status else " (closed)"
        whole = "whole" if is_whole else "broken off"
        self.record.note(f"client gets {status} for {attempt}, {len(data)} events, {whole}{reason}")
        return Turn(attempt, status, data, is_whole)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for engine in self.engines.values():
            engine.stop()
        self.store.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            Path(kept).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                shutil.copy(log, kept)
        shutil.rmtree(self._folder, ignore_errors=True)


class Turn:
    """What a client got for a turn."""

    def __init__(self, attempt, status, data, is_whole):
        self.attempt = attempt
        self.status = status
        self.data = data
        self.is_whole = is_whole

    @property
    def is_answered(self):
        return self.status == 200 and self.is_whole


class CannotRunError(Exception):
    """The case could not run."""


def run_case(case, play):
    """Run a case; return the exit code: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param play: called with the world; returns whether the rule was broken.
    """
    world = World(case)
    try:
        broken = play(world)
        world.record.note("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    except CannotRunError as error:
        world.record.note(f"the case could not run: {error}")
        return 2
    finally:
        world.stop()
