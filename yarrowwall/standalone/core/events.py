"""Events that a driver hands to a node."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.entries import Priority
from yarrowwall.messages.peers import Document
from yarrowwall.messages.requests import Request
from yarrowwall.standalone.core.configuration.commands import OperatorCommand


@dataclass(frozen=True)
class NodeStarted:
    """The driver runs; the first event of an incarnation."""


@dataclass(frozen=True)
class TimeAdvanced:
    """The node's next deadline has come."""


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request reached this gateway.

    :param request_id: unique per HTTP request.
    """

    request_id: str
    request: Request


@dataclass(frozen=True)
class CallerGone:
    """The caller of a request closed its connection."""

    request_id: str


@dataclass(frozen=True)
class PeerMessage:
    """A decoded message from another node."""

    sender: str
    message: object


@dataclass(frozen=True)
class AttemptKey:
    """Names one attempt of one call; engines know requests by its text."""

    program_id: str
    call_number: int
    attempt: int

    def __str__(self) -> str:
        return f"{self.program_id}/{self.call_number}/{self.attempt}"


@dataclass(frozen=True)
class EngineCompleted:
    """An attempt's whole stream came from the engine."""

    key: AttemptKey
    text: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class EngineFault(StrEnum):
    """Why an engine call brought no answer."""

    #: The request never reached the engine, or the engine refused to start it.
    NOT_STARTED = "not_started"
    #: The connection broke or fell silent; the engine may be running it.
    BROKEN = "broken"
    #: The engine does not know the request that was to be resumed.
    UNKNOWN_REQUEST = "unknown_request"


@dataclass(frozen=True)
class EngineFailed:
    """An attempt's engine call failed.

    :param retry_after: seconds the engine asked to stay away; 0 without.
    """

    key: AttemptKey
    fault: EngineFault
    retry_after: float = 0.0


@dataclass(frozen=True)
class EngineReleased:
    """An engine confirmed that it holds nothing for a program."""

    program_id: str
    engine_id: str


@dataclass(frozen=True)
class EngineLoadReported:
    """An engine's load report.

    :param running: requests in the batch.
    :param queued: requests that wait for a place in the batch.
    :param capacity: most requests the engine batches.
    :param orders_term: highest controller term whose order the engine obeyed.
    """

    engine_id: str
    running: int
    queued: int
    queued_prompt_tokens: int
    capacity: int
    models: tuple[str, ...]
    orders_term: int
    reported_at: float
    leaving: bool = False


@dataclass(frozen=True)
class EngineUnreachable:
    """An engine did not answer a request for its load."""

    engine_id: str


@dataclass(frozen=True)
class CacheBlocksChanged:
    """A late cache event of an engine.

    :param sequence: rises by one an event; a jump means that events were lost.
    """

    engine_id: str
    sequence: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


@dataclass(frozen=True)
class PlatformDocument:
    """The platform's object service returned or announced an object."""

    document: Document


class WriteOutcome(StrEnum):
    """What is known of a write to the platform."""

    DONE = "done"
    #: The object's version was not the expected one.
    CONFLICT = "conflict"
    #: No answer came: the write may have taken effect.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class PlatformWritten:
    """The answer to a write.

    :param document: the object as the platform has it now, where it said so.
    """

    operation_id: str
    outcome: WriteOutcome
    document: Document | None


@dataclass(frozen=True)
class PlatformRead:
    """The answer to a read.

    :param operation_id: as in the effect that asked.
    :param available: False if the platform did not answer.
    :param document: None if there is no such object.
    """

    operation_id: str
    name: str
    available: bool
    document: Document | None


@dataclass(frozen=True)
class DrainRequested:
    """The process was asked to stop: finish what runs, accept nothing new."""


@dataclass(frozen=True)
class EngineOrdered:
    """An engine's answer to an order.

    :param accepted: False if the engine has seen a higher term.
    """

    engine_id: str
    term: int
    models: tuple[str, ...]
    accepted: bool


@dataclass(frozen=True)
class OperatorRequest:
    """An operator's command reached this node."""

    request_id: str
    command: OperatorCommand


@dataclass(frozen=True)
class LookupRequested:
    """A caller's lookup reached this node.

    :param deadline: when the caller gets a refusal if no server was free.
    """

    request_id: str
    kind: str
    key: str
    priority: Priority
    deadline: float


@dataclass(frozen=True)
class LookupAnswered:
    """A record server's answer.

    :param body: JSON; None if the server failed.
    """

    request_id: str
    body: bytes | None
