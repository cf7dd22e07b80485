"""Stand-ins for a record server and a tool service."""

import socket
from collections.abc import Iterable

import eventlet

from yarrowwall.hashing import digest
from yarrowwall.standalone.standins.web import Call, StandInServer


class RecordsStandIn:
    """A record server that has a record for every key.

    :param seconds: Duration of a lookup.
    :ivar served: ``kind/key`` of each answered lookup, in order.
    """

    def __init__(self, listener: socket.socket, seconds: float = 0.005) -> None:
        self._seconds = seconds
        self.served: list[str] = []
        self.server = StandInServer(listener, {("GET", "/records"): self._look_up})

    def _look_up(self, call: Call) -> Iterable[bytes]:
        kind, key = call.query("kind"), call.query("key")
        eventlet.sleep(self._seconds)
        self.served.append(f"{kind}/{key}")
        return call.json({"kind": kind, "key": key, "record": digest(kind, key)})


class ToolStandIn:
    """A tool service with a delay that a request may override, for example to hang.

    :param seconds: Default duration of a request.
    """

    def __init__(self, listener: socket.socket, seconds: float = 0.05) -> None:
        self._seconds = seconds
        self.server = StandInServer(listener, {("POST", "/tools"): self._use})

    def _use(self, call: Call) -> Iterable[bytes]:
        body = call.body()
        eventlet.sleep(float(body.get("seconds", self._seconds)))
        return call.json({"result": digest(str(body.get("input")))})
