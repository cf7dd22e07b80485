"""Random answers without an end, read by the product's connection over a stand-in socket."""

import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from features.support.endless_answers import ENDLESS
from yarrowwall.dispatch import connection as connection_module
from yarrowwall.dispatch import streams
from yarrowwall.dispatch.answer_bounds import (
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    AnswerSize,
)
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.dispatch.response_parser import ResponseParser
from yarrowwall.event_stream import EventSplitter
from yarrowwall.exceptions import AnswerTimeoutError, RelayError
from yarrowwall.http_framing import FRAMING_BYTES_PER_BODY_BYTE

#: Time limit of a read, on the stand-in's clock, and what each piece takes of it.
READ_SECONDS = 3.0
MAX_PIECE_SECONDS = 0.2
#: Largest piece that a connection reads at a time, which may pass a bound.
PIECE_BYTES = 8 * 1024
#: Body after which a reader of whole answers gives up, as the memory budget makes it.
MAX_BODY_BYTES = 512 * 1024
#: Time after which a bounded reader has certainly ended.
_LATE_S = 60.0


class _Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s


class _TooMuchError(RelayError):
    """The body exceeds what its reader keeps."""


class _Socket:
    """A socket from which pieces of bytes arrive, each after some time."""

    def __init__(self, rng: random.Random, clock: _Clock, data: Iterator[bytes]) -> None:
        self._rng, self._clock, self._data = rng, clock, data
        self._rest = b""
        self._is_slow = rng.random() < 0.5

    def receive(self, size: int, timeout: float) -> bytes:
        """Return the next piece, unless it comes after the timeout."""
        wait_s = self._rng.uniform(0.0, MAX_PIECE_SECONDS) if self._is_slow else 0.0001
        assert self._clock.now_s < _LATE_S, "the read does not end"
        if wait_s > timeout:
            self._clock.now_s += timeout
            raise TimeoutError
        self._clock.now_s += wait_s
        if not self._rest:
            self._rest = next(self._data)
        size = self._rng.randint(1, size) if self._rng.random() < 0.5 else size
        piece, self._rest = self._rest[:size], self._rest[size:]
        return piece


def _bytes(rng: random.Random) -> Iterator[bytes]:
    """Yield the bytes of a random answer, most of which never end."""
    answer = rng.choice(list(ENDLESS.values()))
    yield answer.begin.replace(b"@", b"X-Attempt-Id: a\r\n")
    while True:
        if rng.random() < 0.02:
            other = rng.choice(list(ENDLESS.values()))
            yield rng.choice((other.repeated, other.begin, b"\r\n\r\n", b"0\r\n\r\n", b"\n\n"))
        yield answer.repeated * rng.randint(1, 4)


def _kept(connection: ServerConnection) -> int:
    """Return the bytes that the connection keeps outside of what it has passed on."""
    return sum(
        len(response.header_lines)
        + (len(response.head.headers.lines) if response.head is not None else 0)
        + sum(len(chunk) for chunk in response.chunks)
        for response in connection._parser.responses
    )


def unconnected() -> ServerConnection:
    """Return a connection without a socket, whose reads are patched."""
    found = ServerConnection.__new__(ServerConnection)
    found._parser = ResponseParser()
    found._size = AnswerSize()
    found._head_at = 0.0
    found._ends_with_connection = found._must_close = found._is_end_uncertain = False
    found._socket = None  # type: ignore[assignment]
    return found


class _Watched:
    """Checks the bounds of a connection after each piece."""

    def __init__(self, connection: ServerConnection, socket: _Socket) -> None:
        self._connection, self._socket = connection, socket
        self.framing = self.body = 0

    def receive(self, _: object, size: int, timeout: float) -> bytes:
        """Return the next piece."""
        self.body = self._connection._parser.body_bytes
        kept = _kept(self._connection)
        assert kept <= MAX_HEAD_BYTES + 2 * PIECE_BYTES, f"{kept} bytes are kept"
        limit = MAX_HEAD_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self.body + 2 * PIECE_BYTES
        assert self.framing - self.body <= limit, f"{self.framing} bytes, {self.body} of the body"
        data = self._socket.receive(size, timeout)
        self.framing += len(data)
        return data


def _read_whole(connection: ServerConnection, rng: random.Random, clock: _Clock) -> None:
    size = 0

    def count(piece: int) -> None:
        nonlocal size
        size += piece
        if size > MAX_BODY_BYTES:
            raise _TooMuchError

    connection.read_all(READ_SECONDS, count)


def _read_events(connection: ServerConnection, rng: random.Random, clock: _Clock) -> None:
    splitter, end_s = EventSplitter(), clock.now_s + READ_SECONDS
    while clock.now_s < end_s:
        data = connection.read_some(end_s - clock.now_s)
        if not data:
            return
        splitter.feed(data)
        rest = len(splitter.rest)
        if rest > streams.MAX_EVENT_BYTES:
            return
        assert rest <= MAX_EVENT_BYTES + PIECE_BYTES, f"an event of {rest} bytes"


def _skip(connection: ServerConnection, rng: random.Random, clock: _Clock) -> None:
    connection.skip_body(rng.choice((0.02, READ_SECONDS)), rng.choice((1024, 1024 * 1024)))


def check_random_answers(count: int) -> None:
    """Check that reads of random answers end in time and keep no more than their bounds.

    :raises AssertionError: if one does not.
    """
    for seed in range(count):
        rng, clock = random.Random(seed), _Clock()
        connection = unconnected()
        watched = _Watched(connection, _Socket(rng, clock, _bytes(rng)))
        with (
            patch.object(connection_module, "receive", watched.receive),
            patch.object(connection_module.time, "monotonic", clock.monotonic),
        ):
            began_s = clock.now_s
            try:
                connection.read_head(READ_SECONDS)
                assert clock.now_s - began_s <= READ_SECONDS + MAX_PIECE_SECONDS
                began_s = clock.now_s
                rng.choice((_read_whole, _read_events, _skip))(connection, rng, clock)
            except (RelayError, AnswerTimeoutError):
                # Given up, in time and within the bounds.
                pass
            took_s = clock.now_s - began_s
            assert took_s <= READ_SECONDS + MAX_PIECE_SECONDS, f"seed {seed}: {took_s} s"


_check = AnswerSize.check


def _no_head(self: AnswerSize, has_head: bool) -> None:
    if has_head:
        _check(self, has_head)


def _no_framing(self: AnswerSize, has_head: bool) -> None:
    if not has_head:
        _check(self, has_head)


def _keep_trailers(self: ResponseParser, name: bytes, value: bytes) -> None:
    self.responses[-1].header_lines += b"%b: %b\r\n" % (name, value)


def _no_check(self: AnswerSize, has_head: bool) -> None:
    """Bound nothing."""


class _TrailersKept:
    """Keeps trailers, and counts no framing, which would end them early."""

    def __init__(self) -> None:
        self._patches = [
            patch.object(ResponseParser, "on_header", _keep_trailers),
            patch.object(AnswerSize, "check", _no_check),
        ]

    def start(self) -> None:
        for one in self._patches:
            one.start()

    def stop(self) -> None:
        for one in self._patches:
            one.stop()


def _whole_time_for_each_piece(
    self: ServerConnection, timeout: float, count_bytes: Callable[[int], None]
) -> bytes:
    pieces = []
    while data := self.read_some(timeout):
        count_bytes(len(data))
        pieces.append(data)
    return b"".join(pieces)


BOUND_MUTANTS: dict[str, Callable[[], AbstractContextManager[Any] | _TrailersKept]] = {
    "bounds no head": lambda: patch.object(AnswerSize, "check", _no_head),
    "counts no framing": lambda: patch.object(AnswerSize, "check", _no_framing),
    "keeps trailers": _TrailersKept,
    "takes an event of any length": lambda: patch.object(streams, "MAX_EVENT_BYTES", 1 << 40),
    "gives each piece the whole time": lambda: patch.object(
        ServerConnection, "read_all", _whole_time_for_each_piece
    ),
}
