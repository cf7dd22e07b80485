"""One seed of the soak, from the start of the machines to the verdict."""

import time
from pathlib import Path
from typing import NamedTuple

from features.soak.faults import Faults
from features.soak.promises import Record
from features.soak.workload import Workload
from features.soak.world import SoakWorld

#: Seconds after the last fault within which every gateway serves again.
RECOVER_S = 12.0
_QUIET_S = 1.5
_LOOK_S = 0.2


class Result(NamedTuple):
    """What a seed showed.

    :param served: attempts that were answered whole.
    :param outcomes: attempts by status; 0 is a connection that ended without an answer.
    :param faults: how often each kind struck.
    """

    violations: list[str]
    served: int
    outcomes: dict[int, int]
    faults: dict[str, int]


def play(seed: int, seconds_s: float, clients: int, keep: Path | None = None) -> Result:
    """Play one seed.

    :param keep: where logs go if a promise was broken.
    """
    record = Record()
    with SoakWorld(record, seed) as world:
        faults = Faults(world, seed)
        with Workload(world, record, seed, clients):
            try:
                faults.strike_until(time.monotonic() + seconds_s)
                _recovered(record)
            except (AssertionError, TimeoutError) as error:
                record.violated(f"RECOVER: {error}")
        violations = record.violations()
        if violations and keep is not None:
            world.keep_logs(keep / f"seed-{seed}")
    return Result(violations, record.served, dict(record.outcomes()), dict(faults.struck))


def _recovered(record: Record) -> None:
    """Wait until attempts are served again; raise AssertionError if they are not."""
    end = time.monotonic() + RECOVER_S
    time.sleep(_QUIET_S)
    before = record.served
    while record.served < before + 20:
        if time.monotonic() > end:
            raise AssertionError(f"only {record.served - before} attempts served after the faults")
        time.sleep(_LOOK_S)
