"""Types that describe the configuration, servers, attempts and answers.

Times are seconds of the monotonic clock, durations are seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import NamedTuple

from yarrowwall.hashing import digest
from yarrowwall.messages.quotas import TenantLimit

#: Length of a software id in characters.
SOFTWARE_ID_LENGTH = 8

#: Name and value of a header, as sent.
Header = tuple[str, str]


class HeaderBlock:
    """The headers of a message in the form in which they are sent, one line each.

    A short line takes a hundred bytes more as a pair of texts than as bytes, and a legal head has
    thousands of them. So pairs are made where they are read, and dropped there.

    :param decoded: the names and values, if they are known and few; the first call of
        :meth:`decode` returns them.
    :ivar lines: the lines in order, each with its end.
    """

    __slots__ = ("_decoded", "lines")

    def __init__(self, lines: bytes = b"", decoded: list[Header] | None = None) -> None:
        self.lines = lines
        self._decoded = decoded

    @classmethod
    def encode(cls, headers: Iterable[Header]) -> "HeaderBlock":
        """Return the block of headers."""
        return cls("".join([f"{name}: {value}\r\n" for name, value in headers]).encode("latin-1"))

    def decode(self) -> list[Header]:
        """Return the names and values in order."""
        decoded, self._decoded = self._decoded, None
        if decoded is not None:
            return decoded
        parts = [line.partition(": ") for line in self.lines.decode("latin-1").split("\r\n")]
        # The last line's end is followed by nothing.
        return [(name, value) for name, _, value in parts[:-1]]


class RequestKind(StrEnum):
    """Whether a request may be repeated, and how it is answered."""

    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight in a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The services and limits for requests of a host and path prefix.

    :param timeout_s: maximum duration of a request.
    :param attempts: maximum number of servers that one attempt of a caller is sent to.
    :param priority: rank, 0 is the most urgent.
    :param is_stateful: whether turns of conversations are stored.
    :param retention_s: how long turns and budgets of a program are kept.
    :param is_sticky: whether requests with the same affinity key prefer the same server.
    :param is_resumable: whether another server may continue a stream.
    :param is_public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    attempts: int
    priority: int
    is_stateful: bool
    retention_s: float
    is_sticky: bool
    is_resumable: bool
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True)
class EngineTraits:
    """Properties of a service's model engines.

    :param slots: requests that an engine processes at once.
    :param cache_tokens: token capacity of an engine's cache.
    :param tokens_per_event: tokens that one event of a stream stands for.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclass(frozen=True)
class Service:
    """A set of interchangeable servers."""

    name: str
    engine: EngineTraits | None


@dataclass(frozen=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Tenant:
    """A customer of the operators, whose callers are identified by API keys.

    :param priority: rank of its requests, 0 is the most urgent; None for the route's priority.
    :param rate_per_s: rate limit in requests per second over all gateways; 0 for none.
    :param burst: requests that may exceed the rate.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Configuration:
    """One complete version of the operators' configuration.

    :param tenants: tenants whose keys callers may use; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None


class Incarnation(NamedTuple):
    """One run of a server, from its start to its end; its id may be used by later runs.

    :param start_ms: Unix time of the start, by the server's clock; None if unknown.
    """

    server_id: str
    start_ms: int | None = None

    @property
    def text(self) -> str:
        """Return the text form used in records and load reports; an id contains no space."""
        return self.server_id if self.start_ms is None else f"{self.server_id} {self.start_ms}"

    def is_before(self, other: "Incarnation") -> bool:
        """Return whether this is earlier than another one; one without a start is the earliest."""
        if other.start_ms is None:
            return False
        return self.start_ms is None or self.start_ms < other.start_ms


@dataclass(frozen=True)
class Server:
    """A server in the platform's list.

    :param start_ms: Unix time of its start; None if unknown.
    :param version: version of its software; empty if its entry states none.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    start_ms: int | None = None
    version: str = ""

    @cached_property
    def incarnation(self) -> Incarnation:
        """Return the server's incarnation; cached, since a request reads it some ten times."""
        return Incarnation(self.server_id, self.start_ms)

    @cached_property
    def incarnation_text(self) -> str:
        """Return the incarnation's text form."""
        return self.incarnation.text

    @cached_property
    def software_id(self) -> str:
        """Return a digest of the service and its version: equal ids can continue a stream."""
        return digest(self.service, self.version)[:SOFTWARE_ID_LENGTH]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; parts with equal ids have equal tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class ProgramContext:
    """The program that a request belongs to, as the request describes it.

    :param budget: tokens that all turns of the program may emit; None for no limit.
    :param max_tokens: maximum number of tokens that this turn may emit.
    :param previous_turn: attempt id of the turn that this one continues.
    :param finish_at: when the whole program should be finished; None if not given.
    :param session_id: the line of turns that it belongs to; empty if not given.
    """

    program_id: str
    budget: int | None
    max_tokens: int
    previous_turn: str | None
    finish_at: float | None
    session_id: str = ""


@dataclass
class Attempt:
    """One request of a caller, identified by its own id.

    :param deadline: when the caller stops waiting.
    :param affinity: key by which a sticky route chooses a server.
    :param last_event_id: the last event that the caller has, if it resumes a stream.
    :param resumed_attempt: id of the attempt that brought the stream's first event, if the caller
        resumes a stream.
    :param api_key: the caller's secret, which is neither logged nor sent to servers.
    :param tenant: name of the tenant that the key belongs to; empty if no key is needed.
    :param priority: rank of the request by tenant and route, 0 is the most urgent.
    :param limit: rate limit of the tenant; None without one.
    :param long_id: the attempt's id as it was sent, if ``attempt_id`` is a digest of it.
    """

    attempt_id: str
    method: str
    target: str
    host: str
    headers: HeaderBlock
    body: bytes
    arrived_at: float
    deadline: float
    program: ProgramContext | None = None
    prompt: tuple[PromptPart, ...] = ()
    affinity: str | None = None
    last_event_id: str | None = None
    resumed_attempt: str | None = None
    api_key: str | None = field(default=None, repr=False)
    tenant: str = ""
    priority: int = 0
    limit: TenantLimit | None = None
    long_id: str | None = None

    @property
    def sent_id(self) -> str:
        """Return the attempt's id as it was sent."""
        return self.attempt_id if self.long_id is None else self.long_id

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller resumes a stream that an earlier attempt began."""
        return bool(self.resumed_attempt or self.last_event_id)

    @property
    def path(self) -> str:
        """Return the path of the target, as it was sent."""
        target = self.target.partition("?")[0]
        if target.startswith("/"):
            return target
        _, has_authority, rest = target.partition("://")
        return f"/{rest.partition('/')[2]}" if has_authority else target


@dataclass(frozen=True)
class Send:
    """One request to a server on behalf of an attempt.

    :param remaining_s: time limit for the server, in seconds.
    :param priority: rank at the server, 0 is the most urgent.
    :param last_event_id: the event after which a stream resumes.
    """

    server: Server
    body: bytes
    remaining_s: float
    priority: int
    last_event_id: str | None


class RequestHead(NamedTuple):
    """The head of a caller's request.

    :param target: the request target as it was sent.
    :param headers: all headers in order.
    :param content_length: the stated length of the body in bytes; None if it states none.
    :param expects_continue: whether the caller may wait for an informational answer before it
        sends the body.
    :param keeps_alive: whether the caller may send further requests over the connection.
    """

    method: str
    target: str
    version: str
    headers: HeaderBlock
    content_length: int | None
    is_chunked: bool
    expects_continue: bool
    keeps_alive: bool

    @property
    def has_body(self) -> bool:
        """Return whether body bytes may follow."""
        return self.is_chunked or bool(self.content_length)


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response, as received."""

    status: int
    headers: HeaderBlock


@dataclass(frozen=True)
class Answer:
    """A server's interpreted response head.

    :param was_not_run: whether the server guarantees that the request has not run and never will.
    :param is_for_attempt: whether the response belongs to the attempt that was sent.
    :param is_signed: whether it carries the server's signature.
    :param keep_alive: the server's keep-alive timeout in seconds; None if not announced.
    """

    status: int
    headers: HeaderBlock
    was_not_run: bool
    is_for_attempt: bool
    is_signed: bool
    keep_alive: float | None
