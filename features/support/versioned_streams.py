"""Streams of servers of several software versions, and clients that resume them.

Each event names the version of its server, so a stream that was joined from two versions shows.
"""

import http.client
import random
import time
import zlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple

from features.support.platform_scripts import full
from features.support.platform_world import (
    HOST,
    Arrival,
    PlatformWorld,
    QuietHandler,
    stream,
)

ROUTE = "advice"
#: Number of events of each stream, after which a server that breaks off does so, and after which a
#: client that cuts its connection does so.
EVENTS = 8
BREAK_AFTER = 3
CUT_AFTER = 2
#: Pause of servers between events in seconds.
PAUSE_S = 0.01
_TIMEOUT_S = 5.0
CONCURRENT_STREAMS = 8


class ReadEvent(NamedTuple):
    """One event that a client received."""

    number: int
    version: str


@dataclass
class ClientStream:
    """A stream as its client sees it over all of its attempts.

    :param attempt_id: id of the attempt that brought the first event.
    :param statuses: status of each attempt; 0 if its connection ended without an answer.
    :param retry_after: the header of the last answer.
    :param last_seconds: how long the last attempt took.
    """

    attempt_id: str
    events: list[ReadEvent] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    retry_after: str | None = None
    last_seconds: float = 0.0

    @property
    def versions(self) -> set[str]:
        """Return the versions that its events are from."""
        return {event.version for event in self.events}

    @property
    def is_whole(self) -> bool:
        """Return whether every event came once and in order."""
        return [event.number for event in self.events] == list(range(1, EVENTS + 1))

    @property
    def is_ordered(self) -> bool:
        """Return whether no event is missing between others or came twice."""
        return [event.number for event in self.events] == list(range(1, len(self.events) + 1))


class VersionedServers:
    """Scripts of servers that stream events naming their version.

    :ivar break_share: share of the runs from the first event that break off midway.
    :ivar full_share: share of the requests that are rejected as not run.
    :ivar ran: attempts that ran, with the version.
    """

    def __init__(self, seed: int = 1) -> None:
        self.break_share = 0.0
        self.full_share = 0.0
        self.ran: dict[str, str] = {}
        self._rng = random.Random(seed)

    def script(self, version: str) -> Callable[[QuietHandler, Arrival], bool]:
        """Return the script of a server of a version."""

        def run(call: QuietHandler, arrival: Arrival) -> bool:
            if self._rng.random() < self.full_share:
                return full(call, arrival)
            self.ran[arrival.attempt_id] = version
            first = int(arrival.headers.get("Last-Event-Id", "0")) + 1
            is_whole = first > 1 or self._rng.random() >= self.break_share
            events = range(first, (EVENTS if is_whole else BREAK_AFTER) + 1)
            return stream(call, arrival, events, PAUSE_S, is_whole, make_event)

        def make_event(number: int) -> bytes:
            return b"id: %d\ndata: %s\n\n" % (number, version.encode())

        return run


class ResumingClient:
    """A client that begins streams and resumes them, at any gateway.

    :param has_budget: whether its requests are turns of programs with a budget.
    :param names_attempt: whether it names the attempt that brought the first event.
    """

    def __init__(
        self, world: PlatformWorld, has_budget: bool = True, names_attempt: bool = True
    ) -> None:
        self._world = world
        self._has_budget = has_budget
        self._names_attempt = names_attempt

    def begin(self, name: str, gateway: int, cut_after: int | None = None) -> ClientStream:
        """Begin a stream; its connection is cut after some events if a number is given."""
        stream = ClientStream(name)
        self._attempt(stream, name, gateway, cut_after)
        return stream

    def resume(
        self, stream: ClientStream, name: str, gateway: int, cut_after: int | None = None
    ) -> int:
        """Resume a stream with a further attempt; return the status."""
        return self._attempt(stream, name, gateway, cut_after)

    def connect(self, gateway: int) -> http.client.HTTPConnection:
        """Return a connection to a gateway."""
        return self._world.connect(gateway)

    def release(
        self, gateway: int, connection: http.client.HTTPConnection, is_reusable: bool
    ) -> None:
        """End the use of a connection."""
        connection.close()

    def _attempt(self, stream: ClientStream, name: str, gateway: int, cut_after: int | None) -> int:
        connection = self.connect(gateway)
        connection.timeout = _TIMEOUT_S
        is_reusable = False
        started = time.monotonic()
        try:
            connection.request("POST", f"/{ROUTE}/x", b"question", self._headers(stream, name))
            response = connection.getresponse()
            stream.statuses.append(response.status)
            stream.retry_after = response.headers.get("Retry-After")
            if response.status == 200:
                is_reusable = _read_events(response, stream, cut_after)
            else:
                response.read()
        except (OSError, ValueError, http.client.HTTPException):
            stream.statuses.append(0)
        finally:
            self.release(gateway, connection, is_reusable)
        stream.last_seconds = time.monotonic() - started
        return stream.statuses[-1]

    def _headers(self, stream: ClientStream, name: str) -> dict[str, str]:
        headers = {"Host": HOST, "X-Attempt-Id": name, "X-Deadline-Ms": "4000"}
        if self._has_budget:
            headers |= {
                "X-Program-Id": f"program-{stream.attempt_id}",
                "X-Session-Id": f"program-{stream.attempt_id}",
                "X-Token-Budget": "2000",
                "X-Token-Count": "100,200",
                "X-Prompt-Prefix": f"ab:80,{zlib.crc32(stream.attempt_id.encode()):x}:20",
            }
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1].number)
            if self._names_attempt:
                headers["Resumes"] = stream.attempt_id
        return headers


def _read_events(
    response: http.client.HTTPResponse, stream: ClientStream, cut_after: int | None
) -> bool:
    """Add the complete events of a response to a stream; return whether it was read whole."""
    number, version = 0, ""
    while line := response.readline():
        if line.startswith(b"id: "):
            number = int(line[4:])
        elif line.startswith(b"data: "):
            version = line[6:].decode().strip()
        elif line == b"\n":
            stream.events.append(ReadEvent(number, version))
            if cut_after is not None and len(stream.events) >= cut_after:
                return False
    return response.isclosed()


def in_parallel(count: int, run: Callable[[int], ClientStream]) -> list[ClientStream]:
    """Run a function for each number from 0 on, some at once."""
    with ThreadPoolExecutor(CONCURRENT_STREAMS) as pool:
        return list(pool.map(run, range(count)))
