"""Passes requests of gateways that are cut off on to replicas; bounded, and once only."""

from collections import Counter
from collections.abc import Callable

import eventlet

from yarrowwall.messages.capacity import AskRoom
from yarrowwall.messages.codec import encode
from yarrowwall.messages.objects import ListObjects, WatchObjects
from yarrowwall.messages.quotas import TakeQuota
from yarrowwall.messages.relaying import AskNeighbours, Forward, Forwarded, ForwardStatus
from yarrowwall.messages.replicated import (
    AskStatus,
    InstallView,
    ReadChain,
    ReadOwner,
    ReportLoad,
    ReserveRecord,
    WriteRecords,
)
from yarrowwall.replication.relayed_links import RelayedLinkTable
from yarrowwall.replication.rpc import Completion

#: Requests and bytes that are passed on at once for all others. A turn takes some ten requests of
#: 5 ms each, so 64 serve more turns than ten gateways ask for; the bytes bound the memory, for
#: a machine may have 128 MB.
MOST_REQUESTS = 64
MOST_BYTES = 4 * 1024 * 1024
#: Seconds after which a reply is waited for no more: an operation of the asker lasts as long.
WAIT_SECONDS = 0.6
#: What gateways ask replicas, and the readers of the platform's store beside them.
FORWARDED = (
    AskNeighbours,
    AskRoom,
    AskStatus,
    InstallView,
    ListObjects,
    ReadChain,
    ReadOwner,
    ReportLoad,
    ReserveRecord,
    TakeQuota,
    WatchObjects,
    WriteRecords,
)

Reply = Callable[[object], None]


class ForwardHandler:
    """Passes requests on.

    :param is_replica: returns whether an address is one of a replica or a reader.
    :ivar forwarded: requests that were passed on, by the gateway that asked.
    :ivar refused: those that were not, by status.
    """

    def __init__(self, links: RelayedLinkTable, is_replica: Callable[[str], bool]) -> None:
        self._links = links
        self._is_replica = is_replica
        self._requests = 0
        self._bytes = 0
        self.forwarded: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    @property
    def in_flight(self) -> tuple[int, int]:
        """Return the requests and bytes that are being passed on."""
        return self._requests, self._bytes

    def handle(self, request: object, reply: Reply) -> None:
        """Take a request of another gateway."""
        if not isinstance(request, Forward):
            return
        message = self._message(request)
        refusal = self._refusal(request, message)
        if refusal is not None:
            self.refused[refusal.value] += 1
            reply(Forwarded(refusal, b""))
            return
        self.forwarded[request.node_id] += 1
        _Passed(self, request, message, reply)

    def _message(self, request: Forward) -> object | None:
        """Return the request inside; None if it is none that a gateway sends to a replica."""
        message = self._links.decoded(request.node_id, request.request)
        return message if isinstance(message, FORWARDED) else None

    def _refusal(self, request: Forward, message: object | None) -> ForwardStatus | None:
        if message is None or not self._is_replica(request.address):
            return ForwardStatus.REFUSED
        if self._links.paths.is_cut_off:
            return ForwardStatus.OUT_OF_REACH
        if self._links.paths.is_failing(request.address):
            return ForwardStatus.NO_ANSWER
        size = self._bytes + len(request.request)
        if self._requests >= MOST_REQUESTS or size > MOST_BYTES:
            return ForwardStatus.BUSY
        return None

    def note_begun(self, size: int) -> None:
        """Count what is under way."""
        self._requests += 1
        self._bytes += size

    def note_ended(self, size: int) -> None:
        """Count it no more."""
        self._requests -= 1
        self._bytes -= size

    def post(self, address: str, message: object, completion: Completion) -> Callable[[], None]:
        """Send a request over this gateway's own connection; return what forgets it."""
        link = self._links.get(address)
        number = link.post_directly(message, completion)
        return lambda: link.forget_direct(number)


class _Passed:
    """One request under way."""

    def __init__(
        self, forwarder: ForwardHandler, request: Forward, message: object, reply: Reply
    ) -> None:
        self._forwarder = forwarder
        self._size = len(request.request)
        self._reply: Reply | None = reply
        forwarder.note_begun(self._size)
        self._timer = eventlet.spawn_after(WAIT_SECONDS, self._give_up)
        self._forget = forwarder.post(request.address, message, self._take)

    def _take(self, found: object | None) -> None:
        """Bring a reply back; None if the connection ended."""
        self._timer.cancel()
        if found is None:
            self._end(Forwarded(ForwardStatus.NO_ANSWER, b""))
        else:
            self._end(Forwarded(ForwardStatus.OK, encode(found)))

    def _give_up(self) -> None:
        self._forget()
        self._end(Forwarded(ForwardStatus.NO_ANSWER, b""))

    def _end(self, forwarded: Forwarded) -> None:
        if self._reply is None:
            return
        reply, self._reply = self._reply, None
        self._forwarder.note_ended(self._size)
        reply(forwarded)
