"""Encoding of requests to the platform's servers, and interpretation of their answers."""

from http import HTTPStatus

from yarrowwall.model import Answer, Attempt, ResponseHead, Send
from yarrowwall.platform import names

_LOWEST_PRIORITY = 9


class PlatformServers:
    """Translates between attempts and HTTP messages of servers."""

    def request_bytes(self, attempt: Attempt, send: Send) -> bytes:
        """Return the bytes of a request to a server."""
        start = f"{attempt.method} {attempt.target} HTTP/1.1\r\nHost: {attempt.host}\r\n"
        lines = [f"{names.DEADLINE}: {max(1, int(send.remaining_s * 1000))}"]
        lines.append(f"{names.EXPECT_INSTANCE}: {send.server.server_id}")
        if attempt.prompt:
            priority = min(max(send.priority, 0), _LOWEST_PRIORITY)
            lines.append(f"{names.REQUEST_PRIORITY}: {priority}")
        if attempt.tenant:
            lines.append(f"{names.TENANT}: {attempt.tenant}")
        if send.last_event_id is not None:
            lines.append(f"{names.LAST_EVENT_ID}: {send.last_event_id}")
        if send.body or attempt.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(send.body)}")
        own = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        return b"".join((start.encode("latin-1"), attempt.headers.lines, own, send.body))

    def read_answer(self, attempt: Attempt, send: Send, head: ResponseHead) -> Answer:
        """Return the interpretation of a response head."""
        values = {name.lower(): value for name, value in head.headers.decode()}
        echoed = values.get(names.ATTEMPT_ID.lower())
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        return Answer(
            status=head.status,
            headers=head.headers,
            was_not_run=is_misdirected or names.NOT_EXECUTED.lower() in values,
            is_for_attempt=echoed is None or echoed == attempt.sent_id,
            is_signed=names.SEAL.lower() in values,
            keep_alive=_keep_alive(values.get("keep-alive")),
        )


def _keep_alive(text: str | None) -> float | None:
    """Return the server's keep-alive timeout in seconds; None if it announced none."""
    if text is None:
        return None
    for piece in text.split(","):
        name, _, value = piece.strip().partition("=")
        if name.lower() in ("timeout", "") and value.strip().isdigit():
            return float(value)
    return float(text) if text.strip().isdigit() else None
