"""Requests that were handled by a configuration which others had superseded, from logs."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import click

from yarrowwall.cli.explain import read_lines

#: Seconds for which a configuration may be superseded: the shortest bound of a deployment.
BOUND_SECONDS = 2.0
_READER = "reader/"
_PROOF = "proof/"
_STORE = "store/"


class StaleAttempt(NamedTuple):
    """An attempt that was admitted by a configuration which had been superseded.

    :param newer: the version that superseded it, first in force at ``first_node``.
    :param superseded_s: for how long, by the logs' clocks.
    :param age_s: since the version was proved to be the newest, by its gateway's own clock.
    :param reader: whom the gateway relied on; "none" if it relied on nobody.
    :param left: which reader or store it had given up last, when and why.
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


class _Gateway:
    """What a gateway knew of the store, as far as its log was read."""

    def __init__(self) -> None:
        self.readers: list[str] = []
        self.left = "nothing"

    def take(self, line: dict[str, Any]) -> None:
        """Take in a line."""
        if line["kind"] == "ProcessChanged" and line["change"] == "started":
            self.readers.clear()
        elif line["kind"] == "DependencyChanged":
            self._take_dependency(line)

    def _take_dependency(self, line: dict[str, Any]) -> None:
        dependency = line["dependency"]
        name = dependency.removeprefix(_READER)
        is_reader = dependency.startswith(_READER)
        if is_reader and name in self.readers:
            self.readers.remove(name)
        if is_reader and line["is_up"]:
            self.readers.append(name)
        if not line["is_up"] and dependency.startswith((_READER, _PROOF, _STORE)):
            self.left = f"{dependency} at {line['time']:.3f}: {line['reason']}"


class _FirstSight(NamedTuple):
    """Where and when a version was in force first."""

    version: int
    node: str
    at_s: float


def stale_attempts(lines: Iterable[dict[str, Any]], bound_s: float) -> list[StaleAttempt]:
    """Return the attempts admitted by a version that was superseded for longer.

    :param lines: those of all gateways; each gateway's in the order in which it wrote them.
    """
    ordered = sorted(lines, key=lambda line: line["time"])
    sights = _first_sights(ordered)
    gateways: dict[str, _Gateway] = {}
    found: list[StaleAttempt] = []
    for line in ordered:
        gateway = gateways.setdefault(line["node"], _Gateway())
        gateway.take(line)
        if line["kind"] == "AttemptAdmitted":
            newer = _superseding(sights, line["configuration"])
            if newer is not None and line["time"] - newer.at_s > bound_s:
                found.append(_stale(line, newer, gateway))
    return found


def _first_sights(lines: Iterable[dict[str, Any]]) -> list[_FirstSight]:
    sights: dict[int, _FirstSight] = {}
    for line in lines:
        if line["kind"] == "ConfigurationInForce":
            version = line["version"]
            sights.setdefault(version, _FirstSight(version, line["node"], line["time"]))
    return [sights[version] for version in sorted(sights)]


def _superseding(sights: list[_FirstSight], version: int) -> _FirstSight | None:
    newer = [sight for sight in sights if sight.version > version]
    return min(newer, key=lambda sight: sight.at_s, default=None)


def _stale(line: dict[str, Any], newer: _FirstSight, gateway: _Gateway) -> StaleAttempt:
    return StaleAttempt(
        line["attempt"],
        line["node"],
        line["configuration"],
        newer.version,
        newer.node,
        line["time"] - newer.at_s,
        line.get("configuration_age", float("nan")),
        gateway.readers[-1] if gateway.readers else "none",
        gateway.left,
    )


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--bound", type=float, default=BOUND_SECONDS, help="Seconds that are allowed.")
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def stale(logs: tuple[Path, ...], bound: float, output: str) -> None:
    """List the requests that were handled by a superseded configuration.

    LOGS are files of decision lines, of all gateways, plain or gzipped. For each request it is
    said how old the gateway's proof was, whom it relied on and what it had given up last.
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
