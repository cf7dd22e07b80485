"""Steps about objects of the store that other programs wrote and that can't be read."""

import time
from typing import Any

from behave import then, when
from behave.runner import Context

from features.support.platform_scripts import world

#: Kind and name of the object that another program writes.
ODD_OBJECTS = {
    "servers": ("servers", "odd"),
    "configuration": ("config", "odd"),
    "configuration in force": ("config", "main"),
    "registrations": ("yarrowwall-replicas", "odd"),
    "groups": ("yarrowwall-groups", "odd"),
    "retirements": ("retirements", "odd"),
}
#: Content that is complete for an object of any kind.
_CONTENT: dict[str, Any] = {
    "service": "records",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 6,
    "state": "ready",
    "seq": 3,
    "node_id": "odd",
    "disk_id": "odd",
    "version": 1,
    "routes": [],
    "services": [],
}
_FIGURES = {"slots": 1e999, "seq": float("nan"), "born": float("-inf"), "version": 1e999}
#: Text that stands for nested values, which the stand-in can't encode.
_NESTED = "nested values"
#: Seconds in which every machine reads the object.
_READ_SECONDS = 1.0


def _odd_content(what: str) -> tuple[dict[str, Any], str]:
    """Return the content of an object, and the JSON that replaces the text of nested values."""
    if what.endswith("nested lists"):
        depth = int(what.split()[0])
        return {**_CONTENT, "extra": _NESTED}, "[" * depth + "]" * depth
    if what.endswith("nested maps"):
        depth = int(what.split()[0])
        return {**_CONTENT, "extra": _NESTED}, '{"a":' * depth + "1" + "}" * depth
    changed: dict[str, Any] = {
        "a lone surrogate as version": {"version": "\ud800"},
        "infinite figures": _FIGURES,
        "a port out of range": {"address": "127.0.0.1:99999"},
        "figures in place of texts": dict.fromkeys(("node_id", "disk_id", "address", "zone"), 5),
    }[what]
    return {**_CONTENT, **changed}, ""


@when("another program writes an object of the {kind} with {what}")
def write_odd_object(context: Context, kind: str, what: str) -> None:
    store = world(context).store
    spec, nested = _odd_content(what)
    if nested:
        store.replaced_texts[_NESTED] = nested
    store.put(*ODD_OBJECTS[kind], spec)
    time.sleep(_READ_SECONDS)


@then("the gateways and replicas still run")
def machines_run(context: Context) -> None:
    ended = {
        name: process.returncode
        for name, process in world(context).processes.items()
        if process.poll() is not None
    }
    assert not ended, ended
