"""HTTP server for clients: a greenthread for each connection."""

import socket
import time

import eventlet

from yarrowwall import decisions
from yarrowwall.decisions import DecisionLog
from yarrowwall.gateway.caller_connection import (
    Application,
    CallerConnection,
    CurrentCallerLimits,
)
from yarrowwall.listening import ResilientListener
from yarrowwall.policy.connection_budget import (
    RECEIVE_BUFFER_BYTES,
    ConnectionBudget,
    ConnectionsExhaustedError,
)

#: Size of the kernel's send buffer per caller. By default it grows to 4 MB, which counts towards
#: the machine's memory; 64 KB last for 5 ms at 100 Mbit/s.
SEND_BUFFER_BYTES = 64 * 1024
#: Most seconds that no connection is accepted while others end, and seconds between two checks.
MAX_END_SECONDS = 0.05
END_POLL_SECONDS = 0.001
#: State in the log of a connection that is not accepted.
_NEW = "NEW"


def serve(
    listener: ResilientListener,
    application: Application,
    limits: CurrentCallerLimits,
    budget: ConnectionBudget,
    log: DecisionLog,
) -> None:
    """Serve an application until the listener is closed."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    while True:
        try:
            accepted, _ = listener.accept()
        except OSError:
            # The listener is closed; it tries again after other failures.
            return
        try:
            connection = CallerConnection(accepted, limits, budget, log)
        except ConnectionsExhaustedError:
            log.write(decisions.ClientTurnedAway(_NEW, 0, budget.count))
            accepted.close()
        else:
            eventlet.spawn_n(connection.serve, application)
        _wait_for_ends(budget)


def _wait_for_ends(budget: ConnectionBudget) -> None:
    """Let connections close that ended for others, which keep their descriptors until then."""
    end_s = time.monotonic() + MAX_END_SECONDS
    while budget.ending and time.monotonic() < end_s:
        eventlet.sleep(END_POLL_SECONDS)
