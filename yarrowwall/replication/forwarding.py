"""Forwards requests of gateways that are cut off to replicas.

Requests and bytes in flight are bounded, and a forwarded request is never forwarded again.
"""

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
from yarrowwall.messages.suspects import FollowSuspects, ReportSuspects, ReserveSend
from yarrowwall.replication.relayed_links import RelayedLinkTable
from yarrowwall.replication.rpc import Completion

#: Most requests and bytes in flight for all other gateways. A turn takes about ten requests of
#: 5 ms each, so 64 serve more turns than ten gateways send; the limit on bytes bounds the memory,
#: since a machine may have 128 MB.
MAX_REQUESTS = 64
MAX_BYTES = 4 * 1024 * 1024
#: Seconds that a forwarded request waits for its reply: as long as the operation of the gateway
#: that sent it.
WAIT_SECONDS = 0.6
#: Requests that gateways send to replicas and to readers of the platform's store.
FORWARDED_TYPES = (
    AskNeighbours,
    AskRoom,
    AskStatus,
    FollowSuspects,
    InstallView,
    ListObjects,
    ReadChain,
    ReadOwner,
    ReportLoad,
    ReportSuspects,
    ReserveRecord,
    ReserveSend,
    TakeQuota,
    WatchObjects,
    WriteRecords,
)

Reply = Callable[[object], None]


class ForwardHandler:
    """Handles requests that other gateways ask this one to forward.

    :param is_replica: returns whether an address is that of a replica or a reader of the
        platform's store.
    :ivar forwarded: number of forwarded requests by the node id of the gateway that sent them.
    :ivar refused: number of refused requests by status.
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
        """Return the requests and bytes that are being forwarded."""
        return self._requests, self._bytes

    def handle(self, request: object, reply: Reply) -> None:
        """Forward or refuse a request of another gateway; ignore other messages."""
        if not isinstance(request, Forward):
            return
        message = self._message(request)
        refusal = self._refusal(request, message)
        if refusal is not None:
            self.refused[refusal.value] += 1
            reply(Forwarded(refusal, b""))
            return
        self.forwarded[request.node_id] += 1
        _InFlightRequest(self, request, message, reply)

    def _message(self, request: Forward) -> object | None:
        """Return the enclosed request; None if requests of its kind are not forwarded."""
        message = self._links.decoded(request.node_id, request.request)
        return message if isinstance(message, FORWARDED_TYPES) else None

    def _refusal(self, request: Forward, message: object | None) -> ForwardStatus | None:
        if message is None or not self._is_replica(request.address):
            return ForwardStatus.REFUSED
        if self._links.paths.is_cut_off:
            return ForwardStatus.OUT_OF_REACH
        if self._links.paths.is_failing(request.address):
            return ForwardStatus.NO_ANSWER
        size = self._bytes + len(request.request)
        if self._requests >= MAX_REQUESTS or size > MAX_BYTES:
            return ForwardStatus.BUSY
        return None

    def note_begun(self, size: int) -> None:
        """Count a request of ``size`` bytes as in flight."""
        self._requests += 1
        self._bytes += size

    def note_ended(self, size: int) -> None:
        """Stop counting a request of ``size`` bytes."""
        self._requests -= 1
        self._bytes -= size

    def post(self, address: str, message: object, completion: Completion) -> Callable[[], None]:
        """Send a request over this gateway's own connection.

        :returns: a function that stops waiting for the reply.
        """
        link = self._links.get(address)
        number = link.post_directly(message, completion)
        return lambda: link.forget_direct(number)


class _InFlightRequest:
    """One forwarded request that waits for its reply."""

    def __init__(
        self, forwarder: ForwardHandler, request: Forward, message: object, reply: Reply
    ) -> None:
        self._forwarder = forwarder
        self._size = len(request.request)
        self._reply: Reply | None = reply
        forwarder.note_begun(self._size)
        self._timer = eventlet.spawn_after(WAIT_SECONDS, self._give_up)
        self._forget = forwarder.post(request.address, message, self._handle_reply)

    def _handle_reply(self, found: object | None) -> None:
        """Send the reply back; None if the connection ended."""
        self._timer.cancel()
        if found is None:
            self._finish(Forwarded(ForwardStatus.NO_ANSWER, b""))
        else:
            self._finish(Forwarded(ForwardStatus.OK, encode(found)))

    def _give_up(self) -> None:
        self._forget()
        self._finish(Forwarded(ForwardStatus.NO_ANSWER, b""))

    def _finish(self, forwarded: Forwarded) -> None:
        if self._reply is None:
            return
        reply, self._reply = self._reply, None
        self._forwarder.note_ended(self._size)
        reply(forwarded)
