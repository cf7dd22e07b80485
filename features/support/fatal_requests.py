"""Servers that end when they run certain requests, and clients that retry as callers do.

A server that ends closes its listener and all connections at once, without notice. Another one
starts soon under a new id, and the entry of the ended one lapses later.
"""

import http.client
import random
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from features.support.platform_world import (
    HOST,
    Arrival,
    PlatformWorld,
    QuietHandler,
    Server,
    begin_stream,
    event,
    send_chunk,
    stream,
)

#: Requests with this prefix in their bodies end each server that runs them.
FATAL = b"fatal-"
#: Ended servers after which a request is sent to no further one.
MAX_ENDED = 3
EVENTS = 6
#: Events of a fatal stream before its server ends.
FATAL_EVENTS = 2
#: Pause of servers between events, and duration of a lookup, in seconds.
PAUSE_S = 0.01
LOOKUP_S = 0.02
#: Seconds from the arrival of a fatal request to the end of its server.
FATAL_S = 0.05
#: Seconds from the end of a server to the start of another one, and on to the lapse of its entry.
RESTART_S = 0.15
LAPSE_S = 1.0
#: Tries of one request and starts of one turn by a caller.
TRIES = 2
TURN_STARTS = 3
#: Pause before a turn is sent again from its start, in seconds.
MIN_TURN_PAUSE_S = 0.1
MAX_TURN_PAUSE_S = 0.4
#: What the refusal of a request says before the ended servers.
REFUSAL = "servers ended while they ran this request: "
_DEADLINE_S = 3.0
_NOT_RUN = (408, 421, 429, 503)
_RESET = struct.pack("ii", 1, 0)


class Kind(NamedTuple):
    """A kind of requests.

    :param fields: fields of its route.
    :param is_turn: whether its requests are turns of programs, which answer with streams.
    """

    route_type: str
    fields: dict[str, object]
    is_turn: bool


KINDS = {
    "repeatable lookup": Kind("idempotent", {"attempts": 3}, is_turn=False),
    "other lookup": Kind("mutating", {"attempts": 2}, is_turn=False),
    "turn": Kind("streaming", {"attempts": 3, "stateful": True}, is_turn=True),
    "resumable turn": Kind("streaming", {"attempts": 3, "resumable": True}, is_turn=True),
}


class Send(NamedTuple):
    """One arrival of a request at a server.

    :param ended_before: servers that had ended under the request by then.
    """

    server_id: str
    ended_before: int


class RecordedRequests:
    """What servers saw of each request, by its body; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sends: dict[bytes, list[Send]] = {}
        self._running: dict[str, Counter[bytes]] = {}
        self._ended: dict[bytes, set[str]] = {}

    def note_arrival(self, body: bytes, server_id: str) -> None:
        """Record that a request arrived at a server."""
        with self._lock:
            ended = len(self._ended.get(body, ()))
            self._sends.setdefault(body, []).append(Send(server_id, ended))
            self._running.setdefault(server_id, Counter())[body] += 1

    def note_left(self, body: bytes, server_id: str) -> None:
        """Record that a server no longer runs a request."""
        with self._lock:
            self._running[server_id][body] -= 1

    def note_ended(self, server_id: str) -> None:
        """Record that a server ended under all requests that it ran."""
        with self._lock:
            for body, count in self._running.get(server_id, Counter()).items():
                if count > 0:
                    self._ended.setdefault(body, set()).add(server_id)

    def ended(self, body: bytes) -> int:
        """Return the number of servers that ended under a request."""
        with self._lock:
            return len(self._ended.get(body, ()))

    def sends(self, body: bytes) -> list[Send]:
        """Return the arrivals of a request in order."""
        with self._lock:
            return list(self._sends.get(body, ()))

    @property
    def late_sends(self) -> dict[bytes, int]:
        """Return by body the arrivals after ``MAX_ENDED`` servers had ended, if there were any."""
        with self._lock:
            counts = {
                body: sum(send.ended_before >= MAX_ENDED for send in sends)
                for body, sends in self._sends.items()
            }
            return {body: count for body, count in counts.items() if count}


class CrashingServers:
    """The servers of one route, some of whose requests are fatal.

    :ivar reset_share: share of the answers and events that end in a reset while the server lives.
    """

    def __init__(self, world: PlatformWorld, route: str, kind: Kind, seed: int = 1) -> None:
        self._world = world
        self._route = route
        self._kind = kind
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._closing: list[threading.Thread] = []
        self.requests = RecordedRequests()
        self.reset_share = 0.0
        self.ended = 0

    def start(self, count: int) -> None:
        """Start and list servers."""
        for _ in range(count):
            self._start_one()

    def _start_one(self) -> None:
        holder: list[Server] = []
        server = self._world.add_server(
            self._route, lambda call, arrival: self._run(holder, call, arrival)
        )
        holder.append(server)

    def _run(self, holder: list[Server], call: QuietHandler, arrival: Arrival) -> bool:
        server, body = holder[0], arrival.body
        self.requests.note_arrival(body, server.server_id)
        try:
            return self._answer(server, call, arrival)
        finally:
            self.requests.note_left(body, server.server_id)

    def _answer(self, server: Server, call: QuietHandler, arrival: Arrival) -> bool:
        is_fatal = arrival.body.startswith(FATAL)
        if not self._kind.is_turn:
            time.sleep(FATAL_S if is_fatal else LOOKUP_S)
            if is_fatal:
                return self._end_under(server, call)
            return _reset(call) if self._is_reset() else False
        first = int(arrival.headers.get("Last-Event-Id", "0")) + 1
        if is_fatal:
            begin_stream(call, arrival)
            # A resumption ends its server before its first event.
            for number in range(first, FATAL_EVENTS + 1) if first == 1 else ():
                send_chunk(call, event(number))
            time.sleep(FATAL_S)
            return self._end_under(server, call)
        is_reset = self._is_reset()
        last = self._rng.randint(min(first, EVENTS), EVENTS) if is_reset else EVENTS
        return stream(call, arrival, range(first, last + 1), PAUSE_S, is_whole=not is_reset)

    def _end_under(self, server: Server, call: QuietHandler) -> bool:
        """End a server, unless it has dropped the request because its connection was closed."""
        if not _is_closed(call):
            self.end(server)
        call.close_connection = True
        return True

    def _is_reset(self) -> bool:
        return self._rng.random() < self.reset_share

    def end(self, server: Server) -> None:
        """End a server under all that it runs; another one starts, and its entry lapses later."""
        with self._lock:
            if server.server_id not in self._world.servers or server.has_ended:
                return
            server.has_ended = True
            self.ended += 1
        self.requests.note_ended(server.server_id)
        server.crash()
        replace = threading.Thread(target=self._replace, args=(server,), daemon=True)
        self._closing.append(replace)
        replace.start()

    def _replace(self, server: Server) -> None:
        time.sleep(RESTART_S)
        self._start_one()
        time.sleep(LAPSE_S)
        self._world.store.remove("servers", server.server_id)

    @property
    def live(self) -> list[Server]:
        """Return the servers that have not ended."""
        return [
            server
            for server in list(self._world.servers.values())
            if self._world.service_of[server.server_id] == self._route and not server.has_ended
        ]

    def wait_replaced(self) -> None:
        """Wait until all ended servers are replaced and their entries have lapsed."""
        for thread in list(self._closing):
            thread.join()


def _is_closed(call: QuietHandler) -> bool:
    """Return whether the peer has closed the connection."""
    try:
        return not call.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _reset(call: QuietHandler) -> bool:
    """Reset the connection without an answer."""
    call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    call.connection.shutdown(socket.SHUT_RDWR)
    call.close_connection = True
    return True


@dataclass
class Call:
    """One request of a caller, or one turn, over all of its tries.

    :ivar statuses: status of each try; 0 if its connection ended without a whole answer.
    :ivar seconds: duration of each try.
    :ivar bodies: body of each answer.
    """

    body: bytes
    statuses: list[int] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    retry_after: list[str | None] = field(default_factory=list)
    events: int = 0
    is_served: bool = False


def refused_for(call: Call) -> set[str]:
    """Return the ids of the ended servers that refusals of a request name; empty if none did."""
    found: set[str] = set()
    for body in call.bodies:
        _, separator, names = body.decode(errors="replace").partition(REFUSAL)
        if separator:
            found.update(name.partition(" ")[0] for name in names.strip().split(", "))
    return found


class RetryingCaller:
    """Sends requests with the retries that the platform's clients make.

    :param gateways: numbers of the gateways; each try goes to any of them.
    """

    def __init__(self, world: PlatformWorld, route: str, kind: Kind, gateways: list[int]) -> None:
        self._world = world
        self._route = route
        self._kind = kind
        self.gateways = gateways

    def run(self, body: bytes, starts: Sequence[int] = range(TURN_STARTS)) -> Call:
        """Send one request until it is served or no try is left.

        :param starts: numbers of the starts of a turn; other requests have only the first of them.
        """
        rng = random.Random(body)
        call = Call(body)
        for start in starts if self._kind.is_turn else starts[:1]:
            if start:
                time.sleep(rng.uniform(MIN_TURN_PAUSE_S, MAX_TURN_PAUSE_S))
                call.events = 0
            self._run_tries(call, start, rng)
            if call.is_served:
                break
        return call

    def connect(self, gateway: int, is_retry: bool) -> http.client.HTTPConnection:
        """Return a connection to a gateway."""
        return self._world.connect(gateway)

    def release(
        self, gateway: int, connection: http.client.HTTPConnection, is_reusable: bool
    ) -> None:
        """End the use of a connection."""
        connection.close()

    def _run_tries(self, call: Call, start: int, rng: random.Random) -> None:
        end = time.monotonic() + _DEADLINE_S
        resumed = ""
        for number in range(TRIES):
            attempt = f"{call.body.decode()}-{start}-{number}"
            status = self._try(call, attempt, resumed, rng.choice(self.gateways))
            if call.is_served or not self._may_retry(status):
                return
            resumed = resumed or (attempt if call.events else "")
            wait_s = float(call.retry_after[-1] or 0.0)
            time.sleep(min(wait_s, max(end - time.monotonic(), 0.0) / 3.0))

    def _may_retry(self, status: int) -> bool:
        return self._kind.route_type != "mutating" or status in _NOT_RUN

    def _try(self, call: Call, attempt: str, resumed: str, gateway: int) -> int:
        connection = self.connect(gateway, is_retry=bool(call.statuses))
        started = time.monotonic()
        status, body, retry_after, is_reusable = 0, b"", None, False
        try:
            connection.request(
                "POST", f"/{self._route}/x", call.body, self._headers(call, attempt, resumed)
            )
            response = connection.getresponse()
            retry_after = response.headers.get("Retry-After")
            body, is_whole = self._read(response, call)
            status = response.status if is_whole else 0
            is_reusable = is_whole and not response.will_close
            call.is_served = response.status == 200 and is_whole
        except (OSError, ValueError, http.client.HTTPException):
            # The connection ended, as it may when servers or gateways do.
            status = 0
        finally:
            self.release(gateway, connection, is_reusable)
        call.statuses.append(status)
        call.seconds.append(time.monotonic() - started)
        call.bodies.append(body)
        call.retry_after.append(retry_after)
        return status

    def _read(self, response: http.client.HTTPResponse, call: Call) -> tuple[bytes, bool]:
        """Return the body and whether it is whole; count the events of a stream."""
        body = bytearray()
        try:
            while data := response.read1(65536):
                body += data
        except (OSError, http.client.HTTPException):
            self._count_events(response, call, body)
            return bytes(body), False
        is_whole = response.length in (None, 0)
        self._count_events(response, call, body)
        return bytes(body), is_whole

    def _count_events(
        self, response: http.client.HTTPResponse, call: Call, body: bytearray
    ) -> None:
        if self._kind.is_turn and response.status == 200:
            call.events += body.count(b"\n\n")

    def _headers(self, call: Call, attempt: str, resumed: str) -> dict[str, str]:
        program = call.body.decode()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(round(_DEADLINE_S * 1000.0)),
            "X-Program-Id": program,
            "X-Session-Id": program,
        }
        if self._kind.is_turn:
            headers |= {"X-Token-Budget": "2000", "X-Token-Count": "100,200"}
        if resumed and self._kind.fields.get("resumable"):
            headers |= {"Last-Event-Id": str(call.events), "Resumes": resumed}
        return headers


def run_calls(caller: RetryingCaller, bodies: list[bytes], seconds_s: float) -> list[Call]:
    """Run calls that begin evenly over some seconds; return them in order."""
    calls: dict[bytes, Call] = {}

    def run(body: bytes) -> None:
        calls[body] = caller.run(body)

    threads = []
    for body in bodies:
        thread = threading.Thread(target=run, args=(body,), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(seconds_s / len(bodies))
    for thread in threads:
        thread.join()
    return [calls[body] for body in bodies]


def every(seconds_s: float, act: Callable[[], None], stop: threading.Event) -> threading.Thread:
    """Call a function at intervals in a new thread until stopped."""

    def run() -> None:
        while not stop.wait(seconds_s):
            act()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread
