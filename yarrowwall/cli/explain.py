"""Command that shows the log lines of one request or program, from many processes' logs."""

import gzip
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from yarrowwall.decisions import GroupWaits

EXIT_UNKNOWN = 1
_GZIP_MAGIC = b"\x1f\x8b"
_HIDDEN = ("time", "node", "kind")


@click.command()
@click.argument("identifier")
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def explain(identifier: str, logs: tuple[Path, ...], output: str) -> None:
    """Show the log lines of a request or program, given its id, in order.

    Lines about groups of replicas that waited for members meanwhile are among them.

    LOGS are files of decision lines of any number of processes, plain or gzipped; a prefix
    before a line's JSON is ignored. The exit code is 1 if no line contains the id.
    """
    trace = find_trace(identifier, logs)
    if not trace:
        click.echo(f"no line names {identifier}", err=True)
        sys.exit(EXIT_UNKNOWN)
    for line in trace:
        click.echo(json.dumps(line) if output == "json" else format_line(line, trace[0]["time"]))


def find_trace(identifier: str, logs: tuple[Path, ...]) -> list[dict[str, Any]]:
    """Return the lines of an attempt, or of a program and its attempts, ordered by time.

    Lines of one process stay in the order in which it wrote them, even if its clock was set back.
    """
    lines = [line for path in logs for line in read_lines(path)]
    names = {identifier}
    names |= {
        line["attempt"]
        for line in lines
        if line.get("program") == identifier and line.get("attempt")
    }
    trace = [line for line in lines if names & {line.get("attempt"), line.get("program")}]
    latest: dict[str, float] = {}
    for line in trace:
        node = line.get("node", "")
        latest[node] = max(line.get("time", 0.0), latest.get(node, 0.0))
        line["time"] = latest[node]
    if trace:
        begun_s = min(line["time"] for line in trace)
        trace += _waits_during(lines, begun_s, max(latest.values()))
    return sorted(trace, key=lambda line: line["time"])


def _waits_during(
    lines: list[dict[str, Any]], begun_s: float, ended_s: float
) -> list[dict[str, Any]]:
    """Return the lines about groups that waited for members at some time of a period."""
    waits: dict[tuple[str, int], dict[str, Any]] = {}
    found = []
    for line in sorted(
        (line for line in lines if line["kind"] == GroupWaits.__name__),
        key=lambda line: line["time"],
    ):
        place = line["node"], line["group"]
        if line["missing"]:
            waits[place] = line
            continue
        began = waits.pop(place, None)
        if began is not None and line["time"] >= begun_s and _began_by(began, ended_s):
            found += [began, line]
    return found + [line for line in waits.values() if _began_by(line, ended_s)]


def _began_by(wait: dict[str, Any], ended_s: float) -> bool:
    """Return whether a wait, which is logged a while after it began, had begun by a time."""
    return bool(wait["time"] - wait["waited"] <= ended_s)


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Return the decision lines of a file; other lines are ignored."""
    data = path.read_bytes()
    if data.startswith(_GZIP_MAGIC):
        data = gzip.decompress(data)
    for text in data.decode(errors="replace").splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "kind" in line:
            yield line


def format_line(line: dict[str, Any], started_at: float) -> str:
    """Return a decision line as text, with the time since the first one.

    :param started_at: time of the first line.
    """
    values = " ".join(f"{name}={value}" for name, value in line.items() if name not in _HIDDEN)
    return (
        f"{line['time'] - started_at:9.4f} s  {line.get('node', ''):<20} {line['kind']}  {values}"
    )
