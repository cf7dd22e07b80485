"""Compare ways to keep tenants' limits over many gateways."""

import json
from pathlib import Path

import click

from yarrowwall.simulation.quota_comparison import SCENARIOS, Figures, compare
from yarrowwall.simulation.quota_ways import WAYS


def _print_table(rows: list[Figures]) -> None:
    click.echo(
        f"{'scenario':<18}{'way':<22}{'refused':>9}{'in vain':>9}{'overshoot':>11}"
        f"{'messages':>10}{'bytes/gw/s':>12}"
    )
    for row in rows:
        click.echo(
            f"{row.scenario:<18}{row.way:<22}{row.refused:>9.4f}{row.refused_in_vain:>9.4f}"
            f"{row.overshoot:>11.1f}{row.messages_per_request:>10.2f}"
            f"{row.bytes_per_gateway_s:>12.0f}"
        )


def draw(rows: list[Figures], path: Path) -> None:
    """Draw the part refused in vain by scenario and way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    width = 0.8 / len(WAYS)
    for number, way in enumerate(WAYS):
        values = [row.refused_in_vain for row in rows if row.way == way.name]
        places = [place + number * width for place in range(len(values))]
        axes.bar(places, values, width, label=way.name)
    axes.set_xticks([place + 0.4 for place in range(len(SCENARIOS))])
    axes.set_xticklabels([scenario.name for scenario in SCENARIOS])
    axes.set_ylabel("requests refused in vain (part of all)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


@click.command()
@click.option("--gateways", type=click.IntRange(1, 4000), default=57, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), default=None, help="PNG or SVG to write.")
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
def quota_experiment(gateways: int, seed: int, plot: Path | None, output: str) -> None:
    """Compare ways to keep tenants' limits, on the same requests."""
    rows = compare(gateways, seed)
    if output == "json":
        click.echo(json.dumps([row._asdict() for row in rows], indent=2))
    else:
        _print_table(rows)
    if plot is not None:
        draw(rows, plot)
