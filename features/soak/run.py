"""One seed of the soak, from the start of the machines to the verdict."""

import time
from pathlib import Path
from typing import Any, NamedTuple

from features.soak.disks import Disks
from features.soak.final import Final, FinalFaults, Outcome
from features.soak.lateness import Lateness
from features.soak.promises import Record
from features.soak.returns import RECOVER_S
from features.soak.strands import Strands
from features.soak.workload import Workload
from features.soak.world import SoakWorld

#: Seconds of planned work alone, before all kinds of faults.
PLANNED_S = 5.0
STRANDS = 3
_QUIET_S = 1.5
_LOOK_S = 0.2


class Result(NamedTuple):
    """What a seed showed.

    :param served: attempts that were answered whole.
    :param outcomes: attempts by status; 0 is a connection that ended without an answer.
    :param faults: how often each kind struck.
    :param finals: what followed each final fault.
    :param late_s: by how much a thread of the stand-ins came late at most.
    """

    violations: list[str]
    served: int
    outcomes: dict[int, int]
    faults: dict[str, int]
    finals: list[dict[str, Any]]
    late_s: float


def play(
    seed: int,
    seconds_s: float,
    clients: int,
    keep: Path | None = None,
    gateways: int = 2,
    replicas: int = 3,
    strands: int = STRANDS,
) -> Result:
    """Play one seed.

    :param seconds_s: time of faults of all kinds.
    :param keep: where logs go if a promise was broken.
    :param strands: how many faults there are at most at once.
    """
    record = Record()
    finals: list[Outcome] = []
    with Lateness() as lateness, SoakWorld(record, seed, gateways, replicas) as world:
        disks = Disks(world, record.disruptions)
        faults = Strands(world, record, disks, seed, strands)
        with Workload(world, record, seed, clients) as workload:
            final = FinalFaults(world, record, disks, workload.answered, seed)
            try:
                faults.work_until(time.monotonic() + PLANNED_S)
                faults.strike_until(time.monotonic() + seconds_s)
                _recovered(record)
                for number, kind in enumerate(_finals(seed)):
                    finals.append(final.strike(kind, is_full=number > 0))
                    _recovered(record)
            except (AssertionError, TimeoutError) as error:
                record.violated(f"RECOVER: {error}")
        world.look_at_ends()
        record.read(world.read_attempts())
        violations = record.violations()
        if violations and keep is not None:
            world.keep_logs(keep / f"seed-{seed}")
    told = [one._asdict() | {"returned": one.returned._asdict()} for one in finals]
    return Result(
        violations,
        record.served,
        dict(record.outcomes()),
        dict(faults.struck),
        told,
        round(lateness.most_s, 2),
    )


def _finals(seed: int) -> list[Final]:
    """Return the final faults of a seed: each kind once, every other seed the other way round."""
    kinds = list(Final)
    return kinds if seed % 2 else kinds[::-1]


def _recovered(record: Record) -> None:
    """Wait until attempts are served again; raise AssertionError if they are not."""
    end = time.monotonic() + RECOVER_S
    time.sleep(_QUIET_S)
    before = record.served
    while record.served < before + 20:
        if time.monotonic() > end:
            raise AssertionError(f"only {record.served - before} attempts served after the faults")
        time.sleep(_LOOK_S)
