"""Random faults: signals, network faults, store faults, lost disks and torn logs."""

import random
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any

from features.soak.disks import Disks
from features.soak.promises import Record
from features.soak.proxy import Mode
from features.soak.resource_locks import ResourceLocks
from features.soak.world import SoakWorld
from features.support.platform_world import Server

#: Seconds that a machine has to exit after SIGTERM.
_STOP_S = 10.0
#: Seconds after SIGHUP in which requests may still be affected: the time limit within which a
#: configuration is applied.
_RELOAD_S = 3.0
#: Upper bound (exclusive) of signals or configurations in a row.
_MAX_REPEATS = 6
#: Maximum number of gateways that are stopped one after the other.
_MAX_GATEWAYS_IN_TURN = 4
#: Upper bound (exclusive) of the servers that are replaced one after the other.
_MAX_SERVERS_IN_TURN = 4
#: Longest time in seconds until the entry of a crashed server lapses.
_LAPSE_S = 1.0
_REPLICA_WIPED = "replica wiped"
_SLOW_CALLERS = 20
_SLOW_HEAD = (
    b"POST /records/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: slow-%d\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 60000\r\n\r\n"
)
#: Invalid entries that another writer puts into the store.
_INVALID_ENTRIES: tuple[Any, ...] = (
    None,
    "no entry",
    [1, 2],
    {"service": 7},
    {"service": "records", "address": "127.0.0.1:1", "zone": "zone-a", "slots": -3},
    {"service": "records", "address": "nowhere", "zone": "", "slots": 4, "state": "ready"},
)


class FaultInjector:
    """Injects faults and heals them; each fault worker has its own injector.

    :param rng: determines their duration and, among the unlocked ones, their targets.
    :ivar releases: operations on servers of several versions, by name.
    :ivar planned: operations of operators, by name; these among them.
    :ivar unplanned: all other faults, by name.
    """

    def __init__(
        self,
        world: SoakWorld,
        record: Record,
        resource_locks: ResourceLocks,
        disks: Disks,
        rng: random.Random,
    ) -> None:
        self._world = world
        self._record = record
        self._disruptions = record.disruptions
        self._resource_locks = resource_locks
        self._disks = disks
        self._rng = rng
        self.releases: dict[str, Callable[[], None]] = {
            "server replaced": self._replace_server,
            "servers replaced in turn": self._replace_servers_in_turn,
        }
        self.planned: dict[str, Callable[[], None]] = {
            **self.releases,
            "gateway stopped": self._stop_gateway,
            "gateways stopped in turn": self._stop_gateways_in_turn,
            "settings signalled": self._signal_gateway,
            "settings signalled in a row": self._signal_gateway_repeatedly,
            "configuration": lambda: world.publish() and None,
            "configurations in a row": self._publish_repeatedly,
        }
        self.unplanned: dict[str, Callable[[], None]] = {
            "gateway killed": lambda: self._kill_one(world.gateways),
            "replica killed": lambda: self._kill_one(world.replicas),
            "replica killed, log torn": self._tear_log,
            "replica stopped": lambda: self._stop_replicas(1),
            "replicas stopped in turn": lambda: self._stop_replicas(len(world.replicas)),
            _REPLICA_WIPED: self._wipe_disk,
            "all replicas killed": lambda: self._kill_all(world.replicas),
            "all machines killed": lambda: self._kill_all(world.machines),
            "gateway frozen": lambda: self._freeze_one(world.gateways),
            "replica frozen": lambda: self._freeze_one(world.replicas),
            "store down": self._stop_store,
            "store forgets": world.store.forget_history,
            "store drops one machine": lambda: self._cut_from_store(Mode.SILENT),
            "store refuses one machine": lambda: self._cut_from_store(Mode.REFUSE),
            "store slow for one machine": lambda: self._cut_from_store(Mode.SLOW),
            "server cut": lambda: self._disturb_server(Mode.SILENT),
            "server resets": lambda: self._disturb_server(Mode.REFUSE),
            "server slow": lambda: self._disturb_server(Mode.SLOW),
            "server starts again": self._restart_server,
            "an earlier life told late": self._list_old_incarnation,
            "server crashes": self._crash_server,
            "version left out": self._leave_out_version,
            "server ends": lambda: self._end_servers(1),
            "servers end in a row": self._end_servers_repeatedly,
            "all servers end": lambda: self._end_servers(len(world.fatal_servers.live)),
            "entries of another writer": self._write_invalid_entries,
            "callers that send slowly": self._send_slow_bodies,
        }

    def inject(self, name: str) -> None:
        """Inject one fault of a kind and heal it."""
        if name in self.planned:
            self.planned[name]()
        elif name == _REPLICA_WIPED:
            # It waits until the previous lost disk is copied, and counts as a fault only then.
            self._wipe_disk()
        else:
            with self._disruptions.unplanned(name):
                self.unplanned[name]()

    def _pause(self, max_s: float = 1.5) -> None:
        time.sleep(self._rng.uniform(0.1, max_s))

    # Planned operations

    def _stop_gateway(self) -> None:
        with self._resource_locks.lock_any(self._world.gateways, self._rng) as name:
            if name is not None:
                self._stop(name)

    def _stop_gateways_in_turn(self) -> None:
        """Stop gateways one after the other; signals and changes may occur in the meantime."""
        count = min(_MAX_GATEWAYS_IN_TURN, len(self._world.gateways))
        for gateway in self._rng.sample(self._world.gateways, count):
            with self._resource_locks.lock_any([gateway], self._rng) as name:
                if name is not None:
                    self._stop(name)

    def _stop(self, name: str) -> None:
        with self._disruptions.planned(name):
            self._end(name)
            self._world.restart(name)

    def _end(self, name: str) -> None:
        """Send SIGTERM to a machine and wait for its end."""
        process = self._world.kill(name, signal.SIGTERM)
        try:
            process.wait(timeout=_STOP_S)
        except subprocess.TimeoutExpired:
            self._record.note_violation(f"DRAIN: {name} still runs {_STOP_S} s after SIGTERM")
            self._world.kill(name)

    def _signal_gateway(self) -> None:
        self._signal(self._rng.choice(self._world.gateways), 1)

    def _signal_gateway_repeatedly(self) -> None:
        self._signal(self._rng.choice(self._world.gateways), self._rng.randrange(2, _MAX_REPEATS))

    def _signal(self, name: str, count: int) -> None:
        """Signal a gateway whenever it has started; it isn't locked against other faults."""
        with self._disruptions.planned(name, _RELOAD_S):
            for _ in range(count):
                process = self._world.processes[name]
                if self._world.has_started(name):
                    process.send_signal(signal.SIGHUP)
                time.sleep(self._rng.uniform(0.0, 0.2))

    def _publish_repeatedly(self) -> None:
        for _ in range(self._rng.randrange(2, _MAX_REPEATS)):
            self._world.publish()
            time.sleep(self._rng.uniform(0.0, 0.2))

    def _replace_server(self) -> None:
        with self._lock_advice_server() as server_id:
            if server_id is not None:
                self._world.replace_server(server_id, self._rng)

    def _replace_servers_in_turn(self) -> None:
        """Replace servers one after the other, as a release does."""
        for _ in range(self._rng.randrange(2, _MAX_SERVERS_IN_TURN)):
            self._replace_server()

    def _lock_advice_server(self) -> AbstractContextManager[str | None]:
        return self._resource_locks.lock_any(self._world.advice_servers, self._rng)

    # Machines

    def _kill_one(self, names: list[str]) -> None:
        with self._resource_locks.lock_any(names, self._rng) as name:
            if name is None:
                return
            self._world.kill(name)
            self._pause(1.0)
            self._world.restart(name)

    def _stop_replicas(self, count: int) -> None:
        """Stop replicas one after the other, each of which hands its copies over if it can."""
        for _ in range(count):
            with self._resource_locks.lock_any(self._world.replicas, self._rng) as name:
                if name is None:
                    return
                self._end(name)
                self._pause(0.4)
                self._world.restart(name)

    def _tear_log(self) -> None:
        """Append half a frame to the log, as a power failure does."""
        with self._resource_locks.lock_any(self._world.replicas, self._rng) as name:
            if name is None:
                return
            self._world.kill(name)
            segments = sorted(self._world.disk(name).rglob("*.segment"))
            if segments:
                with segments[-1].open("ab") as file:
                    file.write(self._rng.randbytes(self._rng.randrange(1, 40)))
            self._world.restart(name)

    def _wipe_disk(self) -> None:
        with self._disks.lock, self._disruptions.unplanned(_REPLICA_WIPED) as fault:
            with self._resource_locks.lock_any(self._world.replicas, self._rng) as name:
                if name is None:
                    return
                self._world.kill(name)
                loss = self._disks.lose(name)
                self._world.restart(name)
            self._disks.wait_copied(loss, fault)

    def _kill_all(self, names: list[str]) -> None:
        with self._resource_locks.lock_all(names) as is_held:
            if not is_held:
                return
            self._world.kill_all(names)
            self._pause(0.6)
            for name in names:
                self._world.restart(name)

    def _freeze_one(self, names: list[str]) -> None:
        with self._resource_locks.lock_any(names, self._rng) as name:
            if name is None:
                return
            self._world.kill(name, signal.SIGSTOP)
            self._pause(3.0)
            self._world.kill(name, signal.SIGCONT)

    # Network and store

    def _stop_store(self) -> None:
        self._world.store.is_down = True
        self._pause(3.0)
        self._world.store.is_down = False

    def _cut_from_store(self, mode: Mode) -> None:
        name = self._rng.choice([*self._world.gateways, *self._world.replicas])
        self._disturb(self._world.store_proxies[name], mode)

    def _disturb_server(self, mode: Mode) -> None:
        with self._resource_locks.lock_any(
            sorted(self._world.server_proxies), self._rng
        ) as server_id:
            if server_id is not None:
                self._disturb(self._world.server_proxies[server_id], mode)

    # Servers and callers

    def _service_of(self, server_id: str) -> tuple[Server, str]:
        """Return a server and its service."""
        return self._world.servers[server_id], self._world.service_of[server_id]

    def _restart_server(self) -> None:
        """Restart a server immediately under its id; connections to it are reset."""
        with self._resource_locks.lock_any(self._world.proxied_servers, self._rng) as server_id:
            if server_id is None:
                return
            proxy = self._world.server_proxies[server_id]
            proxy.mode = Mode.REFUSE
            time.sleep(self._rng.uniform(0.0, 0.2))
            proxy.mode = Mode.PASS
            self._world.list_restarted(*self._service_of(server_id), int(time.time() * 1000))

    def _crash_server(self) -> None:
        with self._lock_advice_server() as server_id:
            if server_id is not None:
                self._world.crash_server(server_id, self._rng, _LAPSE_S)

    def _end_servers(self, count: int) -> None:
        """End servers that run fatal requests and others, at the same moment."""
        live = self._world.fatal_servers.live
        for server in self._rng.sample(live, min(count, len(live))):
            self._world.fatal_servers.end(server)

    def _end_servers_repeatedly(self) -> None:
        for _ in range(self._rng.randrange(2, _MAX_REPEATS)):
            self._end_servers(1)
            self._pause(0.4)

    def _leave_out_version(self) -> None:
        with self._lock_advice_server() as server_id:
            if server_id is not None:
                self._world.list_without_version(server_id, self._rng.uniform(0.1, _LAPSE_S))

    def _list_old_incarnation(self) -> None:
        """List an earlier incarnation of a server for a while, as an outdated list does."""
        with self._resource_locks.lock_any(self._world.proxied_servers, self._rng) as server_id:
            if server_id is None:
                return
            server, service = self._service_of(server_id)
            newest = server.start_ms or int(time.time() * 1000)
            self._world.list_restarted(server, service, newest)
            self._world.list_restarted(server, service, newest - 60_000)
            self._pause()
            self._world.list_restarted(server, service, newest)

    def _write_invalid_entries(self) -> None:
        """Write invalid entries, one of them for a while in place of a server's own entry."""
        store = self._world.store
        with self._resource_locks.lock_any(self._world.proxied_servers, self._rng) as server_id:
            if server_id is None:
                return
            for number, spec in enumerate(_INVALID_ENTRIES):
                store.put("servers", f"x-{number}", spec)
            store.put("servers", server_id, self._rng.choice(_INVALID_ENTRIES))
            self._pause()
            self._world.list_again(*self._service_of(server_id))
            for number in range(len(_INVALID_ENTRIES)):
                store.remove("servers", f"x-{number}")

    def _send_slow_bodies(self) -> None:
        """Open requests whose bodies are never completed."""
        host, _, port = self._world.addresses[self._rng.choice(self._world.gateways)][
            "http"
        ].partition(":")
        callers = []
        for number in range(_SLOW_CALLERS):
            try:
                caller = socket.create_connection((host, int(port)), timeout=1.0)
                caller.sendall(_SLOW_HEAD % number + b"x" * 1_000)
                callers.append(caller)
            except OSError:
                # The gateway may be down.
                continue
        self._pause()
        for caller in callers:
            caller.close()

    def _disturb(self, proxy, mode: Mode) -> None:
        proxy.mode = mode
        self._pause(2.5)
        proxy.mode = Mode.PASS
