"""Commands for operators, which send requests to any node."""

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import click

from yarrowwall.eventlet_setup import patch_sockets
from yarrowwall.exceptions import RelayError

_TIMEOUT_SECONDS = 30.0


def _common_options(command: Callable) -> Callable:
    """Add the options that all operator commands share."""
    command = click.option("--node", required=True, help="Any node, http://IP:PORT.")(command)
    output = click.option("--output", type=click.Choice(["table", "json"]), default="table")
    return output(command)


def _request(node: str, method: str, path: str, body: dict | None = None) -> dict:
    """Send a request to a node and return its JSON answer.

    :raises click.ClickException: if the node returns an error or does not answer.
    """
    patch_sockets()
    from yarrowwall.http_client import ask, json_request

    url = urlsplit(node.rstrip("/") + path)
    try:
        request = json_request(method, url.netloc, url.path, body)
        document = ask(request, _TIMEOUT_SECONDS).json()
    except RelayError as error:
        raise click.ClickException(f"no answer from {node}: {error}") from error
    if "error" in document:
        changed = document["error"].get("changed", [])
        lines = [f"{document['error']['type']}: {document['error']['message']}", *changed]
        raise click.ClickException("\n  ".join(lines))
    return document


def _load_intents(path: Path) -> dict:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error


def _print_table(rows: list[tuple[str, Any]]) -> None:
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        click.echo(f"{name:<{width}}  {value}")


def _print_plan(document: dict, output: str) -> None:
    if output == "json":
        click.echo(json.dumps(document, indent=2))
        return
    plan_document = document["plan"]
    rows = [
        ("plan", plan_document["plan_id"]),
        ("status", plan_document["status"]),
        ("computed on", f"configuration {plan_document['base_version']}"),
    ]
    rows += [("effect", line) for line in plan_document["effects"]]
    if document["message"]:
        rows.append(("result", document["message"]))
    _print_table(rows)


@click.group()
def intent() -> None:
    """Declare intents: the desired state of the configuration."""


@intent.command("apply")
@click.argument("path", type=click.Path(dir_okay=False, path_type=Path))
@_common_options
def intent_apply(path: Path, node: str, output: str) -> None:
    """Compute a plan for the intents in a TOML file; nothing changes yet."""
    _print_plan(_request(node, "POST", "/v1/operator/intents", _load_intents(path)), output)


@click.group()
def plan() -> None:
    """Show plans, and confirm, reject or amend them."""


@plan.command("show")
@click.argument("plan_id")
@_common_options
def plan_show(plan_id: str, node: str, output: str) -> None:
    """Show a plan."""
    _print_plan(_request(node, "GET", f"/v1/operator/plans/{plan_id}"), output)


@plan.command("confirm")
@click.argument("plan_id")
@_common_options
def plan_confirm(plan_id: str, node: str, output: str) -> None:
    """Put a plan into force; this fails if the configuration has changed since."""
    _print_plan(_request(node, "POST", f"/v1/operator/plans/{plan_id}/confirm"), output)


@plan.command("reject")
@click.argument("plan_id")
@_common_options
def plan_reject(plan_id: str, node: str, output: str) -> None:
    """Reject a plan."""
    _print_plan(_request(node, "POST", f"/v1/operator/plans/{plan_id}/reject"), output)


@plan.command("amend")
@click.argument("plan_id")
@click.argument("path", type=click.Path(dir_okay=False, path_type=Path))
@_common_options
def plan_amend(plan_id: str, path: Path, node: str, output: str) -> None:
    """Replace a plan by one computed from the intents in a TOML file."""
    body = _load_intents(path)
    _print_plan(_request(node, "POST", f"/v1/operator/plans/{plan_id}/amend", body), output)


@click.group()
def replica() -> None:
    """Manage the journal's replicas."""


@replica.command("replace")
@click.argument("old_replica_id")
@click.argument("new_replica_id")
@click.option("--on", "node_id", required=True, help="Node id of the new replica.")
@click.option("--zone", required=True, help="Zone of the new replica.")
@_common_options
def replica_replace(
    old_replica_id: str, new_replica_id: str, node_id: str, zone: str, node: str, output: str
) -> None:
    """Replace a replica whose disk was lost by a new, empty one."""
    body = {"replica_id": new_replica_id, "node_id": node_id, "zone": zone}
    path = f"/v1/operator/replicas/{old_replica_id}/replace"
    document = _request(node, "POST", path, body)
    click.echo(json.dumps(document) if output == "json" else document["message"])


@click.command()
@_common_options
def status(node: str, output: str) -> None:
    """Show the members, engines and configuration in force that a node knows."""
    document = _request(node, "GET", "/v1/operator/status")
    if output == "json":
        click.echo(json.dumps(document, indent=2))
        return
    rows: list[tuple[str, Any]] = [
        ("node", f"{document['node']} in {document['zone']}"),
        ("configuration", document["configuration_version"]),
        ("loaded programs", document["loaded_programs"]),
    ]
    for member in document["members"]:
        rows.append(("member", f"{member['node']} {member['zone']} {member['status']}"))
    for item in document["engines"]:
        models = ",".join(item["models"])
        rows.append(("engine", f"{item['engine']} {item['zone']} {item['occupancy']} {models}"))
    _print_table(rows)
