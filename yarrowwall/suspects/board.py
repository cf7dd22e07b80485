"""The suspects on one replica, which tells every gateway that follows it of new ones."""

from collections.abc import Callable

import eventlet

from yarrowwall.messages.suspects import (
    FollowSuspects,
    ReleaseSend,
    ReportSuspects,
    ReserveSend,
    Suspect,
    Suspects,
)
from yarrowwall.policy.crash_suspects import CrashSuspects
from yarrowwall.replication.rpc import Replier

#: Seconds for which reports are collected before followers are sent them: when a server ends, all
#: gateways report at once.
COLLECT_SECONDS = 0.004

Request = FollowSuspects | ReportSuspects | ReserveSend | ReleaseSend


class SuspectBoard:
    """Keeps the suspects that gateways report; in memory only.

    :param now: the monotonic clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._suspects = CrashSuspects()
        #: By connection: a gateway that is cut off follows through others' connections as well.
        self._followers: dict[object, Replier] = {}
        self._new: dict[str, Suspect] = {}
        self._reporters: list[Replier] = []
        self._is_collecting = False

    def handle(self, request: Request, reply: Replier) -> None:
        """Answer a request of a gateway."""
        now_s = self._now()
        match request:
            case FollowSuspects():
                self._drop_closed()
                self._followers[reply.connection] = reply
                self._add(request.known, now_s)
                reply(Suspects(self._suspects.all(now_s)))
            case ReportSuspects():
                self._add(request.suspects, now_s)
                self._reporters.append(reply)
                self._collect()
            case ReserveSend():
                reply(self._suspects.reserve(request, now_s))
            case ReleaseSend():
                self._suspects.release(request.request, request.send_id)

    def _drop_closed(self) -> None:
        """Drop followers whose connection has ended."""
        for connection, follower in list(self._followers.items()):
            if not follower.is_open:
                del self._followers[connection]

    def _add(self, suspects: list[Suspect], now_s: float) -> None:
        for suspect in self._suspects.merge(suspects, now_s):
            self._new[suspect.request] = suspect
            self._collect()

    def _collect(self) -> None:
        if not self._is_collecting:
            self._is_collecting = True
            eventlet.spawn_after(COLLECT_SECONDS, self._tell_all)

    def _tell_all(self) -> None:
        """Send new suspects to all followers, then reply to those that reported them."""
        self._is_collecting = False
        new, self._new = self._new, {}
        reporters, self._reporters = self._reporters, []
        if new:
            message = Suspects(list(new.values()))
            for connection, follower in list(self._followers.items()):
                if not follower.notify(message):
                    del self._followers[connection]
        for reporter in reporters:
            reporter(Suspects([]))
