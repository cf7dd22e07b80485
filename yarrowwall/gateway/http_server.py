"""HTTP server for callers: a greenthread for each connection."""

import socket

import eventlet

from yarrowwall.decisions import DecisionLog
from yarrowwall.gateway.caller_connection import (
    Application,
    CallerConnection,
    CurrentCallerLimits,
)
from yarrowwall.listening import ResilientListener

#: Size of the kernel's send buffer per caller. By default it grows to 4 MB, which counts towards
#: the machine's memory; 64 KB last for 5 ms at 100 Mbit/s.
SEND_BUFFER_BYTES = 64 * 1024
_MAX_CONNECTIONS = 3000


def serve(
    listener: ResilientListener,
    application: Application,
    limits: CurrentCallerLimits,
    log: DecisionLog,
) -> None:
    """Serve an application until the listener is closed."""
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    pool = eventlet.GreenPool(_MAX_CONNECTIONS)
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            # The listener is closed; it tries again after other failures.
            return
        pool.spawn_n(CallerConnection(connection, limits, log).serve, application)
