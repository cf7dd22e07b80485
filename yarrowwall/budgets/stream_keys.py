"""Keys of records that tell which software began a stream. No I/O.

The key of a turn's claim on its program's budget ends with the software that is expected to run
the turn, so any gateway that reads the program's claims knows it. Before other software runs the
turn, a further record is written; of several, the one with the highest number holds.
"""

from collections.abc import Collection, Iterable

from yarrowwall.model import SOFTWARE_ID_LENGTH

#: Stands for the software in the claim of a turn that resumes a stream, and so begins none.
RESUMPTION = "resumes-"

_CLAIM_PREFIX = "budget/"
_CHANGE_PREFIX = "stream/"
_SEPARATOR = "@"


def stream_owner(attempt_id: str) -> str:
    """Return the owner of the records of a stream without a budget."""
    return f"stream/{attempt_id}"


def claim_key(owner: str, attempt_id: str, software: str) -> str:
    """Return the key of a turn's claim.

    :param software: software that is expected to run the turn, or ``RESUMPTION``; empty for none.
    """
    key = f"{_CLAIM_PREFIX}{owner}/{attempt_id}"
    return f"{key}{_SEPARATOR}{software}" if software else key


def claimed_attempt(key: str, owner: str) -> str | None:
    """Return the attempt whose first claim has a key; None for other keys."""
    prefix = f"{_CLAIM_PREFIX}{owner}/"
    if not key.startswith(prefix):
        return None
    name, _, software = key.rpartition(_SEPARATOR)
    is_named = _is_software(software) or software == RESUMPTION
    return (name if is_named else key).removeprefix(prefix)


def change_key(owner: str, attempt_id: str, number: int, software: str) -> str:
    """Return the key of a record that other software runs a stream.

    :param number: 1 for the first such record of the stream, 2 for the second.
    """
    return f"{_CHANGE_PREFIX}{owner}/{attempt_id}/{number}{_SEPARATOR}{software}"


def recorded_software(keys: Iterable[str], owner: str, attempt_id: str) -> str | None:
    """Return the software that keys of an owner's records tell for an attempt, or None."""
    claim = f"{_CLAIM_PREFIX}{owner}/{attempt_id}{_SEPARATOR}"
    change = f"{_CHANGE_PREFIX}{owner}/{attempt_id}/"
    newest, found = -1, None
    for key in keys:
        if key.startswith(claim):
            number, software = "0", key[len(claim) :]
        elif key.startswith(change):
            number, _, software = key[len(change) :].partition(_SEPARATOR)
        else:
            continue
        # The ids of attempts are callers' text, which may contain the separator.
        if _is_software(software) and number.isdecimal() and int(number) > newest:
            newest, found = int(number), software
    return found


def common_software(keys: Collection[str], owner: str) -> str | None:
    """Return the software that began every stream of an owner, or None.

    None as well if there is no record, or a claim tells nothing.
    """
    attempts = {_attempt_of(key, owner) for key in keys} - {None}
    found = {recorded_software(keys, owner, attempt) for attempt in attempts if attempt}
    return found.pop() if len(found) == 1 else None


def _attempt_of(key: str, owner: str) -> str | None:
    """Return the attempt whose stream a key tells of; None for other keys."""
    name, separator, software = key.rpartition(_SEPARATOR)
    if software == RESUMPTION:
        return None
    change = f"{_CHANGE_PREFIX}{owner}/"
    if key.startswith(change) and separator:
        return name[len(change) :].rpartition("/")[0]
    return claimed_attempt(key, owner)


def _is_software(text: str) -> bool:
    return len(text) == SOFTWARE_ID_LENGTH and text != RESUMPTION
