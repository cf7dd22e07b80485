"""Commands that run the stand-ins of the outside systems."""

import json
import socket
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from yarrowwall.standalone.standins.web import StandInServer

_listen_option = click.option(
    "--listen", required=True, help="Address to listen on, 127.0.0.1:PORT; port 0 picks one."
)


@click.group()
def standin() -> None:
    """Run a stand-in of an outside system."""


def _listener(address: str) -> socket.socket:
    from yarrowwall.standalone.runtime.service import listen

    return listen(address)


def _serve(server: "StandInServer") -> None:
    click.echo(f"listening on {server.address}")
    server.wait()


@standin.command()
@_listen_option
@click.option("--objects", type=click.Path(path_type=Path), help="JSON file: objects by name.")
def platform(listen: str, objects: Path | None) -> None:
    """The platform's object service."""
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
@click.option("--speed", default=1.0, help="Factor on the model's own speed.")
@click.option("--max-batch", default=16, help="Sequences in one batch.")
@click.option("--cache-tokens", default=200_000, help="Prefix cache in tokens.")
def engine(
    listen: str, models: tuple[str, ...], speed: float, max_batch: int, cache_tokens: int
) -> None:
    """A model engine."""
    listener = _listener(listen)
    from yarrowwall.standalone.models.engine import EngineParameters
    from yarrowwall.standalone.standins.engine import EngineStandIn

    parameters = EngineParameters(max_batch=max_batch, cache_tokens=cache_tokens)
    _serve(EngineStandIn(listener, models, parameters, speed).server)


@standin.command()
@_listen_option
@click.option("--seconds", default=0.005, help="Time one lookup takes.")
def records(listen: str, seconds: float) -> None:
    """A record server."""
    listener = _listener(listen)
    from yarrowwall.standalone.standins.records import RecordsStandIn

    _serve(RecordsStandIn(listener, seconds).server)


@standin.command()
@_listen_option
@click.option("--seconds", default=0.05, help="Time one use takes.")
def tool(listen: str, seconds: float) -> None:
    """A tool service."""
    listener = _listener(listen)
    from yarrowwall.standalone.standins.records import ToolStandIn

    _serve(ToolStandIn(listener, seconds).server)
