"""Keys of records that tell which software began a stream. No I/O.

The key of a turn's claim on its program's budget ends with the software that is expected to run
the turn, so any gateway that reads the program's claims knows it. Before other software runs the
turn, a further record is written; of several, the one with the highest number holds.
"""

from collections.abc import Collection, Iterable

from yarrowwall.budgets.record_names import RecordName, joined
from yarrowwall.model import SOFTWARE_ID_LENGTH

#: Stands for the software in the claim of a turn that resumes a stream, and so begins none.
RESUMPTION = "resumes-"

_CLAIM_PREFIX = "budget/"
_CHANGE_PREFIX = "stream/"
_SEPARATOR = "@"


def stream_owner(attempt: RecordName) -> RecordName:
    """Return the owner of the records of a stream without a budget."""
    return RecordName(f"{_CHANGE_PREFIX}{attempt}")


def claim_key(owner: RecordName, attempt_id: str, software: str) -> str:
    """Return the key of a turn's claim.

    :param software: software that is expected to run the turn, or ``RESUMPTION``; empty for none.
    """
    key = _CLAIM_PREFIX + joined(owner, attempt_id)
    # An attempt whose id contains the separator does not end with a software.
    is_marked = bool(software) or _SEPARATOR in attempt_id
    return f"{key}{_SEPARATOR}{software}" if is_marked else key


def claimed_attempt(key: str, owner: RecordName) -> str | None:
    """Return the attempt whose first claim has a key; None for other keys."""
    rest = _without_owner(key, _CLAIM_PREFIX, owner)
    if rest is None:
        return None
    name, separator, software = rest.rpartition(_SEPARATOR)
    is_named = bool(separator) and (_is_software(software) or software == RESUMPTION)
    is_marked = not software and _SEPARATOR in name
    return name if is_named or is_marked else rest


def change_key(owner: RecordName, attempt_id: str, number: int, software: str) -> str:
    """Return the key of a record that other software runs a stream.

    :param number: 1 for the first such record of the stream, 2 for the second.
    """
    rest = f"{attempt_id}/{number}{_SEPARATOR}{software}"
    if owner.startswith(_CHANGE_PREFIX):
        return f"{_CHANGE_PREFIX}{owner}/{rest}"
    return _CHANGE_PREFIX + joined(owner, rest)


def recorded_software(keys: Iterable[str], owner: RecordName, attempt_id: str) -> str | None:
    """Return the software that keys of an owner's records tell for an attempt, or None."""
    claim, change = f"{attempt_id}{_SEPARATOR}", f"{attempt_id}/"
    newest, found = -1, None
    for key in keys:
        claimed = _without_owner(key, _CLAIM_PREFIX, owner)
        changed = _without_owner(key, _CHANGE_PREFIX, owner)
        if claimed is not None and claimed.startswith(claim):
            number, software = "0", claimed[len(claim) :]
        elif changed is not None and changed.startswith(change):
            number, _, software = changed[len(change) :].partition(_SEPARATOR)
        else:
            continue
        # The ids of attempts are callers' text, which may contain the separator.
        if _is_software(software) and number.isdecimal() and int(number) > newest:
            newest, found = int(number), software
    return found


def common_software(keys: Collection[str], owner: RecordName) -> str | None:
    """Return the software that began every stream of an owner, or None.

    None as well if there is no record, or a claim tells nothing.
    """
    attempts = {_attempt_of(key, owner) for key in keys} - {None}
    found = {recorded_software(keys, owner, attempt) for attempt in attempts if attempt}
    return found.pop() if len(found) == 1 else None


def _attempt_of(key: str, owner: RecordName) -> str | None:
    """Return the attempt whose stream a key tells of; None for other keys."""
    if key.endswith(f"{_SEPARATOR}{RESUMPTION}"):
        return None
    changed = _without_owner(key, _CHANGE_PREFIX, owner)
    if changed is not None and _SEPARATOR in changed:
        return changed.rpartition(_SEPARATOR)[0].rpartition("/")[0]
    return claimed_attempt(key, owner)


def _without_owner(key: str, prefix: str, owner: RecordName) -> str | None:
    """Return the end of an owner's key, after its prefix and the owner; None for other keys.

    Earlier releases joined owners that contain a slash like all others.
    """
    for start in (prefix + joined(owner, ""), f"{prefix}{owner}/"):
        if key.startswith(start):
            return key[len(start) :]
    return None


def _is_software(text: str) -> bool:
    return len(text) == SOFTWARE_ID_LENGTH and text != RESUMPTION
