"""Hypothesis strategies for valid and invalid server entries, and a scripted store of them."""

import contextlib
import json
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest.mock import patch

from hypothesis import strategies as st

from yarrowwall.decisions import DecisionLog
from yarrowwall.dispatch.server_list import ServerList
from yarrowwall.model import ResponseHead
from yarrowwall.platform import store as store_module
from yarrowwall.platform.documents import PlatformDocuments
from yarrowwall.platform.store import PlatformStore
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.watching.follower import KindFollower

NOW_S = 1_700_000_000.0
#: Maximum number of answers of the scripted store.
MAX_ANSWERS = 12


class DrawnEntry(NamedTuple):
    """An entry as the store sends it.

    :param name: the server's id; empty if the entry has no readable name.
    :param is_good: whether the entry describes a usable server.
    :param data: the entry's bytes.
    """

    name: str
    is_good: bool
    data: bytes


class DrawnEvent(NamedTuple):
    """A change of an entry."""

    entry: DrawnEntry
    is_gone: bool


def valid_spec() -> dict[str, Any]:
    """Return the content of a valid entry."""
    return {
        "service": "records",
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "born": 1_600_000_000_000,
        "seq": 3,
    }


def entry_data(name: Any, spec: Any) -> bytes:
    """Return an entry's bytes."""
    return json.dumps({"meta": {"name": name, "revision": 5}, "spec": spec}).encode()


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
_NAMES = st.sampled_from(("s-1", "s-2", "s-3", "s-4"))
_REQUIRED = st.sampled_from(("service", "address", "zone", "slots", "state"))
_GOOD = st.builds(
    lambda name: DrawnEntry(name, True, entry_data(name, valid_spec())),
    _NAMES,
)


def _without(name: str, field: str) -> DrawnEntry:
    spec = valid_spec()
    del spec[field]
    return DrawnEntry(name, False, entry_data(name, spec))


def _with_other_type(name: str, field: str, value: Any) -> DrawnEntry:
    return DrawnEntry(name, False, entry_data(name, valid_spec() | {field: value}))


_NOT_TEXT = _VALUES.filter(lambda value: not isinstance(value, str))
_NOT_INTEGER = _VALUES.filter(lambda value: type(value) is not int)
_NOT_MAPPING = _VALUES.filter(lambda value: not isinstance(value, dict))


def _with_raw(name: bytes, field: bytes, value: bytes) -> bytes:
    """Return the bytes of a valid entry with a field as JSON that can't be written from values."""
    whole = entry_data(name.decode(), valid_spec() | {"raw": "raw"})
    return whole.replace(b'"raw": "raw"', b'"%b": %b' % (field, value))


#: Entries with invalid UTF-8, numbers that are too long, values that are nested too deeply, text
#: without an encoding, or unusable names.
_UNREADABLE = (
    b'{"meta":{"name":"s-1","revision":5},"spec":{"service":"\xff\xfe\x00"}}',
    b'{"meta":{"name":"s-2","revision":5},"spec":{"slots":' + b"9" * 5_000 + b"}}",
    b'{"meta":{"name":"s-3","revision":' + b"9" * 5_000 + b'},"spec":"\xc3\x28"}',
    b'{"meta":{"name":"\\ud800"},"spec":{}}',
    *(_with_raw(b"s-1", b"extra", b"[" * depth + b"]" * depth) for depth in (300, 970, 100_000)),
    _with_raw(b"s-2", b"extra", b'{"a":' * 2_000 + b'"]}"' + b"}" * 2_000),
    _with_raw(b"s-3", b"version", b'"\\ud800"'),
    _with_raw(b"s-3", b"\\ud800", b"1"),
    b'{"meta":[],"spec":{}}',
)
_BAD = st.one_of(
    st.builds(_without, _NAMES, _REQUIRED),
    st.builds(_with_other_type, _NAMES, st.sampled_from(("service", "address", "zone")), _NOT_TEXT),
    st.builds(_with_other_type, _NAMES, st.sampled_from(("slots", "born", "seq")), _NOT_INTEGER),
    st.builds(_with_other_type, _NAMES, st.just("slots"), st.integers(max_value=0)),
    st.builds(_with_other_type, _NAMES, st.just("born"), st.integers(min_value=10**14)),
    st.builds(_with_other_type, _NAMES, st.just("state"), st.text(max_size=5)),
    st.builds(lambda name, spec: DrawnEntry(name, False, entry_data(name, spec)), _NAMES, _VALUES),
    _VALUES.map(lambda value: DrawnEntry("", False, json.dumps(value).encode())),
    _NOT_MAPPING.map(lambda value: DrawnEntry("", False, json.dumps({"meta": value}).encode())),
    st.sampled_from(_UNREADABLE).map(
        lambda data: DrawnEntry(
            next((name for name in ("s-1", "s-2", "s-3") if name.encode() in data), ""), False, data
        )
    ),
)
ENTRIES = _GOOD | _BAD
#: A list in which each server has at most one valid entry.
LISTS = st.lists(ENTRIES, max_size=8, unique_by=lambda entry: (entry.name, entry.data))
EVENTS = st.lists(
    st.builds(DrawnEvent, ENTRIES, st.booleans() | st.just(False)), min_size=1, max_size=5
)
BATCHES = st.lists(EVENTS, max_size=4)


class EndOfAnswersError(BaseException):
    """The scripted store has sent all of its answers."""


class ScriptedStore:
    """A store that answers a list, then batches of changes.

    :ivar listed: the current entries.
    """

    def __init__(self, listed: list[DrawnEntry], batches: list[list[DrawnEvent]]) -> None:
        self.listed = list(listed)
        self._batches = list(batches)
        self._answers = 0

    def answer(self, target: str) -> bytes:
        """Return the body of one answer."""
        self._answers += 1
        if self._answers > MAX_ANSWERS:
            raise EndOfAnswersError
        if "watch=" not in target:
            items = b",".join(entry.data for entry in self.listed)
            return b'{"items":[' + items + b'],"more":false,"at":10}'
        if not self._batches:
            raise EndOfAnswersError
        batch = self._batches.pop(0)
        for event in batch:
            self.listed = [one for one in self.listed if one.name != event.entry.name]
            if not event.is_gone:
                self.listed.append(event.entry)
        events = b",".join(
            b'{"gone":%s,"object":%s}' % (b"true" if event.is_gone else b"false", event.entry.data)
            for event in batch
        )
        return b'{"events":[' + events + b'],"at":11}'


class _ScriptedConnection:
    """A connection to a scripted store."""

    store: ScriptedStore
    is_reusable = False

    def __init__(self, address: str, timeout: float) -> None:
        self._target = ""

    def has_no_pending_input(self) -> bool:
        """Return True."""
        return True

    def send(self, data: bytes, timeout: float) -> None:
        """Note the target of a request."""
        self._target = data.decode().split(" ")[1]

    def read_head(self, timeout: float) -> ResponseHead:
        """Return the head of the answer."""
        return ResponseHead(200, ())

    def read_all(self, timeout: float, count_bytes: Callable[[int], None]) -> bytes:
        """Return the body of the answer."""
        body = self.store.answer(self._target)
        count_bytes(len(body))
        return body

    def finish_response(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Close the connection."""


def follow(store: ScriptedStore, log: DecisionLog) -> ServerDirectory:
    """Return the servers that a gateway knows after all answers of the store."""
    directory = ServerDirectory("a")
    documents = PlatformDocuments(lambda: NOW_S)
    servers = ServerList(documents, directory, dict, log, lambda: NOW_S)
    with (
        patch.object(store_module, "ServerConnection", _ScriptedConnection),
        patch.object(_ScriptedConnection, "store", store, create=True),
        patch("yarrowwall.watching.follower.eventlet.sleep"),
        patch("yarrowwall.platform.store.eventlet.sleep"),
    ):
        follower = KindFollower(
            PlatformStore("127.0.0.1:1"), "servers", servers.apply_list, servers.apply_change, log
        )
        with contextlib.suppress(EndOfAnswersError):
            follower._run()
    return directory


def expected_names(listed: list[DrawnEntry], batches: list[list[DrawnEvent]]) -> set[str]:
    """Return the names of the servers that must be in use at the end."""
    names = {entry.name for entry in listed if entry.is_good}
    for event in (event for batch in batches for event in batch):
        names.discard(event.entry.name)
        if event.entry.is_good and not event.is_gone:
            names.add(event.entry.name)
    return names
