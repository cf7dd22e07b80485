"""Command that runs a demo of the whole system in one process."""

import sys
import tempfile
from pathlib import Path
from urllib.parse import urlsplit

import click

MODEL = "assistant"
#: Speed of the demo's engines as a multiple of their model's default speed.
ENGINE_SPEED = 4.0
_PROPAGATION_TIMEOUT_SECONDS = 8.0
#: Timeout of a request in seconds.
ANSWER_SECONDS = 60.0


class _DemoClient:
    """Sends requests to the nodes and prints the calls and their answers."""

    def __init__(self, cluster) -> None:
        self._cluster = cluster

    def request(
        self, node: int, method: str, path: str, body: dict | None = None, **headers: str
    ) -> dict:
        """Send a request to a node and return its answer; exit if it is an error."""
        from yarrowwall.http_client import ask, json_request

        named = {f"Yarrowwall-{name.capitalize()}": value for name, value in headers.items()}
        address = urlsplit(self._cluster.url(node)).netloc
        response = ask(json_request(method, address, path, body, named), ANSWER_SECONDS)
        document = response.json()
        if response.status >= 400:
            click.echo(f"{method} {path}: {response.status} {document}", err=True)
            sys.exit(1)
        return document

    def call(self, node: int, program: str, number: int, text: str, **headers: str) -> str:
        """Run a call of a program through a node and return the answer's text."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 24,
        }
        answer = self.request(
            node, "POST", "/v1/chat/completions", body, program=program, call=str(number), **headers
        )
        content = answer["choices"][0]["message"]["content"]
        usage = answer["usage"]
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        click.echo(f"  call {number} through node {node}: {text}")
        click.echo(f"    -> {content[:40]}... ({usage['total_tokens']} tokens, {cached} cached)")
        return content

    def open(self, node: int, **body: object) -> str:
        """Open a program and return its id."""
        return self.request(node, "POST", "/v1/programs", body)["id"]


@click.command()
def demo() -> None:
    """Run a platform, engines, record servers and three nodes, and some example requests."""
    import eventlet

    from yarrowwall.standalone.standins.local_cluster import LocalCluster

    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), (MODEL,), ENGINE_SPEED)
        cluster.start()
        click.echo("three nodes in three zones, three engines, two record servers: ready")
        client = _DemoClient(cluster)
        _run_program(client, cluster.tool.server.address)
        _run_lookup(client)
        _run_plan(client, cluster, eventlet.sleep)
        click.echo("done")


def _run_program(client: _DemoClient, tool_address: str) -> None:
    click.echo("a sourcing investigation: chained calls, a tool pause and a sub-agent")
    program = client.open(0, tenant="alloy", desk="sourcing", budget_tokens=20_000)
    click.echo(f"  program {program}")
    client.call(0, program, 1, "Who supplies EN-GJS-500-7 castings?")
    client.call(1, program, 2, "Compare the two nearest suppliers.")
    _use_tool(tool_address)
    sub_agent = client.open(
        1, tenant="alloy", desk="sourcing", budget_tokens=4_000, parent_program=program
    )
    click.echo(f"  sub-agent {sub_agent}, its budget drawn from the program's")
    finding = client.call(2, sub_agent, 1, "Check the certificates of supplier 2.")
    client.request(2, "POST", f"/v1/programs/{sub_agent}/end")
    client.call(2, program, 3, f"The sub-agent found: {finding}. Conclude.")
    ended = client.request(1, "POST", f"/v1/programs/{program}/end")
    click.echo(f"  ended: {ended['spent_tokens']} of {ended['budget_tokens']} tokens spent")


def _use_tool(tool_address: str) -> None:
    from yarrowwall.http_client import ask, json_request

    request = json_request("POST", tool_address, "/tools", {"input": "prices"})
    response = ask(request, ANSWER_SECONDS)
    click.echo(f"  tool pause: {response.json()['result'][:12]}")


def _run_lookup(client: _DemoClient) -> None:
    body = {"kind": "safety-bulletin", "key": "SB-104"}
    answer = client.request(1, "POST", "/v1/lookups", body, priority="urgent")
    click.echo(f"an urgent lookup: {answer['kind']}/{answer['key']} -> {answer['record'][:12]}")


def _run_plan(client: _DemoClient, cluster, sleep) -> None:
    intents = {"budgets": [{"desk": "sourcing", "tokens": 50_000}]}
    proposed = client.request(0, "POST", "/v1/operator/intents", intents)["plan"]
    click.echo(f"an operator's plan {proposed['plan_id']}: {proposed['effects'][0]}")
    path = f"/v1/operator/plans/{proposed['plan_id']}/confirm"
    version = client.request(2, "POST", path)["version"]
    waited_s = 0.0
    while waited_s < _PROPAGATION_TIMEOUT_SECONDS:
        versions = [
            client.request(number, "GET", "/v1/operator/status")["configuration_version"]
            for number in range(len(cluster.nodes))
        ]
        if all(found >= version for found in versions):
            click.echo(f"  configuration {version} is in force on every node")
            return
        sleep(0.1)
        waited_s += 0.1
    click.echo("the configuration did not reach every node", err=True)
    sys.exit(1)
