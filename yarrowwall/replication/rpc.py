"""Requests and replies between nodes as frames over TCP, matched by number.

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

#: Size limit of a received frame; a longer one closes the connection.
MAX_FRAME_BYTES = 64 * 1024 * 1024
#: Timeout of a connection attempt in seconds.
CONNECT_SECONDS = 0.3
#: Seconds without any frame on a connection with overdue replies after which it is closed. A
#: connection may fall silent for good without a reset while the peer's kernel still acknowledges
#: data; answers take milliseconds.
SILENT_SECONDS = 1.0
#: Seconds after a failed connection attempt during which requests fail at once.
RECONNECT_DELAY_SECONDS = 0.1
#: Seconds in which a frame must be complete once its first byte has arrived.
FRAME_SECONDS = 10.0
_READ_BYTES = 256 * 1024
#: Number of frames that get no reply. Requests are numbered from 1 to the maximum, then from 1.
NO_REPLY = 0
MAX_NUMBER = 2**32 - 1

_HEADER = struct.Struct(">II")
#: Called with the reply, or with None if none will come.
Completion = Callable[[object | None], None]


class FrameChannel:
    """A connection that carries frames in both directions.

    :param peer: the address of the peer.
    :param receive: called with the number and message of each frame; the message is None if this
        release does not know its type.
    :param closed: called once when the connection ends.
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
        #: Gives the connection up, unless the frame that has begun to arrive is complete by then.
        self._frame_timer: eventlet.greenthread.GreenThread | None = None
        self.is_open = True
        connection.settimeout(None)
        eventlet.spawn_n(self._read)
        eventlet.spawn_n(self._write)

    def send(self, number: int, message: object) -> None:
        """Send a frame, or queue it behind frames that still wait."""
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
        """Write a frame to the socket; return the rest that the kernel does not accept at once.

        Most frames fit, which saves a switch to the writing greenthread and back. Errors are left
        to that greenthread, so that no completion is called from here.
        """
        try:
            sent = self._connection.fd.send(frame)  # type: ignore[attr-defined]
        except OSError:
            return frame
        return frame[sent:]

    def close(self) -> None:
        """Shut the connection down; its reading greenthread wakes up and closes the socket.

        If the socket were closed while that greenthread waits, its descriptor would stay
        registered with eventlet's hub until the number is reused. If the thread pool for disk
        writes reuses it, the pool ends.
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
                if self._handle_frames(buffer):
                    self._cancel_frame_timer()
                if buffer and self._frame_timer is None:
                    self._frame_timer = eventlet.spawn_after(FRAME_SECONDS, self._give_frame_up)
        except FrameError as error:
            self._log.write(decisions.PeerConnectionClosed(self._peer, str(error)))
        except OSError:
            # The peer is gone or reset the connection; ``closed`` notifies waiting callers.
            pass
        except Exception:
            # A fault in a handler ends this connection only, not the process or other connections.
            self._log.write(decisions.InternalFault("", traceback.format_exc()))
        finally:
            self._cancel_frame_timer()
            self.close()
            receiver.close()
            self._connection.close()

    def _give_frame_up(self) -> None:
        reason = f"a frame was not complete within {FRAME_SECONDS} s"
        self._log.write(decisions.PeerConnectionClosed(self._peer, reason))
        self._frame_timer = None
        self.close()

    def _cancel_frame_timer(self) -> None:
        timer, self._frame_timer = self._frame_timer, None
        if timer is not None:
            timer.cancel()

    def _handle_frames(self, buffer: bytearray) -> bool:
        """Handle the complete frames and remove them; return whether there was one."""
        start = 0
        while len(buffer) - start >= _HEADER.size:
            length, number = _HEADER.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = start + _HEADER.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + _HEADER.size : end])
            start = end
            self._receive(number, self._decoded(body))
        del buffer[:start]
        return start > 0

    def _decoded(self, body: bytes) -> object | None:
        """Return a frame's message; None if this release does not know its type.

        :raises FrameError: if it is no valid message.
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

    :param posted_at: when it was posted, on the monotonic clock.
    """

    completion: Completion
    posted_at: float


class Link:
    """Sends requests to one node over a connection that is opened when needed.

    :param now: the monotonic clock.
    :ivar on_notice: called with each message of the node that is no reply.
    :ivar on_opened: called when a connection was opened.
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
        self.on_notice: Callable[[object], None] = lambda message: None
        self.on_opened: Callable[[], None] = lambda: None

    def post(self, message: object, completion: Completion) -> int:
        """Send a request; ``completion`` is called with its reply, or None if none will come.

        :returns: the request's number, for :meth:`forget` and :meth:`note_late`.
        """
        self._number = self._number % MAX_NUMBER + 1
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
        """Send a message without a reply if a connection is open; it may be lost."""
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
            # Gives a reply that arrived while the process was delayed a chance to be read.
            eventlet.sleep(0)
            reply = arrived.wait() if arrived.ready() else None
        self.forget(number, is_late=reply is None)
        if reply is None:
            raise LinkDownError(self.address)
        return reply

    def forget(self, number: int, is_late: bool = False) -> None:
        """Stop waiting for a reply.

        :param is_late: whether the reply is overdue.
        """
        posted = self._waiting.pop(number, None)
        self._queued.pop(number, None)
        if is_late and posted is not None:
            self._note_silence(posted.posted_at)

    def note_late(self, number: int) -> None:
        """Note that a reply is overdue; it is still accepted if it comes."""
        posted = self._waiting.get(number)
        if posted is not None:
            self._note_silence(posted.posted_at)

    def _note_silence(self, since: float) -> None:
        """Close the connection if it has been silent for too long."""
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
        self.on_opened()

    def _connect(self) -> socket.socket | None:
        """Return a new connection; None if the node is down or the last attempt just failed."""
        # Requests in between must not delay the next attempt, or steady requests would prevent
        # the connection to a recovered node for ever.
        if self._now() < self._down_until:
            return None
        try:
            return open_socket(self.address, CONNECT_SECONDS)
        except ConnectError:
            self._down_until = self._now() + RECONNECT_DELAY_SECONDS
            return None

    def _receive(self, number: int, message: object | None) -> None:
        self._silent_since = None
        if message is None:
            return
        if number == NO_REPLY:
            self.on_notice(message)
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
    """Links by address, created on first use.

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


class Replier:
    """Sends the reply to one request, and notices over the same connection.

    :param number: the request's number.
    """

    def __init__(self, channel: FrameChannel, number: int) -> None:
        self._channel = channel
        self._number = number

    @property
    def connection(self) -> object:
        """Return what is the same for all requests of one connection."""
        return self._channel

    @property
    def is_open(self) -> bool:
        """Return whether the connection has not ended."""
        return self._channel.is_open

    def __call__(self, reply: object) -> None:
        """Send the reply."""
        self._channel.send(self._number, reply)

    def notify(self, message: object) -> bool:
        """Send a message that is no reply; return False if the connection has ended."""
        if self.is_open:
            self._channel.send(NO_REPLY, message)
        return self.is_open


#: Called with a request and a function that sends its reply.
RequestHandler = Callable[[object, Replier], None]


def serve_requests(listener: socket.socket, handle: RequestHandler, log: DecisionLog) -> None:
    """Accept connections and pass their requests to a handler until the listener is closed."""
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
            handle(message, Replier(channel, number))

    channel = FrameChannel(connection, peer, receive, lambda: None, log)
