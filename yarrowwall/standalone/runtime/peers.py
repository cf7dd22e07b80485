"""Transport between nodes: length-prefixed frames over TCP.

A frame has four bytes with the total length of the sender's node id and the encoded message, one
byte with the length of the node id, then both. Delivery isn't reliable: a full queue or a
broken connection loses messages, and the core resends those that it needs.
"""

import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import BinaryIO

import eventlet
import logbook
from eventlet.event import Event

import yarrowwall.messages.all_messages  # noqa: F401
from yarrowwall.addresses import split_address
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.exceptions import MessageError
from yarrowwall.standalone.runtime.exceptions import FrameError

#: Maximum frame length; a longer frame closes the connection.
MAX_FRAME_BYTES = 64 * 1024 * 1024
#: Maximum number of queued messages per peer; the oldest are dropped when it is full.
MAX_QUEUED_FRAMES = 20_000
#: Queued frames are joined into one write until it has at least this many bytes.
WRITE_BYTES = 256 * 1024
#: Seconds between attempts to connect to a peer.
RECONNECT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 2.0

_LENGTH = struct.Struct(">IB")
_log = logbook.Logger(__name__)


def set_no_delay(connection: socket.socket) -> None:
    """Disable Nagle's algorithm, so that small messages are sent immediately."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def frame(sender: str, message: object) -> bytes:
    """Encode a message as a frame."""
    body = encode(message)
    name = sender.encode()
    return _LENGTH.pack(len(name) + len(body), len(name)) + name + body


class _Link:
    """The outgoing connection to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_FRAMES)
        self._wakeup = Event()
        self._worker = eventlet.spawn(self._run)

    def send(self, data: bytes) -> None:
        """Queue a frame for sending."""
        self._queue.append(data)
        if not self._wakeup.ready():
            self._wakeup.send()

    def close(self) -> None:
        """Stop the sending greenlet."""
        self._worker.kill()

    def _run(self) -> None:
        while True:
            self._wait()
            try:
                host_port = split_address(self.address)
                with eventlet.Timeout(CONNECT_TIMEOUT_SECONDS):
                    connection = eventlet.connect(host_port)
            except (OSError, eventlet.Timeout):
                self._queue.clear()
                eventlet.sleep(RECONNECT_SECONDS)
                continue
            set_no_delay(connection)
            self._send_until_broken(connection)

    def _send_until_broken(self, connection: socket.socket) -> None:
        try:
            while True:
                self._wait()
                connection.sendall(self._next_write())
        except OSError as error:
            _log.info(
                "outgoing peer connection broke", extra={"peer": self.address, "error": error}
            )
        finally:
            connection.close()

    def _next_write(self) -> bytes:
        frames = []
        size = 0
        while self._queue and size < WRITE_BYTES:
            data = self._queue.popleft()
            frames.append(data)
            size += len(data)
        return b"".join(frames)

    def _wait(self) -> None:
        while not self._queue:
            self._wakeup.wait()
            self._wakeup = Event()


class PeerTransport:
    """Sends messages to nodes by id and receives messages from them.

    :param address_of: Returns the address of a node id; None if unknown.
    :param receive: Called with the sender's node id and the message.
    """

    def __init__(
        self,
        node_id: str,
        listener: socket.socket,
        address_of: Callable[[str], str | None],
        receive: Callable[[str, object], None],
    ) -> None:
        self._node_id = node_id
        self._listener = listener
        self._address_of = address_of
        self._receive = receive
        self._links: dict[str, _Link] = {}
        # Caches the last frame, since one message is often sent to several replicas in a row.
        self._last_message: object = None
        self._last_frame = b""
        self._acceptor = eventlet.spawn(self._accept)

    def send(self, node_id: str, message: object) -> None:
        """Queue a message for a node; a message to this node is delivered locally."""
        if node_id == self._node_id:
            eventlet.spawn_n(self._receive, node_id, message)
            return
        address = self._address_of(node_id)
        if address is None:
            return
        link = self._links.get(node_id)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[node_id] = _Link(address)
        link.send(self._frame_of(message))

    def _frame_of(self, message: object) -> bytes:
        if message is not self._last_message:
            self._last_frame = frame(self._node_id, message)
            self._last_message = message
        return self._last_frame

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            set_no_delay(connection)
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        try:
            while True:
                header = stream.read(_LENGTH.size)
                if len(header) < _LENGTH.size:
                    return
                self._receive(*self._read_frame(stream, header))
        except (FrameError, MessageError) as error:
            _log.warning(
                "closed a peer connection after an invalid frame", extra={"error": str(error)}
            )
        except OSError as error:
            _log.info("incoming peer connection broke", extra={"error": str(error)})
        finally:
            stream.close()
            connection.close()

    @staticmethod
    def _read_frame(stream: BinaryIO, header: bytes) -> tuple[str, object]:
        length, name_length = _LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES or name_length > length:
            raise FrameError(f"invalid frame of {length} bytes")
        data = stream.read(length)
        if len(data) < length:
            raise FrameError("the connection ended within a frame")
        try:
            sender = data[:name_length].decode()
        except UnicodeDecodeError as error:
            raise FrameError("the sender's node id is not valid UTF-8") from error
        return sender, decode(data[name_length:])
