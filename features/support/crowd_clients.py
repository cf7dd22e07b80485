"""Clients that do not behave: what a crowd of them sends, again and again."""

import contextlib
import random
import select
import socket
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from features.support.platform_world import HOST

#: Bytes of the heads, which the limit of 16,384 allows.
HEAD_BYTES = 16_322
ROUTE = "records"
SLOW_TARGET = f"/{ROUTE}/slow"
#: Seconds after which a client gives up waiting and sends anew.
WAIT_S = 3.0
CONNECT_S = 10.0
#: Pieces of a slow client, and the pause between them.
SLOW_PIECE_BYTES = 512
SLOW_PAUSE_S = 0.02
_LAST_CHUNK = b"0\r\n\r\n"


class Kind(NamedTuple):
    """What a client sends on one connection.

    :param answers: answers after which it closes the connection; 0 to wait until it is closed.
    """

    payload: bytes
    answers: int


def head_of(lines: Callable[[int], bytes], size: int = HEAD_BYTES, more: bytes = b"") -> bytes:
    """Return a head of nearly a size that ends with as many of the numbered lines as fit.

    :param more: lines that come first.
    """
    found = bytearray(
        f"POST {SLOW_TARGET} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd\r\n"
        f"X-Deadline-Ms: 3000\r\n".encode()
    )
    found += more
    number = 0
    while len(found) + len(line := lines(number)) + 4 <= size:
        found += line + b"\r\n"
        number += 1
    return bytes(found) + b"\r\n"


_ODD_LINES = (
    b"a:\t\t",
    b"!#$%&'*+-.^_`|~: !",
    b"b: \xe4\xf6\xff",
    b"c:",
    b"d: ,,,,,,,,,,,,,,,,",
    b"Connection: ,a,,b,",
    b"e: ;=;=;=",
)


def _odd_line(number: int) -> bytes:
    return _ODD_LINES[number % len(_ODD_LINES)]


def _numbered_line(number: int) -> bytes:
    return b"x-field-%d: v" % number


def drawn_head(rng: random.Random) -> bytes:
    """Return a legal head of random short lines."""
    names = [bytes(rng.choices(b"abcxyz-_.!0189", k=rng.randint(1, 6))) for _ in range(40)]
    values = [bytes(rng.choices(b"abc ,;=\t\xe4\xff", k=rng.randint(0, 4))) for _ in range(40)]
    spaces = (b"", b" ", b"\t", b"  ")

    def line(number: int) -> bytes:
        return b"%b:%b%b" % (rng.choice(names), rng.choice(spaces), rng.choice(values))

    return head_of(line, rng.randint(2_000, HEAD_BYTES))


_SHORT_LINES = head_of(lambda number: b"ab: ")
_EMPTY_LINES = head_of(lambda number: b"ab:")
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_SMALL_HEAD = head_of(lambda number: b"ab:", size=0)
_RNG = random.Random(84)

KINDS: dict[str, Kind] = {
    "heads of short lines": Kind(_SHORT_LINES, 1),
    "heads of lines without a space": Kind(_EMPTY_LINES, 1),
    "heads of different names": Kind(head_of(_numbered_line), 1),
    "heads of odd lines": Kind(head_of(_odd_line), 1),
    "heads of drawn lines": Kind(drawn_head(_RNG), 1),
    "unfinished heads": Kind(_EMPTY_LINES[:-2], 0),
    "heads before unfinished bodies": Kind(
        head_of(lambda number: b"ab:", more=b"Content-Length: 10\r\n"), 0
    ),
    "long targets": Kind(
        _SMALL_HEAD.replace(SLOW_TARGET.encode(), SLOW_TARGET.encode() + b"/a" * 8_000), 1
    ),
    "small requests without a wait": Kind(b"GET /r/x HTTP/1.1\r\nHost: a\r\n\r\n" * 8_000, 0),
    "served requests without a wait": Kind(_SMALL_HEAD * 2_000, 0),
    "heads without a wait": Kind(_EMPTY_LINES * 16, 0),
    "bodies of small chunks": Kind(
        head_of(lambda number: b"", size=0, more=_CHUNKED) + b"1\r\nx\r\n" * 60_000 + _LAST_CHUNK, 1
    ),
    "trailers of short lines": Kind(
        head_of(lambda number: b"", size=0, more=_CHUNKED)
        + b"0\r\n"
        + b"ab:\r\n" * 3_000
        + b"\r\n",
        1,
    ),
}


class Crowd:
    """Clients that each send one of some kinds on a connection, and begin anew when it ends.

    :param address: ``IP:port`` of the listener.
    :param is_slow: whether they send in small pieces with pauses.
    """

    def __init__(
        self, address: str, count: int, kinds: Sequence[Kind], is_slow: bool = False
    ) -> None:
        self._address = address
        self._is_slow = is_slow
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(kinds[number % len(kinds)],), daemon=True)
            for number in range(count)
        ]

    def send_for(self, seconds: float, watch: Callable[[], None]) -> None:
        """Send for some seconds, call ``watch`` meanwhile, and close all connections."""
        for thread in self._threads:
            thread.start()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            watch()
            time.sleep(0.1)
        self._is_over.set()
        for thread in self._threads:
            thread.join()
        watch()

    def _run(self, kind: Kind) -> None:
        while not self._is_over.is_set():
            play_kind(self._address, kind, self._is_over, self._is_slow)
            self._is_over.wait(0.01)


def play_kind(address: str, kind: Kind, is_over: threading.Event, is_slow: bool = False) -> None:
    """Send one kind on a connection of its own until its answers, its end or some seconds.

    :param address: ``IP:port`` of the listener.
    :param is_over: ends it at once.
    :param is_slow: whether to send in small pieces with pauses.
    """
    host, _, port = address.partition(":")
    # The listener may refuse, close or reset any of these connections.
    with (
        contextlib.suppress(OSError),
        socket.create_connection((host, int(port)), timeout=CONNECT_S) as connection,
    ):
        _exchange(connection, kind, is_over, is_slow)


def _exchange(
    connection: socket.socket, kind: Kind, is_over: threading.Event, is_slow: bool
) -> None:
    """Send, and take answers, until there are enough, the end, or no time is left."""
    connection.setblocking(False)
    # A process with many descriptors can't use select.
    poller = select.poll()
    rest, received = memoryview(kind.payload), bytearray()
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s and not is_over.is_set():
        poller.register(connection, select.POLLIN | (select.POLLOUT if rest else 0))
        events = sum(event for _, event in poller.poll(100))
        if events & select.POLLOUT:
            rest = rest[connection.send(rest[: SLOW_PIECE_BYTES if is_slow else None]) :]
        if events & ~select.POLLOUT:
            data = connection.recv(65536)
            received += data
            if not data or (kind.answers and received.count(b"HTTP/1.1 ") >= kind.answers):
                return
        if is_slow:
            time.sleep(SLOW_PAUSE_S)


def answer_status(address: str, payload: bytes) -> int:
    """Send bytes on a connection of their own; return the status of the answer, 0 for none."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=CONNECT_S) as connection:
        connection.sendall(payload)
        received = connection.recv(65536)
    return int(received.split()[1]) if received.startswith(b"HTTP/1.1 ") else 0
