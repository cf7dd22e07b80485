"""An HTTP request of a caller or operator and its response."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import eventlet

from yarrowwall.messages.entries import Priority
from yarrowwall.messages.requests import ErrorReply, ErrorType
from yarrowwall.standalone.runtime.bodies import MAX_BODY_BYTES
from yarrowwall.standalone.runtime.exceptions import InvalidRequestError

#: Time limit in seconds for receiving a request body.
BODY_SECONDS = 30.0

_JSON = ("Content-Type", "application/json")
_OK = "200 OK"
_TOO_LARGE = "413 Content Too Large"

_STATUS_BY_ERROR = {
    ErrorType.NOT_RUN: "503 Service Unavailable",
    ErrorType.OUTCOME_UNKNOWN: "502 Bad Gateway",
    ErrorType.BUDGET_EXHAUSTED: "402 Payment Required",
    ErrorType.PROGRAM_ENDED: "410 Gone",
    ErrorType.PROGRAM_UNKNOWN: "404 Not Found",
    ErrorType.CALL_CONFLICT: "409 Conflict",
    ErrorType.INVALID_REQUEST: "400 Bad Request",
}
Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class Exchange:
    """An HTTP request and its response."""

    def __init__(self, environ: Environ, start_response: StartResponse) -> None:
        self._environ = environ
        self._start_response = start_response
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.status = _OK

    # Request

    def body(self) -> bytes:
        """Read the request body.

        :raises InvalidRequestError: If it is too large, late or truncated.
        """
        text = self._environ.get("CONTENT_LENGTH") or "0"
        if not text.isdigit():
            raise InvalidRequestError("Content-Length must be a number")
        length = int(text)
        if length > MAX_BODY_BYTES:
            raise InvalidRequestError(f"the body exceeds {MAX_BODY_BYTES} bytes", _TOO_LARGE)
        try:
            with eventlet.Timeout(BODY_SECONDS):
                data = self._environ["wsgi.input"].read(length)
        except (OSError, ValueError, eventlet.Timeout) as error:
            raise InvalidRequestError("the body did not arrive") from error
        if len(data) < length:
            raise InvalidRequestError("the body ended early")
        return data

    def header(self, name: str) -> str | None:
        """Return a request header; None if it is missing."""
        return self._environ.get("HTTP_" + name.upper().replace("-", "_"))

    def positive_header(self, name: str) -> int:
        """Return a header that must be a positive integer below 2**31."""
        text = self.header(name) or ""
        if not text.isascii() or not text.isdigit() or not 0 < int(text) < 2**31:
            raise InvalidRequestError(f"{name} must be a whole number from 1")
        return int(text)

    def flag_header(self, name: str, default: bool) -> bool:
        """Return a header that must be ``true`` or ``false``."""
        text = self.header(name)
        if text is None:
            return default
        if text.lower() not in ("true", "false"):
            raise InvalidRequestError(f"{name} must be true or false")
        return text.lower() == "true"

    def priority(self) -> Priority:
        """Return the priority header; routine if it is missing."""
        text = self.header("Yarrowwall-Priority") or Priority.ROUTINE
        try:
            return Priority(text)
        except ValueError as error:
            raise InvalidRequestError("Yarrowwall-Priority must be urgent or routine") from error

    # Response

    def start(self, status: str, headers: list[tuple[str, str]]) -> None:
        """Start the response with a status and headers."""
        self.status = status
        self._start_response(status, headers)

    def encoded(
        self, status: str, body: bytes, headers: Iterable[tuple[str, str]] = ()
    ) -> list[bytes]:
        """Respond with an already encoded JSON body."""
        self.start(status, [_JSON, ("Content-Length", str(len(body))), *headers])
        return [body]

    def json(
        self, status: str, document: dict, headers: Iterable[tuple[str, str]] = ()
    ) -> list[bytes]:
        """Respond with a JSON document."""
        return self.encoded(status, json.dumps(document).encode(), headers)

    def error(
        self, status: str, error_type: ErrorType, message: str, retry_after: float = 0.0
    ) -> list[bytes]:
        """Respond with an error document."""
        headers = [("Retry-After", str(max(1, round(retry_after))))] if retry_after else []
        document = {"error": {"type": error_type, "message": message}}
        return self.json(status, document, headers)

    def refuse(self, error: InvalidRequestError) -> list[bytes]:
        """Respond to a malformed request and close the connection.

        With keep-alive, the server would wait for the unread rest of the body
        before the next request.
        """
        document = {"error": {"type": ErrorType.INVALID_REQUEST, "message": str(error)}}
        return self.json(error.status, document, [("Connection", "close")])

    def error_reply(self, reply: ErrorReply) -> list[bytes]:
        """Respond with an error reply of the core."""
        status = _STATUS_BY_ERROR[ErrorType(reply.error_type)]
        return self.error(status, reply.error_type, reply.message, reply.retry_after)
