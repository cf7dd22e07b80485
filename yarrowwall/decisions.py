"""Decision events of the direct path, one log line each.

Every event names what was decided and the inputs that decided it. Lines go to
standard output; above a rate, lines of one kind are left out and counted.
"""

import time
from collections import Counter
from collections.abc import Callable
from functools import cache
from typing import Any, ClassVar, get_args

import msgspec
from eventlet import patcher

# eventlet's own ``os.write`` waits where the kernel's would block.
_os = patcher.original("os")

_ENCODER = msgspec.json.Encoder(enc_hook=str)

#: Lines of one kind written in a second before lines are left out, unless the kind has its own.
LINES_PER_SECOND = 200


class Decision(msgspec.Struct, frozen=True):
    """Base of the events; ``kind`` is the class's name.

    :cvar lines_per_second: lines of this kind that are written in a second.
    """

    lines_per_second: ClassVar[int] = LINES_PER_SECOND


class AttemptAdmitted(Decision, frozen=True):
    """A caller's attempt was read and has a route.

    :param configuration_age: seconds since the configuration was proved to be the newest.
    :param finish_in: seconds left to its program; None if untold.
    :param previous: the turn that it goes on from; empty for none.
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


class AttemptSent(Decision, frozen=True):
    """An attempt was sent to a server.

    :param load: requests under way there, of all gateways as far as known.
    :param rank: how urgent it is for the server, 0 is the most urgent.
    """

    attempt: str
    server: str
    service: str
    cost: float
    cached_tokens: int
    candidates: int
    load: int
    rank: int
    number: int
    resumed_after: str | None


class SendFailed(Decision, frozen=True):
    """A sending brought no answer that can be passed on."""

    attempt: str
    server: str
    reason: str
    may_have_run: bool


class AttemptAnswered(Decision, frozen=True):
    """A server's answer was handed over whole, to be written to its caller.

    A line behind it, ``ConnectionEnded`` or ``CallerGivenUp``, tells if the caller did not take it.

    :param first_seconds: until its first event; None for an answer without events.
    """

    attempt: str
    status: int
    server: str
    seconds: float
    events: int
    first_seconds: float | None


class AttemptRefused(Decision, frozen=True):
    """A caller got an answer of the gateway's own."""

    attempt: str
    status: int
    reason: str
    seconds: float


class AnswerBrokenOff(Decision, frozen=True):
    """An answer was cut because it can not be completed."""

    attempt: str
    reason: str
    events: int


class CallerLeft(Decision, frozen=True):
    """A caller closed its connection; its request was cancelled.

    :param how: what was noticed. A caller that only ended its sending side can't be told
        from one that closed its connection.
    """

    attempt: str
    seconds: float
    how: str


class CallerGivenUp(Decision, frozen=True):
    """A caller took nothing of its answer, or sent nothing of its request, for too long.

    :param seconds: since it was given something, or since its request began.
    :param held: bytes that were held for it.
    """

    attempt: str
    seconds: float
    held: int


class ConnectionEnded(Decision, frozen=True):
    """A caller's connection ended before its answer, for a reason that no other line tells.

    :param attempt: empty if the request's head was not read.
    :param reason: an :class:`EndReason`.
    :param seconds: since the request began.
    :param events: events of a stream that were passed on.
    :param detail: the error behind it; empty for none.
    """

    attempt: str
    reason: str
    seconds: float
    events: int
    detail: str


class InternalFault(Decision, frozen=True):
    """A fault of the program itself ended a request.

    :param attempt: the caller's; empty if it was another machine's request or answer.
    """

    attempt: str
    trace: str


class BudgetDecided(Decision, frozen=True):
    """Tokens were reserved for a turn, or not."""

    attempt: str
    program: str
    budget: int
    used: int
    wanted: int
    granted: bool


class BudgetSettled(Decision, frozen=True):
    """A turn's reservation was replaced by what it emitted."""

    attempt: str
    program: str
    tokens: int


class PartsAsked(Decision, frozen=True):
    """A turn asked more than its program's common group for tokens, or could not ask that.

    :param verdict: what became of it.
    :param common_tokens: tokens taken of the common part.
    :param zone_tokens: tokens taken of zones' parts.
    :param unreachable: groups that could not be asked.
    :param is_alone: whether the common group was among these.
    """

    attempt: str
    verdict: str
    common_tokens: int
    zone_tokens: int
    unreachable: list[int]
    is_alone: bool


class GroupReachChanged(Decision, frozen=True):
    """A group of replicas fell out of reach of this gateway, or is back.

    :param seconds: for how long it was out of reach.
    """

    group: int
    is_reached: bool
    seconds: float


class TurnKeptInZone(Decision, frozen=True):
    """A turn was kept in the own zone's group, since its common group was out of reach."""

    attempt: str
    group: int


class TurnKeptLate(Decision, frozen=True):
    """The end of an answer had to wait until its turn was stored.

    :param group: that took it.
    :param seconds: how long the end waited.
    :param tries: writes to any group.
    """

    attempt: str
    group: int
    seconds: float
    tries: int


class TurnCopied(Decision, frozen=True):
    """A turn that a zone's group kept was copied into its common group."""

    attempt: str
    group: int


class ChainLookedUp(Decision, frozen=True):
    """The earlier turns of a conversation were looked for."""

    attempt: str
    previous: str
    outcome: str
    turns: int


class ConfigurationInForce(Decision, frozen=True):
    """A newer configuration took effect."""

    version: int
    routes: int
    services: int


class KeysChanged(Decision, frozen=True):
    """A configuration gave keys to a tenant or took some away; keys by fingerprint."""

    version: int
    tenant: str
    added: list[str]
    removed: list[str]


class ServerChanged(Decision, frozen=True):
    """A server was listed, started again, is leaving or is gone."""

    server: str
    service: str
    change: str


class EntryRefused(Decision, frozen=True):
    """An entry of the list of servers names no server to use.

    :param fault: an :class:`EntryFault`.
    :param detail: the field or the other server that it is about.
    """

    server: str
    fault: str
    detail: str


class DependencyChanged(Decision, frozen=True):
    """A dependency was lost or is back."""

    dependency: str
    is_up: bool
    reason: str


class GroupChanged(Decision, frozen=True):
    """A replica group took a new epoch."""

    group: int
    epoch: int
    members: str
    joining: str


class GroupLost(Decision, frozen=True):
    """A common group has lost all copies of its records; nothing brings them back.

    :param members: the machines whose disks held them.
    """

    group: int
    epoch: int
    members: str


class LendingChanged(Decision, frozen=True):
    """A replica lends its part of tenants' limits from now on, or no more."""

    epoch: int
    lends: bool


class QuotaRefused(Decision, frozen=True):
    """No replica had room in a tenant's limit.

    :param asked: replicas that were asked.
    :param begins: whether it is a new program that was not welcome.
    """

    attempt: str
    tenant: str
    asked: int
    begins: bool
    retry_after: float


class RoomDecided(Decision, frozen=True):
    """A new program came while half of the places or more were taken, and may begin or not.

    :param scarce: what was lacking.
    :param taken: requests under way at the service, as this gateway was told ``age`` s before.
    :param free: programs that there was room for.
    :param waiting: programs that were refused and may come back.
    :param ahead: those of them that go before this one.
    :param holder: the tenant with most programs admitted in the last seconds.
    :param tokens: of the engines' memory that the program is expected to keep.
    :param memory_tokens: that the engines hold.
    :param is_continued: whether the program goes on from an answered turn.
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
    """A message of another machine was not understood; its connection goes on.

    This release does not have its type, or a neighbour passed on what is no message.

    :param peer: the address that it came from; the neighbour's name if one passed it on.
    """

    # A later release may send such messages all the time.
    lines_per_second: ClassVar[int] = 1

    peer: str
    reason: str


class AcceptFailed(Decision, frozen=True):
    """A connection could not be accepted; those that wait are tried again.

    :param address: that is listened on.
    """

    # A process without descriptors fails many times a second.
    lines_per_second: ClassVar[int] = 1

    address: str
    reason: str


class PeerConnectionClosed(Decision, frozen=True):
    """Another machine sent what is no message, so its connection was closed.

    :param peer: the address that it came from.
    """

    peer: str
    reason: str


class ReplicaSynchronised(Decision, frozen=True):
    """A replica holds all that its group had completed."""

    group: int
    epoch: int
    copied: int


class ProcessChanged(Decision, frozen=True):
    """The process started, stops, reloaded or stopped."""

    change: str
    detail: str


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    A line that does not fit is dropped and counted; one that fits in part is
    completed before the next.

    :param descriptor: made non-blocking.
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

    :param node: put into every line.
    :param count: called with every decision, written or not.
    :param descriptor: where the lines go; standard output.
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
        """Return how many lines were not written since their reader did not read."""
        return self._writer.dropped

    def write(self, decision: Decision) -> None:
        """Write one line, unless its kind is above its rate."""
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
    """Return the fields of a line; numbers with what is worth reading of their digits."""
    values = msgspec.structs.asdict(decision)
    for name in _numbers_of(type(decision)):
        value = values[name]
        if value is not None:
            values[name] = round(value, 5)
    return values


@cache
def _numbers_of(kind: type[Decision]) -> list[str]:
    """Return the names of the fields that hold numbers with a fraction."""
    return [field.name for field in msgspec.structs.fields(kind) if _is_number(field.type)]


def _is_number(hint: Any) -> bool:
    return hint is float or float in get_args(hint)
