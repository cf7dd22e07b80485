"""Hashing that is the same in every process: rendezvous hashing and digests."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

#: Steps of a fraction that is told by a number; of a second, each is a millisecond.
_FRACTION_STEPS = 1024


def score(key: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by falling rendezvous score, ties by name."""
    return sorted(candidates, key=lambda candidate: (-score(key, candidate), candidate))


def first(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score; None without candidates."""
    return min(candidates, key=lambda name: (-score(key, name), name), default=None)


def digest(*parts: str) -> str:
    """Return a 128-bit digest of texts as hexadecimal."""
    hasher = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        hasher.update(len(encoded).to_bytes(8, "big"))
        hasher.update(encoded)
    return hasher.hexdigest()


def fraction(*parts: str) -> float:
    """Return a number in [0, 1) fixed by the parts; spreads timers without a random source."""
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode()) / 2.0**64


def digest_int63(*parts: str) -> int:
    """Return a number of 63 bits fixed by the parts, which fits a field of a message."""
    return int(digest(*parts)[:16], 16) >> 1


def fraction_of_digest(number: int) -> float:
    """Return a number in [0, 1) fixed by the low bits of a digest; spreads what it names."""
    return number % _FRACTION_STEPS / _FRACTION_STEPS


@dataclass(frozen=True)
class PrefixBlock:
    """One block of a prompt, named by a hash of everything up to its end.

    :param key: equal keys mean equal prompts up to and including this block.
    :param tokens: tokens in this block alone.
    """

    key: str
    tokens: int


def chain(contents: Sequence[tuple[str, int]], key: str = "") -> tuple[PrefixBlock, ...]:
    """Return the blocks of a prompt.

    :param contents: digest and tokens of each message, first to last.
    :param key: key of the block before the first one.
    """
    blocks = []
    for content, tokens in contents:
        key = xxhash.xxh3_64_hexdigest(f"{key}\x00{content}".encode())
        blocks.append(PrefixBlock(key, tokens))
    return tuple(blocks)
