"""Measure the processor time of machines per request and while idle, against another checkout.

    python -m features.processor_bench [--against CHECKOUT] [--limits] [--rounds 3]

The machines are real processes on loopback with test servers. Rounds of this and the other
checkout alternate, so that other load on the computer affects both.
"""

import os
import statistics
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import click

from features.support.platform_world import ROOT, PlatformWorld, stream

#: Durations of the idle and of the busy phase in seconds.
IDLE_S = 5.0
BUSY_S = 6.0
#: Number of clients, and each one's pause between requests: some 200 requests a second in total.
CLIENTS = 6
PAUSE_S = 0.02
#: Seconds after a new rate limit until every replica issues permits.
SETTLE_S = 2.5
#: Every third request is a turn of eleven events; the others are lookups.
TURN_EVERY = 3
REQUESTS_PER_PROGRAM = 9
KEY = "key-a"
TENANT = {"name": "alloy", "api_keys": [KEY], "priority": 1, "rate_per_s": 100_000, "burst": 1000}


class Usage(NamedTuple):
    """Processor time and wake-ups of a process since its start."""

    cpu_s: float
    wakeups: int


class Cost(NamedTuple):
    """Cost of the machines of a role in a round.

    :ivar idle_share: share of a core that one idle machine uses.
    :ivar idle_wakeups: wake-ups per second of one idle machine.
    :ivar request_ms: processor time per request of all machines of the role, in milliseconds.
    :ivar request_wakeups: wake-ups per request of all machines of the role.
    """

    idle_share: float
    idle_wakeups: float
    request_ms: float
    request_wakeups: float


class _World(PlatformWorld):
    """Machines that run from a checkout."""

    def __init__(self, checkout: Path) -> None:
        self._checkout = checkout
        super().__init__()

    def command(self, name: str) -> list[str]:
        """Return the command that runs a machine."""
        # The checkout is put first on Python's module path.
        program = f"import sys; sys.path.insert(0, {str(self._checkout)!r})"
        run = "import runpy; runpy.run_module('yarrowwall.platform', run_name='__main__')"
        python, *_ = super().command(name)
        return [python, "-c", f"{program}; {run}"]


def usage(pid: int) -> Usage:
    """Return the resource usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    values = dict(line.split(":", 1) for line in lines)
    return Usage(cpu_s, int(values["voluntary_ctxt_switches"]))


@contextmanager
def _measured(world: PlatformWorld) -> Iterator[dict[str, Usage]]:
    """Yield a dict that is filled with each machine's usage at the end of the context."""
    before = {name: usage(process.pid) for name, process in world.processes.items()}
    used: dict[str, Usage] = {}
    yield used
    for name, process in world.processes.items():
        after = usage(process.pid)
        used[name] = Usage(*(new - old for new, old in zip(after, before[name], strict=True)))


def play(checkout: Path, has_limits: bool) -> dict[str, Cost]:
    """Run a round; return the costs by role."""
    world = _World(checkout)
    try:
        world.wait_ready()
        world.tenants = [TENANT] if has_limits else None
        world.add_route("talk", "streaming")
        world.add_route("lookup", "idempotent")
        world.add_server("talk", lambda call, arrival: stream(call, arrival, range(1, 12)))
        world.add_server("lookup")
        world.publish()
        time.sleep(SETTLE_S)
        with _measured(world) as idle:
            time.sleep(IDLE_S)
        with _measured(world) as busy:
            requests = _run_clients(world, has_limits)
    finally:
        world.stop()
    return {role: _cost(role, idle, busy, requests) for role in ("edge", "storage")}


def _cost(role: str, idle: dict[str, Usage], busy: dict[str, Usage], requests: int) -> Cost:
    names = [name for name in idle if name.startswith(role)]
    return Cost(
        sum(idle[name].cpu_s for name in names) / len(names) / IDLE_S,
        sum(idle[name].wakeups for name in names) / len(names) / IDLE_S,
        sum(busy[name].cpu_s for name in names) / requests * 1000.0,
        sum(busy[name].wakeups for name in names) / requests,
    )


def _run_clients(world: PlatformWorld, has_limits: bool) -> int:
    """Run clients for ``BUSY_S``; return the number of successful requests."""
    counts = [0] * CLIENTS
    end_s = time.monotonic() + BUSY_S
    threads = [
        threading.Thread(target=_client, args=(world, number, has_limits, end_s, counts))
        for number in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts)


def _client(
    world: PlatformWorld, number: int, has_limits: bool, end_s: float, counts: list[int]
) -> None:
    connection = world.connect(number % 2)
    headers = {"X_Session_Id": f"s{number}", "X_Finish_Ms": "5000"}
    headers |= {"X_Key": KEY} if has_limits else {}
    sent = 0
    while time.monotonic() < end_s:
        sent += 1
        program = {"X_Program_Id": f"p{number}-{sent // REQUESTS_PER_PROGRAM}"}
        if sent % TURN_EVERY:
            answer = world.ask("lookup", None, connection=connection, **program, **headers)
        else:
            prompt = f"aa:80,{number * 10_000 + sent:x}:20"
            turn = {"X_Token_Budget": "9000", "X_Token_Count": "100,40", "X_Prompt_Prefix": prompt}
            answer = world.ask(
                "talk", b"question", connection=connection, **program, **turn, **headers
            )
        counts[number] += answer.status == 200
        time.sleep(PAUSE_S)


@click.command()
@click.option("--against", type=click.Path(exists=True, path_type=Path), help="Other checkout.")
@click.option("--limits", is_flag=True, help="Send all requests for a tenant with a rate limit.")
@click.option("--rounds", default=3, show_default=True)
def main(against: Path | None, limits: bool, rounds: int) -> None:
    """Print the median, minimum and maximum of each figure over the rounds."""
    checkouts = {"this": ROOT} | ({"other": against.resolve()} if against else {})
    found: dict[str, list[dict[str, Cost]]] = {name: [] for name in checkouts}
    for _ in range(rounds):
        for name, checkout in checkouts.items():
            found[name].append(play(checkout, limits))
    for name, played in found.items():
        for role in ("edge", "storage"):
            costs = [one[role] for one in played]
            figures = [
                _format_figures(field, [getattr(cost, field) for cost in costs])
                for field in Cost._fields
            ]
            click.echo(f"{name} {role}: {', '.join(figures)}")


def _format_figures(name: str, values: list[float]) -> str:
    return f"{name} {statistics.median(values):.4g} ({min(values):.4g} to {max(values):.4g})"


if __name__ == "__main__":
    main()
