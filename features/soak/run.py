"""Run one seed of the soak test, from the start of the machines to the result."""

import time
from pathlib import Path
from typing import Any, NamedTuple

from features.soak.continuations import RECOVER_S
from features.soak.conversations import ConversationClients
from features.soak.crowd import CrowdClients
from features.soak.disks import Disks
from features.soak.endless import EndlessClients
from features.soak.fatal import FatalClients
from features.soak.fault_workers import FaultWorkers
from features.soak.final import FinalFault, FinalFaultInjector, FinalFaultResult
from features.soak.names import NameClients
from features.soak.promises import Record
from features.soak.streams import StreamClients
from features.soak.thread_delay import ThreadDelay
from features.soak.workload import Workload
from features.soak.world import SoakWorld

#: Seconds in which servers are replaced and nothing else happens, so that the shares of streams
#: that begin and that go on are judged.
RELEASE_S = 4.0
#: Seconds of planned operations only, before faults of all kinds are injected.
PLANNED_S = 5.0
#: Default number of concurrent faults.
STRANDS = 3
_SETTLE_S = 1.5
_POLL_S = 0.2


class Result(NamedTuple):
    """Result of a seed.

    :param served: number of attempts with a complete successful response.
    :param outcomes: number of attempts by status; 0 if the connection ended without a response.
    :param faults: number of injected faults by kind.
    :param finals: result of each final fault.
    :param streams: number of attempts to begin and to resume streams.
    :param conversations: number of attempts to begin and to resume stateful streams, and of turns
        that became whole.
    :param fatal: what became of requests that end servers, and of those beside them.
    :param names: a tenant's turns, and requests with names of another owner, by status.
    :param endless: requests to servers whose answers never end, by kind and status.
    :param crowd: connections of clients that do not behave, by kind.
    :param late_s: largest scheduling delay of a thread in this process, which also runs the
        test servers.
    """

    violations: list[str]
    served: int
    outcomes: dict[int, int]
    faults: dict[str, int]
    finals: list[dict[str, Any]]
    streams: dict[str, int]
    conversations: dict[str, int]
    fatal: dict[str, int]
    names: dict[str, int]
    endless: dict[str, int]
    crowd: dict[str, int]
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
    """Run one seed.

    :param seconds_s: duration of the phase with faults of all kinds.
    :param keep: folder for the logs if a guarantee was violated.
    :param strands: maximum number of concurrent faults.
    """
    record = Record()
    final_faults: list[FinalFaultResult] = []
    with ThreadDelay() as thread_delay, SoakWorld(record, seed, gateways, replicas) as world:
        disks = Disks(world, record.disruptions)
        faults = FaultWorkers(world, record, disks, seed, strands)
        streams = StreamClients(world, record, seed, clients)
        fatal = FatalClients(world, record, seed, clients)
        conversations = ConversationClients(world, record, seed, clients)
        names = NameClients(world, record, seed, clients)
        endless = EndlessClients(world, record, seed)
        crowd = CrowdClients(world, record, seed)
        workload = Workload(world, record, seed, clients)
        with fatal, streams, conversations, names, endless, crowd, workload:
            final = FinalFaultInjector(world, record, disks, workload.answered, seed)
            try:
                faults.replace_servers_until(time.monotonic() + RELEASE_S)
                faults.do_planned_work_until(time.monotonic() + PLANNED_S)
                faults.inject_until(time.monotonic() + seconds_s)
                _wait_recovered(record)
                for number, kind in enumerate(_final_faults(seed)):
                    final_faults.append(final.inject(kind, is_loaded=number > 0))
                    _wait_recovered(record)
            except (AssertionError, TimeoutError) as error:
                record.note_violation(f"RECOVER: {error}")
        world.check_all_running()
        record.note_admitted(world.admitted_attempts())
        stream_counts = streams.streams.check_shares()
        fatal_counts = fatal.check()
        endless_counts = endless.check(thread_delay.max_delay_s)
        crowd_counts = crowd.check()
        violations = record.violations()
        if violations and keep is not None:
            world.keep_logs(keep / f"seed-{seed}")
    final_results = [one._asdict() | {"returned": one.returned._asdict()} for one in final_faults]
    return Result(
        violations,
        record.served,
        dict(record.outcomes()),
        dict(faults.injected),
        final_results,
        stream_counts,
        conversations.counts(),
        fatal_counts._asdict(),
        names.counts(),
        endless_counts,
        crowd_counts,
        round(thread_delay.max_delay_s, 2),
    )


def _final_faults(seed: int) -> list[FinalFault]:
    """Return the final faults of a seed: each kind once, in reverse order for even seeds."""
    kinds = list(FinalFault)
    return kinds if seed % 2 else kinds[::-1]


def _wait_recovered(record: Record) -> None:
    """Wait until attempts are served again; raise AssertionError after ``RECOVER_S``."""
    end = time.monotonic() + RECOVER_S
    time.sleep(_SETTLE_S)
    before = record.served
    while record.served < before + 20:
        if time.monotonic() > end:
            raise AssertionError(f"only {record.served - before} attempts served after the faults")
        time.sleep(_POLL_S)
