"""The benchmark: calls and relayed tokens a second through real processes' code."""

import json
import resource
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from yarrowwall.standins.local_cluster import LocalCluster

MODEL = "assistant"
ANSWER_TOKENS = 20
#: The engines answer at once, so that only the path is measured.
ENGINE_SPEED = 100_000.0


@dataclass
class Sample:
    """What a number of calls took.

    :ivar first: seconds to the first byte of each call.
    """

    calls: int
    tokens: int
    seconds: float
    processor_seconds: float
    first: list[float]

    def line(self, name: str) -> str:
        """Return one line of the report."""
        first = sorted(self.first)[len(self.first) // 2] * 1000
        busy = self.processor_seconds / self.calls * 1000
        return (
            f"{name:<28}{self.calls / self.seconds:>9.0f} calls/s"
            f"{self.tokens / self.seconds:>10.0f} tokens/s"
            f"{first:>9.2f} ms to first byte{busy:>8.3f} ms processor a call"
        )


def _measure(callers: int, calls: int, one_call: Callable[[int], tuple[int, float]]) -> Sample:
    """Make calls from so many greenlets; each returns tokens and seconds to the first byte."""
    import eventlet

    sample = Sample(0, 0, 0.0, 0.0, [])

    def run(number: int) -> None:
        for _ in range(calls // callers):
            tokens, first = one_call(number)
            sample.calls += 1
            sample.tokens += tokens
            sample.first.append(first)

    started = time.perf_counter()
    processor = _processor_seconds()
    pool = eventlet.GreenPool(callers)
    for number in range(callers):
        pool.spawn_n(run, number)
    pool.waitall()
    sample.seconds = time.perf_counter() - started
    sample.processor_seconds = _processor_seconds() - processor
    return sample


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class _Caller:
    """Streams calls against a base URL."""

    def __init__(self) -> None:
        import urllib3

        self._pool = urllib3.PoolManager(num_pools=16, maxsize=256, retries=False)

    def stream(self, url: str, headers: dict[str, str]) -> tuple[int, float]:
        """Make one streamed call; return its tokens and the time to its first byte."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "the benchmark's question"}],
            "max_tokens": ANSWER_TOKENS,
            "stream": True,
        }
        started = time.perf_counter()
        first = 0.0
        data = b""
        response = self._pool.request(
            "POST",
            f"{url}/v1/chat/completions",
            body=json.dumps(body).encode(),
            headers=headers,
            preload_content=False,
        )
        for chunk in response.read_chunked():
            first = first or time.perf_counter() - started
            data += chunk
        response.release_conn()
        if not data.endswith(b"data: [DONE]\n\n"):
            raise click.ClickException(f"an answer is not whole: {data[-200:]!r}")
        return data.count(b'"content"'), first


@click.command()
@click.option("--callers", type=click.IntRange(1), default=32, show_default=True)
@click.option("--calls", type=click.IntRange(1), default=3000, show_default=True)
def bench(callers: int, calls: int) -> None:
    """Measure the path beside direct calls; everything shares one process and core.

    Callers, engines, platform and three nodes run in this one process, so the
    figures are what one core does for all of them together.
    """
    from yarrowwall.standins.local_cluster import LocalCluster

    with tempfile.TemporaryDirectory() as folder:
        cluster = LocalCluster(Path(folder), (MODEL,), ENGINE_SPEED)
        cluster.start()
        _run_benchmark(cluster, callers, calls)


def _run_benchmark(cluster: "LocalCluster", callers: int, calls: int) -> None:
    caller = _Caller()
    engines = [f"http://{engine.server.address}" for engine in cluster.engines]
    direct = _measure(
        callers, calls, lambda number: caller.stream(engines[number % len(engines)], {})
    )
    click.echo(direct.line("direct to the engine"))
    through = _measure(
        callers, calls, lambda number: caller.stream(cluster.url(number % len(cluster.nodes)), {})
    )
    click.echo(through.line("gateway, owner, 3 journals"))
    added = (through.processor_seconds - direct.processor_seconds) / through.calls
    click.echo(f"processor time the nodes add a call: {added * 1000:.3f} ms")
    click.echo(f"calls a second a node core: {1 / added:.0f}")
    click.echo(f"relayed tokens a second a node core: {through.tokens / through.calls / added:.0f}")
