"""The scale run."""

import click

from yarrowwall.simulation.scale import HEADER, measure


@click.command()
@click.option("--members", default="100,400,1000", show_default=True, help="Sizes, with commas.")
@click.option("--warm-up", default=6.0, show_default=True, help="Simulated seconds.")
@click.option("--seconds", default=6.0, show_default=True, help="Simulated seconds measured.")
def scale(members: str, warm_up: float, seconds: float) -> None:
    """Measure gossip and the spread of a configuration among hollow nodes."""
    click.echo(HEADER)
    for size in members.split(","):
        click.echo(measure(int(size), warm_up, seconds).line())
