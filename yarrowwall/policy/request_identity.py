"""Identity of a request over all tries of its caller. No I/O."""

import hashlib

from yarrowwall.model import Attempt

#: Length of an identity in bytes; callers must not be able to find two requests with the same one.
IDENTITY_BYTES = 16


def request_identity(attempt: Attempt) -> str:
    """Return a digest of what all tries of one request have in common.

    A retry has a new attempt id and less time left, and may resume a stream. It has the same
    target and body, and belongs to the same program and session and continues the same turn.
    Requests of programs differ by their program; others are the same request if they are equal.
    """
    program = attempt.program
    parts = [
        attempt.tenant,
        attempt.method,
        attempt.host,
        attempt.target,
        program.program_id if program is not None else "",
        program.session_id if program is not None else "",
        (program.previous_turn or "") if program is not None else "",
        attempt.affinity or "",
    ]
    hasher = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for encoded in (*(part.encode(errors="surrogatepass") for part in parts), attempt.body):
        hasher.update(len(encoded).to_bytes(8, "big"))
        hasher.update(encoded)
    return hasher.hexdigest()
