"""Requests and replies between nodes: frames over TCP, matched by number.

A frame is a four-byte length, a four-byte number and one encoded message.
"""

import contextlib
import socket
import struct
import traceback
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.exceptions import ConnectError
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.exceptions import MalformedMessageError, UnknownMessageError
from yarrowwall.replication.exceptions import FrameError, LinkDownError
from yarrowwall.sockets import Receiver, open_socket, set_tcp_options

#: Longest frame that is read; longer ones close the connection.
MOST_FRAME_BYTES = 64 * 1024 * 1024
#: Seconds for a connection to come up.
CONNECT_SECONDS = 0.3
#: Seconds in which a connection says nothing although it was asked, after which a new one is
#: opened. A connection may fall silent for good without a reset, while its peer's kernel goes
#: on acknowledging; answers take milliseconds.
SILENT_SECONDS = 1.0
#: Seconds after a failed connection in which requests fail at once.
DOWN_SECONDS = 0.1
_READ_BYTES = 256 * 1024
#: Number of frames that get no reply; requests are numbered from 1 to the most.
NO_REPLY = 0
MOST_NUMBER = 2**32 - 1

_HEADER = struct.Struct(">II")
#: Called with the reply, or with None if none will come.
Completion = Callable[[object | None], None]


class FrameChannel:
    """One connection that carries frames both ways.

    :param peer: the address at its other end.
    :param receive: called with number and message of each frame; with None for a message that
        this release does not have.
    :param closed: called once the connection is over.
    """

    def __init__(
        self,
        connection: socket.socket,
        peer: str,
        receive: Callable[[int, object | None], None],
        closed: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._log = log
        self._receive = receive
        self._closed = closed
        self._outgoing: deque[bytes] = deque()
        self._wakeup = Event()
        self._is_writing = False
        self.is_open = True
        connection.settimeout(None)
        eventlet.spawn_n(self._read)
        eventlet.spawn_n(self._write)

    def send(self, number: int, message: object) -> None:
        """Send a frame, or queue it behind others that still wait."""
        body = encode(message)
        frame = _HEADER.pack(len(body), number) + body
        if not self._outgoing and not self._is_writing:
            frame = self._send_now(frame)
        if not frame:
            return
        self._outgoing.append(frame)
        if not self._wakeup.ready():
            self._wakeup.send()

    def _send_now(self, frame: bytes) -> bytes:
        """Return what the kernel does not take at once.

        Most frames fit, which saves a switch to the writing greenthread and back. An
        error is left to that greenthread, so no completion is called from here.
        """
        try:
            sent = self._connection.fd.send(frame)  # type: ignore[attr-defined]
        except OSError:
            return frame
        return frame[sent:]

    def close(self) -> None:
        """End the connection; its reading greenthread wakes up and closes it.

        Closed under that greenthread, its descriptor would stay with eventlet's hub until the
        number is used again; if by the thread pool of the disk, that pool ends.
        """
        if not self.is_open:
            return
        self.is_open = False
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        if not self._wakeup.ready():
            self._wakeup.send()
        self._closed()

    def _write(self) -> None:
        try:
            while self.is_open:
                if not self._outgoing:
                    self._wakeup.wait()
                    self._wakeup = Event()
                    continue
                data = b"".join(self._outgoing)
                self._outgoing.clear()
                self._is_writing = True
                self._connection.sendall(data)
                self._is_writing = False
        except OSError:
            self.close()

    def _read(self) -> None:
        buffer = bytearray()
        receiver = Receiver(self._connection)
        try:
            while self.is_open:
                data = receiver.receive(_READ_BYTES)
                if not data:
                    break
                buffer += data
                self._take_frames(buffer)
        except FrameError as error:
            self._log.write(decisions.PeerConnectionClosed(self._peer, str(error)))
        except OSError:
            # The peer is gone or reset it: who waits for an answer is told by ``closed``.
            pass
        except Exception:
            # A fault in a handler: its machine goes on, and so do its other connections.
            self._log.write(decisions.InternalFault("", traceback.format_exc()))
        finally:
            self.close()
            receiver.close()
            self._connection.close()

    def _take_frames(self, buffer: bytearray) -> None:
        start = 0
        while len(buffer) - start >= _HEADER.size:
            length, number = _HEADER.unpack_from(buffer, start)
            if length > MOST_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = start + _HEADER.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + _HEADER.size : end])
            start = end
            self._receive(number, self._decoded(body))
        del buffer[:start]

    def _decoded(self, body: bytes) -> object | None:
        """Return a frame's message; None if only a later release has it.

        :raises FrameError: if it is no message.
        """
        try:
            return decode(body)
        except UnknownMessageError as error:
            self._log.write(decisions.MessageDropped(self._peer, str(error)))
            return None
        except MalformedMessageError as error:
            raise FrameError(str(error)) from error


class _Posted(NamedTuple):
    """A request that waits for its reply.

    :param at: when it was posted, on the monotonic clock.
    """

    completion: Completion
    at: float


class Link:
    """Requests to one node; the connection is opened when it is needed.

    :param now: the monotonic clock.
    """

    def __init__(self, address: str, log: DecisionLog, now: Callable[[], float]) -> None:
        self.address = address
        self._log = log
        self._now = now
        self._channel: FrameChannel | None = None
        self._is_opening = False
        self._down_until = 0.0
        self._number = 0
        self._waiting: dict[int, _Posted] = {}
        self._queued: dict[int, object] = {}
        self._silent_since: float | None = None

    def post(self, message: object, completion: Completion) -> int:
        """Send a request; ``completion`` is called with its reply or None.

        :returns: a number to forget the request by.
        """
        self._number = self._number % MOST_NUMBER + 1
        self._waiting[self._number] = _Posted(completion, self._now())
        if self._channel is not None and self._channel.is_open:
            self._channel.send(self._number, message)
            return self._number
        self._queued[self._number] = message
        if not self._is_opening:
            self._is_opening = True
            eventlet.spawn_n(self._open)
        return self._number

    def send_one_way(self, message: object) -> None:
        """Send what needs no reply, if there is a connection; it may be lost."""
        if self._channel is not None and self._channel.is_open:
            self._channel.send(NO_REPLY, message)

    def call(self, message: object, timeout: float) -> object:
        """Send a request and return its reply.

        :raises LinkDownError: if none comes in time.
        """
        arrived = Event()
        number = self.post(message, lambda reply: None if arrived.ready() else arrived.send(reply))
        reply = arrived.wait(timeout)
        if reply is None:
            # Lets a reply be read that came while the process was held up.
            eventlet.sleep(0)
            reply = arrived.wait() if arrived.ready() else None
        self.forget(number, is_late=reply is None)
        if reply is None:
            raise LinkDownError(self.address)
        return reply

    def forget(self, number: int, is_late: bool = False) -> None:
        """Wait no more for a reply.

        :param is_late: whether it should have come by now.
        """
        posted = self._waiting.pop(number, None)
        self._queued.pop(number, None)
        if is_late and posted is not None:
            self._note_silence(posted.at)

    def note_late(self, number: int) -> None:
        """Note that a reply should have come by now; it is still taken in if it comes."""
        posted = self._waiting.get(number)
        if posted is not None:
            self._note_silence(posted.at)

    def _note_silence(self, since: float) -> None:
        """Give the connection up once it has been silent for long."""
        if self._silent_since is None:
            self._silent_since = since
        if self._now() - self._silent_since >= SILENT_SECONDS and self._channel is not None:
            self._silent_since = None
            self._channel.close()

    def _open(self) -> None:
        connection = self._connect()
        self._is_opening = False
        if connection is None:
            self._fail_all()
            return
        self._channel = FrameChannel(
            connection, self.address, self._receive, self._fail_all, self._log
        )
        queued, self._queued = self._queued, {}
        for number, message in queued.items():
            self._channel.send(number, message)

    def _connect(self) -> socket.socket | None:
        """Return a new connection; None if the node is down or was a moment ago."""
        # What is asked meanwhile must not put off the next try, or steady requests would
        # keep a node that is back down for ever.
        if self._now() < self._down_until:
            return None
        try:
            return open_socket(self.address, CONNECT_SECONDS)
        except ConnectError:
            self._down_until = self._now() + DOWN_SECONDS
            return None

    def _receive(self, number: int, message: object | None) -> None:
        self._silent_since = None
        if message is None:
            return
        posted = self._waiting.pop(number, None)
        if posted is not None:
            posted.completion(message)

    def _fail_all(self) -> None:
        self._queued.clear()
        self._silent_since = None
        waiting, self._waiting = self._waiting, {}
        for posted in waiting.values():
            posted.completion(None)

    def close(self) -> None:
        """End the connection."""
        if self._channel is not None:
            self._channel.close()


class LinkTable:
    """Links by address.

    :param now: the monotonic clock.
    """

    def __init__(self, log: DecisionLog, now: Callable[[], float]) -> None:
        self._log = log
        self._now = now
        self._links: dict[str, Link] = {}

    def get(self, address: str) -> Link:
        """Return the link to an address."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address, self._log, self._now)
        return link


#: Called with a request and with what sends its reply.
RequestHandler = Callable[[object, Callable[[object], None]], None]


def serve_requests(listener: socket.socket, handle: RequestHandler, log: DecisionLog) -> None:
    """Accept connections and hand over their requests until the listener is closed."""
    while True:
        try:
            connection, (host, port) = listener.accept()
        except OSError:
            return
        set_tcp_options(connection)
        _serve_connection(connection, f"{host}:{port}", handle, log)


def _serve_connection(
    connection: socket.socket, peer: str, handle: RequestHandler, log: DecisionLog
) -> None:
    def receive(number: int, message: object | None) -> None:
        if message is not None:
            handle(message, lambda reply: channel.send(number, reply))

    channel = FrameChannel(connection, peer, receive, lambda: None, log)
