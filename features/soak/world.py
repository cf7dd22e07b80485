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
from features.soak.proxy import Mode, Proxy
from features.support.conversations import ROUTE as CONVERSATION
from features.support.conversations import ConversationServers
from features.support.endless_answers import ENDLESS, EndlessServer
from features.support.fatal_requests import KINDS, CrashingServers
from features.support.platform_scripts import full
from features.support.platform_world import (
    Arrival,
    PlatformWorld,
    QuietHandler,
    Server,
    own_headers,
    stream,
)
from features.support.versioned_streams import ROUTE as ADVICE
from features.support.versioned_streams import VersionedServers

CHAT = "chat"
LOOKUP = "records"
#: Route of turns that needs the key of the tenant; all others are public.
KEYED, TENANT, KEY = "keyed", "alloy", "key-a"
#: Kinds of the routes to servers whose answers never end.
ENDLESS_KINDS = ("idempotent", "mutating", "streaming")
FATAL_ROUTE = "fatal"
FATAL_KIND = KINDS["resumable turn"]
#: Slots of a server and retention of turns in seconds, as in the test configuration.
SLOTS = 16
RETAIN_S = 60.0
_LOOKUP_SERVERS = 2
_FATAL_SERVERS = 6
_CHAT_SERVERS = 3
_ENDLESS_SERVERS = 3
#: Versions of the servers of resumable streams at the start, and those of servers added later.
_FIRST_VERSIONS = ("v1", "v1", "v2", "v2")
_VERSIONS = ("v1", "v2", "v3")
#: Seconds for which a server serves after it says that it is draining.
_DRAIN_S = 2.2
#: Shares of the requests that servers reject, drop the response of, or abort.
_REJECTED_SHARE = 0.03
_LOST_ANSWER_SHARE = 0.02
_BROKEN_OFF_SHARE = 0.02
_BROKEN_ADVICE_SHARE = 0.1
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


def endless_route(kind: str) -> str:
    """Return the name of the route of a kind to servers whose answers never end."""
    return f"endless-{kind}"


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
        self._ended_proxies: list[Proxy] = []
        self.conversations = ConversationServers(seed)
        self.conversations.break_share = _BROKEN_ADVICE_SHARE
        self._advice = VersionedServers(seed)
        self._advice.break_share = _BROKEN_ADVICE_SHARE
        self._advice.full_share = _REJECTED_SHARE
        self.fatal_servers = CrashingServers(self, FATAL_ROUTE, FATAL_KIND, seed)
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
        self.add_route(ADVICE, "streaming", resumable=True, attempts=2)
        for version in _FIRST_VERSIONS:
            self.add_server(ADVICE, self._advice.script(version), version)
        self.add_route(CONVERSATION, "streaming", stateful=True, resumable=True, attempts=3)
        for _ in range(_CHAT_SERVERS):
            self.add_server(CONVERSATION, self.conversations.run)
        self.add_route(FATAL_ROUTE, FATAL_KIND.route_type, **FATAL_KIND.fields)
        self.fatal_servers.start(_FATAL_SERVERS)
        self._add_endless()
        self.tenants = [{"name": TENANT, "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]
        for route in self.routes:
            route["public"] = True
        self.add_route(KEYED, "streaming", stateful=True, attempts=2, service=CHAT)
        self.publish()
        self.wait_ready()
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()
        proxies = [*self.store_proxies.values(), *self.server_proxies.values()]
        for proxy in [*proxies, *self._ended_proxies]:
            proxy.close()

    def _add_endless(self) -> None:
        """Add servers whose answers never end, of a few kinds that the seed determines."""
        for kind in ENDLESS_KINDS:
            route = endless_route(kind)
            self.add_route(route, kind)
            for what in self._rng.sample(sorted(ENDLESS), _ENDLESS_SERVERS):
                # The soak's own process could not send fast for as long as a stream lasts.
                is_slow = kind == "streaming" or self._rng.random() < 0.5
                self.add_server(route, EndlessServer(ENDLESS[what], is_slow))

    # Proxies

    def store_address(self, name: str) -> str:
        """Return the address at which a machine reaches the store, that of its proxy."""
        if name not in self.store_proxies:
            self.store_proxies[name] = Proxy(lambda: self.store.address)
        return self.store_proxies[name].address

    def listed_address(self, server_id: str, address: str) -> str:
        """Return the address that is listed for a server, that of its proxy."""
        if self.service_of[server_id] == FATAL_ROUTE:
            # A proxy would accept connections after the end of its server.
            return address
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
            return full(call, arrival)
        self._record.note_started(arrival.attempt_id, arrival.body)
        return False

    # Servers of several versions

    @property
    def advice_servers(self) -> list[str]:
        """Return the ids of the servers of resumable streams."""
        servers = list(self.service_of.items())
        return sorted(server_id for server_id, service in servers if service == ADVICE)

    def serving(self, version: str) -> int:
        """Return the number of servers of a version that serve and are not draining."""
        servers = [self.servers.get(server_id) for server_id in self.advice_servers]
        return sum(
            server is not None and server.version == version and not server.is_draining
            for server in servers
        )

    @property
    def proxied_servers(self) -> list[str]:
        """Return the ids of the servers that are reached through proxies."""
        return sorted(set(self.servers) & set(self.server_proxies))

    def replace_server(self, server_id: str, rng: random.Random) -> None:
        """Start a server of any version, and let another one drain and end."""
        version = rng.choice(_VERSIONS)
        self.add_server(ADVICE, self._advice.script(version), version)
        self.drain_and_end(self.servers[server_id])

    def drain_and_end(self, server: Server) -> None:
        """Let a server of resumable streams drain and end."""
        server.is_draining = True
        self.drain(server, ADVICE)
        time.sleep(_DRAIN_S)
        self.end_server(server)
        self.store.remove("servers", server.server_id)

    def end_server(self, server: Server) -> None:
        """End a server of resumable streams; its connections are reset."""
        del self.servers[server.server_id], self.service_of[server.server_id]
        proxy = self.server_proxies.pop(server.server_id)
        proxy.mode = Mode.REFUSE
        self._ended_proxies.append(proxy)
        server.listener.shutdown()
        server.listener.server_close()

    def crash_server(self, server_id: str, rng: random.Random, lapse_s: float) -> None:
        """End a server without notice; its entry lapses later, and one of its version starts."""
        server = self.servers[server_id]
        self.end_server(server)
        time.sleep(rng.uniform(0.0, lapse_s))
        version = server.version or _VERSIONS[0]
        self.add_server(ADVICE, self._advice.script(version), version)
        time.sleep(rng.uniform(0.0, lapse_s))
        self.store.remove("servers", server_id)

    def list_without_version(self, server_id: str, seconds_s: float) -> None:
        """Write a server's entry without its version for a while."""
        server = self.servers[server_id]
        version, server.version = server.version, None
        try:
            self.list_again(server, ADVICE)
            time.sleep(seconds_s)
        finally:
            server.version = version
            self.list_again(server, ADVICE)

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
