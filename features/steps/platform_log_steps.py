"""Steps about logs and metrics of the machines."""

import gzip
import http.client
import json
import os
import time

from behave import then, when
from behave.runner import Context
from click.testing import CliRunner

from features.support.platform_scripts import (
    world,
)
from yarrowwall.cli.explain import explain

# Logs and metrics


@then("explain shows the program as admitted, granted, sent, answered, settled")
def explained(context: Context) -> None:
    logs = sorted(world(context).folder.glob("*.log"))
    zipped = logs[0].with_suffix(".log.gz")
    zipped.write_bytes(gzip.compress(logs[0].read_bytes() + b"\n{broken\nno line\n"))
    found = CliRunner().invoke(
        explain, ["spender", str(zipped), *map(str, logs[1:]), "--output", "json"]
    )
    assert found.exit_code == 0, found.output
    kinds = [json.loads(line)["kind"] for line in found.output.splitlines()]
    expected = [
        "AttemptAdmitted",
        "BudgetDecided",
        "AttemptSent",
        "AttemptAnswered",
        "BudgetSettled",
    ]
    assert [kind for kind in kinds[: len(expected)] if kind in expected] == expected, kinds


@then("explain of an unknown id ends with exit code 1")
def unexplained(context: Context) -> None:
    logs = sorted(world(context).folder.glob("*.log"))
    assert CliRunner().invoke(explain, ["nobody", str(logs[0])]).exit_code == 1


@then("the metrics of gateway 0 count 2 answers and 2 grants")
def metrics_count(context: Context) -> None:
    host, _, port = world(context).addresses["edge-0"]["metrics"].partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    assert 'yarrowwall_answers_total{status="200"} 2.0' in text, text
    assert 'yarrowwall_budget_decisions_total{granted="True"} 2.0' in text, text


@when("the log pipe of a gateway is full")
def fill_log_pipe(context: Context) -> None:
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    world(context).kill("edge-0")
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    world(context).start_machine("edge-0", is_gateway=True, output=writer)
    os.close(writer)
    world(context).wait_ready()
    # A ready gateway has its configuration; it may get the servers a moment later.
    time.sleep(0.5)
