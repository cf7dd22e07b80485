"""Commands that run stand-ins of external systems."""

import json
import socket
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from yarrowwall.standalone.standins.web import StandInServer

_listen_option = click.option(
    "--listen", required=True, help="Address to listen on, 127.0.0.1:PORT; port 0 picks a free one."
)


@click.group()
def standin() -> None:
    """Run a stand-in of an external system."""


def _listener(address: str) -> socket.socket:
    from yarrowwall.standalone.runtime.service import listen

    return listen(address)


def _serve(server: "StandInServer") -> None:
    click.echo(f"listening on {server.address}")
    server.wait()


@standin.command()
@_listen_option
@click.option("--objects", type=click.Path(path_type=Path), help="JSON file of objects by name.")
def platform(listen: str, objects: Path | None) -> None:
    """Run a stand-in of the platform's object service."""
    listener = _listener(listen)
    from yarrowwall.standalone.standins.platform import PlatformStandIn

    stand_in = PlatformStandIn(listener)
    if objects is not None:
        for name, document in json.loads(objects.read_text()).items():
            stand_in.set_object(name, document)
    _serve(stand_in.server)


@standin.command()
@_listen_option
@click.option("--model", "models", multiple=True, default=("assistant",), help="Model served.")
@click.option("--speed", default=1.0, help="Multiple of the model's default speed.")
@click.option("--max-batch", default=16, help="Maximum sequences in one batch.")
@click.option("--cache-tokens", default=200_000, help="Size of the prefix cache in tokens.")
def engine(
    listen: str, models: tuple[str, ...], speed: float, max_batch: int, cache_tokens: int
) -> None:
    """Run a stand-in of a model engine."""
    listener = _listener(listen)
    from yarrowwall.standalone.models.engine import EngineParameters
    from yarrowwall.standalone.standins.engine import EngineStandIn

    parameters = EngineParameters(max_batch=max_batch, cache_tokens=cache_tokens)
    _serve(EngineStandIn(listener, models, parameters, speed).server)


@standin.command()
@_listen_option
@click.option("--seconds", default=0.005, help="Duration of a lookup.")
def records(listen: str, seconds: float) -> None:
    """Run a stand-in of a record server."""
    listener = _listener(listen)
    from yarrowwall.standalone.standins.records import RecordsStandIn

    _serve(RecordsStandIn(listener, seconds).server)


@standin.command()
@_listen_option
@click.option("--seconds", default=0.05, help="Duration of a use.")
def tool(listen: str, seconds: float) -> None:
    """Run a stand-in of a tool service."""
    listener = _listener(listen)
    from yarrowwall.standalone.standins.records import ToolStandIn

    _serve(ToolStandIn(listener, seconds).server)
