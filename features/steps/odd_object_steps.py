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
GATEWAYS = ("edge-0", "edge-1")
REPLICAS = ("storage-0", "storage-1", "storage-2")
MACHINES = {
    "every gateway": GATEWAYS,
    "every replica": REPLICAS,
    "every machine": (*GATEWAYS, *REPLICAS),
}
#: Log lines about an object that can't be read.
REFUSALS = ("EntryRefused", "ObjectRefused", "DependencyChanged")
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
    context.odd_kind, context.odd_name = ODD_OBJECTS[kind]
    if nested:
        store.replaced_texts[_NESTED] = nested
    store.put(context.odd_kind, context.odd_name, spec)
    time.sleep(_READ_SECONDS)


@then("the gateways and replicas still run, and none of their threads ended with an error")
def machines_run(context: Context) -> None:
    for name, process in world(context).processes.items():
        assert process.poll() is None, (name, process.returncode)
        text = (world(context).folder / f"{name}.log").read_text(errors="replace")
        assert "Traceback" not in text, (name, text[text.index("Traceback") :][:2000])


@then("{machines} named the object in a log line")
def object_named(context: Context, machines: str) -> None:
    found = {name for name in world(context).processes if is_named(context, name)}
    assert found >= set(MACHINES.get(machines, ())), found


def is_named(context: Context, machine: str) -> bool:
    """Return whether a machine has logged that the object can't be read."""
    name = context.odd_name
    return any(
        name in (line.get("server"), line.get("name"))
        or f"{context.odd_kind}/{name}" in line.get("reason", "")
        for line in world(context).log(machine)
        if line["kind"] in REFUSALS
    )
