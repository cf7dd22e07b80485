"""The ``yarrowwall`` command."""

# The runtime patches the standard library for eventlet, so it must be imported first.
import yarrowwall.standalone.runtime  # noqa: F401  isort: skip

import click

from yarrowwall.cli.conversations import conversations
from yarrowwall.cli.demo import demo
from yarrowwall.cli.experiment import experiment
from yarrowwall.cli.explain import explain
from yarrowwall.cli.failures import failures
from yarrowwall.cli.node import check_settings, journal_init, node
from yarrowwall.cli.operator import intent, plan, replica, status
from yarrowwall.cli.simulate import simulate
from yarrowwall.cli.stale import stale
from yarrowwall.cli.standin import standin


@click.group()
@click.version_option(package_name="yarrowwall")
def main() -> None:
    """Scheduler for agent programs."""


COMMANDS = (
    node,
    check_settings,
    journal_init,
    standin,
    demo,
    intent,
    plan,
    status,
    replica,
    simulate,
    experiment,
    explain,
    failures,
    stale,
    conversations,
)
for command in COMMANDS:
    main.add_command(command)
