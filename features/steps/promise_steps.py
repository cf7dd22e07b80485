"""Steps that run the simulation."""

import os
import subprocess
import sys
from contextlib import suppress
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_drawn
from hypothesis import strategies as st

from features.support.mutants import MUTANTS
from features.support.schedules import derandomized
from yarrowwall.messages.peers import Document
from yarrowwall.standalone.core.configuration.documents import DocumentTable
from yarrowwall.standalone.core.configuration.models import CONFIGURATION
from yarrowwall.standalone.core.exceptions import CoreError
from yarrowwall.standalone.core.journal.proposer import ReplicaGroups
from yarrowwall.standalone.core.outbox import Outbox
from yarrowwall.standalone.simulation.deployments import DEPLOYMENTS, KINGSTON
from yarrowwall.standalone.simulation.faults import Fault, FaultKind
from yarrowwall.standalone.simulation.observer import Invariant
from yarrowwall.standalone.simulation.world import RunSettings, World

#: Number of seeds tried for each deployment until a mutant is detected.
MUTANT_SEEDS = 16
ALL_FAULTS = tuple(FaultKind)


def run_settings(deployment: str, seed: int, faults: tuple[FaultKind, ...]) -> RunSettings:
    return RunSettings(
        DEPLOYMENTS[deployment], seed, programs=50, faults=faults, fault_gap=2.0, odd_share=0.15
    )


def run(run_as: RunSettings) -> World:
    world = World(run_as)
    world.run()
    return world


@then('simulations of "{deployment}" with seeds {first:d} to {last:d} break no promise')
def seeds_hold(context: Context, deployment: str, first: int, last: int) -> None:
    context.checks = set()
    for seed in range(first, last + 1):
        world = run(run_settings(deployment, seed, ALL_FAULTS))
        assert not world.observer.violations, (seed, world.observer.violations[:3])
        context.checks |= {name for name, count in world.observer.checks.items() if count}


@then("every promise was checked")
def all_checked(context: Context) -> None:
    assert context.checks == set(Invariant), set(Invariant) - context.checks


@then("{count:d} generated fault schedules break no promise")
def generated_schedules_hold(context: Context, count: int) -> None:
    fault = st.builds(
        Fault,
        kind=st.sampled_from(FaultKind),
        at=st.floats(1.0, 40.0).map(lambda at: round(at, 2)),
        duration=st.floats(0.2, 25.0).map(lambda seconds: round(seconds, 2)),
        target=st.integers(0, 30),
    )

    @derandomized(count)
    @given_drawn(st.sampled_from(sorted(DEPLOYMENTS)), st.lists(fault, min_size=4, max_size=24))
    def check(deployment: str, faults: list[Fault]) -> None:
        replaced = [item for item in faults if item.kind is FaultKind.DISK_REPLACED]
        kept = [item for item in faults if item not in replaced[1:]]
        base = run_settings(deployment, 1, ALL_FAULTS)
        world = run(replace(base, programs=30, schedule=tuple(kept)))
        assert not world.observer.violations, world.observer.violations[:3]

    check()


@given("the platform is down, a node is paused and engines leave meanwhile")
def paused_while_engines_leave(context: Context) -> None:
    faults = [Fault(FaultKind.PLATFORM_DOWN, 5.0, 40.0, 0)]
    faults += [Fault(FaultKind.FREEZE, 6.0 + node / 20, 9.0, node) for node in range(8)]
    faults += [Fault(FaultKind.ENGINE_LEAVES, 7.0, 25.0, engine) for engine in range(5)]
    context.schedule = tuple(faults)


def run_schedule(context: Context) -> World:
    base = run_settings(KINGSTON.name, 1, ALL_FAULTS)
    return run(replace(base, load=1.5, schedule=context.schedule))


@then("the schedule breaks no promise")
def schedule_holds(context: Context) -> None:
    violations = run_schedule(context).observer.violations
    assert not violations, violations[:3]


@then('the schedule breaks the promise "{promise}"')
def schedule_breaks(context: Context, promise: str) -> None:
    violations = run_schedule(context).observer.violations
    assert any(line.startswith(promise) for line in violations), violations


@then("two processes with different hash seeds print the same report")
def same_bytes(context: Context) -> None:
    command = [sys.executable, "-m", "yarrowwall", "simulate", "--deployment", "nairobi"]
    command += ["--seed", "11", "--programs", "20", "--faults", "all"]
    reports = [
        subprocess.run(
            command, env={**os.environ, "PYTHONHASHSEED": seed}, capture_output=True, check=True
        ).stdout
        for seed in ("1", "2")
    ]
    assert reports[0] == reports[1] and b"trace_digest" in reports[0]


@then("some simulation breaks a promise that the mutant is about")
def mutant_detected(context: Context) -> None:
    mutant = MUTANTS[context.mutant_name]
    seen: set[str] = set()
    for seed in range(1, MUTANT_SEEDS + 1):
        for deployment in sorted(DEPLOYMENTS):
            world = World(run_settings(deployment, seed, mutant.faults))
            # The core may notice the fault itself, but only the observer's violations count.
            with suppress(CoreError, KeyError):
                world.run()
            seen |= {line.split()[0] for line in world.observer.violations}
            if seen & set(mutant.breaks):
                return
    raise AssertionError(f"not detected in {MUTANT_SEEDS} seeds a deployment; seen: {seen}")


@given("a node with configuration {version:d} in force")
def node_with_configuration(context: Context, version: int) -> None:
    groups = ReplicaGroups(1, ((),))
    context.documents = DocumentTable("n", Outbox("n"), lambda: groups, lambda document: None)
    push_configuration(context, version)


@when("it is pushed configuration {version:d}")
def push_configuration(context: Context, version: int) -> None:
    context.documents.apply(Document(CONFIGURATION, version, b"{}"))


@then("configuration {version:d} is in force")
def configuration_is(context: Context, version: int) -> None:
    assert context.documents.version(CONFIGURATION) == version
