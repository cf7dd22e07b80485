"""Names in the record store, which keep apart what different owners call the same. No I/O.

Callers choose the ids of attempts and programs as they like, so an id becomes a part of a key only
as a :data:`RecordName`, which tells its tenant as well. Two names are equal only if both the
tenants and the ids are.
"""

from typing import NewType

#: An id that a caller chose, together with its tenant.
RecordName = NewType("RecordName", str)

#: The name of no turn and no program.
NO_NAME = RecordName("")

_SEPARATOR = ":"
_KEY_SEPARATOR = "/"
#: First parts of the owners of records that belong to no program.
_RESERVED_OWNERS = frozenset({"turn", "stream", "suspects"})


def record_name(tenant: str, chosen_id: str) -> RecordName:
    """Return the name of an id that a caller chose.

    Without a tenant it is the id itself, as in earlier releases, unless that could be the qualified
    name of another id.

    :param tenant: the caller's tenant; empty for a caller without one.
    """
    if tenant or not chosen_id or _is_qualified(chosen_id):
        return _qualified(tenant, chosen_id)
    return RecordName(chosen_id)


def program_name(tenant: str, program_id: str) -> RecordName:
    """Return the name of a program, which owns the records of its budget.

    It differs from the owners of turns, of streams without a budget, and of suspects.
    """
    if not tenant and program_id.partition(_KEY_SEPARATOR)[0] in _RESERVED_OWNERS:
        return _qualified(tenant, program_id)
    return record_name(tenant, program_id)


def ambiguous_name(tenant: str, chosen_id: str) -> RecordName | None:
    """Return the name that earlier releases gave to an id, if a tenant's id has that name too."""
    is_ambiguous = not tenant and _is_qualified(chosen_id)
    return RecordName(chosen_id) if is_ambiguous else None


def joined(owner: RecordName, part: str) -> str:
    """Return the part of a key made of an owner and a name; its first slash ends a plain owner."""
    if owner and _KEY_SEPARATOR not in owner:
        return f"{owner}{_KEY_SEPARATOR}{part}"
    return f"{_KEY_SEPARATOR}{len(owner)}{_KEY_SEPARATOR}{owner}{_KEY_SEPARATOR}{part}"


def _qualified(tenant: str, chosen_id: str) -> RecordName:
    # The length marks the end of the tenant, whose name may contain the separator.
    return RecordName(f"{len(tenant)}{_SEPARATOR}{tenant}{_SEPARATOR}{chosen_id}")


def _is_qualified(text: str) -> bool:
    """Return whether a text has the form of a qualified name, of any tenant or of none."""
    length, _, rest = text.partition(_SEPARATOR)
    if not (length.isascii() and length.isdecimal()):
        return False
    # Longer numbers than the text's own length have no such tenant.
    return len(length) <= len(str(len(text))) and rest[int(length) :].startswith(_SEPARATOR)
