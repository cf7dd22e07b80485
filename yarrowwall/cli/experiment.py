"""Command that compares the scheduling policies on the same workloads."""

import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click

from yarrowwall.cli.simulate import parse_faults, run_once
from yarrowwall.standalone.core.scheduling.policies import POLICY_NAMES
from yarrowwall.standalone.simulation.deployments import DEPLOYMENTS
from yarrowwall.standalone.simulation.lower_bound import lower_bound
from yarrowwall.standalone.simulation.report import RunReport
from yarrowwall.standalone.simulation.world import RunSettings

LOWER_BOUND = "lower-bound"


@dataclass(frozen=True)
class Row:
    """The results of one policy: medians over the seeds, and the total of violations."""

    policy: str
    program_p50: float
    program_p95: float
    urgent_p95: float
    routine_p95: float
    wasted: float
    violations: int


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a range ``A-B``.

    :raises click.BadParameter: if the text is not such a range.
    """
    first, _, last = text.partition("-")
    if not (first.isdigit() and last.isdigit()) or int(first) > int(last):
        raise click.BadParameter("seeds are given as A-B")
    return list(range(int(first), int(last) + 1))


def _median(values: list[float | None]) -> float:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else 0.0


def make_row(policy: str, reports: list[RunReport]) -> Row:
    """Return the medians of a policy's runs."""
    return Row(
        policy,
        _median([report.program_latency_seconds.p50 for report in reports]),
        _median([report.program_latency_seconds.p95 for report in reports]),
        _median([report.urgent_latency_seconds.p95 for report in reports]),
        _median([report.routine_latency_seconds.p95 for report in reports]),
        _median([report.wasted_cache_ratio for report in reports]),
        sum(len(report.violations) for report in reports),
    )


def _bound_row(settings: list[RunSettings]) -> Row:
    bounds = [lower_bound(item) for item in settings]
    return Row(
        LOWER_BOUND,
        _median([bound.program.p50 for bound in bounds]),
        _median([bound.program.p95 for bound in bounds]),
        _median([bound.urgent.p95 for bound in bounds]),
        _median([bound.routine.p95 for bound in bounds]),
        0.0,
        0,
    )


def _print_table(rows: list[Row]) -> None:
    click.echo(
        f"{'policy':<14}{'p50':>9}{'p95':>9}{'urgent95':>10}{'routine95':>11}{'wasted':>9}{'bad':>5}"
    )
    for row in rows:
        click.echo(
            f"{row.policy:<14}{row.program_p50:>9.2f}{row.program_p95:>9.2f}"
            f"{row.urgent_p95:>10.2f}{row.routine_p95:>11.2f}{row.wasted:>9.4f}{row.violations:>5}"
        )


def draw(rows: list[Row], title: str, path: Path) -> None:
    """Plot the rows as bar charts and write them to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [row.policy for row in rows]
    figure, (latency, waste) = pyplot.subplots(1, 2, figsize=(10, 4))
    latency.bar(names, [row.program_p95 for row in rows], label="all programs")
    latency.plot(names, [row.urgent_p95 for row in rows], "ko", label="urgent programs")
    latency.set_ylabel("program latency p95 (s), tool pauses taken off")
    latency.legend()
    waste.bar(names, [row.wasted for row in rows], color="tab:orange")
    waste.set_ylabel("wasted cache (share of prompt tokens)")
    for axes in (latency, waste):
        axes.tick_params(axis="x", rotation=30)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


@click.command()
@click.option("--deployment", type=click.Choice(sorted(DEPLOYMENTS)), required=True)
@click.option("--seeds", default="1-10", show_default=True, help="Range of seeds, A-B.")
@click.option("--programs", type=click.IntRange(1), default=400, show_default=True)
@click.option("--load", type=click.FloatRange(0.01, 5.0), default=0.9, show_default=True)
@click.option("--faults", default="none", show_default=True, help="all, none, or kinds.")
@click.option("--workers", type=click.IntRange(1), default=4, show_default=True)
@click.option("--policies", default=",".join(POLICY_NAMES), show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), default=None, help="PNG or SVG to write.")
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
def experiment(
    deployment: str,
    seeds: str,
    programs: int,
    load: float,
    faults: str,
    workers: int,
    policies: str,
    plot: Path | None,
    output: str,
) -> None:
    """Compare the policies on the same programs, arrivals and seeds."""
    kinds = parse_faults(faults)
    site = DEPLOYMENTS[deployment]
    runs = {
        policy: [
            RunSettings(site, seed, programs, load, kinds, policy=policy)
            for seed in parse_seeds(seeds)
        ]
        for policy in policies.split(",")
    }
    jobs = [settings for group in runs.values() for settings in group]
    with ProcessPoolExecutor(workers) as pool:
        reports = list(pool.map(run_once, jobs))
    rows = [_bound_row(next(iter(runs.values())))]
    for policy in runs:
        rows.append(make_row(policy, [item for item in reports if item.policy == policy]))
    title = f"{deployment}, load {load}, {programs} programs, seeds {seeds}, faults {faults}"
    if output == "json":
        click.echo(json.dumps({"title": title, "rows": [vars(row) for row in rows]}, indent=2))
    else:
        click.echo(title)
        _print_table(rows)
    if plot is not None:
        draw(rows, title, plot)
