"""Conversations whose streams break off and are resumed, and servers that note what they get.

A server's events depend on the whole body that it gets and on nothing else, as the servers of a
resumable route must do it: whoever goes on with a stream has only the request.
"""

import http.client
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from features.support.platform_world import (
    HOST,
    Arrival,
    PlatformWorld,
    QuietHandler,
    stream,
)
from yarrowwall.hashing import digest

ROUTE = "assist"
EVENTS = 8
PAUSE_S = 0.03
_TIMEOUT_S = 6.0


def pieces(body: bytes) -> list[str]:
    """Return the data of the events of the answer to a body."""
    return [f"{digest(body.hex())[:6]} {number}" for number in range(1, EVENTS + 1)]


class ConversationServers:
    """Scripts of servers that resume streams.

    :ivar bodies: body that was run, by attempt.
    :ivar runs: last event id that each run was sent with, by attempt.
    :ivar break_after: number of events after which a run breaks off, the first time of a body.
    :ivar shifts_ids: whether a run for another attempt numbers its events otherwise.
    :ivar break_share: share of the runs that break off midway.
    :ivar check: called with each attempt and the body that a server got for it.
    """

    def __init__(self, seed: int = 1) -> None:
        self.break_share = 0.0
        self.check: Callable[[str, bytes], None] = lambda attempt_id, body: None
        self._rng = random.Random(f"{seed}/conversations")
        self.bodies: dict[str, bytes] = {}
        self.runs: dict[str, list[str | None]] = {}
        self.break_after: int | None = None
        self.shifts_ids = False
        self._broken: set[bytes] = set()
        self._seen: set[bytes] = set()

    def run(self, call: QuietHandler, arrival: Arrival) -> bool:
        """Answer a turn."""
        body = arrival.body
        after = arrival.headers.get("Last-Event-Id")
        self.bodies[arrival.attempt_id] = body
        self.check(arrival.attempt_id, body)
        self.runs.setdefault(arrival.attempt_id, []).append(after)
        shift = 100 if self.shifts_ids and body in self._seen else 0
        self._seen.add(body)
        data = pieces(body)

        def make_event(number: int) -> bytes:
            return b"id: %d\ndata: %s\n\n" % (number + shift, data[number - 1].encode())

        first = int(after or 0) + 1
        break_after = self.break_after if body not in self._broken else None
        if self._rng.random() < self.break_share:
            break_after = self._rng.randrange(EVENTS)
        breaks_off = break_after is not None
        last = EVENTS if break_after is None else min(first - 1 + break_after, EVENTS)
        self._broken.add(body)
        return stream(call, arrival, range(first, last + 1), PAUSE_S, not breaks_off, make_event)


@dataclass
class Stream:
    """The answer to one turn as its client sees it, over all attempts.

    :param attempt_ids: the attempts, oldest first.
    :param statuses: status of each attempt; 0 if its connection ended without an answer.
    :param is_ended: whether the last attempt brought the end of the answer.
    """

    name: str
    input: bytes
    previous: str
    data: list[str] = field(default_factory=list)
    last_id: str = ""
    attempt_ids: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    is_ended: bool = False

    @property
    def is_whole(self) -> bool:
        """Return whether every event came once."""
        return len(self.data) == EVENTS


class Conversation:
    """A client's conversation with its program.

    :param names_attempt: whether it names the attempt that brought a stream's first event.
    """

    def __init__(self, world: PlatformWorld, name: str, names_attempt: bool = False) -> None:
        self.world = world
        self.name = name
        self._names_attempt = names_attempt
        self._turns = 0

    def begin(self, previous: str = "") -> Stream:
        """Return the stream of a new turn."""
        self._turns += 1
        name = f"{self.name}t{self._turns}"
        return Stream(name, f"[input of {name}]".encode(), previous)

    def attempt(
        self,
        stream: Stream,
        gateway: int,
        cut_after: int | None = None,
        at_events: Callable[[Stream], None] = lambda stream: None,
    ) -> int:
        """Send a turn, or resume its stream; return the status.

        :param cut_after: number of events after which the client closes the connection.
        :param at_events: called with each event that the client has.
        """
        attempt_id = f"{stream.name}a{len(stream.attempt_ids)}"
        stream.attempt_ids.append(attempt_id)
        stream.is_ended = False
        connection = self.connect(gateway)
        connection.timeout = _TIMEOUT_S
        is_reusable = False
        try:
            headers = self._headers(stream, attempt_id)
            connection.request("POST", f"/{ROUTE}/x", stream.input, headers)
            response = connection.getresponse()
            stream.statuses.append(response.status)
            if response.status == 200:
                is_reusable = stream.is_ended = self._read(response, stream, cut_after, at_events)
            else:
                response.read()
        except (OSError, ValueError, http.client.HTTPException):
            stream.statuses.append(0)
        finally:
            self.release(gateway, connection, is_reusable)
        return stream.statuses[-1]

    def connect(self, gateway: int) -> http.client.HTTPConnection:
        """Return a connection to a gateway."""
        return self.world.connect(gateway)

    def release(
        self, gateway: int, connection: http.client.HTTPConnection, is_reusable: bool
    ) -> None:
        """End the use of a connection."""
        connection.close()

    @staticmethod
    def _read(
        response: http.client.HTTPResponse,
        stream: Stream,
        cut_after: int | None,
        at_events: Callable[[Stream], None],
    ) -> bool:
        """Read a response; return whether it was read to its end.

        :raises http.client.IncompleteRead: if it breaks off.
        """
        buffer = b""
        # ``readline`` takes a response that breaks off for one that has ended.
        while data := response.read1(65536):
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
                stream.data.append(fields[b"data"].decode())
                stream.last_id = fields[b"id"].decode()
                at_events(stream)
                if cut_after is not None and len(stream.data) >= cut_after:
                    return False
        return True

    def _headers(self, stream: Stream, attempt_id: str) -> dict[str, str]:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": "4000",
            "X-Program-Id": f"program-{self.name}",
            "X-Session-Id": f"session-{self.name}",
            "X-Token-Budget": "100000",
            "X-Token-Count": "100,200",
            "X-Prompt-Prefix": "ab:80,cd:20",
        }
        if stream.previous:
            headers["X-Previous-Turn"] = stream.previous
        if stream.last_id:
            headers["Last-Event-Id"] = stream.last_id
            if self._names_attempt:
                headers["Resumes"] = stream.attempt_ids[0]
        return headers

    def run_until_whole(self, stream: Stream, gateways: list[int]) -> None:
        """Resume a stream at one gateway after the other until it is whole.

        :raises AssertionError: if it doesn't become whole.
        """
        for gateway in gateways:
            if stream.is_whole and stream.statuses[-1] == 200:
                return
            self.attempt(stream, gateway)
            time.sleep(0.2)
        assert stream.is_whole, stream


def history(earlier: bytes, stream: Stream) -> bytes:
    """Return what a server gets for all turns up to one, before the next input.

    :param earlier: the same up to the turn before.
    """
    output = "".join(piece + "\n" for piece in stream.data)
    return earlier + stream.input + output.encode()
