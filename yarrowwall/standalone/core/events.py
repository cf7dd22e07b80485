"""Events that a driver passes to a node."""

from dataclasses import dataclass
from enum import StrEnum

from yarrowwall.messages.entries import Priority
from yarrowwall.messages.peers import Document
from yarrowwall.messages.requests import Request
from yarrowwall.standalone.core.configuration.commands import OperatorCommand


@dataclass(frozen=True)
class NodeStarted:
    """The driver has started; the first event of an incarnation."""


@dataclass(frozen=True)
class TimeAdvanced:
    """The node's next deadline has been reached."""


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request arrived at this gateway.

    :param request_id: unique id of the HTTP request.
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
    """Key of one attempt of one call; its text is the request id at engines."""

    program_id: str
    call_number: int
    attempt: int

    def __str__(self) -> str:
        return f"{self.program_id}/{self.call_number}/{self.attempt}"


@dataclass(frozen=True)
class EngineCompleted:
    """An attempt's complete stream arrived from the engine."""

    key: AttemptKey
    text: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class EngineFault(StrEnum):
    """Reason why an attempt at an engine has no answer."""

    #: The request never reached the engine, or the engine refused to start it.
    NOT_STARTED = "not_started"
    #: The connection broke or timed out; the engine may still run the request.
    BROKEN = "broken"
    #: The engine does not know the request to resume.
    UNKNOWN_REQUEST = "unknown_request"


@dataclass(frozen=True)
class EngineFailed:
    """An attempt failed at its engine.

    :param retry_after: seconds to wait before a retry, as the engine asked; 0 if it did not.
    """

    key: AttemptKey
    fault: EngineFault
    retry_after: float = 0.0


@dataclass(frozen=True)
class EngineReleased:
    """An engine confirmed that it holds no cache for a program."""

    program_id: str
    engine_id: str


@dataclass(frozen=True)
class EngineLoadReported:
    """An engine's load report.

    :param running: requests in the batch.
    :param queued: requests that wait for a slot in the batch.
    :param capacity: maximum number of requests in the batch.
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
    """An engine did not answer a poll for its load."""

    engine_id: str


@dataclass(frozen=True)
class CacheBlocksChanged:
    """Changes in an engine's cache, reported with a delay.

    :param sequence: number that rises by one per event; a gap means that events were lost.
    """

    engine_id: str
    sequence: int
    stored: tuple[str, ...]
    evicted: tuple[str, ...]


@dataclass(frozen=True)
class PlatformDocument:
    """The platform's store returned or announced an object."""

    document: Document


class WriteOutcome(StrEnum):
    """Outcome of a write to the platform's store."""

    DONE = "done"
    #: The object's version was not the expected one.
    CONFLICT = "conflict"
    #: No answer arrived; the write may have taken effect.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class PlatformWritten:
    """The answer to a write.

    :param document: the current object, if the answer contained it.
    """

    operation_id: str
    outcome: WriteOutcome
    document: Document | None


@dataclass(frozen=True)
class PlatformRead:
    """The answer to a read.

    :param operation_id: id from the effect that requested the read.
    :param available: False if the platform did not answer.
    :param document: None if there is no such object.
    """

    operation_id: str
    name: str
    available: bool
    document: Document | None


@dataclass(frozen=True)
class DrainRequested:
    """The process was asked to stop: finish running work and accept no new requests."""


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
    """An operator's command arrived at this node."""

    request_id: str
    command: OperatorCommand


@dataclass(frozen=True)
class LookupRequested:
    """A caller's lookup arrived at this node.

    :param deadline: time at which the lookup is refused if it still waits for a server.
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
