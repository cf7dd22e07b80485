"""Effects that a node asks its driver to carry out, in order."""

from dataclasses import dataclass

from yarrowwall.messages.entries import ChatMessage, Priority
from yarrowwall.messages.records import Record
from yarrowwall.messages.requests import Reply
from yarrowwall.standalone.core.configuration.commands import OperatorReply
from yarrowwall.standalone.core.events import AttemptKey, LookupRequested


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to a node; it may be lost."""

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
    """Give a caller of this gateway the final reply."""

    request_id: str
    reply: Reply


@dataclass(frozen=True)
class StreamRoute:
    """Where an attempt's bytes go.

    :param gateway: node id of the gateway that holds the caller's connection.
    """

    gateway: str
    request_id: str


@dataclass(frozen=True)
class StartAttempt:
    """Send an attempt to its engine; its dispatch has been chosen.

    :param resume: only ask for the stream of an attempt that was sent before;
        never start it.
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
    """Relay an attempt's bytes to one more caller, from the first byte on."""

    key: AttemptKey
    route: StreamRoute


@dataclass(frozen=True)
class CancelAttempt:
    """Tell an engine to stop an attempt."""

    key: AttemptKey
    engine_address: str


@dataclass(frozen=True)
class ReleaseCache:
    """Tell an engine to hold nothing more for a program.

    :param through_call: a late start of this or an earlier call holds nothing either.
    """

    program_id: str
    engine_id: str
    engine_address: str
    through_call: int


@dataclass(frozen=True)
class ReadPlatform:
    """Read an object of the platform."""

    operation_id: str
    name: str


@dataclass(frozen=True)
class WritePlatform:
    """Write an object if its version is the expected one.

    :param operation_id: also inside the body, so a lost answer can be told
        from a lost write.
    """

    operation_id: str
    name: str
    expected_version: int
    body: bytes


@dataclass(frozen=True)
class WatchPlatform:
    """Start or stop this node's watch on the platform's objects."""

    enabled: bool


@dataclass(frozen=True)
class PollEngine:
    """Start or stop asking an engine for its load and cache events."""

    engine_id: str
    engine_address: str
    enabled: bool


@dataclass(frozen=True)
class ReplyToOperator:
    """Give an operator the answer to a command."""

    request_id: str
    reply: OperatorReply


@dataclass(frozen=True)
class OrderEngine:
    """Tell an engine which models to serve, fenced by the controller's term."""

    engine_id: str
    engine_address: str
    term: int
    models: tuple[str, ...]


@dataclass(frozen=True)
class SendLookup:
    """Ask a record server."""

    request: LookupRequested
    server_id: str
    server_address: str


@dataclass(frozen=True)
class ReplyToLookup:
    """Give a caller the answer to a lookup.

    :param body: JSON; None if the lookup was refused and did not run.
    """

    request_id: str
    body: bytes | None
    message: str
    retry_after: float


@dataclass(frozen=True)
class Drained:
    """Nothing runs here any more; the process may exit."""


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
