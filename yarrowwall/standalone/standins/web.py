"""A small HTTP server shared by the stand-ins."""

import json
import socket
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi

Environ = dict[str, Any]
_HTTP_OK = "200 OK"


class Call:
    """An HTTP request and its response."""

    def __init__(self, environ: Environ, start_response: Callable[..., Any]) -> None:
        self._environ = environ
        self._start_response = start_response
        self.route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        self._query = parse_qs(environ.get("QUERY_STRING", ""))

    def query(self, name: str, default: str = "") -> str:
        """Return a query parameter."""
        return self._query.get(name, [default])[0]

    def header(self, name: str, default: str = "") -> str:
        """Return a request header."""
        return self._environ.get("HTTP_" + name.upper().replace("-", "_"), default)

    def body(self) -> Any:
        """Read and decode the JSON request body."""
        length = int(self._environ.get("CONTENT_LENGTH") or 0)
        return json.loads(self._environ["wsgi.input"].read(length))

    def json(
        self, document: Any, status: str = _HTTP_OK, headers: Iterable[tuple[str, str]] = ()
    ) -> list[bytes]:
        """Respond with a JSON document."""
        body = json.dumps(document).encode()
        length = ("Content-Length", str(len(body)))
        self._start_response(status, [("Content-Type", "application/json"), length, *headers])
        return [body]

    def stream(self, parts: Iterable[bytes]) -> Iterable[bytes]:
        """Respond with an event stream."""
        self._start_response(_HTTP_OK, [("Content-Type", "text/event-stream")])
        return parts


Handler = Callable[[Call], Iterable[bytes]]


class StandInServer:
    """Routes requests to handlers by method and path."""

    def __init__(self, listener: socket.socket, handlers: dict[tuple[str, str], Handler]) -> None:
        self._handlers = handlers
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = "{}:{}".format(*listener.getsockname()[:2])
        self._server = eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            self._application,
            log_output=False,
            max_size=10_000,
            socket_timeout=None,
        )

    def _application(self, environ: Environ, start_response: Callable[..., Any]) -> Iterable[bytes]:
        call = Call(environ, start_response)
        handler = self._handlers.get(call.route)
        if handler is None:
            return call.json({"error": "not found"}, "404 Not Found")
        try:
            return handler(call)
        except (ValueError, KeyError, TypeError) as error:
            return call.json({"error": repr(error)}, "400 Bad Request")

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.kill()

    def wait(self) -> None:
        """Block until the server is stopped."""
        self._server.wait()
