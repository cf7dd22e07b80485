"""Follows what becomes of the sends of one attempt, so that ends of servers are counted.

A request under which servers ended is sent on only as :class:`SuspectControl` allows.
"""

from collections.abc import Callable, Collection

from yarrowwall.dispatch.server_ends import ServerEndDetector
from yarrowwall.exceptions import RelayError
from yarrowwall.model import Attempt, Server
from yarrowwall.policy.server_choice import Choice
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.suspects import SuspectControl, SuspectSend


class SendOutcomes:
    """The sends of one attempt.

    :param open_tries: returns the ids of the request's other attempts that may still run.
    :param now: the monotonic clock.
    """

    def __init__(
        self,
        attempt: Attempt,
        directory: ServerDirectory,
        server_ends: ServerEndDetector,
        suspects: SuspectControl,
        open_tries: Callable[[], Collection[str]],
        now: Callable[[], float],
    ) -> None:
        self._attempt = attempt
        self._directory = directory
        self._server_ends = server_ends
        self._suspects = suspects
        self._open_tries = open_tries
        self._now = now
        #: The server of a send whose outcome is not known yet, and its reservation if it has one.
        self._unsettled_server: Server | None = None
        self._reservation: SuspectSend | None = None

    def reserve(
        self, choice: Choice, choose: Callable[[Collection[str]], Choice | None], left_s: float
    ) -> Choice:
        """Reserve a send if servers ended under the request; return the server to send it to.

        Such a request goes to a server that runs no other one of these, if there is any.

        :param choose: returns a choice among the servers other than some incarnations.
        :param left_s: seconds left to the attempt.
        :raises RefusedError: if the request may not be sent.
        """
        reservation = self._suspects.reserve(self._attempt, choice.server, left_s, self._open_tries)
        self._reservation = reservation
        if reservation is None or choice.server.incarnation_text not in reservation.occupied:
            return choice
        apart = choose(reservation.occupied)
        if apart is None or self._directory.is_suspended(apart.server.incarnation, self._now()):
            return choice
        reservation.move(apart.server)
        return apart

    def note_sent(self, server: Server) -> None:
        """Note that the request is sent to a server."""
        self._unsettled_server = server

    def note_answered(self) -> None:
        """Note that the server answered completely."""
        self._unsettled_server = None
        self._release(is_resolved=True)

    def note_failed(self, server: Server, error: RelayError) -> bool:
        """Note that a send failed; return whether the server is known to have ended.

        The end is reported before this returns, so before the request is sent again. Other requests
        that the server may have run are reported too.
        """
        has_ended = self._server_ends.has_ended(server, error)
        was_sent, self._unsettled_server = self._unsettled_server is not None, None
        if has_ended:
            self._suspects.report_ended(server, self._attempt if was_sent else None)
        elif was_sent:
            self._suspects.note_unresolved(self._attempt, server)
        self._release(is_resolved=has_ended or not was_sent)
        return has_ended

    def close(self) -> None:
        """Note that the attempt is over, whatever became of its last send."""
        server, self._unsettled_server = self._unsettled_server, None
        if server is not None:
            self._suspects.note_unresolved(self._attempt, server)
        self._release(is_resolved=server is None)

    def _release(self, is_resolved: bool) -> None:
        """End the reservation of the last send, if it has one."""
        if self._reservation is not None:
            self._reservation.release(is_resolved)
            self._reservation = None
