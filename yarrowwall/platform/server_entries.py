"""Entries of the list of servers, read strictly: they may come from another writer."""

from typing import Any

from yarrowwall.addresses import check_address, split_address
from yarrowwall.exceptions import EntryFault, UnusableEntryError
from yarrowwall.model import Incarnation, Server

_STATES = ("ready", "draining")
#: Fields that servers write about themselves and that the gateway has no use for: of another
#: type, they show another writer all the same.
_UNUSED_FIELDS = (("version", str), ("cold_left_ms", int), ("seq", int))
#: Most requests that a server can be held to work on at once; real ones have some dozens.
MAX_SLOTS = 100_000
#: Seconds that the time of day of a server may be ahead of this machine's. Steps of some seconds
#: are usual; a start further ahead would hide each true one of that id until then.
MAX_AHEAD_SECONDS = 3600.0


def read_server(name: str, spec: dict[str, Any], unix_s: float) -> Server:
    """Return the server that an entry names.

    :param unix_s: the time of day.
    :raises UnusableEntryError: if it names none.
    """
    if not is_server_id(name):
        raise UnusableEntryError(EntryFault.BAD_NAME, "name")
    for field, kind in _UNUSED_FIELDS:
        if field in spec:
            _field(spec, field, kind)
    state = _field(spec, "state", str)
    if state not in _STATES:
        raise UnusableEntryError(EntryFault.UNKNOWN_STATE, "state")
    return Server(
        name,
        _field(spec, "service", str),
        _address(spec),
        _field(spec, "zone", str),
        _slots(spec),
        state == "draining",
        _born_ms(spec, unix_s),
    )


def read_incarnation(name: str, spec: dict[str, Any], unix_s: float) -> Incarnation:
    """Return the incarnation that an entry tells of; the untold one if that can't be read."""
    try:
        return Incarnation(name, _born_ms(spec, unix_s))
    except UnusableEntryError:
        return Incarnation(name)


def is_server_id(name: str) -> bool:
    """Return whether a name can be a server's id, which travels in a header."""
    return bool(name) and name.isascii() and name.isprintable() and " " not in name


def _field(spec: dict[str, Any], name: str, kind: type) -> Any:
    if name not in spec:
        raise UnusableEntryError(EntryFault.MISSING_FIELD, name)
    value = spec[name]
    # A truth value is a whole number to Python.
    if type(value) is not kind:
        raise UnusableEntryError(EntryFault.WRONG_TYPE, name)
    return value


def _address(spec: dict[str, Any]) -> str:
    address: str = _field(spec, "address", str)
    try:
        _, port = split_address(check_address(address))
    except ValueError as error:
        raise UnusableEntryError(EntryFault.BAD_ADDRESS, "address") from error
    if port == 0:
        raise UnusableEntryError(EntryFault.BAD_ADDRESS, "address")
    return address


def _slots(spec: dict[str, Any]) -> int:
    slots: int = _field(spec, "slots", int)
    if not 0 < slots <= MAX_SLOTS:
        raise UnusableEntryError(EntryFault.OUT_OF_RANGE, "slots")
    return slots


def _born_ms(spec: dict[str, Any], unix_s: float) -> int | None:
    if "born" not in spec:
        return None
    start_ms: int = _field(spec, "born", int)
    if not 0 < start_ms <= (unix_s + MAX_AHEAD_SECONDS) * 1000.0:
        raise UnusableEntryError(EntryFault.OUT_OF_RANGE, "born")
    return start_ms
