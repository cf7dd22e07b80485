"""Effects that a node returns and its driver carries out in order."""

from dataclasses import dataclass

from yarrowwall.messages.entries import ChatMessage, Priority
from yarrowwall.messages.records import Record
from yarrowwall.messages.requests import Reply
from yarrowwall.standalone.core.configuration.commands import OperatorReply
from yarrowwall.standalone.core.events import AttemptKey, LookupRequested


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to a node; the message may be lost."""

    node_id: str
    message: object


@dataclass(frozen=True)
class PersistThenSend:
    """Make a record durable, then send the answer that depends on it."""

    record: Record
    node_id: str
    message: object


@dataclass(frozen=True)
class ReplyToCaller:
    """Send the final reply to a caller of this gateway."""

    request_id: str
    reply: Reply


@dataclass(frozen=True)
class StreamRoute:
    """Destination of an attempt's stream.

    :param gateway: node id of the gateway that holds the caller's connection.
    """

    gateway: str
    request_id: str


@dataclass(frozen=True)
class StartAttempt:
    """Send an attempt to its engine, after its dispatch has been chosen.

    :param resume: only request the stream of an attempt that was sent before;
        never start the attempt.
    :param prompt: the whole history, ending with the call's messages.
    """

    key: AttemptKey
    engine_id: str
    engine_address: str
    resume: bool
    model: str
    prompt: tuple[ChatMessage, ...]
    max_tokens: int
    priority: Priority
    hold: bool
    routes: tuple[StreamRoute, ...]


@dataclass(frozen=True)
class AttachStream:
    """Relay an attempt's stream to one more caller, from its first byte."""

    key: AttemptKey
    route: StreamRoute


@dataclass(frozen=True)
class CancelAttempt:
    """Request an engine to stop an attempt."""

    key: AttemptKey
    engine_address: str


@dataclass(frozen=True)
class ReleaseCache:
    """Request an engine to release the cache that it holds for a program.

    :param through_call: if this or an earlier call starts late, it holds no cache either.
    """

    program_id: str
    engine_id: str
    engine_address: str
    through_call: int


@dataclass(frozen=True)
class ReadPlatform:
    """Read an object from the platform's store."""

    operation_id: str
    name: str


@dataclass(frozen=True)
class WritePlatform:
    """Write an object if its version is the expected one.

    :param operation_id: id that is also in the body, to tell a lost answer from a
        lost write.
    """

    operation_id: str
    name: str
    expected_version: int
    body: bytes


@dataclass(frozen=True)
class WatchPlatform:
    """Start or stop watching the platform's objects on this node."""

    enabled: bool


@dataclass(frozen=True)
class PollEngine:
    """Start or stop polling an engine for its load and cache events."""

    engine_id: str
    engine_address: str
    enabled: bool


@dataclass(frozen=True)
class ReplyToOperator:
    """Send an operator the reply to a command."""

    request_id: str
    reply: OperatorReply


@dataclass(frozen=True)
class OrderEngine:
    """Order an engine to serve models; the controller's term is the fencing token."""

    engine_id: str
    engine_address: str
    term: int
    models: tuple[str, ...]


@dataclass(frozen=True)
class SendLookup:
    """Send a lookup to a record server."""

    request: LookupRequested
    server_id: str
    server_address: str


@dataclass(frozen=True)
class ReplyToLookup:
    """Send a caller the answer to a lookup.

    :param body: JSON; None if the lookup was refused and did not run.
    """

    request_id: str
    body: bytes | None
    message: str
    retry_after: float


@dataclass(frozen=True)
class Drained:
    """All work on this node is finished; the process may exit."""


Effect = (
    SendToPeer
    | PersistThenSend
    | ReplyToCaller
    | StartAttempt
    | AttachStream
    | CancelAttempt
    | ReleaseCache
    | ReadPlatform
    | WritePlatform
    | WatchPlatform
    | PollEngine
    | OrderEngine
    | ReplyToOperator
    | SendLookup
    | ReplyToLookup
    | Drained
)
