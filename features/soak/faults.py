"""Random faults: signals, cuts, a store that misbehaves, disks lost and torn."""

import random
import shutil
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from features.soak.proxy import Mode
from features.soak.world import SoakWorld
from features.support.platform_world import Server

#: Seconds that a wiped replica has to be in its group again.
_REJOIN_S = 25.0
_LOOK_S = 0.1
_SLOW_CALLERS = 20
_SLOW_HEAD = (
    b"POST /records/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: slow-%d\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 60000\r\n\r\n"
)
#: What another writer puts in place of an entry.
_SPOILED: tuple[Any, ...] = (
    None,
    "no entry",
    [1, 2],
    {"service": 7},
    {"service": "records", "address": "127.0.0.1:1", "zone": "zone-a", "slots": -3},
    {"service": "records", "address": "nowhere", "zone": "", "slots": 4, "state": "ready"},
)


class Faults:
    """Strikes again and again, one fault at a time, and heals what it did.

    :param seed: fixes the kinds, their order, their length and what they strike.
    """

    def __init__(self, world: SoakWorld, seed: int) -> None:
        self._world = world
        self._rng = random.Random(f"{seed}/faults")
        self.struck: Counter[str] = Counter()
        self._kinds: dict[str, Callable[[], None]] = {
            "gateway killed": lambda: self._killed(self._rng.choice(world.gateways)),
            "replica killed": lambda: self._killed(self._rng.choice(world.replicas)),
            "replica killed, log torn": self._torn,
            "replica wiped": self._wiped,
            "all replicas killed": self._all_replicas_killed,
            "all machines killed": self._all_killed,
            "gateway frozen": lambda: self._frozen(self._rng.choice(world.gateways)),
            "replica frozen": lambda: self._frozen(self._rng.choice(world.replicas)),
            "gateway stopped": self._stopped,
            "settings signalled": self._signalled,
            "store down": self._store_down,
            "store forgets": world.store.forget_history,
            "store drops one machine": lambda: self._cut_from_store(Mode.SILENT),
            "store refuses one machine": lambda: self._cut_from_store(Mode.REFUSE),
            "store slow for one machine": lambda: self._cut_from_store(Mode.SLOW),
            "server cut": lambda: self._server(Mode.SILENT),
            "server resets": lambda: self._server(Mode.REFUSE),
            "server slow": lambda: self._server(Mode.SLOW),
            "server starts again": self._reborn,
            "an earlier life told late": self._told_late,
            "entries of another writer": self._spoiled,
            "callers that send slowly": self._slow_callers,
            "configuration": lambda: world.publish() and None,
        }

    def strike_until(self, end: float) -> None:
        """Strike until a moment of the monotonic clock; everything is healed then."""
        while time.monotonic() < end:
            name = self._rng.choice(sorted(self._kinds))
            self.struck[name] += 1
            self._kinds[name]()
            time.sleep(self._rng.uniform(0.05, 0.8))

    def _pause(self, most_s: float = 1.5) -> None:
        time.sleep(self._rng.uniform(0.1, most_s))

    # Machines

    def _killed(self, name: str) -> None:
        self._world.kill(name)
        self._pause(1.0)
        self._world.restart(name)

    def _torn(self) -> None:
        """Leave half a frame behind the log, as a loss of power does."""
        name = self._rng.choice(self._world.replicas)
        self._world.kill(name)
        segments = sorted(self._world.disk(name).rglob("*.segment"))
        if segments:
            with segments[-1].open("ab") as file:
                file.write(self._rng.randbytes(self._rng.randrange(1, 40)))
        self._world.restart(name)

    def _wiped(self) -> None:
        name = self._rng.choice(self._world.replicas)
        before = self._synchronisations(name)
        self._world.kill(name)
        shutil.rmtree(self._world.disk(name), ignore_errors=True)
        self._world.restart(name)
        # One disk may be lost at a time: the next loss waits for the copy.
        end = time.monotonic() + _REJOIN_S
        while self._synchronisations(name) == before or self._is_changing():
            if time.monotonic() > end:
                raise AssertionError(f"{name} was wiped and is not in its group again")
            time.sleep(_LOOK_S)

    def _synchronisations(self, name: str) -> int:
        return sum(line["kind"] == "ReplicaSynchronised" for line in self._world.log(name))

    def _is_changing(self) -> bool:
        groups = self._world.store.get("yarrowwall-groups", "all")
        return groups is None or any(view["joining"] for view in groups["spec"]["groups"])

    def _all_replicas_killed(self) -> None:
        self._all(self._world.replicas)

    def _all_killed(self) -> None:
        self._all([*self._world.replicas, *self._world.gateways])

    def _all(self, names: list[str]) -> None:
        for name in names:
            self._world.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self._world.processes[name].wait()
        self._pause(0.6)
        for name in names:
            self._world.restart(name)

    def _frozen(self, name: str) -> None:
        self._world.kill(name, signal.SIGSTOP)
        self._pause(3.0)
        self._world.kill(name, signal.SIGCONT)

    def _stopped(self) -> None:
        name = self._rng.choice(self._world.gateways)
        self._world.kill(name, signal.SIGTERM).wait(timeout=10.0)
        self._world.restart(name)

    def _signalled(self) -> None:
        self._world.kill(self._rng.choice(self._world.gateways), signal.SIGHUP)

    # What stands between

    def _store_down(self) -> None:
        self._world.store.is_down = True
        self._pause(3.0)
        self._world.store.is_down = False

    def _cut_from_store(self, mode: Mode) -> None:
        name = self._rng.choice([*self._world.gateways, *self._world.replicas])
        self._through(self._world.store_proxies[name], mode)

    def _server(self, mode: Mode) -> None:
        server_id = self._rng.choice(sorted(self._world.server_proxies))
        self._through(self._world.server_proxies[server_id], mode)

    # Servers and callers

    def _pick_server(self) -> tuple[Server, str]:
        """Return a server and its service."""
        server = self._world.servers[self._rng.choice(sorted(self._world.servers))]
        return server, self._world.service_of[server.server_id]

    def _reborn(self) -> None:
        """Let a server start again at once under its id; connections to it end."""
        server, service = self._pick_server()
        proxy = self._world.server_proxies[server.server_id]
        proxy.mode = Mode.REFUSE
        time.sleep(self._rng.uniform(0.0, 0.2))
        proxy.mode = Mode.PASS
        self._world.list_reborn(server, service, int(time.time() * 1000))

    def _told_late(self) -> None:
        """Tell of an earlier incarnation of a server, as a list that is old does."""
        server, service = self._pick_server()
        newest = server.born_ms or int(time.time() * 1000)
        self._world.list_reborn(server, service, newest)
        self._world.list_reborn(server, service, newest - 60_000)
        self._pause()
        self._world.list_reborn(server, service, newest)

    def _spoiled(self) -> None:
        """Let another writer spoil entries, one of them a server's own for a while."""
        server, service = self._pick_server()
        store = self._world.store
        for number, spec in enumerate(_SPOILED):
            store.put("servers", f"x-{number}", spec)
        store.put("servers", server.server_id, self._rng.choice(_SPOILED))
        self._pause()
        self._world.list_again(server, service)
        for number in range(len(_SPOILED)):
            store.remove("servers", f"x-{number}")

    def _slow_callers(self) -> None:
        """Let callers begin bodies that they do not end."""
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
                # The gateway may just be down.
                continue
        self._pause()
        for caller in callers:
            caller.close()

    def _through(self, proxy, mode: Mode) -> None:
        proxy.mode = mode
        self._pause(2.5)
        proxy.mode = Mode.PASS
