"""Finds out whether a server has ended when a connection to it breaks.

A server that ends closes its connections, but so does one that lives and drops a single request.
Only the former refuses new connections. A server that does not answer at all may be cut off.
"""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from yarrowwall.exceptions import (
    ConnectError,
    ConnectionBrokenError,
    ConnectRefusedError,
    RelayError,
)
from yarrowwall.model import Incarnation, Server
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.sockets import open_socket

#: Connect timeout in seconds of a check; a caller waits for its result.
CHECK_TIMEOUT_SECONDS = 0.1
#: Seconds between the two connections of a check: a server that ends may close its connections
#: before its listener.
CHECK_INTERVAL_SECONDS = 0.015
#: Seconds for which the end of an incarnation is remembered.
REMEMBERED_SECONDS = 1.0


class ServerEndDetector:
    """Checks whether incarnations of servers have ended.

    :param directory: the known servers; a later incarnation of a server shows that one has ended.
    :param on_ended: called with a server that was found to have ended.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        on_ended: Callable[[Server], None],
        now: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._on_ended = on_ended
        self._now = now
        self._ended_at: dict[Incarnation, float] = {}
        self._checks: dict[Incarnation, Event] = {}

    def has_ended(self, server: Server, error: RelayError) -> bool:
        """Return whether a server is known to have ended, given the error of a send to it.

        Concurrent calls for one incarnation share a check, which goes on if a caller leaves.
        """
        if isinstance(error, ConnectRefusedError) or self._has_successor(server.incarnation):
            self._note_ended(server.incarnation)
        if self._ended_at.get(server.incarnation, float("-inf")) > self._forgotten_at:
            return True
        if not isinstance(error, ConnectionBrokenError):
            return False
        check = self._checks.get(server.incarnation)
        if check is None:
            check = self._checks[server.incarnation] = Event()
            eventlet.spawn_n(self._check, server, check)
        return bool(check.wait())

    def _has_successor(self, incarnation: Incarnation) -> bool:
        state = self._directory.states.get(incarnation.server_id)
        return state is not None and incarnation.is_before(state.incarnation)

    @property
    def _forgotten_at(self) -> float:
        """Return the time before which ends are forgotten."""
        return self._now() - REMEMBERED_SECONDS

    def _check(self, server: Server, check: Event) -> None:
        has_ended = _refuses_connections(server.address)
        del self._checks[server.incarnation]
        check.send(has_ended)
        if has_ended:
            self._note_ended(server.incarnation)
            self._on_ended(server)

    def _note_ended(self, incarnation: Incarnation) -> None:
        # Entries are ordered by time, so that expired ones come first.
        self._ended_at.pop(incarnation, None)
        self._ended_at[incarnation] = self._now()
        while self._ended_at[oldest := next(iter(self._ended_at))] <= self._forgotten_at:
            del self._ended_at[oldest]


def _refuses_connections(address: str) -> bool:
    """Return whether connections to an address are refused, at once or a moment later."""
    for pause_s in (0.0, CHECK_INTERVAL_SECONDS):
        eventlet.sleep(pause_s)
        try:
            open_socket(address, CHECK_TIMEOUT_SECONDS).close()
        except ConnectRefusedError:
            return True
        except ConnectError:
            # The server is out of reach, so it is unknown whether it has ended.
            return False
    return False
