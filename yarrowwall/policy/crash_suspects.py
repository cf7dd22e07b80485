"""Requests under which servers ended, as a gateway or a replica knows them. No I/O.

The ended servers of a request are a set that only grows until it expires, so that reports may
arrive in any order and more than once. All times are seconds of the monotonic clock.
"""

from collections.abc import Iterable

from yarrowwall.messages.suspects import PendingSend, ReserveSend, ReserveSendReply, Suspect

#: Ended servers after which a request is sent to no further one.
MAX_ENDED_SERVERS = 3
#: Most suspects that are kept; those that expire first are dropped.
MAX_SUSPECTS = 4096
#: The longest time in seconds for which a suspect is kept, whatever a message says.
MAX_RETENTION_SECONDS = 3600.0
#: Least seconds between two searches for expired suspects.
DROP_INTERVAL_SECONDS = 1.0


class _Entry:
    """One suspect.

    :ivar pending: its sends whose outcome is unknown, by id.
    :ivar pending_until: when the time of each of them is over.
    """

    __slots__ = ("ended", "expires_at", "pending", "pending_until")

    def __init__(self) -> None:
        self.ended: set[str] = set()
        self.expires_at = 0.0
        self.pending: dict[str, PendingSend] = {}
        self.pending_until: dict[str, float] = {}

    def pending_sends(self, now_s: float) -> list[PendingSend]:
        """Return the sends whose outcome is unknown."""
        return [
            send for send_id, send in self.pending.items() if self.pending_until[send_id] > now_s
        ]


class CrashSuspects:
    """The suspects that a process knows, by the identity of the request."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._dropped_at = 0.0

    def __bool__(self) -> bool:
        """Return whether there may be any suspect."""
        return bool(self._entries)

    def ended(self, request: str, now_s: float) -> frozenset[str]:
        """Return the incarnations that ended under a request."""
        self._drop_expired(now_s)
        entry = self._entries.get(request)
        if entry is None or entry.expires_at <= now_s:
            return frozenset()
        return frozenset(entry.ended)

    def all(self, now_s: float) -> list[Suspect]:
        """Return all suspects."""
        self._drop_expired(now_s)
        return [
            Suspect(request, sorted(entry.ended), entry.expires_at - now_s)
            for request, entry in self._entries.items()
            if entry.expires_at > now_s
        ]

    def merge(self, suspects: Iterable[Suspect], now_s: float) -> list[Suspect]:
        """Add what is new; return the suspects of which more ended servers are known now."""
        changed = []
        for suspect in suspects:
            left_s = min(suspect.left_s, MAX_RETENTION_SECONDS)
            if left_s <= 0.0 or not suspect.ended:
                continue
            entry = self._entries.get(suspect.request)
            if entry is None:
                entry = self._entries[suspect.request] = _Entry()
            known = len(entry.ended)
            entry.ended.update(suspect.ended)
            entry.expires_at = max(entry.expires_at, now_s + left_s)
            if len(entry.ended) > known:
                changed.append(Suspect(suspect.request, sorted(entry.ended), left_s))
        self._drop_excess()
        return changed

    def reserve(self, request: ReserveSend, now_s: float) -> ReserveSendReply:
        """Add a pending send; return what is known of the request and of other suspects."""
        self._drop_expired(now_s)
        entry = self._entries.get(request.request)
        if entry is None:
            # This process lost its suspects; the gateway that asks knows better.
            return ReserveSendReply([], [], [])
        send_id = request.send.send_id
        others = [send for send in entry.pending_sends(now_s) if send.send_id != send_id]
        entry.pending[send_id] = request.send
        entry.pending_until[send_id] = now_s + min(request.send.left_s, MAX_RETENTION_SECONDS)
        occupied = {
            send.server
            for other in self._entries.values()
            if other is not entry
            for send in other.pending_sends(now_s)
        }
        return ReserveSendReply(sorted(entry.ended), others, sorted(occupied))

    def release(self, request: str, send_id: str) -> None:
        """Remove a pending send, whose outcome is known."""
        entry = self._entries.get(request)
        if entry is not None:
            entry.pending.pop(send_id, None)
            entry.pending_until.pop(send_id, None)

    def _drop_expired(self, now_s: float) -> None:
        if now_s - self._dropped_at < DROP_INTERVAL_SECONDS:
            return
        self._dropped_at = now_s
        for request in [one for one, entry in self._entries.items() if entry.expires_at <= now_s]:
            del self._entries[request]

    def _drop_excess(self) -> None:
        excess = len(self._entries) - MAX_SUSPECTS
        if excess > 0:
            by_expiry = sorted(self._entries, key=lambda one: self._entries[one].expires_at)
            for request in by_expiry[:excess]:
                del self._entries[request]


class UnresolvedSends:
    """Sends that ended without an answer while their servers were not known to have ended.

    A server may end shortly after its connection broke, or after its caller left.
    """

    #: Seconds for which the end of the server still counts as one under the request.
    EXPIRY_SECONDS = 0.5

    def __init__(self) -> None:
        self._sends: list[tuple[float, str, str]] = []

    def note(self, request: str, server: str, now_s: float) -> None:
        """Add a send of a request to an incarnation."""
        self._drop_expired(now_s)
        self._sends.append((now_s, request, server))

    def take(self, server: str, now_s: float) -> list[str]:
        """Remove and return the requests that were sent to an incarnation that has ended."""
        self._drop_expired(now_s)
        found = [request for _, request, sent_to in self._sends if sent_to == server]
        self._sends = [send for send in self._sends if send[2] != server]
        return found

    def _drop_expired(self, now_s: float) -> None:
        since_s = now_s - self.EXPIRY_SECONDS
        self._sends = [send for send in self._sends if send[0] > since_s]
