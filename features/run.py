"""Run all scenarios and print one line ``N passed, N failed`` at the end.

Scenarios run in several processes, a few of one feature in each: a process of its own for each
would spend more time on imports than most scenarios take. The scenarios of a feature that share a
running system run in one process, those tagged ``own_process`` in one each. Few of those that start
machines run concurrently, since they measure time; those that only compute run at the same time.
Those tagged ``long`` begin first. Those tagged ``alone`` run after all others, one at a time.

Scenarios named in KNOWN-RED.txt (``scenario name | command and seed | what was seen | issue``) are
run and printed; their failures do not count. One that passes counts as failed, so that it is
removed from the list, unless what was seen begins with "sometimes".
"""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from behave.model import Feature, Scenario
from behave.parser import parse_file

from features.support.processes import PORT_RANGE_VARIABLE

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Begins what was seen of a scenario that fails at times only.
SOMETIMES = "sometimes"
#: Tags of scenarios that start processes.
SYSTEM_TAGS = {
    "own_system",
    "platform_world",
    "proxied_world",
    "crowd_world",
    "cut_world",
    "real_processes",
    "server_ends_world",
    "zoned_world",
    "two_losses_world",
}
SHARED_TAG = "shared_system"
#: Tag of scenarios that run in a process of their own, since they fail beside others or take
#: minutes.
OWN_PROCESS_TAG = "own_process"
#: Tag of scenarios that take much longer than others: they begin first, in smaller batches.
LONG_TAG = "long"
#: Tag of scenarios that measure memory or load their machines: nothing else runs beside them.
ALONE_TAG = "alone"
#: Most scenarios of one job.
MACHINE_BATCH = 4
COMPUTING_BATCH = 12
LONG_BATCH = 3
#: Maximum number of concurrent jobs, and of those that start machines: each some five processes
#: that mostly wait, and measures time.
CONCURRENT_JOBS = max(1, (os.cpu_count() or 1) - 1)
MACHINE_JOBS = max(1, CONCURRENT_JOBS // 2)
#: Seconds after which a job counts as hung.
JOB_SECONDS = 1200.0
#: Number of slowest jobs whose durations are printed.
SLOWEST_SHOWN = 5


class Job(NamedTuple):
    """Scenarios that one process runs.

    :param number: index of the job, which selects its port range.
    :param places: ``file:line`` of each scenario, or a whole file.
    :param names: the scenarios' names.
    :param starts_machines: whether its scenarios start processes and measure time.
    :param is_long: whether it takes much longer than others.
    :param is_alone: whether nothing may run beside it.
    """

    number: int
    locations: list[str]
    names: list[str]
    starts_machines: bool
    is_long: bool
    is_alone: bool


class Outcome(NamedTuple):
    """Result of a job.

    :param results: whether each scenario passed, by name.
    :param text: its output.
    """

    job: Job
    results: dict[str, bool]
    text: str
    seconds: float


def known_red() -> dict[str, bool]:
    """Return the names of the scenarios that may fail, and whether they may pass too."""
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    entries = [line.split("|") for line in lines if not line.startswith("#")]
    return {entry[0].strip(): entry[2].strip().startswith(SOMETIMES) for entry in entries}


def find_jobs(paths: Iterable[Path]) -> list[Job]:
    """Return the jobs of feature files, long ones first."""
    jobs: list[Job] = []
    for path in paths:
        feature = parse_file(str(path))
        scenarios = list(feature.walk_scenarios())
        if SHARED_TAG in feature.tags:
            jobs.append(_job(str(path), scenarios, starts_machines=True))
            continue
        for batch in _batches(feature, scenarios):
            jobs.append(_job(str(path), batch, _starts_machines(feature, batch[0])))
    jobs.sort(key=lambda job: not job.is_long)
    return [job._replace(number=number) for number, job in enumerate(jobs)]


def _job(path: str, scenarios: list[Scenario], starts_machines: bool) -> Job:
    is_long = any(LONG_TAG in scenario.effective_tags for scenario in scenarios)
    is_alone = any(ALONE_TAG in scenario.effective_tags for scenario in scenarios)
    locations = [f"{path}:{scenario.line}" for scenario in scenarios]
    names = [scenario.name.strip() for scenario in scenarios]
    return Job(0, locations, names, starts_machines, is_long, is_alone)


def _batches(feature: Feature, scenarios: list[Scenario]) -> Iterator[list[Scenario]]:
    """Yield a feature's scenarios in batches that each run in one process."""
    shared: dict[int, list[Scenario]] = defaultdict(list)
    for scenario in scenarios:
        if {OWN_PROCESS_TAG, ALONE_TAG} & set(scenario.effective_tags):
            yield [scenario]
        elif LONG_TAG in scenario.effective_tags:
            shared[LONG_BATCH].append(scenario)
        elif _starts_machines(feature, scenario):
            shared[MACHINE_BATCH].append(scenario)
        else:
            shared[COMPUTING_BATCH].append(scenario)
    for size, found in shared.items():
        yield from (found[start : start + size] for start in range(0, len(found), size))


def _starts_machines(feature: Feature, scenario: Scenario) -> bool:
    tags = set(scenario.effective_tags) | set(feature.tags)
    return bool(tags & SYSTEM_TAGS)


def run_job(job: Job) -> Outcome:
    """Run the scenarios of a job in a separate process."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)]
        command += ["--format", "plain", "--no-timings", "--logging-level", "ERROR"]
        try:
            done = subprocess.run(
                [*command, *job.locations],
                cwd=ROOT,
                env={**os.environ, PORT_RANGE_VARIABLE: str(job.number)},
                capture_output=True,
                text=True,
                timeout=JOB_SECONDS,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            results = dict.fromkeys(job.names, False)
            return Outcome(job, results, f"timed out after {error.timeout} s", JOB_SECONDS)
        results = _results(report)
    text = done.stdout + done.stderr
    # A scenario that did not run counts as failed.
    complete = {name: results.get(name, False) for name in job.names}
    if done.returncode != 0 and all(complete.values()):
        complete = dict.fromkeys(job.names, False)
        text += f"\nbehave ended with {done.returncode}\n"
    return Outcome(job, complete, text, time.monotonic() - began)


def _results(report: Path) -> dict[str, bool]:
    """Return whether each scenario of a report passed, by its unique name."""
    try:
        features = json.loads(report.read_text() or "[]")
    except (OSError, ValueError):
        return {}
    return {
        element["name"].strip(): element.get("status") == "passed"
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    }


class JobQueue:
    """Hands out jobs so that only a few that start machines run at once; thread-safe.

    :param jobs: those of each kind are handed out in their order.
    """

    def __init__(self, jobs: Iterable[Job]) -> None:
        self._changed = threading.Condition()
        self._machines: deque[Job] = deque()
        self._computing: deque[Job] = deque()
        self._running_machines = 0
        for job in jobs:
            (self._machines if job.starts_machines else self._computing).append(job)

    def take(self) -> Job | None:
        """Return the next job, waiting until one may run; None if none is left."""
        with self._changed:
            while self._machines and not self._may_start_machines and not self._computing:
                self._changed.wait()
            if self._machines and self._may_start_machines:
                self._running_machines += 1
                return self._machines.popleft()
            return self._computing.popleft() if self._computing else None

    @property
    def _may_start_machines(self) -> bool:
        return self._running_machines < MACHINE_JOBS

    def note_done(self, job: Job) -> None:
        """Note that a job has ended."""
        with self._changed:
            self._running_machines -= job.starts_machines
            self._changed.notify_all()


def run_jobs(jobs: list[Job]) -> list[Outcome]:
    """Run all jobs, those that run alone after the others."""
    beside = [job for job in jobs if not job.is_alone]
    alone = [job for job in jobs if job.is_alone]
    return _run_at_once(beside, CONCURRENT_JOBS) + _run_at_once(alone, 1)


def _run_at_once(jobs: list[Job], count: int) -> list[Outcome]:
    """Run jobs, at most so many at once."""
    outcomes: list[Outcome] = []
    lock = threading.Lock()
    queue = JobQueue(jobs)

    def work() -> None:
        while (job := queue.take()) is not None:
            try:
                outcome = run_job(job)
            finally:
                queue.note_done(job)
            with lock:
                outcomes.append(outcome)
                _print_outcome(outcome)

    workers = [threading.Thread(target=work) for _ in range(count)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return outcomes


def _print_outcome(outcome: Outcome) -> None:
    failed = [name for name, is_green in outcome.results.items() if not is_green]
    if failed:
        print(outcome.text, flush=True)
    verdict = "failed" if failed else "passed"
    others = len(outcome.job.names) - 1
    title = outcome.job.names[0] + (f" and {others} more" if others else "")
    print(f"{verdict} {title} ({outcome.seconds:.1f} s)", flush=True)


def main() -> int:
    """Run the given feature files, or all; return the exit code."""
    named = [Path(name).resolve() for name in sys.argv[1:]]
    paths = named or sorted((ROOT / "features").glob("*.feature"))
    outcomes = run_jobs(find_jobs(paths))
    slowest = sorted(outcomes, key=lambda outcome: -outcome.seconds)[:SLOWEST_SHOWN]
    for outcome in slowest:
        print(f"slowest: {outcome.job.names[0]}: {outcome.seconds:.0f} s")
    results = {name: green for outcome in outcomes for name, green in outcome.results.items()}
    allowed = known_red()
    passed, failed = 0, 0
    for name, is_green in results.items():
        if name in allowed:
            print(f"KNOWN-RED {'passed' if is_green else 'failed'}: {name}")
            failed += is_green and not allowed[name]
        else:
            passed += is_green
            failed += not is_green
            if not is_green:
                print(f"FAILED: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not results else 0


if __name__ == "__main__":
    sys.exit(main())
