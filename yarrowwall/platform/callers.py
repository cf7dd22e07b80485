"""Translation of clients' requests, and the headers of responses to them."""

from functools import lru_cache
from http.cookies import CookieError, SimpleCookie

from yarrowwall.exceptions import InvalidAttemptError
from yarrowwall.http_framing import header_values
from yarrowwall.model import (
    Answer,
    Attempt,
    Header,
    HeaderBlock,
    ProgramContext,
    PromptPart,
    RequestHead,
)
from yarrowwall.platform import names
from yarrowwall.policy.client_ids import kept_id
from yarrowwall.refusals import Refusal

#: Deadline of requests that state none.
_DEFAULT_DEADLINE_SECONDS = 30.0
#: Maximum number of header names whose canonical form is cached, and of their characters.
MAX_CACHED_NAMES = 512
MAX_CACHED_NAME_LENGTH = 64
#: Parts of a prompt from its start that are read, and digits of their numbers of tokens. They only
#: serve to choose a server that has them already.
MAX_PROMPT_PARTS = 256
MAX_TOKEN_DIGITS = 12
#: Hop-by-hop headers, headers that the system sets itself, and callers' secrets.
_DROPPED_FROM_REQUESTS = {
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
    *(name.lower() for name in names.STRIPPED_HEADERS),
}
#: Begins the names of headers for the next proxy alone.
_PROXY_PREFIX = "proxy-"
_DROPPED_FROM_ANSWERS = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
}


class PlatformCallers:
    """Translates between the clients' requests and attempts."""

    def read_attempt(self, head: RequestHead, now: float) -> Attempt:
        """Return the attempt of a request, without its body.

        :param now: when the request arrived, on the monotonic clock.
        :raises InvalidAttemptError: if the request is malformed.
        """
        headers = head.headers.decode()
        values = {name.lower(): value for name, value in headers}
        sent_id = values.get(names.ATTEMPT_ID.lower(), "")
        if not sent_id:
            raise InvalidAttemptError(f"{names.ATTEMPT_ID} is missing")
        attempt_id = kept_id(sent_id)
        return Attempt(
            attempt_id=attempt_id,
            method=head.method,
            target=head.target,
            host=_authority(head.target) or values.get("host", ""),
            headers=_forwarded_headers(headers, "connection" in values),
            body=b"",
            arrived_at=now,
            deadline=now + _deadline(values.get(names.DEADLINE.lower())),
            program=_program(values, now),
            prompt=_prompt(values.get(names.PROMPT_PREFIX.lower(), "")),
            affinity=_affinity(values.get("cookie", "")),
            last_event_id=values.get(names.LAST_EVENT_ID.lower()),
            resumed_attempt=kept_id(values.get(names.RESUMES.lower(), "").strip()) or None,
            api_key=_unique_value(headers, values, names.API_KEY.lower()),
            long_id=None if attempt_id == sent_id else sent_id,
        )

    def answer_headers(self, answer: Answer) -> list[Header]:
        """Return the headers of a server's answer that are passed to the client."""
        return [
            (name, value)
            for name, value in answer.headers.decode()
            if name.lower() not in _DROPPED_FROM_ANSWERS
        ]

    def refusal_headers(self, attempt_id: str, refusal: Refusal) -> list[Header]:
        """Return the headers of a response made by the gateway."""
        headers = [(names.ATTEMPT_ID, attempt_id)] if attempt_id else []
        if refusal.retry_after_s is not None:
            headers.append((names.RETRY_AFTER, f"{refusal.retry_after_s:.3f}"))
        return headers


def _authority(target: str) -> str:
    """Return the host and port of a target in absolute form, which counts in place of ``Host``."""
    if target.startswith("/"):
        return ""
    return target.partition("://")[2].partition("/")[0].partition("?")[0]


def _forwarded_headers(headers: list[Header], has_connection: bool) -> HeaderBlock:
    """Return the headers that are sent to servers.

    :param has_connection: whether ``Connection`` is one of them.
    """
    # It names headers of this connection alone.
    connection = header_values(headers, "connection") if has_connection else []
    hop_by_hop = {_canonical(name) for value in connection for name in value.split(",")}
    dropped = _DROPPED_FROM_REQUESTS | hop_by_hop if hop_by_hop else _DROPPED_FROM_REQUESTS
    return HeaderBlock.encode([header for header in headers if not _is_dropped(header[0], dropped)])


def _is_dropped(name: str, dropped: set[str]) -> bool:
    canonical = _canonical(name)
    return canonical in dropped or canonical.startswith(_PROXY_PREFIX)


def _canonical(name: str) -> str:
    """Return the canonical form of a header's name, for comparison.

    Servers that pass headers on as environment variables do not distinguish ``_`` and ``-``.
    """
    return _cached_canonical(name) if len(name) <= MAX_CACHED_NAME_LENGTH else _replaced(name)


def _replaced(name: str) -> str:
    return name.strip().lower().replace("_", "-")


_cached_canonical = lru_cache(MAX_CACHED_NAMES)(_replaced)


def _unique_value(headers: list[Header], values: dict[str, str], wanted: str) -> str | None:
    """Return the value of a header; None if it is missing or has several different values.

    :param values: the last value of each name in lower case.
    """
    if wanted not in values:
        return None
    found = {value.strip() for value in header_values(headers, wanted)}
    return found.pop() if len(found) == 1 else None


def _deadline(text: str | None) -> float:
    if text is None:
        return _DEFAULT_DEADLINE_SECONDS
    try:
        return max(0.0, float(text) / 1000.0)
    except ValueError as error:
        raise InvalidAttemptError(f"{names.DEADLINE} must be a number") from error


def _program(values: dict[str, str], now: float) -> ProgramContext | None:
    program_id = values.get(names.PROGRAM.lower())
    if program_id is None:
        return None
    budget = values.get(names.TOKEN_BUDGET.lower())
    finish_ms = values.get(names.FINISH.lower())
    max_tokens = values.get(names.TOKEN_COUNT.lower(), "").rpartition(",")[2].strip()
    try:
        return ProgramContext(
            kept_id(program_id),
            int(budget) if budget is not None else None,
            int(max_tokens) if max_tokens else 0,
            kept_id(values.get(names.PREVIOUS_TURN.lower(), "")) or None,
            now + float(finish_ms) / 1000.0 if finish_ms is not None else None,
            kept_id(values.get(names.SESSION.lower(), "")),
        )
    except ValueError as error:
        raise InvalidAttemptError("token counts and times must be numbers") from error


def _prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for piece in text.split(",", MAX_PROMPT_PARTS)[:MAX_PROMPT_PARTS]:
        part_id, _, tokens = piece.strip().rpartition(":")
        if part_id and tokens.isdigit() and len(tokens) <= MAX_TOKEN_DIGITS:
            parts.append(PromptPart(kept_id(part_id), int(tokens)))
    return tuple(parts)


def _affinity(text: str) -> str | None:
    # The library takes milliseconds for a head full of cookies, so it gets only this one.
    for piece in text.split(";") if names.AFFINITY_COOKIE in text else ():
        if piece.strip().startswith(f"{names.AFFINITY_COOKIE}="):
            try:
                morsel = SimpleCookie(piece).get(names.AFFINITY_COOKIE)
            except CookieError:
                return None
            return kept_id(morsel.value) if morsel is not None else None
    return None
