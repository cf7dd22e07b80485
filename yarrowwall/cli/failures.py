"""Programs that failed, by what ended them, from the logs of many processes."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import click

from yarrowwall.cli.explain import read_lines

_ENDS = {"AttemptAnswered", "AttemptRefused", "AnswerBrokenOff", "CallerLeft"}
_BUDGET_SPENT = 402
_TURN_UNKNOWN = 404
_SERVER_ERROR = 500


class Cause(StrEnum):
    """What ended a program, worst first where several of its attempts failed at once."""

    #: The gateway died while a request that may not be repeated was under way. Nobody can
    #: tell whether it ran, so nobody may send it again: no policy saves the program.
    DIED_UNREPEATABLE = "gateway died, request may not be repeated"
    #: A server gave no usable answer to a request that may not be repeated.
    LOST_UNREPEATABLE = "answer lost, request may not be repeated"
    #: The gateway died; the caller may ask again, and found nobody in time.
    DIED_REPEATABLE = "gateway died, caller came back to nobody"
    #: The gateway refused: not run.
    REFUSED = "refused as not run"
    #: No server answered a request that may be repeated within its time.
    TIMED_OUT = "no answer in time, request may be repeated"
    #: The gateway broke a stream off.
    BROKEN_OFF = "answer broken off"
    #: The caller left.
    CALLER_LEFT = "caller left"

    @property
    def could_be_saved(self) -> bool:
        """Return whether a policy of the gateways might have saved the program."""
        return self not in (Cause.DIED_UNREPEATABLE, Cause.LOST_UNREPEATABLE)


class Attempt(NamedTuple):
    """One attempt of a caller, as a log tells it.

    :param ended_s: when it ended, at the latest with its gateway's process; None if it is
        still under way where the log ends.
    :param end: the line of its end; empty if its gateway died.
    """

    attempt_id: str
    program_id: str
    node: str
    route: str
    kind: str
    begun_s: float
    ended_s: float | None
    end: dict[str, Any]


class FailedProgram(NamedTuple):
    """A program that failed, and the attempt that ended it."""

    cause: Cause
    attempt: Attempt


def read_attempts(lines: Iterable[dict[str, Any]]) -> list[Attempt]:
    """Return the attempts of programs, in the order in which they came.

    :param lines: those of one gateway in the order in which it wrote them.
    """
    found: dict[str, Attempt] = {}
    open_at: dict[str, set[str]] = defaultdict(set)
    seen_s: dict[str, float] = {}
    for line in lines:
        attempt_id = line.get("attempt", "")
        node = line["node"]
        if line["kind"] == "ProcessChanged" and line["change"] == "started":
            for lost_id in open_at.pop(node, ()):
                found[lost_id] = found[lost_id]._replace(ended_s=seen_s[node])
        seen_s[node] = line["time"]
        if line["kind"] == "AttemptAdmitted" and line.get("program"):
            found[attempt_id] = Attempt(
                attempt_id,
                line["program"],
                node,
                line["route"],
                line.get("route_kind", ""),
                line["time"],
                None,
                {},
            )
            open_at[node].add(attempt_id)
        elif line["kind"] in _ENDS and attempt_id in found:
            found[attempt_id] = found[attempt_id]._replace(ended_s=line["time"], end=line)
            open_at[node].discard(attempt_id)
    return sorted(found.values(), key=lambda attempt: attempt.begun_s)


def cause_of(attempt: Attempt) -> Cause | None:
    """Return why an attempt failed; None if it did not, or ended as its program had to."""
    is_repeatable = attempt.kind != "mutating"
    if attempt.ended_s is None:
        return None
    if not attempt.end:
        return Cause.DIED_REPEATABLE if is_repeatable else Cause.DIED_UNREPEATABLE
    kind, status = attempt.end["kind"], attempt.end.get("status", 0)
    if kind == "AnswerBrokenOff":
        return Cause.BROKEN_OFF
    if kind == "CallerLeft":
        return Cause.CALLER_LEFT
    if kind == "AttemptAnswered" or status < _SERVER_ERROR:
        return None
    if status == 503:
        return Cause.REFUSED
    return Cause.TIMED_OUT if is_repeatable else Cause.LOST_UNREPEATABLE


def failed_programs(attempts: list[Attempt]) -> list[FailedProgram]:
    """Return the programs of which nothing was heard after an attempt had failed.

    A program that was idle when its gateway died and never came back looks like one that
    was over, and is not among them.
    """
    # Attempts come in the order of their time, so each program's last one stays.
    begun_last_s = {attempt.program_id: attempt.begun_s for attempt in attempts}
    severity = list(Cause)
    failed: dict[str, FailedProgram] = {}
    for attempt in attempts:
        cause = cause_of(attempt)
        if cause is None or attempt.ended_s is None:
            continue
        if begun_last_s[attempt.program_id] > attempt.ended_s:
            continue
        known = failed.get(attempt.program_id)
        if known is None or severity.index(cause) < severity.index(known.cause):
            failed[attempt.program_id] = FailedProgram(cause, attempt)
    return sorted(failed.values(), key=lambda one: one.attempt.begun_s)


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def failures(logs: tuple[Path, ...], output: str) -> None:
    """List the programs that failed, by what ended them.

    LOGS are files of decision lines, of all gateways, plain or gzipped. For each cause it
    is said whether a policy might have saved the program.
    """
    lines = [line for path in logs for line in read_lines(path)]
    failed = failed_programs(read_attempts(lines))
    if output == "json":
        for one in failed:
            row = {**one.attempt._asdict(), "cause": one.cause.value}
            click.echo(json.dumps(row))
        return
    for one in failed:
        attempt = one.attempt
        click.echo(
            f"{attempt.begun_s:.3f} {attempt.program_id} {attempt.node} {attempt.route}"
            f" {attempt.kind} {attempt.attempt_id}: {one.cause} {attempt.end.get('reason', '')}"
        )
    for cause, count in Counter(one.cause for one in failed).most_common():
        saved = "might be saved" if cause.could_be_saved else "could not be saved"
        click.echo(f"{count:5d} {cause} ({saved})")
