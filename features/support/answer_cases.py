"""Answers of servers as bytes, with what their caller gets."""

from typing import NamedTuple

from features.support.raw_exchange import OWN_LINES

_OK = b"HTTP/1.1 200 OK\r\n" + OWN_LINES
_WHOLE = _OK + b"Content-Length: 3\r\n\r\nabc"


class AnswerCase(NamedTuple):
    """One answer.

    :param status: status that the caller gets.
    :param body: body that it gets; None for any.
    :param ends: whether the server ends the connection after it.
    """

    name: str
    sent: bytes
    status: int
    body: bytes | None = None
    ends: bool = True


def whole(name: str, sent: bytes, body: bytes = b"abc", status: int = 200) -> AnswerCase:
    """Return an answer that is relayed whole."""
    return AnswerCase(name, sent, status, body, ends="the end of the connection" in name)


def refused(name: str, sent: bytes) -> AnswerCase:
    """Return an answer that is not relayed."""
    return AnswerCase(name, sent, 502)


def _framed(*lines: bytes, body: bytes = b"abc", start: bytes = b"HTTP/1.1 200 OK\r\n") -> bytes:
    return start + OWN_LINES + b"".join(line + b"\r\n" for line in lines) + b"\r\n" + body


_204 = b"HTTP/1.1 204 N\r\n"
_304 = b"HTTP/1.1 304 N\r\n"
_101 = b"HTTP/1.1 101 S\r\n"
_CHUNKS = b"3\r\nabc\r\n0\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked"
_OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

#: Bytes of the head of a whole answer, before the headers of its request are put in.
_WHOLE_HEAD = _WHOLE.index(b"abc")
_BROKEN_LINES = (
    *(
        b"X-A%bB: c" % byte
        for byte in (b" ", b"\t", b"\x00", b"\x01", b"\x1f", b"\x7f", b"\x80", b"\xff")
    ),
    *(
        b"X-A%bB: c" % byte
        for byte in (b"(", b")", b"<", b">", b",", b";", b"\\", b'"', b"/", b"[", b"{")
    ),
    b"X-A : c",
    b"X-A\t: c",
    b" X-A: c",
    b": c",
    b"X-A",
    b"X-A: b\x00c",
    b"X-A: b\x01c",
    b"X-A: b\rc",
    b"X-A: b\x7fc",
)

ANSWER_CASES = (
    whole("a length", _WHOLE),
    whole("chunks", _framed(_CHUNKED, body=_CHUNKS)),
    whole("the end of the connection", _framed()),
    whole("HTTP/1.0 to the end of the connection", _framed(start=b"HTTP/1.0 200 OK\r\n")),
    whole("100 first", b"HTTP/1.1 100 Continue\r\n\r\n" + _WHOLE),
    whole("100 and 103 first", b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: a\r\n\r\n" + _WHOLE),
    whole("ten of 102 first", b"HTTP/1.1 102 Processing\r\n\r\n" * 10 + _WHOLE),
    whole("bytes after it", _WHOLE + b"more"),
    whole("another answer after it", _WHOLE + _OTHER),
    whole("204 with a length", _framed(b"Content-Length: 3", start=_204), b"", 204),
    whole("204 and an answer", _framed(start=_204, body=_OTHER), b"", 204),
    whole("304 with a length", _framed(b"Content-Length: 3", start=_304), b"", 304),
    whole("304 with chunks", _framed(_CHUNKED, start=_304, body=_CHUNKS), b"", 304),
    whole("trailers", _framed(_CHUNKED, body=b"3\r\nabc\r\n0\r\nA: b\r\n\r\n")),
    refused("two lengths", _framed(b"Content-Length: 3", b"Content-Length: 4")),
    refused("two equal lengths", _framed(b"Content-Length: 3", b"Content-Length: 3")),
    refused("a list of lengths", _framed(b"Content-Length: 3, 3")),
    refused("a signed length", _framed(b"Content-Length: +3")),
    refused("a space before the colon", _framed(b"Content-Length : 3")),
    refused("a length and chunks", _framed(b"Content-Length: 3", _CHUNKED, body=_CHUNKS)),
    refused("chunks and a length", _framed(_CHUNKED, b"Content-Length: 3", body=_CHUNKS)),
    refused("gzip", _framed(b"Transfer-Encoding: gzip")),
    refused("gzip, chunked", _framed(b"Transfer-Encoding: gzip, chunked", body=_CHUNKS)),
    refused("identity", _framed(b"Transfer-Encoding: identity")),
    refused("chunked twice", _framed(_CHUNKED, _CHUNKED, body=_CHUNKS)),
    refused("chunked, gzip", _framed(b"Transfer-Encoding: chunked, gzip", body=_CHUNKS)),
    refused("a signed chunk", _framed(_CHUNKED, body=b"+3\r\nabc\r\n0\r\n\r\n")),
    refused("a chunk that is too short", _framed(_CHUNKED, body=b"4\r\nabc\r\n0\r\n\r\n")),
    refused("a chunk that is too long", _framed(_CHUNKED, body=b"2\r\nabc\r\n0\r\n\r\n")),
    refused("chunks without an end", _framed(_CHUNKED, body=b"3\r\nabc\r\n")),
    refused("a body that is too short", _framed(b"Content-Length: 4")),
    refused("a folded line", _framed(b"A: b\r\n c", b"Content-Length: 3")),
    refused("a NUL in a value", _framed(b"A: \x00", b"Content-Length: 3")),
    refused("bare line feeds", _WHOLE.replace(b"\r\n", b"\n")),
    refused("another version", _framed(b"Content-Length: 3", start=b"HTTP/2.0 200 OK\r\n")),
    refused("a status of two digits", _framed(b"Content-Length: 3", start=b"HTTP/1.1 99 OK\r\n")),
    refused("a status below 100", _framed(b"Content-Length: 3", start=b"HTTP/1.1 099 OK\r\n")),
    refused(
        "another protocol",
        _framed(b"Connection: upgrade", b"Upgrade: a", start=_101),
    ),
    *(
        refused(
            f"status {status}", _framed(b"Content-Length: 3", start=b"HTTP/1.1 %b X\r\n" % status)
        )
        for status in (
            b"000",
            b"0",
            b"20",
            b"600",
            b"999",
            b"1000",
            b"-200",
            b"+200",
            b"0200",
            b"OK",
        )
    ),
    refused("RTSP", _framed(b"Content-Length: 3", start=b"RTSP/1.0 200 OK\r\n")),
    refused("ICE", _framed(b"Content-Length: 3", start=b"ICE/1.0 200 OK\r\n")),
    refused(
        "RTSP after 103",
        b"HTTP/1.1 103 E\r\n\r\n" + _framed(b"Content-Length: 3", start=b"RTSP/1.0 200 OK\r\n"),
    ),
    refused(
        "RTSP after an answer to another request",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nother"
        + _framed(b"Content-Length: 3", start=b"RTSP/1.0 200 OK\r\n"),
    ),
    refused(
        "RTSP after chunks of an answer to another request",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
        + _CHUNKS
        + _framed(b"Content-Length: 3", start=b"RTSP/1.0 200 OK\r\n"),
    ),
    whole(
        "an answer to another request first",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nother" + _WHOLE,
    ),
    whole(
        "chunks of an answer to another request first",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"6\r\nRTSP/\n\r\n0\r\nA: b\r\n\r\n"
        + _WHOLE,
    ),
    whole("empty lines first", b"\r\n\r\n" + _WHOLE),
    *(
        refused(
            f"Content-Encoding: {coding}",
            _framed(b"Content-Encoding: " + coding.encode(), b"Content-Length: 3"),
        )
        for coding in ("gzip", "identity", "br, gzip")
    ),
    refused(
        "Content-Encoding of chunks", _framed(b"content-encoding: gzip", _CHUNKED, body=_CHUNKS)
    ),
    *(
        refused(f"a header line {line!r}, {place}", _framed(*lines))
        for line in _BROKEN_LINES
        for place, lines in (
            ("first", (line, b"Content-Length: 3")),
            ("last", (b"Content-Length: 3", line)),
        )
    ),
    *(
        refused(f"a head cut after {size} bytes", _WHOLE[:size])
        for size in range(1, _WHOLE_HEAD, 3)
    ),
    refused("no HTTP", b"abc\r\n\r\n"),
    refused("nothing", b""),
    refused("half a head", _OK[:20]),
    refused("100 alone", b"HTTP/1.1 100 Continue\r\n\r\n"),
    refused("a head that is too long", _framed(*[b"A: " + b"b" * 1000] * 80, b"Content-Length: 3")),
    refused("no end of informational answers", b"HTTP/1.1 102 Processing\r\n\r\n" * 4000 + _WHOLE),
)
