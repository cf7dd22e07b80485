"""Strict parsing of entries of the server list, which other programs may have written."""

from typing import Any

from yarrowwall.addresses import check_address, split_address
from yarrowwall.exceptions import EntryFault, UnusableEntryError
from yarrowwall.model import Incarnation, Server

_STATES = ("ready", "draining")
#: Fields that servers write and the gateway does not use; a wrong type shows that the entry was
#: written by another program.
_UNUSED_FIELDS = (("cold_left_ms", int), ("seq", int))
#: Maximum plausible number of slots of a server; real servers have some dozens.
MAX_SLOTS = 100_000
#: Maximum seconds by which a server's clock may be ahead of this machine's. Differences of some
#: seconds are common. A start time further ahead would hide every real start of the same id until
#: that time.
MAX_CLOCK_AHEAD_SECONDS = 3600.0


def read_server(name: str, spec: dict[str, Any], unix_s: float) -> Server:
    """Return the server that an entry describes.

    :param unix_s: Unix time now, in seconds.
    :raises UnusableEntryError: if the entry describes no usable server.
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
        _start_ms(spec, unix_s),
        _field(spec, "version", str) if "version" in spec else "",
    )


def read_incarnation(name: str, spec: dict[str, Any], unix_s: float) -> Incarnation:
    """Return the incarnation of an entry; without a start time if that can't be read."""
    try:
        return Incarnation(name, _start_ms(spec, unix_s))
    except UnusableEntryError:
        return Incarnation(name)


def is_server_id(name: str) -> bool:
    """Return whether a name can be a server's id, which is sent in a header."""
    return bool(name) and name.isascii() and name.isprintable() and " " not in name


def _field(spec: dict[str, Any], name: str, kind: type) -> Any:
    if name not in spec:
        raise UnusableEntryError(EntryFault.MISSING_FIELD, name)
    value = spec[name]
    # isinstance() would accept a bool as an int.
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


def _start_ms(spec: dict[str, Any], unix_s: float) -> int | None:
    if "born" not in spec:
        return None
    start_ms: int = _field(spec, "born", int)
    if not 0 < start_ms <= (unix_s + MAX_CLOCK_AHEAD_SECONDS) * 1000.0:
        raise UnusableEntryError(EntryFault.OUT_OF_RANGE, "born")
    return start_ms
