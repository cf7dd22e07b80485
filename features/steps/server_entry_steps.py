"""Steps about invalid entries in the list of servers."""

import json
import os
import time
from collections import Counter
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_drawn

from features.support.drawn_entries import (
    BATCHES,
    LISTS,
    NOW_S,
    DrawnEntry,
    DrawnEvent,
    ScriptedStore,
    entry_data,
    expected_names,
    follow,
    valid_spec,
)
from features.support.platform_scripts import world
from features.support.schedules import derandomized
from yarrowwall import decisions
from yarrowwall.decisions import Decision, DecisionLog
from yarrowwall.dispatch.server_list import ServerList
from yarrowwall.exceptions import UnusableEntryError
from yarrowwall.model import Service
from yarrowwall.platform import objects
from yarrowwall.platform.documents import PlatformDocuments
from yarrowwall.platform.objects import read_json, read_object
from yarrowwall.policy.server_choice import PlacementRequest, ServerChooser
from yarrowwall.policy.servers import ServerDirectory
from yarrowwall.ports.object_store import Change, StoredObject
from yarrowwall.watching import object_content

NO_PREFERENCE = PlacementRequest((), "", "")


def _quiet_log(noted: list[Decision]) -> DecisionLog:
    """Return a log that writes to /dev/null and collects its decisions."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    return DecisionLog("edge-0", noted.append, descriptor)


def item(name: str, spec: Any) -> StoredObject:
    """Return an entry as the store's client returns it."""
    return read_object(read_json(entry_data(name, spec)))


def spec_at(port: int) -> dict[str, Any]:
    return valid_spec() | {"address": f"127.0.0.1:{port}"}


def _create_servers(context: Context, *items: StoredObject) -> None:
    context.noted = []
    context.services = {"records": Service("records", None)}
    context.directory = ServerDirectory("a")
    context.servers = ServerList(
        PlatformDocuments(lambda: NOW_S),
        context.directory,
        lambda: context.services,
        _quiet_log(context.noted),
        lambda: NOW_S,
    )
    context.servers.apply_list(list(items))


@given('a list of servers that has "{one}" and "{other}"')
def list_of_two(context: Context, one: str, other: str) -> None:
    _create_servers(context, item(one, spec_at(11)), item(other, spec_at(12)))


@given('a list of servers that has "{one}" and "{other}", the latter of an unconfigured service')
def list_with_early(context: Context, one: str, other: str) -> None:
    early = spec_at(12) | {"service": "later"}
    _create_servers(context, item(one, spec_at(11)), item(other, early))


@given('a list of servers that has "{one}" and "{other}", both at one address')
def list_with_doubled(context: Context, one: str, other: str) -> None:
    _create_servers(context, item(one, spec_at(11)))
    for _ in range(2):
        context.servers.apply_change(Change(item(other, spec_at(11)), False))


@given("a list of servers that is empty")
def empty_list(context: Context) -> None:
    _create_servers(context)


@when('a list arrives that has "{name}"')
def list_comes(context: Context, name: str) -> None:
    context.servers.apply_list([item(name, spec_at(11))])


@then('"{name}" was logged once as listed')
def logged_as_listed(context: Context, name: str) -> None:
    logged = [line for line in context.noted if isinstance(line, decisions.ServerChanged)]
    assert logged == [decisions.ServerChanged(name, "records", "listed", "v1")], logged


@when('the entry of "{name}" is written with {field} as {value}')
def entry_written(context: Context, name: str, field: str, value: str) -> None:
    spec: Any = spec_at(12)
    if field == "all of it":
        spec = json.loads(value)
    elif value == "missing":
        del spec[field]
    else:
        spec[field] = json.loads(value)
    context.bad = item(name, spec)
    for _ in range(3):
        context.servers.apply_change(Change(context.bad, False))
    good = item("good", spec_at(11))
    context.servers.apply_list([context.bad, good])


@when('the entry of "{name}" is written as a server would')
def entry_valid(context: Context, name: str) -> None:
    context.servers.apply_change(Change(item(name, spec_at(12)), False))


def _listed(directory: ServerDirectory) -> set[str]:
    return {name for name, state in directory.states.items() if state.vanished_at is None}


@then('"{good}" is listed and "{bad}" is not')
def only_one_listed(context: Context, good: str, bad: str) -> None:
    assert _listed(context.directory) == {good}, _listed(context.directory)


@then('"{one}" and "{other}" are listed')
def both_listed(context: Context, one: str, other: str) -> None:
    assert _listed(context.directory) == {one, other}, _listed(context.directory)


@then('"{name}" was logged once as "{fault}"')
def logged_once(context: Context, name: str, fault: str) -> None:
    refused = [line for line in context.noted if isinstance(line, decisions.EntryRefused)]
    found = Counter((line.server, line.fault) for line in refused)
    assert found == {(name, fault): 1}, found


@then('"{name}" is chosen once a configuration has its service')
def chosen_later(context: Context, name: str) -> None:
    context.services = {**context.services, "later": Service("later", None)}
    choice = ServerChooser(context.directory).choose("later", (), NOW_S, NO_PREFERENCE)
    assert choice is not None
    assert choice.server.server_id == name


# Drawn entries


def check_drawn(listed: list[DrawnEntry], batches: list[list[DrawnEvent]]) -> None:
    """Apply drawn lists and batches of changes; check which servers are in use."""
    noted: list[Decision] = []
    log = _quiet_log(noted)
    try:
        directory = follow(ScriptedStore(listed, batches), log)
    finally:
        os.close(log._writer._descriptor)
    expected = expected_names(listed, batches)
    assert _listed(directory) == expected, (_listed(directory), expected)


@then("in {count:d} drawn lists and batches of the store each good entry is in use and no other")
def drawn_hold(context: Context, count: int) -> None:
    derandomized(count)(given_drawn(LISTS, BATCHES)(check_drawn))()


def _list_or_nothing(self: ServerList, items: list[StoredObject]) -> None:
    try:
        servers = [self._documents.server(one) for one in items]
    except UnusableEntryError:
        servers = []
    self._directory.replace_all(servers, {}, NOW_S)


def _read_or_raise(self: ServerList, one: StoredObject) -> Any:
    return self._documents.server(one)


_apply_change = ServerList.apply_change


def _skip_known_bad(self: ServerList, change: Change) -> None:
    if change.item.name not in {logged.name for logged in self._faults}:
        _apply_change(self, change)


def _any_depth(text: str) -> str:
    return text


def _any_text(text: str) -> bool:
    return True


MUTANTS = {
    "one bad entry drops the list": (ServerList, "apply_list", _list_or_nothing),
    "one bad entry ends the follower": (ServerList, "_read", _read_or_raise),
    "one bad entry hides the next good one": (ServerList, "apply_change", _skip_known_bad),
    "one nested entry makes its page unreadable": (objects, "_without_deep_values", _any_depth),
    "an entry has text without an encoding": (object_content, "is_encodable", _any_text),
}


@given("a server list in which {mutant}")
def mutant_server_list(context: Context, mutant: str) -> None:
    context.mutant = MUTANTS[mutant]


@then("some drawn list or batch loses a good entry")
def some_list_loses(context: Context) -> None:
    target, name, replacement = context.mutant
    with patch.object(target, name, replacement):
        try:
            drawn_hold(context, 400)
        except (AssertionError, UnusableEntryError, ExceptionGroup):
            return
    raise AssertionError("no drawn list or batch finds it")


# Whole machines


@when("another program writes {count:d} invalid entries to the list")
def write_invalid_entries(context: Context, count: int) -> None:
    specs: list[Any] = [None, "\udcff", [1], {"service": 7}, {"slots": -1, "state": "?"}]
    for number in range(count):
        world(context).store.put("servers", f"x-{number % 7}", specs[number % len(specs)])
        time.sleep(0.02)
