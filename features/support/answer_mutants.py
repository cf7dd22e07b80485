"""The listed answers, read in pieces by the product's connection, and mutants of that."""

from collections.abc import Callable, Collection, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from features.support.answer_bounds_model import unconnected
from features.support.answer_cases import ANSWER_CASES, AnswerCase
from features.support.raw_exchange import OWN_LINES
from yarrowwall.dispatch import connection as connection_module
from yarrowwall.dispatch import response_parser
from yarrowwall.dispatch.connection import ServerConnection
from yarrowwall.dispatch.response_parser import ResponseParser
from yarrowwall.exceptions import RelayError
from yarrowwall.model import Header

#: Sizes of the pieces in which an answer arrives, in bytes.
PIECE_SIZES = (1, 2, 3, 7, 64, 8192)
REFUSED = 502
_OWN = b"X-Attempt-Id: own\r\n"
_TIMEOUT_S = 1.0


def _pieces(data: bytes, size: int) -> Iterator[bytes]:
    for at in range(0, len(data), size):
        yield data[at : at + size]
    while True:
        yield b""


def _read_own(connection: ServerConnection) -> tuple[int, bytes]:
    """Return the status and body of the answer to the own request, after those to others."""
    while True:
        head = connection.read_head(_TIMEOUT_S)
        is_other = ("X-Attempt-Id", "other") in head.headers.decode()
        body = connection.read_all(_TIMEOUT_S, lambda size: None)
        if not is_other:
            return head.status, body
        connection.finish_response()


def read_case(case: AnswerCase, size: int) -> tuple[int, bytes]:
    """Return what is read of an answer that arrives in pieces of a size."""
    found = _pieces(case.sent.replace(OWN_LINES, _OWN), size)

    def receive(socket: object, size: int, timeout: float) -> bytes:
        return next(found)

    with patch.object(connection_module, "receive", receive):
        try:
            return _read_own(unconnected())
        except RelayError:
            return REFUSED, b""


def misread() -> list[str]:
    """Return the listed answers that are not read as listed in pieces of every size."""
    return [
        f"{case.name} in pieces of {size}"
        for case in ANSWER_CASES
        for size in PIECE_SIZES
        if read_case(case, size) != (case.status, case.body or b"")
    ]


_feed_piece = ResponseParser._feed_piece
_head_fault = response_parser.head_fault


def _any_start(self: ResponseParser, piece: bytes) -> None:
    with patch.object(response_parser, "_PROTOCOL", b""):
        _feed_piece(self, piece)


def _any_coding(version: str, status: int, headers: Collection[Header]) -> str:
    others = [header for header in headers if header[0].lower() != "content-encoding"]
    return _head_fault(version, status, others)


def _whole_pieces(self: ResponseParser, data: bytes, at: int) -> int:
    return len(data)


ANSWER_MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "takes any status": lambda: patch.object(response_parser, "STATUSES", range(1000)),
    "takes any encoding": lambda: patch.object(response_parser, "head_fault", _any_coding),
    "takes any protocol": lambda: patch.object(ResponseParser, "_feed_piece", _any_start),
    "looks at the protocol of the first answer alone": lambda: patch.object(
        ResponseParser, "_piece_end", _whole_pieces
    ),
}
