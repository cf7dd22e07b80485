"""What requests and answers have in common in how their bodies end."""

from collections.abc import Iterable

from yarrowwall.model import Header

#: HTTP versions that are read.
HTTP_VERSIONS = ("1.0", "1.1")
#: Bytes of framing that a message may have for each byte of its body, beyond those of its heads: a
#: chunk of one byte has five.
FRAMING_BYTES_PER_BODY_BYTE = 8


def header_values(headers: Iterable[Header], wanted: str) -> list[str]:
    """Return the values of all headers with a name, given in lower case."""
    return [value for name, value in headers if name.lower() == wanted]


def transfer_codings(headers: Iterable[Header]) -> list[str]:
    """Return the values of all ``Transfer-Encoding`` headers."""
    return header_values(headers, "transfer-encoding")


def is_plain_chunked(codings: Iterable[str]) -> bool:
    """Return whether these values name ``chunked`` once and nothing else."""
    return [coding.strip().lower() for coding in codings] == ["chunked"]
