"""Report of a simulation run as a JSON object."""

import json
import math

from pydantic import BaseModel

from yarrowwall.standalone.simulation.world import World


class Percentiles(BaseModel):
    """Latency percentiles in seconds; None without measurements."""

    p50: float | None
    p95: float | None
    p99: float | None


class RunReport(BaseModel):
    """Measurements of one run."""

    deployment: str
    seed: int
    policy: str
    load: float
    violations: list[str]
    programs_completed: int
    calls_completed: int
    faults_injected: dict[str, int]
    program_latency_seconds: Percentiles
    urgent_latency_seconds: Percentiles
    routine_latency_seconds: Percentiles
    wasted_cache_ratio: float
    simulated_seconds: float
    checks: dict[str, int]
    trace_digest: str

    def text(self) -> str:
        """Return the report as JSON that is byte-identical for identical runs."""
        return json.dumps(self.model_dump(), indent=2, sort_keys=True)


def percentile(values: list[float], fraction: float) -> float | None:
    """Return the nearest-rank percentile, rounded to microseconds; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[max(0, math.ceil(fraction * len(ordered)) - 1)], 6)


def percentiles(values: list[float]) -> Percentiles:
    """Return the reported percentiles of latencies."""
    return Percentiles(
        p50=percentile(values, 0.5), p95=percentile(values, 0.95), p99=percentile(values, 0.99)
    )


def make_report(world: World) -> RunReport:
    """Return the report of a finished run."""
    observer = world.observer
    latencies = world.latencies
    prompt_tokens = max(1, observer.prompt_tokens)
    return RunReport(
        deployment=world.settings.deployment.name,
        seed=world.settings.seed,
        policy=world.settings.policy,
        load=world.settings.load,
        violations=observer.violations,
        programs_completed=len(latencies),
        calls_completed=observer.calls_completed,
        faults_injected={
            str(kind): count for kind, count in sorted(world.injector.injected.items())
        },
        program_latency_seconds=percentiles([item.seconds for item in latencies]),
        urgent_latency_seconds=percentiles([i.seconds for i in latencies if i.urgent]),
        routine_latency_seconds=percentiles([i.seconds for i in latencies if not i.urgent]),
        wasted_cache_ratio=round(observer.wasted_tokens / prompt_tokens, 6),
        simulated_seconds=round(world.env.now, 6),
        checks={str(name): count for name, count in sorted(observer.checks.items())},
        trace_digest=observer.trace_digest(),
    )
