"""Types of the direct path: configuration, servers, attempts and answers.

Times are seconds of the monotonic clock, durations are seconds.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import NamedTuple

from yarrowwall.messages.quotas import TenantLimit

#: Header name and value, as they travel.
Header = tuple[str, str]


class RequestKind(StrEnum):
    """What may be repeated about a request."""

    IDEMPOTENT = "idempotent"
    MUTATING = "mutating"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """One part of a route's traffic and the service that gets it."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go, and under which bounds.

    :param timeout_s: the longest a request may be held.
    :param attempts: the most servers that one attempt of a caller may be sent to.
    :param priority: rank, 0 is the most urgent.
    :param retention_s: for how long turns and budgets of a program are kept.
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
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True)
class EngineTraits:
    """What is known of the model engines of a service.

    :param cache_tokens: tokens that an engine's memory holds.
    :param tokens_per_event: tokens that one event of a stream counts for.
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
    """Bounds on what callers may send."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Tenant:
    """A customer of the operators, whose callers are known by their keys.

    :param priority: rank of its requests, 0 is the most urgent; None for that of the route.
    :param rate_per_s: requests a second that it may send, over all gateways; 0 without a limit.
    :param burst: requests on top of that.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration, whole.

    :param tenants: whose keys callers need; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None


class Incarnation(NamedTuple):
    """One incarnation of a server, from a start to its end; a server may start again under its id.

    :param start_ms: Unix time of the start, by the server's own clock; None if it is not told.
    """

    server_id: str
    start_ms: int | None = None

    @property
    def text(self) -> str:
        """Return it as records and load reports name it; an id holds no blank."""
        return self.server_id if self.start_ms is None else f"{self.server_id} {self.start_ms}"

    def is_before(self, other: "Incarnation") -> bool:
        """Return whether this is an earlier one of the same server; one untold is the first."""
        if other.start_ms is None:
            return False
        return self.start_ms is None or self.start_ms < other.start_ms


@dataclass(frozen=True)
class Server:
    """A server as the platform lists it.

    :param start_ms: Unix time of its start; None where servers do not tell it.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    start_ms: int | None = None

    @cached_property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of which this is told; each request looks it up some ten times."""
        return Incarnation(self.server_id, self.start_ms)

    @cached_property
    def incarnation_text(self) -> str:
        """Return that incarnation as records and load reports name it."""
        return self.incarnation.text


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; equal ids mean equal tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class ProgramContext:
    """What a request says about the program it belongs to.

    :param budget: tokens that all turns of the program may emit; None without a bound.
    :param max_tokens: the most tokens that this turn may emit.
    :param previous_turn: attempt id of the turn that this one goes on from.
    :param finish_at: when the whole program should be over; None if untold.
    """

    program_id: str
    budget: int | None
    max_tokens: int
    previous_turn: str | None
    finish_at: float | None


@dataclass
class Attempt:
    """One attempt of a caller: a request with an id of its own.

    :param deadline: when the caller stops waiting.
    :param last_event_id: the last event that the caller has, if it resumes a stream.
    :param api_key: the caller's secret, which goes into no log and to no server.
    :param tenant: name of the tenant that holds the key; empty if none is needed.
    :param priority: rank of the request by tenant and route, 0 is the most urgent.
    :param limit: the limit of its tenant; None without one.
    """

    attempt_id: str
    method: str
    target: str
    host: str
    headers: list[Header]
    body: bytes
    arrived_at: float
    deadline: float
    program: ProgramContext | None = None
    prompt: tuple[PromptPart, ...] = ()
    affinity: str | None = None
    last_event_id: str | None = None
    api_key: str | None = field(default=None, repr=False)
    tenant: str = ""
    priority: int = 0
    limit: TenantLimit | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class Send:
    """One sending of an attempt to a server.

    :param remaining_s: for how long the server may work.
    :param priority: rank at the server, 0 is the most urgent.
    :param last_event_id: the event after which a resumed stream goes on.
    """

    server: Server
    body: bytes
    remaining_s: float
    priority: int
    last_event_id: str | None


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response as they came."""

    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True)
class Answer:
    """A server's response head, understood.

    :param was_not_run: the server vouches that the request has not run and never will.
    :param belongs: whether it names the attempt that was sent.
    :param is_signed: whether it carries the server's signature.
    :param keep_alive: seconds that the server keeps an idle connection; None if untold.
    """

    status: int
    headers: list[Header]
    was_not_run: bool
    is_for_attempt: bool
    is_signed: bool
    keep_alive: float | None
