"""The parser of requests without a process, and mutants of it, each without one check."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

import httptools

from features.support.request_cases import MAX_HEAD_BYTES, Case, Ran
from yarrowwall.gateway import request_parser
from yarrowwall.gateway.request_parser import MalformedRequestError, RequestParser

#: Statuses that depend on the parser alone.
_PARSED_STATUSES = {100, 200, 400, 431, 501, 505}
#: Cases whose status 400 does not come from the parser.
_OTHER_REFUSALS = {"no attempt id"}


def is_parsed(case: Case) -> bool:
    """Return whether the outcome of a case depends on the parser alone."""
    return set(case.statuses) <= _PARSED_STATUSES and case.name not in _OTHER_REFUSALS


def parse(case: Case) -> tuple[tuple[Ran, ...], int]:
    """Return the requests that the parser reads, and the status of its refusal; 0 for none."""
    parser = RequestParser(MAX_HEAD_BYTES)
    found: list[Ran] = []
    for piece in case.pieces:
        parser.feed(piece)
        try:
            while (head := parser.head()) is not None:
                body = _body(parser)
                if body is None:
                    break
                found.append(Ran(head.method, head.target, body))
                if not head.keeps_alive:
                    return tuple(found), 0
                parser.finish_request()
        except MalformedRequestError as error:
            return tuple(found), error.status
    return tuple(found), 0


def _body(parser: RequestParser) -> bytes | None:
    """Return the whole body; None if it has not arrived."""
    pieces = []
    while (piece := parser.body_piece()) is not None:
        pieces.append(piece)
        if not piece:
            return b"".join(pieces)
    # What has arrived is read again with the rest.
    parser._current.body[:0] = b"".join(pieces)
    return None


def _lenient(name: str) -> Callable[[], AbstractContextManager[Any]]:
    """Return a mutant whose library has one of its leniencies."""
    real = httptools.HttpRequestParser

    def create(protocol: object) -> Any:
        parser = real(protocol)
        parser.set_dangerous_leniencies(**{name: True})
        return parser

    return lambda: patch.object(request_parser.httptools, "HttpRequestParser", create)


def _without(name: str) -> Callable[[], AbstractContextManager[Any]]:
    """Return a mutant without one check of a head."""
    return lambda: patch.object(request_parser, name, lambda *arguments: None)


def _takes_any_version() -> AbstractContextManager[Any]:
    return patch.object(request_parser, "HTTP_VERSIONS", ("0.9", "1.0", "1.1", "2.0"))


def _no_head_limit() -> AbstractContextManager[Any]:
    return patch.object(RequestParser, "_check_unfinished_head", lambda self: None)


def _counts_no_headers() -> AbstractContextManager[Any]:
    return patch.object(RequestParser, "_check_head_size", lambda self: None)


def _upgrades() -> AbstractContextManager[Any]:
    return patch.object(request_parser.RequestHead, "has_body", property(lambda head: False))


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "takes any number of Hosts": _without("_check_host"),
    "takes any target": _without("_check_target"),
    "takes any coding": _without("_check_coding"),
    "takes any version": _takes_any_version,
    "takes an upgrade with a body": _upgrades,
    "reads a head to its end however long": _no_head_limit,
    "does not count the header fields": _counts_no_headers,
    **{
        f"has the library's {name}": _lenient(name)
        for name in (
            "lenient_headers",
            "lenient_chunked_length",
            "lenient_transfer_encoding",
            "lenient_version",
            "lenient_optional_lf_after_cr",
            "lenient_optional_cr_before_lf",
            "lenient_optional_crlf_after_chunk",
            "lenient_spaces_after_chunk_size",
        )
    },
}
