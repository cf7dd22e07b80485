"""Rendezvous hashing and digests with the same results in every process."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

#: Steps of a fraction derived from a digest. As a fraction of a second, a step is about 1 ms.
_FRACTION_STEPS = 1024


def score(key: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending rendezvous score, ties by name."""
    return sorted(candidates, key=lambda candidate: (-score(key, candidate), candidate))


def first(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score; None without candidates."""
    return min(candidates, key=lambda name: (-score(key, name), name), default=None)


def digest(*parts: str) -> str:
    """Return a 128-bit digest of strings in hexadecimal."""
    hasher = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        hasher.update(len(encoded).to_bytes(8, "big"))
        hasher.update(encoded)
    return hasher.hexdigest()


def fraction(*parts: str) -> float:
    """Return a number in [0, 1) determined by the parts, as jitter without a random source."""
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode()) / 2.0**64


def digest_int63(*parts: str) -> int:
    """Return a 63-bit digest of strings, which fits an integer field of a message."""
    return int(digest(*parts)[:16], 16) >> 1


def fraction_of_digest(number: int) -> float:
    """Return a number in [0, 1) determined by the low bits of a digest, as jitter."""
    return number % _FRACTION_STEPS / _FRACTION_STEPS


@dataclass(frozen=True)
class PrefixBlock:
    """One block of a prompt, identified by a hash of the prompt up to its end.

    :param key: equal keys mean equal prompts up to and including this block.
    :param tokens: tokens of this block alone.
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
