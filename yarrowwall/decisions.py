"""Decision events of a machine, each of which is one log line.

Every event contains the decision and the inputs that led to it. Lines go to
standard output. Above a rate, lines of one kind are left out and counted.
"""

import time
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from functools import cache
from typing import Any, ClassVar, get_args

import msgspec
from eventlet import patcher

# eventlet's ``os.write`` waits where the kernel's would block.
_os = patcher.original("os")

_ENCODER = msgspec.json.Encoder(enc_hook=str)

#: Maximum lines of one kind per second, unless the kind has its own limit; further ones are left
#: out.
LINES_PER_SECOND = 200
#: Longest text of a field in characters. Some come from clients, whose heads may be any text.
MAX_FIELD_LENGTH = 4096


class Decision(msgspec.Struct, frozen=True):
    """Base class of the events; the class's name is the ``kind`` of the line.

    :cvar lines_per_second: maximum lines of this kind per second.
    """

    lines_per_second: ClassVar[int] = LINES_PER_SECOND


class AttemptAdmitted(Decision, frozen=True):
    """A caller's attempt was read and matched to a route.

    :param configuration_age: seconds since the configuration was last verified to be the newest.
    :param finish_in: seconds until its program's deadline; None if not given.
    :param previous: the turn that it continues from; empty for none.
    :param resumes: the attempt that brought the first event of a stream that its caller resumes;
        empty for none.
    """

    attempt: str
    program: str | None
    route: str
    route_kind: str
    configuration: int
    remaining: float
    tenant: str
    configuration_age: float
    finish_in: float | None
    previous: str
    resumes: str


class AttemptSent(Decision, frozen=True):
    """An attempt was sent to a server.

    :param version: version of the server's software; empty if not stated.
    :param load: requests of all gateways in progress there, by the last report.
    :param rank: priority at the server, where 0 is the most urgent.
    """

    attempt: str
    server: str
    service: str
    version: str
    cost: float
    cached_tokens: int
    candidates: int
    load: int
    rank: int
    number: int
    resumed_after: str | None


class SendFailed(Decision, frozen=True):
    """A send to a server produced no answer that can be forwarded.

    :param has_ended: whether the server is known to have ended, so that it refuses connections.
    """

    attempt: str
    server: str
    reason: str
    may_have_run: bool
    has_ended: bool


class AnswerGivenUp(Decision, frozen=True):
    """The rest of a server's answer was not read, since it exceeds a bound.

    :param bound: an :class:`~yarrowwall.dispatch.answer_bounds.AnswerBound`.
    :param received: bytes of the answer that arrived, framing included.
    :param limit: bytes that are allowed; for memory, bytes kept for the request; 0 if its time was
        over.
    """

    attempt: str
    server: str
    bound: str
    received: int
    limit: int


class ServerEndedUnderRequest(Decision, frozen=True):
    """A server ended while it ran a request, which was reported to the replicas.

    :param attempt: the attempt; empty if it was noticed after the attempt's end.
    :param request: identity of the request, equal for all of its attempts.
    :param ended: number of servers that ended under the request so far.
    :param replicas: number of replicas that confirmed the report.
    :param is_recorded: whether it is on a quorum of disks.
    """

    attempt: str
    request: str
    server: str
    ended: int
    replicas: int
    is_recorded: bool


class AttemptAnswered(Decision, frozen=True):
    """A server's complete answer was handed over to be written to its caller.

    If the caller does not receive it, a ``ConnectionEnded`` or ``CallerGivenUp`` line follows.

    :param first_seconds: seconds until its first event; None for an answer without events.
    """

    attempt: str
    status: int
    server: str
    seconds: float
    events: int
    first_seconds: float | None


class AttemptRefused(Decision, frozen=True):
    """The gateway itself refused an attempt."""

    attempt: str
    status: int
    reason: str
    seconds: float


class AnswerBrokenOff(Decision, frozen=True):
    """An answer was cut off because it cannot be completed."""

    attempt: str
    reason: str
    events: int


class CallerLeft(Decision, frozen=True):
    """A caller closed its connection, and its request was cancelled.

    :param how: how this was detected. A caller that only shut down its sending side cannot be
        distinguished from one that closed its connection.
    """

    attempt: str
    seconds: float
    how: str


class CallerGivenUp(Decision, frozen=True):
    """A caller read nothing of its answer, or sent nothing of its request, for too long.

    :param seconds: seconds since data was last offered to it, or since its request began.
    :param held: bytes that were buffered for it.
    """

    attempt: str
    seconds: float
    held: int


class ConnectionEnded(Decision, frozen=True):
    """A caller's connection ended before its answer, for a reason that no other line states.

    :param attempt: id of the attempt; empty if the request's head was not read.
    :param reason: an :class:`EndReason`.
    :param seconds: seconds since the request began.
    :param events: events of a stream that were forwarded.
    :param detail: the underlying error; empty for none.
    """

    attempt: str
    reason: str
    seconds: float
    events: int
    detail: str


class ClientTurnedAway(Decision, frozen=True):
    """A client's connection was ended, or not accepted, since there is no room for it.

    :param state: what the connection waited for, a
        :class:`~yarrowwall.policy.connection_budget.ConnectionState`; ``NEW`` for one that was not
        accepted.
    :param kept: bytes that were kept for it.
    :param connections: connections of clients that are left.
    """

    # A crowd of clients may be turned away in each second.
    lines_per_second: ClassVar[int] = 5

    state: str
    kept: int
    connections: int


class InternalFault(Decision, frozen=True):
    """An unexpected exception ended a request.

    :param attempt: id of the caller's attempt; empty for a request or answer of another machine.
    :param trace: the traceback.
    """

    attempt: str
    trace: str


class BudgetDecided(Decision, frozen=True):
    """Tokens were reserved for a turn, or the reservation was refused.

    :param used: tokens that other turns of the program hold or have emitted.
    :param unsettled: those of them that turns hold which have not ended, and may release.
    """

    attempt: str
    program: str
    budget: int
    used: int
    wanted: int
    granted: bool
    unsettled: int


class BudgetSettled(Decision, frozen=True):
    """A turn's reservation was settled to the tokens that it emitted."""

    attempt: str
    program: str
    tokens: int


class PartsAsked(Decision, frozen=True):
    """A turn asked for tokens of zones' parts, or its program's common group was unreachable.

    :param verdict: the decision.
    :param common_tokens: tokens reserved of the common part.
    :param zone_tokens: tokens reserved of zones' parts.
    :param unreachable: groups that could not be reached.
    :param is_alone: whether the common group could not be reached.
    """

    attempt: str
    verdict: str
    common_tokens: int
    zone_tokens: int
    unreachable: list[int]
    is_alone: bool


class GroupReachChanged(Decision, frozen=True):
    """A group of replicas became unreachable for this gateway, or reachable again.

    :param seconds: seconds for which it was unreachable.
    """

    group: int
    is_reached: bool
    seconds: float


class TurnKeptInZone(Decision, frozen=True):
    """A turn was stored in the own zone's group, since its common group was unreachable."""

    attempt: str
    group: int


class TurnKeptLate(Decision, frozen=True):
    """The end of an answer was delayed until its turn was stored.

    :param group: group that stored it.
    :param seconds: seconds of delay.
    :param tries: number of writes to any group.
    """

    attempt: str
    group: int
    seconds: float
    tries: int


class TurnCopied(Decision, frozen=True):
    """A turn stored in a zone's group was copied to its common group."""

    attempt: str
    group: int


class ChainLookedUp(Decision, frozen=True):
    """The earlier turns of a conversation were looked up."""

    attempt: str
    previous: str
    outcome: str
    turns: int


class ChainStoredAgain(Decision, frozen=True):
    """Earlier turns were stored again with a new one, since it was not known who keeps them."""

    attempt: str
    group: int
    turns: int


class ChainUnconfirmed(Decision, frozen=True):
    """It could not be confirmed that a write quorum keeps the turn that another one continues.

    The turn's chain is stored again with the new turn.
    """

    attempt: str
    reason: str


class EventsRepeated(Decision, frozen=True):
    """A turn whose caller resumed its stream was run again from its start, to be stored whole.

    :param events: number of events that the caller had already, which were not relayed.
    :param after: the last event that the caller had.
    """

    attempt: str
    events: int
    after: str


class StreamOrigin(StrEnum):
    """How the software that began a resumed stream was determined."""

    RECORDED = "recorded"
    #: Nothing is recorded, and no other software has run lately.
    SOLE = "sole"
    #: Nothing is recorded, and several could have begun it.
    UNKNOWN = "unknown"
    #: Not every group that may have a record answered.
    UNCERTAIN = "uncertain"


class StreamOriginFound(Decision, frozen=True):
    """The software that began a stream was looked up, since its caller resumes it.

    :param resumes: the attempt that brought its first event; empty if the caller names none.
    :param origin: a :class:`StreamOrigin`.
    :param software: its software id; empty if unknown.
    """

    attempt: str
    resumes: str
    origin: str
    software: str


class StreamUnrecorded(Decision, frozen=True):
    """A stream runs without a record of its software, so its caller cannot resume it."""

    attempt: str
    reason: str


class ConfigurationInForce(Decision, frozen=True):
    """A newer configuration came into force."""

    version: int
    routes: int
    services: int


class KeysChanged(Decision, frozen=True):
    """A configuration added or revoked keys of a tenant; keys are given by fingerprint."""

    version: int
    tenant: str
    added: list[str]
    removed: list[str]


class ServerChanged(Decision, frozen=True):
    """A server was listed, restarted, is draining or was removed."""

    server: str
    service: str
    change: str
    version: str = ""


class EntryRefused(Decision, frozen=True):
    """An entry of the list of servers was rejected.

    :param fault: an :class:`EntryFault`.
    :param detail: the field or the other server that the fault concerns.
    """

    server: str
    fault: str
    detail: str


class ObjectRefused(Decision, frozen=True):
    """An object of the platform's store cannot be read; all others stay in force.

    :param object_kind: the kind of the object.
    :param name: its name; empty if that cannot be read either.
    """

    object_kind: str
    name: str
    reason: str


class DependencyChanged(Decision, frozen=True):
    """A dependency became unavailable or available again."""

    dependency: str
    is_up: bool
    reason: str


class GroupChanged(Decision, frozen=True):
    """A replica group began a new epoch."""

    group: int
    epoch: int
    members: str
    joining: str


class GroupWaits(Decision, frozen=True):
    """A group cannot serve or change until members come back that are silent.

    :param missing: node ids of those members; empty once the group needs none of them.
    :param waited: seconds for which it has waited.
    """

    group: int
    epoch: int
    missing: str
    waited: float


class GroupLost(Decision, frozen=True):
    """A common group has permanently lost all copies of its records.

    :param members: the machines whose disks held them.
    """

    group: int
    epoch: int
    members: str


class LendingChanged(Decision, frozen=True):
    """A replica began or stopped issuing permits from its share of the tenants' limits."""

    epoch: int
    lends: bool


class QuotaRefused(Decision, frozen=True):
    """An attempt was refused because its tenant's limit is used up at all replicas.

    :param asked: number of replicas that were asked.
    :param begins: whether a new program was refused.
    """

    attempt: str
    tenant: str
    asked: int
    begins: bool
    retry_after: float


class RoomDecided(Decision, frozen=True):
    """A new program was admitted or refused while at least half of the slots were in use.

    :param scarce: the scarce resource.
    :param retry_after: seconds after which the caller should retry.
    :param taken: requests in progress at the service, by loads received ``age`` seconds before.
    :param places: slots of the service's healthy servers.
    :param free: number of programs that there was capacity for.
    :param waiting: number of refused programs that may retry.
    :param ahead: how many of these come before this one.
    :param holder: the tenant with the most programs admitted in the last seconds.
    :param holder_share: its share of them.
    :param tokens: cache tokens that the program is expected to need.
    :param memory_tokens: token capacity of the engines' caches.
    :param is_continued: whether the program continues from an answered turn.
    """

    attempt: str
    program: str
    tenant: str
    service: str
    admitted: bool
    scarce: str
    retry_after: float
    taken: int
    places: int
    age: float
    free: float
    waiting: int
    ahead: int
    holder: str
    holder_share: float
    tokens: int
    memory_tokens: int
    is_continued: bool


class MessageDropped(Decision, frozen=True):
    """A message of another machine was not understood; its connection stays open.

    Its type is unknown to this release, or a neighbour forwarded something that is not a message.

    :param peer: address of the sender; the neighbour's name if one forwarded it.
    """

    # Machines of a later release may send such messages continuously.
    lines_per_second: ClassVar[int] = 1

    peer: str
    reason: str


class AcceptFailed(Decision, frozen=True):
    """A connection could not be accepted; accepting is retried.

    :param address: the listening address.
    """

    # A process that has run out of file descriptors fails many times per second.
    lines_per_second: ClassVar[int] = 1

    address: str
    reason: str


class PeerConnectionClosed(Decision, frozen=True):
    """Another machine sent something that is not a message, and its connection was closed.

    :param peer: address of that machine.
    """

    peer: str
    reason: str


class ReplicaSynchronised(Decision, frozen=True):
    """A replica has copied everything that its group had completed."""

    group: int
    epoch: int
    copied: int


class RecordsRefused(Decision, frozen=True):
    """Records were refused, since the machine has no room for those of new owners.

    :param used: bytes of memory that records take.
    :param limit: bytes that they may take.
    """

    # While there is no room, each new program meets it.
    lines_per_second: ClassVar[int] = 1

    group: int
    used: int
    limit: int


class RecordsDropped(Decision, frozen=True):
    """A replica dropped records whose lifetime is over at every replica.

    :param kept: number of records that it still has.
    """

    group: int
    dropped: int
    kept: int


class ExpiryUnconfirmed(Decision, frozen=True):
    """A replica keeps records beyond their lifetime, since a group did not confirm its end.

    Only the first one of a series of failures is logged for each group.

    :param owners: number of owners whose records are kept.
    """

    group: int
    owners: int
    reason: str


class ProcessChanged(Decision, frozen=True):
    """The process started, is stopping, reloaded its settings or stopped."""

    change: str
    detail: str


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    A line that does not fit into the buffer is dropped and counted. One that fits in part is
    completed before the next line.

    :param descriptor: file descriptor, which is set to non-blocking.
    :ivar dropped: number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0
        _os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write one line."""
        self._rest = self._send(self._rest)
        if self._rest:
            self.dropped += 1
            return
        data = line + b"\n"
        rest = self._send(data)
        if rest == data:
            self.dropped += 1
        else:
            self._rest = rest

    def _send(self, data: bytes) -> bytes:
        """Return what could not be written."""
        try:
            return data[_os.write(self._descriptor, data) :] if data else data
        except OSError:
            return data


class DecisionLog:
    """Writes decisions as JSON lines.

    :param node: name of the machine, included in every line.
    :param count: called with every decision, whether or not it is written.
    :param descriptor: file descriptor for the lines; standard output by default.
    """

    def __init__(
        self,
        node: str,
        count: Callable[[Decision], None] = lambda decision: None,
        descriptor: int = 1,
    ) -> None:
        self._node = node
        self._count = count
        self._writer = LineWriter(descriptor)
        self._second = 0
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped because the reader was too slow."""
        return self._writer.dropped

    def write(self, decision: Decision) -> None:
        """Write one line, unless the rate of its kind is exceeded."""
        self._count(decision)
        kind = type(decision).__name__
        now = time.time()
        if int(now) != self._second:
            self._begin_second(int(now))
        self._written[kind] += 1
        if self._written[kind] > decision.lines_per_second:
            self._left_out[kind] += 1
            return
        self._write_line(now, kind, _fields(decision))

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._written.clear()
        for kind, count in self._left_out.items():
            self._write_line(time.time(), "LinesLeftOut", {"of": kind, "count": count})
        self._left_out.clear()

    def _write_line(self, now: float, kind: str, values: dict[str, Any]) -> None:
        line = {"time": round(now, 4), "node": self._node, "kind": kind, **values}
        self._writer.write(_ENCODER.encode(line))


def _fields(decision: Decision) -> dict[str, Any]:
    """Return the fields of a line, with floats rounded to five digits and long texts cut."""
    values = msgspec.structs.asdict(decision)
    for name, value in values.items():
        if type(value) is str and len(value) > MAX_FIELD_LENGTH:
            values[name] = value[:MAX_FIELD_LENGTH] + "..."
    for name in _float_fields(type(decision)):
        value = values[name]
        if value is not None:
            values[name] = round(value, 5)
    return values


@cache
def _float_fields(kind: type[Decision]) -> list[str]:
    """Return the names of the fields of type float."""
    return [field.name for field in msgspec.structs.fields(kind) if _is_float(field.type)]


def _is_float(hint: Any) -> bool:
    return hint is float or float in get_args(hint)
