"""Requests as bytes, with what a gateway may answer and what its servers may get.

Each case is one connection. Statuses are those of its answers in order; a case that is refused is
followed by the end of the connection. What ran is given by method, target and body.
"""

from collections.abc import Iterator
from typing import NamedTuple

from features.support.platform_world import HOST

#: Limits of the gateway that plays the cases.
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536
INNER = b"POST /records/inner HTTP/1.1\r\nHost: %b\r\nX-Attempt-Id: inner\r\n\r\n" % HOST.encode()


class Ran(NamedTuple):
    """A request that a server gets."""

    method: str
    target: str
    body: bytes


class Case(NamedTuple):
    """One connection.

    :param pieces: what is sent, with a pause between the pieces.
    :param closes: whether the gateway ends the connection after the answers.
    """

    name: str
    pieces: tuple[bytes, ...]
    statuses: tuple[int, ...]
    ran: tuple[Ran, ...] = ()
    closes: bool = False


def head(
    *lines: str | bytes,
    start: str | bytes = "POST /records/x HTTP/1.1",
    host: bool = True,
    attempt: str = "attempt",
) -> bytes:
    """Return a head with the given lines after the ones that every request has."""
    found: list[str | bytes] = [start]
    if host:
        found.append(f"Host: {HOST}")
    found += [f"X-Attempt-Id: {attempt}", *lines]
    encoded = [line if isinstance(line, bytes) else line.encode("latin-1") for line in found]
    return b"\r\n".join(encoded) + b"\r\n\r\n"


def ran(body: bytes = b"", target: str = "/records/x", method: str = "POST") -> tuple[Ran, ...]:
    """Return one request that a server gets."""
    return (Ran(method, target, body),)


def served(name: str, sent: bytes, body: bytes = b"") -> Case:
    """Return a case of one request that is served and whose connection is kept."""
    return Case(name, (sent,), (200,), ran(body))


def refused(name: str, sent: bytes, status: int = 400) -> Case:
    """Return a case that is refused, and of which nothing runs."""
    return Case(name, (sent,), (status,), (), closes=True)


#: Values of one Content-Length before a body of three bytes and an inner request.
REFUSED_LENGTHS = (
    "+3", "-3", "3,3", "3, 3", "3,4", "0x3", "3.0", "3e0", "03x", "3 3", "3;", "a", "", "٣",
    "18446744073709551616", "99999999999999999999999", "3\t3", '"3"', "3\x0b", "3\x0c", "_3", "1_0",
)  # fmt: skip
TAKEN_LENGTHS = ("3", "03", "0000000003", " 3", "3 ", "\t3\t")
#: Values of one Transfer-Encoding before a chunked body.
UNKNOWN_CODINGS = (
    "identity", "gzip", "gzip, chunked", "identity, chunked", "xchunked", "chunkedx", "x chunked",
    "chunked;q=1", "deflate, chunked", "compress", "chunke", '"chunked"', "cow", ",chunked",
    "br, chunked",
)  # fmt: skip
#: Others whose last coding is not ``chunked``, or which name it twice.
REFUSED_CODINGS = (
    "chunked, gzip", "chunked, identity", "chunked, chunked", "chunked,", "chunked\x0b",
    "\tchunked\t", "chunked,,", "chunked, ,chunked",
)  # fmt: skip
CHUNKED_SPELLINGS = ("chunked", "Chunked", "CHUNKED", " chunked", "chunked ", "\tchunked")
#: Chunked bodies that are valid, and what they hold.
CHUNKED_BODIES: tuple[tuple[bytes, bytes], ...] = (
    (b"0\r\n\r\n", b""),
    (b"3\r\nabc\r\n0\r\n\r\n", b"abc"),
    (b"03\r\nabc\r\n0\r\n\r\n", b"abc"),
    (b"003\r\nabc\r\n000\r\n\r\n", b"abc"),
    (b"a\r\n0123456789\r\n0\r\n\r\n", b"0123456789"),
    (b"A\r\n0123456789\r\n0\r\n\r\n", b"0123456789"),
    (b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", b"abc"),
    (b"3;a=b\r\nabc\r\n0\r\n\r\n", b"abc"),
    (b'3;a="b"\r\nabc\r\n0;c\r\n\r\n', b"abc"),
    (b"3\r\nabc\r\n0\r\nTrailer-Field: x\r\n\r\n", b"abc"),
    (b"3\r\nabc\r\n0\r\nX-Attempt-Id: other\r\nHost: other\r\n\r\n", b"abc"),
    (b"4\r\n\r\n\r\n\r\n0\r\n\r\n", b"\r\n\r\n"),
    (b"5\r\n0\r\n\r\n\r\n0\r\n\r\n", b"0\r\n\r\n"),
    (b"%x\r\n%b\r\n0\r\n\r\n" % (len(INNER), INNER), INNER),
)
REFUSED_CHUNKS = (
    b"+3\r\nabc\r\n0\r\n\r\n",
    b"-3\r\nabc\r\n0\r\n\r\n",
    b"0x3\r\nabc\r\n0\r\n\r\n",
    b" 3\r\nabc\r\n0\r\n\r\n",
    b"3 \r\nabc\r\n0\r\n\r\n",
    b"3\nabc\n0\n\n",
    b"3\r\nabc\n0\r\n\r\n",
    b"3\rabc\r0\r\r",
    b"3\r\nab\r\n0\r\n\r\n",
    b"2\r\nabc\r\n0\r\n\r\n",
    b"3\r\nabc0\r\n\r\n",
    b"g\r\nabc\r\n0\r\n\r\n",
    b"\r\nabc\r\n0\r\n\r\n",
    b";a=b\r\nabc\r\n0\r\n\r\n",
    b"3_0\r\nabc\r\n0\r\n\r\n",
    b"3.\r\nabc\r\n0\r\n\r\n",
    b"3,\r\nabc\r\n0\r\n\r\n",
    b"ffffffffffffffffff\r\nabc\r\n0\r\n\r\n",
    b"10000000000000000\r\nabc\r\n0\r\n\r\n",
    b"3;a\nabc\r\n0\r\n\r\n",
    b"3;a\x00\r\nabc\r\n0\r\n\r\n",
    b"3\r\nabc\r\n0\r\nContent-Length: 9\r\n\r\n",
    b"3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"3\r\nabc\r\n0\r\nTrailer Field: x\r\n\r\n",
    b"3\r\nabc\r\n0\r\n: x\r\n\r\n",
    b"3\r\nabc\r\n0\r\nA: b\r\n c\r\n\r\n",
    b"3\r\nabc\r\n0\r\nA: b\x00\r\n\r\n",
    b"3\r\nabc\r\n0\r\nA: b\n\r\n",
)
#: Header lines that end a request.
REFUSED_LINES: tuple[str | bytes, ...] = (
    "Content-Length : 3", "Content-Length\t: 3", " Content-Length: 3", "\tContent-Length: 3",
    "Content-Length", "Content-Length 3", ": 3", " : 3", "A B: c", "A\tB: c", "A: b\r\n c",
    "A: b\r\n\tc",
    "A: b\nC: d", "A: b\rC: d", "A: \x00", "A: b\x00c", "A: \x01", "A: \x07", "A: \x0b", "A: \x1f",
    "A: \x7f", "A\x00: b", "A\x01: b", "A\x7f: b", "(A): b", "A,B: c", "A;B: c", "A/B: c", "A?B: c",
    "A@B: c", "A[B]: c", "A{B}: c", 'A"B: c', "A\\B: c", "A=B: c", "<A>: b", "ä: b",
    b"\xc3\xa4: b", b"\xff: b", "A: b\r", "A: b\r\r", "\rA: b", "\nA: b", "A:\r\n b: c",
)  # fmt: skip
TAKEN_LINES: tuple[str | bytes, ...] = (
    "A: b", "A:b", "A:", "A: ", "A:\tb\t", "A: b c", "A: b:c", "a!#$%&'*+-.^_`|~9: b", "A: \xe4",
    b"A: \xc3\xa4", "A: b\tc", "A: GET / HTTP/1.1", "A: b;c=d", "A: \"b\"", "A: b, c",
)  # fmt: skip
REFUSED_STARTS: tuple[tuple[str | bytes, int], ...] = (
    ("POST /records/x HTTP/1.1 ", 400),
    ("POST /records/x\tHTTP/1.1", 400), ("POST\t/records/x HTTP/1.1", 501),
    ("POST /records/x HTTP/1.2", 400), ("POST /records/x HTTP/1.10", 400),
    ("POST /records/x HTTP/2.0", 505), ("POST /records/x HTTP/3.0", 400),
    ("POST /records/x HTTP/0.9", 505), ("POST /records/x HTTP/01.1", 400),
    ("POST /records/x http/1.1", 400), ("POST /records/x HTTP/1", 400),
    ("POST /records/x HTTP/1.", 400), ("POST /records/x HTTP/.1", 400),
    ("POST /records/x HTTP /1.1", 400), ("POST /records/x HTTPS/1.1", 400),
    ("POST /records/x XHTTP/1.1", 400), ("POST /records/ x HTTP/1.1", 400),
    ("POST /records/x HTTP/1.1\rA: b", 400), ("POST /records/x HTTP/1.1\nA: b", 400),
    ("POST HTTP/1.1", 400), ("POST  HTTP/1.1", 400), ("POST", 501),
    (" POST /records/x HTTP/1.1", 501),
    ("post /records/x HTTP/1.1", 501), ("FOO /records/x HTTP/1.1", 501),
    ("P(ST /records/x HTTP/1.1", 501), ("POST\x00 /records/x HTTP/1.1", 501),
    ("POST /records/\x00 HTTP/1.1", 400), ("POST /records/\x01 HTTP/1.1", 400),
    ("POST /records/\x7f HTTP/1.1", 400), ("POST /records/\xe4 HTTP/1.1", 400),
    (b"POST /records/\xc3\xa4 HTTP/1.1", 400), ("POST records/x HTTP/1.1", 400),
    ("POST * HTTP/1.1", 400), ("POST ftp://h/records/x HTTP/1.1", 400), ("POST ?a HTTP/1.1", 400),
    ("CONNECT h:80 HTTP/1.1", 501), ("PRI * HTTP/2.0", 400), ("\x16\x03\x01\x02", 501),
)  # fmt: skip
#: Targets with the path by which their route is chosen.
TAKEN_TARGETS = (
    "/records/", "/records/a/b", "/records//", "/records//x", "/records/./x", "/records/../x",
    "/records/%2F", "/records/%2f..%2f", "/records/%2e%2e/x", "/records/%00", "/records/%zz",
    "/records/x?", "/records/x?a=b&c=d", "/records/x??", "/records/x?/../y", "/records/x;a=b",
    "/records/x:y", "/records/@x", "/records/x+y", "/records/x%20y", "/records/~x", "/records/x'",
    "/records/x,y", "/records/(x)", "/records/x!", "/records/x$", "/records/[x]", "/records/{x}",
    "/records/x|y", "/records/x\\y", "/records/x^y", "/records/x`y", '/records/x"y', "/records/<x>",
    f"http://{HOST}/records/x", f"HTTP://{HOST}/records/x", f"https://{HOST}/records/x?a=b",
    f"http://{HOST}:80/records/x",
)  # fmt: skip
UNROUTED_TARGETS = (
    "//records/x", "/./records/x", "/x/../records/x", "/%72ecords/x", "/records", "/RECORDS/x",
    "/", "//", "/..", f"http://{HOST}//records/x", "http://other/records/x", f"http://{HOST}",
    f"http://{HOST}?/records/x",
)  # fmt: skip


def cases() -> Iterator[Case]:
    """Yield all cases."""
    yield from _lengths()
    yield from _codings()
    yield from _chunks()
    yield from _lines()
    yield from _starts()
    yield from _hosts()
    yield from _series()
    yield from _expectations()
    yield from _sizes()
    yield from _pieces()


def _lengths() -> Iterator[Case]:
    for value in REFUSED_LENGTHS:
        line = f"Content-Length: {value}".encode()
        yield refused(f"length {value!r}", head(line) + b"abc" + INNER)
    for value in TAKEN_LENGTHS:
        yield served(f"length {value!r}", head(f"Content-Length: {value}") + b"abc", b"abc")
    pairs = (("3", "3"), ("0", "3"), ("3", "0"), ("3", "4"), ("3", ""), ("0", f"{len(INNER)}"))
    for one, other in pairs:
        lines = (f"Content-Length: {one}", f"Content-Length: {other}")
        yield refused(f"lengths {one!r} and {other!r}", head(*lines) + b"abc" + INNER)
        yield refused(
            f"lengths {one!r}, a line, {other!r}", head(lines[0], "A: b", lines[1]) + INNER
        )
        yield refused(f"lengths {one!r}, lower {other!r}", head(lines[0], lines[1].lower()) + INNER)
    yield served(
        "a body that looks like a request", head(f"Content-Length: {len(INNER)}") + INNER, INNER
    )
    yield served("no length", head())
    yield served("length 0", head("Content-Length: 0"))


def _codings() -> Iterator[Case]:
    body = b"3\r\nabc\r\n0\r\n\r\n"
    for value in UNKNOWN_CODINGS:
        yield refused(f"coding {value!r}", head(f"Transfer-Encoding: {value}") + body + INNER, 501)
        line = f"Content-Length: {len(body)}"
        both = head(f"Transfer-Encoding: {value}", line) + body + INNER
        yield refused(f"coding {value!r} and length", both, 400)
    for value in REFUSED_CODINGS:
        yield refused(f"coding {value!r}", head(f"Transfer-Encoding: {value}") + body + INNER)
    for value in CHUNKED_SPELLINGS:
        yield served(f"coding {value!r}", head(f"Transfer-Encoding: {value}") + body, b"abc")
        for lines in ((f"Transfer-Encoding: {value}", "Content-Length: 3"),
                      ("Content-Length: 3", f"Transfer-Encoding: {value}"),
                      ("Content-Length: 0", f"Transfer-Encoding: {value}")):  # fmt: skip
            yield refused(f"{lines}", head(*lines) + body + INNER)
    chunked = "Transfer-Encoding: chunked"
    for other, status in (("chunked", 400), ("identity", 501), ("gzip", 501), ("", 400)):
        line = f"Transfer-Encoding: {other}"
        yield refused(f"chunked and {other!r}", head(chunked, line) + body + INNER)
        yield refused(f"{other!r} and chunked", head(line, chunked) + body + INNER, status)
    yield refused("an empty coding", head("Transfer-Encoding: ") + body + INNER)
    yield refused("a space after the name", head("Transfer-Encoding : chunked") + body + INNER)
    yield refused("a folded coding", head("Transfer-Encoding:\r\n chunked") + body + INNER)
    start = "POST /records/x HTTP/1.0"
    yield refused("chunked in HTTP/1.0", head(chunked, start=start) + body + INNER)


def _chunks() -> Iterator[Case]:
    start = head("Transfer-Encoding: chunked")
    for sent, body in CHUNKED_BODIES:
        yield served(f"chunks {sent[:40]!r}", start + sent, body)
        both = ran(body) + ran(target="/records/inner")
        yield Case(
            f"chunks {sent[:40]!r}, then a request", (start + sent + INNER,), (200, 200), both
        )
    for sent in REFUSED_CHUNKS:
        yield refused(f"chunks {sent[:40]!r}", start + sent + INNER)


def _lines() -> Iterator[Case]:
    for line in REFUSED_LINES:
        yield refused(f"line {line!r}", head(line) + INNER)
        yield refused(f"line {line!r} before others", head(line, "Content-Length: 0") + INNER)
    for line in TAKEN_LINES:
        yield served(f"line {line!r}", head(line, "Content-Length: 3") + b"abc", b"abc")
    many = [f"A{number}: b" for number in range(400)]
    yield served("400 header fields", head(*many))
    yield served("a line of 9,000 bytes", head("A: " + "b" * 9000))


def _starts() -> Iterator[Case]:
    for start, status in REFUSED_STARTS:
        yield refused(f"start {start!r}", head(start=start) + INNER, status)
    for target in TAKEN_TARGETS:
        sent = head(start=f"POST {target} HTTP/1.1")
        yield Case(f"target {target}", (sent,), (200,), ran(target=target))
    for target in UNROUTED_TARGETS:
        yield Case(f"target {target}", (head(start=f"POST {target} HTTP/1.1"),), (404,))
    for method in ("GET", "PUT", "DELETE", "PATCH", "OPTIONS", "PROPFIND"):
        sent = head(start=f"{method} /records/x HTTP/1.1")
        yield Case(f"method {method}", (sent,), (200,), ran(method=method))
    two_spaces = head(start="POST /records/x  HTTP/1.1")
    yield Case("two spaces before the version", (two_spaces,), (200,), ran())
    yield Case("empty lines before", (b"\r\n\r\n" + head(),), (200,), ran())
    yield Case("OPTIONS *", (head(start="OPTIONS * HTTP/1.1"),), (404,))


def _hosts() -> Iterator[Case]:
    yield refused("no Host", head(host=False) + INNER)
    yield refused("two Hosts", head(f"Host: {HOST}") + INNER)
    yield refused("two different Hosts", head("Host: other") + INNER)
    yield Case("another Host", (head("Host: other", host=False),), (404,))
    yield Case("an empty Host", (head("Host:", host=False),), (404,))
    yield served("a Host with a port", head(f"Host: {HOST}:8080", host=False))
    yield served("a Host in capitals", head(f"Host: {HOST.upper()}", host=False))
    start = "POST /records/x HTTP/1.0"
    yield Case("HTTP/1.0", (head(start=start),), (200,), ran(), closes=True)
    kept = head("Connection: keep-alive", start=start)
    yield Case("HTTP/1.0 kept", (kept,), (200,), ran())
    yield Case("HTTP/1.0 without Host", (head(start=start, host=False),), (404,), closes=True)


def _series() -> Iterator[Case]:
    one = head("Content-Length: 3", attempt="one") + b"abc"
    two = head("Transfer-Encoding: chunked", attempt="two") + b"2\r\nde\r\n0\r\n\r\n"
    three = head(attempt="three", start="GET /records/y HTTP/1.1")
    all_ran = ran(b"abc") + ran(b"de") + ran(method="GET", target="/records/y")
    yield Case("three in a row", (one + two + three,), (200, 200, 200), all_ran)
    yield Case("three one by one", (one, two, three), (200, 200, 200), all_ran)
    yield Case(
        "an empty line between", (one + b"\r\n" + three,), (200, 200), all_ran[:1] + all_ran[2:]
    )
    for bad, status in (
        (head("A B: c"), 400),
        (head("Transfer-Encoding: gzip"), 501),
        (b"\x00", 501),
    ):
        sent = one + bad + three
        yield Case(f"{bad[-20:]!r} after one", (sent,), (200, status), ran(b"abc"), closes=True)
    closing = head("Connection: close", attempt="closing")
    for value in ("close", "Close", "keep-alive, close", "close, A"):
        sent = head(f"Connection: {value}")
        yield Case(f"Connection: {value}", (sent,), (200,), ran(), closes=True)
        yield Case(
            f"Connection: {value}, then a request", (sent + three,), (200,), ran(), closes=True
        )
    yield Case(
        "a request, then one that closes",
        (one + closing,),
        (200, 200),
        ran(b"abc") + ran(),
        closes=True,
    )
    upgrade = ("Connection: upgrade", "Upgrade: h2c")
    both = ran() + ran(target="/records/inner")
    yield Case("an upgrade", (head(*upgrade) + INNER,), (200, 200), both)
    yield refused(
        "an upgrade with a body", head(*upgrade, "Content-Length: 3") + b"abc" + INNER, 501
    )
    chunked = head(*upgrade, "Transfer-Encoding: chunked") + b"0\r\n\r\n"
    yield refused("an upgrade with chunks", chunked + INNER, 501)
    missing = (
        b"POST /records/x HTTP/1.1\r\nHost: %b\r\nContent-Length: 3\r\n\r\nabc" % HOST.encode()
    )
    yield refused("no attempt id", missing + INNER)
    unrouted = head("Content-Length: 3", start="POST /none HTTP/1.1") + b"abc"
    yield Case("an unrouted body, then a request", (unrouted + three,), (404, 200), all_ran[2:])


def _expectations() -> Iterator[Case]:
    expect = head("Expect: 100-continue", "Content-Length: 3")
    yield Case("100-continue", (expect, b"abc"), (100, 200), ran(b"abc"))
    yield Case("100-continue at once", (expect + b"abc",), (200,), ran(b"abc"))
    chunked = head("Expect: 100-Continue", "Transfer-Encoding: chunked")
    yield Case("100-continue, chunked", (chunked, b"1\r\na\r\n0\r\n\r\n"), (100, 200), ran(b"a"))
    yield Case("100-continue without a body", (head("Expect: 100-continue"),), (200,), ran())
    old = head("Expect: 100-continue", "Content-Length: 3", start="POST /records/x HTTP/1.0")
    yield Case("100-continue in HTTP/1.0", (old, b"abc"), (200,), ran(b"abc"), closes=True)
    unrouted = head("Expect: 100-continue", "Content-Length: 3", start="POST /none HTTP/1.1")
    yield Case("100-continue, unrouted", (unrouted,), (404,), closes=True)
    large = head("Expect: 100-continue", f"Content-Length: {MAX_BODY_BYTES + 1}")
    yield Case("100-continue, too large", (large,), (413,), closes=True)


def _sizes() -> Iterator[Case]:
    yield refused("a head that is too long", head("A: " + "b" * MAX_HEAD_BYTES), 431)
    yield refused("a name that is too long", head("A" * MAX_HEAD_BYTES + ": b"), 431)
    yield refused(
        "a target that is too long", head(start=f"GET /{'a' * MAX_HEAD_BYTES} HTTP/1.1"), 431
    )
    yield refused(
        "a head without an end", b"POST /records/x HTTP/1.1\r\n" + b"A: b\r\n" * 6000, 431
    )
    many = [f"A{number}: b" for number in range(4000)]
    yield refused("too many header fields", head(*many), 431)
    largest = b"a" * MAX_BODY_BYTES
    yield served("the largest body", head(f"Content-Length: {MAX_BODY_BYTES}") + largest, largest)
    over = head(f"Content-Length: {MAX_BODY_BYTES + 1}")
    yield refused("a body that is too long", over + largest + b"a", 413)
    start, end = head("Transfer-Encoding: chunked"), b"\r\n0\r\n\r\n"
    chunk = b"%x\r\n%b" % (MAX_BODY_BYTES, largest)
    yield served("the largest chunk", start + chunk + end, largest)
    over = b"%x\r\n%ba" % (MAX_BODY_BYTES + 1, largest)
    yield refused("a chunk that is too long", start + over + end, 413)


def _pieces() -> Iterator[Case]:
    sent = head("Content-Length: 3") + b"abc" + INNER
    both = ran(b"abc") + ran(target="/records/inner")
    for size in (1, 7, 50):
        pieces = tuple(sent[at : at + size] for at in range(0, len(sent), size))
        yield Case(f"pieces of {size}", pieces, (200, 200), both)
    sent = head("Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\nT: v\r\n\r\n" + INNER
    for at in range(len(sent) - len(INNER) - 24, len(sent) - len(INNER) + 3):
        yield Case(f"chunks in two pieces, {at}", (sent[:at], sent[at:]), (200, 200), both)
