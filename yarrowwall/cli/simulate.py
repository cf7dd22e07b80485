"""Command that runs the simulation."""

import sys

import click

from yarrowwall.standalone.core.scheduling.policies import POLICY_NAMES
from yarrowwall.standalone.simulation.deployments import DEPLOYMENTS
from yarrowwall.standalone.simulation.faults import FaultKind
from yarrowwall.standalone.simulation.report import RunReport, make_report
from yarrowwall.standalone.simulation.world import RunSettings, World

#: Share of callers that disconnect, loop or hang in a run with faults.
ODD_SHARE = 0.15


def parse_faults(text: str) -> tuple[FaultKind, ...]:
    """Return the fault kinds given by ``all``, ``none`` or a comma-separated list.

    :raises click.BadParameter: if a kind is unknown.
    """
    if text == "all":
        return tuple(FaultKind)
    if text == "none":
        return ()
    try:
        return tuple(FaultKind(name) for name in text.split(","))
    except ValueError as error:
        known = ", ".join(FaultKind)
        raise click.BadParameter(f"{error}; known kinds: {known}") from error


@click.command()
@click.option("--deployment", type=click.Choice(sorted(DEPLOYMENTS)), required=True)
@click.option("--seed", type=int, required=True)
@click.option("--programs", type=click.IntRange(1), default=60, show_default=True)
@click.option(
    "--faults",
    default="none",
    show_default=True,
    help="all, none, or a comma-separated list of kinds.",
)
@click.option(
    "--load", type=click.FloatRange(0.01, 5.0), default=0.6, show_default=True,
    help="Fraction of the engines' capacity.",
)  # fmt: skip
@click.option("--policy", type=click.Choice(POLICY_NAMES), default="yarrowwall")
@click.option("--output", type=click.Choice(["json"]), default="json")
def simulate(
    deployment: str, seed: int, programs: int, faults: str, load: float, policy: str, output: str
) -> None:
    """Simulate a deployment on a virtual clock; exit with code 1 if a guarantee was violated."""
    kinds = parse_faults(faults)
    settings = RunSettings(
        DEPLOYMENTS[deployment],
        seed,
        programs,
        load,
        kinds,
        odd_share=ODD_SHARE if kinds else 0.0,
        policy=policy,
    )
    report = run_once(settings)
    click.echo(report.text())
    sys.exit(1 if report.violations else 0)


def run_once(settings: RunSettings) -> RunReport:
    """Run one simulation and return its report."""
    world = World(settings)
    world.run()
    return make_report(world)
