"""Run one seed of planned operations, from the start of the machines to the result."""

import re
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from features.soak.planned.clients import Clients
from features.soak.planned.cuts import Cut, find_cuts
from features.soak.planned.work import PlannedWork
from features.soak.planned.world import PlannedWorld
from features.soak.promises import Record
from features.soak.thread_delay import ThreadDelay

#: Seconds of load before the operations begin, and for requests in flight when they end.
_CALM_S = 2.0
_FINISH_S = 1.0
#: Kinds of log lines about the results of requests.
_KINDS = (
    "AttemptAdmitted",
    "AttemptRefused",
    "AnswerBrokenOff",
    "CallerLeft",
    "CallerGivenUp",
    "InternalFault",
    "SendFailed",
    "GroupReachChanged",
)
_NUMBERS = re.compile(r"[0-9]+(\.[0-9]+)?")


class PlannedResult(NamedTuple):
    """Result of a seed.

    :param served: number of attempts with a complete successful response.
    :param outcomes: number of attempts by status; 0 if the connection ended without a response.
    :param refused: number of refusals by status and reason, with ``#`` for numbers.
    :param broken_off: number of responses that gateways aborted, by reason likewise.
    :param cuts: requests that were cut, each with the log lines about it.
    :param out_of_reach: how often gateways found a group unreachable, by group.
    :param done: number of operations by kind.
    :param late_s: largest scheduling delay of a thread in this process, which also runs the
        test servers.
    """

    violations: list[str]
    served: int
    outcomes: dict[int, int]
    refused: dict[str, int]
    broken_off: dict[str, int]
    cuts: list[dict[str, Any]]
    out_of_reach: dict[int, int]
    done: dict[str, int]
    late_s: float


def play_planned(
    seed: int, seconds_s: float, clients: int, gateways: int, keep: Path | None = None
) -> PlannedResult:
    """Run one seed.

    :param seconds_s: duration of the planned operations.
    :param keep: folder for the logs if a guarantee was violated.
    """
    record = Record()
    with ThreadDelay() as thread_delay, PlannedWorld(record, seed, gateways) as world:
        with Clients(world, record, seed, clients) as load:
            time.sleep(_CALM_S)
            with PlannedWork(world, record, seed, load.starts) as work:
                time.sleep(seconds_s)
            time.sleep(_FINISH_S)
        world.check_all_running()
        lines = world.gateway_lines(_KINDS)
        # The machines have the same wall clock as this process.
        ahead_s = time.time() - time.monotonic()
        admitted_at = {
            line["attempt"]: line["time"] - ahead_s
            for line in lines
            if line["kind"] == "AttemptAdmitted"
        }
        record.note_admitted(admitted_at)
        cuts = find_cuts(record.finished_attempts(), world.timeouts_at, load.starts, admitted_at)
        violations = [*record.violations(), *(cut.text for cut in cuts)]
        if violations and keep is not None:
            world.keep_logs(keep / f"planned-{seed}")
    return PlannedResult(
        violations,
        record.served,
        dict(record.outcomes()),
        _by_reason(lines, "AttemptRefused"),
        _by_reason(lines, "AnswerBrokenOff"),
        [_with_log_lines(cut, lines) for cut in cuts],
        _out_of_reach(lines),
        dict(work.done),
        round(thread_delay.max_delay_s, 2),
    )


def _with_log_lines(cut: Cut, lines: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a cut with the log lines about its request."""
    logged = [line for line in lines if line.get("attempt") == cut.attempt]
    return {**cut._asdict(), "lines": logged}


def _out_of_reach(lines: list[dict[str, Any]]) -> dict[int, int]:
    return dict(
        Counter(
            line["group"]
            for line in lines
            if line["kind"] == "GroupReachChanged" and not line["is_reached"]
        )
    )


def _by_reason(lines: list[dict[str, Any]], kind: str) -> dict[str, int]:
    reasons = (
        f"{line.get('status', '')} {_NUMBERS.sub('#', line['reason'])}".strip()
        for line in lines
        if line["kind"] == kind
    )
    return dict(Counter(reasons).most_common())
