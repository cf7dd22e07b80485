"""Command line of the soak test."""

import json
import sys
import time
from pathlib import Path

import click

from features.soak.planned.run import PlannedResult, play_planned
from features.soak.run import STRANDS, Result, play


@click.command()
@click.option("--seed", type=int, help="A single seed.")
@click.option("--seeds", help="A range of seeds, as FIRST-LAST.")
@click.option(
    "--seconds", "seconds_s", default=20.0, show_default=True, help="Duration of the faults."
)
@click.option("--clients", default=6, show_default=True)
@click.option("--gateways", default=2, show_default=True)
@click.option("--replicas", default=3, show_default=True)
@click.option("--strands", default=STRANDS, show_default=True, help="Concurrent faults.")
@click.option(
    "--planned", "is_planned", is_flag=True, help="Planned operations only, in three zones."
)
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder for the logs of failed seeds."
)
def main(
    seed: int | None,
    seeds: str | None,
    seconds_s: float,
    clients: int,
    gateways: int,
    replicas: int,
    strands: int,
    is_planned: bool,
    keep: Path | None,
) -> None:
    """Run seeds; exit with 1 if one of them violated a guarantee.

    ``--planned`` ignores ``--replicas`` and ``--strands``: it has a fixed number of storage
    machines, and at least one worker per kind of operation.
    """
    first, _, last = (seeds or str(1 if seed is None else seed)).partition("-")
    failed = 0
    for number in range(int(first), int(last or first) + 1):
        began = time.monotonic()
        result: Result | PlannedResult
        if is_planned:
            result = play_planned(number, seconds_s, clients, gateways, keep)
        else:
            result = play(number, seconds_s, clients, keep, gateways, replicas, strands)
        failed += bool(result.violations)
        line = {"seed": number, "played_s": round(time.monotonic() - began, 1)}
        click.echo(json.dumps({**line, **result._asdict()}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
