"""Random requests, whole and mutated, and an independent reading of what they ask for.

The reference reads the grammar of RFC 9112 with regular expressions, and takes whatever any strict
parser may take. What a gateway runs must be what the reference reads, in order, from the first
request on; it may refuse a request and all after it.
"""

import itertools
import re
from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.strategies import DrawFn, SearchStrategy

from features.support.platform_world import HOST
from features.support.request_cases import Ran, head

#: Stands in targets for the number of the stream, which has as many bytes.
TOKEN = b"########"
NUMBERED = re.compile(r"/records/(\d{8})/")
_INNER = head(start=f"POST /records/{TOKEN.decode()}/inner HTTP/1.1", attempt="inner")
_START = re.compile(rb"[\r\n]*([A-Z]+) +([^ \t\r\n\x00]+) +HTTP/(1\.[01])\r\n")
_HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r\n\x00]*)\r\n")
_HOST = re.compile(rb"%b(:[^:]*)?" % re.escape(HOST.encode()))
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n")
_MUTATED_LINES = (
    "Content-Length: 0", "Content-Length: 3", "Content-Length: 5", "Content-Length : 3",
    "Content-Length: +3", "Content-Length: 3, 3", "Transfer-Encoding: chunked",
    "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding:chunked",
    "Transfer-Encoding: xchunked", "Transfer-Encoding : chunked", "A: b\r\n folded", "A: \x00",
    "Connection: close", "Connection: Upgrade\r\nUpgrade: h2c", "Expect: 100-continue",
    f"Host: {HOST}", "A B: c", "A: b\nContent-Length: 4", "A: b\rTransfer-Encoding: chunked",
)  # fmt: skip
_SNIPPETS = (
    b"\r\n", b"\n", b"\r", b" ", b"\x00", b"0\r\n\r\n", b"3\r\n", b":", b";", b"+", b"0x", b",",
    b"Content-Length: 1\r\n", b"Transfer-Encoding: chunked\r\n", _INNER,
)  # fmt: skip


class Stream(NamedTuple):
    """What a caller sends over one connection.

    :param is_whole: whether nothing in it was mutated, so that all of it must run.
    """

    pieces: tuple[bytes, ...]
    is_whole: bool

    def numbered(self, number: int) -> tuple[bytes, ...]:
        """Return the pieces for the stream with a number, by which its requests are known."""
        token = b"%08d" % number
        sent, found = b"".join(self.pieces).replace(TOKEN, token), []
        for piece in self.pieces:
            found.append(sent[: len(piece)])
            sent = sent[len(piece) :]
        return tuple(found)


def read(data: bytes) -> tuple[Ran, ...]:
    """Return the routed requests in a stream, up to one that is invalid or incomplete."""
    found: list[Ran] = []
    at = 0
    while start := _START.match(data, at):
        headers, at = _read_headers(data, start.end())
        if at < 0:
            break
        body, at = _read_body(data, at, headers)
        if at < 0:
            break
        target = start[2].decode("latin-1")
        if _is_routed(headers) and target.startswith("/records/"):
            found.append(Ran(start[1].decode(), target, body))
    return tuple(found)


def _is_routed(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether the host, without its port, has routes."""
    hosts = [value for name, value in headers if name == b"host"]
    return any(_HOST.fullmatch(host) for host in hosts)


def _read_headers(data: bytes, at: int) -> tuple[list[tuple[bytes, bytes]], int]:
    """Return headers and the position after the empty line; -1 if they are invalid."""
    headers = []
    while line := _HEADER.match(data, at):
        headers.append((line[1].lower(), line[2].strip(b" \t")))
        at = line.end()
    return headers, at + 2 if data.startswith(b"\r\n", at) else -1


def _read_body(data: bytes, at: int, headers: list[tuple[bytes, bytes]]) -> tuple[bytes, int]:
    """Return the body and the position after it; -1 if it is invalid or incomplete."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
    if codings:
        return _read_chunks(data, at) if codings == [b"chunked"] and not lengths else (b"", -1)
    if not lengths:
        return b"", at
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]+", lengths[0]):
        return b"", -1
    end = at + int(lengths[0])
    return data[at:end], end if end <= len(data) else -1


def _read_chunks(data: bytes, at: int) -> tuple[bytes, int]:
    body = b""
    while chunk := _CHUNK.match(data, at):
        size, at = int(chunk[1], 16), chunk.end()
        if size == 0:
            _, at = _read_headers(data, at)
            return body, at
        if not data.startswith(b"\r\n", at + size):
            break
        body += data[at : at + size]
        at += size + 2
    return b"", -1


@st.composite
def _bodies(draw: DrawFn) -> tuple[list[str], bytes]:
    """Draw header lines of a body's framing, and the framed body."""
    body = draw(st.sampled_from([b"", b"abc", b"0\r\n\r\n", _INNER, b"a" * 300]))
    if not draw(st.booleans()):
        return [f"Content-Length: {len(body)}"], body
    framed = b""
    for part in (body[: len(body) // 2], body[len(body) // 2 :]):
        framed += b"%x\r\n%b\r\n" % (len(part), part) if part else b""
    return ["Transfer-Encoding: chunked"], framed + b"0\r\n\r\n"


@st.composite
def streams(draw: DrawFn) -> Stream:
    """Draw a stream of requests with distinct targets, mutated or not, in pieces."""
    sent, is_whole = b"", True
    for number in range(draw(st.integers(1, 4))):
        lines, body = draw(_bodies())
        if draw(st.integers(0, 3)) == 0:
            is_whole = False
            lines.insert(draw(st.integers(0, len(lines))), draw(st.sampled_from(_MUTATED_LINES)))
        start = f"POST /records/{TOKEN.decode()}/{number} HTTP/1.1"
        sent += head(*lines, start=start, attempt=f"a{number}") + body
    if draw(st.integers(0, 2)) == 0:
        is_whole = False
        sent = draw(_mutated(sent))
    cuts = sorted(draw(st.lists(st.integers(0, len(sent)), max_size=3)))
    bounds = [0, *cuts, len(sent)]
    pieces = [sent[one:other] for one, other in itertools.pairwise(bounds)]
    return Stream(tuple(piece for piece in pieces if piece), is_whole)


def _mutated(sent: bytes) -> SearchStrategy[bytes]:
    """Return a strategy for bytes with one part replaced, removed, repeated or inserted."""

    def mutate(at: int, length: int, snippet: bytes, kind: str) -> bytes:
        part = sent[at : at + length]
        parts = {"replace": snippet, "remove": b"", "repeat": part + part, "insert": snippet + part}
        return sent[:at] + parts[kind] + sent[at + length :]

    return st.builds(
        mutate,
        st.integers(0, len(sent) - 1),
        st.integers(1, 40),
        st.sampled_from(_SNIPPETS),
        st.sampled_from(["replace", "remove", "repeat", "insert"]),
    )
