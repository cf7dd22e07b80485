"""The gateway: forwards callers' requests to the programs' owners and relays the replies.

If no reply arrives in time, a request is forwarded again, to the owner at that
time. That is safe: calls are numbered, and an owner answers a call number that
it already has from the log.
"""

from collections.abc import Callable
from dataclasses import dataclass

import yarrowwall.messages.all_messages  # noqa: F401
from yarrowwall.messages.codec import decode, encode
from yarrowwall.messages.peers import ForwardReply, ForwardRequest
from yarrowwall.messages.requests import (
    ErrorReply,
    ErrorType,
    Reply,
    Request,
)
from yarrowwall.standalone.core.effects import ReplyToCaller, SendToPeer, StreamRoute
from yarrowwall.standalone.core.limits import Limits
from yarrowwall.standalone.core.membership.table import MemberTable
from yarrowwall.standalone.core.outbox import Outbox

#: Number of times a request is forwarded before the node that it reached handles it as
#: the owner: member tables differ then, and the higher ballot decides.
MAX_HOPS = 2
#: Seconds after which a caller may retry a refused or unanswered request.
RETRY_AFTER = 2.0


@dataclass
class _OpenRequest:
    request: Request
    deadline: float
    asking_program: str | None
    was_forwarded: bool = False


class Gateway:
    """Open requests that entered the system at this node.

    :param run_locally: passes a request to the program's owner on this node.
    :param answer_owner: passes the reply to a request of :meth:`ask` to the
        program that asked.
    """

    def __init__(
        self,
        members: MemberTable,
        limits: Limits,
        outbox: Outbox,
        set_timer: Callable[[str, float], None],
        run_locally: Callable[[float, StreamRoute, Request], None],
        answer_owner: Callable[[float, str, Request, Reply], None],
    ) -> None:
        self._members = members
        self._limits = limits
        self._outbox = outbox
        self._set_timer = set_timer
        self._run_locally = run_locally
        self._answer_owner = answer_owner
        self._open: dict[str, _OpenRequest] = {}
        self._ask_count = 0

    def open_count(self) -> int:
        """Return the number of callers that wait for a reply."""
        return sum(entry.asking_program is None for entry in self._open.values())

    def accept(self, now: float, request_id: str, request: Request) -> None:
        """Accept a caller's request."""
        deadline = now + self._limits.request_deadline
        self._open[request_id] = _OpenRequest(request, deadline, None)
        self._send(now, request_id)

    def ask(self, now: float, asking_program: str, request: Request) -> None:
        """Send a request on behalf of a program that this node owns."""
        self._ask_count += 1
        request_id = f"ask/{self._outbox.node_id}/{self._members.own.incarnation}/{self._ask_count}"
        deadline = now + self._limits.request_deadline
        self._open[request_id] = _OpenRequest(request, deadline, asking_program)
        self._send(now, request_id)

    def refuse(self, request_id: str, request: Request, message: str) -> None:
        """Refuse a request that was not passed to any owner."""
        self._open[request_id] = _OpenRequest(request, 0.0, None)
        self._emit_reply(request_id, ErrorReply(ErrorType.NOT_RUN, message, RETRY_AFTER))

    def _emit_reply(self, request_id: str, reply: Reply) -> None:
        """Emit a reply; :meth:`settle` decides whether a caller still waits for it."""
        self._outbox.emit(ReplyToCaller(request_id, reply))

    def _send(self, now: float, request_id: str) -> None:
        entry = self._open[request_id]
        owner = self._members.owner_of(entry.request.program_id, now)
        self._set_timer(request_id, now + self._limits.forward_retry)
        if owner is None:
            self._refuse_unless_forwarded(request_id)
            return
        entry.was_forwarded = True
        route = StreamRoute(self._outbox.node_id, request_id)
        self._deliver(now, owner, route, 0, entry.request)

    def _deliver(
        self, now: float, owner: str, route: StreamRoute, hops: int, request: Request
    ) -> None:
        if owner == self._outbox.node_id:
            self._run_locally(now, route, request)
            return
        forward = ForwardRequest(route.request_id, route.gateway, hops + 1, encode(request))
        self._outbox.emit(SendToPeer(owner, forward))

    def _refuse_unless_forwarded(self, request_id: str) -> None:
        if not self._open[request_id].was_forwarded:
            message = "no node that could own the program is known"
            self._emit_reply(request_id, ErrorReply(ErrorType.NOT_RUN, message, RETRY_AFTER))

    def handle_forwarded(self, now: float, message: ForwardRequest) -> None:
        """Run a forwarded request here, or forward it to the owner."""
        request = decode(message.body)
        route = StreamRoute(message.origin, message.request_id)
        self.redirect(now, route, request, message.hops)

    def redirect(self, now: float, route: StreamRoute, request: Request, hops: int) -> None:
        """Pass a request to the program's owner, which may be this node."""
        owner = self._members.owner_of(request.program_id, now)
        if owner is None or hops >= MAX_HOPS:
            owner = self._outbox.node_id
        self._deliver(now, owner, route, hops, request)

    def yield_to(self, now: float, winner: str, route: StreamRoute, request: Request) -> None:
        """Pass a request to the node with the higher ballot, which must not forward it."""
        if winner == self._outbox.node_id:
            self.redirect(now, route, request, 0)
        else:
            self._deliver(now, winner, route, MAX_HOPS, request)

    def handle_reply(self, message: ForwardReply) -> None:
        """Handle an owner's reply."""
        self._emit_reply(message.request_id, decode(message.body))

    def settle(self, now: float, request_id: str, reply: Reply) -> bool:
        """Close a request with its final reply.

        :returns: whether a caller waits for the reply.
        """
        entry = self._open.pop(request_id, None)
        if entry is None:
            return False
        if entry.asking_program is not None:
            self._answer_owner(now, entry.asking_program, entry.request, reply)
            return False
        return True

    def forget(self, request_id: str) -> None:
        """Forget a request whose caller has disconnected; its call continues."""
        self._open.pop(request_id, None)

    def handle_timer(self, now: float, request_id: str) -> None:
        """Forward a request again, or after its deadline reply that the outcome is unknown."""
        entry = self._open.get(request_id)
        if entry is None:
            return
        if now < entry.deadline:
            self._send(now, request_id)
            return
        message = "no answer came from the program's owner in time"
        self._emit_reply(request_id, ErrorReply(ErrorType.OUTCOME_UNKNOWN, message, RETRY_AFTER))
