"""Answers short GET requests of the machine's operators: readiness and metrics."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

from yarrowwall.decisions import DecisionLog
from yarrowwall.gateway.caller_connection import CallerRequest, CurrentCallerLimits
from yarrowwall.gateway.http_server import serve
from yarrowwall.listening import ResilientListener
from yarrowwall.model import CallerLimits
from yarrowwall.policy.connection_budget import ConnectionBounds, ConnectionBudget

#: These requests have no body; one that comes all the same ends its connection.
_LIMITS = CallerLimits(body_bytes=0)


class ProbeAnswer(NamedTuple):
    """The answer to a probe."""

    status: HTTPStatus
    body: bytes = b""
    content_type: str = ""


NOT_FOUND = ProbeAnswer(HTTPStatus.NOT_FOUND)


def serve_probes(
    listener: ResilientListener, answer: Callable[[str], ProbeAnswer], log: DecisionLog
) -> None:
    """Answer probes until the listener is closed.

    :param answer: returns the answer for a path.
    """
    limits = CurrentCallerLimits()
    limits.current = _LIMITS

    def application(request: CallerRequest) -> Iterable[bytes]:
        found = answer(request.head.target.partition("?")[0])
        headers = [("Content-Length", str(len(found.body)))]
        if found.content_type:
            headers.append(("Content-Type", found.content_type))
        request.start_response(found.status, headers)
        return [found.body]

    serve(listener, application, limits, ConnectionBudget(ConnectionBounds.of_probes()), log)
