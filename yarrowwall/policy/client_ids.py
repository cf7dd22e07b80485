"""Ids that clients choose, as they are kept. No I/O.

An id may be as long as a head, and it becomes a part of records on three machines, of caches and of
log lines. One that is longer than any usual one is known by a digest instead.
"""

import hashlib

#: Longest id, in characters, that is kept as it is.
MAX_ID_LENGTH = 128
_DIGEST_BYTES = 32
#: Begins the digests of long ids. A short id that begins so has a digest too, so no two ids that
#: clients choose are kept as one.
_DIGEST_PREFIX = "id-digest-"


def kept_id(chosen: str) -> str:
    """Return what an id is known by, which is the id itself unless it is long."""
    if len(chosen) <= MAX_ID_LENGTH and not chosen.startswith(_DIGEST_PREFIX):
        return chosen
    digest = hashlib.blake2b(chosen.encode("latin-1", "replace"), digest_size=_DIGEST_BYTES)
    return _DIGEST_PREFIX + digest.hexdigest()
