"""Command that lists the requests handled by a superseded configuration, from logs."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import click

from yarrowwall.cli.explain import read_lines

#: Seconds for which a superseded configuration may be used: the shortest bound of a deployment.
BOUND_SECONDS = 2.0
_READER = "reader/"
_PROOF = "proof/"
_STORE = "store/"


class StaleAttempt(NamedTuple):
    """An attempt that was admitted by a superseded configuration.

    :param newer: the version that superseded it, which ``first_node`` put into force first.
    :param superseded_s: seconds since then, by the logs' clocks.
    :param age_s: seconds since the used version was verified to be the newest, by the gateway's
        clock.
    :param reader: the store reader that the gateway used last; "none" without one.
    :param left: the reader, store or verification that became unavailable last, when and why.
    """

    attempt_id: str
    node: str
    version: int
    newer: int
    first_node: str
    superseded_s: float
    age_s: float
    reader: str
    left: str


class _GatewayState:
    """A gateway's connection to the store, as described by its log lines so far.

    :ivar readers: readers that the gateway uses; the newest is the last.
    :ivar last_failure: the reader, store or verification that became unavailable last.
    """

    def __init__(self) -> None:
        self.readers: list[str] = []
        self.last_failure = "nothing"

    def apply(self, line: dict[str, Any]) -> None:
        """Update the state by a line."""
        if line["kind"] == "ProcessChanged" and line["change"] == "started":
            self.readers.clear()
        elif line["kind"] == "DependencyChanged":
            self._apply_dependency(line)

    def _apply_dependency(self, line: dict[str, Any]) -> None:
        dependency = line["dependency"]
        name = dependency.removeprefix(_READER)
        is_reader = dependency.startswith(_READER)
        if is_reader and name in self.readers:
            self.readers.remove(name)
        if is_reader and line["is_up"]:
            self.readers.append(name)
        if not line["is_up"] and dependency.startswith((_READER, _PROOF, _STORE)):
            self.last_failure = f"{dependency} at {line['time']:.3f}: {line['reason']}"


class _Activation(NamedTuple):
    """The node at which a version came into force first, and when."""

    version: int
    node: str
    at_s: float


def stale_attempts(lines: Iterable[dict[str, Any]], bound_s: float) -> list[StaleAttempt]:
    """Return the attempts admitted by a version that had been superseded for too long.

    :param lines: log lines of all gateways; those of each gateway must be in their original order.
    :param bound_s: seconds for which a superseded version may be used.
    """
    ordered = sorted(lines, key=lambda line: line["time"])
    activations = _first_activations(ordered)
    gateways: dict[str, _GatewayState] = {}
    found: list[StaleAttempt] = []
    for line in ordered:
        gateway = gateways.setdefault(line["node"], _GatewayState())
        gateway.apply(line)
        if line["kind"] == "AttemptAdmitted":
            newer = _first_newer(activations, line["configuration"])
            if newer is not None and line["time"] - newer.at_s > bound_s:
                found.append(_stale_attempt(line, newer, gateway))
    return found


def _first_activations(lines: Iterable[dict[str, Any]]) -> list[_Activation]:
    activations: dict[int, _Activation] = {}
    for line in lines:
        if line["kind"] == "ConfigurationInForce":
            version = line["version"]
            activations.setdefault(version, _Activation(version, line["node"], line["time"]))
    return [activations[version] for version in sorted(activations)]


def _first_newer(activations: list[_Activation], version: int) -> _Activation | None:
    newer = [activation for activation in activations if activation.version > version]
    return min(newer, key=lambda activation: activation.at_s, default=None)


def _stale_attempt(
    line: dict[str, Any], newer: _Activation, gateway: _GatewayState
) -> StaleAttempt:
    return StaleAttempt(
        line["attempt"],
        line["node"],
        line["configuration"],
        newer.version,
        newer.node,
        line["time"] - newer.at_s,
        line.get("configuration_age", float("nan")),
        gateway.readers[-1] if gateway.readers else "none",
        gateway.last_failure,
    )


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--bound", type=float, default=BOUND_SECONDS, help="Allowed seconds.")
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def stale(logs: tuple[Path, ...], bound: float, output: str) -> None:
    """List the requests that were handled by a superseded configuration.

    LOGS are files of decision lines of all gateways, plain or gzipped. For each request the
    output states how long ago the gateway had verified its configuration, the reader that it
    used and the reader or store that it had given up last.
    """
    lines = [line for path in logs for line in read_lines(path)]
    for one in stale_attempts(lines, bound):
        if output == "json":
            click.echo(json.dumps(one._asdict()))
            continue
        click.echo(
            f"{one.attempt_id} {one.node} by version {one.version}, superseded for"
            f" {one.superseded_s:.2f} s by {one.newer} (first at {one.first_node}); proof"
            f" {one.age_s:.2f} s old; relied on {one.reader}; gave up {one.left}"
        )
