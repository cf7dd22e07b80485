"""Commands that run and prepare a node."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from yarrowwall.exceptions import SettingsError, YarrowwallError
from yarrowwall.machine.settings import load_machine_settings
from yarrowwall.settings_file import EXIT_BAD_SETTINGS
from yarrowwall.standalone import logs
from yarrowwall.standalone.settings import NodeFileSettings, load_settings

_Settings = TypeVar("_Settings")
_PATH = click.Path(dir_okay=False, path_type=Path)


def _load_node_settings(path: Path) -> NodeFileSettings:
    return load_settings(path, NodeFileSettings)


def _load_or_exit(path: Path, load: Callable[[Path], _Settings]) -> _Settings:
    """Return the settings in a file; if it has faults, print them and exit."""
    try:
        return load(path)
    except SettingsError as error:
        for fault in error.faults:
            click.echo(fault, err=True)
        sys.exit(EXIT_BAD_SETTINGS)


@click.command()
@click.option("--settings", "path", type=_PATH, required=True, help="TOML settings file.")
def node(path: Path) -> None:
    """Run a node until SIGTERM; it then finishes the requests in progress and exits."""
    settings = _load_or_exit(path, _load_node_settings)
    logs.set_up(settings.node_id, settings.zone, settings.log_level)
    from yarrowwall.standalone.runtime.service import run_node

    try:
        sys.exit(run_node(settings))
    except (YarrowwallError, OSError) as error:
        raise click.ClickException(str(error)) from error


@click.command("check-settings")
@click.option("--machine", is_flag=True, help="Check the settings of a machine on a platform.")
@click.argument("path", type=_PATH)
def check_settings(machine: bool, path: Path) -> None:
    """Check a settings file; print one line per fault and exit with code 2 if there are any."""
    if machine:
        _load_or_exit(path, load_machine_settings)
    else:
        _load_or_exit(path, _load_node_settings)
    click.echo(f"{path}: ok")


@click.command("journal-init")
@click.option("--folder", type=click.Path(path_type=Path), required=True, help="Data folder.")
@click.option("--replica-id", required=True, help="Id of the replica in the shard map.")
def journal_init(folder: Path, replica_id: str) -> None:
    """Write the replica id to a new data folder, once, before the first start."""
    from yarrowwall.storage import identity

    try:
        found = identity.initialise(folder, replica_id)
    except YarrowwallError as error:
        raise click.ClickException(str(error)) from error
    if found != replica_id:
        raise click.ClickException(f"the folder already has the replica id {found}")
    click.echo(f"{folder}: {replica_id}")
