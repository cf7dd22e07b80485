"""Steps about a machine's settings and the order of turns."""

import tempfile
from pathlib import Path

from behave import given, then
from behave.runner import Context
from click.testing import CliRunner

from yarrowwall.cli.node import check_settings
from yarrowwall.machine.settings import parse_machine_settings
from yarrowwall.model import Attempt, ProgramContext
from yarrowwall.policy.urgency import turn_rank

VALID = {
    "node_id": '"edge-1"',
    "zone": '"zone-a"',
    "ip": '"10.0.0.1"',
    "first_peer_port": "7380",
    "last_peer_port": "7395",
    "platform_address": '"10.0.0.9:8142"',
}


def text_of(values: dict[str, str]) -> str:
    return "".join(f"{key} = {value}\n" for key, value in values.items())


@given('machine settings with an additional key "{key}"')
def settings_with(context: Context, key: str) -> None:
    context.settings = text_of({**VALID, key: "299792458"})


@then("they are accepted")
def accepted(context: Context) -> None:
    assert parse_machine_settings(context.settings).node_id == "edge-1"


@given('machine settings whose "{key}" is {value}')
def settings_whose(context: Context, key: str, value: str) -> None:
    values = {**VALID, key: value}
    if value == "missing":
        del values[key]
    context.settings = text_of(values)


@then('the check names "{key}" in one line and ends with exit code 2')
def check_names(context: Context, key: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "machine.toml"
        path.write_text(context.settings)
        result = CliRunner().invoke(check_settings, ["--machine", str(path)])
    assert result.exit_code == 2, result.output
    (line,) = result.output.splitlines()
    assert line.startswith(f"{key}: "), line


@given("a turn of a program with {seconds} s left on a route of priority {priority:d}")
def turn_with(context: Context, seconds: str, priority: int) -> None:
    finish_at = None if seconds == "unknown" else 100.0 + float(seconds)
    program = ProgramContext("p", None, 10, None, finish_at)
    context.attempt = Attempt("a", "POST", "/", "h", [], b"", 100.0, 103.0, program)
    context.attempt.priority = priority


@then("its rank is {rank:d}")
def rank_is(context: Context, rank: int) -> None:
    assert turn_rank(context.attempt, 100.0) == rank
